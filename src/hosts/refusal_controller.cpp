#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/hosts/refusal_controller.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace medlar
{

namespace
{

// placement of the counts: different from that of any pool's pieces
constexpr char counter_group_name[] = "refusals of targets";

// a host that does not answer in this time is down or frozen
constexpr millis answer_timeout{150};

// The others hear of a host that has started within some tens of milliseconds; until then
// they do not tell it of refusals.
constexpr millis acquaintance_time{1500};

// a host that has just heard of a limit may have missed the refusals and rulings of the
// last second
constexpr millis first_permit_time{1100};

// bound on what one message of another host may add
constexpr std::size_t max_reports = 256;

nlohmann::json write_reports(const std::vector<refusal_report>& reports)
{
    nlohmann::json list = nlohmann::json::array();
    for (const refusal_report& each : reports)
    {
        list.push_back({each.id, each.age.count()});
    }
    return list;
}

std::vector<refusal_report> read_reports(const nlohmann::json& message)
{
    std::vector<refusal_report> reports;
    // hosts of earlier builds do not send them
    const auto list = message.find("earlier");
    const std::size_t count =
        list == message.end() ? 0 : std::min(list->size(), max_reports);
    for (std::size_t i = 0; i < count; ++i)
    {
        const nlohmann::json& each = list->at(i);
        reports.push_back({each.at(0).get<std::uint64_t>(), read_span(each.at(1))});
    }
    return reports;
}

} // namespace

refusal_controller::refusal_controller(entry_context& context, peer_network& peers)
    : context_(context), peers_(peers)
{
    context_.on_refused = [this](const target_state& target)
    {
        handle_own_refusal(target.record.id);
    };
}

void refusal_controller::begin()
{
    serving_since_ = context_.loop.now();
}

host_id refusal_controller::counter_of(const target_id& target) const
{
    return rank_owners({pool_id(counter_group_name), target.get()},
                       peers_.registered_hosts())
        .front();
}

refusal_tolerance& refusal_controller::tolerance_of(const target_id& target)
{
    const auto found = tolerances_.find(target);
    if (found != tolerances_.end())
    {
        return found->second;
    }
    for (auto each = tolerances_.begin(); each != tolerances_.end();)
    {
        const bool is_idle = each->second.is_idle(context_.loop.now());
        each = is_idle ? tolerances_.erase(each) : std::next(each);
    }
    return tolerances_[target];
}

bool refusal_controller::gives_rulings(const target_id& target, double per_s) const
{
    if (!refusal_tolerance::is_countable(per_s) || !serving_since_ ||
        context_.loop.now() - *serving_since_ < acquaintance_time ||
        counter_of(target) != peers_.self().id)
    {
        return false;
    }
    const std::vector<peer_host> hosts = peers_.registered_hosts();
    return std::all_of(hosts.begin(),
                       hosts.end(),
                       [](const peer_host& each)
                       {
                           return each.counts_refusals;
                       });
}

bool refusal_controller::needs_permit(const target_state& target) const
{
    if (!target.refusal_limit || !refusal_tolerance::is_countable(*target.refusal_limit))
    {
        return false;
    }
    const auto found = tolerances_.find(target.record.id);
    const steady_time until = found == tolerances_.end()
                                  ? target.refusal_limit_known_at + first_permit_time
                                  : found->second.permits_needed_until();
    return context_.loop.now() < until;
}

std::optional<bool> refusal_controller::would_issue(const target_state& target) const
{
    if (!needs_permit(target) ||
        !gives_rulings(target.record.id, target.refusal_limit.value_or(0)))
    {
        return std::nullopt;
    }
    const auto found = tolerances_.find(target.record.id);
    return found == tolerances_.end() ||
           found->second.try_issue(*target.refusal_limit, context_.loop.now()).is_granted;
}

void refusal_controller::handle_own_refusal(const target_id& target)
{
    target_state* const refusing = context_.targets.find(target);
    if (refusing == nullptr || !refusing->refusal_limit)
    {
        return;
    }
    const steady_time now = context_.loop.now();
    const millis pause = pause_after_refusal(refusing->refusal_limit);
    const std::uint64_t id = context_.random.next();
    refusal_tolerance& tolerance = tolerance_of(target);
    const std::vector<refusal_report> earlier = tolerance.recent(now);
    tolerance.record(id, pause, now);
    refusing->refused_until = tolerance.paused_until();
    context_.metrics->add("medlar_target_refusals_total",
                          {{"pool", refusing->record.pool.get()}});
    // hosts of earlier builds read the first five fields, and pause the target
    const nlohmann::json message{{"type", "full"},
                                 {"target", target.get()},
                                 {"started_ms", refusing->record.started_ms},
                                 {"per_s", *refusing->refusal_limit},
                                 {"pause_ms", pause.count()},
                                 {"answering_ms", start_of(*refusing)},
                                 {"refusal", id},
                                 {"earlier", write_reports(earlier)}};
    for (const peer_host& each : peers_.live_hosts())
    {
        peers_.send(each.id, message);
    }
    give_ruling(target, id, *refusing->refusal_limit);
}

void refusal_controller::handle_refusal(const nlohmann::json& message)
{
    const target_id id(message.at("target").get<std::string>());
    const auto started_ms = message.at("started_ms").get<std::int64_t>();
    const auto per_s = message.at("per_s").get<double>();
    const millis pause = read_span(message, "pause_ms");
    // hosts of earlier builds do not number refusals
    const std::uint64_t refusal = message.value("refusal", context_.random.next());
    const std::vector<refusal_report> earlier = read_reports(message);
    const steady_time now = context_.loop.now();
    target_state* const target = context_.targets.find(id);
    if (target == nullptr)
    {
        return;
    }
    refusal_tolerance& tolerance = tolerance_of(id);
    for (const refusal_report& each : earlier)
    {
        tolerance.record_earlier(each, now);
    }
    const bool is_same = start_of(*target) == message.value("answering_ms", started_ms);
    const millis longest = pause_after_refusal(per_s);
    tolerance.record(refusal, is_same ? std::min(pause, longest) : millis(0), now);
    if (is_same)
    {
        if (!target->refusal_limit)
        {
            target->refusal_limit_known_at = now;
        }
        target->refusal_limit = per_s;
        target->refused_until = std::max(target->refused_until, tolerance.paused_until());
    }
    give_ruling(id, refusal, per_s);
}

void refusal_controller::give_ruling(const target_id& target,
                                     std::uint64_t id,
                                     double per_s)
{
    if (!gives_rulings(target, per_s))
    {
        return;
    }
    const refusal_ruling ruling = tolerance_of(target).rule(per_s, context_.loop.now());
    apply(target, id, ruling);
    for (const peer_host& each : peers_.live_peers())
    {
        peers_.send(each.id,
                    {{"type", "refusals"},
                     {"target", target.get()},
                     {"counter", peers_.self().id.get()},
                     {"refusal", id},
                     {"pause_ms", ruling.pause.count()},
                     {"permits_ms", ruling.permits.count()}});
    }
}

void refusal_controller::handle_ruling(const nlohmann::json& message)
{
    const target_id target(message.at("target").get<std::string>());
    const host_id counter(message.at("counter").get<std::string>());
    const refusal_ruling ruling{std::max(millis(0), read_span(message, "pause_ms")),
                                std::max(millis(0), read_span(message, "permits_ms"))};
    const auto id = message.at("refusal").get<std::uint64_t>();
    // hosts that do not know the same hosts may take two for the counting one
    if (counter == counter_of(target))
    {
        apply(target, id, ruling);
    }
}

void refusal_controller::apply(const target_id& target,
                               std::uint64_t id,
                               const refusal_ruling& ruling)
{
    target_state* const paused = context_.targets.find(target);
    if (paused == nullptr)
    {
        return;
    }
    refusal_tolerance& tolerance = tolerance_of(target);
    tolerance.apply(id, ruling, context_.loop.now());
    paused->refused_until = tolerance.paused_until();
}

void refusal_controller::request_permit(const target_id& target, permit_action on_answer)
{
    const target_state* const state = context_.targets.find(target);
    if (state == nullptr || !needs_permit(*state))
    {
        on_answer(state != nullptr);
        return;
    }
    const std::uint64_t number = ++last_number_;
    pending_request& added = pending_[number];
    added.target = target;
    added.counter = counter_of(target);
    added.on_answer = std::move(on_answer);
    const double per_s = *state->refusal_limit;
    if (added.counter == peers_.self().id)
    {
        end_request(number,
                    gives_rulings(target, per_s)
                        ? std::optional<refusal_permit>(
                              tolerance_of(target).issue(per_s, context_.loop.now()))
                        : std::nullopt);
        return;
    }
    added.timeout = context_.loop.after(answer_timeout,
                                        [this, number]
                                        {
                                            end_request(number, std::nullopt);
                                        });
    const bool is_sent = peers_.send(added.counter,
                                     {{"type", "refusal_permit?"},
                                      {"number", number},
                                      {"target", target.get()},
                                      {"per_s", per_s}});
    if (!is_sent)
    {
        end_request(number, std::nullopt);
    }
}

bool refusal_controller::may_call_without_rulings(target_state& target)
{
    const steady_time now = context_.loop.now();
    refusal_tolerance& tolerance = tolerance_of(target.record.id);
    // the next calls do not wait for an answer either
    tolerance.set_permits_needed(millis(0), now);
    const steady_time until =
        tolerance.paused_without_rulings_until(pause_after_refusal(target.refusal_limit));
    target.refused_until = std::max(target.refused_until, until);
    return target.refused_until <= now;
}

void refusal_controller::end_request(std::uint64_t number,
                                     const std::optional<refusal_permit>& answer)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
    {
        return;
    }
    const pending_request request = std::move(found->second);
    pending_.erase(found);
    context_.loop.cancel(request.timeout);
    target_state* const target = context_.targets.find(request.target);
    bool is_granted = target != nullptr;
    if (target != nullptr && !answer)
    {
        is_granted = may_call_without_rulings(*target);
        record_permit(*target, "unanswered");
    }
    else if (target != nullptr)
    {
        const steady_time now = context_.loop.now();
        tolerance_of(request.target).set_permits_needed(answer->needed, now);
        if (!answer->is_granted)
        {
            target->limited_until = std::max(target->limited_until, now + answer->wait);
        }
        // it may have refused another call since the permit was asked for
        is_granted = answer->is_granted && target->refused_until <= now;
        record_permit(*target, is_granted ? "granted" : "refused");
    }
    request.on_answer(is_granted);
}

void refusal_controller::record_permit(const target_state& target,
                                       absl::string_view result)
{
    context_.metrics->add(
        "medlar_refusal_permits_total",
        {{"pool", target.record.pool.get()}, {"result", std::string(result)}});
}

void refusal_controller::handle_permit_question(const std::shared_ptr<message_link>& from,
                                                const nlohmann::json& message)
{
    const target_id target(message.at("target").get<std::string>());
    const auto number = message.at("number").get<std::uint64_t>();
    const auto per_s = message.at("per_s").get<double>();
    const bool counts =
        context_.targets.find(target) != nullptr && gives_rulings(target, per_s);
    const refusal_permit issued =
        counts ? tolerance_of(target).issue(per_s, context_.loop.now())
               : refusal_permit{};
    from->send({{"type", "refusal_permit"},
                {"number", number},
                {"counts", counts},
                {"granted", issued.is_granted},
                {"wait_ms", issued.wait.count()},
                {"permits_ms", issued.needed.count()}});
}

bool refusal_controller::handle_request(const std::shared_ptr<message_link>& from,
                                        const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "full")
    {
        handle_refusal(message);
        return true;
    }
    if (type == "refusals")
    {
        handle_ruling(message);
        return true;
    }
    if (type == "refusal_permit?")
    {
        handle_permit_question(from, message);
        return true;
    }
    return false;
}

bool refusal_controller::handle_answer(const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "refusal_permit")
    {
        return false;
    }
    const auto number = message.at("number").get<std::uint64_t>();
    const refusal_permit permit{message.at("granted").get<bool>(),
                                std::max(millis(0), read_span(message, "wait_ms")),
                                std::max(millis(0), read_span(message, "permits_ms"))};
    end_request(number,
                message.at("counts").get<bool>() ? std::optional<refusal_permit>(permit)
                                                 : std::nullopt);
    return true;
}

void refusal_controller::handle_peer_lost(const host_id& host)
{
    std::vector<std::uint64_t> affected;
    for (const auto& each : pending_)
    {
        if (each.second.counter == host)
        {
            affected.push_back(each.first);
        }
    }
    for (const std::uint64_t each : affected)
    {
        end_request(each, std::nullopt);
    }
}

} // namespace medlar
