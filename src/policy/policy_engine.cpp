#include <medlar/detail/policy/policy_engine.hpp>
#include <medlar/detail/policy/pool_shard.hpp>
#include <medlar/detail/policy/retry_budget.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace medlar
{

namespace
{

using pool_map = std::map<pool_id, std::shared_ptr<pool_shard>>;

/// @brief the engine behind policy_engine::create()
class sharded_policy_engine final : public policy_engine
{
  public:
    explicit sharded_policy_engine(const policy_settings& settings)
        : settings_(settings), gateways_(settings.gateways), seeds_(seed_of(settings))
    {
    }

    void configure(const document& content) override
    {
        auto next = std::make_shared<configuration>();
        const std::lock_guard<std::mutex> lock(configuration_mutex_);
        next->content = content;
        for (const pool& each : content.pools)
        {
            next->pools[each.name] = kept_or_new(each.name);
            next->pools[each.name]->configure(each);
            next->pools[each.name]->set_leaving(leaving_);
        }
        configuration_ = std::move(next);
    }

    void set_gateways(int gateways) override
    {
        gateways_ = std::max(1, gateways);
    }

    void set_leaving(const std::vector<target_id>& leaving) override
    {
        const std::lock_guard<std::mutex> lock(configuration_mutex_);
        leaving_ = std::set<target_id>(leaving.begin(), leaving.end());
        for (const auto& [name, shard] : configuration_->pools)
        {
            shard->set_leaving(leaving_);
        }
    }

    admission admit(std::uint64_t ticket, const arrival& what, steady_time now) override
    {
        if (now >= what.deadline)
        {
            return turned_away{reason::deadline_passed, millis(0)};
        }
        const std::lock_guard<std::mutex> lock(admission_mutex_);
        if (running_.size() >= static_cast<std::size_t>(settings_.max_requests))
        {
            return turned_away{reason::host_full, millis(100)};
        }
        running_.insert(ticket);
        return admitted{};
    }

    void finish(std::uint64_t ticket, steady_time) override
    {
        const std::lock_guard<std::mutex> lock(admission_mutex_);
        running_.erase(ticket);
    }

    bool worth_continuing(const arrival& what,
                          std::size_t next_stage,
                          steady_time now) const override
    {
        const auto current = current_configuration();
        const pipeline* of = current->content.find_pipeline(what.pipeline);
        if (of == nullptr || of->admission == admission_policy::none)
        {
            return true;
        }
        double needed_ms = 0;
        for (std::size_t i = next_stage; i < of->stages.size(); ++i)
        {
            const auto shard = current->pools.find(of->stages[i].pool);
            if (shard != current->pools.end())
            {
                needed_ms += shard->second->service_ms(of->stages[i].kind, what.size);
            }
        }
        return needed_ms <= static_cast<double>((what.deadline - now).count());
    }

    std::optional<target> choose(const stage_call& call, steady_time now) override
    {
        const auto shard = find_pool(call.pool);
        if (shard == nullptr)
        {
            return std::nullopt;
        }
        if (call.tried.empty())
        {
            const std::lock_guard<std::mutex> lock(budget_mutex_);
            budget_ = after_first_call(budget_);
        }
        return shard->choose(call, gateways_, now);
    }

    void observe(const call_observation& seen, steady_time now) override
    {
        if (const auto shard = find_pool(seen.pool))
        {
            shard->observe(seen, gateways_, now);
        }
    }

    void observe_load(const load_report& report, steady_time now) override
    {
        for (const auto& [name, shard] : current_configuration()->pools)
        {
            shard->observe_load(report, now);
        }
    }

    void observe_cache(const cache_event& change, steady_time) override
    {
        for (const auto& [name, shard] : current_configuration()->pools)
        {
            shard->observe_cache(change);
        }
    }

    bool may_retry(const pipeline& of,
                   int tries,
                   steady_time now,
                   steady_time deadline) override
    {
        retry_question asked;
        asked.policy = of.retries;
        asked.max_tries = of.max_tries;
        asked.tries = tries;
        asked.left = deadline - now;
        if (!retry_is_useful(asked))
        {
            return false;
        }
        return of.retries == retry_policy::blind || spend_budget();
    }

    std::optional<millis> hedge_after(const stage_call& call,
                                      steady_time now) const override
    {
        const auto shard = find_pool(call.pool);
        if (shard == nullptr || call.routing == routing_policy::round_robin ||
            !shard->knows(call.kind))
        {
            return std::nullopt;
        }
        const pool_load load = shard->load(gateways_, now);
        hedge_question asked;
        asked.objective = call.objective;
        asked.left = call.deadline - now;
        asked.expected_ms = shard->service_ms(call.kind, call.size);
        asked.slowness_p95 = shard->slowness_p95();
        asked.utilisation = load.slots > 0 ? load.in_system / load.slots : 1;
        asked.usable = load.usable;
        return hedge_delay(asked);
    }

    std::string describe(steady_time now) const override
    {
        nlohmann::json pools = nlohmann::json::object();
        for (const auto& [name, shard] : current_configuration()->pools)
        {
            pools[name.get()] = shard->describe(gateways_, now);
        }
        return pools.dump();
    }

  private:
    struct configuration
    {
        document content;
        pool_map pools;
    };

    static std::uint64_t seed_of(const policy_settings& settings)
    {
        return settings.seed ^ std::hash<host_id>{}(settings.self);
    }

    std::shared_ptr<pool_shard> kept_or_new(const pool_id& name)
    {
        const auto known = configuration_->pools.find(name);
        if (known != configuration_->pools.end())
        {
            return known->second;
        }
        return std::make_shared<pool_shard>(settings_.failure_domain, seeds_.next());
    }

    std::shared_ptr<const configuration> current_configuration() const
    {
        const std::lock_guard<std::mutex> lock(configuration_mutex_);
        return configuration_;
    }

    std::shared_ptr<pool_shard> find_pool(const pool_id& name) const
    {
        const auto current = current_configuration();
        const auto found = current->pools.find(name);
        return found == current->pools.end() ? nullptr : found->second;
    }

    bool spend_budget()
    {
        const std::lock_guard<std::mutex> lock(budget_mutex_);
        if (!may_spend(budget_))
        {
            return false;
        }
        budget_ = after_second_call(budget_);
        return true;
    }

    const policy_settings settings_;
    std::atomic<int> gateways_;

    mutable std::mutex configuration_mutex_;
    std::shared_ptr<const configuration> configuration_ =
        std::make_shared<configuration>();
    std::set<target_id> leaving_;
    random_source seeds_;

    std::mutex admission_mutex_;
    std::set<std::uint64_t> running_;

    std::mutex budget_mutex_;
    retry_budget budget_ = full_retry_budget();
};

} // namespace

std::unique_ptr<policy_engine> policy_engine::create(const policy_settings& settings)
{
    return std::make_unique<sharded_policy_engine>(settings);
}

} // namespace medlar
