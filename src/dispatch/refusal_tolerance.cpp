#include <medlar/detail/dispatch/refusal_tolerance.hpp>
#include <medlar/detail/dispatch/target_table.hpp>

#include <algorithm>
#include <optional>

namespace medlar
{

namespace
{

// A target counts the refusals of one second. The rest is for those whose reports take
// longer than that of the refusal before.
constexpr millis counted_time{1100};

// A call that is not refused within this time has been accepted: a target refuses at
// once, and the report of it has two hops. With less, the next call of a steady load
// reaches the target before the report.
constexpr millis refusal_time{75};

// calls need permits from this part of the limit on
constexpr double free_fraction = 1.0 / 3;

constexpr double min_countable_per_s = 2;

// hosts that ask again too soon only add messages
constexpr millis min_wait{20};

// bounds on what is kept and told; a limit that is larger than these is hardly one
constexpr std::size_t max_refusals = 256;
constexpr std::size_t max_reports = 64;

} // namespace

bool refusal_tolerance::is_countable(double per_s)
{
    // false also if it is no number
    return per_s >= min_countable_per_s;
}

refusal_tolerance::known_refusal& refusal_tolerance::find_or_add(std::uint64_t id,
                                                                 steady_time at)
{
    const auto found = std::find_if(refusals_.begin(),
                                    refusals_.end(),
                                    [id](const known_refusal& each)
                                    {
                                        return each.id == id;
                                    });
    if (found != refusals_.end())
    {
        return *found;
    }
    const auto later = std::find_if(refusals_.begin(),
                                    refusals_.end(),
                                    [at](const known_refusal& each)
                                    {
                                        return at < each.at;
                                    });
    return *refusals_.insert(later, known_refusal{id, at, at, false});
}

void refusal_tolerance::forget(steady_time now)
{
    refusals_.erase(std::remove_if(refusals_.begin(),
                                   refusals_.end(),
                                   [now](const known_refusal& each)
                                   {
                                       return each.at + counted_time <= now &&
                                              each.paused_until <= now;
                                   }),
                    refusals_.end());
    while (refusals_.size() >= max_refusals)
    {
        refusals_.pop_front();
    }
    while (!issued_.empty() && issued_.front() + refusal_time <= now)
    {
        issued_.pop_front();
    }
}

void refusal_tolerance::record(std::uint64_t id, millis pause, steady_time now)
{
    forget(now);
    known_refusal& known = find_or_add(id, now);
    if (!known.is_ruled)
    {
        known.paused_until = std::max(known.paused_until, now + pause);
    }
}

void refusal_tolerance::record_earlier(const refusal_report& known, steady_time now)
{
    forget(now);
    if (known.age < counted_time)
    {
        find_or_add(known.id, now - std::max(millis(0), known.age));
    }
}

void refusal_tolerance::apply(std::uint64_t id,
                              const refusal_ruling& ruling,
                              steady_time now)
{
    forget(now);
    known_refusal& known = find_or_add(id, now);
    known.is_ruled = true;
    known.paused_until = known.at;
    ruled_pause_until_ = now + ruling.pause;
    permits_until_ = now + ruling.permits;
}

std::vector<refusal_report> refusal_tolerance::recent(steady_time now) const
{
    std::vector<refusal_report> reports;
    for (auto each = refusals_.rbegin(); each != refusals_.rend(); ++each)
    {
        if (each->at + counted_time <= now || reports.size() >= max_reports)
        {
            break;
        }
        reports.push_back({each->id, now - each->at});
    }
    return reports;
}

steady_time refusal_tolerance::paused_until() const
{
    steady_time until = ruled_pause_until_;
    for (const known_refusal& each : refusals_)
    {
        until = std::max(until, each.paused_until);
    }
    return until;
}

steady_time refusal_tolerance::paused_without_rulings_until(millis pause) const
{
    return refusals_.empty() ? steady_time() : refusals_.back().at + pause;
}

std::size_t refusal_tolerance::count(steady_time now) const
{
    return static_cast<std::size_t>(std::count_if(refusals_.begin(),
                                                  refusals_.end(),
                                                  [now](const known_refusal& each)
                                                  {
                                                      return now < each.at + counted_time;
                                                  }));
}

millis refusal_tolerance::time_until_below(double limit, steady_time now) const
{
    std::size_t left = count(now);
    millis wait{0};
    for (const known_refusal& each : refusals_)
    {
        if (left == 0 || static_cast<double>(left) < limit)
        {
            break;
        }
        if (now < each.at + counted_time)
        {
            --left;
            wait = each.at + counted_time - now;
        }
    }
    return wait;
}

refusal_ruling refusal_tolerance::rule(double per_s, steady_time now) const
{
    return {std::max(pause_after_refusal(std::nullopt), time_until_below(per_s, now)),
            time_until_below(per_s * free_fraction, now)};
}

refusal_permit refusal_tolerance::issue(double per_s, steady_time now)
{
    forget(now);
    const millis needed = time_until_below(per_s * free_fraction, now);
    if (needed == millis(0))
    {
        return {true, millis(0), millis(0)};
    }
    const auto used = static_cast<double>(count(now) + issued_.size());
    if (used < per_s)
    {
        issued_.push_back(now);
        return {true, millis(0), needed};
    }
    const millis until_counted_less = time_until_below(per_s, now);
    const millis until_accepted =
        issued_.empty() ? millis(0) : issued_.front() + refusal_time - now;
    // one of the calls before may be refused
    return {false, std::max({min_wait, until_counted_less, until_accepted}), needed};
}

bool refusal_tolerance::is_idle(steady_time now) const
{
    return count(now) == 0 && paused_until() <= now && permits_until_ <= now;
}

} // namespace medlar
