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

/// @brief Sends claims to the present homes of their requests: handovers after a change
/// of view, and single claims that ended after their requests had moved. Repeats until
/// it is acknowledged or the receiver has left the view.
/// @note Safe to call from every thread.
class claim_sender
{
  public:
    explicit claim_sender(exchange_core& core);
    ~claim_sender();

    claim_sender(const claim_sender&) = delete;
    claim_sender& operator=(const claim_sender&) = delete;

    /// @brief A view was adopted: starts the handovers to the new homes.
    /// @param before the view adopted before; unset: none
    void view_adopted(const std::optional<view>& before, const view& adopted);

    /// @brief the run of a request has ended
    void finished(const request_key& key);

    /// @brief the run of a request was withdrawn
    void withdrawn(const request_key& key);

    /// @brief whether nothing is left to send
    bool idle() const;

  private:
    struct change
    {
        request_key key;
        bool withdrawn = false;
    };

    /// @brief changes that go to one home
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
    std::vector<batch> batches_of(const std::deque<change>& taken) const;
    std::optional<view_member> moved_home(const request_key& key) const;
    bool call(const endpoint& to, const std::string& path, std::string body);

    exchange_core& core_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<view_member> receivers_;
    view_epoch epoch_{0};
    // rounds of sending since the adoption
    std::atomic<int> rounds_{0};
    std::deque<change> changes_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_CLAIM_SENDER_HPP
