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

/// @brief Answers what became of a request, from this host's memory or from the hosts
/// that would be its home.
/// @note Safe to call from every thread.
class request_lookup
{
  public:
    /// @brief what it works with
    struct dependencies
    {
        view_member self;
        const claim_table& claims;
        const trace_store& traces;
        const exchange& peers;
        link_client& links;
    };

    static std::unique_ptr<request_lookup> create(const dependencies& deps);

    /// @brief The state of a request as JSON text, asked of its likely homes as well.
    /// @return unset if none of them knows it
    std::optional<std::string> find(const request_key& key) const;

    /// @brief Answers /v1/lookup and /v1/explain from this host's memory.
    /// @return unset if the path is another's
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
