#include <medlar/detail/gateway/filters/trace_filter.hpp>

namespace medlar
{

std::unique_ptr<filter> trace_filter::create(trace_store& traces)
{
    return std::unique_ptr<filter>(new trace_filter(traces));
}

trace_filter::trace_filter(trace_store& traces) : traces_(traces)
{
}

run_result trace_filter::apply(request_context& context, const next_filter& next)
{
    run_result result = next(context);
    traces_.add(context.request.key, result.answer);
    return result;
}

} // namespace medlar
