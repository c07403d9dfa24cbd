#include "store.hpp"

#include <chrono>
#include <thread>

namespace review
{

namespace
{

constexpr char alphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(const std::string& bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = (group << 8U) |
                    (i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            out +=
                i + j <= bytes.size() ? alphabet[(group >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return out;
}

std::string decode(const std::string& text)
{
    const std::string known(alphabet);
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char each : text)
    {
        const std::size_t value = known.find(each);
        if (value == std::string::npos)
        {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8)
        {
            count -= 8;
            out += static_cast<char>((bits >> static_cast<unsigned>(count)) & 255U);
        }
    }
    return out;
}

bool begins_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

store::store(const std::string& ip)
{
    server_ = std::make_unique<server>(address{ip, 0},
                                       [this](channel& peer)
                                       {
                                           serve(peer);
                                       });
    std::thread(
        [this]
        {
            while (true)
            {
                pause_ms(50);
                end_leases();
            }
        })
        .detach();
}

void store::put(const std::string& key, const nlohmann::json& value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    write(key, value.dump(), 0);
}

void store::remove(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    erase(key);
}

std::size_t store::count(const std::string& prefix)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::size_t found = 0;
    for (const auto& each : items_)
    {
        found += begins_with(each.first, prefix) ? 1 : 0;
    }
    return found;
}

void store::serve(channel& peer)
{
    while (const std::optional<message> request = peer.read_request())
    {
        pause_ms(2);
        if (!peer.send(answer(*request)))
        {
            return;
        }
    }
}

std::string store::json_answer(int status, const nlohmann::json& body) const
{
    return answer_text(
        status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body.dump());
}

nlohmann::json store::to_json(const std::string& key, const item& what) const
{
    return {{"key", key},
            {"value", encode(what.value)},
            {"revision", what.revision},
            {"create_revision", what.created},
            {"lease", what.lease}};
}

std::string store::answer(const message& request)
{
    const std::string path = path_of(request);
    if (path == "/-/kv-key")
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto found = items_.find(parameter_of(request, "key"));
        if (found == items_.end())
        {
            return json_answer(404, {{"store_revision", revision_}});
        }
        nlohmann::json body = to_json(found->first, found->second);
        body["store_revision"] = revision_;
        return json_answer(200, body);
    }
    if (path == "/-/kv-range")
    {
        return range(request);
    }
    if (path == "/-/kv-watch")
    {
        return watch(request);
    }
    if (path == "/-/kv-txn")
    {
        return change(nlohmann::json::parse(request.body));
    }
    return lease_call(path, request);
}

std::string store::range(const message& request)
{
    constexpr std::size_t most_items = 500;
    const std::string prefix = parameter_of(request, "prefix");
    const std::string after = parameter_of(request, "after");
    const std::lock_guard<std::mutex> lock(mutex_);
    nlohmann::json items = nlohmann::json::array();
    bool has_more = false;
    for (const auto& each : items_)
    {
        if (!begins_with(each.first, prefix) || each.first <= after)
        {
            continue;
        }
        if (items.size() == most_items)
        {
            has_more = true;
            break;
        }
        items.push_back(to_json(each.first, each.second));
    }
    return json_answer(
        200, {{"items", items}, {"more_pages", has_more}, {"store_revision", revision_}});
}

std::string store::watch(const message& request)
{
    const std::string prefix = parameter_of(request, "prefix");
    const std::int64_t after = std::stoll(parameter_of(request, "after"));
    const auto until =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(std::stoll(parameter_of(request, "wait_ms")));
    std::unique_lock<std::mutex> lock(mutex_);
    nlohmann::json events = nlohmann::json::array();
    while (true)
    {
        for (const event& each : history_)
        {
            if (each.revision <= after || !begins_with(each.key, prefix))
            {
                continue;
            }
            events.push_back(each.is_deleted ? nlohmann::json{{"key", each.key},
                                                              {"revision", each.revision},
                                                              {"deleted", true}}
                                             : to_json(each.key, each.written));
        }
        if (!events.empty() ||
            changed_.wait_until(lock, until) == std::cv_status::timeout)
        {
            return json_answer(200, {{"events", events}, {"store_revision", revision_}});
        }
    }
}

std::string store::change(const nlohmann::json& body)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const nlohmann::json& each : body.value("expected_rev", nlohmann::json::array()))
    {
        const auto found = items_.find(each.at("key").get<std::string>());
        const std::int64_t known = found == items_.end() ? 0 : found->second.revision;
        if (known != each.at("revision").get<std::int64_t>())
        {
            return json_answer(412, {{"items", nlohmann::json::array()}});
        }
    }
    const nlohmann::json puts = body.value("puts", nlohmann::json::array());
    for (const nlohmann::json& each : puts)
    {
        const std::int64_t lease = each.value("lease", std::int64_t{0});
        if (lease != 0 && leases_.count(lease) == 0)
        {
            return json_answer(404, nlohmann::json::object());
        }
    }
    for (const nlohmann::json& each : puts)
    {
        write(each.at("key").get<std::string>(),
              decode(each.at("value").get<std::string>()),
              each.value("lease", std::int64_t{0}));
    }
    for (const nlohmann::json& each : body.value("remove", nlohmann::json::array()))
    {
        erase(each.get<std::string>());
    }
    return json_answer(200, {{"revision", revision_}});
}

std::string store::lease_call(const std::string& path, const message& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (path == "/-/kv-lease")
    {
        const auto life =
            nlohmann::json::parse(request.body).at("ttl_ms").get<std::int64_t>();
        leases_[++last_lease_] = {life, now_ms() + life};
        return json_answer(200, {{"lease", last_lease_}, {"ttl_ms", life}});
    }
    const std::int64_t lease = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    const auto found = leases_.find(lease);
    if (found == leases_.end())
    {
        return json_answer(404, nlohmann::json::object());
    }
    found->second.second =
        begins_with(path, "/-/kv-keep/") ? now_ms() + found->second.first : 0;
    return json_answer(200, {{"lease", lease}, {"ttl_ms", found->second.first}});
}

void store::write(const std::string& key, const std::string& value, std::int64_t lease)
{
    ++revision_;
    const auto found = items_.find(key);
    const std::int64_t created =
        found == items_.end() ? revision_ : found->second.created;
    items_[key] = {value, revision_, created, lease};
    history_.push_back({key, revision_, false, items_[key]});
    changed_.notify_all();
}

void store::erase(const std::string& key)
{
    if (items_.erase(key) > 0)
    {
        history_.push_back({key, ++revision_, true, {}});
        changed_.notify_all();
    }
}

void store::end_leases()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto each = leases_.begin(); each != leases_.end();)
    {
        if (each->second.second > now_ms())
        {
            ++each;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& known : items_)
        {
            if (known.second.lease == each->first)
            {
                keys.push_back(known.first);
            }
        }
        for (const std::string& key : keys)
        {
            erase(key);
        }
        each = leases_.erase(each);
    }
}

} // namespace review
