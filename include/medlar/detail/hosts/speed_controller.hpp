#ifndef MEDLAR_DETAIL_HOSTS_SPEED_CONTROLLER_HPP
#define MEDLAR_DETAIL_HOSTS_SPEED_CONTROLLER_HPP

#include <medlar/detail/dispatch/target_speeds.hpp>
#include <medlar/detail/entry/entry_context.hpp>
#include <medlar/detail/hosts/peer_network.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace medlar
{

/// @brief Shares among all hosts how fast the engines of a pool are.
///
/// A host sees too few streams to know each engine. All hosts choose alike which host
/// collects the paces of a pool's streams; the others report theirs to it once a second
/// and are told in return what has changed. A host without an answer goes by what it was
/// told last: hosts with estimates of their own would send equal prompts to different
/// engines.
class speed_controller
{
  public:
    speed_controller(entry_context& context, peer_network& peers);

    speed_controller(const speed_controller&) = delete;
    speed_controller& operator=(const speed_controller&) = delete;

    /// @brief Records the typical time between the events of a stream that has ended.
    void record_stream(const pool_id& pool, const target_id& target, double gap_ms);

    /// @brief Reports what was recorded, at most once a second; called regularly.
    void tick();

    /// @brief Handles a report of another host.
    /// @return false if the message is of another type
    bool handle_request(const std::shared_ptr<message_link>& from,
                        const nlohmann::json& message);

    /// @brief Handles the answer to a report.
    /// @return false if the message is of another type
    bool handle_answer(const nlohmann::json& message);

  private:
    struct pool_paces
    {
        /// what this host goes by
        target_speeds known;
        /// streams that were not reported yet
        std::vector<target_pace> unreported;
        /// the collection from which it was told, and up to which version
        std::uint64_t collection = 0;
        std::uint64_t version = 0;
        bool has_changed = false;
        steady_time applied_at;
    };

    void report(const pool_id& pool, pool_paces& paces);
    void apply(const pool_id& pool, pool_paces& paces);

    entry_context& context_;
    peer_network& peers_;
    std::map<pool_id, pool_paces> pools_;
    /// what this host collects for all
    std::map<pool_id, target_speeds> collected_;
    /// tells the collections of this process from those of another one
    std::uint64_t collection_id_;
    steady_time reported_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_HOSTS_SPEED_CONTROLLER_HPP
