#include <medlar/detail/policy/admission.hpp>
#include <medlar/detail/policy/admission_shard.hpp>
#include <medlar/detail/policy/policy_engine.hpp>
#include <medlar/detail/policy/pool_shard.hpp>
#include <medlar/detail/policy/retry_budget.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
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

/// @brief implementation returned by policy_engine::create()
class sharded_policy_engine final : public policy_engine
{
  public:
    explicit sharded_policy_engine(const policy_settings& settings)
        : settings_(settings),
          gateways_(settings.gateways),
          seeds_(seed_of(settings)),
          admission_(settings.max_requests)
    {
    }

    void configure(const document& content) override
    {
        auto next = std::make_shared<configuration>();
        const std::lock_guard<std::mutex> lock(configuration_mutex_);
        next->content = content;
        for (const pool& each : content.pools)
        {
            next->pools[each.name] = existing_or_new(each.name);
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

    admission
    admit(std::uint64_t ticket, const arrival& attributes, steady_time now) override
    {
        const auto current = current_configuration();
        const pipeline* definition = current->content.find_pipeline(attributes.pipeline);
        admission_request candidate;
        candidate.ticket = ticket;
        candidate.attributes = attributes;
        candidate.policy =
            definition == nullptr ? admission_policy::none : definition->admission;
        if (definition != nullptr)
        {
            candidate.demand = demand_of(*definition, attributes.size, current->pools);
            candidate.objective = definition->objective;
        }
        if (const organisation* sender =
                current->content.find_organisation(attributes.organisation))
        {
            candidate.weight = sender->weight;
        }
        const auto estimate_pools = [&]
        {
            return estimates_of(current->pools, now);
        };
        return admission_.admit(candidate, estimate_pools, now);
    }

    void finish(std::uint64_t ticket, steady_time) override
    {
        admission_.finish(ticket);
    }

    bool worth_continuing(const arrival& attributes,
                          std::size_t next_stage,
                          steady_time now) const override
    {
        const auto current = current_configuration();
        const pipeline* definition = current->content.find_pipeline(attributes.pipeline);
        if (definition == nullptr || definition->admission == admission_policy::none)
        {
            return true;
        }
        const request_demand demand =
            demand_of(*definition, attributes.size, current->pools);
        const double expected =
            expected_span_ms(demand, estimates_of(current->pools, now), next_stage);
        const auto remaining = static_cast<double>((attributes.deadline - now).count());
        return is_worth_continuing(expected,
                                   service_span_ms(demand, next_stage),
                                   remaining,
                                   definition->objective);
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

    void observe(const call_observation& observation, steady_time now) override
    {
        if (const auto shard = find_pool(observation.pool))
        {
            shard->observe(observation, gateways_, now);
        }
        if (observation.result == call_result::succeeded)
        {
            admission_.stage_succeeded(observation);
        }
    }

    void observe_load(const load_report& report, steady_time now) override
    {
        const auto current = current_configuration();
        for (const auto& [name, shard] : current->pools)
        {
            shard->observe_load(report, now);
        }
    }

    void observe_cache(const cache_event& change, steady_time) override
    {
        const auto current = current_configuration();
        for (const auto& [name, shard] : current->pools)
        {
            shard->observe_cache(change);
        }
    }

    bool may_retry(const pipeline& definition,
                   int tries,
                   steady_time now,
                   steady_time deadline) override
    {
        retry_input input;
        input.policy = definition.retries;
        input.max_tries = definition.max_tries;
        input.tries = tries;
        input.remaining = deadline - now;
        if (!retry_is_useful(input))
        {
            return false;
        }
        return definition.retries == retry_policy::blind || spend_budget(now);
    }

    std::optional<millis> hedge_after(const stage_call& call,
                                      steady_time now) const override
    {
        const auto shard = find_pool(call.pool);
        if (shard == nullptr || call.routing == routing_policy::round_robin ||
            !shard->has_samples(call.kind) || !budget_allows())
        {
            return std::nullopt;
        }
        const pool_load load = shard->load(gateways_, now);
        hedge_input input;
        input.objective = call.objective;
        input.remaining = call.deadline - now;
        input.expected_ms = shard->service_ms(call.kind, call.size);
        input.slowness_p95 = shard->slowness_p95();
        input.utilisation = load.slots > 0 ? load.in_system / load.slots : 1;
        input.usable_targets = load.usable_targets;
        return hedge_delay(input);
    }

    std::string describe(steady_time now) const override
    {
        nlohmann::json pools = nlohmann::json::object();
        const auto current = current_configuration();
        for (const auto& [name, shard] : current->pools)
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

    request_demand demand_of(const pipeline& definition,
                             const request_size& size,
                             const pool_map& pools) const
    {
        request_demand demand;
        for (std::size_t i = 0; i < definition.stages.size(); ++i)
        {
            const stage& each = definition.stages[i];
            const auto learned =
                admission_.service_ms(definition.name, i, size_at(each, size));
            const auto shard = pools.find(each.pool);
            stage_demand next;
            next.pool = each.pool;
            next.after = stage_indexes(definition, each.after);
            if (learned)
            {
                next.service_ms = *learned;
            }
            else if (shard != pools.end())
            {
                next.service_ms = shard->second->mean_service_ms();
            }
            demand.stages.push_back(std::move(next));
        }
        return demand;
    }

    static std::vector<std::size_t> stage_indexes(const pipeline& definition,
                                                  const std::vector<std::string>& names)
    {
        std::vector<std::size_t> indexes;
        for (std::size_t i = 0; i < definition.stages.size(); ++i)
        {
            if (std::count(names.begin(), names.end(), definition.stages[i].name) != 0)
            {
                indexes.push_back(i);
            }
        }
        return indexes;
    }

    /// @brief Returns the size of a request with the token limit of a stage applied.
    static request_size size_at(const stage& step, const request_size& size)
    {
        request_size bounded_size = size;
        const bool bounded = step.max_tokens.get() > 0;
        if (bounded && (size.max_tokens.get() == 0 || step.max_tokens < size.max_tokens))
        {
            bounded_size.max_tokens = step.max_tokens;
        }
        return bounded_size;
    }

    pool_estimates estimates_of(const pool_map& pools, steady_time now) const
    {
        const int gateways = gateways_;
        pool_estimates estimates;
        for (const auto& [name, shard] : pools)
        {
            estimates[name] = pool_estimate{shard->load(gateways, now), 0, gateways};
        }
        return estimates;
    }

    static std::uint64_t seed_of(const policy_settings& settings)
    {
        return settings.seed ^ std::hash<host_id>{}(settings.self);
    }

    std::shared_ptr<pool_shard> existing_or_new(const pool_id& name)
    {
        const auto existing = configuration_->pools.find(name);
        if (existing != configuration_->pools.end())
        {
            return existing->second;
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

    bool budget_allows() const
    {
        const std::lock_guard<std::mutex> lock(budget_mutex_);
        return may_spend(budget_);
    }

    bool spend_budget(steady_time now)
    {
        const std::lock_guard<std::mutex> lock(budget_mutex_);
        budget_ = after_elapsed(budget_, now - budget_updated_at_);
        budget_updated_at_ = now;
        if (!may_spend(budget_))
        {
            return false;
        }
        budget_ = after_extra_call(budget_);
        return true;
    }

    const policy_settings settings_;
    std::atomic<int> gateways_;

    mutable std::mutex configuration_mutex_;
    std::shared_ptr<const configuration> configuration_ =
        std::make_shared<configuration>();
    std::set<target_id> leaving_;
    random_source seeds_;

    admission_shard admission_;

    mutable std::mutex budget_mutex_;
    retry_budget budget_ = initial_retry_budget();
    steady_time budget_updated_at_;
};

} // namespace

std::unique_ptr<policy_engine> policy_engine::create(const policy_settings& settings)
{
    return std::make_unique<sharded_policy_engine>(settings);
}

} // namespace medlar
