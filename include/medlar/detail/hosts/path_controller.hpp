#ifndef MEDLAR_DETAIL_HOSTS_PATH_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_PATH_CONTROLLER_HPP

#include <medlar/detail/dispatch/path_evidence.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/connection_probe.hpp>
#include <medlar/detail/hosts/peer_network.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace medlar
{

/// @brief Knows to which pools this host, and each other host, has a network path. A host
/// that loses one tells all others, and again from time to time until it is back.
class path_controller
{
  public:
    path_controller(entry_context& context, peer_network& peers);

    path_controller(const path_controller&) = delete;
    path_controller& operator=(const path_controller&) = delete;

    /// @brief Records that a request was sent to a target.
    void record_call(const pool_id& pool);

    /// @brief Records bytes from a target.
    void record_contact(const pool_id& pool);

    /// @brief Records a call without an answer.
    /// @param is_sent whether a connection to the target was established
    void record_failure(const pool_id& pool, const target_id& target, bool is_sent);

    /// @brief Returns whether this host has a path to the targets of a pool.
    bool has_path(const pool_id& pool) const
    {
        return lost_.count(pool) == 0;
    }

    /// @brief Returns the live hosts that may have a path to a pool; this host is among
    /// them if it has one. All live hosts if there is none.
    std::vector<peer_host> hosts_with_path(const pool_id& pool) const;

    /// @brief Returns whether another live host may have a path to a pool.
    bool is_reached_by_another(const pool_id& pool) const;

    /// @brief Chooses another host, with a path to a pool, that a request is forwarded
    /// to: the one with the fewest forwarded requests of this host, one in its failure
    /// domain first.
    /// @param tried hosts that are left out
    /// @return unset if there is none
    std::optional<peer_host> choose_forwarder(const pool_id& pool,
                                              const std::set<host_id>& tried,
                                              random_source& random) const;

    /// @brief Counts the requests that are forwarded to a host.
    void record_forwarded(const host_id& host, int change);

    /// @brief Records that another host has no path to a pool.
    void record_lost(const host_id& host, const pool_id& pool);

    /// @brief Handles a message that another host sent.
    /// @return false if its type is not one of this controller's
    bool handle_message(const nlohmann::json& message);

    /// @brief Sets the function that is called when this host has lost the path to a
    /// pool.
    void set_lost_handler(std::function<void(const pool_id&)> handler)
    {
        on_lost_ = std::move(handler);
    }

    /// @brief Probes paths that are in doubt, and repeats what this host has told others.
    void tick();

  private:
    struct pool_path
    {
        path_evidence evidence;
        std::map<target_id, std::unique_ptr<connection_probe>> probes;
    };

    bool may_have_path(const host_id& host, const pool_id& pool) const;
    void probe(const pool_id& pool, pool_path& path);
    void end_probe(const pool_id& pool, const target_id& target, probe_result result);
    void update(const pool_id& pool);
    void tell_all();

    entry_context& context_;
    peer_network& peers_;
    std::map<pool_id, pool_path> paths_;
    /// pools to which this host has no path
    std::set<pool_id> lost_;
    steady_time told_at_;
    /// pools to which other hosts have no path, and until when this is believed
    std::map<host_id, std::map<pool_id, steady_time>> lost_of_others_;
    std::map<host_id, int> forwarded_;
    std::function<void(const pool_id&)> on_lost_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_PATH_CONTROLLER_HPP
