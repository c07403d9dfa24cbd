#ifndef REVIEW_SUPPORT_2_STREAMS_HPP
#define REVIEW_SUPPORT_2_STREAMS_HPP

// Model workers that stream numbered events, and clients that take broken streams up.

#include "world.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review
{

// figures of a small deployment
constexpr int target_latency_ms = 690;
constexpr int gap_aim_ms = 300;
constexpr int deadline_ms = 10000;

/// A client abandons a stream after the longest of two seconds, four times its objective
/// and eight times its pause without an event.
constexpr int patience_ms = 4 * target_latency_ms;

/// @brief Model worker: runs each request as a stream of numbered events.
class model_worker
{
  public:
    model_worker(std::string id, std::string service, std::string version);

    /// @brief Writes its entry in the store now, and again at each heartbeat.
    void register_at(store& platform);

    /// @brief Ends the process, and starts one of another version under the same id and
    /// address. It does not reach the store until cut_ms later.
    void start_again(const std::string& version, int cut_ms);

    /// @brief Returns how many streams hold events of workers of two versions.
    static int joined_streams();

  private:
    void serve(channel& peer);
    bool run(channel& peer, const message& request, int process);
    nlohmann::json entry(int sequence);
    bool is_of_process(int number);

    std::string id_;
    std::string service_;
    std::mutex mutex_;
    std::string version_;
    std::int64_t born_;
    std::int64_t cut_until_ = 0;
    int process_ = 1;
    std::set<int> connections_;
    server server_;
};

/// @brief What became of the streams of a run.
struct stream_totals
{
    std::atomic<int> taken_up{0};
    std::atomic<int> went_on{0};
    std::atomic<int> asked_new{0};
    std::atomic<int> began_new{0};
};

/// @brief Begins a stream at one machine; if it breaks, or falls silent for longer than
/// the client's patience, takes it up at others, as PROTOCOL.md says.
/// @param leave_at_ms when the client leaves the first machine in any case
void use_stream(const address& where,
                const std::vector<address>& others,
                std::int64_t leave_at_ms,
                stream_totals& seen);

/// @brief Sends a new stream and waits for its first event.
void begin_new_stream(const address& where, stream_totals& seen);

/// @brief Value of op/config with one resumable stream route.
/// @param services of the route with their weights; one service has no weight
nlohmann::json
stream_configuration(const std::vector<std::pair<std::string, int>>& services);

/// @brief Starts entry processes on 127.0.0.1 and the following addresses, and waits
/// until all are ready and know each other.
std::vector<std::unique_ptr<entry_process>> start_entries(int count,
                                                          const store& platform);

/// @brief Judges the rule on streams that clients take up, and ends the program.
/// @param least streams that have to be taken up for the rule to say anything
[[noreturn]] void finish_with(const stream_totals& seen, int least);

} // namespace review

#endif // REVIEW_SUPPORT_2_STREAMS_HPP
