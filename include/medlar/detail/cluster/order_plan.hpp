#ifndef MEDLAR_DETAIL_CLUSTER_ORDER_PLAN_HPP
#define MEDLAR_DETAIL_CLUSTER_ORDER_PLAN_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/config/model_order.hpp>

#include <absl/status/statusor.h>
#include <absl/strings/string_view.h>

#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief a model and its version
struct model_version
{
    model_id model;
    std::string version;
};

/// @brief an adapter and its version; an empty version matches any
struct adapter_version
{
    std::string adapter;
    std::string version;
};

/// @brief Desired state of the engines of a pool. Whatever is not named stays as it is.
struct desired_engine_state
{
    std::vector<model_version> models;
    /// models that must not be loaded
    std::vector<model_id> absent;
    std::vector<adapter_version> adapters;
    std::optional<std::string> role;
};

/// @brief state reported by an engine
struct engine_state
{
    std::vector<model_version> models;
    std::vector<std::string> adapters;
    std::string role;
};

/// @brief action of an engine_order
enum class order_action
{
    load_model,
    unload_model,
    load_adapter,
    change_role,
};

/// @brief idempotent order to an engine
struct engine_order
{
    order_action action = order_action::load_model;
    model_version model;
    adapter_version adapter;
    std::string role;
};

/// @brief Returns the state that a list of orders describes; the last order for a model
/// wins.
desired_engine_state merge_orders(const std::vector<model_order>& orders);

/// @brief Parses the value of the store key `medlar/orders/POOL`.
/// @return errors 501 to 504, which name the field
absl::StatusOr<desired_engine_state> parse_desired_state(absl::string_view text);

/// @brief Parses the response to `GET /v1/state`.
/// @return error 704, which names the field
absl::StatusOr<engine_state> parse_engine_state(absl::string_view text);

/// @brief Returns the next order that brings an engine closer to the desired state.
/// @return unset if the engine is in the desired state
std::optional<engine_order> next_order(const desired_engine_state& desired,
                                       const engine_state& actual);

/// @brief Returns whether an order makes the engine read weights from the weight store.
bool loads_weights(const engine_order& order);

/// @brief Returns the body of `POST /v1/order`.
std::string write_order(const engine_order& order,
                        fencing_number fencing,
                        const std::string& order_id);

/// @brief Limit on the weight loads ordered within a period, over all hosts. Its state is
/// kept in the store.
class load_rate_limiter
{
  public:
    /// @param limit maximum number of loads within @p period
    load_rate_limiter(int limit, millis period);

    /// @brief Replaces the recorded loads by those of the stored form; a malformed form
    /// counts as empty.
    void read(absl::string_view text);

    /// @brief Returns the stored form.
    std::string write() const;

    /// @brief Records a load unless the limit is reached.
    /// @return whether the load is within the limit
    bool try_add(wall_time now);

  private:
    int limit_;
    millis period_;
    std::vector<wall_time> loads_;
};

/// @brief Tracks how long a lease is certainly held, by the clock of this process.
class lease_tracker
{
  public:
    /// @param time_to_live time to live of the lease in the store
    explicit lease_tracker(millis time_to_live);

    /// @brief Records that a call made at @p requested_at created or renewed the lease.
    void on_renewed(steady_time requested_at);

    /// @brief Records that the lease is no longer held.
    void on_lost();

    /// @brief Returns whether the lease is certainly held.
    bool is_held(steady_time now) const;

    /// @brief Returns whether the lease is due for renewal.
    bool renewal_due(steady_time now) const;

  private:
    millis time_to_live_;
    std::optional<steady_time> renewed_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_ORDER_PLAN_HPP
