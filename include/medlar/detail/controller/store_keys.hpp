#ifndef MEDLAR_DETAIL_CONTROLLER_STORE_KEYS_HPP
#define MEDLAR_DETAIL_CONTROLLER_STORE_KEYS_HPP

namespace medlar::store_keys
{

/// @brief folder that every controller watches
constexpr const char* live_folder = "medlar/live/";
/// @brief the accepted document
constexpr const char* configuration = "medlar/live/configuration";
/// @brief the view record
constexpr const char* view = "medlar/live/view";
/// @brief folder of the desired engine states, one entry per pool
constexpr const char* orders_folder = "medlar/orders/";
/// @brief lock of the controller that sends orders
constexpr const char* order_lock = "medlar/leases/orders";
/// @brief times of the recent weight loads, which limit the load rate
constexpr const char* weight_loads = "medlar/leases/loads";

} // namespace medlar::store_keys

#endif // MEDLAR_DETAIL_CONTROLLER_STORE_KEYS_HPP
