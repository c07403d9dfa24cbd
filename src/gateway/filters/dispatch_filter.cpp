#include <medlar/detail/gateway/filters/dispatch_filter.hpp>

namespace medlar
{

std::unique_ptr<filter> dispatch_filter::create(const pipeline_runner& runner,
                                                request_watch& watch)
{
    return std::unique_ptr<filter>(new dispatch_filter(runner, watch));
}

dispatch_filter::dispatch_filter(const pipeline_runner& runner, request_watch& watch)
    : runner_(runner), watch_(watch)
{
}

run_end dispatch_filter::apply(request_context& context, const next_filter& /*next*/)
{
    // the run of a non-idempotent request goes on without its caller, who may send it
    // again and join it
    watched_request watched{context.token, context.deadline, std::nullopt};
    if (context.request.idempotent)
    {
        watched.caller_socket = context.caller_socket;
    }
    const request_watch::watching watching(watch_, watched);
    run_log log;
    const run_context run{context.request,
                          context.configuration->content,
                          *context.of,
                          context.arrived,
                          context.deadline,
                          context.token,
                          context.on_token,
                          log,
                          context.ticket};
    return runner_.run(run);
}

} // namespace medlar
