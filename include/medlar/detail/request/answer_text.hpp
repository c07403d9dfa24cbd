#ifndef MEDLAR_DETAIL_REQUEST_ANSWER_TEXT_HPP
#define MEDLAR_DETAIL_REQUEST_ANSWER_TEXT_HPP

#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/outcome.hpp>
#include <medlar/detail/ownership/claim_table.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief One stage call in the trace of a request.
struct trace_entry
{
    std::string stage;
    target_id target_name;
    int attempt = 1;
    /// name of the call result, such as "succeeded"
    std::string result;
    millis started_after{0};
    millis elapsed{0};
    // generate calls only
    std::optional<millis> first_token;
    token_count tokens{0};
    token_count cached_tokens{0};
};

/// @brief Returns a trace as JSON text: the host that ran the request, and its calls.
std::string write_trace(const host_id& ran_on, const std::vector<trace_entry>& calls);

/// @brief Returns the answer to a request as JSON text in one line.
std::string write_answer(const request_id& id, const final_answer& answer);

/// @brief Parses the output of write_answer().
/// @return unset if the text is malformed
std::optional<final_answer> read_answer(absl::string_view text);

/// @brief Returns a token of a stream as JSON text in one line.
std::string
write_token(absl::string_view stage, std::int64_t index, absl::string_view text);

/// @brief One token of a relayed stream.
struct relayed_token
{
    std::string stage;
    std::int64_t index = 0;
    std::string text;
};

/// @brief Parses the output of write_token().
/// @return unset if the line is not a token
std::optional<relayed_token> read_token(absl::string_view line);

/// @brief Returns the HTTP status for an outcome.
int http_status_of(const outcome& result);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_ANSWER_TEXT_HPP
