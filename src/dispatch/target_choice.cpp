#include <medlar/detail/dispatch/target_choice.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlar
{

namespace
{

// a preferred engine is used up to this factor times the mean of calls in flight plus the
// slack; with less, random variation alone moves prompts away from the engine that has
// them in its cache
constexpr double load_bound_factor = 1.5;
constexpr double load_bound_slack = 2;

void skip(skip_record* skipped, const target_state& target, skip_reason why)
{
    if (skipped != nullptr)
    {
        skipped->push_back({&target, why});
    }
}

std::vector<target_state*> usable_targets(const target_choice_input& input,
                                          skip_record* skipped)
{
    std::vector<target_state*> usable;
    for (target_state* each : input.candidates)
    {
        const skip_reason why = reason_unusable(*each, input);
        if (why == skip_reason::none)
        {
            usable.push_back(each);
        }
        else
        {
            skip(skipped, *each, why);
        }
    }
    return usable;
}

double calls_per_slot(const target_state& target)
{
    return static_cast<double>(target.in_flight) /
           (static_cast<double>(std::max(1, target.record.slots)) * target.speed_weight);
}

/// indexes of the targets in the order in which a prefix prefers them: weighted
/// rendezvous hashing, so that a change of one weight moves only the prefixes of that
/// target
std::vector<std::size_t> weighted_order(std::uint64_t prefix,
                                        const std::vector<target_state*>& targets)
{
    constexpr double two_to_64 = 18446744073709551616.0;
    std::vector<std::pair<double, std::size_t>> scored;
    scored.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        const auto score =
            static_cast<double>(rendezvous_score(prefix, targets[i]->record.id));
        const double uniform = std::min((score + 0.5) / two_to_64, 1 - 1e-16);
        scored.emplace_back(std::log(uniform) / targets[i]->speed_weight, i);
    }
    std::sort(scored.begin(),
              scored.end(),
              [](const auto& a, const auto& b)
              {
                  return a.first > b.first;
              });
    std::vector<std::size_t> order;
    order.reserve(scored.size());
    for (const auto& each : scored)
    {
        order.push_back(each.second);
    }
    return order;
}

target_state* least_loaded(const std::vector<target_state*>& usable,
                           const failure_domain_id& own_domain,
                           random_source& random,
                           skip_record* skipped)
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
    for (const target_state* each : usable)
    {
        if (skipped != nullptr && each != best)
        {
            const bool is_busier = calls_per_slot(*each) > calls_per_slot(*best);
            const bool is_equal = rank(*each) == rank(*best);
            skip(skipped,
                 *each,
                 is_busier  ? skip_reason::busier
                 : is_equal ? skip_reason::drawn
                            : skip_reason::farther);
        }
    }
    return best;
}

} // namespace

skip_reason reason_unusable(const target_state& target, const target_choice_input& input)
{
    const bool is_tried =
        std::find(input.tried.begin(), input.tried.end(), target.record.id) !=
        input.tried.end();
    return is_tried ? skip_reason::tried : reason_not_to_call(target, input.now);
}

void begin_probe_if_due(target_state& target, steady_time now)
{
    if (probe_is_due(target.health, now))
    {
        target.health = start_probe(target.health);
    }
}

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

target_state* choose_least_busy(const target_choice_input& input,
                                random_source& random,
                                skip_record* skipped)
{
    return least_loaded(
        usable_targets(input, skipped), input.local_domain, random, skipped);
}

target_state* choose_engine(const target_choice_input& input,
                            random_source& random,
                            skip_record* skipped)
{
    if (!input.prefix)
    {
        return choose_least_busy(input, random, skipped);
    }
    const std::vector<target_state*> usable = usable_targets(input, skipped);
    double total = 0;
    double total_weight = 0;
    for (const target_state* each : usable)
    {
        total += each->in_flight;
        total_weight += each->speed_weight;
    }
    const double bound = usable.empty() ? 0 : load_bound_factor * total / total_weight;
    target_state* chosen = nullptr;
    skip_record passed;
    for (const std::size_t i : weighted_order(*input.prefix, usable))
    {
        target_state* const each = usable[i];
        const bool is_below =
            each->in_flight < bound * each->speed_weight + load_bound_slack;
        if (chosen == nullptr && is_below)
        {
            chosen = each;
        }
        if (skipped == nullptr && chosen != nullptr)
        {
            break;
        }
        if (skipped != nullptr && each != chosen)
        {
            passed.push_back(
                {each,
                 is_below ? skip_reason::less_preferred : skip_reason::above_load_bound});
        }
    }
    if (chosen == nullptr)
    {
        return least_loaded(usable, input.local_domain, random, skipped);
    }
    if (skipped != nullptr)
    {
        skipped->insert(skipped->end(), passed.begin(), passed.end());
    }
    return chosen;
}

} // namespace medlar
