#ifndef MEDLAR_DETAIL_DISPATCH_TARGET_CHOICE_HPP
#define MEDLAR_DETAIL_DISPATCH_TARGET_CHOICE_HPP

#include <medlar/detail/dispatch/skip_reason.hpp>
#include <medlar/detail/dispatch/target_table.hpp>
#include <medlar/detail/policy/random_source.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief Input of the choice of a target for a request
struct target_choice_input
{
    /// targets to choose from
    std::vector<target_state*> candidates;
    /// targets to which the request was sent before; they are excluded
    std::vector<target_id> tried;
    /// failure domain of this host
    failure_domain_id local_domain;
    steady_time now;
    /// see shared_prefix_hash()
    std::optional<std::uint64_t> prefix;
};

/// @brief Returns why a candidate cannot be chosen: the request was sent to it before, or
/// it may not be called now.
/// @return none if it can be chosen
skip_reason reason_unusable(const target_state& target, const target_choice_input& input);

/// @brief Chooses the target with the fewest calls in flight per slot.
///
/// Many hosts send short requests to few targets, and each host counts only its own
/// calls. Ties are broken by failure domain and then at random, so that hosts do not all
/// choose the same target.
/// @param skipped unless null, receives the targets that were not chosen, and why
/// @return nullptr if no target may be called
target_state* choose_least_busy(const target_choice_input& input,
                                random_source& random,
                                skip_record* skipped = nullptr);

/// @brief Chooses a model engine: the one that likely has the shared prefix of the prompt
/// in its cache, unless its load is clearly above the mean.
///
/// In bursts most requests have one of a few prompts. With rendezvous hashing all hosts
/// choose the same engine for a prefix without communicating; the bound on the load
/// spreads a hot prefix over several engines. Without a prefix, or if all engines are
/// above the bound, it chooses the least busy one.
/// @param skipped unless null, receives the targets that were not chosen, and why
/// @return nullptr if no target may be called
target_state* choose_engine(const target_choice_input& input,
                            random_source& random,
                            skip_record* skipped = nullptr);

/// @brief Records that a chosen target gets a request, which tests whether it has
/// recovered if it is ejected and its probe is due.
void begin_probe_if_due(target_state& target, steady_time now);

/// @brief Returns a hash that is equal for requests with the same shared prompt prefix.
/// @return unset if the prompt has no parts
std::optional<std::uint64_t> shared_prefix_hash(const std::vector<prompt_part>& prompt);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_TARGET_CHOICE_HPP
