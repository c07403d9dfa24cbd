// Part of store_controller: changes that come from other hosts, and go to them.

#include <medlar/detail/hosts/message_fields.hpp>
#include <medlar/detail/hosts/store_controller.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// how often other hosts are polled
constexpr millis poll_interval{500};

// the same while this host asks its peers for the first time
constexpr millis inquiry_interval{150};

// how often the source of changes is chosen, and the relays are ranked
constexpr millis source_interval{200};

constexpr millis rank_interval{1000};

// a relay proves as often as this, as a fraction of the permitted age, that it is current
constexpr std::int64_t asks_per_max_age = 3;

} // namespace

void store_controller::poll_peers()
{
    const bool is_asking = !has_asked_peers();
    context_.loop.after(is_asking ? inquiry_interval : poll_interval,
                        [this]
                        {
                            poll_peers();
                        });
    if (is_asking)
    {
        ask_peers();
        return;
    }
    if (!is_store_lost_ && is_in_contact() && mirror_.is_filled())
    {
        return;
    }
    send_question(1, mirror_.lacks_evacuations());
}

void store_controller::ask_peers()
{
    send_question(peer_inquiry::peers_to_ask(mirror_.is_filled()), true);
}

void store_controller::send_question(std::size_t peers, bool is_starting)
{
    // hosts of a version without eras read "since"
    peers_.send_to_some(context_.random.below(1U << 20U),
                        peers,
                        {{"type", "news?"},
                         {"era", mirror_.version().era},
                         {"revision", mirror_.version().revision},
                         {"known_era", mirror_.version().era},
                         {"since", mirror_.version().revision},
                         {"starting", is_starting}});
}

void store_controller::choose_source()
{
    if (!is_settled_)
    {
        return;
    }
    const steady_time now = context_.loop.now();
    if (now - relays_ranked_at_ >= rank_interval)
    {
        relays_ranked_at_ = now;
        source_choice_.set_relays(choose_relays());
        relay_.drop_silent(now);
    }
    read_missing_evacuations();
    source_choice_.set_followed(relay_.followers() > 0);
    apply_source(source_choice_.choose(now));
    if (!is_source_timer_set_)
    {
        is_source_timer_set_ = true;
        context_.loop.after(source_interval,
                            [this]
                            {
                                is_source_timer_set_ = false;
                                choose_source();
                            });
    }
}

void store_controller::apply_source(const change_source& chosen)
{
    const steady_time now = context_.loop.now();
    if (chosen.relay != source_.relay || chosen.watches_store != source_.watches_store)
    {
        log_event(entry_source_changed,
                  {{"relay", chosen.relay ? chosen.relay->get() : ""},
                   {"watches_store", std::int64_t{chosen.watches_store}},
                   {"age_ms", (now - source_choice_.current_as_of()).count()},
                   {"followers", static_cast<std::int64_t>(relay_.followers())}});
    }
    if (chosen.relay != source_.relay)
    {
        if (source_.relay)
        {
            peers_.send(*source_.relay, {{"type", "unfollow"}});
        }
        asked_relay_at_ = steady_time();
    }
    source_ = chosen;
    const millis ask_interval = source_choice_.max_age() / asks_per_max_age;
    if (source_.relay && now - asked_relay_at_ >= ask_interval)
    {
        follow(*source_.relay);
    }
    if (!source_.watches_store)
    {
        stop_watching();
        return;
    }
    if (is_watching_ && watch_hold_time() < watch_hold_)
    {
        stop_watching();
    }
    if (!is_watch_due_)
    {
        watch();
    }
}

void store_controller::follow(const host_id& relay)
{
    const steady_time now = context_.loop.now();
    asked_relay_at_ = now;
    const bool is_sent = peers_.send(relay,
                                     {{"type", "follow"},
                                      {"era", mirror_.version().era},
                                      {"revision", mirror_.version().revision},
                                      {"known_era", mirror_.version().era},
                                      {"asked_at", now.since_origin()}});
    if (!is_sent)
    {
        source_choice_.record_lost(relay, now);
    }
}

void store_controller::verify_era()
{
    // the era counts only if the store states it, see call()
    if (is_verifying_era_)
    {
        return;
    }
    is_verifying_era_ = true;
    call(context_.protocol.write_range_call(
             context_.protocol.configuration_key(), {}, read_mode::linearizable),
         context_.settings.change_bound,
         [this](const reply&)
         {
             is_verifying_era_ = false;
         });
}

bool store_controller::handle_request(const std::shared_ptr<message_link>& from,
                                      const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    const steady_time now = context_.loop.now();
    const auto known_era = message.value("known_era", std::int64_t{0});
    if (known_era > mirror_.version().era && mirror_.has_been_filled())
    {
        verify_era();
    }
    if (type == "follow")
    {
        relay_.answer(from, message, source_choice_.current_as_of(), now);
        choose_source();
        return true;
    }
    if (type == "unfollow")
    {
        relay_.drop(from.get());
        return true;
    }
    if (type != "news?")
    {
        return false;
    }
    if (!message.contains("era"))
    {
        // a host of an older version, which could not read the answer
        return true;
    }
    const store_version since{message.at("era").get<std::int64_t>(),
                              message.at("revision").get<std::int64_t>()};
    if (!mirror_.has_been_filled() || !has_asked_peers())
    {
        from->send({{"type", "no_news"}});
    }
    else if (mirror_.is_filled() && since.era <= mirror_.version().era &&
             (message.value("starting", false) || since < mirror_.version()))
    {
        from->send(answer_question(since, message.value("starting", false), now));
    }
    return true;
}

nlohmann::json store_controller::answer_question(store_version since,
                                                 bool is_starting,
                                                 steady_time now) const
{
    // a host that has just read the store lacks only what the store does not show
    const bool needs_all = is_starting && mirror_.knows_more_than_store();
    nlohmann::json news = mirror_.delta_since(needs_all ? store_version{} : since, now);
    news["type"] = "news";
    if (is_starting)
    {
        evacuations_.write_held(news);
    }
    return news;
}

bool store_controller::handle_answer(const host_id& from, const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "news")
    {
        if (message.contains("era"))
        {
            handle_news(message);
        }
        else
        {
            // a host of an older version
            inquiry_.record_ignorance(from, peers_.other_count());
        }
        return true;
    }
    if (type == "current")
    {
        handle_current(from, message);
        return true;
    }
    if (type == "no_news")
    {
        inquiry_.record_ignorance(from, peers_.other_count());
        return true;
    }
    return false;
}

void store_controller::handle_news(const nlohmann::json& message)
{
    const store_version before = mirror_.version();
    const steady_time now = context_.loop.now();
    const auto held = evacuation_controller::read_held(message);
    const delta_result result = mirror_.apply_delta(message, now);
    if (result == delta_result::no_base)
    {
        if (source_.relay)
        {
            follow(*source_.relay);
        }
        return;
    }
    if (message.at("era").get<std::int64_t>() < mirror_.version().era)
    {
        // the peer has now heard of the era, and will know soon what differs in it
        return;
    }
    inquiry_.record_knowledge();
    evacuations_.apply_held(held);
    if (mirror_.version().era != before.era && (before.era > 0 || before.revision > 0))
    {
        on_era_begun(before);
    }
    if (result == delta_result::applied)
    {
        if (is_store_lost_ && read_span(message, "lapse_ms") <= millis(0))
        {
            served_others_at_ = now;
        }
        relay_.send_changes(now);
    }
}

void store_controller::handle_current(const host_id& from, const nlohmann::json& message)
{
    const store_version reached{message.at("era").get<std::int64_t>(),
                                message.at("revision").get<std::int64_t>()};
    if (mirror_.version() < reached || reached.era < mirror_.version().era)
    {
        // a change was lost on the way, or the relay has not heard of the new era
        return;
    }
    const steady_time asked_at(message.at("asked_at").get<std::int64_t>());
    const millis age = std::max(millis(0), read_span(message, "age_ms"));
    const steady_time now = context_.loop.now();
    if (steady_time() <= asked_at && asked_at <= now)
    {
        source_choice_.record_report(from, asked_at - age, now);
        absence_.record_relay_answer(asked_at - age);
    }
}

void store_controller::handle_peer_lost(const host_id& host, connection_end reason)
{
    source_choice_.record_lost(host, context_.loop.now());
    if (reason == connection_end::refused)
    {
        inquiry_.record_ignorance(host, peers_.other_count());
    }
}

void store_controller::handle_requester_lost(const message_link* link)
{
    relay_.drop(link);
}

} // namespace medlar
