#ifndef MEDLAR_DETAIL_GATEWAY_RELAY_SERVER_HPP
#define MEDLAR_DETAIL_GATEWAY_RELAY_SERVER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/link/link.hpp>

#include <memory>

namespace medlar
{

/// @brief Handles /v1/relay at the home of a request.
class relay_server
{
  public:
    /// @param chain the filters for relayed requests
    static std::unique_ptr<relay_server> create(const clock& time,
                                                const filter_chain& chain);

    /// @brief Runs the relayed request and sends its tokens and its answer.
    /// @return HTTP status; it is used only if no part of the answer was sent
    int handle(const link_request& request, link_responder& responder) const;

  private:
    relay_server(const clock& time, const filter_chain& chain);

    const clock& time_;
    const filter_chain& chain_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_RELAY_SERVER_HPP
