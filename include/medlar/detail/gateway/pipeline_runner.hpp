#ifndef MEDLAR_DETAIL_GATEWAY_PIPELINE_RUNNER_HPP
#define MEDLAR_DETAIL_GATEWAY_PIPELINE_RUNNER_HPP

#include <medlar/detail/gateway/stage_runner.hpp>
#include <medlar/detail/ownership/claim_table.hpp>
#include <medlar/detail/policy/policy_engine.hpp>
#include <medlar/detail/request/stage_plan.hpp>

#include <memory>

namespace medlar
{

/// @brief The answer of a run.
struct run_result
{
    final_answer answer;
    /// whether a later attempt of the same request may run
    bool may_run_again = true;
};

/// @brief Runs the stages of a pipeline in the order of their dependencies; independent
/// stages run in parallel.
class pipeline_runner
{
  public:
    static std::unique_ptr<pipeline_runner> create(const clock& time,
                                                   const stage_runner& stages,
                                                   const policy_engine& policy,
                                                   const host_id& self);

    run_result run(const run_context& context) const;

  private:
    class stage_tracker;

    pipeline_runner(const clock& time,
                    const stage_runner& stages,
                    const policy_engine& policy,
                    const host_id& self);

    stage_result run_stage(const run_context& context,
                           std::size_t index,
                           const std::string& input) const;
    void run_ready_stages(const run_context& context, stage_tracker& tracker) const;

    const clock& time_;
    const stage_runner& stages_;
    const policy_engine& policy_;
    host_id self_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_PIPELINE_RUNNER_HPP
