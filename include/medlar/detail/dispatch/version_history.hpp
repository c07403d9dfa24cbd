#ifndef MEDLAR_DETAIL_DISPATCH_VERSION_HISTORY_HPP
#define MEDLAR_DETAIL_DISPATCH_VERSION_HISTORY_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <map>
#include <set>
#include <vector>

namespace medlar
{

/// @brief Where a stream has begun: it may only go on at targets of the same pool and
/// version, since what two versions write does not fit together.
struct stream_origin
{
    pool_id pool;
    software_version version;

    friend bool operator==(const stream_origin& a, const stream_origin& b)
    {
        return a.pool == b.pool && a.version == b.version;
    }

    friend bool operator<(const stream_origin& a, const stream_origin& b)
    {
        return a.pool != b.pool ? a.pool < b.pool : a.version < b.version;
    }
};

/// @brief longest time after its begin for which a stream is resumed; callers wait up to
/// 20 s for an answer, and may be told to come back later
constexpr millis max_stream_age{60000};

/// @brief The versions at which a stream that is resumed may have begun.
///
/// While a pool has had targets of one version only, that is where all its streams began,
/// and nothing needs to be remembered of them. A host that has started does not know
/// which versions have left, so each version is also written to the store, and is removed
/// there when no stream of it is left.
class version_history
{
  public:
    /// @brief Records that a target of a pool has a version.
    /// @return whether the version is new
    bool record_target(const stream_origin& origin, steady_time now);

    /// @brief Records that the store names a version.
    /// @return whether the version is new
    bool record_stored(const stream_origin& origin, steady_time now);

    /// @brief Records that the store no longer names a version.
    void record_removed(const stream_origin& origin);

    /// @brief Returns where streams of some pools may have begun.
    std::set<stream_origin> origins_in(const std::vector<pool_id>& pools,
                                       steady_time now) const;

    /// @brief Returns whether streams of a pool may have begun at several versions.
    bool is_mixed(const pool_id& pool, steady_time now) const;

    /// @brief Returns the versions of targets that the store does not name.
    std::vector<stream_origin> unstored(steady_time now) const;

    /// @brief Returns the versions that the store names, and of which no stream is left.
    std::vector<stream_origin> outlived(steady_time now) const;

  private:
    struct known_version
    {
        /// when a target last had it, or it became known
        steady_time seen_at;
        bool is_stored = false;
    };

    bool is_recent(const known_version& known, steady_time now) const
    {
        return now < known.seen_at + max_stream_age;
    }

    std::map<stream_origin, known_version> versions_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_VERSION_HISTORY_HPP
