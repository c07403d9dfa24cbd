#include "soak/numbered_stream.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace medlar::soak
{

stream_shape stream_shape::draw(random_source& random)
{
    stream_shape drawn;
    const std::uint64_t framing = random.below(4);
    drawn.framing = framing < 2    ? body_kind::until_close
                    : framing == 2 ? body_kind::chunked
                                   : body_kind::length;
    drawn.has_crlf = random.below(4) == 0;
    drawn.states_weights = random.below(4) == 0;
    drawn.is_split = random.below(4) == 0;
    drawn.first = static_cast<int>(random.below(2));
    drawn.begins_earlier = random.below(6) == 0;
    return drawn;
}

stream_shape stream_shape::from_text(absl::string_view text)
{
    const std::vector<std::string> fields = absl::StrSplit(text, '-');
    stream_shape read;
    read.framing = fields.at(0) == "none"     ? body_kind::until_close
                   : fields.at(0) == "chunks" ? body_kind::chunked
                                              : body_kind::length;
    read.has_crlf = fields.at(1) == "1";
    read.states_weights = fields.at(2) == "1";
    read.is_split = fields.at(3) == "1";
    read.first = fields.at(4) == "1" ? 1 : 0;
    read.begins_earlier = fields.at(5) == "1";
    return read;
}

std::string stream_shape::text() const
{
    return absl::StrCat(framing_name(),
                        "-",
                        has_crlf ? 1 : 0,
                        "-",
                        states_weights ? 1 : 0,
                        "-",
                        is_split ? 1 : 0,
                        "-",
                        first,
                        "-",
                        begins_earlier ? 1 : 0);
}

int stream_shape::next_after(int number) const
{
    constexpr int repeated_events = 2;
    return begins_earlier ? std::max(first, number + 1 - repeated_events) : number + 1;
}

const char* stream_shape::framing_name() const
{
    return framing == body_kind::until_close ? "none"
           : framing == body_kind::chunked   ? "chunks"
                                             : "length";
}

std::string stream_shape::event(int number, absl::string_view data) const
{
    const std::string text = absl::StrCat(states_weights ? "weight-versions: 3\n" : "",
                                          "id: ",
                                          number,
                                          "\ndata: ",
                                          data,
                                          "\n\n");
    return has_crlf ? absl::StrReplaceAll(text, {{"\n", "\r\n"}}) : text;
}

void numbered_stream::add_answer(absl::string_view body, bool is_complete)
{
    const std::string text = absl::StrReplaceAll(body, {{"\r\n", "\n"}});
    std::vector<std::string> events = absl::StrSplit(text, "\n\n");
    const bool ends_within_event = !events.back().empty();
    events.pop_back();
    for (const std::string& each : events)
    {
        add_event(each);
    }
    is_whole_ = is_complete && !ends_within_event && last_number_ == shape_.last();
    ended_early_as_whole = ended_early_as_whole || (is_complete && !is_whole_);
}

void numbered_stream::add_event(absl::string_view event)
{
    int number = -1;
    std::vector<std::string> data;
    for (const absl::string_view line : absl::StrSplit(event, '\n'))
    {
        if (absl::StartsWith(line, "id: "))
        {
            has_foreign_data |= !absl::SimpleAtoi(line.substr(4), &number);
        }
        else if (absl::StartsWith(line, "data: "))
        {
            data = absl::StrSplit(line.substr(6), ' ');
        }
    }
    misses_numbers |= number > last_number_ + 1;
    repeats_numbers |= number <= last_number_;
    last_number_ = std::max(last_number_, number);
    // name of the stream, and version of the target
    if (data.size() != 2 || data.front() != name_)
    {
        has_foreign_data = true;
        return;
    }
    versions.insert(data.back());
}

} // namespace medlar::soak
