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

/// @brief what the server's methods call
struct operators_parts
{
    change_service& changes;
    view_service& views;
    order_service& orders;
    fleet_service& fleet;
};

/// @brief The gRPC server of proto/medlar.proto.
class operators_server
{
  public:
    /// @brief Listens and serves until destroyed.
    /// @param where port 0 takes a free one
    /// @param parts must outlive the server
    /// @return error 901 if it cannot listen
    static absl::StatusOr<std::unique_ptr<operators_server>>
    create(const endpoint& where, const operators_parts& parts);

    virtual ~operators_server() = default;

    /// @brief where it listens
    virtual endpoint where() const = 0;

    /// @brief Takes no new calls and waits, for a bounded time, for those in progress.
    virtual void stop() = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_OPERATORS_SERVER_HPP
