#ifndef MEDLAR_DETAIL_CLUSTER_BACKOFF_HPP
#define MEDLAR_DETAIL_CLUSTER_BACKOFF_HPP

#include <medlar/detail/base/clock.hpp>

#include <algorithm>
#include <cstdint>
#include <random>

namespace medlar
{

/// @brief Pauses between tries of a failing call: doubled after each failure, up to a
/// bound, and spread at random over their second half.
class backoff
{
  public:
    /// @param seed of the random spread; differs between hosts
    backoff(millis first, millis longest, std::uint64_t seed)
        : first_(first), longest_(longest), next_(first), random_(seed)
    {
    }

    /// @brief the pause after one more failure
    millis next()
    {
        const std::int64_t full = next_.count();
        next_ = std::min(next_ * 2, longest_);
        std::uniform_int_distribution<std::int64_t> spread(full / 2, full);
        return millis(spread(random_));
    }

    /// @brief The call has succeeded.
    void reset()
    {
        next_ = first_;
    }

  private:
    millis first_;
    millis longest_;
    millis next_;
    std::mt19937_64 random_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_BACKOFF_HPP
