#ifndef MEDLAR_DETAIL_ENTRY_STAGE_PIPELINE_HPP
#define MEDLAR_DETAIL_ENTRY_STAGE_PIPELINE_HPP

#include <medlar/detail/dispatch/start_choice.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/entry/piece_broker.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief what a pipeline needs to know of its request
struct pipeline_request
{
    attempt_id attempt;
    std::string piece_key;
    std::vector<stage_rule> stages;
    /// pieces of each stage; 0: the stage is left out
    std::vector<int> pieces;
    int priority = 0;
    /// when the last stage should be done
    steady_time aim;
    steady_time deadline;
    /// where the request will run
    failure_domain_id domain;
};

/// @brief why the stages of a request were given up
enum class pipeline_failure
{
    refused, ///< there is no room for them in time
    late,
    failed,
};

/// @brief the name of a failure in logs
absl::string_view to_string(pipeline_failure why);

/// @brief receives the end of a pipeline
struct pipeline_sink
{
    /// all stages are done; the results that the request needs
    std::function<void(const std::vector<result_handle>&)> on_done;
    std::function<void(pipeline_failure, millis retry_after)> on_failed;
};

/// @brief Runs the stages of one request: each as soon as those that it needs are done.
class stage_pipeline : public std::enable_shared_from_this<stage_pipeline>
{
  public:
    static std::shared_ptr<stage_pipeline> create(entry_context& context,
                                                  piece_broker& broker,
                                                  pipeline_request request,
                                                  pipeline_sink sink);

    /// @brief Begins with the stages that need no others.
    void start();

    /// @brief Does all stages again, since results are gone.
    /// @return false if that was done too often
    bool restart();

    /// @brief Drops what runs and frees all results; nothing more is told.
    void stop();

    /// @brief the failure domain that holds most of the results that the request needs
    /// @return unset if they are too small for their place to matter
    std::optional<failure_domain_id> results_domain() const;

    /// @brief Frees the results that the request has read.
    void free_results();

  private:
    enum class progress
    {
        waiting,
        running,
        done,
    };

    struct stage_state
    {
        progress at = progress::waiting;
        broker_ticket ticket{0};
        std::vector<std::optional<result_handle>> results;
        int missing = 0;
        steady_time began;
    };

    stage_pipeline(entry_context& context,
                   piece_broker& broker,
                   pipeline_request request,
                   pipeline_sink sink);

    /// where results are, and their bytes
    struct placed_results
    {
        failure_domain_id domain;
        std::int64_t bytes = 0;
    };

    /// the domain that holds most of the results of some stages
    placed_results place_of(const std::vector<std::size_t>& stages) const;
    bool is_followed(std::size_t stage) const;
    bool is_ready(std::size_t stage) const;
    void advance();
    void begin(std::size_t stage);
    void piece_done(std::size_t stage, int piece, const piece_result& result);
    void stage_done(std::size_t stage);
    void free_read_stages();
    void free_stage(std::size_t stage);
    void fail(pipeline_failure why, millis retry_after);
    std::vector<result_handle> results_of(std::size_t stage) const;
    millis plain_time(std::size_t stage) const;
    millis expected_after(std::size_t stage) const;
    /// time of a stage with the queues as they are
    millis queued_time(std::size_t stage) const;
    start_question question() const;
    void came_back(millis waited);
    void note_refused();
    millis forecast() const;
    /// time of the stages if nothing waited anywhere
    millis unqueued_time() const;

    entry_context& context_;
    piece_broker& broker_;
    pipeline_request request_;
    pipeline_sink sink_;
    std::vector<stage_state> stages_;
    int restarts_ = 0;
    bool has_come_back_ = false;
    bool any_done_ = false;
    bool is_background_ = false;
    bool ended_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_STAGE_PIPELINE_HPP
