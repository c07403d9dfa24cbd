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

/// @brief a period with a constant request rate
struct traffic_phase
{
    millis from{0};
    millis until{0};
    double requests_per_second = 0;
    /// the only sending organisation; empty: all, by their share
    std::string sender;
    /// fraction of requests with a long input
    double long_share = 0.1;
};

/// @brief an organisation and its fraction of the traffic
struct sender
{
    const char* name;
    double share;
};

/// @brief a workload: its pipeline, organisations, and the sizes of its requests
struct workload
{
    const char* pipeline;
    const char* unrepeatable_stage;
    std::vector<sender> senders;
    /// fraction of requests that are not idempotent
    double non_idempotent_share;
    std::int64_t short_input_bytes;
    std::int64_t long_input_bytes;
    std::int64_t min_tokens;
    std::int64_t max_tokens;
    std::int64_t min_deadline_ms;
    std::int64_t max_deadline_ms;
    /// number of shared prompt prefixes, and their length
    std::uint64_t prefixes;
    std::int64_t prefix_bytes;
};

/// @brief the parameters of a kind of trace
struct trace_recipe
{
    const char* name;
    const workload* profile;
    std::vector<traffic_phase> phases;
    std::vector<trace_fault> faults;
    const char* flooding;
    trace_expectations expect;
};

const workload& patrimonia()
{
    static const workload profile{"impairment_notes",
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
    return profile;
}

const workload& archive()
{
    static const workload profile{"mix_reviews",
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
    return profile;
}

constexpr double steady_rate = 45;
constexpr double burst_rate = 200;
constexpr millis trace_length{5000};
constexpr millis burst_from{1500};
constexpr millis burst_until{2800};
constexpr millis fault_from{1500};
constexpr millis fault_until{4000};
constexpr double long_share_at_month_end = 0.4;

/// traffic within the capacity of the pools
const trace_expectations within_capacity{0.95, std::nullopt};
/// one organisation floods the pools, which must not affect the others
const trace_expectations flooding_isolated{std::nullopt, 0.93};
/// traffic above the capacity of the pools
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
    const workload* ledger_workload = &patrimonia();
    const workload* mix_workload = &archive();
    const std::vector<traffic_phase> ledger_burst = with_burst(long_share_at_month_end);
    const std::vector<traffic_phase> flood = {
        steady_phase(), {burst_from, fault_until, burst_rate, "joinville", 0.1}};
    return {
        {"normal_day", ledger_workload, steady(), {}, "", within_capacity},
        {"month_end_burst", ledger_workload, ledger_burst, {}, "", overload},
        {"weekend_rush", mix_workload, with_burst(0.2), {}, "", overload},
        {"flooding", ledger_workload, flood, {}, "joinville", flooding_isolated},
        {"straggling_stage",
         mix_workload,
         steady(),
         {fault("straggle", "language_models", {2}, 8)},
         "",
         within_capacity},
        {"failing_stage",
         ledger_workload,
         steady(),
         {fault("fail", "encoders", {0}, 1)},
         "",
         within_capacity},
        {"store_outage", ledger_workload, steady(), stopped_store(), "", within_capacity},
        {"gateway_killed", mix_workload, steady(), killed_gateway(), "", within_capacity},
        {"reports_frozen", mix_workload, steady(), frozen_reports(), "", within_capacity},
        {"store_outage_burst",
         ledger_workload,
         ledger_burst,
         stopped_store(),
         "",
         overload},
        {"gateway_killed_burst",
         mix_workload,
         with_burst(0.2),
         killed_gateway(),
         "",
         overload},
        {"reports_frozen_burst",
         mix_workload,
         with_burst(0.2),
         frozen_reports(),
         "",
         overload},
    };
}

/// @brief Generates random requests of a workload.
class request_generator
{
  public:
    request_generator(const workload& profile, std::uint64_t seed)
        : profile_(profile), random_(seed)
    {
    }

    void generate_phase(const traffic_phase& phase, std::vector<trace_request>& out)
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
            out.push_back(generate_request(phase, millis(static_cast<std::int64_t>(at))));
        }
    }

  private:
    trace_request generate_request(const traffic_phase& phase, millis at)
    {
        trace_request request;
        request.at = at;
        request.pipeline = pipeline_id(profile_.pipeline);
        request.organisation =
            organisation_id(phase.sender.empty() ? draw_sender() : phase.sender);
        request.deadline =
            millis(between(profile_.min_deadline_ms, profile_.max_deadline_ms));
        request.idempotent = random_.fraction() >= profile_.non_idempotent_share;
        request.stream = request.idempotent && random_.fraction() < stream_share;
        const bool is_long = random_.fraction() < phase.long_share;
        const std::int64_t typical =
            is_long ? profile_.long_input_bytes : profile_.short_input_bytes;
        request.input = byte_count(between(typical / 2, typical * 3 / 2));
        request.prefix = absl::StrCat(profile_.pipeline, "-", draw_prefix());
        request.prefix_length = byte_count(profile_.prefix_bytes);
        request.max_tokens =
            token_count(between(profile_.min_tokens, profile_.max_tokens));
        return request;
    }

    std::string draw_sender()
    {
        double remaining = random_.fraction();
        for (const sender& each : profile_.senders)
        {
            remaining -= each.share;
            if (remaining < 0)
            {
                return each.name;
            }
        }
        return profile_.senders.back().name;
    }

    /// @brief Returns a random prefix number, with a bias to low numbers.
    std::uint64_t draw_prefix()
    {
        const double skewed = random_.fraction() * random_.fraction();
        return static_cast<std::uint64_t>(skewed *
                                          static_cast<double>(profile_.prefixes));
    }

    std::int64_t between(std::int64_t lowest, std::int64_t highest)
    {
        const auto span = static_cast<std::uint64_t>(highest - lowest + 1);
        return lowest + static_cast<std::int64_t>(random_.below(span));
    }

    static constexpr double stream_share = 0.3;

    const workload& profile_;
    random_source random_;
};

trace generate_from_recipe(const trace_recipe& recipe, std::uint64_t seed)
{
    trace out;
    out.header.name = recipe.name;
    out.header.seed = seed;
    out.header.faults = recipe.faults;
    out.header.unrepeatable_stages = {recipe.profile->unrepeatable_stage};
    out.header.flooding = organisation_id(recipe.flooding);
    out.header.expect = recipe.expect;
    request_generator generator(*recipe.profile, seed);
    for (const traffic_phase& phase : recipe.phases)
    {
        generator.generate_phase(phase, out.requests);
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

absl::StatusOr<trace> generate_trace(absl::string_view kind, std::uint64_t seed)
{
    for (const trace_recipe& each : recipes())
    {
        if (kind == each.name)
        {
            return generate_from_recipe(each, seed);
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
