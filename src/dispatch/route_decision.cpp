#include <medlar/detail/dispatch/route_decision.hpp>
#include <medlar/detail/entry/host_headers.hpp>
#include <medlar/detail/http/status.hpp>

#include <algorithm>
#include <vector>

namespace medlar
{

namespace
{

// Pieces of one stage of a request. The number comes from the caller, and the host
// allocates a record for each. In the known deployments one call holds 76 at most.
constexpr int max_pieces = 10000;

route_decision answered(int status, absl::string_view why)
{
    route_decision decision;
    decision.status = status;
    decision.why = std::string(why);
    return decision;
}

route_decision not_taken(absl::string_view why)
{
    route_decision decision = answered(status_unavailable, why);
    decision.is_not_taken = true;
    return decision;
}

} // namespace

route_decision decide_route(const route_input& input)
{
    const bool is_serving = !input.is_stopping && input.has_started;
    if (!is_serving && input.is_forwarded)
    {
        return not_taken("not serving");
    }
    if (!is_serving)
    {
        return answered(status_unavailable,
                        input.is_stopping     ? "this host is stopping"
                        : input.configuration ? "this host has not asked its peers yet"
                                              : "this host has no configuration yet");
    }
    const serving_configuration& configuration = *input.configuration;
    if (input.is_forwarded && input.version_of_sender > configuration.version)
    {
        return not_taken("older configuration");
    }
    const route* const found = configuration.find_route(input.host, input.path);
    if (found == nullptr)
    {
        constexpr absl::string_view why = "no route matches";
        return input.is_forwarded ? not_taken(why) : answered(status_not_found, why);
    }
    if (input.is_forwarded && input.lacks_path(*found))
    {
        return not_taken(forward_no_path);
    }
    route_decision decision;
    const auto known = configuration.organisations_by_key.find(input.fields.access_key);
    if (known != configuration.organisations_by_key.end())
    {
        decision.organisation = known->second;
    }
    else if (configuration.has_organisations && !found->is_public)
    {
        constexpr absl::string_view why = "the access key is unknown";
        return input.is_forwarded ? not_taken(why) : answered(status_unauthorised, why);
    }
    if (input.fields.attempt.get().empty())
    {
        return answered(status_bad_request, "the attempt has no id");
    }
    const std::vector<int>& pieces = input.fields.pieces;
    if (std::any_of(pieces.begin(),
                    pieces.end(),
                    [](int each)
                    {
                        return each > max_pieces;
                    }))
    {
        return answered(status_bad_request, "the request has too many pieces");
    }
    decision.matched = found;
    return decision;
}

} // namespace medlar
