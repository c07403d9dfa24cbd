#ifndef MEDLAR_TEST_SUPPORT_ENTRY_LIMITED_POOL_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_LIMITED_POOL_HPP

#include "support/entry/entry_group.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Entry hosts in front of targets that state how many requests a second they
/// take.
class limited_pool : public entry_group
{
  public:
    struct target
    {
        std::unique_ptr<stand_in_target> server;
        /// what its answers state as its limit; empty: nothing
        std::string limit;
        std::vector<steady_time> arrivals;
        /// refuses requests as full
        bool is_full = false;
    };

    limited_pool(int host_count, const std::vector<std::string>& limits)
    {
        for (std::size_t i = 0; i < limits.size(); ++i)
        {
            targets.push_back(std::make_unique<target>());
            target& added = *targets.back();
            added.limit = limits[i];
            added.server = std::make_unique<stand_in_target>(
                loop,
                absl::StrCat("i-", i),
                "plain",
                [this, &added](const std::shared_ptr<caller_exchange>& exchange)
                {
                    answer(added, *exchange);
                });
            store.put(added.server->key(), added.server->entry());
        }
        store.put("op/config",
                  configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
        start_hosts(host_count);
    }

    /// Sends requests to all hosts in turn for some time, without waiting for answers.
    void play(millis span, millis interval)
    {
        const steady_time end = time.steady_now() + span;
        while (time.steady_now() < end)
        {
            const entry_settings& to = all_settings.at(sent_ % all_settings.size());
            answers.push_back(
                begin(to.caller_endpoint,
                      request_text("GET", "/a/x", absl::StrCat("id-", ++sent_))));
            run_for(interval);
        }
    }

    /// Returns the largest number of requests that a target got in any window of some
    /// length that begins at @p from or later.
    static std::size_t most_arrivals(const target& which, steady_time from, millis window)
    {
        std::size_t most = 0;
        const std::vector<steady_time>& all = which.arrivals;
        for (auto first = std::lower_bound(all.begin(), all.end(), from);
             first != all.end();
             ++first)
        {
            const auto last = std::upper_bound(first, all.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
        return most;
    }

    std::vector<std::unique_ptr<target>> targets;
    std::vector<std::shared_ptr<received_answer>> answers;

  private:
    void answer(target& by, caller_exchange& exchange)
    {
        by.arrivals.push_back(time.steady_now());
        header_list headers = signed_headers(exchange);
        if (!by.limit.empty())
        {
            headers.add("Server-Limit", by.limit);
        }
        if (by.is_full)
        {
            headers.add("Not-Executed", "1");
            exchange.answer(503, headers, "");
            return;
        }
        exchange.answer(200, headers, "hello");
    }

    std::size_t sent_ = 0;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_LIMITED_POOL_HPP
