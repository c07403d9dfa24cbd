// Part of slow_start_controller: the questions, answers and reports on slots.

#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/hosts/slow_start_controller.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

// Ends of calls are reported together. The window grows with the answers, which take
// longer than this.
constexpr millis report_delay{20};

// bounds on what one message of another host may contain
constexpr int max_target_slots = 10000;
constexpr int max_wanted = 64;
constexpr std::size_t max_reported = 1024;

} // namespace

void slow_start_controller::report(const target_id& target,
                                   const lent_slot& slot,
                                   slow_start_result result,
                                   bool goes_on)
{
    if (slot.issuer == peers_.self().id)
    {
        const steady_time now = context_.loop.now();
        if (goes_on)
        {
            issuer_.record_answer(target, slot.number, result, now);
        }
        else
        {
            issuer_.end(target, slot.number, result, now);
        }
        return;
    }
    reports_[slot.issuer].push_back(
        {target.get(), slot.number, static_cast<int>(result), goes_on});
    if (!std::exchange(is_flush_pending_, true))
    {
        context_.loop.after(report_delay,
                            [this]
                            {
                                is_flush_pending_ = false;
                                flush_reports();
                            });
    }
}

void slow_start_controller::give_back(const target_id& target,
                                      const host_id& issuer,
                                      const std::vector<std::uint64_t>& slots)
{
    for (const std::uint64_t each : slots)
    {
        report(target, {each, issuer}, slow_start_result::cancelled, false);
    }
}

void slow_start_controller::flush_reports()
{
    std::map<host_id, nlohmann::json> reports;
    reports.swap(reports_);
    for (auto& each : reports)
    {
        // an issuer that does not get it takes the slots back when they are not renewed
        peers_.send(each.first,
                    {{"type", "slots_used"},
                     {"ends", std::move(each.second)},
                     {"held", nlohmann::json::array()}});
    }
}

void slow_start_controller::renew_slots()
{
    const steady_time now = context_.loop.now();
    if (now - renewed_at_ < slot_renewal_interval)
    {
        return;
    }
    renewed_at_ = now;
    std::map<host_id, nlohmann::json> held;
    const auto renew = [&](const target_id& target, const lent_slot& slot)
    {
        if (slot.issuer == peers_.self().id)
        {
            issuer_.renew(target, slot.number, now);
        }
        else
        {
            held[slot.issuer].push_back({target.get(), slot.number});
        }
    };
    for (const auto& issuer : used_)
    {
        for (const auto& each : issuer.second)
        {
            renew(each.second, {each.first, issuer.first});
        }
    }
    for (const auto& slow : slow_)
    {
        for (const lent_slot& each : slow.second.share.held())
        {
            renew(slow.first, each);
        }
    }
    for (auto& each : held)
    {
        peers_.send(each.first,
                    {{"type", "slots_used"},
                     {"ends", nlohmann::json::array()},
                     {"held", std::move(each.second)}});
    }
}

bool slow_start_controller::handle_request(const std::shared_ptr<message_link>& from,
                                           const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "returned")
    {
        handle_returned(message);
        return true;
    }
    if (type == "slots?")
    {
        handle_question(from, message);
        return true;
    }
    if (type == "slots_used")
    {
        handle_report(message);
        return true;
    }
    return false;
}

void slow_start_controller::handle_question(const std::shared_ptr<message_link>& from,
                                            const nlohmann::json& message)
{
    const auto number = message.at("number").get<std::uint64_t>();
    const target_id target(message.at("target").get<std::string>());
    const slot_question question{
        target,
        message.at("answering_ms").get<std::int64_t>(),
        std::clamp(message.at("slots").get<int>(), 1, max_target_slots),
        std::clamp(message.at("wanted").get<int>(), 1, max_wanted),
        std::max(millis(0), read_span(message, "age_ms"))};
    const slot_grant granted = grant(question);
    from->send({{"type", "slots"},
                {"number", number},
                {"target", target.get()},
                {"slots", granted.slots},
                {"wait_ms", granted.wait.count()},
                {"ended", granted.has_ended}});
}

void slow_start_controller::handle_report(const nlohmann::json& message)
{
    const steady_time now = context_.loop.now();
    std::size_t left = max_reported;
    for (const nlohmann::json& each : message.at("ends"))
    {
        const target_id target(each.at(0).get<std::string>());
        const auto slot = each.at(1).get<std::uint64_t>();
        const auto number = each.at(2).get<int>();
        // of a later build that knows more results
        const bool is_known = number >= static_cast<int>(slow_start_result::timely) &&
                              number <= static_cast<int>(slow_start_result::cancelled);
        const auto result = is_known ? static_cast<slow_start_result>(number)
                                     : slow_start_result::cancelled;
        if (each.at(3).get<bool>())
        {
            issuer_.record_answer(target, slot, result, now);
        }
        else
        {
            issuer_.end(target, slot, result, now);
        }
        if (--left == 0)
        {
            return;
        }
    }
    for (const nlohmann::json& each : message.at("held"))
    {
        issuer_.renew(target_id(each.at(0).get<std::string>()),
                      each.at(1).get<std::uint64_t>(),
                      now);
        if (--left == 0)
        {
            return;
        }
    }
}

bool slow_start_controller::handle_answer(const host_id& from,
                                          const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "slots")
    {
        return false;
    }
    const auto number = message.at("number").get<std::uint64_t>();
    slot_grant granted;
    granted.slots = message.at("slots").get<std::vector<std::uint64_t>>();
    granted.slots.resize(std::min<std::size_t>(granted.slots.size(), max_wanted));
    granted.wait = std::max(millis(0), read_span(message, "wait_ms"));
    granted.has_ended = message.at("ended").get<bool>();
    const auto found = pending_.find(number);
    if (found != pending_.end() && found->second.issuer == from)
    {
        apply(number, granted);
    }
    else if (unanswered_.erase(number) != 0)
    {
        // it comes late; one that comes twice changes nothing
        const target_id target(message.at("target").get<std::string>());
        give_back(target, from, granted.slots);
    }
    return true;
}

} // namespace medlar
