#ifndef MEDLAR_DETAIL_GATEWAY_FILTERS_AUTHENTICATE_FILTER_HPP
#define MEDLAR_DETAIL_GATEWAY_FILTERS_AUTHENTICATE_FILTER_HPP

#include <medlar/detail/gateway/filter.hpp>

#include <memory>

namespace medlar
{

/// @brief Refuses a request without the key of its organisation, if the organisation has
/// one.
class authenticate_filter : public filter
{
  public:
    static std::unique_ptr<filter> create();

    run_result apply(request_context& context, const next_filter& next) override;

  private:
    authenticate_filter() = default;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_GATEWAY_FILTERS_AUTHENTICATE_FILTER_HPP
