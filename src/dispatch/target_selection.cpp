#include <medlar/detail/dispatch/target_selection.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

using target_iterator = std::vector<target_state*>::iterator;

void drop(std::vector<target_state*>& candidates,
          target_iterator from,
          skip_reason why,
          skip_record* skipped)
{
    for (auto each = from; skipped != nullptr && each != candidates.end(); ++each)
    {
        skipped->push_back({*each, why});
    }
    candidates.erase(from, candidates.end());
}

skip_reason reason_unsuitable(const target_state& target, const selection_rules& rules)
{
    const skip_reason without_work = reason_without_work(target);
    if (without_work != skip_reason::none)
    {
        return without_work;
    }
    if (!rules.may_run_at(target))
    {
        return skip_reason::other_origin;
    }
    if (rules.is_left_out_as_cold(target))
    {
        return skip_reason::waited_for_permits;
    }
    return has_used_share(target, rules.host_count) ? skip_reason::share_used
                                                    : skip_reason::none;
}

void drop_unsuitable(target_choice_input& input,
                     const selection_rules& rules,
                     skip_record* skipped)
{
    const auto is_unsuitable = [&](const target_state* each)
    {
        const skip_reason why = reason_unsuitable(*each, rules);
        if (why != skip_reason::none && skipped != nullptr)
        {
            skipped->push_back({each, why});
        }
        return why != skip_reason::none;
    };
    input.candidates.erase(
        std::remove_if(input.candidates.begin(), input.candidates.end(), is_unsuitable),
        input.candidates.end());
}

/// removes the other targets if one of the preferred can be called
/// @return whether it did
bool prefer_targets(target_choice_input& input,
                    const std::function<bool(const target_state*)>& is_preferred,
                    skip_reason why_others,
                    skip_record* skipped)
{
    const auto others = std::stable_partition(
        input.candidates.begin(), input.candidates.end(), is_preferred);
    const bool has_usable =
        std::any_of(input.candidates.begin(),
                    others,
                    [&](const target_state* each)
                    {
                        return reason_unusable(*each, input) == skip_reason::none;
                    });
    if (has_usable)
    {
        drop(input.candidates, others, why_others, skipped);
    }
    return has_usable;
}

/// leaves out the targets of other versions than that at which the stream should begin,
/// if one of it can be called
void prefer_version(target_choice_input& input,
                    const selection_rules& rules,
                    skip_record* skipped)
{
    const auto is_of_version = [&](const target_state* each)
    {
        return rules.version_of(*each) == *rules.version;
    };
    const auto is_unknown = [](const target_state* each)
    {
        return each->is_start_unknown;
    };
    // a target of another version may turn out not to answer for its start
    if (!prefer_targets(input, is_of_version, skip_reason::other_version, skipped))
    {
        prefer_targets(input, is_unknown, skip_reason::other_version, skipped);
    }
}

void append(skip_record* to, const skip_record& skipped)
{
    if (to != nullptr)
    {
        to->insert(to->end(), skipped.begin(), skipped.end());
    }
}

/// leaves out the targets of other domains if one near the inputs can be called
void prefer_domain(target_choice_input& input,
                   const selection_rules& rules,
                   skip_record* skipped)
{
    if (!rules.inputs_domain)
    {
        return;
    }
    const auto is_near = [&](const target_state* each)
    {
        return each->record.domain == *rules.inputs_domain;
    };
    prefer_targets(input, is_near, skip_reason::other_domain, skipped);
}

/// Chooses among targets some of which may lack a slot. Those are called only if no other
/// one can be, and if an answer of the issuer may bring a slot.
selected_target choose_with_slots(target_choice_input input,
                                  const selection_rules& rules,
                                  random_source& random,
                                  skip_record* skipped)
{
    const slot_rules& slots = *rules.slots;
    skip_record why_others;
    skip_record* const others_if_asked = skipped != nullptr ? &why_others : nullptr;
    target_choice_input near = input;
    prefer_domain(near, rules, others_if_asked);
    const auto holds = [&](const target_state* each)
    {
        return slots.holds(*each);
    };
    // Any request uses a slot that the host holds, also one whose prompt another engine
    // has in its cache: the target would be idle until a prompt comes that prefers it.
    prefer_targets(near, holds, skip_reason::slot_held, others_if_asked);
    target_state* const preferred = choose_engine(near, random, others_if_asked);
    if (preferred == nullptr || !slots.lacks(*preferred))
    {
        append(skipped, why_others);
        return {preferred, nullptr};
    }
    why_others.clear();
    // without a slot another domain is better than to wait
    drop(input.candidates,
         std::stable_partition(input.candidates.begin(),
                               input.candidates.end(),
                               [&](const target_state* each)
                               {
                                   return !slots.lacks(*each);
                               }),
         skip_reason::no_slot,
         others_if_asked);
    prefer_domain(input, rules, others_if_asked);
    target_state* chosen = choose_engine(input, random, others_if_asked);
    if (chosen == nullptr)
    {
        near.candidates.erase(std::remove_if(near.candidates.begin(),
                                             near.candidates.end(),
                                             [&](const target_state* each)
                                             {
                                                 return !slots.may_be_granted(*each);
                                             }),
                              near.candidates.end());
        chosen = choose_engine(near, random);
    }
    why_others.erase(std::remove_if(why_others.begin(),
                                    why_others.end(),
                                    [&](const skipped_target& each)
                                    {
                                        return each.target == chosen;
                                    }),
                     why_others.end());
    append(skipped, why_others);
    return {chosen, preferred};
}

} // namespace

pool_id choose_pool(const std::vector<weighted_pool>& pools, random_source& random)
{
    double total = 0;
    for (const weighted_pool& each : pools)
    {
        total += each.weight;
    }
    double position = random.fraction() * total;
    for (const weighted_pool& each : pools)
    {
        position -= each.weight;
        if (position < 0)
        {
            return each.pool;
        }
    }
    return pools.back().pool;
}

selected_target select_target(target_choice_input input,
                              const selection_rules& rules,
                              random_source& random,
                              skip_record* skipped)
{
    drop_unsuitable(input, rules, skipped);
    if (rules.version)
    {
        prefer_version(input, rules, skipped);
    }
    if (rules.slots)
    {
        return choose_with_slots(std::move(input), rules, random, skipped);
    }
    prefer_domain(input, rules, skipped);
    return {choose_engine(input, random, skipped), nullptr};
}

bool is_whole_pool(const piece_group& group, const target_table& targets)
{
    return group.domain.empty() || targets.is_evacuated(failure_domain_id(group.domain));
}

skip_reason reason_not_in_use(const target_state& target,
                              const piece_group& group,
                              bool takes_all,
                              steady_time now)
{
    const skip_reason without_work = reason_without_work(target);
    if (without_work != skip_reason::none)
    {
        return without_work;
    }
    if (!takes_all && target.record.domain.get() != group.domain)
    {
        return skip_reason::not_in_group;
    }
    return reason_not_to_call(target, now);
}

} // namespace medlar
