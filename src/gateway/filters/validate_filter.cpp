#include <medlar/detail/gateway/filters/validate_filter.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis configuration_retry_after{1000};
constexpr millis retry_immediately{0};

bool may_use_pipeline(const pipeline& definition,
                      const organisation_id& caller_organisation)
{
    return definition.organisations.empty() ||
           std::find(definition.organisations.begin(),
                     definition.organisations.end(),
                     caller_organisation) != definition.organisations.end();
}

} // namespace

std::unique_ptr<filter> validate_filter::create(const clock& time,
                                                exchange& peers,
                                                const body_limits& limits,
                                                const std::atomic<bool>& refusing)
{
    return std::unique_ptr<filter>(new validate_filter(time, peers, limits, refusing));
}

validate_filter::validate_filter(const clock& time,
                                 exchange& peers,
                                 const body_limits& limits,
                                 const std::atomic<bool>& refusing)
    : time_(time), peers_(peers), limits_(limits), refusing_(refusing)
{
}

run_result validate_filter::apply(request_context& context, const next_filter& next)
{
    if (!context.relayed)
    {
        read_request read = read_client_request(
            context.pipeline_name, context.body, limits_, time_.wall_now());
        context.body.clear();
        if (const auto* refused = std::get_if<outcome>(&read))
        {
            return not_run_result(refused->why, refused->message, refused->retry_after);
        }
        context.request = std::get<client_request>(std::move(read));
        if (!context.request.stream)
        {
            context.on_token = nullptr;
        }
    }
    return check_configured(context, next);
}

run_result validate_filter::check_configured(request_context& context,
                                             const next_filter& next) const
{
    context.configuration = peers_.configuration();
    if (refusing_)
    {
        return refuse_before_placement(context.request,
                                       reason::shutting_down,
                                       "this host is ending; another takes the request",
                                       retry_immediately);
    }
    const document& content = context.configuration->content;
    const organisation_id& caller_organisation = context.request.key.organisation;
    if (context.configuration->number == revision(0))
    {
        return refuse_before_placement(context.request,
                                       reason::not_ready,
                                       "this host has no configuration yet",
                                       configuration_retry_after);
    }
    if (content.find_organisation(caller_organisation) == nullptr)
    {
        return refuse_before_placement(context.request,
                                       reason::unknown_organisation,
                                       "'organisation' is not configured",
                                       std::nullopt);
    }
    const pipeline* definition = content.find_pipeline(context.request.pipeline);
    if (definition == nullptr || !may_use_pipeline(*definition, caller_organisation))
    {
        return refuse_before_placement(context.request,
                                       reason::unknown_pipeline,
                                       "the organisation has no pipeline of that name",
                                       std::nullopt);
    }
    const millis deadline =
        context.request.deadline.value_or(definition->default_deadline);
    if (deadline > definition->max_deadline)
    {
        return refuse_before_placement(
            context.request,
            reason::bad_deadline,
            absl::StrCat("'deadline_ms' is more than the pipeline's ",
                         definition->max_deadline.count()),
            std::nullopt);
    }
    context.definition = definition;
    context.deadline = context.relayed ? context.deadline : context.arrived + deadline;
    return next(context);
}

} // namespace medlar
