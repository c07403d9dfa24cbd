#ifndef MEDLAR_DETAIL_GATEWAY_REQUEST_CONTEXT_HPP
#define MEDLAR_DETAIL_GATEWAY_REQUEST_CONTEXT_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/document.hpp>
#include <medlar/detail/gateway/cancel_token.hpp>
#include <medlar/detail/gateway/pipeline_runner.hpp>
#include <medlar/detail/gateway/stage_runner.hpp>
#include <medlar/detail/request/client_request.hpp>

#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief State of one request while it passes the filter chain.
struct request_context
{
    // as received
    pipeline_id pipeline_name;
    std::string body;
    /// value of the Authorization header
    std::string authorization;
    /// whether another gateway, the entry, relayed it here
    bool relayed = false;
    steady_time arrived;
    /// the caller's socket, watched for disconnects; unset: none
    std::optional<int> caller_socket;
    token_callback on_token;

    // set by the filters
    client_request request;
    std::shared_ptr<const accepted_document> configuration;
    const pipeline* definition = nullptr;
    steady_time deadline;
    /// its id in the policy engine's admission and routing state
    std::uint64_t ticket = 0;
    std::shared_ptr<cancel_token> token = cancel_token::create();
};

/// @brief Returns the result of a request that ended without a run here.
/// @param may_run_again whether a later attempt of the same request may run
run_result make_refusal(outcome_kind kind,
                        reason why,
                        std::string message,
                        std::optional<millis> retry_after,
                        bool may_run_again);

/// @brief Returns a not_run result: no attempt of the request ran.
run_result
not_run_result(reason why, std::string message, std::optional<millis> retry_after);

/// @brief Returns the result of a request that is refused before placement.
///
/// The outcome is not_run if this is the first attempt or the request is idempotent, else
/// unknown: an earlier attempt may have run at another host.
run_result refuse_before_placement(const client_request& request,
                                   reason why,
                                   std::string message,
                                   std::optional<millis> retry_after);

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_REQUEST_CONTEXT_HPP
