#ifndef MEDLAR_TEST_STANDINS_KV_SERVER_HPP
#define MEDLAR_TEST_STANDINS_KV_SERVER_HPP

#include "standins/shared/kv_state.hpp"
#include "standins/shared/kv_switches.hpp"

#include <medlar/detail/base/endpoint.hpp>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standins
{

/// @brief A call to the key-value service.
struct kv_call
{
    kv_call(Poco::Net::HTTPServerRequest& from, Poco::Net::HTTPServerResponse& to)
        : request(from), response(to)
    {
        const Poco::URI uri(from.getURI());
        path = uri.getPath();
        for (const auto& [name, value] : uri.getQueryParameters())
        {
            query[name] = value;
        }
        Poco::StreamCopier::copyToString(from.stream(), body);
    }

    bool has(const std::string& name) const
    {
        return query.count(name) > 0;
    }

    std::uint64_t number(const std::string& name) const
    {
        std::uint64_t value = 0;
        const auto found = query.find(name);
        return found != query.end() && absl::SimpleAtoi(found->second, &value) ? value
                                                                               : 0;
    }

    nlohmann::json parsed_body() const
    {
        nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
        return parsed.is_object() ? parsed : nlohmann::json::object();
    }

    bool is_write() const
    {
        return request.getMethod() != "GET";
    }

    Poco::Net::HTTPServerRequest& request;
    Poco::Net::HTTPServerResponse& response;
    std::string path;
    std::map<std::string, std::string> query;
    std::string body;
};

/// @brief Response to a call to the key-value service.
struct kv_answer
{
    int status = 200;
    std::string body;
    /// value of the X-Consul-Index header; 0: no header
    std::uint64_t index = 0;
};

/// @brief Stand-in for the platform's key-value service: serves Consul's HTTP protocol
/// and test paths, optionally also on a second address that never refuses connections.
class kv_server
{
  public:
    /// @param min_time_to_live shortest time to live that a new session may have
    kv_server(const medlar::endpoint& where, milliseconds min_time_to_live)
        : min_time_to_live_(min_time_to_live), where_(where)
    {
        public_ = std::make_unique<listener>(*this, where_);
        where_ = public_->where();
    }

    ~kv_server()
    {
        stopping_ = true;
        state_.wake();
        closed_listeners_.clear();
        public_.reset();
        control_.reset();
    }

    /// @brief Returns the address of the service and its test paths.
    medlar::endpoint where() const
    {
        return where_;
    }

    /// @brief Starts serving on a second address, which never refuses connections.
    /// @return the second address
    medlar::endpoint serve_control()
    {
        control_ = std::make_unique<listener>(*this, medlar::endpoint{where_.address, 0});
        return control_->where();
    }

    /// @brief Sets the fault injection switches that @p changes contains; see
    /// kv_switches.
    void set_switches(const nlohmann::json& changes)
    {
        board_.set(changes);
        state_.wake();
        const std::lock_guard<std::mutex> lock(public_mutex_);
        const kv_switches faults = board_.peek();
        const bool refuses = faults.down && faults.refuse;
        if (refuses && public_)
        {
            public_->refuse();
            closed_listeners_.push_back(std::move(public_));
        }
        else if (!refuses && !public_)
        {
            public_ = std::make_unique<listener>(*this, where_);
        }
    }

    kv_state& state()
    {
        return state_;
    }

    std::map<std::string, std::int64_t> calls() const
    {
        return board_.calls();
    }

  private:
    static constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;
    static constexpr int max_threads = 1024;

    class handler : public Poco::Net::HTTPRequestHandler
    {
      public:
        explicit handler(kv_server& owner) : owner_(owner)
        {
        }

        void handleRequest(Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response) override
        {
            kv_call call(request, response);
            owner_.serve(call);
        }

      private:
        kv_server& owner_;
    };

    class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
    {
      public:
        explicit handler_factory(kv_server& owner) : owner_(owner)
        {
        }

        Poco::Net::HTTPRequestHandler*
        createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
        {
            return new handler(owner_);
        }

      private:
        kv_server& owner_;
    };

    /// @brief HTTP server on one listening address.
    class listener
    {
      public:
        listener(kv_server& owner, const medlar::endpoint& where)
            : socket_(Poco::Net::SocketAddress(where.address, where.port))
        {
            auto params = Poco::AutoPtr<Poco::Net::HTTPServerParams>(
                new Poco::Net::HTTPServerParams());
            params->setMaxThreads(max_threads);
            params->setMaxQueued(max_threads);
            server_ = std::make_unique<Poco::Net::HTTPServer>(
                new handler_factory(owner), threads_, socket_, params);
            server_->start();
        }

        ~listener()
        {
            server_->stopAll(true);
            threads_.joinAll();
        }

        /// @brief Stops accepting connections; open ones are still served.
        void refuse()
        {
            server_->stop();
            socket_.close();
        }

        medlar::endpoint where() const
        {
            return {socket_.address().host().toString(), socket_.address().port()};
        }

      private:
        Poco::Net::ServerSocket socket_;
        Poco::ThreadPool threads_{2, max_threads};
        std::unique_ptr<Poco::Net::HTTPServer> server_;
    };

    static void reply(const kv_call& call, const kv_answer& answer)
    {
        call.response.setStatus(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        call.response.setContentType("application/json");
        if (answer.index > 0)
        {
            call.response.set("X-Consul-Index", std::to_string(answer.index));
        }
        call.response.sendBuffer(answer.body.data(), answer.body.size());
    }

    static void drop(const kv_call& call)
    {
        auto& request_impl =
            dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(call.request);
        call.response.setKeepAlive(false);
        request_impl.socket().shutdown();
    }

    void serve(kv_call& call)
    {
        if (absl::StartsWith(call.path, "/test/"))
        {
            reply(call, serve_test(call));
            return;
        }
        board_.count(call_kind(call));
        const kv_switches faults = board_.peek();
        std::this_thread::sleep_for(milliseconds(faults.delay_ms));
        if (is_down())
        {
            drop(call);
            return;
        }
        if (!board_.within_rate(call.is_write()))
        {
            reply(call, {429, "rate limit", 0});
            return;
        }
        const kv_answer answer = serve_store(call);
        if (is_down() || board_.consume_lost_reply(call.is_write()))
        {
            drop(call);
            return;
        }
        reply(call, answer);
    }

    bool is_down() const
    {
        return stopping_ || board_.peek().down;
    }

    static std::string call_kind(const kv_call& call)
    {
        if (absl::StartsWith(call.path, "/v1/session/"))
        {
            return absl::StartsWith(call.path, "/v1/session/renew/") ? "session_renew"
                                                                     : "session_create";
        }
        if (!call.is_write())
        {
            return call.has("index") ? "watch" : call.has("recurse") ? "list" : "get";
        }
        for (const char* kind : {"cas", "acquire", "release"})
        {
            if (call.has(kind))
            {
                return kind;
            }
        }
        return call.request.getMethod() == "DELETE" ? "delete" : "put";
    }

    // paths of the store

    kv_answer serve_store(const kv_call& call)
    {
        absl::string_view key = call.path;
        if (absl::ConsumePrefix(&key, "/v1/kv/"))
        {
            return call.is_write() ? write_entry(call, std::string(key))
                                   : read_entries(call, std::string(key));
        }
        if (call.path == "/v1/session/create")
        {
            return create_session(call);
        }
        if (absl::ConsumePrefix(&key, "/v1/session/renew/"))
        {
            return renew_session(std::string(key));
        }
        if (absl::ConsumePrefix(&key, "/v1/session/destroy/"))
        {
            state_.end_sessions(std::string(key));
            return {200, "true", 0};
        }
        return {404, "no such path", 0};
    }

    kv_answer read_entries(const kv_call& call, const std::string& key)
    {
        const bool recurse = call.has("recurse");
        const kv_reading reading = call.number("index") == 0
                                       ? state_.read(key, recurse)
                                       : state_.wait_and_read(key,
                                                              recurse,
                                                              call.number("index"),
                                                              max_wait(call),
                                                              [this]
                                                              {
                                                                  return is_down();
                                                              });
        nlohmann::json found = nlohmann::json::array();
        for (const auto& [name, entry] : reading.entries)
        {
            found.push_back(to_json(name, entry));
        }
        return {
            found.empty() ? 404 : 200, found.empty() ? "" : found.dump(), reading.index};
    }

    static nlohmann::json to_json(const std::string& name, const kv_entry& entry)
    {
        nlohmann::json item = {{"Key", name},
                               {"Value", absl::Base64Escape(entry.value)},
                               {"Flags", 0},
                               {"CreateIndex", entry.create_index},
                               {"ModifyIndex", entry.modify_index},
                               {"LockIndex", entry.lock_index}};
        if (!entry.session.empty())
        {
            item["Session"] = entry.session;
        }
        return item;
    }

    kv_answer write_entry(const kv_call& call, const std::string& key)
    {
        if (call.body.size() > max_value_bytes)
        {
            return {413, "value exceeds the limit", 0};
        }
        if (call.has("acquire"))
        {
            const std::optional<bool> held =
                state_.acquire(key, call.body, call.query.at("acquire"));
            return held ? kv_answer{200, *held ? "true" : "false", 0}
                        : kv_answer{500, "invalid session", 0};
        }
        if (call.has("release"))
        {
            const bool done = state_.release(key, call.body, call.query.at("release"));
            return {200, done ? "true" : "false", 0};
        }
        if (call.request.getMethod() == "DELETE")
        {
            state_.remove(key);
            return {200, "true", 0};
        }
        std::optional<std::uint64_t> expected;
        if (call.has("cas"))
        {
            expected = call.number("cas");
        }
        return {200, state_.put(key, call.body, expected) ? "true" : "false", 0};
    }

    kv_answer create_session(const kv_call& call)
    {
        const nlohmann::json options = call.parsed_body();
        const milliseconds time_to_live = parse_duration(options.value("TTL", "0s"));
        const milliseconds lock_delay = parse_duration(options.value("LockDelay", "15s"));
        if (time_to_live < min_time_to_live_)
        {
            return {400, "invalid Session TTL", 0};
        }
        const std::string id = state_.create_session(time_to_live, lock_delay);
        return {200, nlohmann::json({{"ID", id}}).dump(), 0};
    }

    kv_answer renew_session(const std::string& id)
    {
        const std::optional<milliseconds> renewed = state_.renew_session(id);
        if (!renewed)
        {
            return {404, "session not found", 0};
        }
        const nlohmann::json session = {{"ID", id},
                                        {"TTL", std::to_string(renewed->count()) + "ms"}};
        return {200, nlohmann::json::array({session}).dump(), 0};
    }

    static milliseconds max_wait(const kv_call& call)
    {
        return parse_duration(call.has("wait") ? call.query.at("wait") : "5m");
    }

    /// @brief Parses a duration such as "250ms", "10s" or "5m".
    static milliseconds parse_duration(const std::string& text)
    {
        std::size_t digits = 0;
        const std::int64_t number = text.empty() ? 0 : std::stoll(text, &digits);
        const std::string unit = text.substr(digits);
        const std::int64_t factor = unit == "m" ? 60000 : unit == "s" ? 1000 : 1;
        return milliseconds(number * factor);
    }

    // test paths

    kv_answer serve_test(const kv_call& call)
    {
        const nlohmann::json body = call.parsed_body();
        if (call.path == "/test/switches")
        {
            set_switches(body);
            return {200, nlohmann::json(board_.peek()).dump(), 0};
        }
        if (call.path == "/test/calls")
        {
            return {200, nlohmann::json(board_.calls()).dump(), 0};
        }
        if (call.path == "/test/snapshot")
        {
            return {200, nlohmann::json({{"snapshot", state_.snapshot()}}).dump(), 0};
        }
        if (call.path == "/test/restore")
        {
            const bool done = state_.restore(body.value("snapshot", std::size_t{0}));
            return {done ? 200 : 404, "{}", 0};
        }
        if (call.path == "/test/lapse")
        {
            const int ended = state_.end_sessions(body.value("session", std::string()));
            return {200, nlohmann::json({{"lapsed", ended}}).dump(), 0};
        }
        return {404, "no such path", 0};
    }

    const milliseconds min_time_to_live_;
    medlar::endpoint where_;
    std::atomic<bool> stopping_{false};
    kv_state state_;
    kv_switchboard board_;
    std::mutex public_mutex_;
    std::unique_ptr<listener> control_;
    std::unique_ptr<listener> public_;
    // listeners that no longer accept connections but still serve open ones
    std::vector<std::unique_ptr<listener>> closed_listeners_;
};

} // namespace standins

#endif // MEDLAR_TEST_STANDINS_KV_SERVER_HPP
