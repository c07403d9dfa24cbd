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

/// @brief State of a call at the client, shared by the calling thread and the thread of
/// the connection.
/// @note Thread-safe.
class client_stream
{
  public:
    client_stream(std::string path, std::string body);

    // for the calling thread

    /// @brief Result of wait().
    struct progress
    {
        /// parts of the answer received since the last wait(), in order
        std::deque<std::string> parts;
        /// status of the answer or error, once the call has ended
        std::optional<absl::StatusOr<int>> ended;
    };

    /// @brief Waits up to @p timeout for parts of the answer or the end of the call.
    progress wait(millis timeout);

    /// @brief Abandons the call.
    /// @return whether a part of the call may have been sent
    bool abandon();

    /// @brief Adds to the number of consumed bytes of the answer, by which the peer's
    /// flow control window is extended.
    void add_consumed(std::size_t bytes);

    // for the connection's thread

    const std::string& path() const
    {
        return path_;
    }

    /// @brief Marks the call as sent.
    /// @return false if it was abandoned before
    bool begin();

    /// @brief Returns whether the calling thread has abandoned the call.
    bool abandoned() const;

    /// @brief Returns the number of bytes consumed since the last call of this function.
    std::size_t take_consumed();

    void set_status(int status);
    void add_part(absl::string_view part);

    /// @brief Ends the call with the status of its answer, or with error 804 if it has
    /// none.
    void succeed();
    void fail(const absl::Status& error);

    /// @brief Copies the next bytes of the call's body to @p out.
    /// @param[out] ended whether the body ends with these bytes
    /// @return number of bytes, at most @p capacity
    std::size_t read(std::uint8_t* out, std::size_t capacity, bool& ended);

  private:
    const std::string path_;
    const std::string body_;
    // used by the connection's thread only
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
