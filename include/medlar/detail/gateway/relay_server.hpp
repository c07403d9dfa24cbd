#ifndef MEDLAR_DETAIL_GATEWAY_RELAY_SERVER_HPP
#define MEDLAR_DETAIL_GATEWAY_RELAY_SERVER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/link/link.hpp>

#include <memory>

namespace medlar
{

/// @brief The home's side of relaying: answers /v1/relay.
class relay_server
{
  public:
    /// @param chain the filters that a relayed request passes
    static std::unique_ptr<relay_server> create(const clock& time,
                                                const filter_chain& chain);

    /// @return HTTP status of an answer of which no part was sent yet
    int handle(const link_request& request, link_responder& responder) const;

  private:
    relay_server(const clock& time, const filter_chain& chain);

    const clock& time_;
    const filter_chain& chain_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_RELAY_SERVER_HPP
