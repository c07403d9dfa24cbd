#include <medlar/detail/entry/serving_configuration.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace medlar
{

namespace
{

// A caller leaves a stream after a gap as long as the largest of these three, also before
// the first event: the minimum, a multiple of the soft timeout, and a multiple of the
// longest gap that counts as in time.
constexpr millis min_caller_timeout{2000};
constexpr std::int64_t soft_timeout_factor = 4;
constexpr std::int64_t event_gap_factor = 8;

} // namespace

millis route::caller_timeout() const
{
    if (kind != route_kind::stream)
    {
        return timeout;
    }
    return std::max({min_caller_timeout,
                     soft_timeout * soft_timeout_factor,
                     max_event_gap * event_gap_factor});
}

void serving_configuration::index_routes()
{
    routes_by_host_.clear();
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        routes_by_host_[absl::AsciiStrToLower(routes[i].host)].push_back(i);
    }
    for (auto& each : routes_by_host_)
    {
        std::sort(each.second.begin(),
                  each.second.end(),
                  [this](std::size_t a, std::size_t b)
                  {
                      return routes[a].prefix.size() > routes[b].prefix.size();
                  });
    }
}

const std::vector<std::size_t>*
serving_configuration::find_indexes(absl::string_view host) const
{
    const std::string name = absl::AsciiStrToLower(host.substr(0, host.find(':')));
    const auto found = routes_by_host_.find(name);
    return found == routes_by_host_.end() ? nullptr : &found->second;
}

const route* serving_configuration::find_route(absl::string_view host,
                                               absl::string_view path) const
{
    const std::vector<std::size_t>* const indexes = find_indexes(host);
    if (indexes == nullptr)
    {
        return nullptr;
    }
    for (const std::size_t i : *indexes)
    {
        if (absl::StartsWith(path, routes[i].prefix))
        {
            return &routes[i];
        }
    }
    return nullptr;
}

std::vector<const route*>
serving_configuration::routes_of_host(absl::string_view host) const
{
    std::vector<const route*> found;
    const std::vector<std::size_t>* const indexes = find_indexes(host);
    for (std::size_t i = 0; indexes != nullptr && i < indexes->size(); ++i)
    {
        found.push_back(&routes[(*indexes)[i]]);
    }
    return found;
}

const pool_rule* serving_configuration::find_pool(const pool_id& name) const
{
    const auto found = pools.find(name);
    return found == pools.end() ? nullptr : &found->second;
}

} // namespace medlar
