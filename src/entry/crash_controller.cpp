#include <medlar/detail/entry/crash_controller.hpp>
#include <medlar/detail/entry/message_fields.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace medlar
{

namespace
{

// hosts that collect the reports: one may be down while the other one judges
constexpr std::size_t judge_count = 2;

// placement of the judges: different from that of any pool's pieces
constexpr char judge_group_name[] = "crashes of targets";

// time for all hosts to answer a question; they are some ms apart
constexpr millis question_time{250};

// a host that has started knows the other hosts after this time, and can judge
constexpr millis start_time{1500};

// a part is tried again after this time, the longest one for which the store keeps a
// lease
constexpr millis block_time{600000};

// own crashes that are reported again with each new one, so that a judge that has just
// become one knows them
constexpr std::size_t max_own_crashes = 16;
constexpr millis max_report_age{60000};

constexpr std::size_t max_prompts_per_crash = 64;

// parts whose last begun answer is remembered, and for how long if there are more
constexpr std::size_t max_begun_parts = 4096;
constexpr millis max_begun_age{60000};

prompt_keys keys_of(const std::vector<prompt_part>& prompt)
{
    prompt_keys keys;
    for (const prompt_part& each : prompt)
    {
        keys.push_back(key_of_part(each.id));
    }
    return keys;
}

nlohmann::json to_json(const target_crash& crash, steady_time now)
{
    nlohmann::json prompts = nlohmann::json::array();
    for (const prompt_keys& prompt : crash.prompts)
    {
        nlohmann::json keys = nlohmann::json::array();
        for (const prompt_part_key each : prompt)
        {
            keys.push_back(each.get());
        }
        prompts.push_back(std::move(keys));
    }
    return {{"target", crash.target.get()},
            {"started_ms", crash.started_ms},
            {"address", crash.address.address},
            {"port", crash.address.port},
            {"age_ms", (now - crash.at).count()},
            {"prompts", std::move(prompts)}};
}

target_crash read_crash(const nlohmann::json& message, steady_time now)
{
    target_crash crash;
    crash.target = target_id(message.at("target").get<std::string>());
    crash.started_ms = message.at("started_ms").get<std::int64_t>();
    crash.address = {message.at("address").get<std::string>(),
                     message.at("port").get<std::uint16_t>()};
    crash.at = now - std::max(millis(0), read_span(message, "age_ms"));
    for (const nlohmann::json& prompt : message.at("prompts"))
    {
        prompt_keys keys;
        for (const nlohmann::json& each : prompt)
        {
            keys.emplace_back(each.get<std::uint64_t>());
        }
        crash.prompts.insert(std::move(keys));
    }
    return crash;
}

prompt_part_key read_part(const nlohmann::json& message)
{
    return prompt_part_key(message.at("part").get<std::uint64_t>());
}

std::string hex_text(prompt_part_key part)
{
    return absl::StrCat(absl::Hex(part.get(), absl::kZeroPad16));
}

} // namespace

crash_controller::crash_controller(entry_context& context,
                                   peer_network& peers,
                                   store_controller& store)
    : context_(context),
      peers_(peers),
      store_(store),
      may_judge_from_(context.loop.now() + start_time)
{
    context_.loop.after(start_time,
                        [this]
                        {
                            consider_suspects();
                        });
}

void crash_controller::record_broken_call(const target_record& target,
                                          const std::vector<prompt_part>& prompt)
{
    if (prompt.empty())
    {
        return;
    }
    const auto [check, is_new] = checks_.try_emplace(target.id);
    pending_check& pending = check->second;
    if (is_new)
    {
        pending.target = target;
        pending.check = std::make_unique<crash_check>(context_.loop,
                                                      target.address,
                                                      [this, id = target.id](bool crashed)
                                                      {
                                                          end_check(id, crashed);
                                                      });
    }
    if (pending.prompts.size() < max_prompts_per_crash)
    {
        pending.prompts.insert(keys_of(prompt));
    }
}

void crash_controller::end_check(const target_id& target, bool has_crashed)
{
    const auto found = checks_.find(target);
    const target_record record = found->second.target;
    const std::set<prompt_keys> prompts = std::move(found->second.prompts);
    checks_.erase(found);
    if (!has_crashed)
    {
        return;
    }
    log_event(entry_target_crashed,
              {{"target", target.get()},
               {"pool", record.pool.get()},
               {"address", to_string(record.address)},
               {"requests_not_begun", static_cast<std::int64_t>(prompts.size())}});
    context_.metrics->add("medlar_target_crashes_total", {{"pool", record.pool.get()}});
    const steady_time now = context_.loop.now();
    own_crashes_.push_back({target, record.started_ms, record.address, now, prompts});
    report_crashes();
}

std::vector<host_id> crash_controller::judges() const
{
    std::vector<host_id> ranked =
        rank_owners({pool_id(judge_group_name), {}}, peers_.live_hosts());
    ranked.resize(std::min(ranked.size(), judge_count));
    return ranked;
}

bool crash_controller::is_judge() const
{
    const std::vector<host_id> chosen = judges();
    return std::find(chosen.begin(), chosen.end(), peers_.self().id) != chosen.end();
}

void crash_controller::drop_old_crashes()
{
    while (!own_crashes_.empty() &&
           (own_crashes_.size() > max_own_crashes ||
            own_crashes_.front().at + max_report_age < context_.loop.now()))
    {
        own_crashes_.pop_front();
    }
}

void crash_controller::report_crashes()
{
    drop_old_crashes();
    nlohmann::json crashes = nlohmann::json::array();
    for (const target_crash& each : own_crashes_)
    {
        crashes.push_back(to_json(each, context_.loop.now()));
    }
    const nlohmann::json message{{"type", "crashes"}, {"crashes", std::move(crashes)}};
    for (const host_id& each : judges())
    {
        if (each == peers_.self().id)
        {
            handle_reports(message);
        }
        else
        {
            peers_.send(each, message);
        }
    }
}

void crash_controller::handle_peer_lost()
{
    // the host may be a judge that has not got the last report
    if (!own_crashes_.empty())
    {
        report_crashes();
    }
}

void crash_controller::handle_reports(const nlohmann::json& message)
{
    for (const nlohmann::json& each : message.at("crashes"))
    {
        evidence_.record_crash(read_crash(each, context_.loop.now()));
    }
    consider_suspects();
}

void crash_controller::send_to_all(const nlohmann::json& message)
{
    for (const peer_host& each : peers_.live_hosts())
    {
        peers_.send(each.id, message);
    }
}

void crash_controller::consider_suspects()
{
    const std::set<prompt_part_key> culprits = evidence_.culprits();
    const bool has_new_one = std::any_of(culprits.begin(),
                                         culprits.end(),
                                         [this](prompt_part_key each)
                                         {
                                             return !is_blocked(each);
                                         });
    if (!asked_.empty() || !has_new_one || context_.loop.now() < may_judge_from_)
    {
        return;
    }
    nlohmann::json parts = nlohmann::json::array();
    for (const auto& each : evidence_.suspects())
    {
        asked_.insert(each.first);
        parts.push_back({{"part", each.first.get()},
                         {"since_ms", (context_.loop.now() - each.second).count()}});
    }
    send_to_all({{"type", "begun?"}, {"parts", std::move(parts)}});
    context_.loop.after(question_time,
                        [this]
                        {
                            judge();
                        });
}

void crash_controller::answer_question(const std::shared_ptr<message_link>& from,
                                       const nlohmann::json& message)
{
    const steady_time now = context_.loop.now();
    nlohmann::json begun = nlohmann::json::array();
    for (const nlohmann::json& each : message.at("parts"))
    {
        const auto found = begun_at_.find(read_part(each));
        if (found != begun_at_.end() &&
            now - found->second <= read_span(each, "since_ms"))
        {
            begun.push_back({{"part", found->first.get()},
                             {"age_ms", (now - found->second).count()}});
        }
    }
    from->send({{"type", "begun"}, {"parts", std::move(begun)}});
}

void crash_controller::judge()
{
    const std::set<prompt_part_key> asked = std::move(asked_);
    asked_.clear();
    for (const prompt_part_key each : asked)
    {
        const auto begun = begun_at_.find(each);
        if (begun != begun_at_.end())
        {
            evidence_.record_begun(each, begun->second);
        }
    }
    for (const prompt_part_key each : evidence_.culprits())
    {
        if (asked.count(each) > 0 && !is_blocked(each))
        {
            block(each);
        }
    }
    // crashes that were reported meanwhile
    consider_suspects();
}

bool crash_controller::is_blocked(prompt_part_key part) const
{
    const auto found = blocked_until_.find(part);
    return found != blocked_until_.end() && found->second > context_.loop.now();
}

void crash_controller::block(prompt_part_key part)
{
    record_blocked(part, context_.loop.now() + block_time);
    send_to_all(
        {{"type", "blocked"}, {"part", part.get()}, {"left_ms", block_time.count()}});
    write_item(part);
}

void crash_controller::record_blocked(prompt_part_key part, steady_time until)
{
    steady_time& known = blocked_until_[part];
    if (known <= context_.loop.now())
    {
        log_event(entry_part_blocked,
                  {{"part", hex_text(part)},
                   {"left_ms", (until - context_.loop.now()).count()}});
    }
    known = std::max(known, until);
}

void crash_controller::write_item(prompt_part_key part)
{
    store_.write_item(item_key(part),
                      peers_.self().id.get(),
                      block_time,
                      [this, part]
                      {
                          return is_blocked(part);
                      });
}

void crash_controller::record_harmless(prompt_part_key part)
{
    evidence_.record_begun(part, context_.loop.now());
    if (blocked_until_.erase(part) > 0)
    {
        log_event(entry_part_unblocked, {{"part", hex_text(part)}});
    }
}

void crash_controller::record_begun(const std::vector<prompt_part>& prompt)
{
    const steady_time now = context_.loop.now();
    // the last part belongs to the request or its session alone
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
    {
        const prompt_part_key part = key_of_part(prompt[i].id);
        begun_at_[part] = now;
        if (is_blocked(part))
        {
            record_harmless(part);
            send_to_all({{"type", "harmless"}, {"part", part.get()}});
            store_.remove_item(item_key(part));
        }
    }
    if (begun_at_.size() > max_begun_parts)
    {
        for (auto each = begun_at_.begin(); each != begun_at_.end();)
        {
            const bool is_old = each->second + max_begun_age < now;
            each = is_old ? begun_at_.erase(each) : std::next(each);
        }
    }
    if (begun_at_.size() > max_begun_parts)
    {
        begun_at_.clear();
    }
}

std::optional<blocked_part>
crash_controller::find_blocked(const std::vector<prompt_part>& prompt) const
{
    if (blocked_until_.empty())
    {
        return std::nullopt;
    }
    for (const prompt_part& each : prompt)
    {
        const prompt_part_key part = key_of_part(each.id);
        if (is_blocked(part))
        {
            return blocked_part{each.id, blocked_until_.at(part) - context_.loop.now()};
        }
    }
    return std::nullopt;
}

bool crash_controller::handle_request(const std::shared_ptr<message_link>& from,
                                      const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "crashes")
    {
        handle_reports(message);
        return true;
    }
    if (type == "begun?")
    {
        answer_question(from, message);
        return true;
    }
    if (type == "blocked")
    {
        const millis left = std::min(block_time, read_span(message, "left_ms"));
        record_blocked(read_part(message), context_.loop.now() + left);
        return true;
    }
    if (type == "harmless")
    {
        record_harmless(read_part(message));
        return true;
    }
    return false;
}

bool crash_controller::handle_answer(const nlohmann::json& message)
{
    if (message.at("type").get<std::string>() != "begun")
    {
        return false;
    }
    for (const nlohmann::json& each : message.at("parts"))
    {
        const millis age = std::max(millis(0), read_span(each, "age_ms"));
        evidence_.record_begun(read_part(each), context_.loop.now() - age);
    }
    return true;
}

std::string crash_controller::item_key(prompt_part_key part) const
{
    return absl::StrCat(context_.protocol.blocked_part_prefix(), hex_text(part));
}

std::optional<prompt_part_key>
crash_controller::read_item_key(const std::string& key) const
{
    std::uint64_t part = 0;
    const std::string hex = key.substr(context_.protocol.blocked_part_prefix().size());
    if (!absl::SimpleHexAtoi(hex, &part))
    {
        log_event(
            entry_item_unreadable,
            {{"what", key}, {"why", "the key does not end in a hexadecimal number"}});
        return std::nullopt;
    }
    return prompt_part_key(part);
}

void crash_controller::handle_item(const store_item& item)
{
    const std::optional<prompt_part_key> part = read_item_key(item.key);
    if (!part)
    {
        return;
    }
    if (!item.is_deleted)
    {
        record_blocked(*part, context_.loop.now() + block_time);
    }
    else if (blocked_until_.erase(*part) > 0)
    {
        log_event(entry_part_unblocked, {{"part", hex_text(*part)}});
    }
}

void crash_controller::handle_item_expired(const std::string& key)
{
    const std::optional<prompt_part_key> part = read_item_key(key);
    if (part && is_blocked(*part) && is_judge())
    {
        write_item(*part);
    }
}

} // namespace medlar
