// Part of stream_origins: the search for the origin of a stream.

#include <medlar/detail/hosts/stream_messages.hpp>
#include <medlar/detail/hosts/stream_origins.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>
#include <utility>

namespace medlar
{

namespace
{

// a keeper that does not answer in this time is down or frozen
constexpr millis answer_timeout{200};

// pause after a read that the store did not answer
constexpr millis read_again_delay{200};

} // namespace

std::optional<stream_origin> stream_origins::find_here(const attempt_id& attempt) const
{
    return attempt.get().empty() ? std::nullopt : recall(key_of(attempt));
}

void stream_origins::find(const attempt_id& attempt,
                          const std::vector<pool_id>& pools,
                          millis store_wait,
                          origin_action on_found)
{
    const stream_key stream = key_of(attempt);
    if (const std::optional<stream_origin> known = find_here(attempt))
    {
        on_found({known, origin_source::memory});
        return;
    }
    const std::uint64_t number = ++last_question_;
    question& asked = questions_[number];
    asked.stream = stream;
    asked.asked_at = context_.loop.now();
    asked.store_wait = store_wait;
    asked.pools = pools;
    asked.is_named = !attempt.get().empty();
    asked.on_found = std::move(on_found);
    nlohmann::json names = nlohmann::json::array();
    for (const pool_id& each : pools)
    {
        names.push_back(each.get());
    }
    for (const host_id& each : keepers())
    {
        if (each == peers_.self().id)
        {
            continue;
        }
        const bool is_sent = peers_.send(each,
                                         {{"type", "origin?"},
                                          {"number", number},
                                          {"stream", stream.get()},
                                          {"pools", names}});
        if (is_sent)
        {
            asked.waiting_for.insert(each);
        }
        asked.is_keeper_missing = asked.is_keeper_missing || !is_sent;
    }
    context_.loop.after(asked.waiting_for.empty() ? millis(0) : answer_timeout,
                        [this, number]
                        {
                            conclude(number);
                        });
}

void stream_origins::answer_question(const std::shared_ptr<message_link>& from,
                                     const nlohmann::json& message)
{
    nlohmann::json answer{{"type", "origin"}, {"number", message.at("number")}};
    const stream_key stream(message.at("stream").get<std::uint64_t>());
    if (const std::optional<stream_origin> known = recall(stream))
    {
        answer["origin"] = medlar::to_json(*known);
    }
    std::vector<pool_id> pools;
    for (const nlohmann::json& each : message.at("pools"))
    {
        pools.emplace_back(each.get<std::string>());
    }
    nlohmann::json& possible = answer["possible"] = nlohmann::json::array();
    for (const stream_origin& each : versions_.origins_in(pools, context_.loop.now()))
    {
        possible.push_back(medlar::to_json(each));
    }
    nlohmann::json& unlisted = answer["unlisted"] = nlohmann::json::array();
    for (const stream_origin& each : starts_.unlisted_in(pools))
    {
        unlisted.push_back(medlar::to_json(each));
    }
    from->send(answer);
}

bool stream_origins::handle_answer(const host_id& from, const nlohmann::json& message)
{
    const std::string type = message.at("type").get<std::string>();
    if (type != "origin" && type != "stream_saved")
    {
        return false;
    }
    const auto number = message.at("number").get<std::uint64_t>();
    if (type == "stream_saved")
    {
        end_save_ahead(number, true);
        return true;
    }
    const auto found = questions_.find(number);
    if (found == questions_.end())
    {
        return true;
    }
    question& asked = found->second;
    std::set<stream_origin> possible;
    for (const nlohmann::json& each : message.at("possible"))
    {
        possible.insert(read_origin(each));
    }
    std::set<stream_origin> unlisted;
    // hosts of earlier builds do not send it
    for (const nlohmann::json& each : message.value("unlisted", nlohmann::json::array()))
    {
        unlisted.insert(read_origin(each));
    }
    std::optional<stream_origin> origin;
    if (message.contains("origin") && asked.is_named)
    {
        origin = read_origin(message.at("origin"));
    }
    asked.is_answered = true;
    asked.waiting_for.erase(from);
    asked.possible.merge(possible);
    asked.unlisted.merge(unlisted);
    if (origin)
    {
        remember(asked.stream, *origin);
        conclude(number);
    }
    else if (asked.waiting_for.empty())
    {
        conclude(number);
    }
    return true;
}

void stream_origins::conclude(std::uint64_t number)
{
    const auto found = questions_.find(number);
    if (found == questions_.end())
    {
        return;
    }
    const question asked = std::move(found->second);
    questions_.erase(found);
    if (const std::optional<stream_origin> known = recall(asked.stream);
        known && asked.is_named)
    {
        asked.on_found({known, origin_source::memory});
        return;
    }
    if (const std::optional<stream_origin> only = only_origin(asked))
    {
        asked.on_found({only, origin_source::single_version, evidence_for(asked)});
        return;
    }
    if (!asked.is_named)
    {
        asked.on_found({});
        return;
    }
    find_in_store(asked);
}

version_evidence stream_origins::evidence_for(const question& asked) const
{
    // a host that reaches neither the store nor a keeper may have missed a version
    if (asked.is_answered)
    {
        return version_evidence::keeper;
    }
    if (store_.is_in_contact())
    {
        return version_evidence::store_contact;
    }
    return peers_.registered_count() == 1 ? version_evidence::only_host
                                          : version_evidence::none;
}

std::optional<stream_origin> stream_origins::only_origin(const question& asked) const
{
    std::set<stream_origin> possible = asked.possible;
    for (const stream_origin& each :
         versions_.origins_in(asked.pools, context_.loop.now()))
    {
        possible.insert(each);
    }
    if (possible.size() != 1 || evidence_for(asked) == version_evidence::none)
    {
        return std::nullopt;
    }
    const bool may_be_unlisted = !starts_.unlisted_in(asked.pools).empty() ||
                                 std::any_of(asked.unlisted.begin(),
                                             asked.unlisted.end(),
                                             [this](const stream_origin& each)
                                             {
                                                 return starts_.resolve(each) == each;
                                             });
    // keepers know all streams that began at processes without a known version
    const bool is_known_to_keepers =
        asked.is_named && asked.waiting_for.empty() && !asked.is_keeper_missing;
    return may_be_unlisted && !is_known_to_keepers
               ? std::nullopt
               : std::optional<stream_origin>(*possible.begin());
}

void stream_origins::find_in_store(question asked)
{
    waiting_for_store_.push_back(std::move(asked));
    if (waiting_for_store_.size() == 1)
    {
        read_records();
    }
}

void stream_origins::read_records()
{
    store_.read_items(context_.protocol.stream_record_prefix(),
                      [this](const std::optional<std::vector<store_item>>& items)
                      {
                          handle_records(items);
                      });
}

void stream_origins::handle_records(const std::optional<std::vector<store_item>>& items)
{
    // this host may remember less than the records hold
    std::unordered_map<stream_key, origin_result> asked;
    for (const question& each : waiting_for_store_)
    {
        asked[each.stream] = {recall(each.stream), origin_source::memory};
    }
    for (const store_item& item : items.value_or(std::vector<store_item>{}))
    {
        try
        {
            for (const auto& each : read_streams(nlohmann::json::parse(item.value)))
            {
                for (const stream_key stream : each.second)
                {
                    remember(stream, each.first);
                    const auto found = asked.find(stream);
                    if (found != asked.end())
                    {
                        found->second = {starts_.resolve(each.first),
                                         origin_source::record};
                    }
                }
            }
        }
        catch (const nlohmann::json::exception& error)
        {
            log_event(entry_item_unreadable, {{"what", item.key}, {"why", error.what()}});
        }
    }
    const steady_time now = context_.loop.now();
    for (question& each : std::exchange(waiting_for_store_, {}))
    {
        origin_result found = asked.at(each.stream);
        if (!found.origin && !items && now < each.asked_at + each.store_wait)
        {
            waiting_for_store_.push_back(std::move(each));
            continue;
        }
        if (!found.origin && items)
        {
            found = {origin_by_shares(each), origin_source::shares};
        }
        each.on_found(found);
    }
    if (!waiting_for_store_.empty())
    {
        context_.loop.after(read_again_delay,
                            [this]
                            {
                                read_records();
                            });
    }
}

} // namespace medlar
