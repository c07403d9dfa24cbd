#ifndef MEDLAR_DETAIL_CONTROLLER_ORDER_LEASE_HPP
#define MEDLAR_DETAIL_CONTROLLER_ORDER_LEASE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/cluster/order_plan.hpp>
#include <medlar/detail/store/store_client.hpp>

#include <absl/status/status.h>

#include <optional>
#include <string>

namespace medlar
{

/// @brief Lock in the store, under a lease, whose holder may send orders to engines.
/// @note Not thread-safe.
class order_lease
{
  public:
    /// @param holder value of the lock's entry while this process holds it
    order_lease(store_client& store,
                const clock& time,
                millis time_to_live,
                std::string holder);

    /// @brief Acquires the lock if it is free, or renews the lease if that is due.
    /// @return whether the lock is certain to be held
    absl::StatusOr<bool> acquire_or_renew();

    /// @brief Returns whether the lock is certain to be held now.
    bool is_held() const;

    /// @brief Returns the fencing number, which increases with each holder; 0: not held.
    fencing_number fencing() const;

    /// @brief Releases the lock.
    void release();

    /// @brief Returns a number that increases when the lock is acquired, and when a
    /// renewal follows a time in which it was not certain to be held.
    std::uint64_t term() const;

  private:
    absl::StatusOr<bool> try_acquire();
    absl::StatusOr<bool> renew();
    absl::StatusOr<bool> confirm_holder();
    void clear();

    store_client& store_;
    const clock& time_;
    millis time_to_live_;
    std::string holder_;
    lease_tracker lease_tracker_;
    std::optional<store_lease> lease_;
    // 0: the lock is not held
    fencing_number fencing_{0};
    std::uint64_t term_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_ORDER_LEASE_HPP
