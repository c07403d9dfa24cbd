#ifndef MEDLAR_DETAIL_LINK_LINK_HPP
#define MEDLAR_DETAIL_LINK_LINK_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace medlar
{

/// @brief A call received from another process over a link.
struct link_request
{
    /// for example "/v1/grant"
    std::string path;
    std::string body;
};

/// @brief Sends the answer to one call; used by the handler's thread only.
class link_responder
{
  public:
    virtual ~link_responder() = default;

    /// @brief Sends a part of the answer; blocks while too many bytes wait to be sent.
    /// @return false if the client has disconnected or cancelled the call
    virtual bool send(absl::string_view part) = 0;

    /// @brief Returns whether the client has disconnected or cancelled the call.
    virtual bool cancelled() const = 0;
};

/// @brief Handles a call; the answer ends when it returns.
/// @return HTTP status of the answer; ignored if a part was already sent (status 200)
using link_handler = std::function<int(const link_request&, link_responder&)>;

/// @brief Server of the links between hosts: HTTP/2 streams (nghttp2) over TCP.
class link_server
{
  public:
    /// @brief Creates a server that listens until it is destroyed.
    /// @param where address to listen at; port 0 selects a free port
    /// @param handler called concurrently on worker threads
    /// @param max_streams maximum number of concurrent calls of one path; further calls
    /// are
    ///     refused with status 503
    /// @return error 901 if the address cannot be used
    static absl::StatusOr<std::unique_ptr<link_server>>
    create(const endpoint& where, link_handler handler, int max_streams);

    virtual ~link_server() = default;

    /// @brief Returns the address at which the server listens.
    virtual endpoint where() const = 0;
};

/// @brief Answer to a call, without the parts passed to link_call::on_part.
struct link_reply
{
    int status = 0;
    std::string body;
};

/// @brief A call to make, with its options.
struct link_call
{
    endpoint to;
    std::string path;
    std::string body;
    /// time until the complete answer must be received
    millis timeout{1000};
    /// if set, called for each part of the answer in order; returning false cancels the
    /// call
    std::function<bool(absl::string_view)> on_part;
    /// if set, polled while waiting; returning true cancels the call
    std::function<bool()> cancelled;
};

/// @brief Client of the links: one connection to each peer, with many streams.
/// @note Thread-safe; a call blocks its thread.
class link_client
{
  public:
    static std::unique_ptr<link_client> create();

    virtual ~link_client() = default;

    /// @brief Makes a call and waits for its answer.
    /// @return error 801 (nothing was sent), 802 (the connection broke; the peer may have
    ///     read the call), 803 (timeout before the complete answer; the peer may have
    ///     read the call), 804 (not a valid answer of this protocol), or kCancelled
    virtual absl::StatusOr<link_reply> call(const link_call& request) = 0;

    /// @brief Makes several calls concurrently and waits for all answers.
    /// @param on_reply called on this thread with the index of each call in @p calls and
    ///     its result
    virtual void
    call_all(const std::vector<link_call>& calls,
             const std::function<void(std::size_t, const absl::StatusOr<link_reply>&)>&
                 on_reply)
    {
        for (std::size_t at = 0; at < calls.size(); ++at)
        {
            on_reply(at, call(calls[at]));
        }
    }

    /// @brief Returns the bytes sent and received so far, including headers.
    virtual byte_count traffic() const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_LINK_HPP
