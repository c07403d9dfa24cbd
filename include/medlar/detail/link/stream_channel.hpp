#ifndef MEDLAR_DETAIL_LINK_STREAM_CHANNEL_HPP
#define MEDLAR_DETAIL_LINK_STREAM_CHANNEL_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/link/wake_pipe.hpp>

#include <Poco/Net/StreamSocket.h>
#include <absl/strings/string_view.h>
#include <nghttp2/nghttp2.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlar
{

/// @brief Role of a channel on its connection.
enum class channel_side
{
    client,
    server,
};

/// @brief How a channel ended.
enum class channel_end
{
    open,      ///< it has not ended
    idle,      ///< closed by this side, without open streams
    broken,    ///< the peer closed the connection or sent nothing for too long
    malformed, ///< the peer sent bytes that are not valid HTTP/2
};

/// @brief Receives the events of a channel, on the thread that runs it.
class channel_listener
{
  public:
    virtual ~channel_listener() = default;

    /// @brief Called before each wait for events; handles the requests of other threads.
    virtual void on_wake() = 0;

    /// @brief Returns whether streams are open or wait to be opened.
    virtual bool has_streams() const = 0;

    /// @brief Called when the peer's SETTINGS frame was received, which shows that its
    /// process is running.
    virtual void on_settings() = 0;

    /// @brief Called for each header field of a call or an answer.
    virtual void
    on_header(std::int32_t stream, absl::string_view name, absl::string_view value) = 0;

    /// @brief Called for each received part of a body.
    virtual void on_data(std::int32_t stream, absl::string_view part) = 0;

    /// @brief Called when a call or an answer is complete.
    virtual void on_end(std::int32_t stream) = 0;

    /// @brief Called when a stream was closed.
    /// @param error HTTP/2 error code
    virtual void on_closed(std::int32_t stream, std::uint32_t error) = 0;

    /// @brief Copies the next bytes of a body to send to @p out.
    /// @param[out] ended whether the body ends with these bytes
    /// @return number of bytes, at most @p capacity; 0 with @p ended false if none are
    ///     available yet
    virtual std::size_t read_body(std::int32_t stream,
                                  std::uint8_t* out,
                                  std::size_t capacity,
                                  bool& ended) = 0;
};

/// @brief An HTTP/2 connection: an nghttp2 session over a POCO socket.
///
/// The thread that calls run() does all input and output. Other threads may only call
/// stop() and wake the channel with wake_pipe::wake().
class stream_channel
{
  public:
    /// @param wake interrupts the waiting of run()
    /// @param traffic counter to which the bytes sent and received are added
    stream_channel(Poco::Net::StreamSocket socket,
                   channel_side side,
                   channel_listener& listener,
                   wake_pipe& wake,
                   std::atomic<std::int64_t>& traffic);
    ~stream_channel();

    stream_channel(const stream_channel&) = delete;
    stream_channel& operator=(const stream_channel&) = delete;

    /// @brief Runs the connection until it ends or stop() is called.
    channel_end run();

    /// @brief Makes run() return soon.
    void stop();

    // for the listener, on the thread that runs the channel

    /// @brief Opens a stream with a POST request whose body is read by read_body().
    /// @return the stream's id, or a negative value if no stream can be opened
    std::int32_t submit_call(const std::string& authority, const std::string& path);

    /// @brief Starts an answer whose body is read by read_body().
    void submit_answer(std::int32_t stream, int status);

    /// @brief Resumes sending a body of which read_body() had no bytes.
    void resume(std::int32_t stream);

    /// @brief Resets a stream.
    /// @param error HTTP/2 error code
    void reset(std::int32_t stream, std::uint32_t error);

    /// @brief Extends the stream's flow control window by @p bytes consumed bytes.
    void consume(std::int32_t stream, std::size_t bytes);

  private:
    static int
    frame_received(nghttp2_session* session, const nghttp2_frame* frame, void* self);
    static int header_received(nghttp2_session* session,
                               const nghttp2_frame* frame,
                               const std::uint8_t* name,
                               std::size_t name_length,
                               const std::uint8_t* value,
                               std::size_t value_length,
                               std::uint8_t flags,
                               void* self);
    static int data_received(nghttp2_session* session,
                             std::uint8_t flags,
                             std::int32_t stream,
                             const std::uint8_t* data,
                             std::size_t length,
                             void* self);
    static int stream_closed(nghttp2_session* session,
                             std::int32_t stream,
                             std::uint32_t error,
                             void* self);
    static ssize_t read_body_data(nghttp2_session* session,
                                  std::int32_t stream,
                                  std::uint8_t* out,
                                  std::size_t capacity,
                                  std::uint32_t* flags,
                                  nghttp2_data_source* source,
                                  void* self);

    void open_session();
    void submit_settings();
    channel_end step();
    channel_end send_pending();
    channel_end receive();
    channel_end check_liveness();
    bool wait();
    int wait_ms() const;

    Poco::Net::StreamSocket socket_;
    channel_side side_;
    channel_listener& listener_;
    wake_pipe& wake_;
    std::atomic<std::int64_t>& traffic_;
    std::atomic<bool> stopping_{false};
    nghttp2_session* session_ = nullptr;
    clock time_ = clock::system();
    // serialised frames that wait to be sent
    std::string unsent_;
    // for detecting a silent peer
    steady_time last_received_;
    steady_time last_busy_;
    bool ping_sent_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_STREAM_CHANNEL_HPP
