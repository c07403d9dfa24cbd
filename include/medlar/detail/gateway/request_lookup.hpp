#ifndef MEDLAR_DETAIL_GATEWAY_REQUEST_LOOKUP_HPP
#define MEDLAR_DETAIL_GATEWAY_REQUEST_LOOKUP_HPP

#include <medlar/detail/gateway/trace_store.hpp>
#include <medlar/detail/link/link.hpp>
#include <medlar/detail/membership/exchange.hpp>
#include <medlar/detail/ownership/claim_table.hpp>

#include <memory>
#include <optional>
#include <string>

namespace medlar
{

/// @brief Looks up the state of requests, in this host's memory and at the hosts that are
/// their likely homes.
/// @note Thread-safe.
class request_lookup
{
  public:
    /// @brief The objects that it uses; they must outlive it.
    struct dependencies
    {
        view_member self;
        const claim_table& claims;
        const trace_store& traces;
        const exchange& peers;
        link_client& links;
    };

    static std::unique_ptr<request_lookup> create(const dependencies& deps);

    /// @brief Returns the state of a request as JSON text. Queries its likely homes if
    /// this host has no record of it.
    /// @return unset if none of them has one
    std::optional<std::string> find(const request_key& key) const;

    /// @brief Handles /v1/lookup and /v1/explain from this host's memory.
    /// @return HTTP status; unset for any other path
    std::optional<int> handle(const link_request& request,
                              link_responder& responder) const;

  private:
    explicit request_lookup(const dependencies& deps);

    std::optional<std::string> find_here(const request_key& key) const;
    std::optional<std::string> query_peer(const view_member& peer,
                                          const request_key& key) const;

    dependencies deps_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_REQUEST_LOOKUP_HPP
