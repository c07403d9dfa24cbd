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

/// @brief The right to give orders: a lock in the store under a lease.
/// @note Used by one thread.
class order_lease
{
  public:
    /// @param holder value of the lock's entry while it is held here
    order_lease(store_client& store,
                const clock& time,
                millis time_to_live,
                std::string holder);

    /// @brief Takes the lock if nobody holds it, or renews the lease if that is due.
    /// @return whether the lock is held for certain
    absl::StatusOr<bool> hold();

    /// @brief whether the lock is held for certain now
    bool held() const;

    /// @brief rises with each holder
    fencing_number fencing() const;

    /// @brief Gives the lock up.
    void release();

    /// @brief Counts how often the lock was taken here, or its proof had a gap.
    std::uint64_t terms() const;

  private:
    absl::StatusOr<bool> take();
    absl::StatusOr<bool> renew();
    absl::StatusOr<bool> confirm();
    void drop();

    store_client& store_;
    const clock& time_;
    millis time_to_live_;
    std::string holder_;
    lease_tracker proof_;
    std::optional<store_lease> lease_;
    // 0: the lock is not held
    fencing_number fencing_{0};
    std::uint64_t terms_ = 0;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONTROLLER_ORDER_LEASE_HPP
