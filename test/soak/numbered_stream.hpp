#ifndef MEDLAR_TEST_SOAK_NUMBERED_STREAM_HPP
#define MEDLAR_TEST_SOAK_NUMBERED_STREAM_HPP

#include <medlar/detail/http/head.hpp>
#include <medlar/detail/policy/random_source.hpp>

#include <absl/strings/string_view.h>

#include <set>
#include <string>

namespace medlar::soak
{

/// @brief How the answer with a stream looks. A request states it in its path, so that
/// each target that the stream goes on at sends it alike.
struct stream_shape
{
    static constexpr int event_count = 40;

    body_kind framing = body_kind::until_close;
    /// whether lines end with CR and LF
    bool has_crlf = false;
    /// whether events state the version of the weights as their first line
    bool states_weights = false;
    /// whether an event is sent in two parts
    bool is_split = false;
    /// whether targets begin before the event that they are asked to go on after
    bool begins_earlier = false;
    /// number of the first event, 0 or 1
    int first = 1;

    static stream_shape draw(random_source& random);

    /// @brief Returns the shape that text() has written.
    static stream_shape from_text(absl::string_view text);

    std::string text() const;

    int last() const
    {
        return first + event_count - 1;
    }

    /// @brief number with which a target begins that is asked to go on after @p number
    int next_after(int number) const;

    std::string event(int number, absl::string_view data) const;

    /// @brief name of the framing
    const char* framing_name() const;
};

/// @brief A stream as its caller observes it, over all of its tries.
class numbered_stream
{
  public:
    numbered_stream(std::string name, const stream_shape& shape)
        : name_(std::move(name)), shape_(shape)
    {
    }

    const std::string& name() const
    {
        return name_;
    }

    const stream_shape& shape() const
    {
        return shape_;
    }

    /// @brief Records the body of one answer.
    /// @param is_complete whether the answer has ended regularly
    void add_answer(absl::string_view body, bool is_complete);

    /// @brief number of the last event; one less than the first if there is none
    int last_number() const
    {
        return last_number_;
    }

    bool has_events() const
    {
        return last_number_ >= shape_.first;
    }

    bool is_whole() const
    {
        return is_whole_;
    }

    bool ended_early_as_whole = false;
    bool misses_numbers = false;
    bool repeats_numbers = false;
    bool has_foreign_data = false;
    /// versions of the targets that its events came from
    std::set<std::string> versions;

  private:
    void add_event(absl::string_view event);

    std::string name_;
    stream_shape shape_;
    int last_number_ = shape_.first - 1;
    bool is_whole_ = false;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_NUMBERED_STREAM_HPP
