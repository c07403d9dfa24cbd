#include <medlar/detail/dispatch/process_evidence.hpp>

namespace medlar
{

namespace
{

// Writes of a process that has ended may reach a host late, and many of them at once. One
// that comes this much later than another was made by a process that lives.
constexpr millis max_delay_spread{1500};

} // namespace

void process_evidence::record_loss()
{
    may_have_restarted_ = true;
    written_at_.reset();
}

bool process_evidence::record_write(bool is_new_version, steady_time now)
{
    if (!may_have_restarted_)
    {
        return true;
    }
    if (!written_at_)
    {
        written_at_ = now;
    }
    if (is_new_version || now - *written_at_ >= max_delay_spread)
    {
        *this = process_evidence();
    }
    return !may_have_restarted_;
}

} // namespace medlar
