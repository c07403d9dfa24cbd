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

/// @brief the engine behind policy_engine::create()
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
        const auto current = current_configuration();
        const pipeline* of = current->content.find_pipeline(what.pipeline);
        admission_request request;
        request.ticket = ticket;
        request.what = what;
        request.policy = of == nullptr ? admission_policy::none : of->admission;
        if (of != nullptr)
        {
            request.need = need_of(*of, what.size, current->pools);
            request.objective = of->objective;
        }
        if (const organisation* asking =
                current->content.find_organisation(what.organisation))
        {
            request.weight = asking->weight;
        }
        const auto read = [&]
        {
            return outlooks(current->pools, now);
        };
        return admission_.admit(request, read, now);
    }

    void finish(std::uint64_t ticket, steady_time) override
    {
        admission_.finish(ticket);
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
        const request_need need = need_of(*of, what.size, current->pools);
        const double expected =
            expected_span_ms(need, outlooks(current->pools, now), next_stage);
        const auto left = static_cast<double>((what.deadline - now).count());
        return is_worth_continuing(
            expected, bare_span_ms(need, next_stage), left, of->objective);
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
        if (seen.result == call_result::succeeded)
        {
            admission_.stage_succeeded(seen);
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
        return of.retries == retry_policy::blind || spend_budget(now);
    }

    std::optional<millis> hedge_after(const stage_call& call,
                                      steady_time now) const override
    {
        const auto shard = find_pool(call.pool);
        if (shard == nullptr || call.routing == routing_policy::round_robin ||
            !shard->knows(call.kind) || !budget_allows())
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

    request_need
    need_of(const pipeline& of, const request_size& size, const pool_map& pools) const
    {
        request_need need;
        for (std::size_t i = 0; i < of.stages.size(); ++i)
        {
            const stage& each = of.stages[i];
            const auto seen = admission_.service_ms(of.name, i, size_at(each, size));
            const auto shard = pools.find(each.pool);
            stage_need next;
            next.pool = each.pool;
            next.after = places_of(of, each.after);
            if (seen)
            {
                next.service_ms = *seen;
            }
            else if (shard != pools.end())
            {
                next.service_ms = shard->second->mean_service_ms();
            }
            need.stages.push_back(std::move(next));
        }
        return need;
    }

    static std::vector<std::size_t> places_of(const pipeline& of,
                                              const std::vector<std::string>& names)
    {
        std::vector<std::size_t> places;
        for (std::size_t i = 0; i < of.stages.size(); ++i)
        {
            if (std::count(names.begin(), names.end(), of.stages[i].name) != 0)
            {
                places.push_back(i);
            }
        }
        return places;
    }

    /// @brief the size of a request as one stage bounds it
    static request_size size_at(const stage& of, const request_size& size)
    {
        request_size out = size;
        const bool bounded = of.max_tokens.get() > 0;
        if (bounded && (size.max_tokens.get() == 0 || of.max_tokens < size.max_tokens))
        {
            out.max_tokens = of.max_tokens;
        }
        return out;
    }

    pool_outlooks outlooks(const pool_map& pools, steady_time now) const
    {
        const int gateways = gateways_;
        pool_outlooks all;
        for (const auto& [name, shard] : pools)
        {
            all[name] = pool_outlook{shard->load(gateways, now), 0, gateways};
        }
        return all;
    }

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

    bool budget_allows() const
    {
        const std::lock_guard<std::mutex> lock(budget_mutex_);
        return may_spend(budget_);
    }

    bool spend_budget(steady_time now)
    {
        const std::lock_guard<std::mutex> lock(budget_mutex_);
        budget_ = after_time(budget_, now - budget_at_);
        budget_at_ = now;
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

    admission_shard admission_;

    mutable std::mutex budget_mutex_;
    retry_budget budget_ = full_retry_budget();
    steady_time budget_at_;
};

} // namespace

std::unique_ptr<policy_engine> policy_engine::create(const policy_settings& settings)
{
    return std::make_unique<sharded_policy_engine>(settings);
}

} // namespace medlar
