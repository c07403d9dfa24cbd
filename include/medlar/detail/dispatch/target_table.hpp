#ifndef MEDLAR_DETAIL_DISPATCH_TARGET_TABLE_HPP
#define MEDLAR_DETAIL_DISPATCH_TARGET_TABLE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/dispatch/cold_target.hpp>
#include <medlar/detail/dispatch/process_evidence.hpp>
#include <medlar/detail/dispatch/process_start.hpp>
#include <medlar/detail/dispatch/skip_reason.hpp>
#include <medlar/detail/dispatch/start_inquiry.hpp>
#include <medlar/detail/entry/protocol.hpp>
#include <medlar/detail/policy/target_health.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlar
{

/// @brief Registered target with its health and load as observed by this host
struct target_state
{
    target_record record;
    target_health health;
    /// when it last answered a call of this host
    steady_time answered_at;
    /// calls of this host in progress at the latest known process
    int in_flight = 0;
    /// no call is sent before this time, since it refused one as full
    steady_time refused_until;
    /// no call is sent before this time, since it asked for a pause
    steady_time paused_until;
    /// requests per second that it takes from all hosts; unset if it has no limit
    std::optional<double> rate_limit;
    /// when it last stated its limit
    steady_time limit_stated_at;
    /// no call is sent before this time, since the hosts have used up its limit
    steady_time limited_until;
    /// until when it is cold; hosts need permits to call it then
    cold_phase cold;
    /// whether a cold time that cannot be read was logged
    bool has_malformed_cold = false;
    /// refusals per second, of all hosts together, above which it breaks down; unset if
    /// it bears any number
    std::optional<double> refusal_limit;
    /// when this host first heard of that limit
    steady_time refusal_limit_known_at;
    /// start time that the process at its address has stated, or an earlier entry, if its
    /// entry names an older one
    std::optional<std::int64_t> answering_start;
    /// which process answers at its address is unknown, and so is the version
    bool is_start_unknown = false;
    start_inquiry inquiry;
    /// whether its process has left the question for its start without one
    bool states_no_start = false;
    process_evidence evidence;
    /// share of the prompts that it is to get, relative to a target of median speed
    double speed_weight = 1;
    /// it has said in an answer that it is going to stop
    bool is_leaving = false;
    /// its failure domain is evacuated
    bool is_evacuated = false;
    /// set if its registration expired during an outage of the store; it is removed then
    std::optional<steady_time> expires_at;
};

/// @brief How many targets of a pool cannot be called, by the first reason that holds
struct target_counts
{
    int total = 0;
    int stopping = 0;
    int evacuated = 0;
    /// ejected, and their next probe is not due
    int ejected = 0;
    /// ejected, and their probe is in flight
    int probing = 0;
    int paused = 0;
    /// they have refused a call for lack of room
    int full = 0;
    /// no permit is left for them
    int limited = 0;
};

/// @brief Registered targets by id.
class target_table
{
  public:
    /// @brief Adds a target or updates its record.
    /// @return whether the target is new, has restarted, or has another address or pool;
    /// its health and load are reset then
    bool put(const target_record& record, steady_time now = steady_time());

    /// @brief Records that the process at an address may have ended.
    void record_loss(const endpoint& where, steady_time at);

    /// @brief Removes a target whose registration was removed.
    void remove(const target_id& id);

    /// @brief Keeps a target whose registration is missing after an outage of the store
    /// until @p until, or for good if it registers again before.
    void mark_lapsed(const target_id& id, steady_time until);

    /// @brief Removes targets whose expiry has passed without a new registration.
    void drop_lapsed(steady_time now);

    /// @brief Returns a target by id, nullptr if it is not registered.
    target_state* find(const target_id& id);
    const target_state* find(const target_id& id) const;

    /// @brief Returns a target while a process of it is the latest known one.
    /// @return nullptr if the target has started again, or is not registered
    target_state* find_process(const process_start& process);

    /// @brief Returns which process a call has reached.
    /// @param expected the latest known process when the call was sent
    /// @param stated_ms start that the connection of the call has stated; may be unset
    /// @param is_new_connection whether the connection was opened for the call
    process_start process_reached(const process_start& expected,
                                  std::optional<std::int64_t> stated_ms,
                                  bool is_new_connection) const;

    /// @brief Returns which process says that it is going to stop, if the answer to a
    /// call says so. A call whose connection has stated no start may have reached the
    /// process that the entry does not name yet: it must not get more requests.
    /// @param reached the process that the call has reached, as far as is known
    /// @param is_stated whether the connection of the call has stated its start
    process_start leaving_process(const process_start& reached, bool is_stated) const;

    /// @brief Counts a call in progress at a process.
    void begin_call(const process_start& process);

    /// @brief Ends the count of a call that begin_call() has counted.
    void end_call(const process_start& process);

    /// @brief Returns the target at an address, nullptr if there is none.
    const target_state* find_by_address(const endpoint& where) const;

    /// @brief Records that a process of a target has said that it is going to stop. The
    /// target gets no more work until it restarts, whatever the store shows of it.
    /// @return whether the process is the latest known one, and that is new
    bool mark_leaving(const process_start& process);

    /// @brief Records the start time that the process at the address of a target has
    /// stated; its entry may be that of an earlier one. What was known of the process
    /// before does not hold for a new one.
    void record_start(const target_id& id, std::int64_t started_ms);

    /// @brief Records that a target gets no calls for some time. Too long a time is cut,
    /// and the end is moved by @p spread so that hosts do not return together.
    /// @return whether it is longer than what was known
    bool mark_paused(const target_id& id, millis pause, millis spread, steady_time now);

    /// @brief Records whether a failure domain is evacuated; its targets, also those that
    /// are added later, get no work meanwhile.
    void set_evacuated(const failure_domain_id& domain, bool is_evacuated);

    bool is_evacuated(const failure_domain_id& domain) const
    {
        return evacuated_.count(domain) != 0;
    }

    /// @brief Returns the number of targets of a failure domain.
    std::size_t count_in(const failure_domain_id& domain) const;

    /// @brief Returns whether a pool has no target that takes work, but would have one
    /// without evacuations.
    bool is_evacuated(const pool_id& pool) const;

    /// @brief Makes all targets of a pool healthy, since the calls that failed did not
    /// reach them.
    void reset_health(const pool_id& pool);

    /// @brief Returns the targets of a pool that take work, in order of id.
    std::vector<target_state*> serving(const pool_id& pool);

    /// @brief Returns all targets of a pool, in order of id.
    std::vector<target_state*> of_pool(const pool_id& pool);
    std::vector<const target_state*> of_pool(const pool_id& pool) const;

    /// @brief Returns the time until the first target of a pool may be called again.
    /// @return 0 if one may be called now; unset if the pool has no target that takes
    /// work
    std::optional<millis> time_until_callable(const pool_id& pool, steady_time now) const;

    /// @brief Returns how many targets of a pool cannot be called, and why.
    target_counts count_uncallable(const pool_id& pool, steady_time now) const;

    /// @brief Returns all targets.
    const std::map<target_id, target_state>& all() const
    {
        return targets_;
    }

  private:
    void erase(std::map<target_id, target_state>::iterator entry);
    /// sets what is kept for each process once the process of a target is known
    void restore_process(target_state& target);
    /// drops the marks of processes before that of a target
    void forget_leaving_before(const target_state& target);

    std::map<target_id, target_state> targets_;
    std::map<endpoint, target_id> by_address_;
    /// the processes that are leaving; remembered when their entries lapse
    std::set<process_start> leaving_;
    /// calls of this host in progress
    std::map<process_start, int> calls_;
    std::set<failure_domain_id> evacuated_;
};

/// @brief Returns the latest known start time of the process at the address of a target.
/// @return Unix time in ms; 0 if it is unknown
std::int64_t start_of(const target_state& target);

/// @brief Returns the latest known process at the address of a target.
process_start process_of(const target_state& target);

/// @brief Returns whether the entry of a target is that of the process that answers at
/// its address, as far as this host knows.
bool is_listed(const target_state& target);

/// @brief Returns whether a target is going to stop, as far as its entry and its answers
/// say.
bool is_stopping(const target_state& target);

/// @brief Returns why a target takes no new work: it is going to stop, or its failure
/// domain is evacuated.
/// @return none if it takes work
skip_reason reason_without_work(const target_state& target);

/// @brief Returns whether a target takes new work, see reason_without_work().
bool takes_work(const target_state& target);

/// @brief Records the result of a call to a target, and ejects the target if its health
/// requires that.
/// @param serving targets of its pool; at most half of them are ejected at once
void record_call(target_state& target,
                 const health_sample& sample,
                 const std::vector<target_state*>& serving,
                 steady_time now);

/// @brief Returns how long no host sends a call to a target after it refused one for
/// lack of room, unless refusal_tolerance shortens that.
/// @param refusal_limit see target_state::refusal_limit
millis pause_after_refusal(std::optional<double> refusal_limit);

/// @brief Returns whether this host uses up its share of the slots of a target that
/// bears few refusals: the hosts together then have few more requests there than slots.
bool has_used_share(const target_state& target, std::size_t host_count);

/// @brief Returns why no call may be sent to a target now, although it takes work.
/// @return none if it may be called
skip_reason reason_not_to_call(const target_state& target, steady_time now);

/// @brief Returns whether a call may be sent to a target now, see reason_not_to_call().
bool may_call(const target_state& target, steady_time now);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_TARGET_TABLE_HPP
