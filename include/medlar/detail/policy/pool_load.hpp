#ifndef MEDLAR_DETAIL_POLICY_POOL_LOAD_HPP
#define MEDLAR_DETAIL_POLICY_POOL_LOAD_HPP

namespace medlar
{

/// @brief a pool as a whole, as one host estimates it
struct pool_load
{
    /// calls there now, of all gateways
    double in_system = 0;
    /// calls there now, of this host
    double own_calls = 0;
    /// calls that its usable targets run at once
    double slots = 0;
    /// mean time of the calls that it runs, waiting left out
    double mean_service_ms = 0;
    /// targets that get calls
    int usable_targets = 0;
    /// whether most of its targets report their load
    bool reported = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_POOL_LOAD_HPP
