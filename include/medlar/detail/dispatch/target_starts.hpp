#ifndef MEDLAR_DETAIL_DISPATCH_TARGET_STARTS_HPP
#define MEDLAR_DETAIL_DISPATCH_TARGET_STARTS_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/dispatch/process_start.hpp>
#include <medlar/detail/dispatch/target_table.hpp>
#include <medlar/detail/dispatch/version_history.hpp>
#include <medlar/detail/entry/protocol.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlar
{

/// @brief start time that stands for that of a process which has not answered for it; a
/// stream that began at one goes on nowhere
constexpr std::int64_t unknown_start_ms = -1;

/// @brief Returns a version that stands for the unknown one of a process. It differs from
/// the versions of all other processes, so that a stream that began at the process goes
/// on there only.
software_version unlisted_version(const process_start& start);

/// @brief Returns whether a version stands for that of an unknown process.
bool is_of_unknown_start(const software_version& version);

/// @brief Returns the process whose unknown version a version stands for.
/// @return unset if it is the version that an entry names
std::optional<process_start> read_unlisted_version(const software_version& version);

/// @brief The versions of the processes of targets.
///
/// The entry of a target names its version and start. It may be older than the process
/// that answers at the target's address: the store is away, or the target has not written
/// it yet.
class target_starts
{
  public:
    /// @brief Records that the entry of a target names its start and version.
    void record_listed(const target_record& record, steady_time now);

    /// @brief Records that streams may begin at a process that no entry names.
    /// @param origin with an unlisted_version()
    /// @return whether that is new
    bool record_unlisted(const stream_origin& origin, steady_time now);

    /// @brief Returns the version of a process; its unlisted_version() if no entry has
    /// named it.
    software_version version_of(const process_start& start) const;

    /// @brief Returns the version of the process that answers at the address of a target,
    /// as far as this host knows.
    software_version version_of(const target_state& target) const;

    /// @brief Returns where a stream has begun, by the version that an entry has named
    /// since.
    stream_origin resolve(const stream_origin& origin) const;

    /// @brief Returns the processes of some pools that no entry has named, and at which
    /// streams may have begun that are resumed.
    std::set<stream_origin> unlisted_in(const std::vector<pool_id>& pools) const;

    /// @brief Forgets processes that no stream can have begun at any more.
    void forget_old(steady_time now);

  private:
    struct listed_start
    {
        software_version version;
        steady_time seen_at;
    };

    std::map<process_start, listed_start> listed_;
    /// when a process was last seen
    std::map<stream_origin, steady_time> unlisted_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_TARGET_STARTS_HPP
