#ifndef MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP
#define MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP

namespace medlar
{

/// @brief what an organisation holds of a host's bound on requests
struct held_requests
{
    int organisation_count = 0;
    int total_count = 0;
    int max_requests = 0;
    double weight = 1;
    /// weights of the organisations that hold requests or ask now
    double active_weight = 1;
};

/// @brief Whether an organisation may hold one more request. Up to half of the bound
/// is free to all; beyond, each organisation keeps to its share.
bool within_share(const held_requests& held);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP
