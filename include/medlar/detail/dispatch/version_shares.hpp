#ifndef MEDLAR_DETAIL_DISPATCH_VERSION_SHARES_HPP
#define MEDLAR_DETAIL_DISPATCH_VERSION_SHARES_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/strong_type.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief Hash of the id of the attempt that brought the first event of a stream.
using stream_key = strong_type<struct stream_key_tag, std::uint64_t>;

/// @brief The number of targets of each version of a pool, by which its new streams are
/// divided.
using version_shares = std::map<software_version, int>;

/// @brief Chooses the version at which a stream is to begin: versions get streams by
/// their shares, and a change of the shares moves as few streams as possible. Depends on
/// the stream and the shares alone, so that any host can find the version again.
/// @param shares not empty
software_version choose_version(const version_shares& shares, stream_key stream);

/// @brief The shares of a pool, and those that were in force before.
struct share_history
{
    version_shares current;
    /// the latest last
    std::vector<version_shares> before;

    /// @brief Returns the version at which a stream has begun that no host remembers.
    /// @return unset if it depends on when the stream began
    std::optional<software_version> version_of(stream_key stream) const;

    friend bool operator==(const share_history& a, const share_history& b)
    {
        return a.current == b.current && a.before == b.before;
    }
};

/// @brief time after which the origins of streams are in the store, if their hosts and
/// keepers were not lost and the store could be called
constexpr millis max_record_delay{3000};

/// @brief Tells how long the earlier shares of a pool are needed.
///
/// Streams that began under them are in the store soon after, and need them no longer.
/// If hosts were lost or the store was away before that, some streams are in no record
/// until their callers have left.
class earlier_shares
{
  public:
    /// @brief Records that shares were replaced.
    void record_replaced(const version_shares& shares, steady_time now);

    /// @brief Records which earlier shares are in force; to be called once a second.
    /// @param certain_since when streams may last have been lost before they were
    /// recorded
    void update(const std::vector<version_shares>& before,
                steady_time certain_since,
                steady_time now);

    /// @brief Returns whether no stream that is in no record can have begun under them.
    /// @param longest_timeout how long a caller may wait for its stream
    bool are_outlived(const version_shares& shares,
                      millis longest_timeout,
                      steady_time now) const;

  private:
    struct replaced_shares
    {
        steady_time replaced_at;
        steady_time checked_at;
        /// when streams that began under them may last have been lost
        steady_time certain_since;
    };

    std::map<version_shares, replaced_shares> replaced_;
};

/// @brief Returns whether shares differ so much from the targets that there are now that
/// they have to change: a version has come or has no target left, or the share of one
/// differs by more than a fifth of the pool.
bool is_outdated(const version_shares& shares, const version_shares& targets);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_VERSION_SHARES_HPP
