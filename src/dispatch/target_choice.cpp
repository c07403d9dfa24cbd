#include <medlar/detail/dispatch/target_choice.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>

namespace medlar
{

namespace
{

// calls above the mean that a preferred engine may have, relative and absolute: with
// fewer, counting noise alone moves prompts away from the memory that has them
constexpr double bound_factor = 1.5;
constexpr double bound_slack = 2;

std::vector<target_state*> callable(const choice_question& asked)
{
    std::vector<target_state*> usable;
    for (target_state* each : asked.serving)
    {
        const bool tried =
            std::find(asked.tried.begin(), asked.tried.end(), each->record.id) !=
            asked.tried.end();
        if (!tried && may_call(*each, asked.now))
        {
            usable.push_back(each);
        }
    }
    return usable;
}

double busyness(const target_state& target)
{
    return static_cast<double>(target.in_flight) /
           static_cast<double>(std::max(1, target.record.slots));
}

/// an ejected target whose probe is due gets one request to show that it has recovered
void begin_probe_if_due(target_state& target, steady_time now)
{
    if (probe_is_due(target.health, now))
    {
        target.health = start_probe(target.health);
    }
}

target_state* least_busy(const std::vector<target_state*>& usable,
                         const failure_domain_id& own_domain,
                         random_source& random)
{
    target_state* best = nullptr;
    std::uint64_t ties = 0;
    const auto rank = [&](const target_state& target)
    {
        return std::make_pair(busyness(target),
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

std::optional<std::uint64_t> shared_prefix(const std::vector<prompt_part>& prompt)
{
    if (prompt.empty())
    {
        return std::nullopt;
    }
    // the last part belongs to the request or its session alone
    const prompt_part& deepest =
        prompt.size() > 1 ? prompt[prompt.size() - 2] : prompt.front();
    return XXH3_64bits(deepest.id.data(), deepest.id.size());
}

target_state* choose_plain(const choice_question& asked, random_source& random)
{
    target_state* chosen = least_busy(callable(asked), asked.own_domain, random);
    if (chosen != nullptr)
    {
        begin_probe_if_due(*chosen, asked.now);
    }
    return chosen;
}

target_state* choose_engine(const choice_question& asked, random_source& random)
{
    const std::vector<target_state*> usable = callable(asked);
    if (!asked.prefix || usable.empty())
    {
        return choose_plain(asked, random);
    }
    double total = 0;
    std::vector<target_id> ids;
    for (const target_state* each : usable)
    {
        total += each->in_flight;
        ids.push_back(each->record.id);
    }
    const double bound =
        bound_factor * total / static_cast<double>(usable.size()) + bound_slack;
    target_state* chosen = nullptr;
    for (const std::size_t i : rendezvous_order(*asked.prefix, ids))
    {
        if (usable[i]->in_flight < bound)
        {
            chosen = usable[i];
            break;
        }
    }
    if (chosen == nullptr)
    {
        chosen = least_busy(usable, asked.own_domain, random);
    }
    begin_probe_if_due(*chosen, asked.now);
    return chosen;
}

} // namespace medlar
