#ifndef MEDLAR_DETAIL_HTTP_EVENT_STREAM_HPP
#define MEDLAR_DETAIL_HTTP_EVENT_STREAM_HPP

#include <absl/strings/string_view.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace medlar
{

/// @brief Splits a text/event-stream into whole events.
class event_splitter
{
  public:
    /// receives one whole event with the empty line that ends it, and its id
    using event_action =
        std::function<void(absl::string_view event, std::optional<std::int64_t> id)>;

    /// @brief Adds bytes and calls @p action for each event that is whole now.
    void add(absl::string_view bytes, const event_action& action);

    /// @brief bytes of an event that is not whole
    absl::string_view rest() const
    {
        return buffer_;
    }

    /// @brief Drops the bytes of an event that is not whole.
    void drop_rest()
    {
        buffer_.clear();
    }

  private:
    std::string buffer_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HTTP_EVENT_STREAM_HPP
