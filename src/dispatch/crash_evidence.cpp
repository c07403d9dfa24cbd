#include <medlar/detail/dispatch/crash_evidence.hpp>

#include <algorithm>
#include <tuple>

namespace medlar
{

namespace
{

// crashes that are enough to accuse: with fewer, what many requests have in common is
// accused by chance; each one more costs a target
constexpr std::size_t min_crashes = 3;
// the same for what has recently been harmless: while all targets of a pool are down, no
// answer can acquit what was running there
constexpr std::size_t min_crashes_if_harmless_before = 5;
constexpr millis harmless_before_time{60000};
constexpr std::size_t min_addresses = 2;
constexpr std::size_t min_prompts = 2;

// crashes closer together than this count as one, since they may have a common cause
constexpr millis min_distance{100};

// A report may come this much later than it was written. A process takes longer to start
// again.
constexpr millis max_report_delay{500};

// crashes that are kept, the latest ones: more than targets crash before a part is known
constexpr std::size_t max_crashes = 64;

// acquittals that are kept; the oldest ones are dropped first
constexpr std::size_t max_harmless = 4096;

bool has_shared_part(const prompt_suspects& prompt, crash_suspect part)
{
    const auto own_part = prompt.empty() ? prompt.end() : std::prev(prompt.end());
    return std::find(prompt.begin(), own_part, part) != own_part;
}

/// whether a part was involved in crashes of several targets and under several requests
bool may_explain(const std::vector<const target_crash*>& crashes, crash_suspect part)
{
    std::set<endpoint> addresses;
    std::set<crash_suspect> requests;
    for (const target_crash* each : crashes)
    {
        addresses.insert(each->address);
        for (const prompt_suspects& prompt : each->prompts)
        {
            if (has_shared_part(prompt, part))
            {
                requests.insert(prompt.back());
            }
        }
    }
    return addresses.size() >= min_addresses && requests.size() >= min_prompts;
}

/// whether crashes that a part was involved in are enough to accuse it
bool is_enough_for_part(const std::vector<const target_crash*>& crashes,
                        crash_suspect part,
                        std::size_t needed)
{
    std::size_t apart = 0;
    steady_time last;
    for (const target_crash* each : crashes)
    {
        if (apart == 0 || each->at - last >= min_distance)
        {
            ++apart;
            last = each->at;
        }
    }
    return apart >= needed && may_explain(crashes, part);
}

/// whether crashes that a request was involved in are enough to accuse it
bool is_enough_for_request(const std::vector<const target_crash*>& crashes,
                           crash_suspect request,
                           std::size_t needed)
{
    std::size_t runs = 0;
    steady_time last;
    std::set<endpoint> addresses;
    for (const target_crash* each : crashes)
    {
        const auto sent = each->requests.find(request);
        if (sent == each->requests.end())
        {
            return false;
        }
        if (runs == 0 || last <= sent->second.sent_at)
        {
            ++runs;
            last = each->at;
        }
        addresses.insert(each->address);
    }
    return runs >= needed && addresses.size() >= min_addresses;
}

bool is_enough(const std::vector<const target_crash*>& crashes,
               crash_suspect suspect,
               std::size_t needed)
{
    return is_enough_for_part(crashes, suspect, needed) ||
           is_enough_for_request(crashes, suspect, needed);
}

/// when the first of the requests was sent that a target had received
steady_time first_sent_at(const target_crash& crash)
{
    steady_time first = crash.at;
    for (const auto& each : crash.requests)
    {
        first = std::min(first, each.second.sent_at);
    }
    return first;
}

/// whether neither of two processes can have got all of its requests after the crash of
/// the other one
bool may_be_same(const target_crash& a, const target_crash& b)
{
    return first_sent_at(a) <= b.at + max_report_delay &&
           first_sent_at(b) <= a.at + max_report_delay;
}

bool has_common_number(const target_crash& a, const target_crash& b)
{
    return std::any_of(a.numbers.begin(),
                       a.numbers.end(),
                       [&b](std::uint64_t each)
                       {
                           return b.numbers.count(each) != 0;
                       });
}

/// How well a report fits a known crash of the same target, the best last
enum class crash_match
{
    none,
    start_alone,
    other_start,
    start_and_time,
    number,
};

crash_match match(const target_crash& known, const target_crash& reported)
{
    if (has_common_number(known, reported))
    {
        return crash_match::number;
    }
    if (known.started_ms == reported.started_ms)
    {
        if (may_be_same(known, reported))
        {
            return crash_match::start_and_time;
        }
        return reported.numbers.empty() ? crash_match::start_alone : crash_match::none;
    }
    // one of the hosts may not know the later start; no process crashes so soon after the
    // one before
    const millis apart =
        known.at < reported.at ? reported.at - known.at : known.at - reported.at;
    return apart < min_distance ? crash_match::other_start : crash_match::none;
}

bool is_earlier(const target_crash* a, const target_crash* b)
{
    return a->at < b->at;
}

bool contains_all(const std::vector<const target_crash*>& crashes,
                  const std::vector<const target_crash*>& others)
{
    return std::all_of(others.begin(),
                       others.end(),
                       [&crashes](const target_crash* each)
                       {
                           return std::find(crashes.begin(), crashes.end(), each) !=
                                  crashes.end();
                       });
}

} // namespace

void crash_evidence::record_crash(const target_crash& crash)
{
    if (target_crash* const known = find_known(crash))
    {
        known->started_ms = std::max(known->started_ms, crash.started_ms);
        known->at = std::min(known->at, crash.at);
        known->prompts.insert(crash.prompts.begin(), crash.prompts.end());
        known->numbers.insert(crash.numbers.begin(), crash.numbers.end());
        for (const auto& each : crash.requests)
        {
            steady_time& sent_at = known->requests.insert(each).first->second.sent_at;
            sent_at = std::min(sent_at, each.second.sent_at);
        }
    }
    else
    {
        crashes_.emplace(crash.target, crash);
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

target_crash* crash_evidence::find_known(const target_crash& reported)
{
    target_crash* found = nullptr;
    crash_match best = crash_match::none;
    const auto of_target = crashes_.equal_range(reported.target);
    for (auto each = of_target.first; each != of_target.second; ++each)
    {
        const crash_match how = match(each->second, reported);
        if (how > best)
        {
            best = how;
            found = &each->second;
        }
    }
    return found;
}

void crash_evidence::record_harmless(crash_suspect suspect, steady_time at)
{
    steady_time& known = harmless_at_.try_emplace(suspect, at).first->second;
    known = std::max(known, at);
    if (harmless_at_.size() > max_harmless)
    {
        harmless_at_.erase(std::min_element(harmless_at_.begin(),
                                            harmless_at_.end(),
                                            [](const auto& a, const auto& b)
                                            {
                                                return a.second < b.second;
                                            }));
    }
}

bool crash_evidence::is_harmless_since(crash_suspect suspect, steady_time at) const
{
    const auto found = harmless_at_.find(suspect);
    return found != harmless_at_.end() && at <= found->second;
}

std::size_t crash_evidence::needed_crashes(crash_suspect suspect,
                                           const crash_list& crashes) const
{
    const auto found = harmless_at_.find(suspect);
    const bool was_harmless_before =
        found != harmless_at_.end() && !crashes.empty() &&
        crashes.front()->at - found->second <= harmless_before_time;
    return was_harmless_before ? min_crashes_if_harmless_before : min_crashes;
}

std::map<crash_suspect, crash_evidence::crash_list>
crash_evidence::crashes_by_suspect() const
{
    std::map<crash_suspect, crash_list> found;
    for (const auto& [key, crash] : crashes_)
    {
        std::set<crash_suspect> involved;
        for (const prompt_suspects& prompt : crash.prompts)
        {
            if (!prompt.empty())
            {
                involved.insert(prompt.begin(), std::prev(prompt.end()));
            }
        }
        for (const auto& each : crash.requests)
        {
            involved.insert(each.first);
        }
        for (const crash_suspect each : involved)
        {
            if (!is_harmless_since(each, crash.at))
            {
                found[each].push_back(&crash);
            }
        }
    }
    for (auto& each : found)
    {
        std::sort(each.second.begin(), each.second.end(), is_earlier);
    }
    return found;
}

std::size_t crash_evidence::depth_of(crash_suspect suspect) const
{
    std::size_t depth = 0;
    for (const auto& each : crashes_)
    {
        for (const prompt_suspects& prompt : each.second.prompts)
        {
            const auto found = std::find(prompt.begin(), prompt.end(), suspect);
            if (found != prompt.end())
            {
                depth =
                    std::max(depth, static_cast<std::size_t>(found - prompt.begin()) + 1);
            }
        }
    }
    return depth;
}

bool crash_evidence::is_in_prompt_of(crash_suspect part, crash_suspect request) const
{
    return std::any_of(crashes_.begin(),
                       crashes_.end(),
                       [&](const auto& each)
                       {
                           const auto found = each.second.requests.find(request);
                           return found != each.second.requests.end() &&
                                  has_shared_part(found->second.prompt, part);
                       });
}

bool crash_evidence::is_explained_by_request(
    crash_suspect part,
    const crash_list& crashes,
    const std::map<crash_suspect, crash_list>& others) const
{
    return std::any_of(others.begin(),
                       others.end(),
                       [&](const auto& each)
                       {
                           return is_in_prompt_of(part, each.first) &&
                                  contains_all(each.second, crashes);
                       });
}

bool crash_evidence::is_explained_by_part(
    crash_suspect request,
    const crash_list& crashes,
    const std::map<crash_suspect, crash_list>& others) const
{
    return std::any_of(others.begin(),
                       others.end(),
                       [&](const auto& each)
                       {
                           return may_explain(each.second, each.first) &&
                                  contains_all(each.second, crashes) &&
                                  !is_in_prompt_of(each.first, request);
                       });
}

std::map<crash_suspect, steady_time> crash_evidence::suspects() const
{
    std::map<crash_suspect, steady_time> found;
    bool has_enough = false;
    for (const auto& [suspect, crashes] : crashes_by_suspect())
    {
        const bool is_accusable =
            is_enough(crashes, suspect, needed_crashes(suspect, crashes));
        has_enough = has_enough || is_accusable;
        if (is_accusable || may_explain(crashes, suspect))
        {
            found.emplace(suspect, crashes.front()->at);
        }
    }
    return has_enough ? found : std::map<crash_suspect, steady_time>();
}

bool crash_evidence::is_accusable(crash_suspect suspect) const
{
    crash_list crashes;
    for (const auto& [key, crash] : crashes_)
    {
        const bool is_involved = crash.requests.count(suspect) > 0 ||
                                 std::any_of(crash.prompts.begin(),
                                             crash.prompts.end(),
                                             [suspect](const prompt_suspects& prompt)
                                             {
                                                 return has_shared_part(prompt, suspect);
                                             });
        if (is_involved && !is_harmless_since(suspect, crash.at))
        {
            crashes.push_back(&crash);
        }
    }
    std::sort(crashes.begin(), crashes.end(), is_earlier);
    return is_enough(crashes, suspect, needed_crashes(suspect, crashes));
}

std::set<crash_suspect> crash_evidence::culprits() const
{
    const std::map<crash_suspect, crash_list> involved = crashes_by_suspect();
    std::map<crash_suspect, crash_list> unexplained;
    for (const auto& [suspect, crashes] : involved)
    {
        const std::size_t needed = needed_crashes(suspect, crashes);
        const bool is_suspect = is_enough_for_part(crashes, suspect, needed) ||
                                (is_enough_for_request(crashes, suspect, needed) &&
                                 !is_explained_by_part(suspect, crashes, involved));
        if (is_suspect)
        {
            unexplained.emplace(suspect, crashes);
        }
    }
    for (auto each = unexplained.begin(); each != unexplained.end();)
    {
        const bool is_explained =
            is_explained_by_request(each->first, each->second, unexplained);
        each = is_explained ? unexplained.erase(each) : std::next(each);
    }
    std::set<crash_suspect> found;
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
            const std::size_t needed = needed_crashes(each->first, left);
            left.erase(std::remove_if(left.begin(),
                                      left.end(),
                                      [&explained](const target_crash* crash)
                                      {
                                          return std::find(explained.begin(),
                                                           explained.end(),
                                                           crash) != explained.end();
                                      }),
                       left.end());
            const bool is_left = is_enough(left, each->first, needed);
            each = is_left ? std::next(each) : unexplained.erase(each);
        }
    }
    return found;
}

} // namespace medlar
