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

/// @brief one stage call as an answer's trace tells it
struct traced_call
{
    std::string stage;
    std::string at;
    int attempt = 1;
    std::string result;
    millis elapsed{0};
    std::optional<millis> first_token;
    std::int64_t tokens = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
};

/// @brief an answer as a replay sees it
struct checked_answer
{
    outcome_kind kind = outcome_kind::unknown;
    std::string reason;
    /// what is wrong with it: not whole, or not for its request; empty: nothing
    std::string fault;
    std::vector<traced_call> calls;
};

/// @brief Reads an answer and checks that it is whole and for its own request.
/// @return unset if the text is no answer at all, so that the request has to be sent
///     again
std::optional<checked_answer> check_answer(const trace_request& request,
                                           absl::string_view text);

/// @brief Reads a streamed answer: token lines, then the answer as the last line.
std::optional<checked_answer> check_stream(const trace_request& request,
                                           absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_REPLAY_ANSWER_CHECK_HPP
