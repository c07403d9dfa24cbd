#ifndef MEDLAR_DETAIL_ENTRY_ENTRY_CONTEXT_HPP
#define MEDLAR_DETAIL_ENTRY_ENTRY_CONTEXT_HPP

#include <medlar/detail/dispatch/refusal_spell.hpp>
#include <medlar/detail/dispatch/repeat_budget.hpp>
#include <medlar/detail/dispatch/stage_forecast.hpp>
#include <medlar/detail/dispatch/target_table.hpp>
#include <medlar/detail/entry/entry_settings.hpp>
#include <medlar/detail/entry/protocol.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>
#include <medlar/detail/loop/event_loop.hpp>
#include <medlar/detail/loop/http_client.hpp>
#include <medlar/detail/metrics/registry.hpp>
#include <medlar/detail/policy/random_source.hpp>

#include <map>
#include <memory>

namespace medlar
{

/// @brief What the parts of an entry process share. One thread uses it.
struct entry_context
{
    entry_context(event_loop& with_loop,
                  const entry_protocol& with_protocol,
                  const entry_settings& with_settings,
                  std::uint64_t seed);

    /// @brief the budget of repeats at a pool
    repeat_budget& budget_of(const pool_id& pool);

    /// @brief expected time until an engine's first event
    millis expected_first_event(const pool_id& pool) const;

    /// @brief Notes the time until an engine's first event.
    void note_first_event(const pool_id& pool, millis took);

    /// @brief Notes the end of a call at a target that may be gone by now.
    void note_target_call(const target_id& id, call_result result);

    event_loop& loop;
    const entry_protocol& protocol;
    const entry_settings& settings;
    http_client client;
    target_table targets;
    stage_forecast forecast;
    refusal_spell spell;
    /// unset until the first configuration is known
    configuration_ptr configuration;
    std::unique_ptr<metrics_registry> metrics;
    random_source random;
    /// entry hosts that share the bounds of the whole system
    std::size_t hosts = 1;

  private:
    std::map<pool_id, repeat_budget> budgets_;
    std::map<pool_id, double> first_event_ms_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_ENTRY_CONTEXT_HPP
