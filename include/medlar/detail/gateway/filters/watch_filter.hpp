#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_WATCH_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_WATCH_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/request_watch.hpp>

#include <memory>

namespace medlar
{

/// @brief Has a request watched for its deadline and, if it is idempotent, for its
/// caller.
///
/// The run of another goes on without its caller, who may send it again and join it.
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
