#include <medlar/detail/controller/order_lease.hpp>
#include <medlar/detail/controller/store_keys.hpp>

#include <utility>

namespace medlar
{

order_lease::order_lease(store_client& store,
                         const clock& time,
                         millis time_to_live,
                         std::string holder)
    : store_(store),
      time_(time),
      time_to_live_(time_to_live),
      holder_(std::move(holder)),
      lease_tracker_(time_to_live)
{
}

absl::StatusOr<bool> order_lease::acquire_or_renew()
{
    absl::StatusOr<bool> done = fencing_.get() == 0 ? try_acquire() : renew();
    if (!done.ok())
    {
        return done;
    }
    return *done && is_held();
}

bool order_lease::is_held() const
{
    return fencing_.get() > 0 && lease_tracker_.is_held(time_.steady_now());
}

fencing_number order_lease::fencing() const
{
    return fencing_;
}

std::uint64_t order_lease::term() const
{
    return term_;
}

void order_lease::release()
{
    if (fencing_.get() > 0 && lease_)
    {
        // If this fails, the lease expires.
        (void)store_.release(store_keys::order_lock, holder_, *lease_);
    }
    clear();
}

absl::StatusOr<bool> order_lease::try_acquire()
{
    const absl::StatusOr<std::optional<store_entry>> entry =
        store_.get(store_keys::order_lock);
    if (!entry.ok())
    {
        return entry.status();
    }
    // No lease is created while another process holds the lock.
    if (entry->has_value() && !(*entry)->holder.get().empty())
    {
        return false;
    }
    const steady_time requested_at = time_.steady_now();
    const absl::StatusOr<store_lease> lease = store_.create_lease(time_to_live_);
    if (!lease.ok())
    {
        return lease.status();
    }
    lease_ = *lease;
    lease_tracker_.on_renewed(requested_at);
    const absl::StatusOr<bool> acquired =
        store_.acquire(store_keys::order_lock, holder_, *lease_);
    if (acquired.ok() && !*acquired)
    {
        clear();
        return false;
    }
    // The entry shows the holder also when the reply was lost.
    return confirm_holder();
}

absl::StatusOr<bool> order_lease::confirm_holder()
{
    const absl::StatusOr<std::optional<store_entry>> entry =
        store_.get(store_keys::order_lock);
    const bool ours = entry.ok() && entry->has_value() && (*entry)->holder == *lease_;
    if (!ours)
    {
        clear();
        return entry.ok() ? absl::StatusOr<bool>(false) : entry.status();
    }
    fencing_ = (*entry)->lock_count;
    ++term_;
    return true;
}

absl::StatusOr<bool> order_lease::renew()
{
    const steady_time requested_at = time_.steady_now();
    if (!lease_tracker_.renewal_due(requested_at))
    {
        return true;
    }
    // If the lease may have expired, another controller may have sent orders. A new term
    // makes every engine be checked again.
    term_ += lease_tracker_.is_held(requested_at) ? 0 : 1;
    const absl::StatusOr<bool> renewed = store_.renew_lease(*lease_);
    if (!renewed.ok())
    {
        return renewed.status();
    }
    if (!*renewed)
    {
        clear();
        return false;
    }
    lease_tracker_.on_renewed(requested_at);
    return true;
}

void order_lease::clear()
{
    lease_tracker_.on_lost();
    lease_.reset();
    fencing_ = fencing_number(0);
}

} // namespace medlar
