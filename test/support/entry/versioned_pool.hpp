#ifndef MEDLAR_TEST_SUPPORT_ENTRY_VERSIONED_POOL_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_VERSIONED_POOL_HPP

#include "platform/names.hpp"
#include "support/entry/entry_group.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Entry hosts in front of model engines of several software versions. A new
/// stream gets one event and waits; a stream that is resumed gets one more and ends.
class versioned_pool : public entry_group
{
  public:
    using exchange_ptr = std::shared_ptr<caller_exchange>;

    /// A stream that a caller has begun
    struct caller_stream
    {
        std::string attempt;
        std::shared_ptr<received_answer> answer;
        std::shared_ptr<client_call> call;
    };

    explicit versioned_pool(int host_count)
        : versioned_pool(host_count, {{"i-1", "v1"}, {"i-2", "v1"}})
    {
    }

    versioned_pool(int host_count,
                   const std::map<std::string, nlohmann::json>& versions,
                   std::size_t value_bytes = default_store_value_bytes,
                   millis timeout = millis(3000))
    {
        store.max_value_bytes = value_bytes;
        for (const auto& each : versions)
        {
            start_engine(each.first, each.second);
        }
        nlohmann::json route = route_json("/a/", "stream", "plain");
        route["timeout_ms"] = timeout.count();
        store.put("op/config", configuration_json(3, {route}));
        start_hosts(host_count);
    }

    void start_engine(const std::string& id,
                      const nlohmann::json& version,
                      std::int64_t started_ms = 5,
                      const std::string& pool = "plain")
    {
        const auto self = std::make_shared<const stand_in_target*>();
        auto engine =
            std::make_unique<stand_in_target>(loop,
                                              id,
                                              pool,
                                              [this, self](const exchange_ptr& exchange)
                                              {
                                                  answer(**self, exchange);
                                              });
        *self = engine.get();
        engine->version = version;
        engine->started_ms = started_ms;
        store.put(engine->key(), engine->entry());
        engines[id] = std::move(engine);
        pools_[id] = pool;
    }

    /// Ends an engine, and starts one of another id and version at its address.
    void restart_engine(const std::string& from,
                        const std::string& id,
                        const nlohmann::json& version)
    {
        std::unique_ptr<stand_in_target> engine = std::move(engines.at(from));
        engines.erase(from);
        store.remove(engine->key());
        engine->restart_as(id);
        engine->version = version;
        store.put(engine->key(), engine->entry());
        engines[id] = std::move(engine);
        pools_[id] = pools_.at(from);
    }

    /// Ends an engine, and starts it again under its id; its entry is as before.
    void restart_unlisted(const std::string& id, const nlohmann::json& version)
    {
        stand_in_target& engine = *engines.at(id);
        engine.version = version;
        engine.restart(engine.started_ms + 1);
    }

    /// Writes the entry of an engine that has started again.
    void list(const std::string& id)
    {
        const stand_in_target& engine = *engines.at(id);
        store.put(engine.key(), engine.entry("ready", 1));
    }

    /// Ends an engine; its streams break off.
    void stop_engine(const std::string& id)
    {
        store.remove(engines.at(id)->key());
        engines.erase(id);
    }

    /// Breaks off the oldest stream of an engine.
    void end_one_stream(const std::string& id)
    {
        const auto oldest = std::find_if(waiting_.begin(),
                                         waiting_.end(),
                                         [&](const waiting_stream& each)
                                         {
                                             return each.engine == id &&
                                                    !each.exchange->is_disconnected();
                                         });
        CPPUNIT_ASSERT(oldest != waiting_.end());
        oldest->exchange->abort();
    }

    /// Ends all engines of a version.
    void stop_version(const std::string& version)
    {
        std::vector<std::string> ids;
        for (const auto& each : engines)
        {
            if (each.second->version == version)
            {
                ids.push_back(each.first);
            }
        }
        for (const std::string& each : ids)
        {
            stop_engine(each);
        }
    }

    /// Begins a stream at a host, and waits for its first event.
    caller_stream begin_stream(std::size_t host)
    {
        caller_stream stream;
        stream.attempt = absl::StrCat("id-", ++attempts_);
        stream.answer = begin(all_settings.at(host).caller_endpoint,
                              request_text("POST", "/a/x", stream.attempt, "b"),
                              &stream.call);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return !stream.answer->body.empty() || stream.answer->ended;
            }));
        CPPUNIT_ASSERT(!stream.answer->ended);
        return stream;
    }

    std::vector<caller_stream> begin_streams(std::size_t count)
    {
        std::vector<caller_stream> streams;
        for (std::size_t i = 0; i < count; ++i)
        {
            streams.push_back(begin_stream(i % hosts.size()));
        }
        return streams;
    }

    /// Returns which host writes the shares of the versions.
    std::size_t writer_of_shares() const
    {
        std::vector<peer_host> peers;
        for (const entry_settings& each : all_settings)
        {
            peers.emplace_back();
            peers.back().id = each.host;
        }
        const host_id first =
            rank_owners({pool_id(keeper_group_name), {}}, std::move(peers)).front();
        return static_cast<std::size_t>(std::find_if(all_settings.begin(),
                                                     all_settings.end(),
                                                     [&](const entry_settings& each)
                                                     {
                                                         return each.host == first;
                                                     }) -
                                        all_settings.begin());
    }

    /// Takes a stream up after its first event.
    /// @param names_origin whether the caller says which attempt brought that event
    received_answer
    take_up(std::size_t host, caller_stream& stream, bool names_origin = true)
    {
        const auto got = begin_take_up(host, stream, names_origin);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return got->ended;
            }));
        return *got;
    }

    /// Takes a stream up, and returns without waiting for the answer.
    std::shared_ptr<received_answer>
    begin_take_up(std::size_t host, caller_stream& stream, bool names_origin = true)
    {
        stream.call->cancel();
        return begin(
            all_settings.at(host).caller_endpoint,
            request_text("POST",
                         "/a/x",
                         absl::StrCat("id-", ++attempts_),
                         "b",
                         "Last-Event-Id: 1\r\n" +
                             (names_origin ? "Resumes: " + stream.attempt + "\r\n"
                                           : std::string())));
    }

    /// Takes all streams up, at other hosts than those that began them.
    /// @return how many went on
    int take_up_all(std::vector<caller_stream>& streams)
    {
        int resumed = 0;
        for (std::size_t i = 0; i < streams.size(); ++i)
        {
            const std::size_t host = (i + 1) % hosts.size();
            resumed += take_up(host, streams[i]).status == 200 ? 1 : 0;
        }
        return resumed;
    }

    /// Kills all hosts at once, and starts them again.
    void restart_all_hosts()
    {
        kill_all_hosts();
        start_killed_hosts();
    }

    void kill_all_hosts()
    {
        for (const std::shared_ptr<running_host>& each : hosts)
        {
            kill(each);
        }
        hosts.clear();
    }

    void start_killed_hosts()
    {
        for (const entry_settings& each : all_settings)
        {
            hosts.push_back(start(each));
        }
        for (const entry_settings& each : all_settings)
        {
            CPPUNIT_ASSERT(until(
                [&]
                {
                    return is_ready(each);
                }));
        }
    }

    /// Returns how often the records in the store name a stream.
    std::size_t recorded_streams() const
    {
        std::size_t count = 0;
        for (const std::string& each :
             store.values_with_prefix(platform::stream_record_prefix))
        {
            for (const nlohmann::json& group : nlohmann::json::parse(each))
            {
                count += group.at("streams").size();
            }
        }
        return count;
    }

    /// Adds records of other streams, before those of the hosts.
    void add_records(int count, std::uint64_t streams_each)
    {
        std::uint64_t stream = 0;
        for (int i = 0; i < count; ++i)
        {
            nlohmann::json streams = nlohmann::json::array();
            for (std::uint64_t j = 0; j < streams_each; ++j)
            {
                streams.push_back(++stream);
            }
            store.put(absl::StrCat(platform::stream_record_prefix, i),
                      nlohmann::json::array(
                          {{{"pool", "plain"}, {"version", "v1"}, {"streams", streams}}})
                          .dump());
        }
    }

    std::map<std::string, std::unique_ptr<stand_in_target>> engines;
    /// the version that began a stream, by the attempt that brought its first event
    std::map<std::string, std::string> began_at;
    /// streams that went on at another version or pool
    int joined = 0;
    int resumed = 0;

  private:
    struct waiting_stream
    {
        std::string engine;
        exchange_ptr exchange;
    };

    void answer(const stand_in_target& engine, const exchange_ptr& exchange)
    {
        const header_list& asked = exchange->head().headers;
        const std::string version = engine.version.dump();
        const std::string attempt(asked.get("Attempt-Id"));
        header_list headers = signed_headers(*exchange);
        headers.add("Content-Type", "text/event-stream");
        exchange->begin(200, "OK", headers, {body_kind::chunked, 0});
        if (asked.find("Last-Event-Id") == nullptr)
        {
            began_at[attempt] = version;
            began_in_[attempt] = pools_.at(engine.id());
            exchange->write("id: 1\ndata: x\n\n");
            waiting_.push_back({engine.id(), exchange});
            return;
        }
        const std::string origin = asked.find("Resumes") == nullptr
                                       ? attempt
                                       : std::string(asked.get("Resumes"));
        const auto began = began_at.find(origin);
        // a stream that an older build has begun has no pool here
        const auto began_in = began_in_.find(origin);
        const bool is_of_other_pool =
            began_in != began_in_.end() && began_in->second != pools_.at(engine.id());
        const bool is_joined =
            began == began_at.end() || began->second != version || is_of_other_pool;
        joined += is_joined ? 1 : 0;
        ++resumed;
        exchange->write("id: 2\ndata: x\n\n");
        exchange->finish();
    }

    std::vector<waiting_stream> waiting_;
    /// by the id of an engine
    std::map<std::string, std::string> pools_;
    /// by the attempt that brought the first event of a stream
    std::map<std::string, std::string> began_in_;
    int attempts_ = 0;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_VERSIONED_POOL_HPP
