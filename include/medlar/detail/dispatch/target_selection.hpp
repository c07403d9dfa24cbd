#ifndef MEDLAR_DETAIL_DISPATCH_TARGET_SELECTION_HPP
#define MEDLAR_DETAIL_DISPATCH_TARGET_SELECTION_HPP

#include <medlar/detail/dispatch/piece_owner.hpp>
#include <medlar/detail/dispatch/target_choice.hpp>
#include <medlar/detail/entry/serving_configuration.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace medlar
{

/// @brief How far a host may call targets in slow start
struct slot_rules
{
    /// whether the host has a slot of a target for its next call
    std::function<bool(const target_state&)> holds;
    /// whether a call needs a slot that the host does not have
    std::function<bool(const target_state&)> lacks;
    /// whether the request may wait for a slot
    std::function<bool(const target_state&)> may_be_granted;
};

/// @brief What one request requires of its target, beside what all requests do.
struct selection_rules
{
    /// whether a stream that has begun, or has to begin, somewhere may run at a target
    std::function<bool(const target_state&)> may_run_at;
    /// whether the request has waited long enough for permits of cold targets like this
    std::function<bool(const target_state&)> is_left_out_as_cold;
    /// number of entry hosts
    std::size_t host_count = 1;
    /// version at which a new stream should begin; unset if it may begin at any
    std::optional<software_version> version;
    std::function<software_version(const target_state&)> version_of;
    /// failure domain of the results that the request reads, if that matters
    std::optional<failure_domain_id> inputs_domain;
    /// unset if no target of the pool may be in slow start
    std::optional<slot_rules> slots;
};

/// @brief The choice of a target for one request
struct selected_target
{
    /// nullptr if no target may be called; may lack a slot if no other one can be called
    target_state* target = nullptr;
    /// target that would have been chosen if the host had a slot of it
    const target_state* missed = nullptr;
};

/// @brief Chooses the pool of a request by the weights of its route.
/// @param pools not empty
pool_id choose_pool(const std::vector<weighted_pool>& pools, random_source& random);

/// @brief Chooses the target of a request. Nothing is recorded: see
/// begin_probe_if_due().
/// @param input with all targets of the pool as candidates; has a prefix for requests
/// that are to go where their prompt may be cached
/// @param skipped unless null, receives the targets that were not chosen, and why
selected_target select_target(target_choice_input input,
                              const selection_rules& rules,
                              random_source& random,
                              skip_record* skipped = nullptr);

/// @brief Returns whether the pieces of a group may go to all targets of its pool:
/// pieces that wait, or come from hosts that do not know of the evacuation of its domain,
/// would wait until their deadlines otherwise.
bool is_whole_pool(const piece_group& group, const target_table& targets);

/// @brief Returns why a target gets no pieces of a group now.
/// @param takes_all see is_whole_pool()
/// @return none if it may get them
skip_reason reason_not_in_use(const target_state& target,
                              const piece_group& group,
                              bool takes_all,
                              steady_time now);

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_TARGET_SELECTION_HPP
