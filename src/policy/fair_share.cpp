#include <medlar/detail/policy/fair_share.hpp>

#include <algorithm>
#include <numeric>

namespace medlar
{

namespace
{

constexpr double least_weight = 1e-6;

double weight_of(const share_request& request)
{
    return std::max(least_weight, request.weight);
}

/// @brief indexes in rising order of demand by weight
std::vector<std::size_t> smallest_demand_first(const std::vector<share_request>& requests)
{
    std::vector<std::size_t> order(requests.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(),
              order.end(),
              [&requests](std::size_t a, std::size_t b)
              {
                  return requests[a].demand * weight_of(requests[b]) <
                         requests[b].demand * weight_of(requests[a]);
              });
    return order;
}

} // namespace

std::vector<double> fair_shares(const std::vector<share_request>& requests,
                                double capacity)
{
    std::vector<double> shares(requests.size(), 0);
    double weight_left = 0;
    for (const share_request& each : requests)
    {
        weight_left += weight_of(each);
    }
    double left = capacity;
    for (const std::size_t i : smallest_demand_first(requests))
    {
        const double weight = weight_of(requests[i]);
        const double part = left * weight / weight_left;
        shares[i] = std::min(part, requests[i].demand);
        left -= shares[i];
        weight_left -= weight;
    }
    return shares;
}

bool within_share(const held_requests& held)
{
    if (2 * held.of_all < held.most)
    {
        return true;
    }
    const double share = held.most * held.weight / held.active_weight;
    return held.of_organisation + 1 <= share;
}

} // namespace medlar
