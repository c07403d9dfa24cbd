#include <medlar/detail/gateway/filters/answer_filter.hpp>
#include <medlar/detail/log/gateway_events.hpp>

#include <string>
#include <vector>

namespace medlar
{

std::unique_ptr<filter> answer_filter::create(const clock& time,
                                              metrics_registry& metrics)
{
    return std::unique_ptr<filter>(new answer_filter(time, metrics));
}

answer_filter::answer_filter(const clock& time, metrics_registry& metrics)
    : time_(time), metrics_(metrics)
{
}

run_result answer_filter::apply(request_context& context, const next_filter& next)
{
    run_result result = next(context);
    // names that are not in the configuration must not become metric labels
    const bool known = context.definition != nullptr;
    const std::string pipeline = known ? context.request.pipeline.get() : "";
    const std::string organisation = known ? context.request.key.organisation.get() : "";
    const outcome& final_outcome = result.answer.result;
    if (known && final_outcome.kind == outcome_kind::unknown)
    {
        log_event(gateway_outcome_unknown,
                  {{"request", to_string(context.request.key)},
                   {"reason", to_string(final_outcome.why)}});
    }
    metrics_.add("medlar_requests_total",
                 {{"pipeline", pipeline},
                  {"organisation", organisation},
                  {"outcome", std::string(to_string(final_outcome.kind))},
                  {"reason", std::string(to_string(final_outcome.why))}});
    const std::vector<label> labels = {{"pipeline", pipeline},
                                       {"organisation", organisation}};
    const steady_time now = time_.steady_now();
    const bool attained =
        known && final_outcome.kind == outcome_kind::answered && now <= context.deadline;
    metrics_.add("medlar_requests_attained_total", labels, attained ? 1 : 0);
    constexpr double ms_per_second = 1000;
    metrics_.observe("medlar_request_seconds",
                     labels,
                     static_cast<double>((now - context.arrived).count()) /
                         ms_per_second);
    return result;
}

} // namespace medlar
