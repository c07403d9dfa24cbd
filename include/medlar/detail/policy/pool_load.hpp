#ifndef MEDLAR_DETAIL_POLICY_POOL_LOAD_HPP
#define MEDLAR_DETAIL_POLICY_POOL_LOAD_HPP

namespace medlar
{

/// @brief load of a pool as one host estimates it
struct pool_load
{
    /// calls there now, from all gateways
    double in_system = 0;
    /// calls there now, from this host
    double own_calls = 0;
    /// calls that its usable targets run concurrently
    double slots = 0;
    /// mean service time of its calls, without queueing
    double mean_service_ms = 0;
    /// targets that are open and healthy
    int usable_targets = 0;
    /// whether most of its usable targets report their load
    bool reported = false;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_POOL_LOAD_HPP
