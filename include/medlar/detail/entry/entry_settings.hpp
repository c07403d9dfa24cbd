#ifndef MEDLAR_DETAIL_ENTRY_ENTRY_SETTINGS_HPP
#define MEDLAR_DETAIL_ENTRY_ENTRY_SETTINGS_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/dispatch/repeat_budget.hpp>

#include <vector>

namespace medlar
{

/// @brief the settings of an entry process
struct entry_settings
{
    host_id host;
    failure_domain_id domain;
    endpoint callers;
    endpoint readiness;
    endpoint metrics;
    /// where other entry hosts open links to this one
    endpoint link;
    endpoint store;
    /// links of other entry hosts that may be there at the start
    std::vector<endpoint> seeds;
    /// part of a core that the host may use
    double core_share = 1;
    /// what the host's network link carries, in Mbit/s
    double link_mbps = default_link_mbps;
    /// from the request to end until the process is killed
    millis grace{8000};
    repeat_rule repeats;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_ENTRY_ENTRY_SETTINGS_HPP
