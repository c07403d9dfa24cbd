#ifndef MEDLAR_DETAIL_OPERATORS_VIEW_SERVICE_HPP
#define MEDLAR_DETAIL_OPERATORS_VIEW_SERVICE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/operators/audit_log.hpp>
#include <medlar/detail/operators/change_service.hpp>
#include <medlar/detail/operators/fleet_service.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief confirmation text that an operator must give to force a view
constexpr absl::string_view view_confirmation = "THESE PROCESSES ARE STOPPED";

/// @brief an operator's statement that processes of the view are stopped for good
struct force_view_request
{
    std::string change_id;
    std::string author;
    /// the epoch of the view that the operator has inspected
    view_epoch expected;
    std::vector<host_id> stopped;
    /// must be @ref view_confirmation
    std::string confirmation;
};

/// @brief outcome of forcing a view
struct force_view_result
{
    change_state state = change_state::unknown;
    view_epoch epoch;
    std::vector<host_id> members;
    bool accepted_earlier = false;
};

/// @brief Removes stopped processes from a view that has lost its majority.
///
/// The remaining gateways wait until no grant of the processes stated as stopped can be
/// in force before they take over (see docs/OWNERSHIP.md). If a process stated as stopped
/// is still running, a request can be run twice.
/// @note Thread-safe.
class view_service
{
  public:
    static std::unique_ptr<view_service> create(store_client& store,
                                                const clock& time,
                                                fleet_service& fleet,
                                                audit_log& audit);

    /// @brief Replaces the view by one without the hosts stated as stopped.
    /// @return errors 504 (an invalid field), 601 (the view has changed), 604 (no view
    ///     or no such member), 605, 606 (no remaining gateway reports that all earlier
    ///     views are closed), 607 (not confirmed), 701, 703 (nothing was changed)
    absl::StatusOr<force_view_result> force(const force_view_request& request);

  private:
    view_service(store_client& store,
                 const clock& time,
                 fleet_service& fleet,
                 audit_log& audit);

    /// the view record with its index in the store
    struct stored_view
    {
        view_record record;
        store_index index;
    };

    absl::StatusOr<stored_view> read_view();
    absl::StatusOr<std::optional<force_view_result>>
    try_once(const force_view_request& request, bool& pending);
    /// @brief Returns the earlier result of a request whose view is no longer the newest.
    /// @return error 601 if the request was not accepted
    absl::StatusOr<std::optional<force_view_result>> find_superseded(
        const force_view_request& request, const view_record& newest, bool& pending);
    /// @brief Logs an accepted view and records it in the audit log.
    void record_accepted(const force_view_request& request, view_epoch epoch);
    /// @return error 606 unless a remaining gateway reports that all earlier views are
    ///     closed
    absl::Status check_settled(const view_record& record,
                               const force_view_request& request);
    absl::Status record(const force_view_request& request, bool accepted);

    store_client& store_;
    const clock& time_;
    fleet_service& fleet_;
    audit_log& audit_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_VIEW_SERVICE_HPP
