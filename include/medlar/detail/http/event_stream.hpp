#ifndef MEDLAR_DETAIL_HTTP_EVENT_STREAM_HPP
#define MEDLAR_DETAIL_HTTP_EVENT_STREAM_HPP

#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlar
{

/// @brief Returns whether an event carries data; one that does not, such as a comment, is
/// none to its receiver.
bool carries_data(absl::string_view event);

/// @brief Splits a text/event-stream into complete events.
class event_splitter
{
  public:
    /// receives a complete event, including the empty line that ends it, and its id if it
    /// has a numeric one
    using event_action =
        std::function<void(absl::string_view event, std::optional<std::int64_t> id)>;

    /// @brief Appends bytes and calls @p action for each event that they complete.
    void add(absl::string_view bytes, const event_action& action);

    /// @brief Returns the buffered bytes of an incomplete event.
    absl::string_view incomplete_event() const
    {
        return buffer_;
    }

    /// @brief Discards the buffered bytes of an incomplete event.
    void discard_incomplete_event()
    {
        buffer_.clear();
    }

  private:
    std::string buffer_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_EVENT_STREAM_HPP
