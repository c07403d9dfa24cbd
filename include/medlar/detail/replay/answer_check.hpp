#ifndef MEDLAR_DETAIL_REPLAY_ANSWER_CHECK_HPP
#define MEDLAR_DETAIL_REPLAY_ANSWER_CHECK_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/outcome.hpp>
#include <medlar/detail/replay/trace.hpp>

#include <absl/strings/string_view.h>

#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief a stage call as listed in the trace of an answer
struct traced_call
{
    std::string stage;
    std::string target;
    int attempt = 1;
    std::string result;
    millis elapsed{0};
    std::optional<millis> first_token;
    std::int64_t tokens = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
};

/// @brief a parsed answer and the result of its checks
struct checked_answer
{
    outcome_kind kind = outcome_kind::unknown;
    std::string reason;
    /// why the answer is wrong: incomplete or for another request; empty: it is
    /// correct
    std::string fault;
    std::vector<traced_call> calls;
};

/// @brief Parses an answer and checks that it is complete and for @p request.
/// @return nullopt if the text is not an answer, so that the request must be resent
std::optional<checked_answer> check_answer(const trace_request& request,
                                           absl::string_view text);

/// @brief Parses and checks a streamed answer: token lines, then the answer as the last
/// line.
std::optional<checked_answer> check_stream(const trace_request& request,
                                           absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_ANSWER_CHECK_HPP
