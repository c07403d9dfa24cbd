#ifndef MEDLAR_DETAIL_ENTRY_REQUEST_RUN_HPP
#define MEDLAR_DETAIL_ENTRY_REQUEST_RUN_HPP

#include <medlar/detail/dispatch/attempt_limit.hpp>
#include <medlar/detail/dispatch/event_pace.hpp>
#include <medlar/detail/dispatch/explain_question.hpp>
#include <medlar/detail/dispatch/request_explanation.hpp>
#include <medlar/detail/dispatch/request_key.hpp>
#include <medlar/detail/dispatch/target_selection.hpp>
#include <medlar/detail/entry/end_inquiry.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/entry/piece_broker.hpp>
#include <medlar/detail/entry/request_forward.hpp>
#include <medlar/detail/entry/stage_pipeline.hpp>
#include <medlar/detail/hosts/crash_controller.hpp>
#include <medlar/detail/hosts/limit_controller.hpp>
#include <medlar/detail/hosts/path_controller.hpp>
#include <medlar/detail/hosts/slow_start_controller.hpp>
#include <medlar/detail/hosts/speed_controller.hpp>
#include <medlar/detail/hosts/stream_origins.hpp>
#include <medlar/detail/http/event_stream.hpp>
#include <medlar/detail/loop/http_server.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief The components of an entry host that its requests use.
struct run_services
{
    piece_broker& broker;
    crash_controller& crashes;
    limit_controller& limits;
    stream_origins& origins;
    path_controller& paths;
    slow_start_controller& slow_starts;
    speed_controller& speeds;
};

/// @brief Processes one request of a caller, from its arrival to the end of its answer:
/// runs its stages, forwards it to a target with retries, and forwards the answer.
class request_run : public running_request,
                    public std::enable_shared_from_this<request_run>
{
  public:
    /// @brief Creates the run of a request that is routed and authorised.
    /// @param configuration owns @p matched_route
    /// @param is_forwarded whether another host has forwarded it; it stays here then
    static std::shared_ptr<request_run>
    create(entry_context& context,
           const run_services& services,
           std::shared_ptr<caller_exchange> exchange,
           request_fields fields,
           configuration_ptr configuration,
           const route& matched_route,
           std::optional<organisation_rule> organisation,
           bool is_forwarded);

    /// @brief Starts the run, which keeps itself alive until its answer has ended.
    void start();

    void apply(const shutdown_plan& plan) override;

    /// @brief Explains where the request would go now, without sending it.
    ///
    /// Takes the decisions that start() would, with a copy of the random source. Nothing
    /// outside this run changes, which must not be started before or after.
    nlohmann::json explain(const explain_question& question);

  private:
    /// A refusal, or the failure of a request that may have run
    struct refusal
    {
        int status_if_run = 0;
        millis retry_after{0};
        std::string why;
    };

    /// retry delay of a caller if no target could accept the request: some of the calls
    /// in progress end within this time
    static constexpr millis retry_after_no_target{400};

    static constexpr char why_no_target[] = "no target can be called";
    static constexpr char why_stopping[] = "this host is stopping";

    request_run(entry_context& context,
                const run_services& services,
                std::shared_ptr<caller_exchange> exchange,
                request_fields fields,
                configuration_ptr configuration,
                const route& matched_route,
                std::optional<organisation_rule> organisation,
                bool is_forwarded);

    request_key make_key() const;
    bool is_stream() const;
    millis remaining_time() const;
    /// whether no target can have run the request
    bool has_not_run() const;
    /// time that the request still takes at least until its answer is complete
    millis needed_time() const;
    /// whether its host stops before a target can answer it
    bool is_cut_by_shutdown() const;
    int priority() const;
    /// whether the caller resumes a stream that it has received a part of
    bool is_resumption() const;
    /// whether another host, which has broken off, may have begun this stream
    bool may_have_begun_elsewhere() const;
    /// whether it is to be found out where this stream has begun
    bool needs_origin() const;
    /// the attempt that has begun this stream
    const attempt_id& beginning_attempt() const;
    std::vector<pool_id> pools_of_route() const;
    void find_origin();
    /// the refusal of a stream that cannot go on where it has begun
    std::optional<refusal>
    refusal_of_origin(const std::optional<stream_origin>& found) const;
    /// begins the stages, or the first attempt if there are none
    void begin_work();
    /// whether a target that takes work may go on with the stream
    bool has_target_of_origin() const;
    bool may_run_at(const target_state& target) const;
    std::optional<failure_domain_id> inputs_domain() const;
    /// the target that choose_target() would choose; records nothing
    selected_target select(random_source& random, skip_record* skipped = nullptr) const;
    target_state* choose_target();
    /// the version at which this stream should begin; unset if it may begin at any
    std::optional<software_version> version_of_new_stream() const;

    // the stages before the request
    void run_stages();
    /// @param planned the target that the request is planned for; null if there is none
    pipeline_request make_pipeline_request(const target_state* planned) const;
    void on_stages_done(const std::vector<result_handle>& inputs);
    void on_stages_failed(pipeline_failure why, millis retry_after);
    /// @param backoff records the refusal
    refusal refusal_of_stages(pipeline_failure why,
                              millis retry_after,
                              refusal_backoff& backoff) const;
    void free_stage_results();

    // attempts
    void send();
    void send_to(target_state& target);
    /// sends the request to a target with a limit if the hosts have not used that up, or
    /// else to another target
    void send_with_permit(const target_id& id);
    void on_permit_answer(const target_id& id, bool is_granted, bool is_cold);
    bool needs_permit(const target_state& target) const;
    /// whether the request has waited for permits of cold targets for long enough
    bool is_left_out_as_cold(const target_state& target) const;
    /// whether the target is not cold, or the permit for it can be used for @p spare
    bool has_valid_permit(const target_state& target, millis spare) const;
    slot_rules slots_in_use() const;
    /// sends the request once the issuer of a target in slow start has answered, since no
    /// other target can take it
    void send_with_slot(const target_id& id);
    void on_slot_answer(const target_id& id);
    /// tells the issuer how the target has begun to answer the current call
    void record_first_event_pace();
    /// how the target of the current call has answered, where nothing was recorded
    slow_start_result pace_of_call() const;
    /// a connection that opens after the end of the permit is of no use
    void limit_connect_time(const target_state& target, call_options& options) const;
    /// sends a stream to a target of some version once the store names that as its origin
    void send_once_saved(const stream_origin& origin);
    /// the refusal of a request if all targets of a pool that it needs are evacuated, or
    /// none may go on with its stream
    std::optional<refusal> refusal_of_work() const;
    /// the refusal of a request if targets crash under it or a part of its prompt
    std::optional<refusal> refusal_of_suspect() const;
    /// @return whether there was one
    bool end_if_refused(const std::optional<refusal>& found);
    bool is_refused_for_shutdown() const;
    refusal refusal_without_target(absl::string_view why) const;
    /// whether the process that answers may get the request now
    bool accepts_process(const start_answer& answer);
    /// whether the process that answers at the address of the target may get the request
    bool accepts_start(const start_answer& answer);
    /// accepts any process for a stream that goes on nowhere; its start tells, once the
    /// answer has ended with its connection, whether the process lives on
    bool accepts_any_start(const start_answer& answer);
    /// whether a process of which nothing is known may get the request
    bool accepts_unknown_start(const start_answer& answer);
    /// whether another process than that of its entry may answer at the target
    bool may_have_restarted();
    /// whether the target may answer nothing at all, and another one may be tried
    bool may_be_silent(const start_answer& answer);
    /// whether a target that was not tried is expected to answer for its start
    bool has_untried_known_target();
    /// sends the request to another target, since this one's process was not accepted
    void on_declined();
    void on_head(const answer_head& head);
    /// tells the host that has forwarded the request which target answers
    void name_target(header_list& headers) const;
    void on_data(absl::string_view data);
    void on_call_end(call_end how);
    /// asks the target whether an answer that has ended with its connection is whole
    void check_end();
    void on_end_checked(const end_finding& found);
    void on_whole_answer();
    /// start of the process that got the call
    sender_start start_of_called_process() const;
    /// @param is_fault_of_target whether the failure counts against the target
    void on_call_failed(call_end how, bool is_fault_of_target = true);
    /// records how the call ended if it was to test whether its target has recovered, and
    /// that is not recorded yet
    void end_probe(call_result result);
    void release_call();
    /// records which process gets the current call
    /// @param started_ms as its connection has stated; may be unset
    void record_process(std::optional<std::int64_t> started_ms);
    /// the start that the connection of the current call has stated, Unix time in ms
    std::optional<std::int64_t> stated_start() const;
    /// the process that is to be marked if the current call says that it leaves
    process_start leaving_process() const;
    /// takes back that a process is expected to get the request
    /// @return its target; nullptr if that has started again, or is gone
    target_state* release_planned();
    void on_not_run(const answer_head& head);
    bool retry(bool has_run);
    /// runs the stages again, and sends the request again after them
    /// @return false if that is not possible, or beyond the retry budget
    bool repeat_stages();
    bool has_retry_budget();
    /// records that the request is going to reach a target once more
    void record_retry();
    void on_attempts_failed(absl::string_view why);
    /// refuses the request, or fails it with @p status_if_run if a target may have run it
    void refuse_or_fail(int status_if_run, millis retry_after, absl::string_view why);

    // another host in place of the targets
    /// has another host run the request if this one has no path to its pool, and another
    /// one may have
    /// @return whether it did
    bool forward_if_no_path();
    /// whether another host is to run the request, since this one has no path
    bool lacks_path() const;
    std::optional<peer_host> next_forwarder(random_source& random) const;
    /// @return false if no other host is left that may have a path
    bool forward();
    void on_forward_not_taken(absl::string_view why);
    void on_forward_refused();
    void forward_to_next_host();
    void record_forward_failed(absl::string_view why) const;
    void on_forward_broken_off();
    void release_forward();

    // explanations, see request_explain.cpp
    void explain_decisions(random_source& random, nlohmann::json& said);
    bool explain_origin(random_source& random, nlohmann::json& said);
    bool explain_forward(random_source& random, nlohmann::json& said) const;
    void explain_stages(const target_state* planned,
                        random_source& random,
                        nlohmann::json& said);
    void explain_owner(std::size_t stage, nlohmann::json& said) const;
    bool explain_refusal(const std::optional<refusal>& found,
                         random_source& random,
                         nlohmann::json& said) const;
    const target_state* explain_selection(random_source& random, nlohmann::json& said);
    std::optional<permit_terms> permits_for(const target_state& target) const;

    // the answer
    void begin_answer();
    void forward_events(absl::string_view data);
    void forward_event(absl::string_view event, std::optional<std::int64_t> id);
    /// @return whether an answer whose framing is whole is only a part of a stream
    bool is_part_of_stream() const;
    void finish_answer();
    void refuse(millis retry_after, absl::string_view why);
    void fail(int status, absl::string_view why);
    void abort_answer(absl::string_view why);
    void end_run(absl::string_view outcome, int status);
    void refuse_for_shutdown();
    /// ends the request without waiting for a target any longer
    void end_without_target(absl::string_view why_refused, absl::string_view why_failed);
    void on_timeout();
    void on_caller_left();

    entry_context& context_;
    piece_broker& broker_;
    crash_controller& crashes_;
    limit_controller& limits_;
    stream_origins& origins_;
    path_controller& paths_;
    slow_start_controller& slow_starts_;
    speed_controller& speeds_;
    std::shared_ptr<caller_exchange> exchange_;
    request_fields fields_;
    configuration_ptr configuration_;
    const route& route_;
    std::optional<organisation_rule> organisation_;
    request_key key_;
    request_suspects suspects_;
    pool_id pool_;
    steady_time deadline_;
    timer_id timer_{0};

    std::shared_ptr<stage_pipeline> pipeline_;
    std::vector<result_handle> inputs_;
    bool has_inputs_ = false;
    bool are_results_freed_ = false;
    /// the process that is expected to get the request once its stages are done
    std::optional<process_start> planned_;

    std::shared_ptr<client_call> call_;
    /// set while it is not known whether the answer of the call is whole
    std::unique_ptr<end_inquiry> end_inquiry_;
    target_id target_;
    /// the process that gets the current call, as far as this host knows
    process_start process_;
    /// whether a connection was opened for the current call
    bool is_new_connection_ = false;
    steady_time sent_at_;
    std::vector<target_id> tried_targets_;
    attempt_limit attempts_;
    /// end of the permit for a cold target that the request holds
    steady_time cold_permit_until_;
    /// permits for cold targets that were refused
    int cold_refusals_ = 0;
    /// whether the current call was declined since its target turned out to be cold
    bool is_declined_as_cold_ = false;
    /// slot of the current call at a target in slow start
    std::optional<slow_start_call> slow_call_;
    /// whether the current call was refused, failed or has broken off
    bool has_call_failed_ = false;
    bool has_whole_answer_ = false;
    /// answers without a slot that the request has waited for
    int slot_refusals_ = 0;
    bool may_have_run_ = false;

    bool is_forwarded_;
    std::unique_ptr<request_forward> forward_;
    std::set<host_id> tried_hosts_;
    bool has_broken_off_elsewhere_ = false;

    std::optional<answer_head> head_;
    std::string buffered_body_;
    /// for the parts of the answer that are kept
    memory_charge answer_charge_;
    event_splitter events_;
    /// the last event that the caller has; unset before the first one
    std::optional<std::int64_t> last_event_id_;
    /// entry of the target of the current call
    target_record target_record_;
    endpoint called_address_;
    /// version of the process that gets the current call
    software_version target_version_;
    /// whether the stream begins at the target of the declined call once it is known to
    /// go on nowhere else
    bool begins_at_unknown_start_ = false;
    /// where the stream has begun, or has to begin; unset before
    std::optional<stream_origin> origin_;
    bool has_first_event_ = false;
    event_pace pace_;
    /// whether the current call has brought an event
    bool has_call_begun_ = false;
    bool has_event_gap_ = false;
    /// whether the current call asks for the events after one that the caller has
    bool goes_on_ = false;
    /// whether the caller has an event without an id
    bool has_unnumbered_event_ = false;
    bool ended_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_REQUEST_RUN_HPP
