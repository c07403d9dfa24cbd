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

/// @brief one call that another process of the system made over its link
struct link_request
{
    /// such as "/v1/grant"
    std::string path;
    std::string body;
};

/// @brief Answers one call; used by the handler's thread only.
class link_responder
{
  public:
    virtual ~link_responder() = default;

    /// @brief Sends a part of the answer.
    /// @return false if the caller has gone or has cancelled
    virtual bool send(absl::string_view part) = 0;

    /// @brief whether the caller has gone or has cancelled
    virtual bool cancelled() const = 0;
};

/// @brief Answers a call; the answer ends when it returns.
/// @return HTTP status of an answer of which no part was sent yet
using link_handler = std::function<int(const link_request&, link_responder&)>;

/// @brief Server side of the links between hosts: HTTP/2 streams (nghttp2) over TCP.
class link_server
{
  public:
    /// @brief Listens and serves until destroyed.
    /// @param where port 0 takes a free one
    /// @param handler called on a worker thread, several at a time
    /// @param max_streams calls served at once; more are refused with status 503
    static absl::StatusOr<std::unique_ptr<link_server>>
    create(const endpoint& where, link_handler handler, int max_streams);

    virtual ~link_server() = default;

    /// @brief where it listens
    virtual endpoint where() const = 0;
};

/// @brief the answer to a call, without the parts already given to on_part
struct link_reply
{
    int status = 0;
    std::string body;
};

/// @brief how a call is made
struct link_call
{
    endpoint to;
    std::string path;
    std::string body;
    /// time until the whole answer must be there
    millis timeout{1000};
    /// set: called for each part of the answer in order; false cancels the call
    std::function<bool(absl::string_view)> on_part;
    /// set: asked now and then; true cancels the call
    std::function<bool()> cancelled;
};

/// @brief Client side of the links: one connection to each peer, many streams on it.
/// @note Safe to call from every thread; a call blocks its thread.
class link_client
{
  public:
    static std::unique_ptr<link_client> create();

    virtual ~link_client() = default;

    /// @brief Makes one call.
    /// @return error 801 (nothing was handed to the network), 802 (the link broke and the
    ///     peer may have read the call), 803 (no whole answer in time; the peer may have
    ///     read the call), 804 (not an answer of this protocol), or kCancelled
    virtual absl::StatusOr<link_reply> call(const link_call& request) = 0;

    /// @brief Makes several calls at once.
    /// @param on_reply called on this thread with the place of each call in @p calls
    ///     and its result
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

    /// @brief bytes sent and received so far, headers included
    virtual byte_count traffic() const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_LINK_HPP
