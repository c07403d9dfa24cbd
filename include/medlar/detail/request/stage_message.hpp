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

/// @brief A stage call as it is sent to a target; see docs/TARGETS.md.
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

/// @brief Returns the wire name of a stage kind, such as "encode".
absl::string_view stage_kind_name(stage_kind kind);

/// @brief Returns a stage call as JSON text.
std::string write_stage_message(const stage_message& message);

/// @brief Why a target's answer was rejected.
struct bad_reply
{
    reason why = reason::target_answer_malformed;
    std::string message;
};

/// @brief The output of a stage as JSON text.
struct stage_output
{
    std::string text;
};

/// @brief Parses the answer to a call other than generate and checks that it is complete
/// and for this request.
std::variant<stage_output, bad_reply> check_reply(absl::string_view body,
                                                  absl::string_view request_id);

/// @brief One token of a generate stream.
struct stream_token
{
    std::int64_t index = 0;
    std::string text;
};

/// @brief The last line of a generate stream.
struct stream_end
{
    std::int64_t tokens = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
};

/// @brief Parses and checks one line of a generate stream.
/// @param next_index number of tokens received so far: the index that a token must have,
///     or the count that the last line must state
std::variant<stream_token, stream_end, bad_reply> check_stream_line(
    absl::string_view line, absl::string_view request_id, std::int64_t next_index);

/// @brief The body of a target's answer with status 503.
struct target_refusal
{
    bool not_run = false;
    bool leaving = false;
    std::optional<millis> retry_after;
};

/// @brief Parses the body of an answer with status 503. Fields that are missing or
/// malformed keep their defaults.
target_refusal read_target_refusal(absl::string_view body);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_STAGE_MESSAGE_HPP
