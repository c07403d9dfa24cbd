#include <medlar/detail/dispatch/slow_start_issuer.hpp>

#include <algorithm>
#include <iterator>

namespace medlar
{

namespace
{

// two renewals may be lost or late
constexpr millis max_renewal_age = slot_renewal_interval * 3;

// A slow start ends without load that uses the window up after this time without a slow
// answer or a failure: it would otherwise cost messages for each call, and prompts would
// be read again elsewhere. Targets are cold for some seconds.
constexpr millis max_quiet_time{5000};

// Hosts learn at different times that a target is back: a question whose age reaches so
// far behind the end of a slow start is about the same return.
constexpr millis return_spread{1000};

// the largest age that a host states is that of its own slow start, which ends earlier
constexpr millis remembered_end_time{60000};

// Hosts that are refused return one after the other, at this interval. With 66 hosts that
// always have a request, a target is asked for some 66 times a second.
constexpr millis refused_host_interval{15};
constexpr millis min_wait{100};
constexpr millis max_wait{1000};

// one host gets at most half of the free slots: others have requests, too
constexpr int free_divisor = 2;

} // namespace

slow_start_issuer::kept_window* slow_start_issuer::find(const target_id& target)
{
    const auto found = windows_.find(target);
    return found == windows_.end() ? nullptr : &found->second;
}

slot_grant slow_start_issuer::grant(const slot_question& question, steady_time now)
{
    kept_window* kept = find(question.target);
    const bool is_later_process =
        kept != nullptr && question.started_ms > kept->started_ms;
    if (kept != nullptr && kept->ended_at && !is_later_process)
    {
        if (now - question.age <= *kept->ended_at + return_spread)
        {
            return {{}, millis(0), true};
        }
    }
    if (kept == nullptr || kept->ended_at || is_later_process)
    {
        windows_.erase(question.target);
        kept =
            &windows_.emplace(question.target, kept_window(question, now)).first->second;
    }
    drop_unrenewed(*kept, now);
    slot_grant granted;
    const int free = kept->window.size() - kept->window.in_progress();
    const int count = std::min(question.wanted, std::max(1, free / free_divisor));
    for (int i = 0; i < count && kept->window.begin(last_slot_ + 1, now); ++i)
    {
        granted.slots.push_back(++last_slot_);
        kept->renewed_at[last_slot_] = now;
    }
    if (granted.slots.empty())
    {
        ++kept->refused;
        granted.wait = wait_of_refused(*kept, now);
        return granted;
    }
    kept->granted += static_cast<std::int64_t>(granted.slots.size());
    return granted;
}

millis slow_start_issuer::wait_of_refused(kept_window& kept, steady_time now)
{
    if (now - kept.second_begun >= millis(1000))
    {
        const bool is_next = now - kept.second_begun < millis(2000);
        kept.refused_before = is_next ? kept.refused_now : 0;
        kept.refused_now = 0;
        kept.second_begun = now;
    }
    ++kept.refused_now;
    return std::clamp(refused_host_interval *
                          std::max(kept.refused_now, kept.refused_before),
                      min_wait,
                      max_wait);
}

void slow_start_issuer::note(kept_window& kept, slow_start_result result, steady_time now)
{
    if (result == slow_start_result::slow || result == slow_start_result::failed)
    {
        kept.troubled_at = now;
    }
    if (!kept.ended_at && kept.window.has_ended())
    {
        kept.ended_at = now;
    }
}

void slow_start_issuer::record_answer(const target_id& target,
                                      std::uint64_t slot,
                                      slow_start_result result,
                                      steady_time now)
{
    kept_window* const kept = find(target);
    if (kept != nullptr && kept->renewed_at.count(slot) != 0)
    {
        kept->window.record_answer(slot, result, now);
        note(*kept, result, now);
    }
}

void slow_start_issuer::end(const target_id& target,
                            std::uint64_t slot,
                            slow_start_result result,
                            steady_time now)
{
    kept_window* const kept = find(target);
    if (kept != nullptr && kept->renewed_at.erase(slot) != 0)
    {
        kept->window.end(slot, result, now);
        note(*kept, result, now);
    }
}

void slow_start_issuer::renew(const target_id& target,
                              std::uint64_t slot,
                              steady_time now)
{
    kept_window* const kept = find(target);
    if (kept == nullptr)
    {
        return;
    }
    const auto found = kept->renewed_at.find(slot);
    if (found != kept->renewed_at.end())
    {
        found->second = now;
    }
}

void slow_start_issuer::drop_unrenewed(kept_window& kept, steady_time now)
{
    for (auto each = kept.renewed_at.begin(); each != kept.renewed_at.end();)
    {
        if (each->second + max_renewal_age >= now)
        {
            ++each;
            continue;
        }
        // nobody knows how its call has ended
        kept.window.end(each->first, slow_start_result::cancelled, now);
        each = kept.renewed_at.erase(each);
    }
}

std::vector<ended_slow_start> slow_start_issuer::tick(steady_time now)
{
    std::vector<ended_slow_start> ended;
    for (auto each = windows_.begin(); each != windows_.end();)
    {
        kept_window& kept = each->second;
        drop_unrenewed(kept, now);
        if (!kept.ended_at && kept.troubled_at + max_quiet_time < now)
        {
            kept.ended_at = now;
        }
        if (kept.ended_at && !kept.is_reported)
        {
            kept.is_reported = true;
            ended.push_back({each->first,
                             kept.window.has_ended(),
                             now - kept.begun_at,
                             kept.granted,
                             kept.refused});
        }
        const bool is_old = kept.ended_at && *kept.ended_at + remembered_end_time < now;
        each = is_old ? windows_.erase(each) : std::next(each);
    }
    return ended;
}

int slow_start_issuer::window_sum() const
{
    int sum = 0;
    for (const auto& each : windows_)
    {
        sum += each.second.ended_at ? 0 : each.second.window.size();
    }
    return sum;
}

} // namespace medlar
