#include <medlar/detail/hosts/evacuation_controller.hpp>
#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>
#include <functional>

namespace medlar
{

namespace
{

// the operator notices within two heartbeats that the store has lost an evacuation
constexpr std::int64_t heartbeats_to_rewrite = 2;

// the field of an answer to a starting host; a host that does not send it holds none
constexpr char held_field[] = "evacuations_held";

} // namespace

evacuation_controller::evacuation_controller(entry_context& context) : context_(context)
{
}

failure_domain_id evacuation_controller::domain_of(const std::string& key) const
{
    return failure_domain_id(key.substr(context_.protocol.evacuation_prefix().size()));
}

void evacuation_controller::handle_item(const store_item& item)
{
    const failure_domain_id domain = domain_of(item.key);
    if (item.is_deleted)
    {
        unreadable_.erase(item.key);
        if (evacuations_.end(domain))
        {
            end(domain);
        }
        return;
    }
    if (!is_enabled())
    {
        return;
    }
    log_unreadable(item);
    // targets without a failure domain are in none that can be evacuated
    if (domain.get().empty())
    {
        log_event(entry_evacuation_without_targets,
                  {{"domain", ""}, {"targets", std::int64_t{0}}});
        return;
    }
    if (evacuations_.begin(domain))
    {
        context_.targets.set_evacuated(domain, true);
        log_begin(domain);
    }
}

void evacuation_controller::log_unreadable(const store_item& item)
{
    if (nlohmann::json::parse(item.value, nullptr, false).is_object())
    {
        unreadable_.erase(item.key);
        return;
    }
    const std::size_t hash = std::hash<std::string>()(item.value);
    const auto logged = unreadable_.find(item.key);
    if (logged == unreadable_.end() || logged->second != hash)
    {
        unreadable_[item.key] = hash;
        log_event(entry_item_unreadable,
                  {{"what", item.key},
                   {"revision", item.revision},
                   {"why", "the value is not a JSON object; its presence counts"}});
    }
}

void evacuation_controller::handle_item_expired(const std::string& key, steady_time until)
{
    const failure_domain_id domain = domain_of(key);
    const steady_time rewritten_by =
        context_.loop.now() + context_.settings.target_heartbeat * heartbeats_to_rewrite;
    const steady_time held_until = std::max(until, rewritten_by);
    if (evacuations_.hold(domain, held_until))
    {
        log_event(entry_evacuation_held,
                  {{"domain", domain.get()},
                   {"until_ms", (held_until - context_.loop.now()).count()}});
    }
}

void evacuation_controller::tick()
{
    for (const failure_domain_id& each : evacuations_.end_held(context_.loop.now()))
    {
        end(each);
    }
}

void evacuation_controller::begin_log()
{
    is_logging_ = true;
    for (const auto& each : evacuations_.all())
    {
        log_begin(each.first);
    }
}

void evacuation_controller::log_begin(const failure_domain_id& domain) const
{
    if (!is_logging_)
    {
        return;
    }
    const std::size_t targets = context_.targets.count_in(domain);
    log_event(
        targets == 0 ? entry_evacuation_without_targets : entry_evacuation_begun,
        {{"domain", domain.get()}, {"targets", static_cast<std::int64_t>(targets)}});
}

void evacuation_controller::end(const failure_domain_id& domain)
{
    context_.targets.set_evacuated(domain, false);
    log_end(domain);
    for (const auto& each : context_.targets.all())
    {
        if (each.second.record.domain == domain)
        {
            on_return_(each.first);
        }
    }
}

void evacuation_controller::log_end(const failure_domain_id& domain) const
{
    log_event(
        entry_evacuation_ended,
        {{"domain", domain.get()},
         {"targets", static_cast<std::int64_t>(context_.targets.count_in(domain))}});
}

void evacuation_controller::write_metrics() const
{
    std::size_t targets = 0;
    for (const auto& each : evacuations_.all())
    {
        targets += context_.targets.count_in(each.first);
    }
    context_.metrics->set(
        "medlar_evacuated_domains", {}, static_cast<double>(evacuations_.all().size()));
    context_.metrics->set("medlar_evacuated_targets", {}, static_cast<double>(targets));
}

void evacuation_controller::write_held(nlohmann::json& message) const
{
    nlohmann::json held = nlohmann::json::array();
    for (const auto& each : evacuations_.held())
    {
        const millis left = each.second - context_.loop.now();
        held.push_back({{"domain", each.first.get()}, {"left_ms", left.count()}});
    }
    if (!held.empty())
    {
        message[held_field] = std::move(held);
    }
}

evacuation_controller::held_evacuations
evacuation_controller::read_held(const nlohmann::json& message)
{
    held_evacuations held;
    for (const nlohmann::json& each : message.value(held_field, nlohmann::json::array()))
    {
        held.emplace_back(failure_domain_id(each.at("domain").get<std::string>()),
                          read_span(each, "left_ms"));
    }
    return held;
}

void evacuation_controller::apply_held(const held_evacuations& held)
{
    for (const auto& [domain, left] : held)
    {
        if (!is_enabled() || left <= millis(0) || domain.get().empty())
        {
            continue;
        }
        // a malformed message must not keep a failure domain evacuated for long
        const millis span = std::min(left, *context_.settings.evacuate_bound);
        if (evacuations_.begin_held(domain, context_.loop.now() + span))
        {
            context_.targets.set_evacuated(domain, true);
            log_begin(domain);
        }
    }
}

} // namespace medlar
