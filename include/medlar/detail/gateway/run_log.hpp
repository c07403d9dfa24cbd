#ifndef MEDLAR_DETAIL_GATEWAY_RUN_LOG_HPP
#define MEDLAR_DETAIL_GATEWAY_RUN_LOG_HPP

#include <medlar/detail/gateway/stage_client.hpp>
#include <medlar/detail/request/answer_text.hpp>
#include <medlar/detail/request/outcome_decision.hpp>

#include <mutex>
#include <vector>

namespace medlar
{

/// @brief Records the calls of one run: its trace, and the facts that decide its outcome.
/// @note Thread-safe.
class run_log
{
  public:
    /// @brief Records an attempt that has ended.
    void add(const trace_entry& call, const stage_reply& reply, bool idempotent)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        calls_.push_back(call);
        if (!reply.may_have_run)
        {
            return;
        }
        facts_.call_may_have_run = true;
        if (!idempotent)
        {
            facts_.non_idempotent_may_have_run = true;
            facts_.non_idempotent_settled =
                facts_.non_idempotent_settled && reply.settled;
        }
    }

    run_facts facts() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return facts_;
    }

    std::vector<trace_entry> calls() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return calls_;
    }

  private:
    mutable std::mutex mutex_;
    run_facts facts_;
    std::vector<trace_entry> calls_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_RUN_LOG_HPP
