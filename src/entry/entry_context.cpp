#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace medlar
{

namespace
{

// limit for the head of a target's answer
constexpr std::size_t max_answer_head_bytes = 65536;

// hosts that a target asked for a pause return to it within this time, not all at once
constexpr std::uint64_t max_return_spread_ms = 200;

// a pool without a callable target refuses thousands of requests a second
constexpr millis no_target_log_interval{1000};

// pause of a target at whose address another one answers: the entry of a target that has
// gone lapses in about this time
constexpr millis replaced_target_pause{3000};

} // namespace

entry_context::entry_context(event_loop& with_loop,
                             const entry_protocol& with_protocol,
                             const entry_settings& with_settings,
                             std::uint64_t seed)
    : loop(with_loop),
      protocol(with_protocol),
      settings(with_settings),
      client(with_loop, max_answer_head_bytes),
      metrics(metrics_registry::create()),
      random(seed)
{
}

pool_retry_budget& entry_context::budget_for(const pool_id& pool)
{
    pool_retry_budget& budget =
        budgets_.try_emplace(pool, settings.retry_rule).first->second;
    // the settings may have been read again
    budget.set_rule(settings.retry_rule);
    return budget;
}

millis entry_context::expected_first_event_delay(const pool_id& pool,
                                                 token_count prompt) const
{
    const auto found = first_event_delays_.find(pool);
    return found == first_event_delays_.end() ? first_event_delay().estimate(prompt)
                                              : found->second.estimate(prompt);
}

void entry_context::record_first_event_delay(const pool_id& pool,
                                             token_count prompt,
                                             millis took)
{
    first_event_delays_[pool].record(prompt, took);
}

millis entry_context::expected_answer_time(const pool_id& pool) const
{
    const auto found = answer_times_.find(pool);
    return found == answer_times_.end() ? answer_time().estimate()
                                        : found->second.estimate();
}

void entry_context::record_answer_time(const pool_id& pool, millis took)
{
    answer_times_[pool].record(took);
}

millis entry_context::time_until_callable(const pool_id& pool)
{
    if (targets.is_evacuated(pool))
    {
        // the end of an evacuation takes up to this time to be in force here
        return settings.evacuate_bound.value_or(millis(0));
    }
    return targets.time_until_callable(pool, loop.now()).value_or(millis(0));
}

void entry_context::record_no_target(const pool_id& pool)
{
    unserved_requests& unserved = unserved_[pool];
    ++unserved.unlogged;
    const steady_time now = loop.now();
    if (unserved.logged_at && now - *unserved.logged_at < no_target_log_interval)
    {
        return;
    }
    unserved.logged_at = now;
    const target_counts counts = targets.count_uncallable(pool, now);
    log_event(entry_pool_uncallable,
              {{"pool", pool.get()},
               {"requests", std::exchange(unserved.unlogged, std::int64_t{0})},
               {"targets", std::int64_t{counts.total}},
               {"stopping", std::int64_t{counts.stopping}},
               {"evacuated", std::int64_t{counts.evacuated}},
               {"ejected", std::int64_t{counts.ejected}},
               {"probing", std::int64_t{counts.probing}},
               {"paused", std::int64_t{counts.paused}},
               {"full", std::int64_t{counts.full}},
               {"limited", std::int64_t{counts.limited}}});
}

void entry_context::record_target_answer(const process_start& process,
                                         const answer_fields& answer)
{
    const target_id& id = process.target;
    target_state* const target = targets.find(id);
    if (target == nullptr)
    {
        return;
    }
    if (answer.is_of_other_target)
    {
        if (targets.mark_paused(id, replaced_target_pause, millis(0), loop.now()))
        {
            log_event(entry_target_replaced,
                      {{"target", id.get()},
                       {"pool", target->record.pool.get()},
                       {"address", to_string(target->record.address)}});
            record_outage(*target, {"replaced", true});
        }
        return;
    }
    if (answer.is_leaving)
    {
        record_target_leaving(process);
    }
    if (!answer.is_rate_limit_malformed)
    {
        record_rate_limit(*target, answer.rate_limit);
    }
    record_refusal_limit(*target, answer.refusal_limit);
    record_cold_time(id, answer);
    const millis spread(static_cast<std::int64_t>(random.below(max_return_spread_ms)));
    if (answer.pause && targets.mark_paused(id, *answer.pause, spread, loop.now()))
    {
        log_event(entry_target_paused,
                  {{"target", id.get()},
                   {"pool", target->record.pool.get()},
                   {"asked_ms", answer.pause->count()},
                   {"until_ms", (target->paused_until - loop.now()).count()}});
        record_outage(*target, {"paused", false});
    }
}

void entry_context::record_outage(const target_state& target,
                                  const target_outage& outage) const
{
    if (on_target_out)
    {
        on_target_out(target, outage);
    }
}

void entry_context::record_cold_time(const target_id& id, const answer_fields& answer)
{
    if (answer.cold && on_cold_stated)
    {
        on_cold_stated(id, *answer.cold);
    }
    target_state* const target = targets.find(id);
    if (answer.is_cold_malformed && target != nullptr &&
        !std::exchange(target->has_malformed_cold, true))
    {
        log_event(entry_item_unreadable,
                  {{"what", absl::StrCat("answer of target ", id.get())},
                   {"why", "its cold time is no number, negative or too large"}});
    }
}

void entry_context::record_target_leaving(const process_start& process)
{
    if (targets.mark_leaving(process))
    {
        const target_record& record = targets.find(process.target)->record;
        log_event(entry_target_leaving,
                  {{"target", process.target.get()},
                   {"pool", record.pool.get()},
                   {"started_ms", process.started_ms}});
        client.keep_witness(record.address);
        client.close_idle(record.address);
    }
}

void entry_context::record_target_start(const target_id& id, std::int64_t started_ms)
{
    const target_state* const target = targets.find(id);
    const bool was_listed = target != nullptr && is_listed(*target);
    const std::int64_t known_start = target == nullptr ? 0 : start_of(*target);
    targets.record_start(id, started_ms);
    if (target != nullptr && start_of(*target) > known_start && on_start_stated)
    {
        on_start_stated(id);
    }
    if (was_listed && !is_listed(*target))
    {
        client.close_idle(target->record.address);
        log_event(entry_target_unlisted,
                  {{"target", id.get()},
                   {"pool", target->record.pool.get()},
                   {"listed_ms", target->record.started_ms},
                   {"started_ms", started_ms}});
    }
}

void entry_context::record_unknown_start(const target_id& id)
{
    target_state* const target = targets.find(id);
    if (target != nullptr && !target->is_start_unknown)
    {
        target->is_start_unknown = true;
        log_event(entry_target_start_unknown,
                  {{"target", id.get()},
                   {"pool", target->record.pool.get()},
                   {"listed_ms", target->record.started_ms}});
    }
}

void entry_context::record_refusal(const target_id& id)
{
    target_state* const target = targets.find(id);
    if (target == nullptr)
    {
        return;
    }
    target->refused_until = loop.now() + pause_after_refusal(target->refusal_limit);
    if (target->refusal_limit && on_refused)
    {
        on_refused(*target);
    }
}

void entry_context::record_refusal_limit(target_state& target,
                                         std::optional<double> per_s)
{
    if (target.refusal_limit != per_s)
    {
        if (!target.refusal_limit)
        {
            target.refusal_limit_known_at = loop.now();
        }
        target.refusal_limit = per_s;
        log_event(entry_target_refusals_limited,
                  {{"target", target.record.id.get()},
                   {"pool", target.record.pool.get()},
                   {"per_s", per_s ? absl::StrCat(*per_s) : ""}});
    }
}

void entry_context::record_rate_limit(target_state& target, std::optional<double> per_s)
{
    if (per_s)
    {
        target.limit_stated_at = loop.now();
    }
    if (target.rate_limit == per_s)
    {
        return;
    }
    const bool is_first_or_end = target.rate_limit.has_value() != per_s.has_value();
    target.rate_limit = per_s;
    if (!per_s)
    {
        target.limited_until = steady_time();
    }
    log_event(entry_target_limited,
              {{"target", target.record.id.get()},
               {"pool", target.record.pool.get()},
               {"per_s", per_s ? absl::StrCat(*per_s) : ""}});
    if (is_first_or_end && on_limit_changed)
    {
        on_limit_changed(target.record.id);
    }
}

void entry_context::record_target_call(const process_start& process, call_result result)
{
    target_state* const target = targets.find_process(process);
    if (target == nullptr)
    {
        return;
    }
    const health_state before = target->health.state;
    record_call(*target, {result, 1}, targets.serving(target->record.pool), loop.now());
    if (before != health_state::ejected && target->health.state == health_state::ejected)
    {
        log_event(
            entry_target_ejected,
            {{"target", process.target.get()},
             {"pool", target->record.pool.get()},
             {"failures_in_a_row", std::int64_t{target->health.consecutive_failures}},
             {"until_ms", (target->health.probe_due - loop.now()).count()}});
        record_outage(*target, {"ejected", true});
    }
    if (result == call_result::succeeded)
    {
        target->answered_at = loop.now();
        if (on_target_answered)
        {
            on_target_answered(*target);
        }
    }
}

void entry_context::record_stream_begun(const process_start& process)
{
    const target_state* const target = targets.find_process(process);
    const pool_rule* const rule = target != nullptr && configuration
                                      ? configuration->find_pool(target->record.pool)
                                      : nullptr;
    if (rule != nullptr && rule->cold.after_start > millis(0) &&
        target->health.state == health_state::probing)
    {
        record_target_call(process, call_result::succeeded);
    }
}

} // namespace medlar
