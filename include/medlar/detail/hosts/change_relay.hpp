#ifndef MEDLAR_DETAIL_HOSTS_CHANGE_RELAY_HPP
#define MEDLAR_DETAIL_HOSTS_CHANGE_RELAY_HPP

#include <medlar/detail/hosts/store_mirror.hpp>
#include <medlar/detail/loop/message_link.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>

namespace medlar
{

/// @brief Passes the store's changes on to the hosts that follow this one.
///
/// A follower asks again and again, each time with the version that it has; what changes
/// in between is sent to it at once.
class change_relay
{
  public:
    explicit change_relay(const store_mirror& mirror) : mirror_(mirror)
    {
    }

    /// @brief Answers a follower with what it lacks, and how current this host is.
    /// @param current_as_of time as of which this host knows the store
    void answer(const std::shared_ptr<message_link>& from,
                const nlohmann::json& message,
                steady_time current_as_of,
                steady_time now);

    /// @brief Sends the followers the changes since what they have.
    void send_changes(steady_time now);

    /// @brief Drops a follower that follows another host now, or whose link has ended.
    void drop(const message_link* follower);

    /// @brief Drops the followers that have not asked for a while.
    void drop_silent(steady_time now);

    std::size_t followers() const
    {
        return followers_.size();
    }

  private:
    struct follower
    {
        std::weak_ptr<message_link> link;
        store_version sent;
        steady_time asked_at;
    };

    bool can_send(const follower& to) const;
    nlohmann::json news_since(store_version since, steady_time now) const;

    const store_mirror& mirror_;
    std::map<const message_link*, follower> followers_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_CHANGE_RELAY_HPP
