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

/// @brief a request as its caller stated it
struct client_request
{
    pipeline_id pipeline;
    request_key key;
    /// when it was first issued; the same on every resend
    wall_time issued_at;
    /// from its arrival; unset: the pipeline's default
    std::optional<millis> deadline;
    bool idempotent = false;
    /// its caller states that it was never sent before
    bool first_attempt = false;
    /// whether tokens are wanted as they come
    bool stream = false;
    /// JSON text of its input
    std::string input;
    /// text that its prompts have in common with those of other requests
    std::string prompt_prefix;
    /// most tokens that its generate stages write; 0: not stated
    token_count max_tokens{0};
};

/// @brief bounds on the body of a request
struct body_limits
{
    std::size_t max_bytes = 4UL * 1024 * 1024;
    int max_nesting = 64;
};

/// @brief a request that was read, or why it was not
using read_request = std::variant<client_request, outcome>;

/// @brief Reads the body of a request.
/// @param pipeline the pipeline that its path names
/// @param now the issue time of an idempotent request that states none
/// @return a not_run outcome of reason malformed, too_large, not_utf8 or bad_deadline;
///     its message names the field
read_request read_client_request(const pipeline_id& pipeline,
                                 absl::string_view body,
                                 const body_limits& limits,
                                 wall_time now);

/// @brief a request on its way from its entry to its home
struct relayed_request
{
    client_request request;
    /// time left until its deadline
    millis deadline_remaining{0};
};

/// @brief the JSON form of a relayed request
std::string write_relayed_request(const relayed_request& relayed);

/// @brief Reads the form that write_relayed_request() writes.
/// @return unset if it is not of that form
std::optional<relayed_request> read_relayed_request(absl::string_view text);

/// @brief the text by which two requests of one id are compared: what is to be run,
/// not how its answer is to be sent
std::string identity_text(const client_request& request);

/// @brief the sizes from which the work of a request is estimated
request_size size_of(const client_request& request);

/// @brief "ORGANISATION/ID", the name of a request at targets
std::string to_string(const request_key& key);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_CLIENT_REQUEST_HPP
