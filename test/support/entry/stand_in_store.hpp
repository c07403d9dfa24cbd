#ifndef MEDLAR_TEST_SUPPORT_ENTRY_STAND_IN_STORE_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_STAND_IN_STORE_HPP

#include <medlar/detail/loop/http_server.hpp>

#include <Poco/URI.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief A stand-in for the users' metadata store with the calls that an entry host
/// uses: ranges, watches, leases and transactions. Runs on a test's event loop.
class stand_in_store
{
  public:
    stand_in_store(event_loop& loop, const endpoint& where) : loop_(loop)
    {
        server_ = listen(where,
                         [this](const std::shared_ptr<caller_exchange>& exchange)
                         {
                             serve(exchange);
                         });
    }

    /// Serves at a second address too, whose hosts can be cut off from the store.
    void add_address(const endpoint& where)
    {
        second_server_ = listen(where,
                                [this](const std::shared_ptr<caller_exchange>& exchange)
                                {
                                    second_exchanges_.push_back(exchange);
                                    if (is_second_cut_)
                                    {
                                        exchange->abort();
                                        return;
                                    }
                                    serve(exchange);
                                });
    }

    /// Cuts off the hosts that use the second address, or ends the cut.
    void set_second_cut(bool cut)
    {
        is_second_cut_ = cut;
        for (const std::weak_ptr<caller_exchange>& each : second_exchanges_)
        {
            const std::shared_ptr<caller_exchange> open = each.lock();
            if (open && !open->is_disconnected())
            {
                drop_watch(open);
                open->abort();
            }
        }
        second_exchanges_.clear();
    }

    void put(const std::string& key, const std::string& value)
    {
        items_[key] = {value, ++revision_};
        if (withheld_prefix && absl::StartsWith(key, *withheld_prefix))
        {
            return;
        }
        changes_.push_back({{"key", key},
                            {"revision", revision_},
                            {"create_revision", revision_},
                            {"lease", 0},
                            {"value", absl::Base64Escape(value)}});
        answer_watches();
    }

    void remove(const std::string& key)
    {
        items_.erase(key);
        changes_.push_back({{"key", key}, {"revision", ++revision_}, {"deleted", true}});
        answer_watches();
    }

    /// While down, answers 503 to every call; aborts pending watches in any case.
    void set_down(bool down)
    {
        down_ = down;
        for (const watch& each : watches_)
        {
            each.exchange->abort();
        }
        watches_.clear();
    }

    bool is_down() const
    {
        return down_;
    }

    /// Lets watches wait without their events, or answers them again. All other calls are
    /// answered as before.
    void hold_watches(bool held)
    {
        is_holding_watches_ = held;
        answer_watches();
    }

    /// Drops the history: watches from older revisions are answered with 410, as are
    /// those from revisions that the store does not have.
    void compact()
    {
        first_kept_revision_ = revision_ + 1;
        changes_.clear();
    }

    /// Keeps a copy of the items, from which the store can return.
    void save_copy()
    {
        copied_items_ = items_;
        copied_revision_ = revision_;
    }

    /// Returns from the copy: revisions go back, and the era rises by one. Leases made
    /// since the copy are unknown, and older watches get 410.
    void return_from_copy()
    {
        set_down(true);
        items_ = copied_items_;
        revision_ = copied_revision_;
        compact();
        ++era_;
        ++first_lease_;
        set_down(false);
    }

    /// sets the text of the header that states the era; empty leaves it out
    void state_era(const std::string& text)
    {
        stated_era_ = text;
    }

    void remove_prefix(const std::string& prefix)
    {
        while (has_key_with_prefix(prefix))
        {
            items_.erase(items_.lower_bound(prefix));
        }
    }

    std::size_t count_with_prefix(const std::string& prefix) const
    {
        return static_cast<std::size_t>(std::count_if(items_.begin(),
                                                      items_.end(),
                                                      [&](const auto& each)
                                                      {
                                                          return absl::StartsWith(
                                                              each.first, prefix);
                                                      }));
    }

    std::vector<std::string> values_with_prefix(const std::string& prefix) const
    {
        std::vector<std::string> values;
        for (auto each = items_.lower_bound(prefix);
             each != items_.end() && absl::StartsWith(each->first, prefix);
             ++each)
        {
            values.push_back(each->second.value);
        }
        return values;
    }

    std::size_t waiting_watches() const
    {
        return watches_.size();
    }

    /// larger values are refused
    std::size_t max_value_bytes = default_store_value_bytes;

    /// what is put below it reaches no watch, as if it came just after each of them
    std::optional<std::string> withheld_prefix;

    /// ranges below it are refused at the second address
    std::optional<std::string> refused_prefix;

    /// number of calls received, renewals of leases left out
    std::size_t calls = 0;

    /// replaces a value that a host writes, such as the address at which peers reach it
    std::function<std::string(const std::string& key, const std::string& value)> rewrite;

    /// replaces a value for the hosts that use the second address
    std::function<std::string(const std::string& key, const std::string& value)>
        second_view;

    bool has_key_with_prefix(const std::string& prefix) const
    {
        const auto found = items_.lower_bound(prefix);
        return found != items_.end() && absl::StartsWith(found->first, prefix);
    }

  private:
    std::unique_ptr<http_server> listen(const endpoint& where,
                                        http_server::request_action on_request)
    {
        auto server = http_server::listen(loop_, where, limits_, std::move(on_request));
        CPPUNIT_ASSERT_MESSAGE(server.status().ToString(), server.ok());
        return *std::move(server);
    }

    struct stored
    {
        std::string value;
        std::int64_t revision = 0;
    };

    struct watch
    {
        std::shared_ptr<caller_exchange> exchange;
        std::int64_t after = 0;
    };

    bool uses_second_address(const caller_exchange& exchange) const
    {
        return std::any_of(second_exchanges_.begin(),
                           second_exchanges_.end(),
                           [&](const std::weak_ptr<caller_exchange>& each)
                           {
                               return each.lock().get() == &exchange;
                           });
    }

    /// returns an item or a change as the caller is to see it
    nlohmann::json view(const caller_exchange& exchange, nlohmann::json item) const
    {
        if (second_view && item.contains("value") && uses_second_address(exchange))
        {
            std::string value;
            absl::Base64Unescape(item["value"].get<std::string>(), &value);
            item["value"] = absl::Base64Escape(second_view(item["key"], value));
        }
        return item;
    }

    void
    reply(caller_exchange& exchange, int status, const nlohmann::json& body = {}) const
    {
        header_list headers;
        headers.add("Content-Type", "application/json");
        const std::string era = stated_era_.value_or(std::to_string(era_));
        if (!era.empty())
        {
            headers.add("Store-Era", era);
        }
        exchange.answer(status, headers, body.dump());
    }

    static std::map<std::string, std::string> query_of(const caller_exchange& exchange)
    {
        std::map<std::string, std::string> query;
        for (const auto& each : Poco::URI(exchange.head().target).getQueryParameters())
        {
            query[each.first] = each.second;
        }
        return query;
    }

    void serve(const std::shared_ptr<caller_exchange>& exchange)
    {
        if (down_)
        {
            reply(*exchange, 503);
            return;
        }
        const std::string path(exchange->head().path());
        const bool is_renewal = absl::StartsWith(path, "/-/kv-keep/");
        calls += is_renewal ? 0 : 1;
        if (path == "/-/kv-range")
        {
            range(*exchange);
        }
        else if (path == "/-/kv-watch")
        {
            start_watch(exchange);
        }
        else if (path == "/-/kv-lease")
        {
            reply(*exchange, 200, {{"lease", first_lease_}, {"ttl_ms", 5000}});
        }
        else if (path == "/-/kv-txn")
        {
            const nlohmann::json change = nlohmann::json::parse(exchange->body());
            for (const nlohmann::json& each : change.at("puts"))
            {
                std::string value;
                absl::Base64Unescape(each["value"].get<std::string>(), &value);
                if (value.size() > max_value_bytes)
                {
                    reply(*exchange, 413);
                    return;
                }
                put(each["key"], rewrite ? rewrite(each["key"], value) : value);
            }
            for (const nlohmann::json& each : change.at("remove"))
            {
                if (items_.count(each.get<std::string>()) > 0)
                {
                    remove(each);
                }
            }
            reply(*exchange, 200, {{"revision", revision_}});
        }
        else
        {
            const bool is_known = path == "/-/kv-keep/" + std::to_string(first_lease_);
            reply(*exchange, is_known ? 200 : 404, {{"ttl_ms", 5000}});
        }
    }

    void range(caller_exchange& exchange)
    {
        const std::string prefix = query_of(exchange)["prefix"];
        if (refused_prefix == prefix && uses_second_address(exchange))
        {
            reply(exchange, 503);
            return;
        }
        nlohmann::json items = nlohmann::json::array();
        for (auto each = items_.lower_bound(prefix);
             each != items_.end() && absl::StartsWith(each->first, prefix);
             ++each)
        {
            items.push_back(view(exchange,
                                 {{"key", each->first},
                                  {"value", absl::Base64Escape(each->second.value)},
                                  {"revision", each->second.revision},
                                  {"create_revision", each->second.revision},
                                  {"lease", 0}}));
        }
        reply(exchange,
              200,
              {{"items", items}, {"more_pages", false}, {"store_revision", revision_}});
    }

    void start_watch(const std::shared_ptr<caller_exchange>& exchange)
    {
        watch added{exchange, std::stoll(query_of(*exchange)["after"])};
        if (added.after < first_kept_revision_ - 1 || added.after > revision_)
        {
            reply(*exchange, 410);
            return;
        }
        if (send_events(added))
        {
            return;
        }
        watches_.push_back(added);
        exchange->set_disconnect_handler(
            [this, left = std::weak_ptr<caller_exchange>(exchange)]
            {
                drop_watch(left.lock());
            });
        const millis wait(std::stoll(query_of(*exchange)["wait_ms"]));
        loop_.after(wait,
                    [this,
                     after = added.after,
                     waiting = std::weak_ptr<caller_exchange>(exchange)]
                    {
                        const std::shared_ptr<caller_exchange> ended = waiting.lock();
                        const std::int64_t reached =
                            is_holding_watches_ ? after : revision_;
                        if (drop_watch(ended))
                        {
                            reply(*ended,
                                  200,
                                  {{"events", nlohmann::json::array()},
                                   {"store_revision", reached}});
                        }
                    });
    }

    /// @return whether the watch was waiting
    bool drop_watch(const std::shared_ptr<caller_exchange>& exchange)
    {
        const auto found = std::find_if(watches_.begin(),
                                        watches_.end(),
                                        [&](const watch& each)
                                        {
                                            return each.exchange == exchange;
                                        });
        if (found == watches_.end())
        {
            return false;
        }
        watches_.erase(found);
        return true;
    }

    /// @return false if there is no change after the watch's revision
    bool send_events(const watch& to)
    {
        if (is_holding_watches_)
        {
            return false;
        }
        nlohmann::json events = nlohmann::json::array();
        for (const nlohmann::json& each : changes_)
        {
            if (each["revision"].get<std::int64_t>() > to.after)
            {
                events.push_back(view(*to.exchange, each));
            }
        }
        if (events.empty())
        {
            return false;
        }
        reply(*to.exchange, 200, {{"events", events}, {"store_revision", revision_}});
        return true;
    }

    void answer_watches()
    {
        std::vector<watch> unanswered;
        for (const watch& each : watches_)
        {
            if (!send_events(each))
            {
                unanswered.push_back(each);
            }
        }
        watches_ = std::move(unanswered);
    }

    event_loop& loop_;
    server_limits limits_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<http_server> second_server_;
    std::vector<std::weak_ptr<caller_exchange>> second_exchanges_;
    bool is_second_cut_ = false;
    std::map<std::string, stored> items_;
    std::vector<nlohmann::json> changes_;
    std::vector<watch> watches_;
    std::int64_t revision_ = 10;
    std::int64_t first_kept_revision_ = 0;
    std::map<std::string, stored> copied_items_;
    std::int64_t copied_revision_ = 0;
    std::int64_t era_ = 1;
    std::optional<std::string> stated_era_;
    /// leases have one id for each era
    std::int64_t first_lease_ = 77;
    bool down_ = false;
    bool is_holding_watches_ = false;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_STAND_IN_STORE_HPP
