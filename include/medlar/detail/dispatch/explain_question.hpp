#ifndef MEDLAR_DETAIL_DISPATCH_EXPLAIN_QUESTION_HPP
#define MEDLAR_DETAIL_DISPATCH_EXPLAIN_QUESTION_HPP

#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/request_key.hpp>
#include <medlar/detail/http/head.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief where a host answers questions, at its address for metrics
constexpr char explain_path[] = "/explain";

/// @brief largest question in bytes: the largest head of a request, and a body
constexpr std::size_t max_question_bytes = 65536;

/// @brief An operator's question where a request would go
struct explain_question
{
    request_head head;
    std::string body;
    /// hash of the request, as the log names it, if its body is not given
    std::optional<request_key> key;
    /// targets to leave out, as in a retry
    std::vector<target_id> tried;
};

/// @brief Reads a question, a JSON object.
/// @return an error that names the field, for what is not a question
absl::StatusOr<explain_question> read_explain_question(absl::string_view text);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_EXPLAIN_QUESTION_HPP
