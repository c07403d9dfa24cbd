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

/// @brief what an operator wants of the engines of a pool
struct order_request
{
    std::string change_id;
    std::string author;
    pool_id pool;
    /// replaces what was wanted before
    std::vector<model_order> wanted;
};

/// @brief the outcome of an order
struct order_result
{
    change_state state = change_state::unknown;
    revision number;
    bool accepted_earlier = false;
};

/// @brief Writes the wanted engine state of pools; a controller carries it out.
/// @note Safe to call from every thread.
class order_service
{
  public:
    static std::unique_ptr<order_service>
    create(store_client& store, const clock& time, change_service& changes);

    /// @brief Sets what is wanted of each engine of a pool.
    /// @return errors 504 (a bad field), 601 (another order came first), 604 (no such
    ///     pool), 605, 701, 703 (nothing was changed)
    absl::StatusOr<order_result> order(const order_request& request);

  private:
    /// the orders of a pool as they lie in the store
    struct stored_orders
    {
        pool_orders orders;
        store_index index;
    };

    /// an order on its way through several tries
    struct attempt
    {
        /// revision of the first try's base
        std::optional<revision> first_base;
        /// base of a try whose reply was lost, while it may still take effect
        std::optional<revision> pending_base;
    };

    order_service(store_client& store, const clock& time, change_service& changes);

    absl::Status check(const order_request& request);
    absl::StatusOr<stored_orders> read_orders(const pool_id& pool);
    absl::StatusOr<std::optional<order_result>> find_same(const stored_orders& stored,
                                                          const order_request& request);
    absl::StatusOr<std::optional<order_result>> try_once(const order_request& request,
                                                         attempt& so_far);
    absl::Status record(const order_request& request, const pool_orders& orders);

    store_client& store_;
    const clock& time_;
    change_service& changes_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_OPERATORS_ORDER_SERVICE_HPP
