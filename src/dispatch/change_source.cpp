#include <medlar/detail/dispatch/change_source.hpp>
#include <medlar/detail/policy/prefix_affinity.hpp>

#include <xxhash.h>

#include <algorithm>

namespace medlar
{

namespace
{

// one relay may be down while the other one takes over
constexpr std::size_t relays_per_domain = 2;

// in a failure domain of up to this many hosts, relays would save no call
constexpr std::size_t max_direct_hosts = 3;

// how long a relay that failed is not followed
constexpr millis avoidance_time{3000};

// share of the permitted age, in tenths, that a relay may be silent before the other one
// is followed
constexpr std::int64_t max_silence_tenths = 7;

// placement of relays: different from that of any pool's pieces
constexpr char relay_group_name[] = "changes of the store";

} // namespace

std::vector<host_id> relays_of(const failure_domain_id& domain,
                               const std::vector<peer_host>& hosts)
{
    std::vector<peer_host> near;
    std::copy_if(hosts.begin(),
                 hosts.end(),
                 std::back_inserter(near),
                 [&](const peer_host& each)
                 {
                     return each.domain == domain;
                 });
    if (near.size() <= max_direct_hosts)
    {
        return {};
    }
    std::vector<host_id> ranked =
        rank_owners({pool_id(relay_group_name), domain.get()}, near);
    ranked.resize(relays_per_domain);
    return ranked;
}

change_source_choice::change_source_choice(host_id self, millis max_age, steady_time now)
    : self_(std::move(self)), max_age_(max_age), last_report_(now), current_as_of_(now)
{
}

void change_source_choice::set_relays(std::vector<host_id> relays)
{
    relays_ = std::move(relays);
    // spreads the followers of a failure domain over its relays
    const std::string& name = self_.get();
    if (!relays_.empty() && !is_relay())
    {
        const std::size_t first = XXH3_64bits(name.data(), name.size()) % relays_.size();
        std::rotate(relays_.begin(),
                    relays_.begin() + static_cast<std::ptrdiff_t>(first),
                    relays_.end());
    }
}

bool change_source_choice::is_relay() const
{
    return std::find(relays_.begin(), relays_.end(), self_) != relays_.end();
}

bool change_source_choice::may_follow(const host_id& relay, steady_time now) const
{
    const auto avoided = avoided_until_.find(relay);
    return avoided == avoided_until_.end() || avoided->second <= now;
}

change_source change_source_choice::choose(steady_time now)
{
    if (relays_.empty() || is_relay() || is_followed_)
    {
        follow(std::nullopt, now);
        watches_store_ = true;
        return {std::nullopt, true};
    }
    const bool is_stale = now - current_as_of_ > max_age_;
    if (followed_)
    {
        const millis max_silence = max_age_ * max_silence_tenths / 10;
        const bool has_failed =
            now - std::max(last_report_, followed_since_) > max_silence ||
            ((is_stale || !is_proved_) && now - followed_since_ > max_silence);
        const bool is_still_relay =
            std::find(relays_.begin(), relays_.end(), *followed_) != relays_.end();
        if (has_failed)
        {
            avoided_until_[*followed_] = now + avoidance_time;
        }
        if (has_failed || !is_still_relay)
        {
            follow(std::nullopt, now);
        }
    }
    if (!followed_)
    {
        const auto found = std::find_if(relays_.begin(),
                                        relays_.end(),
                                        [&](const host_id& each)
                                        {
                                            return may_follow(each, now);
                                        });
        if (found != relays_.end())
        {
            follow(*found, now);
        }
    }
    // a watch goes on until the next relay has proved to be current
    watches_store_ = !followed_ || is_stale || (watches_store_ && !is_proved_);
    return {followed_, watches_store_};
}

void change_source_choice::follow(std::optional<host_id> relay, steady_time now)
{
    followed_ = std::move(relay);
    followed_since_ = now;
    is_proved_ = false;
}

void change_source_choice::record_report(const host_id& relay,
                                         steady_time current_as_of,
                                         steady_time now)
{
    if (followed_ && *followed_ == relay)
    {
        last_report_ = now;
        is_proved_ = now - current_as_of <= max_age_;
    }
    current_as_of_ = std::max(current_as_of_, current_as_of);
}

void change_source_choice::record_lost(const host_id& relay, steady_time now)
{
    avoided_until_[relay] = now + avoidance_time;
    if (followed_ && *followed_ == relay)
    {
        follow(std::nullopt, now);
    }
}

void change_source_choice::record_store(steady_time current_as_of)
{
    current_as_of_ = std::max(current_as_of_, current_as_of);
}

} // namespace medlar
