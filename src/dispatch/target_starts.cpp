#include <medlar/detail/dispatch/target_starts.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr char unlisted_prefix[] = "unlisted start ";

} // namespace

software_version unlisted_version(const process_start& start)
{
    return software_version(
        absl::StrCat(unlisted_prefix, start.started_ms, " ", start.target.get()));
}

std::optional<process_start> read_unlisted_version(const software_version& version)
{
    absl::string_view text = version.get();
    if (!absl::ConsumePrefix(&text, unlisted_prefix))
    {
        return std::nullopt;
    }
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(text, absl::MaxSplits(' ', 1));
    process_start start;
    start.target = target_id(std::string(parts.second));
    return absl::SimpleAtoi(parts.first, &start.started_ms)
               ? std::optional<process_start>(start)
               : std::nullopt;
}

bool is_of_unknown_start(const software_version& version)
{
    const std::optional<process_start> start = read_unlisted_version(version);
    return start && start->started_ms == unknown_start_ms;
}

void target_starts::record_listed(const target_record& record, steady_time now)
{
    if (record.started_ms == 0)
    {
        return;
    }
    const process_start start{record.id, record.started_ms};
    listed_[start] = {record.version, now};
    unlisted_.erase({record.pool, unlisted_version(start)});
}

bool target_starts::record_unlisted(const stream_origin& origin, steady_time now)
{
    const std::optional<process_start> start = read_unlisted_version(origin.version);
    if (!start || listed_.count(*start) > 0)
    {
        return false;
    }
    return unlisted_.insert_or_assign(origin, now).second;
}

software_version target_starts::version_of(const process_start& start) const
{
    const auto found = listed_.find(start);
    return found == listed_.end() ? unlisted_version(start) : found->second.version;
}

software_version target_starts::version_of(const target_state& target) const
{
    if (target.is_start_unknown)
    {
        return unlisted_version({target.record.id, unknown_start_ms});
    }
    return is_listed(target) ? target.record.version
                             : version_of({target.record.id, *target.answering_start});
}

stream_origin target_starts::resolve(const stream_origin& origin) const
{
    const std::optional<process_start> start = read_unlisted_version(origin.version);
    return start ? stream_origin{origin.pool, version_of(*start)} : origin;
}

std::set<stream_origin>
target_starts::unlisted_in(const std::vector<pool_id>& pools) const
{
    std::set<stream_origin> found;
    for (const auto& each : unlisted_)
    {
        if (std::find(pools.begin(), pools.end(), each.first.pool) != pools.end())
        {
            found.insert(each.first);
        }
    }
    return found;
}

void target_starts::forget_old(steady_time now)
{
    const steady_time oldest = now - max_stream_age;
    for (auto each = listed_.begin(); each != listed_.end();)
    {
        each = each->second.seen_at < oldest ? listed_.erase(each) : std::next(each);
    }
    for (auto each = unlisted_.begin(); each != unlisted_.end();)
    {
        each = each->second < oldest ? unlisted_.erase(each) : std::next(each);
    }
}

} // namespace medlar
