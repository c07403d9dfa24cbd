#ifndef MEDLAR_DETAIL_GATEWAY_CALLER_SERVER_HPP
#define MEDLAR_DETAIL_GATEWAY_CALLER_SERVER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/gateway/gateway.hpp>

#include <absl/status/statusor.h>

#include <memory>

namespace medlar
{

/// @brief Settings of the HTTP server for callers.
struct caller_server_settings
{
    /// port 0: any free port
    endpoint listen{"127.0.0.1", 0};
    int max_connections = 1024;
    /// a connection on which no byte arrives for this time is closed
    millis socket_timeout{10000};
    /// time limit for receiving the body of a request
    millis body_timeout{20000};
    /// an idle connection is closed after this time
    millis keep_alive{15000};
    /// memory limit of the bodies of all requests together
    byte_count max_bodies{256L * 1024 * 1024};
};

/// @brief HTTP server for callers, with one thread per connection; see docs/API.md.
class caller_server
{
  public:
    /// @brief Starts to listen and to serve.
    /// @return error 901 if it cannot listen on the address
    static absl::StatusOr<std::unique_ptr<caller_server>>
    create(const caller_server_settings& settings, gateway& local_gateway);

    virtual ~caller_server() = default;

    /// @brief Returns the address that it listens on.
    virtual endpoint where() const = 0;

    /// @brief Stops accepting connections; open ones are served on.
    virtual void stop_accepting() = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_CALLER_SERVER_HPP
