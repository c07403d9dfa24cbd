#ifndef MEDLAR_DETAIL_ENTRY_STAGE_PIPELINE_HPP
#define MEDLAR_DETAIL_ENTRY_STAGE_PIPELINE_HPP

#include <medlar/detail/dispatch/start_decision.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/entry/piece_broker.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief the parameters of the stages of one request
struct pipeline_request
{
    attempt_id attempt;
    std::string piece_key;
    std::vector<stage_rule> stages;
    /// number of pieces of each stage; 0: the stage is skipped
    std::vector<int> pieces;
    int priority = 0;
    /// when the last stage should be done for the answer to be in time
    steady_time soft_deadline;
    steady_time deadline;
    /// where the request is planned to run
    failure_domain_id planned_domain;
    /// the caller has received a part of the answer, which would be lost if the stages
    /// were refused
    bool is_resumption = false;
};

/// @brief why the stages of a request were abandoned
enum class pipeline_failure
{
    refused, ///< no capacity to finish them in time
    late,
    failed,
};

/// @brief Returns the name of a failure in logs.
absl::string_view to_string(pipeline_failure why);

/// @brief callbacks for the end of a pipeline
struct pipeline_callbacks
{
    /// all stages are done; receives the results that the request reads
    std::function<void(const std::vector<result_handle>&)> on_done;
    std::function<void(pipeline_failure, millis retry_after)> on_failed;
};

/// @brief Runs the stages of one request, each as soon as the stages it depends on are
/// done.
class stage_pipeline : public std::enable_shared_from_this<stage_pipeline>
{
  public:
    static std::shared_ptr<stage_pipeline> create(entry_context& context,
                                                  piece_broker& broker,
                                                  pipeline_request request,
                                                  pipeline_callbacks callbacks);

    /// @brief Starts the stages that depend on no others, unless the request is refused.
    void start();

    /// @brief Runs all stages again, because results were lost.
    /// @return false if the limit of restarts is reached
    bool restart();

    /// @brief Cancels running stages and frees all results; no callback is called any
    /// more.
    void stop();

    /// @brief Returns the time that the stages still take at least, with empty queues.
    millis remaining_service_time() const;

    /// @brief Returns the failure domain that holds most bytes of the results that the
    /// request reads; unset if they are too small for their location to matter.
    std::optional<failure_domain_id> results_domain() const;

    /// @brief Returns what the start of the stages is decided by, see decide_start().
    start_input make_start_input() const;

    /// @brief Returns after what time a request that is refused at its start may succeed.
    static millis time_until_retry(const start_input& input);

    /// @brief Returns the job of a stage as it would be now, without its pieces.
    piece_job make_job(std::size_t stage) const;

    /// @brief Frees all results; the request has read them.
    void free_results();

  private:
    enum class stage_status
    {
        waiting,
        running,
        done,
    };

    struct stage_state
    {
        stage_status status = stage_status::waiting;
        broker_ticket ticket{0};
        std::vector<std::optional<result_handle>> results;
        int missing = 0;
        steady_time started_at;
    };

    stage_pipeline(entry_context& context,
                   piece_broker& broker,
                   pipeline_request request,
                   pipeline_callbacks callbacks);

    /// the size of the results in one failure domain
    struct domain_results
    {
        failure_domain_id domain;
        std::int64_t bytes = 0;
    };

    /// Returns the domain that holds most bytes of the results of some stages.
    domain_results largest_domain(const std::vector<std::size_t>& stages) const;
    bool has_dependents(std::size_t stage) const;
    bool is_ready(std::size_t stage) const;
    void advance();
    void start_stage(std::size_t stage);
    void piece_done(std::size_t stage, int piece, const piece_result& result);
    void stage_done(std::size_t stage);
    void free_consumed_results();
    void free_stage(std::size_t stage);
    void fail(pipeline_failure why, millis retry_after);
    std::vector<result_handle> results_of(std::size_t stage) const;
    /// Returns the time of one batched call of a stage, without queueing.
    millis service_time(std::size_t stage) const;
    /// Returns the service time of the longest path after a stage.
    millis service_time_after(std::size_t stage) const;
    /// Returns the expected time of a stage that begins after a time from now, including
    /// its queueing delay.
    millis expected_time(std::size_t stage, millis ahead) const;
    void handle_retry(millis time_since_refusal);
    void record_refusal();
    /// Returns the expected time of the critical path.
    millis total_expected_time() const;
    /// Returns the service time of the critical path.
    millis total_service_time() const;

    entry_context& context_;
    piece_broker& broker_;
    pipeline_request request_;
    pipeline_callbacks callbacks_;
    std::vector<stage_state> stages_;
    int restarts_ = 0;
    bool is_retry_ = false;
    /// work that would be lost if the request was refused: done stages, a begun answer
    bool any_done_ = false;
    bool is_background_ = false;
    bool ended_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_STAGE_PIPELINE_HPP
