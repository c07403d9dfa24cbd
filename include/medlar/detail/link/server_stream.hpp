#ifndef MEDLAR_DETAIL_LINK_SERVER_STREAM_HPP
#define MEDLAR_DETAIL_LINK_SERVER_STREAM_HPP

#include <medlar/detail/link/link.hpp>
#include <medlar/detail/link/wake_pipe.hpp>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Streams that have something for the thread of their connection; outlives it.
/// @note Safe to call from every thread.
class stream_mailbox
{
  public:
    /// @brief wakes the connection to look at the stream
    void post(std::int32_t stream);

    /// @brief takes the streams posted so far
    std::vector<std::int32_t> take();

    wake_pipe& wake()
    {
        return wake_;
    }

  private:
    std::mutex mutex_;
    std::vector<std::int32_t> posted_;
    wake_pipe wake_;
};

/// @brief One call at the server: its answer on the way from the handler's thread to
/// the thread of its connection.
class server_stream : public link_responder
{
  public:
    server_stream(std::int32_t stream_id, std::shared_ptr<stream_mailbox> mailbox);

    // for the handler's thread

    bool send(absl::string_view part) override;
    bool cancelled() const override;

    /// @brief ends the answer
    void finish(int status);

    // for the connection's thread

    /// @brief the caller has gone or has cancelled
    void cancel();

    /// @brief whether the answer can start, and has not yet
    /// @param[out] status its HTTP status
    bool try_start(int& status);

    /// @brief gives the next bytes of the answer; see channel_listener::read_body()
    std::size_t read(std::uint8_t* out, std::size_t capacity, bool& ended);

    /// the call; read by the handler only after the connection has filled it
    link_request request;
    /// whether the connection has answered it without the handler
    bool refused = false;

  private:
    const std::int32_t stream_id_;
    const std::shared_ptr<stream_mailbox> mailbox_;
    mutable std::mutex mutex_;
    std::condition_variable space_available_;
    std::string unsent_;
    int status_ = 200;
    bool started_ = false;
    bool finished_ = false;
    bool cancelled_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_SERVER_STREAM_HPP
