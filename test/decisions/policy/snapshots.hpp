#ifndef MEDLAR_TEST_DECISIONS_POLICY_SNAPSHOTS_HPP
#define MEDLAR_TEST_DECISIONS_POLICY_SNAPSHOTS_HPP

#include <medlar/detail/config/document.hpp>
#include <medlar/detail/policy/policy_engine.hpp>
#include <medlar/detail/policy/routing.hpp>

#include <string>
#include <vector>

namespace medlar::test
{

/// @brief Returns idle targets t0, t1, ... of four slots each, alternating between two
/// failure domains.
inline routing_snapshot idle_pool(int targets)
{
    routing_snapshot pool;
    pool.local_domain = failure_domain_id("north");
    for (int i = 0; i < targets; ++i)
    {
        target_snapshot one;
        one.name = target_id("t" + std::to_string(i));
        one.failure_domain = failure_domain_id(i % 2 == 0 ? "north" : "south");
        one.slots = 4;
        one.service_ms = 100;
        pool.targets.push_back(one);
    }
    return pool;
}

/// @brief Returns a configuration with a pool "engines" of targets t0, t1, ... and a
/// pipeline "review" of one stage.
inline document engine_document(int targets)
{
    document content;
    pool engines;
    engines.name = pool_id("engines");
    for (int i = 0; i < targets; ++i)
    {
        target one;
        one.name = target_id("t" + std::to_string(i));
        one.failure_domain = failure_domain_id("north");
        engines.targets.push_back(one);
    }
    content.pools.push_back(engines);
    pipeline review;
    review.name = pipeline_id("review");
    stage draft;
    draft.name = "draft";
    draft.kind = stage_kind::generate;
    draft.pool = engines.name;
    review.stages.push_back(draft);
    content.pipelines.push_back(review);
    return content;
}

/// @brief Returns a call of that stage.
inline stage_call draft_call(steady_time deadline = steady_time(100000))
{
    stage_call call;
    call.pool = pool_id("engines");
    call.kind = stage_kind::generate;
    call.deadline = deadline;
    return call;
}

/// @brief Returns the observation of an ended call of that stage.
inline call_observation draft_end(const target_id& at,
                                  millis elapsed,
                                  call_result result = call_result::succeeded)
{
    call_observation observation;
    observation.target_name = at;
    observation.pool = pool_id("engines");
    observation.kind = stage_kind::generate;
    observation.result = result;
    observation.elapsed = elapsed;
    return observation;
}

} // namespace medlar::test

#endif // MEDLAR_TEST_DECISIONS_POLICY_SNAPSHOTS_HPP
