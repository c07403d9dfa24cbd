#include <medlar/detail/gateway/filters/limit_filter.hpp>

namespace medlar
{

namespace
{

constexpr millis full_retry{500};

/// @brief one request that is counted as held
class held_request
{
  public:
    explicit held_request(std::atomic<int>& held) : held_(held), number_(++held)
    {
    }

    held_request(const held_request&) = delete;
    held_request& operator=(const held_request&) = delete;

    ~held_request()
    {
        --held_;
    }

    int number() const
    {
        return number_;
    }

  private:
    std::atomic<int>& held_;
    int number_;
};

} // namespace

std::unique_ptr<filter> limit_filter::create(std::atomic<int>& held, int max_held)
{
    return std::unique_ptr<filter>(new limit_filter(held, max_held));
}

limit_filter::limit_filter(std::atomic<int>& held, int max_held)
    : held_(held), max_held_(max_held)
{
}

run_end limit_filter::apply(request_context& context, const next_filter& next)
{
    const held_request counted(held_);
    if (counted.number() > max_held_)
    {
        return refuse_unplaced(context.request,
                               reason::host_full,
                               "this host holds as many requests as it may",
                               full_retry);
    }
    return next(context);
}

} // namespace medlar
