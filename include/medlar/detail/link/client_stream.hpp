#ifndef MEDLAR_DETAIL_LINK_CLIENT_STREAM_HPP
#define MEDLAR_DETAIL_LINK_CLIENT_STREAM_HPP

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/link/link.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace medlar
{

/// @brief One call at the client, shared by the calling thread and the thread of the
/// connection.
/// @note Safe to call from every thread.
class client_stream
{
  public:
    client_stream(std::string path, std::string body);

    // for the calling thread

    /// @brief what wait() found
    struct progress
    {
        /// parts of the answer, in order
        std::deque<std::string> parts;
        /// set when the call has ended
        std::optional<absl::StatusOr<int>> ended;
    };

    /// @brief Waits for parts or the end, at most for @p span.
    progress wait(millis timeout);

    /// @brief Gives the call up.
    /// @return whether a part of it may have been handed to the network
    bool abandon();

    /// @brief tells how many bytes of the answer were used
    void add_consumed(std::size_t bytes);

    // for the connection's thread

    const std::string& path() const
    {
        return path_;
    }

    /// @brief Marks the call as handed to the network.
    /// @return false if it was given up before
    bool begin();

    /// @brief whether the calling thread has given it up
    bool abandoned() const;

    /// @brief takes the bytes used since the last call
    std::size_t take_consumed();

    void set_status(int status);
    void add_part(absl::string_view part);

    /// @brief ends the call with its status, or with 804 if it has none
    void succeed();
    void fail(const absl::Status& error);

    /// @brief gives the next bytes of the call's body
    std::size_t read(std::uint8_t* out, std::size_t capacity, bool& ended);

  private:
    const std::string path_;
    const std::string body_;
    // of the connection's thread
    std::size_t sent_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::string> parts_;
    std::optional<absl::StatusOr<int>> ended_;
    std::size_t consumed_ = 0;
    int status_ = 0;
    bool begun_ = false;
    bool abandoned_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_LINK_CLIENT_STREAM_HPP
