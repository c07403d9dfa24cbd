#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/request/outcome_decision.hpp>

#include <utility>

namespace medlar
{

run_end refuse_run(outcome_kind kind,
                   reason why,
                   std::string message,
                   std::optional<millis> retry_after,
                   bool may_run_again)
{
    run_end end;
    end.answer.result = {kind, why, std::move(message), retry_after};
    end.may_run_again = may_run_again;
    return end;
}

run_end not_run(reason why, std::string message, std::optional<millis> retry_after)
{
    return refuse_run(outcome_kind::not_run, why, std::move(message), retry_after, true);
}

run_end refuse_unplaced(const client_request& request,
                        reason why,
                        std::string message,
                        std::optional<millis> retry_after)
{
    const bool handed_to_home = false;
    const outcome_kind kind =
        decide_at_entry({request.idempotent, request.first_attempt, handed_to_home});
    return refuse_run(kind, why, std::move(message), retry_after, true);
}

filter_chain filter_chain::create(std::vector<std::unique_ptr<filter>> filters)
{
    return filter_chain(std::move(filters));
}

filter_chain::filter_chain(std::vector<std::unique_ptr<filter>> filters)
    : filters_(std::move(filters))
{
}

run_end filter_chain::run(request_context& context) const
{
    return run_from(0, context);
}

run_end filter_chain::run_from(std::size_t position, request_context& context) const
{
    if (position == filters_.size())
    {
        return not_run(reason::none, "no filter ended the request", std::nullopt);
    }
    return filters_[position]->apply(context,
                                     [this, position](request_context& rest)
                                     {
                                         return run_from(position + 1, rest);
                                     });
}

} // namespace medlar
