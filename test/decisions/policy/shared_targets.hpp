#ifndef MEDLAR_TEST_DECISIONS_POLICY_SHARED_TARGETS_HPP
#define MEDLAR_TEST_DECISIONS_POLICY_SHARED_TARGETS_HPP

#include "decisions/policy/snapshots.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace medlar::test
{

/// @brief Policy engines of several gateways that share simulated targets, advanced in
/// steps of one millisecond. A target runs calls in the order of their arrival.
class shared_targets
{
  public:
    struct settings
    {
        int gateways = 8;
        int targets = 6;
        int slots = 4;
        millis service{100};
        /// age of a report when it is received; 0: no reports
        millis report_age{0};
        millis report_every{1000};
    };

    explicit shared_targets(const settings& configured) : settings_(configured)
    {
        for (int i = 0; i < settings_.gateways; ++i)
        {
            policy_settings engine_settings;
            engine_settings.self = host_id("g" + std::to_string(i));
            engine_settings.failure_domain = failure_domain_id("north");
            engine_settings.gateways = settings_.gateways;
            engine_settings.seed = static_cast<std::uint64_t>(i) + 1;
            engines_.push_back(policy_engine::create(engine_settings));
            engines_.back()->configure(engine_document(settings_.targets));
        }
        for (int i = 0; i < settings_.targets; ++i)
        {
            queues_[target_id("t" + std::to_string(i))];
        }
    }

    policy_engine& engine(std::size_t gateway)
    {
        return *engines_[gateway];
    }

    steady_time now() const
    {
        return now_;
    }

    /// @brief Multiplies the service time of a target's calls from now on.
    void set_slowdown(const char* name, int slowdown)
    {
        slowdowns_[target_id(name)] = slowdown;
    }

    /// @brief Places a call of one gateway.
    /// @return the chosen target
    target_id place(std::size_t gateway)
    {
        const stage_call call = draft_call(now_ + millis(100000));
        const target_id chosen_target = engines_[gateway]->choose(call, now_)->name;
        queues_[chosen_target].push_back({gateway, now_, steady_time(-1)});
        placed_[chosen_target] += 1;
        return chosen_target;
    }

    /// @brief Advances the time by one millisecond.
    void step()
    {
        now_ = now_ + millis(1);
        for (auto& [name, queue] : queues_)
        {
            run(name, queue);
            samples_[name].push_back(static_cast<std::int64_t>(queue.size()));
        }
        const bool due = now_.since_origin() % settings_.report_every.count() == 0;
        if (settings_.report_age > millis(0) && due)
        {
            report();
        }
    }

    /// @brief Returns the number of calls placed at a target since the last call of this
    /// function.
    int take_placed_count(const char* name)
    {
        const int count = placed_[target_id(name)];
        placed_[target_id(name)] = 0;
        return count;
    }

    /// @brief Returns the number of calls at a target now.
    std::int64_t in_system(const char* name) const
    {
        return static_cast<std::int64_t>(queues_.at(target_id(name)).size());
    }

  private:
    struct placed_call
    {
        std::size_t gateway;
        steady_time arrived;
        steady_time ends;
    };

    void run(const target_id& name, std::deque<placed_call>& queue)
    {
        const int slowdown = slowdowns_.count(name) != 0 ? slowdowns_[name] : 1;
        int running = 0;
        for (placed_call& each : queue)
        {
            if (running++ < settings_.slots && each.ends < steady_time(0))
            {
                each.ends = now_ + settings_.service * slowdown;
            }
        }
        const auto is_over = [this](const placed_call& each)
        {
            return each.ends >= steady_time(0) && each.ends <= now_;
        };
        for (const placed_call& each : queue)
        {
            if (is_over(each))
            {
                const millis elapsed = now_ - each.arrived;
                engines_[each.gateway]->observe(draft_end(name, elapsed), now_);
            }
        }
        queue.erase(std::remove_if(queue.begin(), queue.end(), is_over), queue.end());
    }

    void report()
    {
        const auto age = static_cast<std::size_t>(settings_.report_age.count());
        for (const auto& [name, samples] : samples_)
        {
            if (samples.size() <= age)
            {
                continue;
            }
            const std::int64_t in_system_then = samples[samples.size() - 1 - age];
            const std::int64_t running =
                std::min<std::int64_t>(in_system_then, settings_.slots);
            const load_report current{name,
                                      running,
                                      in_system_then - running,
                                      settings_.slots,
                                      settings_.report_age};
            for (const auto& each : engines_)
            {
                each->observe_load(current, now_);
            }
        }
    }

    const settings settings_;
    steady_time now_{0};
    std::vector<std::unique_ptr<policy_engine>> engines_;
    std::map<target_id, std::deque<placed_call>> queues_;
    std::map<target_id, std::vector<std::int64_t>> samples_;
    std::map<target_id, int> placed_;
    std::map<target_id, int> slowdowns_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_DECISIONS_POLICY_SHARED_TARGETS_HPP
