#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_ANSWER_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_ANSWER_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/metrics/registry.hpp>

#include <memory>

namespace medlar
{

/// @brief Counts outcomes, deadline attainment and latency by pipeline and organisation.
class answer_filter : public filter
{
  public:
    static std::unique_ptr<filter> create(const clock& time, metrics_registry& metrics);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit answer_filter(const clock& time, metrics_registry& metrics);

    const clock& time_;
    metrics_registry& metrics_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_ANSWER_FILTER_HPP
