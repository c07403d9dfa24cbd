#include <medlar/detail/gateway/filters/limit_filter.hpp>
#include <medlar/detail/gateway/scoped_count.hpp>

namespace medlar
{

namespace
{

constexpr millis full_retry_after{500};

} // namespace

std::unique_ptr<filter> limit_filter::create(std::atomic<int>& held, int max_held)
{
    return std::unique_ptr<filter>(new limit_filter(held, max_held));
}

limit_filter::limit_filter(std::atomic<int>& held, int max_held)
    : held_(held), max_held_(max_held)
{
}

run_result limit_filter::apply(request_context& context, const next_filter& next)
{
    const scoped_count counted(held_);
    if (counted.initial_count() > max_held_)
    {
        return not_run_result(reason::host_full,
                              "this host holds as many requests as it may",
                              full_retry_after);
    }
    return next(context);
}

} // namespace medlar
