#include <medlar/detail/dispatch/shutdown_plan.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// The load balancer polls readiness once a second and removes a host after two failures;
// until then a draining host still accepts requests.
constexpr millis rotation_delay{3000};

// time for callers to read the last answers before the process ends
constexpr millis last_answer_margin{500};

// the process ends this long before it would be killed
constexpr millis kill_margin{200};

} // namespace

shutdown_plan::shutdown_plan(steady_time told_at, millis grace)
    : told_at_(told_at),
      last_answer_at_(told_at + std::max(millis(0), grace - last_answer_margin)),
      end_(told_at + std::max(millis(0), grace - kill_margin))
{
}

shutdown_plan shutdown_plan::create(steady_time told_at, millis grace)
{
    return {told_at, grace};
}

bool shutdown_plan::accepts_requests(steady_time now) const
{
    return now < told_at_ + rotation_delay;
}

bool shutdown_plan::is_over(steady_time now) const
{
    return now > end_;
}

} // namespace medlar
