#ifndef MEDLAR_DETAIL_REQUEST_CLIENT_REQUEST_HPP
#define MEDLAR_DETAIL_REQUEST_CLIENT_REQUEST_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/base/outcome.hpp>
#include <medlar/detail/cluster/view.hpp>
#include <medlar/detail/policy/stage_call.hpp>

#include <absl/strings/string_view.h>

#include <optional>
#include <string>
#include <variant>

namespace medlar
{

/// @brief A request as the caller sent it.
struct client_request
{
    pipeline_id pipeline;
    request_key key;
    /// when it was first issued; the same in every retry
    wall_time issued_at;
    /// time from its arrival; unset: the pipeline's default
    std::optional<millis> deadline;
    bool idempotent = false;
    /// whether the caller states that it was never sent before
    bool first_attempt = false;
    /// whether the caller wants tokens to be streamed
    bool stream = false;
    /// JSON text of the input
    std::string input;
    /// prefix that its prompts share with those of other requests
    std::string prompt_prefix;
    /// maximum number of tokens of each generate stage; 0: not stated
    token_count max_tokens{0};
};

/// @brief Limits on the body of a request.
struct body_limits
{
    std::size_t max_bytes = 4UL * 1024 * 1024;
    int max_nesting = 64;
};

/// @brief A parsed request, or the refusal.
using read_request = std::variant<client_request, outcome>;

/// @brief Parses the body of a request.
/// @param pipeline the pipeline named in the path
/// @param now issue time of an idempotent request without one
/// @return the request, or a not_run outcome with reason malformed, too_large, not_utf8
///     or bad_deadline and a message that names the field
read_request read_client_request(const pipeline_id& pipeline,
                                 absl::string_view body,
                                 const body_limits& limits,
                                 wall_time now);

/// @brief A request as its entry relays it to its home.
struct relayed_request
{
    client_request request;
    /// time remaining until its deadline
    millis deadline_remaining{0};
};

/// @brief Returns a relayed request as JSON text.
std::string write_relayed_request(const relayed_request& relayed);

/// @brief Parses the output of write_relayed_request().
/// @return unset if the text is malformed
std::optional<relayed_request> read_relayed_request(absl::string_view text);

/// @brief Returns the text by which two requests with the same id are compared. It covers
/// what is to be run, not how the answer is delivered.
std::string identity_text(const client_request& request);

/// @brief Returns the sizes that service time estimates depend on.
request_size size_of(const client_request& request);

/// @brief Returns "ORGANISATION/ID", the request id that targets get.
std::string to_string(const request_key& key);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_CLIENT_REQUEST_HPP
