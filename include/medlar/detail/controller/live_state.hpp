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

/// @brief one entry of the live folder as the store had it last
struct live_entry
{
    /// its index for compare-and-swap; 0: there is none
    store_index modified{0};
    state_version version;
    /// the entry cannot be read
    bool malformed = false;
};

/// @brief what is known of the live folder
struct live_snapshot
{
    /// the last call to the store was answered
    bool reachable = false;
    live_entry stored_configuration;
    live_entry stored_view;
    /// the newest configuration ever seen; nullptr: none
    std::shared_ptr<const accepted_document> configuration;
    /// its JSON form
    std::string configuration_text;
    /// the newest view record ever seen; nullptr: none
    std::shared_ptr<const view_record> view;
};

/// @brief How the entries that were read stand to what was known before.
struct live_reading
{
    state_order configuration = state_order::same;
    state_order view = state_order::same;
    /// first error in reading an entry
    absl::Status malformed;
};

/// @brief The newest configuration and view that this controller has seen, and what the
/// store has. Moves only forward.
/// @note Safe to call from every thread.
class live_state
{
  public:
    /// @brief Takes over the folder as it was read.
    live_reading take(const store_folder& folder);

    /// @brief Takes note of a view that was written, or learned from the gateway.
    void take_view(const view_record& record);

    /// @brief Takes note of a configuration that was learned from the gateway.
    /// @return errors of parse_accepted_document()
    absl::Status take_configuration(const std::string& text);

    /// @brief The store does not answer.
    void set_unreachable();

    live_snapshot snapshot() const;

  private:
    state_order take_stored_configuration(const store_entry* entry,
                                          absl::Status* malformed);
    state_order take_stored_view(const store_entry* entry, absl::Status* malformed);

    mutable std::mutex mutex_;
    live_snapshot now_;
    // value of the stored configuration
    std::string stored_text_;
};

/// @brief what tells one accepted document from another
state_version version_of(const accepted_document* accepted);

/// @brief what tells one view record from another
state_version version_of(const view_record* record);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_LIVE_STATE_HPP
