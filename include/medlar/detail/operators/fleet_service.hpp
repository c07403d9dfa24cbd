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

/// @brief what one gateway answered
struct host_status
{
    view_member host;
    /// whether the view record lists it
    bool in_view = false;
    absl::StatusOr<host_report> report;
};

/// @brief what all known gateways answered
struct fleet_status
{
    /// 0: there is no view, or the store gave no answer
    view_epoch epoch;
    std::vector<host_status> hosts;
    /// why the store gave no answer
    absl::Status store;
};

/// @brief what one gateway knows of a request
struct host_trace
{
    host_id host;
    /// JSON text; unset: the gateway does not know the request
    absl::StatusOr<std::optional<std::string>> trace;
};

/// @brief Asks the gateways over their links.
/// @note Safe to call from every thread.
class fleet_service
{
  public:
    /// @param gateway link address of the gateway of this host, if there is one
    /// @param timeout of each call
    static std::unique_ptr<fleet_service> create(store_client& store,
                                                 link_client& links,
                                                 std::optional<endpoint> gateway,
                                                 millis timeout);

    /// @brief Asks all gateways of the view record and those that wait to be in it,
    /// several at a time.
    /// @note While the store gives no view, the local gateway's is taken.
    fleet_status status();

    /// @brief Asks the same gateways what they know of a request.
    std::vector<host_trace> explain(const request_key& key);

    /// @brief Asks one gateway.
    absl::StatusOr<host_report> report_of(const endpoint& link);

    /// @brief the report of the local gateway
    /// @return kNotFound if there is none
    absl::StatusOr<host_report> local_report();

    /// @brief The configuration in force at the local gateway, which may be newer than
    /// what a store holds that has lost changes.
    /// @return error 603 if it has none, 604 if there is no local gateway
    absl::StatusOr<accepted_document> local_configuration();

  private:
    /// the gateways to ask
    struct roster
    {
        view_epoch epoch;
        std::vector<view_member> hosts;
        std::size_t in_view = 0;
        absl::Status store;
    };

    fleet_service(store_client& store,
                  link_client& links,
                  std::optional<endpoint> gateway,
                  millis timeout);

    roster list_hosts();
    absl::Status add_view(roster& known);
    void add_view_of_gateway(roster& known);
    static absl::Status take_view(const std::string& text, roster& known);
    absl::StatusOr<state_answer> local_state();
    absl::StatusOr<std::optional<std::string>> trace_at(const endpoint& link,
                                                        const request_key& key);

    store_client& store_;
    link_client& links_;
    std::optional<endpoint> gateway_;
    millis timeout_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_FLEET_SERVICE_HPP
