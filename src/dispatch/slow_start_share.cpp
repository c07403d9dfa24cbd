#include <medlar/detail/dispatch/slow_start_share.hpp>

#include <algorithm>
#include <iterator>

namespace medlar
{

namespace
{

// A slot that no request of the host uses within this time goes back. A host with three
// requests a second for a pool uses four of five slots.
constexpr millis hold_time{500};

// a silent issuer is asked again after this time
constexpr millis silent_issuer_wait{1000};

// One answer that is lost or late says nothing about the issuer: hosts that send without
// slots overload a slow target.
constexpr int max_silent_in_row = 2;
constexpr millis lost_answer_wait{100};

// slots for which a host asks at a time
constexpr int max_wanted = 4;

// a slow start ends at a host that has heard nothing of it for this time, as its issuer
// ends one without trouble
constexpr millis max_untold_time{5000};

} // namespace

void slow_start_share::record_out(steady_time now)
{
    out_at_ = now;
    told_at_ = now;
    is_told_of_end_ = false;
}

bool slow_start_share::has_ended(steady_time now) const
{
    return is_told_of_end_ || told_at_ + max_untold_time < now;
}

bool slow_start_share::holds_slot(steady_time now) const
{
    return std::any_of(held_.begin(),
                       held_.end(),
                       [now](const held_slot& each)
                       {
                           return now <= each.until;
                       });
}

bool slow_start_share::may_send(int in_flight, steady_time now) const
{
    return has_ended(now) || holds_slot(now) || (now < alone_until_ && in_flight == 0);
}

bool slow_start_share::record_missed(steady_time now)
{
    missed_ = std::min(missed_ + 1, max_wanted);
    return !is_asking_ && now >= ask_from_ && now >= alone_until_;
}

bool slow_start_share::may_be_granted(steady_time now) const
{
    return is_asking_ || (now >= ask_from_ && now >= alone_until_);
}

int slow_start_share::begin_question()
{
    is_asking_ = true;
    const int wanted = std::max(1, missed_);
    missed_ = 0;
    return wanted;
}

void slow_start_share::record_grant(const slot_grant& granted,
                                    const host_id& issuer,
                                    steady_time now)
{
    is_asking_ = false;
    alone_until_ = steady_time();
    silent_in_row_ = 0;
    if (granted.has_ended)
    {
        is_told_of_end_ = true;
        return;
    }
    told_at_ = now;
    for (const std::uint64_t each : granted.slots)
    {
        held_.push_back({{each, issuer}, now + hold_time});
    }
    if (granted.slots.empty())
    {
        ask_from_ = now + granted.wait;
    }
}

void slow_start_share::record_silence(steady_time now)
{
    is_asking_ = false;
    if (++silent_in_row_ < max_silent_in_row)
    {
        ask_from_ = now + lost_answer_wait;
        return;
    }
    alone_until_ = now + silent_issuer_wait;
}

std::optional<lent_slot> slow_start_share::take(steady_time now)
{
    const auto found = std::find_if(held_.begin(),
                                    held_.end(),
                                    [now](const held_slot& each)
                                    {
                                        return now <= each.until;
                                    });
    if (found == held_.end())
    {
        return std::nullopt;
    }
    lent_slot taken = found->slot;
    held_.erase(found);
    return taken;
}

std::vector<lent_slot> slow_start_share::drop_unused(steady_time now)
{
    std::vector<lent_slot> unused;
    for (auto each = held_.begin(); each != held_.end();)
    {
        if (now <= each->until && !has_ended(now))
        {
            ++each;
            continue;
        }
        unused.push_back(std::move(each->slot));
        each = held_.erase(each);
    }
    return unused;
}

std::vector<lent_slot> slow_start_share::held() const
{
    std::vector<lent_slot> all;
    all.reserve(held_.size());
    for (const held_slot& each : held_)
    {
        all.push_back(each.slot);
    }
    return all;
}

bool begins_slow_start(const cold_rule& rule, bool is_failure)
{
    return rule.after_start > millis(0) && (is_failure || rule.per_s <= 0);
}

bool is_slow_start_limited(std::size_t in_slow_start, std::size_t others)
{
    return in_slow_start <= others;
}

} // namespace medlar
