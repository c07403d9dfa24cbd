#ifndef MEDLAR_DETAIL_ENTRY_ENTRY_SETTINGS_HPP
#define MEDLAR_DETAIL_ENTRY_ENTRY_SETTINGS_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/cold_target.hpp>
#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/dispatch/pool_retry_budget.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief largest value of the store if the settings do not state it, in bytes
constexpr std::size_t default_store_value_bytes = 1048576;

/// @brief The settings of an entry process.
struct entry_settings
{
    host_id host;
    failure_domain_id domain;
    endpoint caller_endpoint;
    endpoint readiness_endpoint;
    endpoint metrics_endpoint;
    /// where this host accepts links of other entry hosts
    endpoint link_endpoint;
    /// where this host accepts requests that other entry hosts forward
    endpoint forward_endpoint;
    endpoint store_endpoint;
    /// largest value that the store takes, in bytes
    std::size_t store_value_bytes = default_store_value_bytes;
    /// link addresses of other entry hosts to try at startup
    std::vector<endpoint> seeds;
    /// share of a CPU core that the host may use
    double core_share = 1;
    /// memory that the process may have, in MB; the default is that of the smallest hosts
    std::size_t memory_mb = 120;
    /// bytes a second below which the readers of answers count as stalled while memory is
    /// short: the slowest rate at which a body may be sent then; 0 for those that take
    /// nothing
    std::uint64_t least_read_rate = 4096;
    /// file descriptors that the process may have open; 0: as many as the system allows
    std::size_t max_descriptors = 0;
    /// bandwidth of the host's network link, in Mbit/s
    double link_mbps = default_link_mbps;
    /// time from the termination signal until the process is killed
    millis shutdown_grace{8000};
    pool_retry_rule retry_rule;
    cold_bound cold;
    /// time within which a change in the store has to be in force on this host
    millis change_bound{2000};
    /// time between two writes of a target's entry
    millis target_heartbeat{1000};
    /// time within which the evacuation of a failure domain has to be in force on this
    /// host; unset if evacuations are not read
    std::optional<millis> evacuate_bound;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_ENTRY_SETTINGS_HPP
