#include <medlar/detail/dispatch/target_choice.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>

namespace medlar
{

namespace
{

// a preferred engine is used up to this factor times the mean of calls in flight plus the
// slack; with less, random variation alone moves prompts away from the engine that has
// them in its cache
constexpr double load_bound_factor = 1.5;
constexpr double load_bound_slack = 2;

std::vector<target_state*> usable_targets(const target_choice_input& input)
{
    std::vector<target_state*> usable;
    for (target_state* each : input.candidates)
    {
        const bool tried =
            std::find(input.tried.begin(), input.tried.end(), each->record.id) !=
            input.tried.end();
        if (!tried && may_call(*each, input.now))
        {
            usable.push_back(each);
        }
    }
    return usable;
}

double calls_per_slot(const target_state& target)
{
    return static_cast<double>(target.in_flight) /
           static_cast<double>(std::max(1, target.record.slots));
}

/// sends an ejected target whose probe is due one request, to test if it has recovered
void begin_probe_if_due(target_state& target, steady_time now)
{
    if (probe_is_due(target.health, now))
    {
        target.health = start_probe(target.health);
    }
}

target_state* least_loaded(const std::vector<target_state*>& usable,
                           const failure_domain_id& own_domain,
                           random_source& random)
{
    target_state* best = nullptr;
    std::uint64_t ties = 0;
    const auto rank = [&](const target_state& target)
    {
        return std::make_pair(calls_per_slot(target),
                              target.record.domain == own_domain ? 0 : 1);
    };
    for (target_state* each : usable)
    {
        if (best == nullptr || rank(*each) < rank(*best))
        {
            best = each;
            ties = 1;
        }
        else if (rank(*each) == rank(*best) && random.below(++ties) == 0)
        {
            best = each;
        }
    }
    return best;
}

} // namespace

std::optional<std::uint64_t> shared_prefix_hash(const std::vector<prompt_part>& prompt)
{
    if (prompt.empty())
    {
        return std::nullopt;
    }
    // the last part belongs to this request or its session alone
    const prompt_part& last_shared =
        prompt.size() > 1 ? prompt[prompt.size() - 2] : prompt.front();
    return XXH3_64bits(last_shared.id.data(), last_shared.id.size());
}

target_state* choose_least_busy(const target_choice_input& input, random_source& random)
{
    target_state* chosen =
        least_loaded(usable_targets(input), input.local_domain, random);
    if (chosen != nullptr)
    {
        begin_probe_if_due(*chosen, input.now);
    }
    return chosen;
}

target_state* choose_engine(const target_choice_input& input, random_source& random)
{
    const std::vector<target_state*> usable = usable_targets(input);
    if (!input.prefix || usable.empty())
    {
        return choose_least_busy(input, random);
    }
    double total = 0;
    std::vector<target_id> ids;
    for (const target_state* each : usable)
    {
        total += each->in_flight;
        ids.push_back(each->record.id);
    }
    const double bound =
        load_bound_factor * total / static_cast<double>(usable.size()) + load_bound_slack;
    target_state* chosen = nullptr;
    for (const std::size_t i : rendezvous_order(*input.prefix, ids))
    {
        if (usable[i]->in_flight < bound)
        {
            chosen = usable[i];
            break;
        }
    }
    if (chosen == nullptr)
    {
        chosen = least_loaded(usable, input.local_domain, random);
    }
    begin_probe_if_due(*chosen, input.now);
    return chosen;
}

} // namespace medlar
