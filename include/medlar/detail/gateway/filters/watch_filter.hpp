#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_WATCH_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_WATCH_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/request_watch.hpp>

#include <memory>

namespace medlar
{

/// @brief Has a request cancelled when its deadline passes or, if it is idempotent, when
/// its caller disconnects.
///
/// A run that is not idempotent continues without its caller, who may send the request
/// again and join the run.
class watch_filter : public filter
{
  public:
    static std::unique_ptr<filter> create(request_watch& watch);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit watch_filter(request_watch& watch);

    request_watch& watch_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_WATCH_FILTER_HPP
