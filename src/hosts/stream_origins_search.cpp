// Part of stream_origins: the search for the origin of a stream.

#include <medlar/detail/hosts/stream_messages.hpp>
#include <medlar/detail/hosts/stream_origins.hpp>
#include <medlar/detail/log/entry_events.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <unordered_set>
#include <utility>

namespace medlar
{

namespace
{

// a keeper that does not answer in this time is down or frozen
constexpr millis answer_timeout{200};

// pause after a read that the store did not answer
constexpr millis read_again_delay{200};

// bounds the messages of hosts with resumed streams while the store is away: if all hosts
// ask all others, each gets 250 questions a second
constexpr millis min_survey_interval{200};
constexpr std::int64_t survey_interval_per_host_ms = 4;

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
        const auto kept = streams_.find(stream);
        adopt(stream, *known, {}, kept == streams_.end() || !kept->second.is_unsaved);
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
    std::vector<host_id> asked_keepers = keepers();
    asked_keepers.erase(
        std::remove(asked_keepers.begin(), asked_keepers.end(), peers_.self().id),
        asked_keepers.end());
    for (std::size_t i = 0; i < asked_keepers.size(); ++i)
    {
        // one of them calls the store, for many hosts at once
        const bool is_to_confirm = i == stream.get() % asked_keepers.size();
        const host_id& keeper = asked_keepers[i];
        const bool is_sent = peers_.send(keeper,
                                         {{"type", "origin?"},
                                          {"number", number},
                                          {"stream", stream.get()},
                                          {"pools", write_pools(pools)},
                                          {"confirm", is_to_confirm}});
        if (is_sent)
        {
            asked.waiting_for.insert(keeper);
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
    const std::vector<pool_id> pools = read_pools(message.at("pools"));
    const stream_key stream(message.at("stream").get<std::uint64_t>());
    const bool may_have_one_version =
        !recall(stream) && versions_.origins_in(pools, context_.loop.now()).size() <= 1;
    if (!message.value("confirm", false) || !may_have_one_version)
    {
        from->send(write_answer(message, false));
        return;
    }
    copy_check_.confirm(
        [this, link = std::weak_ptr<message_link>(from), message](bool is_current)
        {
            // targets may have become resumable since they were read
            update_versions();
            if (const std::shared_ptr<message_link> asking = link.lock())
            {
                asking->send(write_answer(message, is_current));
            }
        });
}

nlohmann::json stream_origins::write_answer(const nlohmann::json& message,
                                            bool is_current) const
{
    nlohmann::json answer{
        {"type", "origin"}, {"number", message.at("number")}, {"current", is_current}};
    const stream_key stream(message.at("stream").get<std::uint64_t>());
    if (const std::optional<stream_origin> known = recall(stream))
    {
        answer["origin"] = medlar::to_json(*known);
    }
    const std::vector<pool_id> pools = read_pools(message.at("pools"));
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
    return answer;
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
    const auto survey = surveys_.find(number);
    if (survey != surveys_.end())
    {
        handle_survey_answer(survey->second, from, message);
        return true;
    }
    const auto found = questions_.find(number);
    if (found == questions_.end())
    {
        return true;
    }
    question& asked = found->second;
    read_answer(message, from, asked);
    asked.waiting_for.erase(from);
    if (asked.waiting_for.empty() || is_known(asked))
    {
        conclude(number);
    }
    return true;
}

void stream_origins::read_answer(const nlohmann::json& message,
                                 const host_id& from,
                                 question& asked)
{
    host_answer answer = read_host_answer(message);
    // a host with another configuration may not know the pools
    asked.inquiry.record_answer(from, answer.is_current && !answer.possible.empty());
    asked.possible.merge(answer.possible);
    asked.unlisted.merge(answer.unlisted);
    if (answer.origin && asked.is_named)
    {
        remember(asked.stream, *answer.origin);
        asked.told_by = from;
    }
}

void stream_origins::handle_survey_answer(steady_time surveyed_at,
                                          const host_id& from,
                                          const nlohmann::json& message)
{
    for (question& each : waiting_for_store_)
    {
        if (each.asked_at <= surveyed_at)
        {
            read_answer(message, from, each);
        }
    }
    // most questions wait for the same answers; the rest is looked at after the next read
    if (!waiting_for_store_.empty() && is_known(waiting_for_store_.front()))
    {
        end_answered_questions();
    }
}

void stream_origins::end_answered_questions()
{
    for (question& each : std::exchange(waiting_for_store_, {}))
    {
        const origin_result found = search(each);
        if (found.origin)
        {
            end_question(each, found);
        }
        else
        {
            waiting_for_store_.push_back(std::move(each));
        }
    }
}

void stream_origins::end_question(const question& asked, origin_result found)
{
    if (found.origin && asked.is_named)
    {
        // a keeper that knows it may not have been waited for
        const bool is_known_elsewhere = found.source != origin_source::single_version;
        adopt(asked.stream, *found.origin, asked.told_by, is_known_elsewhere);
    }
    found.possible = possible_origins(asked).size();
    found.is_keeper_missing = asked.is_keeper_missing || !asked.waiting_for.empty();
    found.has_read_records = asked.has_read_records;
    asked.on_found(found);
}

void stream_origins::adopt(stream_key stream,
                           const stream_origin& origin,
                           const std::optional<host_id>& keeper,
                           bool is_known_elsewhere)
{
    const own_stream adopted{{origin, context_.loop.now()}, keeper};
    if (own_streams_.try_emplace(stream, adopted).second && !is_known_elsewhere)
    {
        unreported_.push_back(stream);
        send_reports_after(report_delay_of(origin));
    }
}

void stream_origins::conclude(std::uint64_t number)
{
    const auto found = questions_.find(number);
    if (found == questions_.end())
    {
        return;
    }
    question asked = std::move(found->second);
    questions_.erase(found);
    const origin_result result = search(asked);
    if (result.origin || (!asked.is_named && possible_origins(asked).size() > 1))
    {
        end_question(asked, result);
        return;
    }
    find_in_store(std::move(asked));
}

std::vector<host_id> stream_origins::other_hosts() const
{
    std::vector<host_id> others;
    for (const peer_host& each : peers_.registered_hosts())
    {
        if (each.id != peers_.self().id)
        {
            others.push_back(each.id);
        }
    }
    return others;
}

std::set<stream_origin> stream_origins::possible_origins(const question& asked) const
{
    std::set<stream_origin> possible =
        versions_.origins_in(asked.pools, context_.loop.now());
    for (const stream_origin& each : asked.possible)
    {
        // a host that was asked for several streams tells of all their pools
        if (contains(asked.pools, each.pool))
        {
            possible.insert(each);
        }
    }
    return possible;
}

origin_result stream_origins::search(const question& asked) const
{
    if (const std::optional<stream_origin> known = recall(asked.stream);
        known && asked.is_named)
    {
        return {known, origin_source::memory};
    }
    const std::set<stream_origin> possible = possible_origins(asked);
    if (possible.size() != 1)
    {
        return {};
    }
    const bool is_store_away = asked.has_store_failed || !store_.is_in_contact();
    const version_evidence evidence =
        asked.inquiry.evidence(other_hosts(), is_store_away);
    if (evidence == version_evidence::none)
    {
        return {};
    }
    const bool may_be_unlisted =
        !starts_.unlisted_in(asked.pools).empty() ||
        std::any_of(asked.unlisted.begin(),
                    asked.unlisted.end(),
                    [this, &asked](const stream_origin& each)
                    {
                        return contains(asked.pools, each.pool) &&
                               starts_.resolve(each) == each;
                    });
    // keepers know all streams that began at processes without a known version
    const bool is_known_to_keepers =
        asked.is_named && asked.waiting_for.empty() && !asked.is_keeper_missing;
    if (may_be_unlisted && !is_known_to_keepers)
    {
        return {};
    }
    return {*possible.begin(), origin_source::single_version, evidence};
}

void stream_origins::find_in_store(question asked)
{
    waiting_for_store_.push_back(std::move(asked));
    if (!store_.is_in_contact())
    {
        ask_all_hosts();
    }
    read_records_after(millis(0));
}

void stream_origins::ask_all_hosts()
{
    const steady_time now = context_.loop.now();
    if (now < next_survey_)
    {
        return;
    }
    const std::vector<host_id> others = other_hosts();
    next_survey_ = now + std::max(min_survey_interval,
                                  millis(survey_interval_per_host_ms *
                                         static_cast<std::int64_t>(others.size())));
    std::vector<pool_id> pools;
    for (const question& each : waiting_for_store_)
    {
        for (const pool_id& pool : each.pools)
        {
            if (!contains(pools, pool))
            {
                pools.push_back(pool);
            }
        }
    }
    const std::uint64_t number = ++last_question_;
    surveys_.clear();
    surveys_[number] = now;
    context_.metrics->add("medlar_version_surveys_total", {});
    for (const host_id& each : others)
    {
        // names no stream
        peers_.send(each,
                    {{"type", "origin?"},
                     {"number", number},
                     {"stream", key_of(attempt_id()).get()},
                     {"pools", write_pools(pools)},
                     {"confirm", false}});
    }
}

void stream_origins::read_records_after(millis delay)
{
    if (is_reading_records_)
    {
        return;
    }
    is_reading_records_ = true;
    context_.loop.after(delay,
                        [this]
                        {
                            read_records();
                        });
}

void stream_origins::read_records()
{
    store_.read_items(
        context_.protocol.stream_record_prefix(),
        [this, asked_at = context_.loop.now()](const std::optional<store_reading>& read)
        {
            is_reading_records_ = false;
            if (read)
            {
                handle_records(*read, asked_at);
            }
            else
            {
                handle_missing_records(asked_at);
            }
        });
}

void stream_origins::handle_missing_records(steady_time asked_at)
{
    for (question& each : waiting_for_store_)
    {
        each.has_store_failed = each.has_store_failed || each.asked_at <= asked_at;
    }
    for (question& each : std::exchange(waiting_for_store_, {}))
    {
        // all hosts may have answered already
        const origin_result found = search(each);
        if (found.origin || each.asked_at + each.store_wait <= context_.loop.now())
        {
            end_question(each, found);
        }
        else
        {
            waiting_for_store_.push_back(std::move(each));
        }
    }
    if (!waiting_for_store_.empty())
    {
        ask_all_hosts();
        read_records_after(read_again_delay);
    }
}

void stream_origins::handle_records(const store_reading& records, steady_time asked_at)
{
    std::vector<question> asked;
    for (question& each : std::exchange(waiting_for_store_, {}))
    {
        // a stream that was taken up later may have been recorded since
        (each.asked_at <= asked_at ? asked : waiting_for_store_)
            .push_back(std::move(each));
    }
    if (!waiting_for_store_.empty())
    {
        read_records_after(millis(0));
    }
    // this host may remember less than the records hold
    recorded_origins recorded;
    std::unordered_set<stream_key> wanted;
    for (const question& each : asked)
    {
        if (each.is_named)
        {
            wanted.insert(each.stream);
        }
    }
    for (const store_item& item : records.items)
    {
        try
        {
            for (const auto& each : read_streams(nlohmann::json::parse(item.value)))
            {
                for (const stream_key stream : each.second)
                {
                    remember(stream, each.first);
                    if (wanted.count(stream) > 0)
                    {
                        recorded[stream] = each.first;
                    }
                }
            }
        }
        catch (const nlohmann::json::exception& error)
        {
            log_event(entry_item_unreadable, {{"what", item.key}, {"why", error.what()}});
        }
    }
    // a version that a record names may have targets that this host has not read of yet
    copy_check_.wait_for(records.version,
                         [this, asked, recorded](bool is_current)
                         {
                             conclude_from_records(asked, recorded, is_current);
                         });
}

void stream_origins::conclude_from_records(std::vector<question> asked,
                                           const recorded_origins& recorded,
                                           bool is_current)
{
    // targets may have become resumable since they were read
    update_versions();
    for (question& each : asked)
    {
        each.has_read_records = true;
        if (is_current)
        {
            each.inquiry.record_current_copy();
        }
        const auto record = recorded.find(each.stream);
        origin_result found = search(each);
        if (found.source != origin_source::memory && record != recorded.end())
        {
            found = {starts_.resolve(record->second), origin_source::record};
        }
        else if (!found.origin && is_current && each.is_named)
        {
            const std::optional<stream_origin> by_shares = origin_by_shares(each);
            found = {by_shares, by_shares ? origin_source::shares : origin_source::none};
        }
        const bool is_over =
            is_current || each.asked_at + each.store_wait <= context_.loop.now();
        if (found.origin || is_over)
        {
            end_question(each, found);
        }
        else
        {
            waiting_for_store_.push_back(std::move(each));
        }
    }
    if (!waiting_for_store_.empty())
    {
        read_records_after(read_again_delay);
    }
}

} // namespace medlar
