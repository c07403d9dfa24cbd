#include <medlar/detail/dispatch/version_shares.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlar
{

namespace
{

// each change of the shares leaves some streams uncertain for a while; a smaller
// difference is no overload
constexpr double max_share_difference = 0.2;

/// number in (0, 1] that depends on a stream and a version
double draw(stream_key stream, const software_version& version)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const std::uint64_t hash =
        XXH3_64bits_withSeed(version.get().data(), version.get().size(), stream.get());
    return static_cast<double>((hash >> 11U) + 1) * scale;
}

int total_of(const version_shares& shares)
{
    int total = 0;
    for (const auto& each : shares)
    {
        total += each.second;
    }
    return std::max(1, total);
}

} // namespace

software_version choose_version(const version_shares& shares, stream_key stream)
{
    // weighted rendezvous hashing: the first of exponential times with these rates
    const auto time_of = [stream](const auto& share)
    {
        return -std::log(draw(stream, share.first)) / share.second;
    };
    return std::min_element(shares.begin(),
                            shares.end(),
                            [&time_of](const auto& a, const auto& b)
                            {
                                return time_of(a) < time_of(b);
                            })
        ->first;
}

std::optional<software_version> share_history::version_of(stream_key stream) const
{
    if (current.empty())
    {
        return std::nullopt;
    }
    const software_version version = choose_version(current, stream);
    const bool is_certain =
        std::all_of(before.begin(),
                    before.end(),
                    [&](const version_shares& each)
                    {
                        return choose_version(each, stream) == version;
                    });
    return is_certain ? std::optional<software_version>(version) : std::nullopt;
}

void earlier_shares::record_replaced(const version_shares& shares, steady_time now)
{
    replaced_[shares] = {now, now, now};
}

void earlier_shares::update(const std::vector<version_shares>& before,
                            steady_time certain_since,
                            steady_time now)
{
    std::map<version_shares, replaced_shares> kept;
    for (const version_shares& each : before)
    {
        const auto known = replaced_.find(each);
        replaced_shares next =
            known == replaced_.end() ? replaced_shares{now, now, now} : known->second;
        // what is lost later was recorded before
        if (next.checked_at < next.replaced_at + max_record_delay)
        {
            next.checked_at = now;
            next.certain_since = certain_since;
        }
        kept[each] = next;
    }
    replaced_ = std::move(kept);
}

bool earlier_shares::are_outlived(const version_shares& shares,
                                  millis longest_timeout,
                                  steady_time now) const
{
    const auto known = replaced_.find(shares);
    return known != replaced_.end() &&
           known->second.replaced_at + max_record_delay <= known->second.checked_at &&
           known->second.certain_since + longest_timeout <= now;
}

bool is_outdated(const version_shares& shares, const version_shares& targets)
{
    if (shares.size() != targets.size())
    {
        return true;
    }
    const double total_share = total_of(shares);
    const double total_targets = total_of(targets);
    return std::any_of(shares.begin(),
                       shares.end(),
                       [&](const auto& each)
                       {
                           const auto now = targets.find(each.first);
                           return now == targets.end() ||
                                  std::abs(each.second / total_share -
                                           now->second / total_targets) >
                                      max_share_difference;
                       });
}

} // namespace medlar
