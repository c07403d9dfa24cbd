#ifndef MEDLAR_DETAIL_CONTROLLER_METRICS_PAGE_HPP
#define MEDLAR_DETAIL_CONTROLLER_METRICS_PAGE_HPP

#include <medlar/detail/base/endpoint.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace medlar
{

/// @brief Serves the metrics of a process as `GET /metrics` until destroyed.
class metrics_page
{
  public:
    /// @param where port 0 takes a free one
    /// @param write makes the page
    /// @return error 901 if the address cannot be listened on
    static absl::StatusOr<std::unique_ptr<metrics_page>>
    create(const endpoint& where, std::function<std::string()> write);

    virtual ~metrics_page() = default;

    /// @brief where it listens
    virtual endpoint where() const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_METRICS_PAGE_HPP
