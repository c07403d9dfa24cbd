#ifndef MEDLAR_DETAIL_DISPATCH_REFUSED_CALLERS_HPP
#define MEDLAR_DETAIL_DISPATCH_REFUSED_CALLERS_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace medlar
{

/// @brief Which requests were refused lately for want of room, and since when their
/// callers wait.
///
/// Load: bursts in which a third of the requests is refused and comes back within a
/// second, at another host and under another id. Taken for new ones they would get the
/// places of requests that can still be in time. The owner of a pool hears of the
/// refusals at all hosts and tells when such a request begins again.
class refused_callers
{
  public:
    /// @brief Notes that a request is refused.
    /// @param key what a request has in common with its repetitions
    void refused(std::uint64_t key, steady_time now);

    /// @brief how long the caller of a request waits
    /// @return 0 if it was not refused
    millis waited(std::uint64_t key, steady_time now);

    std::size_t size() const
    {
        return since_.size();
    }

  private:
    void forget_old(steady_time now);

    std::unordered_map<std::uint64_t, steady_time> since_;
    std::deque<std::pair<steady_time, std::uint64_t>> order_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REFUSED_CALLERS_HPP
