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

/// @brief Keeps the gateway of this host up to date: pushes what has changed at once,
/// a heartbeat now and then, and keeps the gateway's last report.
///
/// A gateway that answers with another incarnation is told everything again.
/// @note Safe to call from every thread; run() belongs to one.
class gateway_feed
{
  public:
    /// @param gateway link address of the gateway of this host
    /// @param heartbeat pause between pushes when nothing changes
    gateway_feed(link_client& links, endpoint gateway, millis heartbeat);

    // what the gateway is to have; older numbers than before are passed over

    void set_configuration(revision number, std::string text);
    void set_view(view_epoch epoch, std::string text);
    /// @param confirmed unset: the store has not been heard from lately
    void set_confirmed(std::optional<revision> confirmed);
    void set_leaving(std::vector<target_id> leaving);
    void set_peers(std::vector<endpoint> peers);

    /// @brief a report of the gateway, and its place in the order of reports
    struct numbered_report
    {
        std::uint64_t number = 0;
        gateway_report content;
    };

    /// @brief Waits for a report after the one of number @p after.
    /// @return unset if none came within @p wait, or after stop()
    std::optional<numbered_report> wait_for_report(std::uint64_t after, millis wait);

    /// @brief the last report; unset while the gateway does not answer
    std::optional<gateway_report> report() const;

    /// @brief Asks the gateway for what it has that is newer.
    absl::StatusOr<newer_state> ask_newer(view_epoch newest, revision configuration);

    /// @brief Pushes at once although nothing has changed.
    void push_now();

    /// @brief Pushes until stop().
    void run();

    /// @brief Ends run() and the waits for reports.
    void stop();

  private:
    template <typename Number>
    struct numbered_text
    {
        Number number{0};
        std::string text;
    };

    struct wanted_state
    {
        numbered_text<revision> configuration;
        numbered_text<view_epoch> view;
        std::optional<revision> confirmed;
        std::vector<target_id> leaving;
        std::vector<endpoint> peers;
        // rises when leaving or peers change
        std::uint64_t hosts_version = 1;
    };

    control_push compose() const;
    void push();
    void take(const gateway_report& report, std::uint64_t hosts_version);
    void fail(const absl::Status& failure);
    bool wait_for_work();
    void note_change();

    link_client& links_;
    const endpoint gateway_;
    const millis heartbeat_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    wanted_state wanted_;
    std::optional<gateway_report> report_;
    std::uint64_t reports_ = 0;
    // version of leaving and peers that the reporting process has; 0: none
    std::uint64_t hosts_version_sent_ = 0;
    bool push_wanted_ = true;
    bool unreachable_ = false;
    bool stopped_ = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_GATEWAY_FEED_HPP
