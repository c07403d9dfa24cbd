#ifndef MEDLAR_DETAIL_CONFIG_MODEL_ORDER_HPP
#define MEDLAR_DETAIL_CONFIG_MODEL_ORDER_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <string>
#include <vector>

namespace medlar
{

/// @brief an order to an engine
struct model_order
{
    /// load_model, unload_model, load_adapter or change_role
    std::string action;
    /// the model, the adapter or the role
    std::string model;
    std::string version;
};

/// @brief the orders that apply to each engine of a pool
struct pool_orders
{
    std::vector<model_order> wanted;
    std::string change_id;
    std::string author;
    /// incremented by each change
    revision number;
    wall_time accepted_at;
};

/// @brief Validates the actions and names of orders.
/// @return error 504 that names the field
absl::Status validate(const std::vector<model_order>& wanted);

/// @brief Parses the value stored under `medlar/orders/POOL`; unknown fields are
/// ignored.
/// @return errors 501 to 504
absl::StatusOr<pool_orders> parse_pool_orders(absl::string_view text);

/// @brief Returns the JSON form that parse_pool_orders() reads.
std::string write_pool_orders(const pool_orders& orders);

/// @brief Returns whether two lists contain the same orders.
bool same_orders(const std::vector<model_order>& a, const std::vector<model_order>& b);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_MODEL_ORDER_HPP
