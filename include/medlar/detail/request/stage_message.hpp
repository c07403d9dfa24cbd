#ifndef MEDLAR_DETAIL_REQUEST_STAGE_MESSAGE_HPP
#define MEDLAR_DETAIL_REQUEST_STAGE_MESSAGE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/outcome.hpp>
#include <medlar/detail/config/document.hpp>

#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace medlar
{

/// @brief one stage call as it is sent to a target; see docs/TARGETS.md
struct stage_message
{
    std::string request_id;
    std::string call_id;
    int attempt = 1;
    stage_kind kind = stage_kind::encode;
    model_id model;
    /// JSON text
    std::string input;
    std::string prompt_prefix;
    token_count max_tokens{0};
    int priority = 0;
    millis deadline_remaining{0};
    std::int64_t resume_from = 0;
};

/// @brief the name of a kind at targets, such as "encode"
absl::string_view stage_kind_name(stage_kind kind);

/// @brief the JSON form of a stage call
std::string write_stage_message(const stage_message& message);

/// @brief an answer of a target that cannot be used
struct bad_reply
{
    reason why = reason::target_answer_malformed;
    std::string message;
};

/// @brief JSON text of a stage's output
struct stage_output
{
    std::string text;
};

/// @brief Checks the answer to a call other than generate: whole, and to this request.
std::variant<stage_output, bad_reply> check_reply(absl::string_view body,
                                                  absl::string_view request_id);

/// @brief one token of a stream
struct stream_token
{
    std::int64_t index = 0;
    std::string text;
};

/// @brief the closing line of a stream
struct stream_end
{
    std::int64_t tokens = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
};

/// @brief Checks one line of a generate stream.
/// @param next_index index of the next token, or the number of tokens of a whole stream
std::variant<stream_token, stream_end, bad_reply> check_stream_line(
    absl::string_view line, absl::string_view request_id, std::int64_t next_index);

/// @brief what a target's answer with status 503 says
struct target_refusal
{
    bool not_run = false;
    bool leaving = false;
    std::optional<millis> retry_after;
};

/// @brief Reads the body of an answer with status 503.
target_refusal read_target_refusal(absl::string_view body);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_STAGE_MESSAGE_HPP
