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

/// @brief number that the store raises with each change of an entry
using store_index = strong_type<struct store_index_tag, std::uint64_t>;

/// @brief identity of a lease of the store
using store_lease = strong_type<struct store_lease_tag, std::string>;

/// @brief one entry of the store
struct store_entry
{
    std::string key;
    std::string value;
    /// index of its last change, for compare-and-swap
    store_index modified;
    /// rises each time a lease acquires it; a fencing number
    fencing_number lock_count;
    /// the lease that holds it; empty: none
    store_lease holder;
};

/// @brief a folder as it was at one index
struct store_folder
{
    store_index at;
    std::vector<store_entry> entries;
};

/// @brief Client of the platform's key-value service (Consul's HTTP protocol).
///
/// Each method is one call. Errors: 701 (nothing was sent), 702 (the reply was lost: a
/// write may have taken effect), 703 (refused, such as by the rate limit: no effect),
/// 704 (not an answer of this protocol).
/// @note Safe to call from every thread; a call blocks its thread.
class store_client
{
  public:
    /// @param where addresses of the service, tried in turn
    /// @param timeout of each call, a watch's own wait apart
    static std::unique_ptr<store_client> create(std::vector<endpoint> where,
                                                millis timeout);

    virtual ~store_client() = default;

    /// @brief Reads one entry.
    /// @return unset if there is none
    virtual absl::StatusOr<std::optional<store_entry>> get(const std::string& key) = 0;

    /// @brief Reads all entries whose key starts with @p prefix.
    virtual absl::StatusOr<store_folder> list(const std::string& prefix) = 0;

    /// @brief Waits for a change of a folder after @p after, at most @p wait.
    virtual absl::StatusOr<store_folder>
    watch(const std::string& prefix, store_index after, millis wait) = 0;

    /// @brief Writes an entry if its index is still @p expected.
    /// @param expected 0: only if there is no such entry
    /// @return whether it was written
    virtual absl::StatusOr<bool> compare_and_swap(const std::string& key,
                                                  const std::string& value,
                                                  store_index expected) = 0;

    /// @brief Creates a lease that lapses @p time_to_live after its last renewal.
    virtual absl::StatusOr<store_lease> create_lease(millis time_to_live) = 0;

    /// @brief Renews a lease.
    /// @return whether it was still held
    virtual absl::StatusOr<bool> renew_lease(const store_lease& lease) = 0;

    /// @brief Writes an entry and locks it for a lease, if no other lease holds it.
    /// @return whether it is held
    virtual absl::StatusOr<bool> acquire(const std::string& key,
                                         const std::string& value,
                                         const store_lease& lease) = 0;

    /// @brief Writes an entry that the lease holds and unlocks it.
    virtual absl::StatusOr<bool> release(const std::string& key,
                                         const std::string& value,
                                         const store_lease& lease) = 0;

    /// @brief Ends the calls that are waiting and lets every later one fail with 701;
    /// called when the process stops.
    virtual void close()
    {
    }
};

} // namespace medlar

#endif // MEDLAR_DETAIL_STORE_STORE_CLIENT_HPP
