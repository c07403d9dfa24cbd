#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_VALIDATE_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_VALIDATE_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/membership/exchange.hpp>
#include <medlar/detail/request/client_request.hpp>

#include <atomic>
#include <memory>

namespace medlar
{

/// @brief Parses the body and checks it against the current configuration.
class validate_filter : public filter
{
  public:
    /// @param refusing while true, requests are refused because this process shuts down
    static std::unique_ptr<filter> create(const clock& time,
                                          exchange& peers,
                                          const body_limits& limits,
                                          const std::atomic<bool>& refusing);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit validate_filter(const clock& time,
                             exchange& peers,
                             const body_limits& limits,
                             const std::atomic<bool>& refusing);

    run_result check_configured(request_context& context, const next_filter& next) const;

    const clock& time_;
    exchange& peers_;
    body_limits limits_;
    const std::atomic<bool>& refusing_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_VALIDATE_FILTER_HPP
