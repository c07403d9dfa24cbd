#ifndef MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP
#define MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP

namespace medlar
{

/// @brief requests that an organisation and all organisations hold at a host, with the
/// limit
struct held_requests
{
    int organisation_count = 0;
    int total_count = 0;
    int max_requests = 0;
    double weight = 1;
    /// sum of the weights of organisations that hold requests, including the requesting
    /// one
    double active_weight = 1;
};

/// @brief Returns whether an organisation may hold one more request. The first half of
/// the limit is open to all; above it, each organisation is limited to its weighted
/// share.
bool within_share(const held_requests& held);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP
