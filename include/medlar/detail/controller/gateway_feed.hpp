#ifndef MEDLAR_DETAIL_CONTROLLER_GATEWAY_FEED_HPP
#define MEDLAR_DETAIL_CONTROLLER_GATEWAY_FEED_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/controller/control_message.hpp>
#include <medlar/detail/link/link.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief Pushes state to the gateway of this host, at once after a change and otherwise
/// as a periodic heartbeat, and stores the gateway's last report.
///
/// If the gateway answers with another incarnation, the whole state is pushed again.
/// @note Thread-safe, except that only one thread may call run().
class gateway_feed
{
  public:
    /// @param gateway link address of the gateway of this host
    /// @param heartbeat time between pushes while nothing changes
    gateway_feed(link_client& links, endpoint gateway, millis heartbeat);

    // These set the state to push. A revision or epoch that is not newer is ignored.

    void set_configuration(revision number, std::string text);
    void set_view(view_epoch epoch, std::string text);
    /// @param confirmed unset: the store does not answer
    void set_confirmed(std::optional<revision> confirmed);
    void set_leaving(std::vector<target_id> leaving);
    void set_peers(std::vector<endpoint> peers);

    /// @brief A report of the gateway with its sequence number.
    struct numbered_report
    {
        std::uint64_t number = 0;
        gateway_report content;
    };

    /// @brief Waits for a report with a number above @p after.
    /// @return unset if none arrived within @p wait, or after stop()
    std::optional<numbered_report> wait_for_report(std::uint64_t after, millis wait);

    /// @brief Returns the last report; unset while the gateway does not answer.
    std::optional<gateway_report> report() const;

    /// @brief Fetches the state of the gateway that is newer than the given versions.
    absl::StatusOr<newer_state> fetch_newer_state(view_epoch newest,
                                                  revision configuration);

    /// @brief Pushes at once, even if nothing has changed.
    void push_now();

    /// @brief Pushes until stop().
    void run();

    /// @brief Makes run() and wait_for_report() return.
    void stop();

  private:
    template <typename Number>
    struct numbered_text
    {
        Number number{0};
        std::string text;
    };

    struct desired_state
    {
        numbered_text<revision> configuration;
        numbered_text<view_epoch> view;
        std::optional<revision> confirmed;
        std::vector<target_id> leaving;
        std::vector<endpoint> peers;
        // incremented when leaving or peers change
        std::uint64_t hosts_version = 1;
    };

    control_push build_push() const;
    void push();
    void handle_report(const gateway_report& report, std::uint64_t hosts_version);
    void handle_failure(const absl::Status& failure);
    bool wait_for_push_request();
    void request_push();

    link_client& links_;
    const endpoint gateway_;
    const millis heartbeat_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    desired_state desired_;
    std::optional<gateway_report> report_;
    std::uint64_t report_count_ = 0;
    // hosts_version last received by the reporting process; 0: none
    std::uint64_t hosts_version_sent_ = 0;
    bool push_requested_ = true;
    bool unreachable_ = false;
    bool stopped_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_GATEWAY_FEED_HPP
