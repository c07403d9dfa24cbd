#include <medlar/detail/hosts/cold_controller.hpp>
#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace medlar
{

namespace
{

// placement of the permits: different from that of any pool's pieces
constexpr char permit_group_name[] = "permits of cold targets";

// An answer that comes later is not waited for: the rest of the validity is for opening a
// connection.
constexpr millis answer_timeout{150};

// a target whose issuer is silent is not asked for again in this time
constexpr millis silent_issuer_wait{500};

// a host that another one takes for the issuer by mistake; they agree again within the
// time of a change in the store
constexpr millis other_issuer_wait{100};

constexpr millis min_wait{20};

// answers to limit_controller have the same type and smaller numbers
constexpr std::uint64_t first_number = std::uint64_t{1} << 62U;

} // namespace

cold_controller::cold_controller(entry_context& context, peer_network& peers)
    : context_(context), peers_(peers), last_number_(first_number)
{
    context_.on_cold_stated = [this](const target_id& target, millis left)
    {
        record_statement(target, left);
    };
    context_.on_start_stated = [this](const target_id& target)
    {
        record_return(target);
    };
}

const cold_rule* cold_controller::rule_of(const pool_id& pool) const
{
    const pool_rule* const found =
        context_.configuration ? context_.configuration->find_pool(pool) : nullptr;
    return found != nullptr && found->cold.per_s > 0 ? &found->cold : nullptr;
}

bool cold_controller::has_rule(const pool_id& pool) const
{
    return rule_of(pool) != nullptr;
}

millis cold_controller::time_left(const target_state& target) const
{
    return std::max(millis(0), target.cold.until() - context_.loop.now());
}

std::optional<double> cold_controller::rate_of(const target_state& target) const
{
    const cold_rule* const rule = rule_of(target.record.pool);
    if (rule == nullptr || time_left(target) == millis(0))
    {
        return std::nullopt;
    }
    return cold_permit_rate(*rule, context_.settings.cold, target.rate_limit);
}

std::size_t cold_controller::cold_count() const
{
    std::size_t count = 0;
    for (const auto& each : context_.targets.all())
    {
        count += rate_of(each.second) ? 1 : 0;
    }
    return count;
}

host_id cold_controller::issuer_of(const target_id& target) const
{
    return rank_owners({pool_id(permit_group_name), target.get()},
                       peers_.registered_hosts())
        .front();
}

std::optional<bool> cold_controller::would_issue(const target_state& target) const
{
    const std::optional<double> per_s = rate_of(target);
    if (!per_s || issuer_of(target.record.id) != peers_.self().id)
    {
        return std::nullopt;
    }
    return permits_.try_issue(target.record.id, *per_s, context_.loop.now()).is_granted;
}

void cold_controller::record_entry(const target_record& record, bool has_started)
{
    target_state* const target = context_.targets.find(record.id);
    if (target == nullptr)
    {
        return;
    }
    if (has_started)
    {
        context_.record_outage(*target, {"started", false});
    }
    const bool was_cold = rate_of(*target).has_value();
    const cold_rule* const rule = rule_of(record.pool);
    target->cold.record_entry(record.cold, context_.loop.now());
    if (!record.cold && has_started && rule != nullptr)
    {
        target->cold.record_start(*rule, context_.loop.now());
    }
    if (!was_cold && rate_of(*target))
    {
        record_first(*target, "entry");
        // the others read the entry, too, but not all of them now
        if (issuer_of(record.id) == peers_.self().id)
        {
            notify_peers(*target);
        }
    }
}

void cold_controller::record_return(const target_id& target)
{
    target_state* const state = context_.targets.find(target);
    const cold_rule* const rule = state ? rule_of(state->record.pool) : nullptr;
    if (state != nullptr)
    {
        context_.record_outage(*state, {"return", false});
    }
    if (rule == nullptr)
    {
        return;
    }
    const bool was_cold = rate_of(*state).has_value();
    state->cold.record_statement(rule->after_start, context_.loop.now());
    if (!was_cold && rate_of(*state))
    {
        // all hosts learn of a return by themselves: telling them would multiply it
        record_first(*state, "return");
    }
}

void cold_controller::record_statement(const target_id& target, millis left)
{
    target_state* const state = context_.targets.find(target);
    if (state == nullptr || left <= millis(0))
    {
        return;
    }
    const bool was_cold = rate_of(*state).has_value();
    state->cold.record_statement(left, context_.loop.now());
    if (!was_cold && rate_of(*state))
    {
        record_first(*state, "answer");
        notify_peers(*state);
    }
}

void cold_controller::record_first(const target_state& target, absl::string_view source)
{
    log_event(entry_target_cold,
              {{"target", target.record.id.get()},
               {"pool", target.record.pool.get()},
               {"for_ms", time_left(target).count()},
               {"per_s", absl::StrCat(rule_of(target.record.pool)->per_s)},
               {"source", source},
               {"issuer", issuer_of(target.record.id).get()}});
    context_.record_outage(target, {"cold", false});
}

void cold_controller::notify_peers(const target_state& target)
{
    const nlohmann::json message{{"type", "cold"},
                                 {"target", target.record.id.get()},
                                 {"cold_ms", time_left(target).count()}};
    for (const peer_host& each : peers_.live_peers())
    {
        peers_.send(each.id, message);
    }
}

permit cold_controller::issue(const target_id& target, double per_s)
{
    // only one host may issue, also if others take this one for it
    if (issuer_of(target) != peers_.self().id)
    {
        return {false, other_issuer_wait, false};
    }
    return permits_.issue(target, per_s, context_.loop.now());
}

void cold_controller::request_permit(const target_id& target, permit_action on_answer)
{
    const target_state* const state = context_.targets.find(target);
    const std::optional<double> per_s = state ? rate_of(*state) : std::nullopt;
    if (!per_s)
    {
        on_answer(state != nullptr);
        return;
    }
    const std::uint64_t number = ++last_number_;
    pending_request& added = pending_[number];
    added.target = target;
    added.issuer = issuer_of(target);
    added.asked_at = context_.loop.now();
    added.on_answer = std::move(on_answer);
    if (added.issuer == peers_.self().id)
    {
        apply(number, issue(target, *per_s));
        return;
    }
    added.timeout =
        context_.loop.after(answer_timeout,
                            [this, number]
                            {
                                apply(number, {false, silent_issuer_wait, false});
                            });
    // a host of an earlier build takes it for a target that has stated this limit just
    // now
    const bool is_sent = peers_.send(added.issuer,
                                     {{"type", "permit?"},
                                      {"number", number},
                                      {"target", target.get()},
                                      {"started_ms", state->record.started_ms},
                                      {"answering_ms", start_of(*state)},
                                      {"per_s", *per_s},
                                      {"age_ms", 0},
                                      {"cold_ms", time_left(*state).count()}});
    if (!is_sent)
    {
        apply(number, {false, silent_issuer_wait, false});
    }
}

void cold_controller::handle_peer_lost(const host_id& host)
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
        apply(each, {false, silent_issuer_wait, false});
    }
}

void cold_controller::apply(std::uint64_t number, const permit& answer)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
    {
        return;
    }
    const pending_request request = std::move(found->second);
    pending_.erase(found);
    context_.loop.cancel(request.timeout);
    const bool is_late = context_.loop.now() - request.asked_at > answer_timeout;
    // "ended" comes from an earlier build, which speaks of a limit that was stated
    const bool is_granted = answer.is_granted && !answer.has_ended && !is_late;
    if (target_state* const target = context_.targets.find(request.target))
    {
        count(*target, is_granted ? "granted" : is_late ? "late" : "refused");
        if (!is_granted)
        {
            const millis wait = std::max(min_wait, answer.wait);
            target->limited_until =
                context_.loop.now() + std::min(wait, time_left(*target));
        }
    }
    request.on_answer(is_granted);
}

void cold_controller::count(const target_state& target, absl::string_view result)
{
    context_.metrics->add(
        "medlar_cold_permits_total",
        {{"pool", target.record.pool.get()}, {"result", std::string(result)}});
}

bool cold_controller::handle_request(const std::shared_ptr<message_link>& from,
                                     const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type != "cold" && type != "permit?")
    {
        return false;
    }
    const target_id id(message.at("target").get<std::string>());
    target_state* const target = context_.targets.find(id);
    const bool states_cold = type == "cold" || message.contains("cold_ms");
    if (states_cold && target != nullptr)
    {
        const bool was_cold = rate_of(*target).has_value();
        target->cold.record_statement(read_span(message, "cold_ms"), context_.loop.now());
        if (!was_cold && rate_of(*target))
        {
            record_first(*target, "peer");
        }
    }
    if (type == "cold")
    {
        return true;
    }
    const std::optional<double> own_rate = target ? rate_of(*target) : std::nullopt;
    if (!states_cold && !own_rate)
    {
        return false;
    }
    const auto asked_rate = message.at("per_s").get<double>();
    // a host with an older configuration does not know the rule of the pool; a rate that
    // is no number is the lowest
    const double per_s = asked_rate >= min_cold_permits_per_s
                             ? std::min(asked_rate, own_rate.value_or(max_cold_per_s))
                             : min_cold_permits_per_s;
    const permit issued = issue(id, per_s);
    from->send({{"type", "permit"},
                {"number", message.at("number").get<std::uint64_t>()},
                {"granted", issued.is_granted},
                {"wait_ms", issued.wait.count()},
                {"ended", false}});
    return true;
}

bool cold_controller::handle_answer(const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "permit" ||
        message.at("number").get<std::uint64_t>() < first_number)
    {
        return false;
    }
    apply(message.at("number").get<std::uint64_t>(),
          {message.at("granted").get<bool>(),
           std::max(millis(0), read_span(message, "wait_ms")),
           message.at("ended").get<bool>()});
    return true;
}

} // namespace medlar
