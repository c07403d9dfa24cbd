#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/request/outcome_decision.hpp>

#include <utility>

namespace medlar
{

run_result make_refusal(outcome_kind kind,
                        reason why,
                        std::string message,
                        std::optional<millis> retry_after,
                        bool may_run_again)
{
    run_result result;
    result.answer.result = {kind, why, std::move(message), retry_after};
    result.may_run_again = may_run_again;
    return result;
}

run_result
not_run_result(reason why, std::string message, std::optional<millis> retry_after)
{
    return make_refusal(
        outcome_kind::not_run, why, std::move(message), retry_after, true);
}

run_result refuse_before_placement(const client_request& request,
                                   reason why,
                                   std::string message,
                                   std::optional<millis> retry_after)
{
    const bool sent_to_home = false;
    const outcome_kind kind =
        decide_entry_outcome({request.idempotent, request.first_attempt, sent_to_home});
    return make_refusal(kind, why, std::move(message), retry_after, true);
}

filter_chain filter_chain::create(std::vector<std::unique_ptr<filter>> filters)
{
    return filter_chain(std::move(filters));
}

filter_chain::filter_chain(std::vector<std::unique_ptr<filter>> filters)
    : filters_(std::move(filters))
{
}

run_result filter_chain::run(request_context& context) const
{
    return run_from(0, context);
}

run_result filter_chain::run_from(std::size_t position, request_context& context) const
{
    if (position == filters_.size())
    {
        return not_run_result(reason::none, "no filter ended the request", std::nullopt);
    }
    return filters_[position]->apply(context,
                                     [this, position](request_context& rest)
                                     {
                                         return run_from(position + 1, rest);
                                     });
}

} // namespace medlar
