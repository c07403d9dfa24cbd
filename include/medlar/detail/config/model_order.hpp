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

/// @brief one thing that is wanted of an engine
struct model_order
{
    /// load_model, unload_model, load_adapter or change_role
    std::string action;
    /// the model, the adapter or the role
    std::string model;
    std::string version;
};

/// @brief what operators want of each engine of a pool
struct pool_orders
{
    std::vector<model_order> wanted;
    std::string change_id;
    std::string author;
    /// rises by one with each change
    revision number;
    wall_time accepted_at;
};

/// @brief Checks actions and names.
/// @return error 504 that names the field
absl::Status validate(const std::vector<model_order>& wanted);

/// @brief Reads what lies under `medlar/orders/POOL`.
/// @return errors 501 to 504; fields of others beside these are passed over
absl::StatusOr<pool_orders> parse_pool_orders(absl::string_view text);

/// @brief the JSON form that parse_pool_orders() reads
std::string write_pool_orders(const pool_orders& orders);

/// @brief whether two lists want the same
bool same_orders(const std::vector<model_order>& a, const std::vector<model_order>& b);

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_MODEL_ORDER_HPP
