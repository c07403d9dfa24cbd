#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_PLACE_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_PLACE_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/relay_client.hpp>
#include <medlar/detail/membership/exchange.hpp>

#include <memory>
#include <optional>

namespace medlar
{

/// @brief Finds out where a request runs. Idempotent requests run here; others at their
/// home, to which they are relayed.
class place_filter : public filter
{
  public:
    static std::unique_ptr<filter>
    create(const clock& time, exchange& peers, relay_client& relay);

    run_end apply(request_context& context, const next_filter& next) override;

  private:
    explicit place_filter(const clock& time, exchange& peers, relay_client& relay);

    run_end place(request_context& context, const next_filter& next);
    run_end run_here_and_finish(request_context& context, const next_filter& next);
    run_end wait_here(const request_context& context);
    std::optional<run_end>
    relay_to(request_context& context, const view_member& home, bool& handed);
    run_end home_moved() const;
    run_end give_up(const request_context& context, bool handed) const;

    const clock& time_;
    exchange& peers_;
    relay_client& relay_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_PLACE_FILTER_HPP
