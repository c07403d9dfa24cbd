#include <medlar/detail/gateway/filters/watch_filter.hpp>

namespace medlar
{

std::unique_ptr<filter> watch_filter::create(request_watch& watch)
{
    return std::unique_ptr<filter>(new watch_filter(watch));
}

watch_filter::watch_filter(request_watch& watch) : watch_(watch)
{
}

run_result watch_filter::apply(request_context& context, const next_filter& next)
{
    watched_request watched{context.token, context.deadline, std::nullopt};
    if (context.request.idempotent)
    {
        watched.caller_socket = context.caller_socket;
    }
    const request_watch::scoped_watch watch(watch_, watched);
    return next(context);
}

} // namespace medlar
