#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_LIMIT_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_LIMIT_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>

#include <atomic>
#include <memory>

namespace medlar
{

/// @brief Limits how many requests run or wait here at once. It follows the placement, so
/// that it can refuse with not_run.
class limit_filter : public filter
{
  public:
    /// @param held number of such requests, shared by all chains
    /// @param max_held the limit
    static std::unique_ptr<filter> create(std::atomic<int>& held, int max_held);

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    explicit limit_filter(std::atomic<int>& held, int max_held);

    std::atomic<int>& held_;
    int max_held_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_LIMIT_FILTER_HPP
