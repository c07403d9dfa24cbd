#ifndef MEDLAR_TEST_SOAK_SOAK_RUN_HPP
#define MEDLAR_TEST_SOAK_SOAK_RUN_HPP

#include "soak/entry_process.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/promises.hpp"
#include "support/entry/entry_fixture.hpp"

#include <medlar/detail/policy/random_source.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlar::soak
{

/// @brief what one run consists of
struct soak_settings
{
    std::uint64_t seed = 1;
    /// path of medlar-entry
    std::string program;
    /// where settings and logs of the processes are kept
    std::string directory;
    std::size_t hosts = 4;
    std::size_t callers = 12;
    /// time in which faults come
    millis faults_for{6000};
    /// whether times are checked; not on a machine that is busy with other work
    bool checks_times = true;
};

/// @brief One run: entry hosts as processes, a store and targets in this process, faults
/// that come in series and overlap, and callers that never stop.
class soak_run
{
  public:
    explicit soak_run(const soak_settings& settings);
    ~soak_run();

    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    /// @brief Plays the run.
    const promises& play();

    /// @brief what was done to the processes and paths, in order
    const std::vector<std::string>& history() const
    {
        return history_;
    }

  private:
    using exchange_ptr = std::shared_ptr<caller_exchange>;

    struct soak_host
    {
        std::string name;
        endpoint callers;
        endpoint readiness;
        endpoint metrics;
        endpoint link;
        std::unique_ptr<fault_proxy> link_path;
        std::unique_ptr<entry_process> process;
        bool is_paused = false;
        bool restart_is_due = false;
        /// until when requests at it count as disturbed
        steady_time disturbed_until;
    };

    struct soak_target
    {
        std::unique_ptr<test::stand_in_target> server;
        std::unique_ptr<fault_proxy> path;
        bool is_failing = false;
    };

    // the world
    void start_targets();
    void add_target(const std::string& pool);
    void start_hosts();
    std::string settings_of(const soak_host& host) const;
    void put_configuration();
    std::string rewritten(const std::string& key, const std::string& value) const;
    bool until(millis longest, const std::function<bool()>& condition);
    void run_once();
    void watch_processes();

    // targets
    void take_call(std::size_t target, const exchange_ptr& exchange);
    bool refuses(const exchange_ptr& exchange);
    void answer_plain(const exchange_ptr& exchange);
    void answer_stream(const exchange_ptr& exchange);
    void next_event(const exchange_ptr& exchange, int number);
    void answer_pieces(const exchange_ptr& exchange);

    // callers
    void begin_request();
    void send(soak_host& to, request_kind kind, const std::function<void(int)>& then);
    std::string request_of(request_kind kind, const std::string& attempt) const;
    bool answers_many(soak_host& host);

    // faults
    void next_fault();
    void disturb(soak_host& host, millis span);
    void fault_process(soak_host& host);
    void fault_a_path(fault_proxy& path, const std::string& name, soak_host* of);
    void fault_store();
    void fault_target();
    void restart_later(soak_host& host);
    void lift_faults();
    void note(const std::string& what);
    void check_recovery();

    soak_settings settings_;
    random_source random_;
    medlar::clock time_ = medlar::clock::system();
    event_loop loop_{time_};
    http_client client_{loop_, 65536};
    endpoint store_at_;
    test::stand_in_store store_;
    std::unique_ptr<fault_proxy> store_path_;
    std::vector<soak_target> targets_;
    std::vector<std::unique_ptr<soak_host>> hosts_;
    promises book_;
    std::vector<std::string> history_;
    steady_time began_;
    int version_ = 1;
    std::uint64_t last_attempt_ = 0;
    std::uint64_t last_handle_ = 0;
    std::set<std::string> handles_;
    bool faults_come_ = false;
    bool is_calling_ = false;
    std::size_t open_requests_ = 0;
    /// faults of the store or of targets disturb all hosts
    steady_time all_disturbed_until_;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_SOAK_RUN_HPP
