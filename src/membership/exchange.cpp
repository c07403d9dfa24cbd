#include <medlar/detail/log/membership_events.hpp>
#include <medlar/detail/membership/claim_sender.hpp>
#include <medlar/detail/membership/exchange.hpp>
#include <medlar/detail/membership/exchange_core.hpp>
#include <medlar/detail/membership/lease_renewer.hpp>
#include <medlar/detail/membership/message_handler.hpp>
#include <medlar/detail/membership/request_placer.hpp>
#include <medlar/detail/membership/view_manager.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace medlar
{

namespace
{

constexpr std::chrono::milliseconds tick{50};
constexpr std::int64_t ticks_per_cleanup = 20;
constexpr millis leave_check_interval{20};

/// @brief passes the targets that get no new work to its listeners
class leaving_announcer
{
  public:
    explicit leaving_announcer(const leaving_targets& targets) : targets_(targets)
    {
    }

    void add(std::function<void(const std::vector<target_id>&)> listener)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        listener(targets_.all());
        listeners_.push_back(std::move(listener));
    }

    void announce()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const std::vector<target_id> all = targets_.all();
        for (const auto& each : listeners_)
        {
            each(all);
        }
    }

  private:
    const leaving_targets& targets_;
    std::mutex mutex_;
    std::vector<std::function<void(const std::vector<target_id>&)>> listeners_;
};

/// @brief the exchange over the links between gateways
class link_exchange : public exchange
{
  public:
    link_exchange(const exchange_settings& settings,
                  clock& time,
                  claim_table& claims,
                  link_client& links)
        : core_(settings, time, claims, links),
          announcer_(core_.leaving),
          sender_(core_),
          views_(core_, sender_),
          renewer_(core_, views_, announce()),
          handler_(core_, views_, renewer_, announce()),
          placer_(core_),
          ticker_(
              [this]
              {
                  run_ticks();
              })
    {
    }

    ~link_exchange() override
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
        }
        ended_.notify_all();
        ticker_.join();
    }

    placement place(const owned_request& request) override
    {
        return placer_.place(request);
    }

    void finish(const request_key& key, const final_answer& answer) override
    {
        core_.claims.finish(key, answer);
        core_.runs.end(key, answer);
        sender_.finished(key);
    }

    void withdraw(const request_key& key, const outcome& refusal) override
    {
        core_.claims.withdraw(key);
        core_.runs.end(key, final_answer{refusal, "", ""});
        sender_.withdrawn(key);
    }

    std::optional<final_answer> wait_for_answer(const request_key& key,
                                                steady_time until) override
    {
        const auto answer = core_.runs.wait(key, core_.time, until);
        if (answer)
        {
            return answer;
        }
        const std::optional<claim> held = core_.claims.find(key);
        if (held)
        {
            return held->answer;
        }
        return withdrawn_answer();
    }

    std::shared_ptr<const accepted_document> configuration() const override
    {
        return core_.configuration.current();
    }

    void on_configuration(std::function<void(const accepted_document&)> listener) override
    {
        core_.configuration.add_listener(std::move(listener));
    }

    void on_leaving(std::function<void(const std::vector<target_id>&)> listener) override
    {
        announcer_.add(std::move(listener));
    }

    void report_leaving_target(const target_id& target) override
    {
        if (core_.leaving.record_refusal(target, core_.time.steady_now()))
        {
            announcer_.announce();
            renewer_.renew_now();
        }
    }

    std::optional<int> handle(const link_request& request,
                              link_responder& responder) override
    {
        return handler_.handle(request, responder);
    }

    std::vector<view_member> peers() const override
    {
        std::vector<view_member> all = core_.owner.read(
            [](const ownership& state)
            {
                return state.adopted() == nullptr ? std::vector<view_member>()
                                                  : state.adopted()->members;
            });
        for (const view_member& each : core_.peers.known(core_.time.steady_now()))
        {
            const auto same = [&each](const view_member& one)
            {
                return one.process == each.process;
            };
            if (std::none_of(all.begin(), all.end(), same))
            {
                all.push_back(each);
            }
        }
        const auto own = [this](const view_member& one)
        {
            return one.process == core_.self();
        };
        all.erase(std::remove_if(all.begin(), all.end(), own), all.end());
        return all;
    }

    exchange_status status() const override
    {
        return core_.status();
    }

    bool leave(steady_time until) override
    {
        log_event(leave_started, {});
        core_.leaving_self.store(true);
        renewer_.renew_now();
        bool over = false;
        bool handed_over = false;
        while (!over && core_.time.steady_now() < until)
        {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(leave_check_interval.count()));
            const bool quiet = core_.runs.size() == 0 && sender_.idle();
            handed_over = quiet && has_left();
            over = handed_over || (quiet && !has_successor());
        }
        log_event(leave_ended, {{"handed_over", handed_over ? "yes" : "no"}});
        return handed_over;
    }

    void stop() override
    {
        core_.stopped.store(true);
    }

  private:
    std::function<void()> announce()
    {
        return [this]
        {
            announcer_.announce();
        };
    }

    static std::optional<final_answer> withdrawn_answer()
    {
        outcome refusal;
        refusal.kind = outcome_kind::not_run;
        refusal.why = reason::home_changed;
        refusal.message = "the attempt that it waited for was withdrawn";
        refusal.retry_after = millis(0);
        return final_answer{refusal, "", ""};
    }

    bool has_left() const
    {
        return core_.owner.read(
            [](const ownership& state)
            {
                const bool newest_adopted =
                    state.newest() == nullptr ||
                    (state.adopted() != nullptr &&
                     state.adopted()->epoch == state.newest()->current.epoch);
                return newest_adopted && !state.is_member();
            });
    }

    /// @return whether another process responds that is not leaving
    bool has_successor() const
    {
        const steady_time now = core_.time.steady_now();
        const std::vector<incarnation> leaving = core_.peers.leaving(now);
        const std::vector<view_member> known = core_.peers.known(now);
        return std::any_of(known.begin(),
                           known.end(),
                           [&leaving](const view_member& each)
                           {
                               return std::find(leaving.begin(),
                                                leaving.end(),
                                                each.process) == leaving.end();
                           });
    }

    void run_ticks()
    {
        view_epoch adopted{0};
        for (std::int64_t count = 0; wait_tick(); ++count)
        {
            views_.step();
            const view_epoch present = core_.adopted_epoch();
            if (present != adopted)
            {
                adopted = present;
                renewer_.renew_now();
            }
            if (count % ticks_per_cleanup == 0)
            {
                clean_up();
            }
        }
    }

    void clean_up()
    {
        const steady_time now = core_.time.steady_now();
        core_.claims.expire(core_.time.wall_now());
        core_.peers.forget_silent(now);
        if (core_.leaving.expire(now))
        {
            announcer_.announce();
        }
    }

    bool wait_tick()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        return !ended_.wait_for(lock,
                                tick,
                                [this]
                                {
                                    return stopping_;
                                });
    }

    exchange_core core_;
    leaving_announcer announcer_;
    claim_sender sender_;
    view_manager views_;
    lease_renewer renewer_;
    message_handler handler_;
    request_placer placer_;
    std::mutex mutex_;
    std::condition_variable ended_;
    bool stopping_ = false;
    std::thread ticker_;
};

} // namespace

std::unique_ptr<exchange> exchange::create(const exchange_settings& settings,
                                           clock& time,
                                           claim_table& claims,
                                           link_client& links)
{
    return std::make_unique<link_exchange>(settings, time, claims, links);
}

} // namespace medlar
