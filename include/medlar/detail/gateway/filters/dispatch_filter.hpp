#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_DISPATCH_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_DISPATCH_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/pipeline_runner.hpp>

#include <memory>

namespace medlar
{

/// @brief The last filter: runs the pipeline.
class dispatch_filter : public filter
{
  public:
    static std::unique_ptr<filter> create(const pipeline_runner& runner);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit dispatch_filter(const pipeline_runner& runner);

    const pipeline_runner& runner_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_DISPATCH_FILTER_HPP
