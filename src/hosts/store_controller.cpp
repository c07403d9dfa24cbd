#include <medlar/detail/hosts/store_controller.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// the store answers in 4 ms, in 200 ms when it is slow
constexpr millis call_timeout{1200};

// how long the store may hold a watch without changes; each watch is a priced call. A
// lost connection is noticed earlier, by the renewal of the lease
constexpr millis direct_watch_hold{8000};

// delay between a watch and the next, so that changes in quick succession come together
constexpr millis watch_delay{400};
constexpr millis relay_watch_delay{200};

// delay after a failed call: doubled with each failure, so that hundreds of hosts do not
// use up the store's rates when it returns
constexpr millis min_retry_delay{250};
constexpr millis max_retry_delay{1000};

// lifetime of the registration, and how often it is renewed. A host that watches the
// store also notices by the renewal that its watch is dead
constexpr millis lease_ttl{6000};
constexpr millis renew_interval{1000};
constexpr millis follower_renew_interval{2000};

// delay after a failed write of an item
constexpr millis write_retry_delay{500};

// registrations in a new era are spread over this time
constexpr std::int64_t registration_spread_ms = 500;

// time without an answer of the store or a relay after which other hosts are polled
constexpr millis contact_timeout{2200};

// the first reading takes this long, and names the peers to ask
constexpr millis first_inquiry_delay{150};

// all hosts of a deployment start within 0.3 s: after this time they know each other
constexpr millis settle_time{500};

// share of the bound on changes, in tenths, that a host's knowledge may be old; the rest
// is for the way to the store when its relays fail
constexpr std::int64_t max_age_tenths = 6;

// a relay proves as often as this that it is current: a fraction of the permitted age
constexpr std::int64_t proofs_per_max_age = 3;

// a range answer has at most 1 MB of values, and their encoding
constexpr std::size_t max_answer_bytes = 8388608;

/// Returns whether an answer whose fields are not read is whole. Without a length or
/// chunks, the end of the connection may have cut it; a part of an object is none.
bool is_whole(bool is_framed, const std::string& body)
{
    return is_framed || nlohmann::json::accept(body);
}

millis max_age_of(millis change_bound)
{
    return change_bound * max_age_tenths / 10;
}

} // namespace

store_controller::store_controller(entry_context& context,
                                   peer_network& peers,
                                   store_mirror& mirror,
                                   evacuation_controller& evacuations,
                                   std::string registration)
    : context_(context),
      peers_(peers),
      mirror_(mirror),
      evacuations_(evacuations),
      relay_(mirror),
      source_choice_(context.settings.host,
                     max_age_of(context.settings.change_bound),
                     context.loop.now()),
      inquiry_(context.loop.now()),
      absence_(context.settings.target_heartbeat, context.loop.now()),
      registration_(std::move(registration)),
      last_contact_(context.loop.now()),
      retry_delay_(min_retry_delay)
{
    set_prefixes();
}

store_controller::~store_controller()
{
    cancel_watch_();
}

void store_controller::start()
{
    read_all(read_mode::stale);
    register_host();
    context_.loop.after(first_inquiry_delay,
                        [this]
                        {
                            poll_peers();
                        });
    context_.loop.after(settle_time,
                        [this]
                        {
                            settle();
                        });
}

void store_controller::apply_settings(std::string registration)
{
    source_choice_.set_max_age(max_age_of(context_.settings.change_bound));
    absence_.set_heartbeat(context_.settings.target_heartbeat);
    const std::size_t prefixes_before = prefixes_.size();
    set_prefixes();
    if (is_reading_ && prefixes_.size() != prefixes_before)
    {
        read_all(read_mode::linearizable);
    }
    set_registration(std::move(registration));
    relays_ranked_at_ = steady_time();
    choose_source();
}

void store_controller::settle()
{
    is_settled_ = true;
    if (!is_reading_)
    {
        // the other hosts have registered since the first reading: the source is chosen
        // when they are known
        read_prefixes_from(prefixes_.size() - 1, read_mode::stale);
    }
}

bool store_controller::is_in_contact() const
{
    const steady_time last = std::max(last_contact_, source_choice_.current_as_of());
    return context_.loop.now() - last < contact_timeout;
}

void store_controller::record_contact(bool answered)
{
    const steady_time now = context_.loop.now();
    if (answered)
    {
        retry_delay_ = min_retry_delay;
        const bool is_return = is_store_lost_ || now - last_contact_ > renewal_gap();
        const bool may_have_lapsed = absence_.record_answer(now, is_return);
        if (is_return)
        {
            is_store_lost_ = false;
            if (may_have_lapsed && now - served_others_at_ > contact_timeout)
            {
                mirror_.record_outage_end(now);
            }
            if (is_watching_)
            {
                // a watch from before the outage may be dead without an error
                stop_watching();
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

millis store_controller::renewal_gap() const
{
    return source_.relay ? follower_renew_interval + contact_timeout : contact_timeout;
}

millis store_controller::next_retry_delay()
{
    const millis delay = retry_delay_;
    retry_delay_ = std::min(max_retry_delay, retry_delay_ * 2);
    return delay;
}

std::int64_t store_controller::record_era(const answer_head& head)
{
    const std::optional<std::int64_t> stated = context_.protocol.read_era(head);
    if (!stated)
    {
        if (mirror_.version().era > 0 && !is_era_missing_)
        {
            is_era_missing_ = true;
            log_event(entry_store_era_changed,
                      {{"era", mirror_.version().era}, {"stated", "none"}});
        }
        return mirror_.version().era;
    }
    is_era_missing_ = false;
    if (*stated < mirror_.version().era)
    {
        log_event(entry_store_era_changed,
                  {{"era", mirror_.version().era}, {"stated", *stated}});
    }
    return *stated;
}

void store_controller::begin_era(std::int64_t era)
{
    const store_version before = mirror_.version();
    mirror_.begin_era(era, context_.loop.now());
    if (before.revision > 0 || before.era > 0)
    {
        on_era_begun(before);
    }
}

void store_controller::on_era_begun(store_version before)
{
    log_event(entry_store_era_changed,
              {{"era", mirror_.version().era},
               {"revision", mirror_.version().revision},
               {"era_before", before.era},
               {"revision_before", before.revision}});
    ++registration_number_;
    lease_.reset();
    const millis spread(static_cast<std::int64_t>(
        context_.random.below(static_cast<std::uint64_t>(registration_spread_ms))));
    context_.loop.after(spread,
                        [this, number = registration_number_]
                        {
                            if (number == registration_number_)
                            {
                                register_host();
                            }
                        });
    stop_watching();
    // a reading that goes on has pages of the era before
    if (!source_.relay || is_reading_)
    {
        read_all(read_mode::linearizable);
    }
    on_new_era_();
}

std::function<void()>
store_controller::call(std::string request, millis timeout, reply_action on_reply)
{
    auto result = std::make_shared<reply>();
    auto timer = std::make_shared<timer_id>(0);
    auto sent = std::make_shared<std::weak_ptr<client_call>>();
    call_callbacks events;
    events.on_head = [this, result](const answer_head& head)
    {
        result->status = head.status;
        result->is_framed = head.framing.kind != body_kind::until_close;
        result->era = record_era(head);
        result->states_era = context_.protocol.read_era(head).has_value();
    };
    const auto give_up = [this, timer, sent, on_reply]
    {
        context_.loop.cancel(*timer);
        if (const auto current = sent->lock())
        {
            current->cancel();
        }
        on_reply({});
    };
    events.on_data = [result, give_up](absl::string_view data)
    {
        result->body.append(data.data(), data.size());
        if (result->body.size() > max_answer_bytes)
        {
            give_up();
        }
    };
    events.on_end = [this, result, timer, on_reply](call_end how)
    {
        context_.loop.cancel(*timer);
        if (how != call_end::complete || result->era < mirror_.version().era)
        {
            result->status = 0;
        }
        else if (result->era > mirror_.version().era)
        {
            begin_era(result->era);
        }
        on_reply(*result);
    };
    call_options options;
    options.connect_timeout = call_timeout;
    context_.metrics->add("medlar_store_calls_total", {});
    const std::shared_ptr<client_call> started = context_.client.start(
        context_.settings.store_endpoint, std::move(request), options, std::move(events));
    *sent = started;
    *timer = context_.loop.after(timeout, give_up);
    return [this, sent, timer]
    {
        context_.loop.cancel(*timer);
        if (const auto current = sent->lock())
        {
            current->cancel();
        }
    };
}

void store_controller::read_all(read_mode mode)
{
    read_revision_ = 0;
    read_prefixes_from(0, mode);
}

void store_controller::read_prefixes_from(std::size_t first, read_mode mode)
{
    ++read_generation_;
    is_reading_ = true;
    is_watch_due_ = false;
    read_page_after(first, {}, mode, {});
}

void store_controller::read_page_after(std::size_t prefix,
                                       const std::string& after,
                                       read_mode mode,
                                       store_page collected)
{
    // keys, routes and evacuations may change at any time: an old state of them is no
    // start
    const bool must_be_current =
        prefix == 0 || prefixes_[prefix] == context_.protocol.evacuation_prefix();
    const read_mode page_mode = must_be_current ? read_mode::linearizable : mode;
    // what is known now is in a page that is read now, unless it may be old
    const store_version known =
        page_mode == read_mode::linearizable ? mirror_.version() : store_version{};
    call(context_.protocol.write_range_call(prefixes_[prefix], after, page_mode),
         call_timeout,
         [this, prefix, mode, collected, known, generation = read_generation_](
             const reply& received) mutable
         {
             absl::StatusOr<store_page> page = context_.protocol.read_page(received.body);
             const bool usable = received.status == status_ok && page.ok();
             record_contact(usable);
             if (generation != read_generation_)
             {
                 return;
             }
             if (!usable)
             {
                 retry_reading(prefix, mode);
                 return;
             }
             const store_version reached{received.era, page->revision};
             if (received.states_era && known.era == reached.era && reached < known &&
                 mirror_.forget_after(reached))
             {
                 log_event(entry_peer_ahead,
                           {{"revision", known.revision}, {"reached", reached.revision}});
                 read_all(read_mode::linearizable);
                 return;
             }
             page->era = received.era;
             append_page(collected, *page);
             if (page->has_more && !page->items.empty())
             {
                 const std::string last_key = page->items.back().key;
                 read_page_after(prefix, last_key, mode, std::move(collected));
                 return;
             }
             read_revision_ = read_revision_ == 0
                                  ? collected.revision
                                  : std::min(read_revision_, collected.revision);
             mirror_.replace(prefixes_[prefix], collected, context_.loop.now());
             if (prefix + 1 < prefixes_.size())
             {
                 read_page_after(prefix + 1, {}, mode, {});
                 return;
             }
             finish_reading(received.era);
         });
}

void store_controller::retry_reading(std::size_t prefix, read_mode mode)
{
    // from the prefix that failed: a store that refuses some calls of many is never read
    // otherwise
    choose_source();
    context_.loop.after(next_retry_delay(),
                        [this, prefix, mode, generation = read_generation_]
                        {
                            if (generation == read_generation_)
                            {
                                read_prefixes_from(prefix, mode);
                            }
                        });
}

void store_controller::finish_reading(std::int64_t era)
{
    is_reading_ = false;
    mirror_.finish_reading({era, read_revision_}, context_.loop.now());
    relay_.send_changes(context_.loop.now());
    if (peers_.other_count() == 0)
    {
        inquiry_.record_no_peers();
    }
    if (!has_asked_peers())
    {
        ask_peers();
    }
    relays_ranked_at_ = steady_time();
    choose_source();
}

void store_controller::schedule_watch(millis delay)
{
    is_watch_due_ = true;
    context_.loop.after(delay,
                        [this, generation = read_generation_]
                        {
                            if (generation != read_generation_ || !is_watch_due_)
                            {
                                return;
                            }
                            is_watch_due_ = false;
                            if (source_.watches_store)
                            {
                                watch();
                            }
                        });
}

void store_controller::stop_watching()
{
    is_watch_due_ = false;
    if (is_watching_)
    {
        cancel_watch_();
        is_watching_ = false;
    }
}

millis store_controller::watch_hold_time() const
{
    return relay_.followers() > 0 ? source_choice_.max_age() / proofs_per_max_age
                                  : direct_watch_hold;
}

void store_controller::watch()
{
    if (is_watching_ || is_reading_)
    {
        return;
    }
    if (!mirror_.is_filled())
    {
        read_all(read_mode::linearizable);
        return;
    }
    is_watching_ = true;
    watch_hold_ = watch_hold_time();
    cancel_watch_ =
        call(context_.protocol.write_watch_call(mirror_.version().revision, watch_hold_),
             watch_hold_ + call_timeout,
             [this, generation = read_generation_, number = ++watch_number_](
                 const reply& received)
             {
                 if (number != watch_number_)
                 {
                     return;
                 }
                 is_watching_ = false;
                 handle_watch_answer(received, generation);
             });
}

void store_controller::handle_watch_answer(const reply& received,
                                           std::uint64_t generation)
{
    absl::StatusOr<store_page> events = context_.protocol.read_events(received.body);
    const bool usable = received.status == status_ok && events.ok();
    const bool was_lost = is_store_lost_;
    record_contact(usable || received.status == status_gone);
    if (generation != read_generation_ || is_reading_)
    {
        return;
    }
    if (!mirror_.is_filled() || received.status == status_gone ||
        (usable && was_lost && !source_.relay))
    {
        // changes made meanwhile are not in the history, or lapsed
        read_all(read_mode::linearizable);
        return;
    }
    if (!usable)
    {
        schedule_watch(next_retry_delay());
        return;
    }
    events->era = received.era;
    keep_mirrored(*events);
    mirror_.apply(*events, context_.loop.now());
    source_choice_.record_store(context_.loop.now());
    relay_.send_changes(context_.loop.now());
    if (relay_.followers() > 0)
    {
        // the time without a watch adds to the age of what the followers know
        schedule_watch(events->items.empty() ? millis(0) : relay_watch_delay);
    }
    else
    {
        schedule_watch(watch_delay);
    }
}

void store_controller::register_host()
{
    if (is_leaving_)
    {
        return;
    }
    const steady_time asked_at = context_.loop.now();
    call(context_.protocol.write_lease_call(lease_ttl),
         call_timeout,
         [this, asked_at, number = registration_number_](const reply& received)
         {
             const absl::StatusOr<store_lease> lease =
                 context_.protocol.read_lease(received.body);
             if (number != registration_number_)
             {
                 return;
             }
             if (received.status != status_ok || !lease.ok())
             {
                 retry_registration(std::nullopt, asked_at);
                 return;
             }
             write_registration(*lease, asked_at);
         });
}

void store_controller::write_registration(store_lease lease, steady_time asked_at)
{
    const std::string key =
        context_.protocol.host_prefix() + context_.settings.host.get();
    call(context_.protocol.write_put_call(key, registration_, lease),
         call_timeout,
         [this, lease, asked_at, number = registration_number_](const reply& put)
         {
             if (number != registration_number_)
             {
                 return;
             }
             if (!is_written(put))
             {
                 const bool is_known = put.status != status_not_found;
                 retry_registration(is_known ? std::optional<store_lease>(lease)
                                             : std::nullopt,
                                    asked_at);
                 return;
             }
             lease_ = lease;
             if (is_leaving_)
             {
                 leave();
                 return;
             }
             renew();
         });
}

void store_controller::retry_registration(std::optional<store_lease> lease,
                                          steady_time asked_at)
{
    context_.loop.after(renew_interval,
                        [this, lease, asked_at, number = registration_number_]
                        {
                            if (number != registration_number_)
                            {
                                return;
                            }
                            // a write without an answer may be executed later: under
                            // another lease, it would take the registration with it when
                            // its own lease ends
                            if (lease && context_.loop.now() < asked_at + lease_ttl)
                            {
                                write_registration(*lease, asked_at);
                            }
                            else
                            {
                                register_host();
                            }
                        });
}

void store_controller::handle_registration_gone()
{
    if (is_leaving_ || !lease_)
    {
        return;
    }
    ++registration_number_;
    lease_.reset();
    register_host();
}

void store_controller::renew()
{
    const auto renew_lease = [this, number = registration_number_]
    {
        if (is_leaving_ || !lease_ || number != registration_number_)
        {
            return;
        }
        call(context_.protocol.write_renew_call(*lease_),
             call_timeout,
             [this, number](const reply& received)
             {
                 const bool is_renewed = received.status == status_ok &&
                                         is_whole(received.is_framed, received.body);
                 record_contact(is_renewed || received.status == status_not_found);
                 if (number != registration_number_)
                 {
                     return;
                 }
                 if (received.status == status_not_found)
                 {
                     lease_.reset();
                     register_host();
                     return;
                 }
                 renew();
             });
    };
    // after a failed renewal the lease is renewed in time by the shorter interval
    const bool is_slow = source_.relay && !is_store_lost_;
    context_.loop.after(is_slow ? follower_renew_interval : renew_interval, renew_lease);
}

void store_controller::write_item(const std::string& key,
                                  const std::string& value,
                                  millis life,
                                  const std::function<bool()>& is_wanted)
{
    const auto retry_later = [this, key, value, life, is_wanted]
    {
        context_.loop.after(write_retry_delay,
                            [this, key, value, life, is_wanted]
                            {
                                if (is_wanted())
                                {
                                    write_item(key, value, life, is_wanted);
                                }
                            });
    };
    call(context_.protocol.write_lease_call(life),
         call_timeout,
         [this, key, value, is_wanted, retry_later](const reply& received)
         {
             const absl::StatusOr<store_lease> lease =
                 context_.protocol.read_lease(received.body);
             if (received.status != status_ok || !lease.ok())
             {
                 retry_later();
                 return;
             }
             if (!is_wanted())
             {
                 return;
             }
             call(context_.protocol.write_put_call(key, value, *lease),
                  call_timeout,
                  [this, retry_later](const reply& put)
                  {
                      if (!is_written(put))
                      {
                          retry_later();
                      }
                  });
         });
}

bool store_controller::is_written(const reply& put) const
{
    return put.status == status_ok && context_.protocol.read_change(put.body).ok();
}

void store_controller::write_lasting_item(const std::string& key,
                                          const std::string& value)
{
    constexpr std::int64_t no_lease = 0;
    call(context_.protocol.write_put_call(key, value, store_lease(no_lease)),
         call_timeout,
         [](const reply&) {});
}

void store_controller::write_record(const std::string& key,
                                    const std::string& value,
                                    millis life,
                                    std::function<void(bool)> on_done)
{
    if (!record_lease_ || record_lease_at_ + life < context_.loop.now())
    {
        const steady_time asked_at = context_.loop.now();
        call(context_.protocol.write_lease_call(life * 2),
             call_timeout,
             [this, key, value, life, on_done, asked_at](const reply& received)
             {
                 const absl::StatusOr<store_lease> lease =
                     context_.protocol.read_lease(received.body);
                 if (received.status != status_ok || !lease.ok())
                 {
                     on_done(false);
                     return;
                 }
                 record_lease_ = *lease;
                 record_lease_at_ = asked_at;
                 write_record(key, value, life, on_done);
             });
        return;
    }
    call(context_.protocol.write_put_call(key, value, *record_lease_),
         call_timeout,
         [this, on_done](const reply& put)
         {
             if (put.status == status_not_found)
             {
                 record_lease_.reset();
             }
             on_done(is_written(put));
         });
}

void store_controller::read_items(
    const std::string& prefix,
    const std::function<void(const std::optional<store_reading>&)>& on_read)
{
    read_items_after(prefix, {}, {}, on_read);
}

void store_controller::read_items_after(
    const std::string& prefix,
    const std::string& after,
    const store_reading& collected,
    const std::function<void(const std::optional<store_reading>&)>& on_read)
{
    call(context_.protocol.write_range_call(prefix, after, read_mode::linearizable),
         call_timeout,
         [this, prefix, collected, on_read](const reply& received)
         {
             const absl::StatusOr<store_page> page =
                 context_.protocol.read_page(received.body);
             if (received.status != status_ok || !page.ok())
             {
                 on_read(std::nullopt);
                 return;
             }
             store_reading all = collected;
             if (all.items.empty())
             {
                 all.version = {received.era, page->revision};
             }
             all.items.insert(all.items.end(), page->items.begin(), page->items.end());
             if (page->has_more && !page->items.empty())
             {
                 const std::string last_key = page->items.back().key;
                 read_items_after(prefix, last_key, all, on_read);
                 return;
             }
             on_read(all);
         });
}

void store_controller::read_version(
    const std::function<void(std::optional<store_version>)>& on_read)
{
    // few items are below it
    call(context_.protocol.write_range_call(
             context_.protocol.version_prefix(), {}, read_mode::linearizable),
         call_timeout,
         [this, on_read](const reply& received)
         {
             const absl::StatusOr<store_page> page =
                 context_.protocol.read_page(received.body);
             const bool usable = received.status == status_ok && page.ok();
             on_read(usable ? std::optional<store_version>({received.era, page->revision})
                            : std::nullopt);
         });
}

void store_controller::catch_up()
{
    if (!is_watching_ && !is_reading_)
    {
        is_watch_due_ = false;
        watch();
    }
}

void store_controller::keep_mirrored(store_page& events) const
{
    const auto is_unmirrored = [this](const store_item& item)
    {
        return std::none_of(prefixes_.begin(),
                            prefixes_.end(),
                            [&item](const std::string& prefix)
                            {
                                return absl::StartsWith(item.key, prefix);
                            });
    };
    events.items.erase(
        std::remove_if(events.items.begin(), events.items.end(), is_unmirrored),
        events.items.end());
}

void store_controller::remove_item(const std::string& key)
{
    call(context_.protocol.write_remove_call(key), call_timeout, [](const reply&) {});
}

void store_controller::remove_item(const std::string& key,
                                   const std::function<bool()>& is_wanted)
{
    call(context_.protocol.write_remove_call(key),
         call_timeout,
         [this, key, is_wanted](const reply& change)
         {
             if (is_written(change))
             {
                 return;
             }
             context_.loop.after(write_retry_delay,
                                 [this, key, is_wanted]
                                 {
                                     if (is_wanted())
                                     {
                                         remove_item(key, is_wanted);
                                     }
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

} // namespace medlar
