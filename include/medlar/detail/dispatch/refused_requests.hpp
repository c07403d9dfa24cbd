#ifndef MEDLAR_DETAIL_DISPATCH_REFUSED_REQUESTS_HPP
#define MEDLAR_DETAIL_DISPATCH_REFUSED_REQUESTS_HPP

#include <medlar/detail/base/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

namespace medlar
{

/// @brief Requests that were recently refused for lack of capacity, with the time of the
/// first refusal.
///
/// In a burst a third of the requests is refused and retried within a second, at another
/// host and with another id. Treated as new requests they would use capacity for which
/// other requests could still be in time. The owner of a pool is notified of the refusals
/// at all hosts, so that it recognises a retried request.
class refused_requests
{
  public:
    /// @brief Records a refusal.
    /// @param key hash that a request has in common with its retries
    void record_refusal(std::uint64_t key, steady_time now);

    /// @brief Returns the time since a request was first refused.
    /// @return 0 if no refusal is recorded
    millis time_since_refusal(std::uint64_t key, steady_time now);

    /// @brief Returns the number of recorded requests.
    std::size_t size() const
    {
        return first_refused_.size();
    }

  private:
    void drop_expired(steady_time now);

    std::unordered_map<std::uint64_t, steady_time> first_refused_;
    std::deque<std::pair<steady_time, std::uint64_t>> insertion_order_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_REFUSED_REQUESTS_HPP
