#ifndef MEDLAR_DETAIL_MEMBERSHIP_RUN_REGISTRY_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_RUN_REGISTRY_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/ownership/claim_table.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace medlar
{

/// @brief The runs in progress at this process, and a way to wait for their answers.
/// @note Safe to call from every thread.
class run_registry
{
  public:
    /// @brief Adds a run that has begun.
    void begin(const request_key& key);

    /// @brief Removes a run that has ended and passes its answer to the waiting threads.
    void end(const request_key& key, const final_answer& answer);

    /// @brief Waits for the end of a run.
    /// @return unset if there is no such run, or it has not ended by @p until
    std::optional<final_answer>
    wait(const request_key& key, const clock& time, steady_time until) const;

    /// @brief whether the request runs here
    bool contains(const request_key& key) const;

    /// @brief number of runs in progress
    std::size_t size() const;

  private:
    struct run
    {
        std::mutex mutex;
        std::condition_variable ended;
        std::optional<final_answer> answer;
    };

    mutable std::mutex mutex_;
    std::map<request_key, std::shared_ptr<run>> runs_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_RUN_REGISTRY_HPP
