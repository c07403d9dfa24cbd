#include <medlar/detail/gateway/filters/validate_filter.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

constexpr millis configuration_retry{1000};
constexpr millis at_once{0};

bool may_use(const pipeline& of, const organisation_id& who)
{
    return of.organisations.empty() ||
           std::find(of.organisations.begin(), of.organisations.end(), who) !=
               of.organisations.end();
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

run_end validate_filter::apply(request_context& context, const next_filter& next)
{
    if (!context.relayed)
    {
        read_request read = read_client_request(
            context.pipeline_name, context.body, limits_, time_.wall_now());
        context.body.clear();
        if (const auto* refused = std::get_if<outcome>(&read))
        {
            return not_run(refused->why, refused->message, refused->retry_after);
        }
        context.request = std::get<client_request>(std::move(read));
        if (!context.request.stream)
        {
            context.on_token = nullptr;
        }
    }
    return check_configured(context, next);
}

run_end validate_filter::check_configured(request_context& context,
                                          const next_filter& next) const
{
    context.configuration = peers_.configuration();
    if (refusing_)
    {
        return refuse_unplaced(context.request,
                               reason::shutting_down,
                               "this host is ending; another takes the request",
                               at_once);
    }
    const document& content = context.configuration->content;
    const organisation_id& who = context.request.key.organisation;
    if (context.configuration->number == revision(0))
    {
        return refuse_unplaced(context.request,
                               reason::not_ready,
                               "this host has no configuration yet",
                               configuration_retry);
    }
    if (content.find_organisation(who) == nullptr)
    {
        return refuse_unplaced(context.request,
                               reason::unknown_organisation,
                               "'organisation' is not configured",
                               std::nullopt);
    }
    const pipeline* of = content.find_pipeline(context.request.pipeline);
    if (of == nullptr || !may_use(*of, who))
    {
        return refuse_unplaced(context.request,
                               reason::unknown_pipeline,
                               "the organisation has no pipeline of that name",
                               std::nullopt);
    }
    const millis deadline = context.request.deadline.value_or(of->default_deadline);
    if (deadline > of->max_deadline)
    {
        return refuse_unplaced(context.request,
                               reason::bad_deadline,
                               absl::StrCat("'deadline_ms' is more than the pipeline's ",
                                            of->max_deadline.count()),
                               std::nullopt);
    }
    context.of = of;
    context.deadline = context.relayed ? context.deadline : context.arrived + deadline;
    return next(context);
}

} // namespace medlar
