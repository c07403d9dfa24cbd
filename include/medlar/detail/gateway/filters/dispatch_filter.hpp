#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_DISPATCH_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_DISPATCH_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/pipeline_runner.hpp>
#include <medlar/detail/gateway/request_watch.hpp>

#include <memory>

namespace medlar
{

/// @brief Runs the pipeline, watched for its deadline and its caller.
class dispatch_filter : public filter
{
  public:
    static std::unique_ptr<filter> create(const pipeline_runner& runner,
                                          request_watch& watch);

    run_end apply(request_context& context, const next_filter& next) override;

  private:
    explicit dispatch_filter(const pipeline_runner& runner, request_watch& watch);

    const pipeline_runner& runner_;
    request_watch& watch_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_DISPATCH_FILTER_HPP
