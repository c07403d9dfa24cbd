#ifndef MEDLAR_DETAIL_MEMBERSHIP_CLAIM_SENDER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_CLAIM_SENDER_HPP

#include <medlar/detail/membership/exchange_core.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace medlar
{

/// @brief Sends claims to the current homes of their requests: handovers after a change
/// of view, and single claims whose runs ended after their requests had moved. Retries
/// until the receiver acknowledges or leaves the view.
/// @note Safe to call from every thread.
class claim_sender
{
  public:
    explicit claim_sender(exchange_core& core);
    ~claim_sender();

    claim_sender(const claim_sender&) = delete;
    claim_sender& operator=(const claim_sender&) = delete;

    /// @brief Starts the handovers to the new homes in the adopted view.
    /// @param before the previously adopted view; unset if there was none
    void view_adopted(const std::optional<view>& before, const view& adopted);

    /// @brief Sends the answer of an ended run to the request's home if that has moved.
    void finished(const request_key& key);

    /// @brief Notifies the request's home, if that has moved, that its run was withdrawn.
    void withdrawn(const request_key& key);

    /// @brief whether nothing remains to be sent
    bool idle() const;

  private:
    struct change
    {
        request_key key;
        bool withdrawn = false;
    };

    /// @brief changes for one home
    struct batch
    {
        view_member home;
        claims_message message;
        std::vector<change> changes;
    };

    void run();
    bool wait();
    void add(const change& one);
    void send_handovers();
    bool hand_over(const view_member& receiver);
    bool still_expected(const view_member& receiver);
    bool send_part(const view_member& receiver, handover_message& part);
    void send_changes();
    std::vector<batch> group_by_home(const std::deque<change>& taken) const;
    std::optional<view_member> moved_home(const request_key& key) const;
    bool call(const endpoint& to, const std::string& path, std::string body);

    exchange_core& core_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<view_member> receivers_;
    view_epoch epoch_{0};
    // rounds of sending since the view was adopted
    std::atomic<int> send_rounds_{0};
    std::deque<change> changes_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_CLAIM_SENDER_HPP
