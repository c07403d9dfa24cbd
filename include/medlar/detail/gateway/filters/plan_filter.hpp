#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_PLAN_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_PLAN_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>

#include <memory>

namespace medlar
{

/// @brief Refuses a request if a stage has no pool with a target that is not drained.
class plan_filter : public filter
{
  public:
    static std::unique_ptr<filter> create();

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    plan_filter() = default;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_PLAN_FILTER_HPP
