#ifndef MEDLAR_DETAIL_CLUSTER_BACKOFF_HPP
#define MEDLAR_DETAIL_CLUSTER_BACKOFF_HPP

#include <medlar/detail/base/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <random>

namespace medlar
{

/// @brief Exponential backoff with jitter: the delay doubles after each failure up to a
/// maximum, and its second half is random.
class backoff
{
  public:
    /// @param initial delay after the first failure, before jitter
    /// @param maximum longest delay
    /// @param seed of the jitter; must differ between hosts, so that they do not retry
    ///     at the same time
    backoff(millis initial, millis maximum, std::uint64_t seed)
        : initial_(initial), maximum_(maximum), next_(initial), random_(seed)
    {
    }

    /// @brief Returns the delay before the next retry.
    millis next()
    {
        const std::int64_t full = next_.count();
        next_ = std::min(next_ * 2, maximum_);
        std::uniform_int_distribution<std::int64_t> jitter(full / 2, full);
        return millis(jitter(random_));
    }

    /// @brief Resets the delay after a successful call.
    void reset()
    {
        next_ = initial_;
    }

  private:
    millis initial_;
    millis maximum_;
    millis next_;
    std::mt19937_64 random_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_BACKOFF_HPP
