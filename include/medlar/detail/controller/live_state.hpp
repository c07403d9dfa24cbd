#ifndef MEDLAR_DETAIL_CONTROLLER_LIVE_STATE_HPP
#define MEDLAR_DETAIL_CONTROLLER_LIVE_STATE_HPP

#include <medlar/detail/cluster/state_order.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace medlar
{

/// @brief One entry of the live folder as last read from the store.
struct live_entry
{
    /// index for compare-and-swap; 0: there is no entry
    store_index modified{0};
    state_version version;
    /// the value cannot be parsed
    bool malformed = false;
};

/// @brief Snapshot of the live folder and of the newest known state.
struct live_snapshot
{
    /// the last call to the store was answered
    bool reachable = false;
    live_entry stored_configuration;
    live_entry stored_view;
    /// the newest known configuration; nullptr: none
    std::shared_ptr<const accepted_document> configuration;
    /// its JSON form
    std::string configuration_text;
    /// the newest known view record; nullptr: none
    std::shared_ptr<const view_record> view;
};

/// @brief Order of the entries that were read relative to the state known before.
struct live_reading
{
    state_order configuration = state_order::same;
    state_order view = state_order::same;
    /// first error in parsing an entry
    absl::Status malformed;
};

/// @brief Holds the newest configuration and view known to this controller, and the state
/// of the store. The known state is never replaced by an older one.
/// @note Thread-safe.
class live_state
{
  public:
    /// @brief Updates the state from the folder that was read.
    live_reading update(const store_folder& folder);

    /// @brief Adopts a view that was written or fetched from the gateway, if it is newer.
    void merge_view(const view_record& record);

    /// @brief Adopts a configuration that was fetched from the gateway, if it is newer.
    /// @return errors of parse_accepted_document()
    absl::Status merge_configuration(const std::string& text);

    /// @brief Records that the store does not answer.
    void set_unreachable();

    live_snapshot snapshot() const;

  private:
    state_order update_stored_configuration(const store_entry* entry,
                                            absl::Status* malformed);
    state_order update_stored_view(const store_entry* entry, absl::Status* malformed);

    mutable std::mutex mutex_;
    live_snapshot snapshot_;
    // text of the stored configuration, to detect that it is unchanged
    std::string stored_text_;
};

/// @brief Returns the revision and the change id; 0 and empty for nullptr.
state_version version_of(const accepted_document* accepted);

/// @brief Returns the epoch and the digest of the current view; 0 and empty for
/// nullptr.
state_version version_of(const view_record* record);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_LIVE_STATE_HPP
