#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/hosts/slow_start_controller.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace medlar
{

namespace
{

// a host that another one takes for the issuer by mistake; see cold_controller
constexpr millis other_issuer_wait{100};

// questions that were not answered in time and are remembered
constexpr std::size_t max_unanswered = 256;

} // namespace

slow_start_controller::slow_start_controller(entry_context& context,
                                             peer_network& peers,
                                             const cold_controller& cold)
    : context_(context),
      peers_(peers),
      cold_(cold),
      issuer_(static_cast<std::uint64_t>(
                  context.random.below(std::numeric_limits<std::uint32_t>::max()))
              << 24U)
{
    context_.on_target_out =
        [this](const target_state& target, const target_outage& outage)
    {
        handle_out(target, outage);
    };
    context_.on_target_answered = [this](const target_state& target)
    {
        handle_answered(target);
    };
}

cold_rule slow_start_controller::rule_of(const pool_id& pool) const
{
    const pool_rule* const found =
        context_.configuration ? context_.configuration->find_pool(pool) : nullptr;
    return found != nullptr ? found->cold : cold_rule();
}

bool slow_start_controller::has_rule(const pool_id& pool) const
{
    return rule_of(pool).after_start > millis(0);
}

const slow_start_controller::slow_target*
slow_start_controller::find(const target_id& target) const
{
    const auto found = slow_.find(target);
    return found == slow_.end() ? nullptr : &found->second;
}

bool slow_start_controller::is_limited(const target_state& target) const
{
    // probes and permits have limits of their own
    return target.health.state == health_state::healthy && !cold_.rate_of(target);
}

bool slow_start_controller::lacks_slot(const target_state& target) const
{
    const slow_target* const slow = find(target.record.id);
    return slow != nullptr && is_limited(target) &&
           limited_pools_.count(target.record.pool) != 0 &&
           !slow->share.may_send(target.in_flight, context_.loop.now());
}

bool slow_start_controller::holds_slot(const target_state& target) const
{
    const slow_target* const slow = find(target.record.id);
    return slow != nullptr && is_limited(target) &&
           limited_pools_.count(target.record.pool) != 0 &&
           slow->share.holds_slot(context_.loop.now());
}

bool slow_start_controller::may_be_granted(const target_state& target) const
{
    const slow_target* const slow = find(target.record.id);
    return slow != nullptr && slow->share.may_be_granted(context_.loop.now());
}

slow_start_controller::slow_target&
slow_start_controller::begin(const target_state& target, absl::string_view reason)
{
    const steady_time now = context_.loop.now();
    const auto known = slow_.find(target.record.id);
    if (known != slow_.end())
    {
        known->second.share.record_out(now);
        return known->second;
    }
    log_event(entry_slow_start_begun,
              {{"target", target.record.id.get()},
               {"pool", target.record.pool.get()},
               {"reason", reason},
               {"issuer", cold_.issuer_of(target.record.id).get()}});
    return slow_.emplace(target.record.id, slow_target(now)).first->second;
}

void slow_start_controller::handle_out(const target_state& target,
                                       const target_outage& outage)
{
    if (!begins_slow_start(rule_of(target.record.pool), outage.is_failure))
    {
        return;
    }
    slow_target& slow = begin(target, outage.reason);
    if (outage.is_failure && !slow.failed_at)
    {
        slow.failed_at = context_.loop.now();
    }
}

void slow_start_controller::handle_answered(const target_state& target)
{
    const auto found = slow_.find(target.record.id);
    if (found == slow_.end() || !found->second.failed_at ||
        target.health.state != health_state::healthy ||
        context_.loop.now() < target.paused_until)
    {
        return;
    }
    const millis out = context_.loop.now() - *found->second.failed_at;
    found->second.failed_at.reset();
    found->second.share.record_out(context_.loop.now());
    log_returned(target, "probe", out);
    const nlohmann::json message{{"type", "returned"},
                                 {"target", target.record.id.get()},
                                 {"answering_ms", start_of(target)},
                                 {"out_ms", out.count()}};
    for (const peer_host& each : peers_.live_peers())
    {
        peers_.send(each.id, message);
    }
}

void slow_start_controller::log_returned(const target_state& target,
                                         absl::string_view source,
                                         millis out)
{
    log_event(entry_target_returned,
              {{"target", target.record.id.get()},
               {"pool", target.record.pool.get()},
               {"source", source},
               {"out_ms", out.count()}});
}

void slow_start_controller::handle_returned(const nlohmann::json& message)
{
    const target_id id(message.at("target").get<std::string>());
    const auto started_ms = message.at("answering_ms").get<std::int64_t>();
    const millis out = std::max(millis(0), read_span(message, "out_ms"));
    target_state* const target = context_.targets.find(id);
    // the process that has answered may be an earlier one; 0 is an unknown one
    const bool is_of_earlier =
        target != nullptr && started_ms != 0 && started_ms < start_of(*target);
    if (target == nullptr || is_of_earlier || !has_rule(target->record.pool))
    {
        return;
    }
    const bool is_out = target->health.state != health_state::healthy;
    // a target that went on answering this host was not out of service: the other host
    // may have lost its path for a while
    const bool has_answered = target->health.consecutive_failures == 0 &&
                              target->answered_at + out > context_.loop.now();
    if (!is_out && has_answered)
    {
        return;
    }
    begin(*target, "news").failed_at.reset();
    if (is_out)
    {
        target->health = take_back(target->health);
        log_returned(*target, "peer", out);
    }
}

void slow_start_controller::ask_ahead(const target_id& target)
{
    const auto found = slow_.find(target);
    const target_state* const state = context_.targets.find(target);
    if (found != slow_.end() && state != nullptr &&
        found->second.share.record_missed(context_.loop.now()))
    {
        ask(*state, found->second);
    }
}

void slow_start_controller::request_slot(const target_id& target, slot_action on_answer)
{
    const auto found = slow_.find(target);
    if (found == slow_.end())
    {
        on_answer();
        return;
    }
    found->second.waiting.push_back(std::move(on_answer));
    ask_ahead(target);
    const bool is_pending = std::any_of(pending_.begin(),
                                        pending_.end(),
                                        [&target](const auto& each)
                                        {
                                            return each.second.target == target;
                                        });
    if (!is_pending)
    {
        answer_waiting(target);
    }
}

void slow_start_controller::answer_waiting(const target_id& target)
{
    const auto found = slow_.find(target);
    if (found == slow_.end())
    {
        return;
    }
    // an action may ask again
    const std::vector<slot_action> actions = std::move(found->second.waiting);
    found->second.waiting.clear();
    for (const slot_action& each : actions)
    {
        each();
    }
}

void slow_start_controller::ask(const target_state& target, slow_target& slow)
{
    const std::uint64_t number = ++last_number_;
    const target_id id = target.record.id;
    const slot_question question{id,
                                 start_of(target),
                                 target.record.slots,
                                 slow.share.begin_question(),
                                 slow.share.age(context_.loop.now())};
    pending_question& added = pending_[number];
    added.target = id;
    added.issuer = cold_.issuer_of(id);
    if (added.issuer == peers_.self().id)
    {
        apply(number, grant(question));
        return;
    }
    const bool is_sent = peers_.send(added.issuer,
                                     {{"type", "slots?"},
                                      {"number", number},
                                      {"target", id.get()},
                                      {"answering_ms", question.started_ms},
                                      {"slots", question.target_slots},
                                      {"wanted", question.wanted},
                                      {"age_ms", question.age.count()}});
    if (!is_sent)
    {
        apply(number, std::nullopt);
        return;
    }
    added.timeout = context_.loop.after(slot_answer_timeout,
                                        [this, number]
                                        {
                                            apply(number, std::nullopt);
                                        });
}

slot_grant slow_start_controller::grant(const slot_question& question)
{
    // only one host may issue, also if others take this one for it
    if (cold_.issuer_of(question.target) != peers_.self().id)
    {
        return {{}, other_issuer_wait, false};
    }
    return issuer_.grant(question, context_.loop.now());
}

void slow_start_controller::apply(std::uint64_t number,
                                  const std::optional<slot_grant>& granted)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
    {
        return;
    }
    const pending_question question = std::move(found->second);
    pending_.erase(found);
    context_.loop.cancel(question.timeout);
    const steady_time now = context_.loop.now();
    if (!granted && unanswered_.size() < max_unanswered)
    {
        unanswered_.insert(number);
    }
    const auto slow = slow_.find(question.target);
    if (slow == slow_.end())
    {
        give_back(question.target, question.issuer, granted.value_or(slot_grant()).slots);
        return;
    }
    if (granted)
    {
        slow->second.share.record_grant(*granted, question.issuer, now);
        const bool is_refused = granted->slots.empty();
        if (!granted->has_ended)
        {
            count(question.target,
                  is_refused ? "refused" : "granted",
                  is_refused ? 1 : granted->slots.size());
        }
    }
    else
    {
        slow->second.share.record_silence(now);
        count(question.target, "silent", 1);
        if (!std::exchange(slow->second.is_silence_logged, true))
        {
            log_event(
                entry_slow_start_unanswered,
                {{"target", question.target.get()}, {"issuer", question.issuer.get()}});
        }
    }
    answer_waiting(question.target);
}

void slow_start_controller::count(const target_id& target,
                                  absl::string_view result,
                                  std::size_t number)
{
    if (const target_state* const state = context_.targets.find(target))
    {
        context_.metrics->add(
            "medlar_slow_start_slots_total",
            {{"pool", state->record.pool.get()}, {"result", std::string(result)}},
            static_cast<double>(number));
    }
}

void slow_start_controller::handle_peer_lost(const host_id& host)
{
    std::vector<std::uint64_t> affected;
    for (const auto& each : pending_)
    {
        if (each.second.issuer == host)
        {
            affected.push_back(each.first);
        }
    }
    for (const std::uint64_t each : affected)
    {
        apply(each, std::nullopt);
    }
}

std::optional<slow_start_call>
slow_start_controller::begin_call(const target_state& target)
{
    const auto found = slow_.find(target.record.id);
    if (found == slow_.end() || !is_limited(target))
    {
        return std::nullopt;
    }
    const std::optional<lent_slot> slot = found->second.share.take(context_.loop.now());
    if (!slot)
    {
        return std::nullopt;
    }
    used_[slot->issuer][slot->number] = target.record.id;
    return slow_start_call{target.record.id, *slot};
}

void slow_start_controller::record_answer(const slow_start_call& call,
                                          slow_start_result result)
{
    report(call.target, call.slot, result, true);
}

void slow_start_controller::end_call(const slow_start_call& call,
                                     slow_start_result result)
{
    const auto used = used_.find(call.slot.issuer);
    if (used != used_.end())
    {
        used->second.erase(call.slot.number);
        if (used->second.empty())
        {
            used_.erase(used);
        }
    }
    report(call.target, call.slot, result, false);
}

bool slow_start_controller::refresh(const target_id& id, slow_target& slow)
{
    const steady_time now = context_.loop.now();
    const target_state* const target = context_.targets.find(id);
    const bool is_out =
        target != nullptr && (!is_limited(*target) || now < target->paused_until);
    if (is_out)
    {
        slow.share.record_out(now);
    }
    for (const lent_slot& each : slow.share.drop_unused(now))
    {
        report(id, each, slow_start_result::cancelled, false);
    }
    return target != nullptr && has_rule(target->record.pool) &&
           !slow.share.has_ended(now);
}

void slow_start_controller::find_limited_pools()
{
    limited_pools_.clear();
    std::map<pool_id, std::size_t> in_slow_start;
    for (const auto& each : slow_)
    {
        const target_state* const target = context_.targets.find(each.first);
        if (target != nullptr && takes_work(*target))
        {
            ++in_slow_start[target->record.pool];
        }
    }
    for (const auto& [pool, count] : in_slow_start)
    {
        const std::size_t all = context_.targets.serving(pool).size();
        if (is_slow_start_limited(count, all - std::min(all, count)))
        {
            limited_pools_.insert(pool);
        }
    }
}

void slow_start_controller::tick()
{
    find_limited_pools();
    for (auto each = slow_.begin(); each != slow_.end();)
    {
        const bool is_used =
            refresh(each->first, each->second) || !each->second.waiting.empty();
        each = is_used ? std::next(each) : slow_.erase(each);
    }
    renew_slots();
    log_ended();
}

void slow_start_controller::log_ended()
{
    for (const ended_slow_start& each : issuer_.tick(context_.loop.now()))
    {
        log_event(entry_slow_start_ended,
                  {{"target", each.target.get()},
                   {"why", each.is_sustained ? "sustained" : "no trouble"},
                   {"took_ms", each.took.count()},
                   {"granted", each.granted},
                   {"refused", each.refused}});
    }
}

void slow_start_controller::write_metrics() const
{
    context_.metrics->set(
        "medlar_targets_slow_start", {}, static_cast<double>(slow_.size()));
    context_.metrics->set(
        "medlar_slow_start_window", {}, static_cast<double>(issuer_.window_sum()));
}

} // namespace medlar
