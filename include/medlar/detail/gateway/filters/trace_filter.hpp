#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_TRACE_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_TRACE_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>
#include <medlar/detail/gateway/trace_store.hpp>

#include <memory>

namespace medlar
{

/// @brief Stores outcome and trace of each request for later lookups by operators.
class trace_filter : public filter
{
  public:
    static std::unique_ptr<filter> create(trace_store& traces);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit trace_filter(trace_store& traces);

    trace_store& traces_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_TRACE_FILTER_HPP
