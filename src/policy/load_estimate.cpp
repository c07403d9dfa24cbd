#include <medlar/detail/policy/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

constexpr double least_report_lifetime_ms = 100;
constexpr double report_lifetime_in_calls = 2;
constexpr double likeness_of_gateways = 0.5;
constexpr double slowness_without_wait = 1.3;
constexpr double rise = 0.05;
constexpr double fall = 0.05;

/// @brief how much a report still tells: calls that ran then have since ended
double weight_of_report(const load_knowledge& known, steady_time now)
{
    const auto age = static_cast<double>((now - known.report->made_at).count());
    const double lifetime = std::max(least_report_lifetime_ms,
                                     report_lifetime_in_calls * known.mean_service_ms);
    return std::exp(-std::max(0.0, age) / lifetime);
}

} // namespace

double others_in_system(const load_knowledge& known, steady_time now)
{
    const double other_gateways = std::max(0, known.gateways - 1);
    const double by_likeness = other_gateways * known.own_mean;
    if (!known.report)
    {
        return by_likeness;
    }
    const double weight = weight_of_report(known, now);
    const double then = std::max(0.0, known.report->in_system - known.report->own_then);
    const double moved = known.own_now - known.report->own_then;
    const double since = likeness_of_gateways * other_gateways * moved;
    return std::max(0.0, weight * (then + since) + (1 - weight) * by_likeness);
}

double expected_wait_ms(double in_system, double slots, double service_ms)
{
    const double ahead = in_system + 1 - slots;
    return ahead <= 0 ? 0 : ahead / slots * service_ms;
}

void slot_estimate::learn(double in_system, double slowness)
{
    if (slowness < slowness_without_wait)
    {
        slots_ += rise * std::max(0.0, in_system - slots_);
        return;
    }
    const double implied = std::max(1.0, in_system / slowness);
    slots_ += fall * (implied - slots_);
}

} // namespace medlar
