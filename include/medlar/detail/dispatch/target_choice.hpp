#ifndef MEDLAR_DETAIL_DISPATCH_TARGET_CHOICE_HPP
#define MEDLAR_DETAIL_DISPATCH_TARGET_CHOICE_HPP

#include <medlar/detail/dispatch/target_table.hpp>
#include <medlar/detail/policy/random_source.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief what the choice of a target needs to know of a request
struct choice_question
{
    std::vector<target_state*> serving;
    /// targets that the request was sent to before
    std::vector<target_id> tried;
    failure_domain_id own_domain;
    steady_time now;
    /// hash of the prompt's shared parts; unset where nothing is shared
    std::optional<std::uint64_t> prefix;
};

/// @brief Chooses the target that is likely to start the request first.
///
/// Load: short requests of many hosts at few targets. Each host sees only its own calls,
/// so equal counts are broken by failure domain and then at random, which keeps hosts
/// from choosing alike.
/// @return nullptr if no target may be called
target_state* choose_plain(const choice_question& asked, random_source& random);

/// @brief Chooses a model engine: the one that likely has the prompt's shared parts in
/// memory, unless it has clearly more work than the others.
///
/// Load: bursts in which few prompts are asked for most. Rendezvous hashing lets all
/// hosts agree without a message; the bound on load spreads a hot prompt.
/// @return nullptr if no target may be called
target_state* choose_engine(const choice_question& asked, random_source& random);

/// @brief the hash that requests with the same shared prompt parts have in common
/// @return unset if the prompt shares nothing
std::optional<std::uint64_t> shared_prefix(const std::vector<prompt_part>& prompt);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_TARGET_CHOICE_HPP
