#include <medlar/detail/gateway/filters/dispatch_filter.hpp>

namespace medlar
{

std::unique_ptr<filter> dispatch_filter::create(const pipeline_runner& runner)
{
    return std::unique_ptr<filter>(new dispatch_filter(runner));
}

dispatch_filter::dispatch_filter(const pipeline_runner& runner) : runner_(runner)
{
}

run_result dispatch_filter::apply(request_context& context, const next_filter& /*next*/)
{
    run_log log;
    const run_context run{context.request,
                          context.configuration->content,
                          *context.definition,
                          context.arrived,
                          context.deadline,
                          context.token,
                          context.on_token,
                          log,
                          context.ticket};
    return runner_.run(run);
}

} // namespace medlar
