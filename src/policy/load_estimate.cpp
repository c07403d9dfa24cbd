#include <medlar/detail/policy/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

constexpr double min_report_lifetime_ms = 100;
/// in mean service times of the pool's calls
constexpr double report_lifetime_calls = 2;
/// share of this host's change in calls that is assumed for each other gateway
constexpr double gateway_similarity = 0.5;
constexpr double max_slowness_without_wait = 1.3;
constexpr double rise_smoothing = 0.05;
constexpr double fall_smoothing = 0.05;

/// @brief Returns the weight of a report, which decays as the calls counted in it end.
double report_weight(const load_estimate_input& input, steady_time now)
{
    const auto age = static_cast<double>((now - input.report->made_at).count());
    const double lifetime =
        std::max(min_report_lifetime_ms, report_lifetime_calls * input.mean_service_ms);
    return std::exp(-std::max(0.0, age) / lifetime);
}

} // namespace

double others_in_system(const load_estimate_input& input, steady_time now)
{
    const double other_gateways = std::max(0, input.gateways - 1);
    const double assumed_calls = other_gateways * input.mean_own_calls;
    if (!input.report)
    {
        return assumed_calls;
    }
    const double weight = report_weight(input, now);
    const double reported_calls =
        std::max(0.0, input.report->in_system - input.report->own_calls_at_report);
    const double own_change = input.own_calls - input.report->own_calls_at_report;
    const double others_change = gateway_similarity * other_gateways * own_change;
    return std::max(
        0.0, weight * (reported_calls + others_change) + (1 - weight) * assumed_calls);
}

double expected_wait_ms(double in_system, double slots, double service_ms)
{
    const double ahead = in_system + 1 - slots;
    return ahead <= 0 ? 0 : ahead / slots * service_ms;
}

void slot_estimate::learn(double in_system, double slowness)
{
    if (slowness < max_slowness_without_wait)
    {
        slots_ += rise_smoothing * std::max(0.0, in_system - slots_);
        return;
    }
    const double implied_slots = std::max(1.0, in_system / slowness);
    slots_ += fall_smoothing * (implied_slots - slots_);
}

} // namespace medlar
