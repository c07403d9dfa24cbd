#include <medlar/detail/gateway/filters/plan_filter.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr millis no_target_retry_after{1000};

bool has_open_target(const pool* candidates)
{
    return candidates != nullptr && std::any_of(candidates->targets.begin(),
                                                candidates->targets.end(),
                                                [](const target& each)
                                                {
                                                    return !each.drained;
                                                });
}

} // namespace

std::unique_ptr<filter> plan_filter::create()
{
    return std::unique_ptr<filter>(new plan_filter());
}

run_result plan_filter::apply(request_context& context, const next_filter& next)
{
    for (const stage& each : context.definition->stages)
    {
        if (!has_open_target(context.configuration->content.find_pool(each.pool)))
        {
            return not_run_result(
                reason::no_target,
                absl::StrCat("no target may get stage '", each.name, "'"),
                no_target_retry_after);
        }
    }
    return next(context);
}

} // namespace medlar
