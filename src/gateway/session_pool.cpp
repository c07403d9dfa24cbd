#include <medlar/detail/gateway/session_pool.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/Socket.h>
#include <Poco/Timespan.h>

#include <functional>
#include <utility>

namespace medlar
{

namespace
{

/// @brief Returns whether an idle connection is still open and has no unread data.
bool is_usable(http_session& session)
{
    try
    {
        return !session.socket().poll(Poco::Timespan(0),
                                      Poco::Net::Socket::SELECT_READ |
                                          Poco::Net::Socket::SELECT_ERROR);
    }
    catch (const Poco::Exception&)
    {
        return false;
    }
}

} // namespace

std::unique_ptr<session_pool>
session_pool::create(const clock& time, millis connect_timeout, millis max_idle)
{
    return std::unique_ptr<session_pool>(
        new session_pool(time, connect_timeout, max_idle));
}

session_pool::session_pool(const clock& time, millis connect_timeout, millis max_idle)
    : time_(time), connect_timeout_(connect_timeout), max_idle_(max_idle)
{
}

target_session session_pool::take(const endpoint& remote, bool force_new)
{
    if (!force_new)
    {
        target_session idle = take_idle(remote);
        if (idle)
        {
            return idle;
        }
    }
    return open(remote);
}

void session_pool::give_back(const endpoint& remote, target_session session)
{
    shard& key_shard = shard_for(remote);
    const std::lock_guard<std::mutex> lock(key_shard.mutex);
    std::vector<idle_session>& idle = key_shard.idle[remote];
    if (idle.size() < max_idle_per_endpoint)
    {
        idle.push_back({std::move(session), time_.steady_now()});
    }
}

target_session session_pool::take_idle(const endpoint& remote)
{
    std::vector<idle_session> stale;
    shard& key_shard = shard_for(remote);
    const std::lock_guard<std::mutex> lock(key_shard.mutex);
    std::vector<idle_session>& idle = key_shard.idle[remote];
    while (!idle.empty())
    {
        idle_session newest = std::move(idle.back());
        idle.pop_back();
        const bool recent = time_.steady_now() - newest.idle_since < max_idle_;
        if (recent && is_usable(*newest.session))
        {
            return std::move(newest.session);
        }
        stale.push_back(std::move(newest));
    }
    return nullptr;
}

target_session session_pool::open(const endpoint& remote) const
{
    try
    {
        return http_session::open(remote, connect_timeout_);
    }
    catch (const Poco::Exception&)
    {
        return nullptr;
    }
}

session_pool::shard& session_pool::shard_for(const endpoint& remote)
{
    const std::size_t hash = std::hash<std::string>{}(to_string(remote));
    return shards_[hash % shards_.size()];
}

} // namespace medlar
