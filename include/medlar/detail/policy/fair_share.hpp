#ifndef MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP
#define MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP

#include <medlar/detail/base/ids.hpp>

#include <vector>

namespace medlar
{

/// @brief what one organisation asks of a contended capacity
struct share_request
{
    organisation_id organisation;
    double weight = 1;
    double demand = 0;
};

/// @brief Divides a capacity by weight. What one organisation does not need goes to the
/// others, so nothing is left over while anyone asks for more.
/// @return for each request, in order, its part of @p capacity
std::vector<double> fair_shares(const std::vector<share_request>& requests,
                                double capacity);

/// @brief what an organisation holds of a host's bound on requests
struct held_requests
{
    int of_organisation = 0;
    int of_all = 0;
    int most = 0;
    double weight = 1;
    /// weights of the organisations that hold requests or ask now
    double active_weight = 1;
};

/// @brief Whether an organisation may hold one more request. Up to half of the bound
/// is free to all; beyond, each organisation keeps to its share.
bool within_share(const held_requests& held);

} // namespace medlar

#endif // MEDLAR_DETAIL_POLICY_FAIR_SHARE_HPP
