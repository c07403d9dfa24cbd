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

/// @brief what an operator must write to force a view
constexpr absl::string_view view_confirmation = "THESE PROCESSES ARE STOPPED";

/// @brief an operator's statement that processes of the view are stopped for good
struct force_view_request
{
    std::string change_id;
    std::string author;
    /// the epoch that the operator looked at
    view_epoch expected;
    std::vector<host_id> stopped;
    /// must be @ref view_confirmation
    std::string confirmation;
};

/// @brief the outcome of a forced view
struct force_view_result
{
    change_state state = change_state::unknown;
    view_epoch epoch;
    std::vector<host_id> members;
    bool accepted_earlier = false;
};

/// @brief Removes stopped processes from a view that has lost its majority.
///
/// The gateways that stay wait until no grant of the stated processes can be in force
/// before they take over (see docs/OWNERSHIP.md). A false statement can lead to a
/// second run of a request.
/// @note Safe to call from every thread.
class view_service
{
  public:
    static std::unique_ptr<view_service> create(store_client& store,
                                                const clock& time,
                                                fleet_service& fleet,
                                                audit_log& audit);

    /// @brief Replaces the view by one without the stated hosts.
    /// @return errors 504 (a bad field), 601 (the view has changed), 604 (no view, or no
    ///     such member), 605, 606 (no gateway shows that all earlier views are closed),
    ///     607 (not confirmed), 701, 703 (nothing was changed)
    absl::StatusOr<force_view_result> force(const force_view_request& request);

  private:
    view_service(store_client& store,
                 const clock& time,
                 fleet_service& fleet,
                 audit_log& audit);

    /// the view record as it lies in the store
    struct stored_view
    {
        view_record record;
        store_index index;
    };

    absl::StatusOr<stored_view> read_view();
    absl::StatusOr<std::optional<force_view_result>>
    try_once(const force_view_request& request, bool& pending);
    absl::StatusOr<std::optional<force_view_result>> find_overtaken(
        const force_view_request& request, const view_record& newest, bool& pending);
    void finish(const force_view_request& request, view_epoch epoch);
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
