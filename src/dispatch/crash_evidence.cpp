#include <medlar/detail/dispatch/crash_evidence.hpp>

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace medlar
{

namespace
{

// crashes that are enough to accuse a part: with fewer, a part that many requests have is
// accused by chance; each one more costs a target
constexpr std::size_t min_crashes = 3;
constexpr std::size_t min_addresses = 2;
constexpr std::size_t min_prompts = 2;

// crashes closer together than this count as one, since they may have a common cause
constexpr millis min_distance{100};

// crashes that are kept, the latest ones: more than targets crash before a part is known
constexpr std::size_t max_crashes = 64;

// acquittals that are kept; the oldest ones are dropped first
constexpr std::size_t max_begun_parts = 4096;

bool has_shared_part(const prompt_keys& prompt, prompt_part_key part)
{
    const auto own_part = prompt.empty() ? prompt.end() : std::prev(prompt.end());
    return std::find(prompt.begin(), own_part, part) != own_part;
}

/// whether crashes that a part was involved in are enough to accuse it
bool is_enough(const std::vector<const target_crash*>& crashes, prompt_part_key part)
{
    std::size_t apart = 0;
    steady_time last;
    std::set<endpoint> addresses;
    std::set<prompt_part_key> requests;
    for (const target_crash* each : crashes)
    {
        if (apart == 0 || each->at - last >= min_distance)
        {
            ++apart;
            last = each->at;
        }
        addresses.insert(each->address);
        for (const prompt_keys& prompt : each->prompts)
        {
            if (has_shared_part(prompt, part))
            {
                requests.insert(prompt.back());
            }
        }
    }
    return apart >= min_crashes && addresses.size() >= min_addresses &&
           requests.size() >= min_prompts;
}

} // namespace

prompt_part_key key_of_part(const std::string& id)
{
    return prompt_part_key(XXH3_64bits(id.data(), id.size()));
}

void crash_evidence::record_crash(const target_crash& crash)
{
    const auto [found, is_new] =
        crashes_.try_emplace({crash.target, crash.started_ms}, crash);
    if (!is_new)
    {
        found->second.at = std::min(found->second.at, crash.at);
        found->second.prompts.insert(crash.prompts.begin(), crash.prompts.end());
    }
    if (crashes_.size() > max_crashes)
    {
        crashes_.erase(std::min_element(crashes_.begin(),
                                        crashes_.end(),
                                        [](const auto& a, const auto& b)
                                        {
                                            return a.second.at < b.second.at;
                                        }));
    }
}

void crash_evidence::record_begun(prompt_part_key part, steady_time at)
{
    steady_time& known = begun_at_.try_emplace(part, at).first->second;
    known = std::max(known, at);
    if (begun_at_.size() > max_begun_parts)
    {
        begun_at_.erase(std::min_element(begun_at_.begin(),
                                         begun_at_.end(),
                                         [](const auto& a, const auto& b)
                                         {
                                             return a.second < b.second;
                                         }));
    }
}

crash_evidence::crash_list crash_evidence::crashes_with(prompt_part_key part) const
{
    const auto begun = begun_at_.find(part);
    crash_list found;
    for (const auto& each : crashes_)
    {
        const target_crash& crash = each.second;
        const bool is_acquitted = begun != begun_at_.end() && crash.at <= begun->second;
        if (!is_acquitted && std::any_of(crash.prompts.begin(),
                                         crash.prompts.end(),
                                         [part](const prompt_keys& prompt)
                                         {
                                             return has_shared_part(prompt, part);
                                         }))
        {
            found.push_back(&crash);
        }
    }
    std::sort(found.begin(),
              found.end(),
              [](const target_crash* a, const target_crash* b)
              {
                  return a->at < b->at;
              });
    return found;
}

std::set<prompt_part_key> crash_evidence::involved_parts() const
{
    std::set<prompt_part_key> parts;
    for (const auto& each : crashes_)
    {
        for (const prompt_keys& prompt : each.second.prompts)
        {
            if (!prompt.empty())
            {
                parts.insert(prompt.begin(), std::prev(prompt.end()));
            }
        }
    }
    return parts;
}

std::size_t crash_evidence::depth_of(prompt_part_key part) const
{
    std::size_t depth = 0;
    for (const auto& each : crashes_)
    {
        for (const prompt_keys& prompt : each.second.prompts)
        {
            const auto found = std::find(prompt.begin(), prompt.end(), part);
            if (found != prompt.end())
            {
                depth = std::max(depth, static_cast<std::size_t>(found - prompt.begin()));
            }
        }
    }
    return depth;
}

std::map<prompt_part_key, steady_time> crash_evidence::suspects() const
{
    std::map<prompt_part_key, steady_time> found;
    for (const prompt_part_key part : involved_parts())
    {
        const crash_list crashes = crashes_with(part);
        if (is_enough(crashes, part))
        {
            found.emplace(part, crashes.front()->at);
        }
    }
    return found;
}

std::set<prompt_part_key> crash_evidence::culprits() const
{
    std::map<prompt_part_key, crash_list> unexplained;
    for (const auto& each : suspects())
    {
        unexplained.emplace(each.first, crashes_with(each.first));
    }
    std::set<prompt_part_key> found;
    while (!unexplained.empty())
    {
        const auto rank = [this](const auto& each)
        {
            return std::make_tuple(
                each.second.size(), depth_of(each.first), each.first.get());
        };
        const auto most = std::max_element(unexplained.begin(),
                                           unexplained.end(),
                                           [&rank](const auto& a, const auto& b)
                                           {
                                               return rank(a) < rank(b);
                                           });
        const crash_list explained = most->second;
        found.insert(most->first);
        unexplained.erase(most);
        for (auto each = unexplained.begin(); each != unexplained.end();)
        {
            crash_list& left = each->second;
            left.erase(std::remove_if(left.begin(),
                                      left.end(),
                                      [&explained](const target_crash* crash)
                                      {
                                          return std::find(explained.begin(),
                                                           explained.end(),
                                                           crash) != explained.end();
                                      }),
                       left.end());
            const bool is_left = is_enough(left, each->first);
            each = is_left ? std::next(each) : unexplained.erase(each);
        }
    }
    return found;
}

} // namespace medlar
