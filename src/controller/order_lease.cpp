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
      proof_(time_to_live)
{
}

absl::StatusOr<bool> order_lease::hold()
{
    absl::StatusOr<bool> done = fencing_.get() == 0 ? take() : renew();
    if (!done.ok())
    {
        return done;
    }
    return *done && held();
}

bool order_lease::held() const
{
    return fencing_.get() > 0 && proof_.is_held(time_.steady_now());
}

fencing_number order_lease::fencing() const
{
    return fencing_;
}

std::uint64_t order_lease::terms() const
{
    return terms_;
}

void order_lease::release()
{
    if (fencing_.get() > 0 && lease_)
    {
        // If this fails, the lease lapses by itself.
        (void)store_.release(store_keys::order_lock, holder_, *lease_);
    }
    drop();
}

absl::StatusOr<bool> order_lease::take()
{
    const absl::StatusOr<std::optional<store_entry>> entry =
        store_.get(store_keys::order_lock);
    if (!entry.ok())
    {
        return entry.status();
    }
    // Only a free lock is worth a lease.
    if (entry->has_value() && !(*entry)->holder.get().empty())
    {
        return false;
    }
    const steady_time asked_at = time_.steady_now();
    const absl::StatusOr<store_lease> lease = store_.create_lease(time_to_live_);
    if (!lease.ok())
    {
        return lease.status();
    }
    lease_ = *lease;
    proof_.on_renewed(asked_at);
    const absl::StatusOr<bool> acquired =
        store_.acquire(store_keys::order_lock, holder_, *lease_);
    if (acquired.ok() && !*acquired)
    {
        drop();
        return false;
    }
    // After a lost reply, too, the entry shows who holds it.
    return confirm();
}

absl::StatusOr<bool> order_lease::confirm()
{
    const absl::StatusOr<std::optional<store_entry>> entry =
        store_.get(store_keys::order_lock);
    const bool ours = entry.ok() && entry->has_value() && (*entry)->holder == *lease_;
    if (!ours)
    {
        drop();
        return entry.ok() ? absl::StatusOr<bool>(false) : entry.status();
    }
    fencing_ = (*entry)->lock_count;
    ++terms_;
    return true;
}

absl::StatusOr<bool> order_lease::renew()
{
    const steady_time asked_at = time_.steady_now();
    if (!proof_.renewal_due(asked_at))
    {
        return true;
    }
    // After a gap another controller may have given orders: all is verified afresh.
    terms_ += proof_.is_held(asked_at) ? 0 : 1;
    const absl::StatusOr<bool> renewed = store_.renew_lease(*lease_);
    if (!renewed.ok())
    {
        return renewed.status();
    }
    if (!*renewed)
    {
        drop();
        return false;
    }
    proof_.on_renewed(asked_at);
    return true;
}

void order_lease::drop()
{
    proof_.on_lost();
    lease_.reset();
    fencing_ = fencing_number(0);
}

} // namespace medlar
