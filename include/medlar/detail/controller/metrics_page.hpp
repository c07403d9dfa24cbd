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
    /// @param where address to listen at; port 0 picks a free port
    /// @param write returns the text of the page
    /// @return error 901 if the address cannot be listened on
    static absl::StatusOr<std::unique_ptr<metrics_page>>
    create(const endpoint& where, std::function<std::string()> write);

    virtual ~metrics_page() = default;

    /// @brief Returns the address at which it listens.
    virtual endpoint where() const = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_METRICS_PAGE_HPP
