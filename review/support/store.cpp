#include "support/store.hpp"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace review
{

namespace
{

constexpr milliseconds answer_time{4};

constexpr char base64_digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group <<= 8U;
            group |= i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0U;
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            out += i + j <= bytes.size()
                       ? base64_digits[(group >> (18U - 6U * static_cast<unsigned>(j))) &
                                       63U]
                       : '=';
        }
    }
    return out;
}

std::string from_base64(const std::string& text)
{
    const std::string digits(base64_digits);
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char each : text)
    {
        const std::size_t digit = digits.find(each);
        if (digit == std::string::npos)
        {
            break;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>((group >> static_cast<unsigned>(bits)) & 0xffU);
        }
    }
    return out;
}

std::int64_t to_number(const std::string& text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

bool begins_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

store::store()
    : server_(
          [this](const http_message& request, http_connection& connection)
          {
              return handle(request, connection);
          })
{
}

void store::put(const std::string& key, const nlohmann::json& value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    put_locked(key, value.dump(), 0);
}

void store::remove(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    remove_locked(key);
}

void store::lose_next_write(const std::string& key, milliseconds executed_after)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    lost_writes_[key] = executed_after;
}

bool store::has(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    drop_ended_leases();
    return items_.count(key) > 0;
}

bool store::is_lost(const nlohmann::json& wanted)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const nlohmann::json& each : wanted.value("puts", nlohmann::json::array()))
    {
        const auto lost = lost_writes_.find(each.at("key"));
        if (lost == lost_writes_.end())
        {
            continue;
        }
        const std::string key = lost->first;
        const milliseconds delay = lost->second;
        lost_writes_.erase(lost);
        if (on_event)
        {
            on_event("the store answers nothing to a write of " + key);
        }
        std::thread(
            [this, wanted, key, delay]
            {
                std::this_thread::sleep_for(delay);
                const std::lock_guard<std::mutex> late(mutex_);
                drop_ended_leases();
                int status = 200;
                answer_change(wanted, status);
                if (on_event)
                {
                    on_event("the store executes that write of " + key + ": " +
                             std::to_string(status));
                }
            })
            .detach();
        return true;
    }
    return false;
}

void store::put_locked(const std::string& key,
                       const std::string& value,
                       std::int64_t lease)
{
    ++revision_;
    const auto known = items_.find(key);
    item& written = items_[key];
    written = {value,
               revision_,
               known == items_.end() ? revision_ : known->second.created,
               lease};
    history_.push_back({key, written, false});
    changed_.notify_all();
}

void store::remove_locked(const std::string& key)
{
    if (items_.erase(key) > 0)
    {
        item gone;
        gone.revision = ++revision_;
        history_.push_back({key, gone, true});
        changed_.notify_all();
    }
}

void store::drop_ended_leases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto each = leases_.begin(); each != leases_.end();)
    {
        if (each->second.ends > now)
        {
            ++each;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& entry : items_)
        {
            if (entry.second.lease == each->first)
            {
                keys.push_back(entry.first);
            }
        }
        for (const std::string& key : keys)
        {
            remove_locked(key);
        }
        each = leases_.erase(each);
    }
}

nlohmann::json store::to_json(const std::string& key, const item& from)
{
    return {{"key", key},
            {"value", to_base64(from.value)},
            {"revision", from.revision},
            {"create_revision", from.created},
            {"lease", from.lease}};
}

nlohmann::json store::answer_get(const http_message& request, int& status)
{
    const std::string key = request.query("key");
    const auto found = items_.find(key);
    if (found == items_.end())
    {
        status = 404;
        return {{"store_revision", revision_}};
    }
    nlohmann::json answer = to_json(key, found->second);
    answer["store_revision"] = revision_;
    return answer;
}

nlohmann::json store::answer_range(const http_message& request)
{
    const std::string prefix = request.query("prefix");
    const std::string after = request.query("after");
    nlohmann::json items = nlohmann::json::array();
    for (const auto& each : items_)
    {
        if (begins_with(each.first, prefix) && each.first > after)
        {
            items.push_back(to_json(each.first, each.second));
        }
    }
    return {{"items", items}, {"more_pages", false}, {"store_revision", revision_}};
}

nlohmann::json store::answer_watch(const http_message& request)
{
    const std::string prefix = request.query("prefix");
    const std::int64_t after = to_number(request.query("after"));
    const auto end = std::chrono::steady_clock::now() +
                     milliseconds(to_number(request.query("wait_ms")));
    std::unique_lock<std::mutex> lock(mutex_);
    nlohmann::json events = nlohmann::json::array();
    const auto collect = [&]
    {
        for (const change& each : history_)
        {
            if (each.now.revision <= after || !begins_with(each.key, prefix))
            {
                continue;
            }
            events.push_back(each.is_deleted
                                 ? nlohmann::json{{"key", each.key},
                                                  {"revision", each.now.revision},
                                                  {"deleted", true}}
                                 : to_json(each.key, each.now));
        }
        return !events.empty();
    };
    changed_.wait_until(lock, end, collect);
    return {{"events", events}, {"store_revision", revision_}};
}

nlohmann::json store::answer_change(const nlohmann::json& wanted, int& status)
{
    nlohmann::json current = nlohmann::json::array();
    bool holds = true;
    for (const nlohmann::json& each :
         wanted.value("expected_rev", nlohmann::json::array()))
    {
        const std::string key = each.at("key");
        const auto found = items_.find(key);
        const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == each.at("revision").get<std::int64_t>();
        if (found != items_.end())
        {
            current.push_back(to_json(key, found->second));
        }
    }
    if (!holds)
    {
        status = 412;
        return {{"items", current}};
    }
    const nlohmann::json puts = wanted.value("puts", nlohmann::json::array());
    for (const nlohmann::json& each : puts)
    {
        const auto lease = each.value("lease", std::int64_t{0});
        if (lease != 0 && leases_.count(lease) == 0)
        {
            status = 404;
            return {{"why", "no such lease"}};
        }
    }
    for (const nlohmann::json& each : puts)
    {
        put_locked(each.at("key"),
                   from_base64(each.at("value")),
                   each.value("lease", std::int64_t{0}));
    }
    for (const nlohmann::json& each : wanted.value("remove", nlohmann::json::array()))
    {
        remove_locked(each);
    }
    return {{"revision", revision_}};
}

nlohmann::json store::answer_lease(const http_message& request, int& status)
{
    const auto now = std::chrono::steady_clock::now();
    if (request.path() == "/-/kv-lease")
    {
        const milliseconds ttl(
            nlohmann::json::parse(request.body).at("ttl_ms").get<std::int64_t>());
        leases_[++last_lease_] = {now + ttl, ttl};
        return {{"lease", last_lease_}, {"ttl_ms", ttl.count()}};
    }
    const std::int64_t id =
        to_number(request.path().substr(request.path().rfind('/') + 1));
    const auto found = leases_.find(id);
    if (found == leases_.end())
    {
        status = 404;
        return {{"why", "it has ended"}};
    }
    const bool is_end = begins_with(request.path(), "/-/kv-lease-end/");
    found->second.ends = is_end ? now : now + found->second.ttl;
    drop_ended_leases();
    return {{"lease", id}};
}

bool store::handle(const http_message& request, http_connection& connection)
{
    std::this_thread::sleep_for(answer_time);
    if (request.path() == "/-/kv-txn" && is_lost(nlohmann::json::parse(request.body)))
    {
        // a connection on which an answer is lost returns nothing further
        connection.has_event(milliseconds(60000));
        return false;
    }
    int status = 200;
    nlohmann::json answer;
    if (request.path() == "/-/kv-watch")
    {
        answer = answer_watch(request);
    }
    else
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        drop_ended_leases();
        if (request.path() == "/-/kv-key")
        {
            answer = answer_get(request, status);
        }
        else if (request.path() == "/-/kv-range")
        {
            answer = answer_range(request);
        }
        else if (request.path() == "/-/kv-txn")
        {
            answer = answer_change(nlohmann::json::parse(request.body), status);
        }
        else
        {
            answer = answer_lease(request, status);
        }
    }
    return connection.write(
        answer_text(status,
                    {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                    answer.dump()));
}

} // namespace review
