#ifndef MEDLAR_DETAIL_STORE_STORE_CLIENT_HPP
#define MEDLAR_DETAIL_STORE_STORE_CLIENT_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Index that the store increases with each change of an entry.
using store_index = strong_type<struct store_index_tag, std::uint64_t>;

/// @brief Id of a lease of the store.
using store_lease = strong_type<struct store_lease_tag, std::string>;

/// @brief One entry of the store.
struct store_entry
{
    std::string key;
    std::string value;
    /// index of its last change, for compare-and-swap
    store_index modified;
    /// increases each time a lease acquires it; used as fencing number
    fencing_number lock_count;
    /// the lease that holds its lock; empty: none
    store_lease holder;
};

/// @brief Snapshot of a folder at one index.
struct store_folder
{
    store_index index;
    std::vector<store_entry> entries;
};

/// @brief Client of the platform's key-value service (Consul's HTTP protocol).
///
/// Each method is one call. Errors: 701 (nothing was sent), 702 (the reply was lost: a
/// write may have taken effect), 703 (refused, such as by the rate limit: no effect),
/// 704 (malformed answer).
/// @note Thread-safe; a call blocks its thread.
class store_client
{
  public:
    /// @param addresses addresses of the service, tried in turn
    /// @param timeout timeout of each call; the wait of a watch is added to it
    static std::unique_ptr<store_client> create(std::vector<endpoint> addresses,
                                                millis timeout);

    virtual ~store_client() = default;

    /// @brief Reads one entry.
    /// @return unset if there is none
    virtual absl::StatusOr<std::optional<store_entry>> get(const std::string& key) = 0;

    /// @brief Reads all entries whose key starts with @p prefix.
    virtual absl::StatusOr<store_folder> list(const std::string& prefix) = 0;

    /// @brief Waits at most @p wait for a change of a folder after index @p after.
    virtual absl::StatusOr<store_folder>
    watch(const std::string& prefix, store_index after, millis wait) = 0;

    /// @brief Writes an entry if its index is still @p expected.
    /// @param expected 0: only if there is no such entry
    /// @return whether it was written
    virtual absl::StatusOr<bool> compare_and_swap(const std::string& key,
                                                  const std::string& value,
                                                  store_index expected) = 0;

    /// @brief Creates a lease that expires @p time_to_live after its last renewal.
    virtual absl::StatusOr<store_lease> create_lease(millis time_to_live) = 0;

    /// @brief Renews a lease.
    /// @return false if it has expired
    virtual absl::StatusOr<bool> renew_lease(const store_lease& lease) = 0;

    /// @brief Writes an entry and locks it for a lease, if no other lease holds it.
    /// @return whether the lease holds the lock
    virtual absl::StatusOr<bool> acquire(const std::string& key,
                                         const std::string& value,
                                         const store_lease& lease) = 0;

    /// @brief Writes an entry and unlocks it, if the lease holds its lock.
    /// @return whether it was unlocked
    virtual absl::StatusOr<bool> release(const std::string& key,
                                         const std::string& value,
                                         const store_lease& lease) = 0;

    /// @brief Aborts the calls in progress; later ones fail with 701. Called when the
    /// process stops.
    virtual void close()
    {
    }
};

} // namespace medlar

#endif // MEDLAR_DETAIL_STORE_STORE_CLIENT_HPP
