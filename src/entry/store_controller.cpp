#include <medlar/detail/entry/store_controller.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// longest time of a call; the store answers in 4 ms, in 200 ms when it is slow
constexpr millis call_timeout{1200};

// how long the store may hold a watch that has nothing to tell; each is a priced call. A
// path that is cut shows earlier, by the renewal of the lease
constexpr millis watch_wait{8000};

// least time from one watch to the next, so that changes in quick succession come
// together
constexpr millis watch_pause{400};

// after a call that failed
constexpr millis retry_pause{250};

// life of the registration, and how often it is renewed
constexpr millis lease_life{5000};
constexpr millis renew_interval{1000};

// time without an answer of the store after which other hosts are asked
constexpr millis contact_time{2200};

// how often other hosts are asked
constexpr millis ask_interval{500};

} // namespace

store_controller::store_controller(entry_context& context,
                                   peer_network& peers,
                                   store_mirror& mirror,
                                   std::string registration)
    : context_(context),
      peers_(peers),
      mirror_(mirror),
      registration_(std::move(registration)),
      last_contact_(context.loop.now())
{
    prefixes_ = {context_.protocol.configuration_key(),
                 context_.protocol.target_prefix(),
                 context_.protocol.host_prefix()};
}

store_controller::~store_controller()
{
    cancel_watch_();
}

void store_controller::start()
{
    read_all();
    register_host();
    ask_peers();
}

bool store_controller::is_in_contact() const
{
    return context_.loop.now() - last_contact_ < contact_time;
}

void store_controller::note_contact(bool answered)
{
    const steady_time now = context_.loop.now();
    if (answered)
    {
        if (lost_ || now - last_contact_ > contact_time)
        {
            lost_ = false;
            mirror_.note_outage_end(now);
            if (is_watching_)
            {
                // a watch of the time before may be dead without a sign
                cancel_watch_();
                is_watching_ = false;
                watch_again(millis(0));
            }
            log_event(entry_store_regained, {{"away_ms", (now - last_contact_).count()}});
        }
        last_contact_ = now;
    }
    else if (!lost_)
    {
        lost_ = true;
        log_event(entry_store_lost, {{"silent_ms", (now - last_contact_).count()}});
    }
}

std::function<void()>
store_controller::call(std::string request, millis timeout, reply_action on_reply)
{
    auto result = std::make_shared<reply>();
    auto timer = std::make_shared<timer_id>(0);
    call_events events;
    events.on_head = [result](const answer_head& head)
    {
        result->status = head.status;
    };
    events.on_data = [result](absl::string_view data)
    {
        result->body.append(data.data(), data.size());
    };
    events.on_end = [this, result, timer, on_reply](call_end how)
    {
        context_.loop.cancel(*timer);
        if (how != call_end::complete)
        {
            result->status = 0;
        }
        on_reply(*result);
    };
    call_options options;
    options.connect_timeout = call_timeout;
    context_.metrics->add("medlar_store_calls_total", {});
    const std::shared_ptr<client_call> sent = context_.client.start(
        context_.settings.store, std::move(request), options, std::move(events));
    *timer = context_.loop.after(timeout,
                                 [sent, on_reply]
                                 {
                                     sent->cancel();
                                     on_reply({});
                                 });
    return [this, sent, timer]
    {
        context_.loop.cancel(*timer);
        sent->cancel();
    };
}

void store_controller::read_all()
{
    ++round_;
    read_revision_ = 0;
    read_next(0, {}, {});
}

void store_controller::read_next(std::size_t prefix,
                                 const std::string& after,
                                 store_page so_far)
{
    call(context_.protocol.write_range_call(prefixes_[prefix], after),
         call_timeout,
         [this, prefix, so_far, round = round_](const reply& got) mutable
         {
             const absl::StatusOr<store_page> page =
                 context_.protocol.read_page(got.body);
             const bool usable = got.status == status_ok && page.ok();
             note_contact(usable);
             if (round != round_)
             {
                 return;
             }
             if (!usable)
             {
                 context_.loop.after(retry_pause,
                                     [this]
                                     {
                                         read_all();
                                     });
                 return;
             }
             // the first page's revision: later changes come again by the watch
             so_far.revision = so_far.revision == 0 ? page->revision : so_far.revision;
             so_far.items.insert(
                 so_far.items.end(), page->items.begin(), page->items.end());
             if (page->has_more && !page->items.empty())
             {
                 read_next(prefix, page->items.back().key, std::move(so_far));
                 return;
             }
             read_revision_ = read_revision_ == 0
                                  ? so_far.revision
                                  : std::min(read_revision_, so_far.revision);
             mirror_.replace(prefixes_[prefix], so_far, context_.loop.now());
             if (prefix + 1 < prefixes_.size())
             {
                 read_next(prefix + 1, {}, {});
                 return;
             }
             store_page reached;
             reached.revision = read_revision_;
             mirror_.apply(reached, context_.loop.now());
             watch();
         });
}

void store_controller::watch_again(millis delay)
{
    context_.loop.after(delay,
                        [this, round = round_]
                        {
                            if (round == round_)
                            {
                                watch();
                            }
                        });
}

void store_controller::watch()
{
    is_watching_ = true;
    cancel_watch_ = call(context_.protocol.write_watch_call(read_revision_, watch_wait),
                         watch_wait + call_timeout,
                         [this, round = round_](const reply& got)
                         {
                             is_watching_ = false;
                             const absl::StatusOr<store_page> events =
                                 context_.protocol.read_events(got.body);
                             const bool usable = got.status == status_ok && events.ok();
                             const bool was_lost = lost_;
                             note_contact(usable || got.status == status_gone);
                             if (round != round_)
                             {
                                 return;
                             }
                             if (got.status == status_gone || (usable && was_lost))
                             {
                                 // what happened meanwhile is not in the history, or
                                 // lapsed
                                 read_all();
                                 return;
                             }
                             if (!usable)
                             {
                                 watch_again(retry_pause);
                                 return;
                             }
                             read_revision_ = std::max(read_revision_, events->revision);
                             mirror_.apply(*events, context_.loop.now());
                             watch_again(watch_pause);
                         });
}

void store_controller::register_host()
{
    if (leaving_)
    {
        return;
    }
    const auto again = [this]
    {
        context_.loop.after(renew_interval,
                            [this]
                            {
                                register_host();
                            });
    };
    call(context_.protocol.write_lease_call(lease_life),
         call_timeout,
         [this, again](const reply& got)
         {
             const absl::StatusOr<store_lease> lease =
                 context_.protocol.read_lease(got.body);
             if (got.status != status_ok || !lease.ok())
             {
                 again();
                 return;
             }
             const std::string key =
                 context_.protocol.host_prefix() + context_.settings.host.get();
             call(context_.protocol.write_put_call(key, registration_, *lease),
                  call_timeout,
                  [this, again, lease = *lease](const reply& put)
                  {
                      if (put.status != status_ok)
                      {
                          again();
                          return;
                      }
                      lease_ = lease;
                      renew();
                  });
         });
}

void store_controller::renew()
{
    context_.loop.after(renew_interval,
                        [this]
                        {
                            if (leaving_ || !lease_)
                            {
                                return;
                            }
                            call(context_.protocol.write_renew_call(*lease_),
                                 call_timeout,
                                 [this](const reply& got)
                                 {
                                     note_contact(got.status == status_ok ||
                                                  got.status == status_not_found);
                                     if (got.status == status_not_found)
                                     {
                                         lease_.reset();
                                         register_host();
                                         return;
                                     }
                                     renew();
                                 });
                        });
}

void store_controller::leave()
{
    leaving_ = true;
    if (lease_)
    {
        call(context_.protocol.write_end_lease_call(*lease_),
             call_timeout,
             [](const reply&) {});
        lease_.reset();
    }
}

void store_controller::ask_peers()
{
    context_.loop.after(ask_interval,
                        [this]
                        {
                            ask_peers();
                        });
    if (!lost_ && is_in_contact() && mirror_.is_filled())
    {
        return;
    }
    peers_.send_to_any(context_.random.below(1U << 20U),
                       {{"type", "news?"}, {"since", mirror_.revision()}});
}

bool store_controller::take_request(const std::shared_ptr<message_link>& from,
                                    const nlohmann::json& message)
{
    if (message.at("type") != "news?")
    {
        return false;
    }
    const auto since = message.at("since").get<std::int64_t>();
    if (mirror_.revision() > since)
    {
        nlohmann::json news = mirror_.news_since(since);
        news["type"] = "news";
        from->send(news);
    }
    return true;
}

bool store_controller::take_answer(const nlohmann::json& message)
{
    if (message.at("type") != "news")
    {
        return false;
    }
    mirror_.take_news(message, context_.loop.now());
    return true;
}

} // namespace medlar
