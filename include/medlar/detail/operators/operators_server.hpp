#ifndef MEDLAR_DETAIL_OPERATORS_OPERATORS_SERVER_HPP
#define MEDLAR_DETAIL_OPERATORS_OPERATORS_SERVER_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/operators/change_service.hpp>
#include <medlar/detail/operators/fleet_service.hpp>
#include <medlar/detail/operators/order_service.hpp>
#include <medlar/detail/operators/view_service.hpp>

#include <absl/status/statusor.h>

#include <memory>

namespace medlar
{

/// @brief the services that the gRPC methods call
struct operator_services
{
    change_service& changes;
    view_service& views;
    order_service& orders;
    fleet_service& fleet;
};

/// @brief gRPC server of the service in proto/medlar.proto.
class operators_server
{
  public:
    /// @brief Starts a server, which runs until it is stopped or destroyed.
    /// @param where listening address; port 0 selects a free port
    /// @param services must outlive the server
    /// @return error 901 if it cannot listen
    static absl::StatusOr<std::unique_ptr<operators_server>>
    create(const endpoint& where, const operator_services& services);

    virtual ~operators_server() = default;

    /// @brief the listening address, with the actual port
    virtual endpoint where() const = 0;

    /// @brief Refuses new calls and waits, for a bounded time, for those in progress.
    virtual void stop() = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_OPERATORS_SERVER_HPP
