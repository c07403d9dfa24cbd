#ifndef MEDLAR_DETAIL_DISPATCH_CRASH_EVIDENCE_HPP
#define MEDLAR_DETAIL_DISPATCH_CRASH_EVIDENCE_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/endpoint.hpp>
#include <medlar/detail/base/ids.hpp>
#include <medlar/detail/dispatch/crash_suspect.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace medlar
{

/// @brief A request that a target had received when it crashed
struct request_at_crash
{
    /// when it was first sent there
    steady_time sent_at;
    prompt_suspects prompt;
};

/// @brief A target that crashed, and what it may have crashed under
struct target_crash
{
    target_id target;
    /// start time of the target, see target_record
    std::int64_t started_ms = 0;
    /// a target that starts again keeps its address
    endpoint address;
    /// when its calls broke off
    steady_time at;
    /// prompts of the requests that it had received without having begun to answer them
    std::set<prompt_suspects> prompts;
    std::map<crash_suspect, request_at_crash> requests;
    /// one number for each host that has seen it, which the host repeats with each of its
    /// reports; hosts of earlier builds give none
    std::set<std::uint64_t> numbers;
};

/// @brief Finds the prompt parts and the requests under which targets crash, from the
/// crashes that all hosts have seen.
///
/// A part that crashes targets does so each time a target begins to answer a request with
/// it, so it is among the prompts of each such crash, and no answer to a request with it
/// ever begins. Any begun answer therefore acquits the parts of its prompt of the crashes
/// before it. What remains has to be involved in several crashes, apart in time, of
/// several targets and under several requests: targets that crash together for a common
/// cause, one that crashes each time it has started, and one request that is sent again
/// and again accuse no part.
///
/// A request that crashes targets may do so at any time, so only its complete answer
/// acquits it. It has to be involved in several crashes of several targets, each of which
/// got it only after the crash before: targets that crash one after another for a common
/// cause were running it all the while. What has been harmless within the last minute
/// before the first of its crashes needs more of them: nothing can acquit it while all
/// targets of its pool are down. It is not accused of crashes that a part outside
/// of its prompt may explain: a request that is sent again and again is running in many
/// crashes.
class crash_evidence
{
  public:
    /// @brief Adds a crash, or the prompts that another host reports for a known one.
    ///
    /// A host that does not know the start of a process names that of the one before, so
    /// two processes may have one start, and one process two. Time tells them apart:
    /// requests that were all sent after a crash have reached the next process. A report
    /// without a number goes by its start alone.
    void record_crash(const target_crash& crash);

    /// @brief Records that a suspect is harmless: that an answer to a request with a part
    /// has begun, or that a request was answered completely.
    void record_harmless(crash_suspect suspect, steady_time at);

    /// @brief Returns what may explain crashes, with the time of the first one.
    /// @return empty while nothing has enough crashes to be accused
    std::map<crash_suspect, steady_time> suspects() const;

    /// @brief Returns the fewest suspects that explain the crashes of all. Of parts that
    /// always come together it is the last one in the prompt; a request that explains all
    /// crashes of a part of its own prompt goes before that part.
    std::set<crash_suspect> culprits() const;

    /// @brief Returns whether a suspect was involved in enough crashes since it was last
    /// seen to be harmless.
    bool is_accusable(crash_suspect suspect) const;

  private:
    using crash_list = std::vector<const target_crash*>;

    /// the crashes, in order of time, in which each suspect was involved since it was
    /// last seen to be harmless
    std::map<crash_suspect, crash_list> crashes_by_suspect() const;
    bool is_harmless_since(crash_suspect suspect, steady_time at) const;
    /// crashes that are enough to accuse a suspect, from those since it was last harmless
    std::size_t needed_crashes(crash_suspect suspect, const crash_list& crashes) const;
    /// place of a part in its prompts, from 1; 0 for a request
    std::size_t depth_of(crash_suspect suspect) const;
    bool is_in_prompt_of(crash_suspect part, crash_suspect request) const;
    /// whether a request explains all crashes of a part of its prompt
    bool is_explained_by_request(crash_suspect part,
                                 const crash_list& crashes,
                                 const std::map<crash_suspect, crash_list>& others) const;
    /// whether a part outside of a request's prompt may explain all crashes of the
    /// request
    bool is_explained_by_part(crash_suspect request,
                              const crash_list& crashes,
                              const std::map<crash_suspect, crash_list>& others) const;

    target_crash* find_known(const target_crash& reported);

    std::multimap<target_id, target_crash> crashes_;
    std::map<crash_suspect, steady_time> harmless_at_;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_CRASH_EVIDENCE_HPP
