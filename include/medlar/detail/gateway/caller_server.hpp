#ifndef MEDLAR_DETAIL_GATEWAY_CALLER_SERVER_HPP
#define MEDLAR_DETAIL_GATEWAY_CALLER_SERVER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/gateway/gateway.hpp>

#include <absl/status/statusor.h>

#include <memory>

namespace medlar
{

/// @brief how callers' HTTP is served
struct caller_server_settings
{
    /// port 0 takes a free one
    endpoint listen{"127.0.0.1", 0};
    int max_connections = 1024;
    /// time without a byte after which a connection is closed
    millis socket_timeout{10000};
    /// time until the whole body of a request must be there
    millis body_timeout{20000};
    /// time that an unused connection is kept
    millis keep_alive{15000};
};

/// @brief Callers' HTTP server, one thread for each connection; see docs/API.md.
class caller_server
{
  public:
    /// @return error 901 if the address cannot be listened on
    static absl::StatusOr<std::unique_ptr<caller_server>>
    create(const caller_server_settings& settings, gateway& local_gateway);

    virtual ~caller_server() = default;

    /// @brief where it listens
    virtual endpoint where() const = 0;

    /// @brief Takes no new connections any more.
    virtual void stop_accepting() = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_CALLER_SERVER_HPP
