#include <medlar/detail/entry/store_controller.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// the store answers in 4 ms, in 200 ms when it is slow
constexpr millis call_timeout{1200};

// how long the store may hold a watch without changes; each watch is a priced call. A
// lost connection is noticed earlier, by the renewal of the lease
constexpr millis watch_hold_time{8000};

// delay between a watch and the next, so that changes in quick succession come together
constexpr millis watch_delay{400};

// delay after a failed call
constexpr millis retry_delay{250};

// lifetime of the registration, and how often it is renewed
constexpr millis lease_ttl{5000};
constexpr millis renew_interval{1000};

// time without an answer of the store after which other hosts are polled
constexpr millis contact_timeout{2200};

// how often other hosts are polled
constexpr millis poll_interval{500};

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
    poll_peers();
}

bool store_controller::is_in_contact() const
{
    return context_.loop.now() - last_contact_ < contact_timeout;
}

void store_controller::record_contact(bool answered)
{
    const steady_time now = context_.loop.now();
    if (answered)
    {
        if (is_store_lost_ || now - last_contact_ > contact_timeout)
        {
            is_store_lost_ = false;
            mirror_.record_outage_end(now);
            if (is_watching_)
            {
                // a watch from before the outage may be dead without an error
                cancel_watch_();
                is_watching_ = false;
                schedule_watch(millis(0));
            }
            log_event(entry_store_regained, {{"away_ms", (now - last_contact_).count()}});
        }
        last_contact_ = now;
    }
    else if (!is_store_lost_)
    {
        is_store_lost_ = true;
        log_event(entry_store_lost, {{"silent_ms", (now - last_contact_).count()}});
    }
}

std::function<void()>
store_controller::call(std::string request, millis timeout, reply_action on_reply)
{
    auto result = std::make_shared<reply>();
    auto timer = std::make_shared<timer_id>(0);
    call_callbacks events;
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
        context_.settings.store_endpoint, std::move(request), options, std::move(events));
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
    ++read_generation_;
    read_revision_ = 0;
    read_page_after(0, {}, {});
}

void store_controller::read_page_after(std::size_t prefix,
                                       const std::string& after,
                                       store_page collected)
{
    call(context_.protocol.write_range_call(prefixes_[prefix], after),
         call_timeout,
         [this, prefix, collected, generation = read_generation_](
             const reply& received) mutable
         {
             const absl::StatusOr<store_page> page =
                 context_.protocol.read_page(received.body);
             const bool usable = received.status == status_ok && page.ok();
             record_contact(usable);
             if (generation != read_generation_)
             {
                 return;
             }
             if (!usable)
             {
                 context_.loop.after(retry_delay,
                                     [this]
                                     {
                                         read_all();
                                     });
                 return;
             }
             // the first page's revision: the watch repeats later changes
             collected.revision =
                 collected.revision == 0 ? page->revision : collected.revision;
             collected.items.insert(
                 collected.items.end(), page->items.begin(), page->items.end());
             if (page->has_more && !page->items.empty())
             {
                 read_page_after(prefix, page->items.back().key, std::move(collected));
                 return;
             }
             read_revision_ = read_revision_ == 0
                                  ? collected.revision
                                  : std::min(read_revision_, collected.revision);
             mirror_.replace(prefixes_[prefix], collected, context_.loop.now());
             if (prefix + 1 < prefixes_.size())
             {
                 read_page_after(prefix + 1, {}, {});
                 return;
             }
             store_page reached;
             reached.revision = read_revision_;
             mirror_.apply(reached, context_.loop.now());
             watch();
         });
}

void store_controller::schedule_watch(millis delay)
{
    context_.loop.after(delay,
                        [this, generation = read_generation_]
                        {
                            if (generation == read_generation_)
                            {
                                watch();
                            }
                        });
}

void store_controller::watch()
{
    is_watching_ = true;
    cancel_watch_ =
        call(context_.protocol.write_watch_call(read_revision_, watch_hold_time),
             watch_hold_time + call_timeout,
             [this, generation = read_generation_](const reply& received)
             {
                 is_watching_ = false;
                 const absl::StatusOr<store_page> events =
                     context_.protocol.read_events(received.body);
                 const bool usable = received.status == status_ok && events.ok();
                 const bool was_lost = is_store_lost_;
                 record_contact(usable || received.status == status_gone);
                 if (generation != read_generation_)
                 {
                     return;
                 }
                 if (received.status == status_gone || (usable && was_lost))
                 {
                     // changes made meanwhile are not in the history, or lapsed
                     read_all();
                     return;
                 }
                 if (!usable)
                 {
                     schedule_watch(retry_delay);
                     return;
                 }
                 read_revision_ = std::max(read_revision_, events->revision);
                 mirror_.apply(*events, context_.loop.now());
                 schedule_watch(watch_delay);
             });
}

void store_controller::register_host()
{
    if (is_leaving_)
    {
        return;
    }
    const auto retry_later = [this]
    {
        context_.loop.after(renew_interval,
                            [this]
                            {
                                register_host();
                            });
    };
    call(context_.protocol.write_lease_call(lease_ttl),
         call_timeout,
         [this, retry_later](const reply& received)
         {
             const absl::StatusOr<store_lease> lease =
                 context_.protocol.read_lease(received.body);
             if (received.status != status_ok || !lease.ok())
             {
                 retry_later();
                 return;
             }
             const std::string key =
                 context_.protocol.host_prefix() + context_.settings.host.get();
             call(context_.protocol.write_put_call(key, registration_, *lease),
                  call_timeout,
                  [this, retry_later, lease = *lease](const reply& put)
                  {
                      if (put.status != status_ok)
                      {
                          retry_later();
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
                            if (is_leaving_ || !lease_)
                            {
                                return;
                            }
                            call(context_.protocol.write_renew_call(*lease_),
                                 call_timeout,
                                 [this](const reply& received)
                                 {
                                     record_contact(received.status == status_ok ||
                                                    received.status == status_not_found);
                                     if (received.status == status_not_found)
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
    is_leaving_ = true;
    if (lease_)
    {
        call(context_.protocol.write_end_lease_call(*lease_),
             call_timeout,
             [](const reply&) {});
        lease_.reset();
    }
}

void store_controller::poll_peers()
{
    context_.loop.after(poll_interval,
                        [this]
                        {
                            poll_peers();
                        });
    if (!is_store_lost_ && is_in_contact() && mirror_.is_filled())
    {
        return;
    }
    peers_.send_to_any(context_.random.below(1U << 20U),
                       {{"type", "news?"}, {"since", mirror_.revision()}});
}

bool store_controller::handle_request(const std::shared_ptr<message_link>& from,
                                      const nlohmann::json& message)
{
    if (message.at("type") != "news?")
    {
        return false;
    }
    const auto since = message.at("since").get<std::int64_t>();
    if (mirror_.revision() > since)
    {
        nlohmann::json delta = mirror_.delta_since(since);
        delta["type"] = "news";
        from->send(delta);
    }
    return true;
}

bool store_controller::handle_answer(const nlohmann::json& message)
{
    if (message.at("type") != "news")
    {
        return false;
    }
    mirror_.apply_delta(message, context_.loop.now());
    return true;
}

} // namespace medlar
