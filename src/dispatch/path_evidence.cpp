#include <medlar/detail/dispatch/path_evidence.hpp>

#include <algorithm>

namespace medlar
{

namespace
{

// targets that fail before the path counts as lost: so many rarely crash in the same
// moment while the others of their pool stay silent
constexpr std::size_t min_failed_targets = 4;

// failures that put the path in doubt
constexpr std::size_t doubtful_failures = 2;

// silence of a pool with open calls that puts the path in doubt: prompts and calls for
// pieces take a few hundred ms
constexpr millis doubtful_silence{500};

// least time between two rounds of probes of a silent pool
constexpr millis silence_probe_interval{2000};

// time between two probes while the path is lost
constexpr millis recovery_probe_interval{300};

} // namespace

void path_evidence::record_call(steady_time now)
{
    if (!waiting_since_)
    {
        waiting_since_ = now;
    }
}

void path_evidence::record_contact()
{
    failed_.clear();
    waiting_since_.reset();
    is_in_doubt_ = false;
    is_probed_ = false;
    is_lost_ = false;
}

void path_evidence::record_failure(const target_id& target)
{
    failed_.insert(target);
    is_in_doubt_ = is_in_doubt_ || (failed_.size() >= doubtful_failures && !is_probed_);
}

void path_evidence::doubt()
{
    is_in_doubt_ = true;
}

bool path_evidence::is_probe_due(steady_time now) const
{
    const auto has_passed = [&](millis interval)
    {
        return !probed_at_ || now - *probed_at_ >= interval;
    };
    if (open_probes_ > 0)
    {
        return false;
    }
    if (is_lost_)
    {
        return has_passed(recovery_probe_interval);
    }
    const bool is_silent = waiting_since_ && now - *waiting_since_ >= doubtful_silence;
    return is_in_doubt_ || (is_silent && has_passed(silence_probe_interval));
}

std::vector<target_id> path_evidence::start_probes(const std::vector<target_id>& targets,
                                                   std::size_t pick,
                                                   steady_time now)
{
    std::vector<target_id> chosen;
    if (targets.empty() || !is_probe_due(now))
    {
        return chosen;
    }
    const std::size_t wanted = is_lost_ ? 1 : min_failed_targets;
    for (std::size_t i = 0; i < targets.size() && chosen.size() < wanted; ++i)
    {
        const target_id& each = targets[(pick + i) % targets.size()];
        if (is_lost_ || failed_.count(each) == 0)
        {
            chosen.push_back(each);
        }
    }
    is_in_doubt_ = false;
    probed_at_ = now;
    open_probes_ = chosen.size();
    return chosen;
}

void path_evidence::record_probe_end()
{
    open_probes_ -= std::min<std::size_t>(open_probes_, 1);
    is_probed_ = is_probed_ || open_probes_ == 0;
}

bool path_evidence::update_lost(std::size_t target_count)
{
    const bool have_all_failed = failed_.size() >= target_count;
    const bool is_certain = open_probes_ == 0 && (is_probed_ || have_all_failed);
    is_lost_ =
        target_count > 0 &&
        (is_lost_ ||
         (is_certain && failed_.size() >= std::min(target_count, min_failed_targets)));
    return is_lost_;
}

} // namespace medlar
