// Targets that start again and are cold afterwards.

#include "soak/soak_run.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar::soak
{

namespace
{

constexpr std::int64_t cold_start_s = 3;
constexpr millis cold_time{cold_start_s * 1000};
constexpr int cold_per_s = 5;
constexpr double cold_over = 1.5;
constexpr double cold_slack = 5;
constexpr auto most_per_s = static_cast<std::size_t>(cold_per_s * cold_over + cold_slack);

// time until a target that has started writes its entry, in one of two starts
constexpr millis listing_delay{800};

} // namespace

void soak_run::add_cold_rule(nlohmann::json& configuration) const
{
    for (nlohmann::json& each : configuration["services"])
    {
        if (settings_.state_cold_rate && each["name"] != ending_targets::pool)
        {
            each["cold_start_s"] = cold_start_s;
            each["cold_per_s"] = cold_per_s;
        }
    }
}

millis soak_run::cold_left(const soak_target& target) const
{
    return std::max(millis(0), target.cold_until - time_.steady_now());
}

void soak_run::begin_cold(soak_target& target)
{
    if (settings_.cold_targets)
    {
        target.cold_until = time_.steady_now() + cold_time;
    }
}

void soak_run::add_cold_header(std::size_t target, header_list& headers) const
{
    if (settings_.cold_targets)
    {
        headers.add("Cold-Ms", absl::StrCat(cold_left(targets_[target]).count()));
    }
}

void soak_run::report_cold(std::size_t target, caller_exchange& exchange) const
{
    header_list headers;
    add_cold_header(target, headers);
    const nlohmann::json report{
        {"busy", false}, {"sequence", 1}, {"born", targets_[target].server->started_ms}};
    exchange.answer(200, headers, report.dump());
}

void soak_run::schedule_cold_starts()
{
    loop_.after(millis(500 + static_cast<std::int64_t>(cold_random_.below(1000))),
                [this]
                {
                    if (!inject_faults_)
                    {
                        return;
                    }
                    // one time in four, all targets start at once
                    const bool starts_all = cold_random_.below(4) == 0;
                    const std::size_t one = cold_random_.below(targets_.size());
                    const std::size_t count = starts_all ? targets_.size() : 1;
                    for (std::size_t i = 0; i < count; ++i)
                    {
                        start_again(targets_[(one + i) % targets_.size()]);
                    }
                    schedule_cold_starts();
                });
}

void soak_run::start_again(soak_target& target)
{
    if (target.is_down)
    {
        return;
    }
    target.is_down = true;
    target.path->stop();
    record_event(target.server->key() + " ends and starts again");
    const millis downtime(100 + static_cast<std::int64_t>(cold_random_.below(700)));
    const millis delay = cold_random_.below(2) == 0 ? millis(0) : listing_delay;
    loop_.after(downtime,
                [this, &target]
                {
                    ++target.server->started_ms;
                    begin_cold(target);
                    target.path->resume();
                    target.is_down = false;
                });
    loop_.after(downtime + delay,
                [this, &target]
                {
                    write_entry(target);
                });
}

void soak_run::count_cold_request(soak_target& target)
{
    if (cold_left(target) == millis(0))
    {
        return;
    }
    cold_check& counted = target.cold_requests;
    const bool was_kept = counted.most_in_a_second() <= most_per_s;
    counted.record(earliest_arrival(), time_.steady_now());
    if (was_kept && counted.most_in_a_second() > most_per_s)
    {
        record_event(target.server->key() + " gets too many requests while it is cold");
    }
}

void soak_run::check_cold_targets()
{
    std::size_t total = 0;
    std::size_t most = 0;
    for (const soak_target& each : targets_)
    {
        const std::size_t most_of_target = each.cold_requests.most_in_a_second();
        total += each.cold_requests.total();
        most = std::max(most, most_of_target);
        if (most_of_target > most_per_s)
        {
            promises_.record_violation(absl::StrCat(each.server->key(),
                                                    " got ",
                                                    most_of_target,
                                                    " requests in a second while it was "
                                                    "cold, ",
                                                    most_per_s,
                                                    " are allowed"));
        }
    }
    coverage_.push_back(absl::StrCat(
        "cold targets: ", total, " requests, at most ", most, " in a second"));
}

} // namespace medlar::soak
