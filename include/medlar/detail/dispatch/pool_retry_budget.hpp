#ifndef MEDLAR_DETAIL_DISPATCH_POOL_RETRY_BUDGET_HPP
#define MEDLAR_DETAIL_DISPATCH_POOL_RETRY_BUDGET_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstdint>
#include <deque>

namespace medlar
{

/// @brief Limit on retries at one pool, for all hosts together
struct pool_retry_rule
{
    /// retries per first try
    double ratio = 0.2;
    /// retries beyond that in one window
    double slack = 0;
    millis window{10000};
};

/// @brief Retry budget of one host at one pool: counts first tries and retries in a
/// sliding window, and keeps the retries below this host's part of the limit.
///
/// Prevents a retry storm when many targets fail at once and each host would retry all
/// its requests. Hosts need not communicate: each has the retries that its own first
/// tries allow, and an equal part of the slack.
class pool_retry_budget
{
  public:
    explicit pool_retry_budget(const pool_retry_rule& rule) : rule_(rule)
    {
    }

    /// @brief Sets the rule that is in force from now on; what was counted stays.
    void set_rule(const pool_retry_rule& rule)
    {
        rule_ = rule;
    }

    /// @brief Records the first try of a request.
    void record_first_try(steady_time now);

    /// @brief Returns whether one more retry is within this host's part of the limit.
    /// @param hosts number of entry hosts that share the slack, at least 1
    bool may_retry(steady_time now, std::size_t hosts);

    /// @brief Records a retry.
    void record_retry(steady_time now);

  private:
    /// counts of one part of the window
    struct bucket
    {
        /// start of the part
        std::int64_t since_ms = 0;
        std::int64_t first_tries = 0;
        std::int64_t retries = 0;
    };

    /// returns the bucket of the present time and drops those outside the window
    bucket& current_bucket(steady_time now);

    pool_retry_rule rule_;
    std::deque<bucket> buckets_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_POOL_RETRY_BUDGET_HPP
