#ifndef MEDLAR_DETAIL_MEMBERSHIP_EXCHANGE_CORE_HPP
#define MEDLAR_DETAIL_MEMBERSHIP_EXCHANGE_CORE_HPP

#include <medlar/detail/membership/configuration_holder.hpp>
#include <medlar/detail/membership/exchange.hpp>
#include <medlar/detail/membership/guarded_ownership.hpp>
#include <medlar/detail/membership/leaving_targets.hpp>
#include <medlar/detail/membership/messages.hpp>
#include <medlar/detail/membership/peer_table.hpp>
#include <medlar/detail/membership/run_registry.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace medlar
{

/// @brief gateway addresses received from the controller
/// @note Safe to call from every thread.
class address_list
{
  public:
    void set(std::vector<endpoint> addresses)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        addresses_ = std::move(addresses);
    }

    std::vector<endpoint> get() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return addresses_;
    }

  private:
    mutable std::mutex mutex_;
    std::vector<endpoint> addresses_;
};

/// @brief State shared by the components of an exchange. Members that can change are
/// synchronised, each on its own.
struct exchange_core
{
    exchange_core(const exchange_settings& initial_settings,
                  clock& time_source,
                  claim_table& claim_store,
                  link_client& link_source);

    const exchange_settings settings;
    const clock& time;
    claim_table& claims;
    link_client& links;
    guarded_ownership owner;
    peer_table peers;
    leaving_targets leaving;
    configuration_holder configuration;
    run_registry runs;
    address_list controller_peers;
    std::atomic<bool> leaving_self{false};
    std::atomic<bool> stopped{false};

    incarnation self() const
    {
        return settings.self.process;
    }

    /// @brief the gossip that this gateway sends to its peers now
    peer_gossip gossip() const;

    /// @brief Returns a process from a known view, or as it announced itself.
    std::optional<view_member> find_member(incarnation process) const;

    exchange_status status() const;

    /// @brief epoch of the adopted view; 0 if there is none
    view_epoch adopted_epoch() const;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_MEMBERSHIP_EXCHANGE_CORE_HPP
