#ifndef MEDLAR_DETAIL_HOSTS_PROCESS_ENDS_HPP
#define MEDLAR_DETAIL_HOSTS_PROCESS_ENDS_HPP

#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/connection_probe.hpp>
#include <medlar/detail/hosts/path_controller.hpp>
#include <medlar/detail/hosts/peer_network.hpp>
#include <medlar/detail/hosts/stream_origins.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>

namespace medlar
{

/// @brief Makes known to all hosts that the process of a target has ended, where the
/// target's reports do not tell one process from the next.
///
/// A host sees that by its connections; one that has none to the target sees nothing. The
/// hosts that see it tell the keepers of streams, and each keeper tells all others once.
class process_ends
{
  public:
    process_ends(entry_context& context,
                 peer_network& peers,
                 path_controller& paths,
                 const stream_origins& origins);

    process_ends(const process_ends&) = delete;
    process_ends& operator=(const process_ends&) = delete;

    /// @brief Handles a message that another host sent on a link of its own.
    /// @return false if its type is not one of this controller's
    bool handle_message(const nlohmann::json& message);

  private:
    void handle_loss(const endpoint& where, connection_loss how);
    void probe(const target_state& target);
    void end_probe(const target_id& id, probe_result result);
    void handle_refusal(const target_id& id);
    /// tells the keepers, or all hosts if this host is one, unless it has lost its path
    void tell(const target_id& id, std::int64_t started_ms, steady_time ended_at);
    bool is_keeper() const;
    /// @return whether the end of the process is news
    bool record_end(target_state& target, steady_time ended_at);

    entry_context& context_;
    peer_network& peers_;
    path_controller& paths_;
    const stream_origins& origins_;
    std::map<target_id, std::unique_ptr<connection_probe>> probes_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_PROCESS_ENDS_HPP
