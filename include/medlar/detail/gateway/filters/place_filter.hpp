#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_PLACE_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_PLACE_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/relay_client.hpp>
#include <medlar/detail/membership/exchange.hpp>

#include <memory>
#include <optional>

namespace medlar
{

/// @brief Decides where a request runs: an idempotent one here, any other at its home, to
/// which it is relayed.
class place_filter : public filter
{
  public:
    static std::unique_ptr<filter>
    create(const clock& time, exchange& peers, relay_client& relay);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit place_filter(const clock& time, exchange& peers, relay_client& relay);

    run_result place(request_context& context, const next_filter& next);
    run_result run_here_and_finish(request_context& context, const next_filter& next);
    run_result wait_for_joined_run(const request_context& context);
    std::optional<run_result>
    relay_to(request_context& context, const view_member& home, bool& sent_to_home);
    run_result home_changed_refusal() const;
    run_result home_unreachable_result(const request_context& context,
                                       bool sent_to_home) const;

    const clock& time_;
    exchange& peers_;
    relay_client& relay_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_PLACE_FILTER_HPP
