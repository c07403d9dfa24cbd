#include <medlar/detail/hosts/limit_controller.hpp>
#include <medlar/detail/hosts/message_fields.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace medlar
{

namespace
{

// placement of the permits: different from that of any pool's pieces
constexpr char permit_group_name[] = "permits of targets";

// a host that does not answer in this time is down or frozen
constexpr millis answer_timeout{300};

// hosts that are asked for one permit, one after the other
constexpr int max_attempts = 2;

// a target for which no permit can be had is not asked for again in this time
constexpr millis min_wait{50};

// hosts of earlier builds know a target by the start of its entry
nlohmann::json name_process(const target_state& target)
{
    return {{"target", target.record.id.get()},
            {"started_ms", target.record.started_ms},
            {"answering_ms", start_of(target)}};
}

std::int64_t read_start(const nlohmann::json& message)
{
    const auto started_ms = message.at("started_ms").get<std::int64_t>();
    return message.value("answering_ms", started_ms);
}

} // namespace

limit_controller::limit_controller(entry_context& context, peer_network& peers)
    : context_(context), peers_(peers), cold_(context, peers), refusals_(context, peers)
{
    context_.on_limit_changed = [this](const target_id& target)
    {
        handle_limit_changed(target);
    };
}

host_id limit_controller::issuer_of(const target_id& target) const
{
    return rank_owners({pool_id(permit_group_name), target.get()}, peers_.live_hosts())
        .front();
}

void limit_controller::handle_limit_changed(const target_id& target)
{
    const target_state* const state = context_.targets.find(target);
    nlohmann::json message = name_process(*state);
    if (state->rate_limit)
    {
        message["type"] = "limit";
        message["per_s"] = *state->rate_limit;
        for (const peer_host& each : peers_.live_hosts())
        {
            peers_.send(each.id, message);
        }
        return;
    }
    const host_id issuer = issuer_of(target);
    if (issuer == peers_.self().id)
    {
        permits_.record_end({target, start_of(*state)}, context_.loop.now());
        return;
    }
    message["type"] = "limit_ended";
    peers_.send(issuer, message);
}

permit limit_controller::issue(const target_state& target)
{
    return permits_.issue({target.record.id, start_of(target)},
                          *target.rate_limit,
                          target.limit_stated_at,
                          context_.loop.now());
}

std::optional<permit_terms> limit_controller::terms_of(const target_state& target) const
{
    if (const std::optional<double> per_s = cold_.rate_of(target))
    {
        return permit_terms{*per_s, cold_.issuer_of(target.record.id), true};
    }
    if (target.rate_limit)
    {
        return permit_terms{*target.rate_limit, issuer_of(target.record.id), false};
    }
    return std::nullopt;
}

std::optional<bool> limit_controller::would_issue(const target_state& target) const
{
    if (refusals_.would_issue(target) == std::optional<bool>(false))
    {
        return false;
    }
    if (cold_.rate_of(target))
    {
        return cold_.would_issue(target);
    }
    if (!target.rate_limit || issuer_of(target.record.id) != peers_.self().id)
    {
        return std::nullopt;
    }
    return permits_
        .try_issue({target.record.id, start_of(target)},
                   *target.rate_limit,
                   target.limit_stated_at,
                   context_.loop.now())
        .is_granted;
}

void limit_controller::take_permit(target_state& target)
{
    const permit taken = issue(target);
    target.limited_until = context_.loop.now() + taken.wait;
}

void limit_controller::request_permit(const target_id& target, permit_action on_answer)
{
    const target_state* const state = context_.targets.find(target);
    if (state == nullptr || !refusals_.needs_permit(*state))
    {
        request_rate_permit(target, std::move(on_answer));
        return;
    }
    refusals_.request_permit(
        target,
        [this, target, on_answer = std::move(on_answer)](bool is_granted)
        {
            const target_state* const asked = context_.targets.find(target);
            if (is_granted && asked != nullptr &&
                (asked->rate_limit || cold_.rate_of(*asked)))
            {
                request_rate_permit(target, on_answer);
                return;
            }
            on_answer(is_granted);
        });
}

void limit_controller::request_rate_permit(const target_id& target,
                                           permit_action on_answer)
{
    const target_state* const state = context_.targets.find(target);
    if (state != nullptr && cold_.rate_of(*state))
    {
        cold_.request_permit(target, std::move(on_answer));
        return;
    }
    const std::uint64_t number = ++last_number_;
    pending_request& added = pending_[number];
    added.target = target;
    added.on_answer = std::move(on_answer);
    ask(number);
}

void limit_controller::ask(std::uint64_t number)
{
    pending_request& request = pending_.at(number);
    const target_state* const target = context_.targets.find(request.target);
    if (target == nullptr || !target->rate_limit || ++request.attempts > max_attempts)
    {
        const bool has_ended = target != nullptr && !target->rate_limit;
        apply(number, {has_ended, answer_timeout, has_ended});
        return;
    }
    request.started_ms = start_of(*target);
    request.issuer = issuer_of(request.target);
    if (request.issuer == peers_.self().id)
    {
        apply(number, issue(*target));
        return;
    }
    request.timeout = context_.loop.after(answer_timeout,
                                          [this, number]
                                          {
                                              handle_silence(number);
                                          });
    const millis age = context_.loop.now() - target->limit_stated_at;
    // a failed send is a lost peer, which is handled
    nlohmann::json message = name_process(*target);
    message["type"] = "permit?";
    message["number"] = number;
    message["per_s"] = *target->rate_limit;
    message["age_ms"] = age.count();
    peers_.send(request.issuer, message);
}

void limit_controller::handle_silence(std::uint64_t number)
{
    peers_.suspect(pending_.at(number).issuer);
    ask(number);
}

void limit_controller::handle_peer_lost(const host_id& host)
{
    cold_.handle_peer_lost(host);
    refusals_.handle_peer_lost(host);
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
        const auto found = pending_.find(each);
        if (found != pending_.end())
        {
            context_.loop.cancel(found->second.timeout);
            ask(each);
        }
    }
}

void limit_controller::apply(std::uint64_t number, const permit& answer)
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
    // it may have started again since
    const bool is_same = target != nullptr && start_of(*target) == request.started_ms;
    if (is_same && answer.has_ended)
    {
        target->rate_limit.reset();
    }
    else if (is_same && !answer.is_granted)
    {
        target->limited_until = context_.loop.now() + std::max(min_wait, answer.wait);
    }
    request.on_answer(answer.is_granted);
}

bool limit_controller::handle_request(const std::shared_ptr<message_link>& from,
                                      const nlohmann::json& message)
{
    if (cold_.handle_request(from, message) || refusals_.handle_request(from, message))
    {
        return true;
    }
    const std::string type = message.at("type").get<std::string>();
    if (type != "permit?" && type != "limit" && type != "limit_ended")
    {
        return false;
    }
    const target_id id(message.at("target").get<std::string>());
    const std::int64_t started_ms = read_start(message);
    const steady_time now = context_.loop.now();
    if (type == "limit_ended")
    {
        permits_.record_end({id, started_ms}, now);
        return true;
    }
    const auto per_s = message.at("per_s").get<double>();
    if (type == "limit")
    {
        target_state* const target = context_.targets.find(id);
        if (target != nullptr && start_of(*target) == started_ms && !target->rate_limit)
        {
            target->rate_limit = per_s;
            target->limit_stated_at = now;
        }
        return true;
    }
    const millis age = std::max(millis(0), read_span(message, "age_ms"));
    const auto number = message.at("number").get<std::uint64_t>();
    const permit issued = permits_.issue({id, started_ms}, per_s, now - age, now);
    from->send({{"type", "permit"},
                {"number", number},
                {"granted", issued.is_granted},
                {"wait_ms", issued.wait.count()},
                {"ended", issued.has_ended}});
    return true;
}

bool limit_controller::handle_answer(const nlohmann::json& message)
{
    if (cold_.handle_answer(message) || refusals_.handle_answer(message))
    {
        return true;
    }
    if (message.at("type").get<std::string>() != "permit")
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
