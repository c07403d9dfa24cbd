#ifndef MEDLAR_DETAIL_DISPATCH_CHANGE_SOURCE_HPP
#define MEDLAR_DETAIL_DISPATCH_CHANGE_SOURCE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/piece_owner.hpp>

#include <map>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief Returns the hosts that watch the store for a failure domain and pass its
/// changes on, in order of preference; empty if the domain is so small that all its hosts
/// watch.
///
/// With hundreds of hosts, a watch for each makes every change cost a call for each host.
/// Hosts with the same list of peers compute the same relays.
/// @param hosts the live hosts of all failure domains
std::vector<host_id> relays_of(const failure_domain_id& domain,
                               const std::vector<peer_host>& hosts);

/// @brief From where a host gets the changes of the store
struct change_source
{
    /// the relay that it follows; unset if it follows none
    std::optional<host_id> relay;
    /// whether it watches the store itself
    bool watches_store = false;
};

/// @brief Chooses the source of changes of one host. Has no I/O and no clock.
///
/// A relay's silence means nothing: what this host knows is current only as of the time
/// that a relay has proved, see record_report(). If that is too long ago, because its
/// relays are dead, frozen, cut off, slow, or do not reach the store, the host watches
/// the store itself until a relay is current again.
class change_source_choice
{
  public:
    /// @param max_age age of this host's knowledge above which it watches the store
    /// itself
    change_source_choice(host_id self, millis max_age, steady_time now);

    /// @brief Sets the relays of this host's failure domain, see relays_of().
    void set_relays(std::vector<host_id> relays);

    /// @brief Sets the age of this host's knowledge above which it watches the store.
    void set_max_age(millis max_age)
    {
        max_age_ = max_age;
    }

    /// @brief Sets whether other hosts follow this one; then it watches the store.
    void set_followed(bool is_followed)
    {
        is_followed_ = is_followed;
    }

    /// @brief Returns the source to use now.
    change_source choose(steady_time now);

    /// @brief Records that a relay has passed on all changes up to a time.
    /// @param current_as_of a time at which this host knew everything that the relay
    /// knew, less the age of the relay's own knowledge then
    void record_report(const host_id& relay, steady_time current_as_of, steady_time now);

    /// @brief Records that the link to a relay was lost.
    void record_lost(const host_id& relay, steady_time now);

    /// @brief Records that the store itself has told this host all changes up to a time.
    void record_store(steady_time current_as_of);

    /// @brief Returns the age of this host's knowledge above which it watches the store.
    millis max_age() const
    {
        return max_age_;
    }

    /// @brief Returns the time as of which this host knows the store.
    steady_time current_as_of() const
    {
        return current_as_of_;
    }

  private:
    bool may_follow(const host_id& relay, steady_time now) const;
    void follow(std::optional<host_id> relay, steady_time now);
    bool is_relay() const;

    host_id self_;
    millis max_age_;
    std::vector<host_id> relays_;
    bool is_followed_ = false;
    std::optional<host_id> followed_;
    steady_time followed_since_;
    /// whether the last report of the followed relay showed that it is current
    bool is_proved_ = false;
    bool watches_store_ = false;
    steady_time last_report_;
    steady_time current_as_of_;
    std::map<host_id, steady_time> avoided_until_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_CHANGE_SOURCE_HPP
