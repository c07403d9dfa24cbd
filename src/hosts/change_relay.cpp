#include <medlar/detail/hosts/change_relay.hpp>

namespace medlar
{

namespace
{

// followers ask every second; one that has not asked for this long is gone
constexpr millis follower_timeout{5000};

// unsent output above which a follower gets no more changes: it asks again for them
constexpr std::size_t max_unsent_bytes = 1048576;

} // namespace

bool change_relay::can_send(const follower& to) const
{
    const std::shared_ptr<message_link> link = to.link.lock();
    return link && mirror_.is_filled() && link->unsent() <= max_unsent_bytes &&
           !(to.sent == mirror_.version());
}

nlohmann::json change_relay::news_since(store_version since, steady_time now) const
{
    nlohmann::json news = mirror_.delta_since(since, now);
    news["type"] = "news";
    return news;
}

void change_relay::answer(const std::shared_ptr<message_link>& from,
                          const nlohmann::json& message,
                          steady_time current_as_of,
                          steady_time now)
{
    const store_version known{message.at("era").get<std::int64_t>(),
                              message.at("revision").get<std::int64_t>()};
    const auto asked_at = message.at("asked_at").get<std::int64_t>();
    follower& asking = followers_[from.get()];
    asking.link = from;
    asking.asked_at = now;
    asking.sent = known;
    if (!mirror_.is_filled() || mirror_.version() < asking.sent)
    {
        // this host knows less than the follower, which will find a better one
        return;
    }
    if (can_send(asking))
    {
        from->send(news_since(asking.sent, now));
        asking.sent = mirror_.version();
    }
    from->send({{"type", "current"},
                {"era", mirror_.version().era},
                {"revision", mirror_.version().revision},
                {"age_ms", (now - current_as_of).count()},
                {"asked_at", asked_at}});
}

void change_relay::send_changes(steady_time now)
{
    // most followers have the same version
    store_version since;
    nlohmann::json news;
    for (auto& each : followers_)
    {
        follower& to = each.second;
        if (!can_send(to))
        {
            continue;
        }
        if (news.is_null() || !(since == to.sent))
        {
            since = to.sent;
            news = news_since(since, now);
        }
        // a version without changes is sent when the follower asks again
        if (!news.at("changed").empty() || !news.at("removed").empty())
        {
            to.link.lock()->send(news);
            to.sent = mirror_.version();
        }
    }
}

void change_relay::drop(const message_link* follower)
{
    followers_.erase(follower);
}

void change_relay::drop_silent(steady_time now)
{
    for (auto each = followers_.begin(); each != followers_.end();)
    {
        const bool is_silent = now - each->second.asked_at > follower_timeout;
        each = is_silent ? followers_.erase(each) : std::next(each);
    }
}

} // namespace medlar
