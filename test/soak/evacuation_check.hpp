#ifndef MEDLAR_TEST_SOAK_EVACUATION_CHECK_HPP
#define MEDLAR_TEST_SOAK_EVACUATION_CHECK_HPP

#include <medlar/detail/base/clock.hpp>

#include <map>
#include <set>
#include <string>

namespace medlar::soak
{

/// @brief Decides which hosts must not use the targets of a failure domain any more.
///
/// An evacuation binds a host that has been in contact with the store for all of the
/// bound since the store had its key, until it is withdrawn or the host's process ends:
/// a host that loses contact keeps its evacuations. It also binds a host that has started
/// while the store had the key, and has been in contact since, from its start on.
class evacuation_check
{
  public:
    explicit evacuation_check(millis bound) : bound_(bound)
    {
    }

    /// @brief what is known of a host at one time
    struct host_state
    {
        std::string name;
        bool is_running = false;
        /// when its process started
        steady_time started_at;
        /// whether its process runs the older program, which reads no evacuations
        bool is_older = false;
    };

    /// @brief Records that the store has acknowledged an evacuation.
    void begin(const std::string& domain, steady_time now);

    /// @brief Records that an evacuation is withdrawn.
    void end(const std::string& domain)
    {
        evacuations_.erase(domain);
    }

    /// @brief Records whether the store shows the key of an evacuation.
    void record_key(const std::string& domain, bool is_present, steady_time now);

    /// @brief Records whether hosts can reach the store.
    void record_store(bool is_reachable, steady_time now);

    /// @brief Records the state of a host; to be called every few milliseconds.
    /// @param read_until what arrived at targets before this time has been judged
    void record_host(const host_state& host, steady_time now, steady_time read_until);

    bool is_store_reachable() const
    {
        return is_store_reachable_;
    }

    bool binds(const std::string& domain, const std::string& host) const;

    bool is_evacuated(const std::string& domain) const
    {
        return evacuations_.count(domain) > 0;
    }

    /// @brief time for which evacuations bound hosts, summed over both
    millis bound_time() const
    {
        return bound_time_;
    }

  private:
    struct evacuation
    {
        /// since when the store has had the key without a gap
        steady_time present_since;
        bool is_present = true;
        std::set<std::string> bound_hosts;
        /// bound only while they are in contact
        std::set<std::string> starting_hosts;
    };

    struct known_host
    {
        steady_time started_at;
        /// since when it has been running without a pause
        steady_time running_since;
        bool is_running = false;
        steady_time recorded_at;
    };

    void update(evacuation& in_force,
                const host_state& host,
                const known_host& known,
                steady_time read_until) const;
    static bool is_bound(const evacuation& in_force, const std::string& host);

    millis bound_;
    millis bound_time_{0};
    bool is_store_reachable_ = true;
    steady_time store_reachable_since_;
    std::map<std::string, evacuation> evacuations_;
    std::map<std::string, known_host> hosts_;
};

} // namespace medlar::soak

#endif // MEDLAR_TEST_SOAK_EVACUATION_CHECK_HPP
