#ifndef MEDLAR_DETAIL_OPERATORS_ORDER_SERVICE_HPP
#define MEDLAR_DETAIL_OPERATORS_ORDER_SERVICE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/config/model_order.hpp>
#include <medlar/detail/operators/change_service.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief request to set the model orders of a pool
struct order_request
{
    std::string change_id;
    std::string author;
    pool_id pool;
    /// replaces the earlier orders of the pool
    std::vector<model_order> wanted;
};

/// @brief outcome of an order
struct order_result
{
    change_state state = change_state::unknown;
    revision number;
    bool accepted_earlier = false;
};

/// @brief Writes the desired engine state of pools, which a controller carries out.
/// @note Thread-safe.
class order_service
{
  public:
    static std::unique_ptr<order_service>
    create(store_client& store, const clock& time, change_service& changes);

    /// @brief Sets the desired state of each engine of a pool.
    /// @return errors 504 (an invalid field), 601 (another order was accepted first),
    ///     604 (no such pool), 605, 701, 703 (nothing was changed)
    absl::StatusOr<order_result> order(const order_request& request);

  private:
    /// the orders of a pool with their index in the store
    struct stored_orders
    {
        pool_orders orders;
        store_index index;
    };

    /// state of an order across several attempts
    struct order_progress
    {
        /// base revision of the first attempt
        std::optional<revision> first_base;
        /// base of an attempt whose reply was lost, as long as it may still take effect
        std::optional<revision> pending_base;
    };

    order_service(store_client& store, const clock& time, change_service& changes);

    absl::Status validate_request(const order_request& request);
    absl::StatusOr<stored_orders> read_orders(const pool_id& pool);
    absl::StatusOr<std::optional<order_result>>
    find_duplicate(const stored_orders& stored, const order_request& request);
    absl::StatusOr<std::optional<order_result>> try_once(const order_request& request,
                                                         order_progress& progress);
    /// @brief Records the stored orders in the audit log.
    absl::Status record(const order_request& request, const pool_orders& orders);

    store_client& store_;
    const clock& time_;
    change_service& changes_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_ORDER_SERVICE_HPP
