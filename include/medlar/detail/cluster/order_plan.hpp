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

/// @brief an adapter and its version; "": any
struct adapter_version
{
    std::string adapter;
    std::string version;
};

/// @brief What the engines of a pool are to have. What is not named is left as it is.
struct wanted_engine_state
{
    std::vector<model_version> models;
    /// models that are not to be loaded
    std::vector<model_id> absent;
    std::vector<adapter_version> adapters;
    std::optional<std::string> role;
};

/// @brief what an engine reports to have
struct engine_state
{
    std::vector<model_version> models;
    std::vector<std::string> adapters;
    std::string role;
};

/// @brief what an order does
enum class order_action
{
    load_model,
    unload_model,
    load_adapter,
    change_role,
};

/// @brief one order to an engine; its effect is the same however often it is given
struct engine_order
{
    order_action action = order_action::load_model;
    model_version model;
    adapter_version adapter;
    std::string role;
};

/// @brief What a list of orders comes to: of several about one model, the last counts.
wanted_engine_state wanted_of(const std::vector<model_order>& orders);

/// @brief Reads the value of `medlar/orders/POOL`.
/// @return errors 501 to 504 that name the field
absl::StatusOr<wanted_engine_state> parse_wanted_state(absl::string_view text);

/// @brief Reads the answer to `GET /v1/state`.
/// @return error 704 that names the field
absl::StatusOr<engine_state> parse_engine_state(absl::string_view text);

/// @brief The next order that brings an engine closer to what is wanted.
/// @return unset if it has all that is wanted
std::optional<engine_order> next_order(const wanted_engine_state& wanted,
                                       const engine_state& actual);

/// @brief whether an order reads weights from the weight store
bool loads_weights(const engine_order& order);

/// @brief the body of `POST /v1/order`
std::string write_order(const engine_order& order,
                        fencing_number fencing,
                        const std::string& order_id);

/// @brief Loads that were ordered lately, of all hosts.
class load_ledger
{
  public:
    /// @param limit most loads within @p period
    load_ledger(int limit, millis period);

    /// @brief Takes over the stored form; a malformed one counts as empty.
    void read(absl::string_view text);

    /// @brief the stored form
    std::string write() const;

    /// @brief Counts one more load.
    /// @return false if the limit is reached
    bool add(wall_time now);

  private:
    int limit_;
    millis period_;
    std::vector<wall_time> loads_;
};

/// @brief How long this process can prove by its own clock that it holds a lease.
class lease_proof
{
  public:
    /// @param time_to_live of the lease
    explicit lease_proof(millis time_to_live);

    /// @brief The lease was created or renewed by a call made at @p asked_at.
    void renewed(steady_time asked_at);

    /// @brief The lease is not held any more.
    void lost();

    /// @brief whether the lease is held for certain
    bool held(steady_time now) const;

    /// @brief whether it is time to renew
    bool renewal_due(steady_time now) const;

  private:
    millis time_to_live_;
    std::optional<steady_time> renewed_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CLUSTER_ORDER_PLAN_HPP
