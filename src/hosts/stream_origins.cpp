#include <medlar/detail/hosts/stream_messages.hpp>
#include <medlar/detail/hosts/stream_origins.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace medlar
{

namespace
{

// one keeper may be down; one more for each group of hosts keeps their load the same
constexpr std::size_t min_keepers = 2;
constexpr std::size_t hosts_per_keeper = 64;

constexpr millis update_interval{1000};

// streams that are reported together while their pool has one version, which answers for
// those whose callers come back sooner
constexpr millis report_delay{100};

// a keeper writes what it got in this time in one call to the store
constexpr millis save_delay{200};

// time after an outage of the store in which targets whose entries have lapsed are back
constexpr millis lapsed_target_return{3000};

// some 3000 streams; short enough for a page of the store to hold several
constexpr std::size_t max_record_bytes = 65536;

// time for a keeper to save a stream that is about to begin
constexpr millis save_ahead_timeout{1000};

// streams that are remembered; more begin in max_stream_age only if limits are far too
// high, and the rest is in the store
constexpr std::size_t max_streams = 65536;

std::int64_t count_streams(const streams_by_origin& streams)
{
    std::int64_t count = 0;
    for (const auto& each : streams)
    {
        count += static_cast<std::int64_t>(each.second.size());
    }
    return count;
}

} // namespace

absl::string_view to_string(origin_source source)
{
    switch (source)
    {
        case origin_source::none:
            return "none";
        case origin_source::memory:
            return "memory";
        case origin_source::single_version:
            return "single_version";
        case origin_source::record:
            return "record";
        case origin_source::shares:
            return "shares";
    }
    return "none";
}

stream_origins::stream_origins(entry_context& context,
                               peer_network& peers,
                               store_controller& store)
    : context_(context),
      peers_(peers),
      store_(store),
      copy_check_(context, store),
      in_contact_since_(context.loop.now()),
      host_lost_at_(context.loop.now())
{
    update();
}

nlohmann::json stream_origins::to_json(const streams_by_origin& streams)
{
    nlohmann::json groups = nlohmann::json::array();
    for (const auto& each : streams)
    {
        nlohmann::json group = medlar::to_json(each.first);
        nlohmann::json& keys = group["streams"] = nlohmann::json::array();
        for (const stream_key stream : each.second)
        {
            keys.push_back(stream.get());
        }
        groups.push_back(std::move(group));
    }
    return groups;
}

streams_by_origin stream_origins::read_streams(const nlohmann::json& message)
{
    streams_by_origin streams;
    for (const nlohmann::json& group : message)
    {
        std::vector<stream_key>& list = streams[read_origin(group)];
        for (const nlohmann::json& each : group.at("streams"))
        {
            list.emplace_back(each.get<std::uint64_t>());
        }
    }
    return streams;
}

std::vector<host_id> stream_origins::keepers() const
{
    std::vector<host_id> ranked =
        rank_owners({pool_id(keeper_group_name), {}}, peers_.live_hosts());
    ranked.resize(
        std::min(ranked.size(), min_keepers + ranked.size() / hosts_per_keeper));
    return ranked;
}

bool stream_origins::is_resumable(const pool_id& pool)
{
    resumable_pools_.update(context_.configuration);
    return resumable_pools_.contains(pool);
}

void stream_origins::update()
{
    const steady_time now = context_.loop.now();
    update_versions();
    if (!store_.is_in_contact())
    {
        in_contact_since_ = now;
    }
    update_earlier_shares();
    if (store_.is_in_contact() && is_writer())
    {
        write_versions();
        update_shares();
    }
    forget_old_streams();
    starts_.forget_old(now);
    // a route may have been split, or have several versions according to the store only
    save_ambiguous();
    // a pool may have become that of a resumable route
    send_reports();
    context_.loop.after(update_interval,
                        [this]
                        {
                            update();
                        });
}

void stream_origins::update_earlier_shares()
{
    // streams that began while the store was away, or before hosts were lost, may be in
    // no record
    const steady_time certain_since = std::max(in_contact_since_, host_lost_at_);
    for (const auto& each : shares_)
    {
        earlier_shares_[each.first].update(
            each.second.before, certain_since, context_.loop.now());
    }
}

void stream_origins::update_versions()
{
    for (const auto& each : context_.targets.all())
    {
        handle_target(each.second.record);
    }
}

software_version stream_origins::version_of(const pool_id& pool,
                                            const process_start& start)
{
    const software_version version = starts_.version_of(start);
    const stream_origin origin{pool, version};
    if (starts_.record_unlisted(origin, context_.loop.now()))
    {
        // a group without streams
        const nlohmann::json message{{"type", "streams_begun"},
                                     {"groups", to_json({{origin, {}}})}};
        for (const host_id& each : keepers())
        {
            peers_.send(each, message);
        }
    }
    return version;
}

void stream_origins::record_unlisted(const streams_by_origin& streams)
{
    for (const auto& each : streams)
    {
        starts_.record_unlisted(each.first, context_.loop.now());
    }
}

void stream_origins::handle_target(const target_record& target)
{
    starts_.record_listed(target, context_.loop.now());
    if (!is_resumable(target.pool))
    {
        return;
    }
    const steady_time now = context_.loop.now();
    if (!versions_.record_target({target.pool, target.version}, now))
    {
        return;
    }
    const std::size_t count = versions_.origins_in({target.pool}, now).size();
    log_event(entry_version_appeared,
              {{"pool", target.pool.get()},
               {"version", target.version.get()},
               {"versions", static_cast<std::int64_t>(count)}});
    if (is_ambiguous(target.pool))
    {
        // until now it was plain where the streams of its routes began
        send_reports_after(millis(0));
        save_ambiguous();
    }
}

void stream_origins::write_versions()
{
    const steady_time now = context_.loop.now();
    for (const stream_origin& each : versions_.unstored(now))
    {
        store_.write_lasting_item(item_key(each), {});
    }
    for (const stream_origin& each : versions_.outlived(now))
    {
        store_.remove_item(item_key(each));
    }
}

bool stream_origins::is_writer() const
{
    return keepers().front() == peers_.self().id;
}

void stream_origins::update_shares()
{
    if (context_.loop.now() < in_contact_since_ + lapsed_target_return)
    {
        return;
    }
    std::set<pool_id> pools = resumable_pools_.all();
    for (const auto& each : shares_)
    {
        pools.insert(each.first);
    }
    for (const pool_id& each : pools)
    {
        update_shares_of(each, versions_.is_mixed(each, context_.loop.now()));
    }
}

void stream_origins::update_shares_of(const pool_id& pool, bool is_mixed)
{
    const steady_time now = context_.loop.now();
    const auto known = shares_.find(pool);
    if (!is_mixed)
    {
        if (known != shares_.end())
        {
            store_.remove_item(share_key(pool));
        }
        return;
    }
    if (known != shares_.end() && lost_shares_.count(pool) > 0)
    {
        write_shares(pool, known->second);
        return;
    }
    version_shares targets;
    for (const target_state* each : context_.targets.serving(pool))
    {
        if (is_listed(*each))
        {
            ++targets[each->record.version];
        }
    }
    share_history history = known == shares_.end() ? share_history{} : known->second;
    if (!targets.empty() && is_outdated(history.current, targets))
    {
        if (!history.current.empty())
        {
            history.before.push_back(history.current);
        }
        else
        {
            // until now streams have begun at any version
            for (const auto& each : targets)
            {
                history.before.push_back({each});
                earlier_shares_[pool].record_replaced(history.before.back(), now);
            }
        }
        history.current = targets;
        write_shares(pool, history);
        return;
    }
    const auto outlived =
        std::remove_if(history.before.begin(),
                       history.before.end(),
                       [&](const version_shares& each)
                       {
                           return earlier_shares_[pool].are_outlived(
                               each, resumable_pools_.longest_timeout(), now);
                       });
    if (outlived != history.before.end())
    {
        history.before.erase(outlived, history.before.end());
        write_shares(pool, history);
    }
}

void stream_origins::write_shares(const pool_id& pool, const share_history& history)
{
    const auto shares_json = [](const version_shares& shares)
    {
        nlohmann::json object = nlohmann::json::object();
        for (const auto& each : shares)
        {
            object[each.first.get()] = each.second;
        }
        return object;
    };
    nlohmann::json before = nlohmann::json::array();
    for (const version_shares& each : history.before)
    {
        before.push_back(shares_json(each));
    }
    const nlohmann::json value{{"current", shares_json(history.current)},
                               {"before", std::move(before)}};
    log_event(entry_shares_set,
              {{"pool", pool.get()},
               {"shares", value["current"].dump()},
               {"before", value["before"].dump()}});
    store_.write_lasting_item(share_key(pool), value.dump());
}

std::string stream_origins::share_key(const pool_id& pool) const
{
    return absl::StrCat(context_.protocol.share_prefix(),
                        absl::WebSafeBase64Escape(pool.get()));
}

std::optional<pool_id> stream_origins::read_share_key(const std::string& key) const
{
    std::string pool;
    if (!absl::WebSafeBase64Unescape(key.substr(context_.protocol.share_prefix().size()),
                                     &pool))
    {
        log_event(entry_item_unreadable,
                  {{"what", key}, {"why", "the key does not name a pool"}});
        return std::nullopt;
    }
    return pool_id(pool);
}

void stream_origins::handle_shares_expired(const std::string& key)
{
    if (const std::optional<pool_id> pool = read_share_key(key))
    {
        lost_shares_.insert(*pool);
    }
}

void stream_origins::handle_shares(const store_item& item)
{
    const std::optional<pool_id> named = read_share_key(item.key);
    if (!named)
    {
        return;
    }
    const pool_id& pool = *named;
    lost_shares_.erase(pool);
    const auto known = shares_.find(pool);
    const version_shares replaced =
        known == shares_.end() ? version_shares{} : known->second.current;
    shares_.erase(pool);
    if (item.is_deleted)
    {
        earlier_shares_.erase(pool);
        return;
    }
    const auto read_shares = [](const nlohmann::json& object)
    {
        version_shares shares;
        for (const auto& each : object.items())
        {
            if (each.value().get<int>() > 0)
            {
                shares[software_version(each.key())] = each.value().get<int>();
            }
        }
        return shares;
    };
    try
    {
        const nlohmann::json value = nlohmann::json::parse(item.value);
        share_history history;
        history.current = read_shares(value.at("current"));
        for (const nlohmann::json& each : value.at("before"))
        {
            history.before.push_back(read_shares(each));
        }
        if (!replaced.empty() && history.current != replaced)
        {
            earlier_shares_[pool].record_replaced(replaced, context_.loop.now());
        }
        shares_[pool] = history;
    }
    catch (const nlohmann::json::exception& error)
    {
        log_event(entry_item_unreadable, {{"what", item.key}, {"why", error.what()}});
    }
}

std::optional<software_version> stream_origins::version_for(const attempt_id& attempt,
                                                            const pool_id& pool) const
{
    const auto found = shares_.find(pool);
    if (found == shares_.end() || found->second.current.empty())
    {
        return std::nullopt;
    }
    return choose_version(found->second.current, key_of(attempt));
}

std::optional<stream_origin> stream_origins::origin_by_shares(const question& asked) const
{
    // with several pools the shares do not tell which one it was
    if (asked.pools.size() != 1 || shares_.count(asked.pools.front()) == 0)
    {
        return std::nullopt;
    }
    const pool_id& pool = asked.pools.front();
    const std::optional<software_version> version =
        shares_.at(pool).version_of(asked.stream);
    return version ? std::optional<stream_origin>({pool, *version}) : std::nullopt;
}

void stream_origins::remember(stream_key stream, const stream_origin& origin)
{
    if (streams_.size() < max_streams)
    {
        streams_.try_emplace(stream, remembered_stream{origin, context_.loop.now()});
    }
}

void stream_origins::remember(const streams_by_origin& streams)
{
    for (const auto& each : streams)
    {
        for (const stream_key stream : each.second)
        {
            remember(stream, each.first);
        }
    }
}

std::optional<stream_origin> stream_origins::recall(stream_key stream) const
{
    const auto own = own_streams_.find(stream);
    if (own != own_streams_.end())
    {
        return starts_.resolve(own->second.remembered.origin);
    }
    const auto found = streams_.find(stream);
    return found == streams_.end()
               ? std::nullopt
               : std::optional<stream_origin>(starts_.resolve(found->second.origin));
}

bool stream_origins::is_ambiguous(const pool_id& pool) const
{
    return versions_
               .origins_in(resumable_pools_.sharing_routes_with(pool),
                           context_.loop.now())
               .size() > 1;
}

bool stream_origins::is_ambiguous(const stream_origin& origin) const
{
    return read_unlisted_version(origin.version) || is_ambiguous(origin.pool);
}

void stream_origins::forget_old_streams()
{
    const steady_time oldest = context_.loop.now() - max_stream_age;
    for (auto each = streams_.begin(); each != streams_.end();)
    {
        each = each->second.at < oldest ? streams_.erase(each) : std::next(each);
    }
    for (auto each = own_streams_.begin(); each != own_streams_.end();)
    {
        const bool is_old = each->second.remembered.at < oldest;
        each = is_old ? own_streams_.erase(each) : std::next(each);
    }
}

void stream_origins::record(const attempt_id& attempt, const stream_origin& origin)
{
    const stream_key stream = key_of(attempt);
    const remembered_stream remembered{origin, context_.loop.now()};
    if (!own_streams_.try_emplace(stream, own_stream{remembered, {}}).second)
    {
        return;
    }
    unreported_.push_back(stream);
    send_reports_after(report_delay_of(origin));
}

millis stream_origins::report_delay_of(const stream_origin& origin) const
{
    // a caller whose connection breaks may come back in a few ms
    return is_ambiguous(origin) ? millis(0) : report_delay;
}

void stream_origins::send_reports_after(millis delay)
{
    const steady_time due = context_.loop.now() + delay;
    if (report_due_at_ && *report_due_at_ <= due)
    {
        return;
    }
    context_.loop.cancel(report_timer_);
    report_due_at_ = due;
    report_timer_ = context_.loop.after(delay,
                                        [this]
                                        {
                                            send_reports();
                                        });
}

void stream_origins::send_reports()
{
    context_.loop.cancel(report_timer_);
    report_due_at_.reset();
    if (unreported_.empty())
    {
        return;
    }
    const std::vector<host_id> chosen = keepers();
    const host_id& self = peers_.self().id;
    std::map<host_id, streams_by_origin> by_keeper;
    std::map<host_id, streams_by_origin> copies;
    for (const stream_key stream : std::exchange(unreported_, {}))
    {
        const auto own = own_streams_.find(stream);
        if (own == own_streams_.end())
        {
            continue;
        }
        const stream_origin& origin = own->second.remembered.origin;
        const bool is_unlisted = read_unlisted_version(origin.version).has_value();
        if (!is_unlisted && !is_resumable(origin.pool))
        {
            unreported_.push_back(stream);
            continue;
        }
        const host_id& keeper = chosen[stream.get() % chosen.size()];
        const host_id& second = chosen[(stream.get() + 1) % chosen.size()];
        own->second.keeper = keeper == self ? second : keeper;
        by_keeper[keeper][origin].push_back(stream);
        if (is_unlisted)
        {
            // hosts may differ in who the keepers are
            for (const host_id& each : chosen)
            {
                if (each != keeper)
                {
                    by_keeper[each][origin].push_back(stream);
                }
            }
        }
        else if (keeper == self && second != self)
        {
            // what this host alone knows is lost with it
            copies[second][origin].push_back(stream);
        }
    }
    for (const auto& each : by_keeper)
    {
        if (each.first == self)
        {
            keep(each.second);
        }
        else
        {
            peers_.send(each.first,
                        {{"type", "streams_begun"}, {"groups", to_json(each.second)}});
        }
    }
    for (const auto& each : copies)
    {
        peers_.send(each.first,
                    {{"type", "streams_begun"},
                     {"groups", to_json(each.second)},
                     {"copy", true}});
    }
}

void stream_origins::keep(const streams_by_origin& streams,
                          const std::function<void()>& on_saved)
{
    for (const auto& each : streams)
    {
        for (const stream_key stream : each.second)
        {
            remember(stream, each.first);
            const auto kept = streams_.find(stream);
            if (on_saved || kept == streams_.end() || is_ambiguous(each.first))
            {
                unsaved_.add(stream, each.first, on_saved);
            }
            else
            {
                kept->second.is_unsaved = true;
            }
        }
    }
    save_soon();
}

void stream_origins::save_ambiguous()
{
    std::set<pool_id> ambiguous;
    for (const pool_id& each : resumable_pools_.all())
    {
        if (is_ambiguous(each))
        {
            ambiguous.insert(each);
        }
    }
    if (ambiguous.empty())
    {
        return;
    }
    for (auto& each : streams_)
    {
        remembered_stream& kept = each.second;
        if (kept.is_unsaved && ambiguous.count(kept.origin.pool) > 0)
        {
            kept.is_unsaved = false;
            unsaved_.add(each.first, kept.origin);
        }
    }
    save_soon();
}

void stream_origins::save_soon()
{
    if (!is_saving_ && !unsaved_.empty())
    {
        is_saving_ = true;
        context_.loop.after(save_delay,
                            [this]
                            {
                                save();
                            });
    }
}

void stream_origins::save()
{
    const unsaved_streams::record record =
        unsaved_.take(std::min(max_record_bytes, context_.settings.store_value_bytes));
    const std::string key =
        absl::StrCat(context_.protocol.stream_record_prefix(),
                     absl::Hex(context_.random.next(), absl::kZeroPad16));
    store_.write_record(key,
                        to_json(record.streams).dump(),
                        max_stream_age,
                        [this, record](bool is_written)
                        {
                            handle_save_end(record, is_written);
                        });
}

void stream_origins::handle_save_end(const unsaved_streams::record& record,
                                     bool is_written)
{
    is_saving_ = false;
    log_event(entry_origins_saved,
              {{"streams", count_streams(record.streams)},
               {"written", std::int64_t{is_written}}});
    if (!is_written)
    {
        // hosts that wait for one of them give up
        keep(record.streams);
        return;
    }
    for (const auto& each : record.on_saved)
    {
        each();
    }
    save_soon();
}

void stream_origins::save_ahead(const attempt_id& attempt,
                                const stream_origin& origin,
                                std::function<void(bool)> on_saved)
{
    if (!store_.is_in_contact())
    {
        on_saved(false);
        return;
    }
    const stream_key stream = key_of(attempt);
    remember(stream, origin);
    const std::uint64_t number = ++last_save_ahead_;
    saves_ahead_[number] = std::move(on_saved);
    context_.loop.after(save_ahead_timeout,
                        [this, number]
                        {
                            end_save_ahead(number, false);
                        });
    const std::vector<host_id> chosen = keepers();
    const host_id& keeper = chosen[stream.get() % chosen.size()];
    if (keeper == peers_.self().id)
    {
        keep({{origin, {stream}}},
             [this, number]
             {
                 end_save_ahead(number, true);
             });
        return;
    }
    peers_.send(keeper,
                {{"type", "save_stream"},
                 {"number", number},
                 {"groups", to_json({{origin, {stream}}})}});
}

void stream_origins::handle_save_request(const std::shared_ptr<message_link>& from,
                                         const nlohmann::json& message)
{
    const auto number = message.at("number").get<std::uint64_t>();
    const streams_by_origin streams = read_streams(message.at("groups"));
    record_unlisted(streams);
    keep(streams,
         [link = std::weak_ptr<message_link>(from), number]
         {
             if (const auto waiting = link.lock())
             {
                 waiting->send({{"type", "stream_saved"}, {"number", number}});
             }
         });
}

void stream_origins::end_save_ahead(std::uint64_t number, bool is_saved)
{
    const auto found = saves_ahead_.find(number);
    if (found == saves_ahead_.end())
    {
        return;
    }
    const std::function<void(bool)> on_saved = std::move(found->second);
    saves_ahead_.erase(found);
    on_saved(is_saved);
}

bool stream_origins::handle_request(const std::shared_ptr<message_link>& from,
                                    const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type == "streams_begun")
    {
        const streams_by_origin streams = read_streams(message.at("groups"));
        record_unlisted(streams);
        if (message.value("copy", false))
        {
            // its sender writes them to the store
            remember(streams);
        }
        else
        {
            keep(streams);
        }
        return true;
    }
    if (type == "origin?")
    {
        answer_question(from, message);
        return true;
    }
    if (type == "save_stream")
    {
        handle_save_request(from, message);
        return true;
    }
    return false;
}

void stream_origins::handle_host_lost()
{
    host_lost_at_ = context_.loop.now();
}

void stream_origins::handle_peer_lost(const host_id& host, connection_end reason)
{
    host_lost_at_ = context_.loop.now();
    if (reason == connection_end::refused)
    {
        for (question& each : waiting_for_store_)
        {
            each.inquiry.record_refused(host);
        }
        end_answered_questions();
    }
    std::vector<std::uint64_t> answered;
    for (auto& each : questions_)
    {
        if (reason == connection_end::refused)
        {
            each.second.inquiry.record_refused(host);
        }
        if (each.second.waiting_for.erase(host) == 0)
        {
            continue;
        }
        each.second.is_keeper_missing = true;
        if (each.second.waiting_for.empty())
        {
            answered.push_back(each.first);
        }
    }
    for (const std::uint64_t each : answered)
    {
        conclude(each);
    }
    // what it had not saved is lost with it
    for (auto& each : own_streams_)
    {
        if (each.second.keeper == host)
        {
            each.second.keeper.reset();
            unreported_.push_back(each.first);
        }
    }
    send_reports_after(millis(0));
}

std::string stream_origins::item_key(const stream_origin& origin) const
{
    return absl::StrCat(context_.protocol.version_prefix(),
                        absl::WebSafeBase64Escape(origin.pool.get()),
                        "/",
                        absl::WebSafeBase64Escape(origin.version.get()));
}

std::optional<stream_origin> stream_origins::read_item_key(const std::string& key) const
{
    const std::string names = key.substr(context_.protocol.version_prefix().size());
    const std::vector<std::string> parts = absl::StrSplit(names, '/');
    std::string pool;
    std::string version;
    if (parts.size() != 2 || !absl::WebSafeBase64Unescape(parts[0], &pool) ||
        !absl::WebSafeBase64Unescape(parts[1], &version))
    {
        log_event(entry_item_unreadable,
                  {{"what", key}, {"why", "the key does not name a pool and a version"}});
        return std::nullopt;
    }
    return stream_origin{pool_id(pool), software_version(version)};
}

void stream_origins::handle_item(const store_item& item)
{
    const std::optional<stream_origin> origin = read_item_key(item.key);
    if (!origin)
    {
        return;
    }
    if (item.is_deleted)
    {
        versions_.record_removed(*origin);
    }
    else
    {
        versions_.record_stored(*origin, context_.loop.now());
    }
}

void stream_origins::handle_item_expired(const std::string& key)
{
    if (const std::optional<stream_origin> origin = read_item_key(key))
    {
        versions_.record_removed(*origin);
    }
}

} // namespace medlar
