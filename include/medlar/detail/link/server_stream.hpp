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

/// @brief Queue of the streams that the connection's thread has to update. Shared with
/// the streams, so it may outlive the connection.
/// @note Thread-safe.
class stream_mailbox
{
  public:
    /// @brief Adds a stream and wakes the connection's thread.
    void post(std::int32_t stream);

    /// @brief Removes and returns the queued streams.
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

/// @brief State of a call at the server; passes the answer from the handler's thread to
/// the connection's thread.
class server_stream : public link_responder
{
  public:
    server_stream(std::int32_t stream_id, std::shared_ptr<stream_mailbox> mailbox);

    // for the handler's thread

    bool send(absl::string_view part) override;
    bool cancelled() const override;

    /// @brief Ends the answer.
    /// @param status used only if no part was sent
    void finish(int status);

    // for the connection's thread

    /// @brief Records that the client has disconnected or cancelled the call.
    void cancel();

    /// @brief Marks the answer as started if its status is final and it was not started.
    /// @param[out] status HTTP status of the answer
    /// @return whether the answer was started by this call
    bool try_start(int& status);

    /// @brief Copies the next bytes of the answer; see channel_listener::read_body().
    std::size_t read(std::uint8_t* out, std::size_t capacity, bool& ended);

    /// the call; complete before the handler reads it
    link_request request;
    /// whether the connection refused the call without the handler
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
