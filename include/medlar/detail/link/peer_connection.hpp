#ifndef MEDLAR_DETAIL_LINK_PEER_CONNECTION_HPP
#define MEDLAR_DETAIL_LINK_PEER_CONNECTION_HPP

#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/link/client_stream.hpp>
#include <medlar/detail/link/stream_channel.hpp>
#include <medlar/detail/link/wake_pipe.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace medlar
{

/// @brief The client's connection to one peer, with its own thread. It connects when
/// there is a call, reconnects after a failure, and ends when it has been idle for
/// link_limits::client_idle_timeout.
///
/// Calls are sent only after the peer's HTTP/2 SETTINGS frame was received: an accepted
/// TCP connection alone does not show that the peer's process is running.
class peer_connection : private channel_listener
{
  public:
    /// @param first the first call
    /// @param traffic counter to which the bytes sent and received are added
    peer_connection(endpoint peer,
                    const std::shared_ptr<client_stream>& first,
                    std::atomic<std::int64_t>& traffic);

    /// @brief Closes the connection; its calls fail.
    ~peer_connection() override;

    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;

    /// @brief Queues a call.
    /// @return false if the connection has ended; the call then needs a new connection
    bool start(const std::shared_ptr<client_stream>& stream);

    /// @brief Returns whether the connection has ended and accepts no more calls.
    bool ended() const;

    /// @brief Notifies the connection's thread that bytes of @p stream were consumed or
    /// that the call was abandoned.
    void notify(const std::shared_ptr<client_stream>& stream);

  private:
    void serve();
    std::optional<Poco::Net::StreamSocket> open();
    void run_channel(const Poco::Net::StreamSocket& socket);
    bool end_if_unused();
    void enqueue_posted();
    void submit_waiting();
    void submit(const std::shared_ptr<client_stream>& stream);
    void update_stream(const std::shared_ptr<client_stream>& stream);
    void fail_waiting(const std::string& reason);
    void fail_open(channel_end end);

    void on_wake() override;
    bool has_streams() const override;
    void on_settings() override;
    void on_header(std::int32_t stream,
                   absl::string_view name,
                   absl::string_view value) override;
    void on_data(std::int32_t stream, absl::string_view part) override;
    void on_end(std::int32_t stream) override;
    void on_closed(std::int32_t stream, std::uint32_t error) override;
    std::size_t read_body(std::int32_t stream,
                          std::uint8_t* out,
                          std::size_t capacity,
                          bool& ended) override;

    client_stream* find(std::int32_t stream);

    const endpoint peer_;
    std::atomic<std::int64_t>& traffic_;
    wake_pipe wake_;
    std::atomic<bool> stopping_{false};

    // shared with the calling threads
    mutable std::mutex mutex_;
    std::vector<std::shared_ptr<client_stream>> posted_;
    std::vector<std::shared_ptr<client_stream>> changed_;
    bool ended_ = false;

    // used by the connection's thread only
    std::deque<std::shared_ptr<client_stream>> waiting_;
    std::map<std::int32_t, std::shared_ptr<client_stream>> open_streams_;
    std::map<const client_stream*, std::int32_t> stream_ids_;
    stream_channel* channel_ = nullptr;
    bool settings_received_ = false;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_PEER_CONNECTION_HPP
