#ifndef MEDLAR_DETAIL_MEMBERSHIP_LEASE_RENEWER_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_LEASE_RENEWER_HPP

#include <medlar/detail/membership/exchange_core.hpp>
#include <medlar/detail/membership/view_keeper.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace medlar
{

/// @brief Asks the other gateways for lease grants, and fetches what they have newer.
/// A process that is in no view asks too, to be known and to learn the view.
class lease_renewer
{
  public:
    /// @param leaving_changed called when a peer's news changed the leaving targets
    lease_renewer(exchange_core& core,
                  view_keeper& views,
                  std::function<void()> leaving_changed);
    ~lease_renewer();

    lease_renewer(const lease_renewer&) = delete;
    lease_renewer& operator=(const lease_renewer&) = delete;

    /// @brief Takes note of the news in a call of a peer.
    void take_call(incarnation from, const peer_news& news);

    /// @brief starts the next round at once
    void renew_now();

  private:
    /// @brief one address to ask
    struct contact
    {
        endpoint link;
        /// who is expected there
        std::optional<view_member> member;
    };

    void run();
    bool wait();
    void round();
    void grant_to_self(steady_time asked_at);
    std::vector<contact> contacts();
    std::vector<contact> members_to_ask() const;
    void add_outsiders(std::vector<contact>& all);
    void take_answer(const contact& asked,
                     const absl::StatusOr<link_reply>& reply,
                     steady_time asked_at);
    /// @param at where the peer was reached, if it was called
    /// @return whether the peer has something newer that can be fetched
    bool
    take_news(incarnation from, const peer_news& news, const std::optional<endpoint>& at);
    void fetch_newer();
    bool has_newer(const peer_news& news) const;

    exchange_core& core_;
    view_keeper& views_;
    const std::function<void()> leaving_changed_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    bool wanted_now_ = false;
    std::optional<endpoint> newer_at_;
    // of the thread: where the next selection of outsiders starts
    std::size_t turn_ = 0;
    std::thread thread_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_LEASE_RENEWER_HPP
