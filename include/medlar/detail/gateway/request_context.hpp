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

/// @brief One request on its way through the filter chain.
struct request_context
{
    // as it was received
    pipeline_id pipeline_name;
    std::string body;
    /// the value of the Authorization header
    std::string authorization;
    /// it was relayed here by its entry
    bool relayed = false;
    steady_time arrived;
    /// socket of the caller; unset: there is none to watch
    std::optional<int> caller_socket;
    token_callback on_token;

    // filled in by the filters
    client_request request;
    std::shared_ptr<const accepted_document> configuration;
    const pipeline* definition = nullptr;
    steady_time deadline;
    /// its number at admission
    std::uint64_t ticket = 0;
    std::shared_ptr<cancel_token> token = cancel_token::create();
};

/// @brief an end without a run
/// @param may_run_again whether the same request may run at a later attempt
run_result make_refusal(outcome_kind kind,
                        reason why,
                        std::string message,
                        std::optional<millis> retry_after,
                        bool may_run_again);

/// @brief a refusal of a request that was never run
run_result
not_run_result(reason why, std::string message, std::optional<millis> retry_after);

/// @brief A refusal before the request was placed: whether an earlier attempt of it ran
/// is known only if it is the first, or idempotent.
run_result refuse_before_placement(const client_request& request,
                                   reason why,
                                   std::string message,
                                   std::optional<millis> retry_after);

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_REQUEST_CONTEXT_HPP
