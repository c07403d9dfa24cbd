#ifndef MEDLAR_DETAIL_OPERATORS_FLEET_SERVICE_HPP
#define MEDLAR_DETAIL_OPERATORS_FLEET_SERVICE_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/link/link.hpp>
#include <medlar/detail/membership/messages.hpp>
#include <medlar/detail/operators/host_report.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief status of one gateway
struct host_status
{
    view_member host;
    /// whether the host is a member of the view
    bool in_view = false;
    absl::StatusOr<host_report> report;
};

/// @brief status of all known gateways
struct fleet_status
{
    /// 0 if there is no view, or neither the store nor the local gateway returned one
    view_epoch epoch;
    std::vector<host_status> hosts;
    /// the error of reading the view from the store
    absl::Status store;
};

/// @brief trace of a request at one gateway
struct host_trace
{
    host_id host;
    /// JSON text; unset if the gateway has no record of the request
    absl::StatusOr<std::optional<std::string>> trace;
};

/// @brief Queries the gateways over their links.
/// @note Thread-safe.
class fleet_service
{
  public:
    /// @param gateway link address of the gateway on this host, if there is one
    /// @param timeout limit of each call
    static std::unique_ptr<fleet_service> create(store_client& store,
                                                 link_client& links,
                                                 std::optional<endpoint> gateway,
                                                 millis timeout);

    /// @brief Queries all members of the view, and the gateways waiting to join it,
    /// several at a time.
    /// @note If the store returns no view, the view of the local gateway is used.
    fleet_status status();

    /// @brief Queries the same gateways for their traces of a request.
    std::vector<host_trace> explain(const request_key& key);

    /// @brief Queries the status of one gateway.
    absl::StatusOr<host_report> fetch_report(const endpoint& link);

    /// @brief Queries the status of the local gateway.
    /// @return error 604 if there is no local gateway
    absl::StatusOr<host_report> local_report();

    /// @brief Returns the configuration in force at the local gateway, which may be
    /// newer than the stored one if the store has lost changes.
    /// @return error 603 if the gateway has none, 604 if there is no local gateway
    absl::StatusOr<accepted_document> local_configuration();

  private:
    /// the gateways to query
    struct gateway_list
    {
        view_epoch epoch;
        std::vector<view_member> hosts;
        /// the first hosts, up to this number, are members of the view
        std::size_t in_view = 0;
        absl::Status store;
    };

    fleet_service(store_client& store,
                  link_client& links,
                  std::optional<endpoint> gateway,
                  millis timeout);

    gateway_list list_hosts();
    absl::Status add_view_from_store(gateway_list& gateways);
    void add_view_from_gateway(gateway_list& gateways);
    static absl::Status set_view(const std::string& text, gateway_list& gateways);
    absl::StatusOr<state_answer> fetch_local_state();
    absl::StatusOr<std::optional<std::string>> fetch_trace(const endpoint& link,
                                                           const request_key& key);

    store_client& store_;
    link_client& links_;
    std::optional<endpoint> gateway_;
    millis timeout_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_FLEET_SERVICE_HPP
