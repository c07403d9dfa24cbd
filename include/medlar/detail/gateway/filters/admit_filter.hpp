#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_ADMIT_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_ADMIT_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/policy/policy_engine.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

namespace medlar
{

/// @brief Admits requests that can finish in time and within fair shares; queues the
/// others until they can start, or refuses them.
class admit_filter : public filter
{
  public:
    static std::unique_ptr<filter> create(const clock& time, policy_engine& policy);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit admit_filter(const clock& time, policy_engine& policy);

    std::optional<run_result> wait_for_admission(const request_context& context,
                                                 std::uint64_t ticket);
    void wait_for_capacity(const request_context& context, millis check_after);

    const clock& time_;
    policy_engine& policy_;
    std::atomic<std::uint64_t> last_ticket_{0};
    std::mutex mutex_;
    std::condition_variable request_finished_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_ADMIT_FILTER_HPP
