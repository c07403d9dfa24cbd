#include <medlar/detail/dispatch/process_evidence.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// Writes of a process that has ended may reach a host late, and many of them at once. One
// that comes this much later than another was made by a process that lives.
constexpr millis max_delay_spread{1500};

} // namespace

void process_evidence::record_loss(steady_time at)
{
    if (!alive_at_ || *alive_at_ < at)
    {
        lost_at_ = lost_at_ ? std::max(*lost_at_, at) : at;
    }
}

bool process_evidence::record_end(steady_time at)
{
    record_loss(at);
    const bool is_new = lost_at_ && !has_ended_;
    has_ended_ = lost_at_.has_value();
    return is_new;
}

bool process_evidence::record_write(bool is_new_version, steady_time now)
{
    if (is_new_version)
    {
        *this = process_evidence();
        return true;
    }
    if (!written_at_ || (lost_at_ && *written_at_ < *lost_at_))
    {
        written_at_ = now;
    }
    else if (now - *written_at_ >= max_delay_spread)
    {
        alive_at_ = written_at_;
        written_at_ = now;
        lost_at_.reset();
        has_ended_ = false;
    }
    return !lost_at_;
}

} // namespace medlar
