#ifndef MEDLAR_DETAIL_GATEWAY_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTER_HPP

#include <medlar/detail/gateway/request_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace medlar
{

/// @brief Runs the filters that follow.
using next_filter = std::function<run_result(request_context&)>;

/// @brief One step in the handling of a request.
///
/// A filter either returns a result itself or calls @p next, whose result it may inspect
/// or replace.
class filter
{
  public:
    virtual ~filter() = default;

    virtual run_result apply(request_context& context, const next_filter& next) = 0;
};

/// @brief The filters of a request, in the order of their application.
class filter_chain
{
  public:
    static filter_chain create(std::vector<std::unique_ptr<filter>> filters);

    /// @brief Passes a request through the filters and returns the result.
    run_result run(request_context& context) const;

  private:
    explicit filter_chain(std::vector<std::unique_ptr<filter>> filters);

    run_result run_from(std::size_t position, request_context& context) const;

    std::vector<std::unique_ptr<filter>> filters_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTER_HPP
