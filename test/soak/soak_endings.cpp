// Targets that end while they stream, and start again.

#include "soak/soak_run.hpp"

namespace medlar::soak
{

namespace
{

constexpr std::int64_t stream_timeout_ms = 8000;
constexpr int max_attempts = 3;

// the longest deadline of a stream that is taken up, and the time until its end is
// settled
constexpr millis last_streams_time{20000};

nlohmann::json ending_route(const std::string& prefix, bool may_resume)
{
    nlohmann::json route = test::route_json(prefix, "stream", ending_targets::pool);
    route["timeout_ms"] = stream_timeout_ms;
    route["max_attempts"] = max_attempts;
    route["resumable"] = may_resume;
    return route;
}

} // namespace

void soak_run::begin_endings()
{
    ending_targets_ = std::make_unique<ending_targets>(
        loop_,
        store_,
        settings_.seed ^ 0xc2b2ae35U,
        settings_.state_start ? start_report::stated : start_report::missing,
        [this](const std::string& what)
        {
            record_event(what);
        });
    second_store_ = test::free_endpoint();
    store_.add_address(second_store_);
    store_.second_view = [this](const std::string& key, const std::string& value)
    {
        return ending_targets_->without_path(key, value);
    };
}

std::string soak_run::with_ending_routes(const std::string& configuration) const
{
    nlohmann::json extended = nlohmann::json::parse(configuration);
    extended["routes"].push_back(ending_route("/ending/", true));
    extended["routes"].push_back(ending_route("/ending-once/", false));
    extended["services"].push_back(
        {{"name", ending_targets::pool}, {"health_path", "/health"}, {"max_conns", 100}});
    return extended.dump();
}

void soak_run::start_ending_callers()
{
    std::vector<endpoint> addresses;
    for (const auto& each : hosts_)
    {
        addresses.push_back(each->callers);
    }
    ending_callers_ = std::make_unique<ending_callers>(
        loop_, *ending_targets_, addresses, settings_.seed);
    ending_targets_->start_ends();
    ending_callers_->start(settings_.callers);
}

void soak_run::check_endings()
{
    run_until(last_streams_time,
              [this]
              {
                  return ending_callers_->open_streams() == 0;
              });
    for (const std::string& each : ending_callers_->check(!settings_.inject_other_faults))
    {
        promises_.record_violation(each);
    }
}

} // namespace medlar::soak
