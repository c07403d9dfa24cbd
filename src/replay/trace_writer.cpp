#include <medlar/detail/base/error.hpp>
#include <medlar/detail/policy/random_source.hpp>
#include <medlar/detail/replay/trace_writer.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>

namespace medlar
{

namespace
{

/// @brief a span with its own rate of requests
struct traffic_phase
{
    millis from{0};
    millis until{0};
    double requests_per_second = 0;
    /// organisation that sends all of it; empty: all by their size
    std::string sender;
    /// share of requests with a long input
    double long_share = 0.1;
};

/// @brief one organisation and its share of the traffic
struct sender
{
    const char* name;
    double share;
};

/// @brief one kind of user: its pipeline, its organisations, its sizes
struct workload
{
    const char* pipeline;
    const char* unrepeatable_stage;
    std::vector<sender> senders;
    /// share of requests that may not be repeated
    double once_share;
    std::int64_t short_input_bytes;
    std::int64_t long_input_bytes;
    std::int64_t least_tokens;
    std::int64_t most_tokens;
    std::int64_t least_deadline_ms;
    std::int64_t most_deadline_ms;
    /// texts that prompts have in common, and their length
    std::uint64_t prefixes;
    std::int64_t prefix_bytes;
};

/// @brief all that makes one kind of trace
struct trace_recipe
{
    const char* name;
    const workload* user;
    std::vector<traffic_phase> phases;
    std::vector<trace_fault> faults;
    const char* flooding;
    trace_expectations expect;
};

const workload& patrimonia()
{
    static const workload user{"impairment_notes",
                               "post",
                               {{"caxias", 0.4},
                                {"joinville", 0.3},
                                {"plant_north", 0.1},
                                {"plant_south", 0.1},
                                {"audit", 0.1}},
                               0.5,
                               2000,
                               24000,
                               12,
                               36,
                               900,
                               1600,
                               24,
                               6000};
    return user;
}

const workload& archive()
{
    static const workload user{"mix_reviews",
                               "publish",
                               {{"upload_desk", 0.4},
                                {"listener_portal", 0.3},
                                {"staff_console", 0.1},
                                {"rights_office", 0.1},
                                {"radio", 0.1}},
                               0.3,
                               3000,
                               16000,
                               12,
                               36,
                               1000,
                               1800,
                               24,
                               6000};
    return user;
}

constexpr double steady_rate = 45;
constexpr double burst_rate = 200;
constexpr millis trace_length{5000};
constexpr millis burst_from{1500};
constexpr millis burst_until{2800};
constexpr millis fault_from{1500};
constexpr millis fault_until{4000};
constexpr double long_share_at_month_end = 0.4;

/// a day without more traffic than the pools can serve
const trace_expectations within_capacity{0.95, std::nullopt};
/// one organisation sends too much, which the others must not feel
const trace_expectations others_unharmed{std::nullopt, 0.93};
/// more traffic than the pools can serve
const trace_expectations overload{};

traffic_phase steady_phase()
{
    return {millis(0), trace_length, steady_rate, "", 0.1};
}

std::vector<traffic_phase> steady()
{
    return {steady_phase()};
}

std::vector<traffic_phase> with_burst(double long_share)
{
    return {steady_phase(), {burst_from, burst_until, burst_rate, "", long_share}};
}

trace_fault
fault(const char* kind, const char* pool, std::vector<int> places, double factor)
{
    return {fault_from, fault_until, kind, pool_id(pool), std::move(places), factor};
}

std::vector<trace_fault> killed_gateway()
{
    return {{fault_from, millis(0), "kill_gateway", pool_id(), {1}, 1}};
}

std::vector<trace_fault> frozen_reports()
{
    return {{millis(0), trace_length, "freeze_reports", pool_id(), {}, 1}};
}

std::vector<trace_fault> stopped_store()
{
    return {fault("stop_store", "", {}, 1)};
}

std::vector<trace_recipe> recipes()
{
    const workload* ledgers = &patrimonia();
    const workload* mixes = &archive();
    const std::vector<traffic_phase> ledger_burst = with_burst(long_share_at_month_end);
    const std::vector<traffic_phase> flood = {
        steady_phase(), {burst_from, fault_until, burst_rate, "joinville", 0.1}};
    return {
        {"normal_day", ledgers, steady(), {}, "", within_capacity},
        {"month_end_burst", ledgers, ledger_burst, {}, "", overload},
        {"weekend_rush", mixes, with_burst(0.2), {}, "", overload},
        {"flooding", ledgers, flood, {}, "joinville", others_unharmed},
        {"straggling_stage",
         mixes,
         steady(),
         {fault("straggle", "language_models", {2}, 8)},
         "",
         within_capacity},
        {"failing_stage",
         ledgers,
         steady(),
         {fault("fail", "encoders", {0}, 1)},
         "",
         within_capacity},
        {"store_outage", ledgers, steady(), stopped_store(), "", within_capacity},
        {"gateway_killed", mixes, steady(), killed_gateway(), "", within_capacity},
        {"reports_frozen", mixes, steady(), frozen_reports(), "", within_capacity},
        {"store_outage_burst", ledgers, ledger_burst, stopped_store(), "", overload},
        {"gateway_killed_burst", mixes, with_burst(0.2), killed_gateway(), "", overload},
        {"reports_frozen_burst", mixes, with_burst(0.2), frozen_reports(), "", overload},
    };
}

/// @brief Draws the requests of a trace.
class request_writer
{
  public:
    request_writer(const workload& user, std::uint64_t seed) : user_(user), random_(seed)
    {
    }

    void write_phase(const traffic_phase& phase, std::vector<trace_request>& out)
    {
        constexpr double ms_per_second = 1000;
        const double mean_gap_ms = ms_per_second / phase.requests_per_second;
        auto at = static_cast<double>(phase.from.count());
        while (true)
        {
            at += -mean_gap_ms * std::log(1 - random_.fraction());
            if (at >= static_cast<double>(phase.until.count()))
            {
                return;
            }
            out.push_back(draw(phase, millis(static_cast<std::int64_t>(at))));
        }
    }

  private:
    trace_request draw(const traffic_phase& phase, millis at)
    {
        trace_request request;
        request.at = at;
        request.pipeline = pipeline_id(user_.pipeline);
        request.organisation =
            organisation_id(phase.sender.empty() ? draw_sender() : phase.sender);
        request.deadline =
            millis(between(user_.least_deadline_ms, user_.most_deadline_ms));
        request.idempotent = random_.fraction() >= user_.once_share;
        request.stream = request.idempotent && random_.fraction() < stream_share;
        const bool is_long = random_.fraction() < phase.long_share;
        const std::int64_t typical =
            is_long ? user_.long_input_bytes : user_.short_input_bytes;
        request.input = byte_count(between(typical / 2, typical * 3 / 2));
        request.prefix = absl::StrCat(user_.pipeline, "-", draw_prefix());
        request.prefix_length = byte_count(user_.prefix_bytes);
        request.max_tokens = token_count(between(user_.least_tokens, user_.most_tokens));
        return request;
    }

    std::string draw_sender()
    {
        double left = random_.fraction();
        for (const sender& each : user_.senders)
        {
            left -= each.share;
            if (left < 0)
            {
                return each.name;
            }
        }
        return user_.senders.back().name;
    }

    /// @brief a prefix; the first ones come more often
    std::uint64_t draw_prefix()
    {
        const double skewed = random_.fraction() * random_.fraction();
        return static_cast<std::uint64_t>(skewed * static_cast<double>(user_.prefixes));
    }

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        const auto span = static_cast<std::uint64_t>(most - least + 1);
        return least + static_cast<std::int64_t>(random_.below(span));
    }

    static constexpr double stream_share = 0.3;

    const workload& user_;
    random_source random_;
};

trace write_recipe(const trace_recipe& recipe, std::uint64_t seed)
{
    trace out;
    out.header.name = recipe.name;
    out.header.seed = seed;
    out.header.faults = recipe.faults;
    out.header.unrepeatable_stages = {recipe.user->unrepeatable_stage};
    out.header.flooding = organisation_id(recipe.flooding);
    out.header.expect = recipe.expect;
    request_writer writer(*recipe.user, seed);
    for (const traffic_phase& phase : recipe.phases)
    {
        writer.write_phase(phase, out.requests);
    }
    std::stable_sort(out.requests.begin(),
                     out.requests.end(),
                     [](const trace_request& a, const trace_request& b)
                     {
                         return a.at < b.at;
                     });
    for (std::size_t i = 0; i < out.requests.size(); ++i)
    {
        out.requests[i].id = request_id(absl::StrCat(recipe.name, "-", seed, "-", i));
    }
    return out;
}

} // namespace

std::vector<std::string> trace_kinds()
{
    std::vector<std::string> kinds;
    for (const trace_recipe& each : recipes())
    {
        kinds.emplace_back(each.name);
    }
    return kinds;
}

absl::StatusOr<trace> make_trace(absl::string_view kind, std::uint64_t seed)
{
    for (const trace_recipe& each : recipes())
    {
        if (kind == each.name)
        {
            return write_recipe(each, seed);
        }
    }
    return make_error(absl::StatusCode::kInvalidArgument,
                      error_number::bad_setting,
                      absl::StrCat("no trace is called '",
                                   kind,
                                   "'; known: ",
                                   absl::StrJoin(trace_kinds(), ", ")));
}

} // namespace medlar
