#ifndef MEDLAR_DETAIL_DISPATCH_SKIP_REASON_HPP
#define MEDLAR_DETAIL_DISPATCH_SKIP_REASON_HPP

#include <absl/strings/string_view.h>

#include <vector>

namespace medlar
{

struct target_state;

/// @brief Why a request, or a piece of one, does not go to a target.
enum class skip_reason
{
    none,
    // it takes no work
    draining,
    leaving,
    evacuated,
    // it may not be called now
    refused,
    paused,
    limited,
    ejected,
    probing,
    // it does not suit the request
    tried,
    other_origin,
    waited_for_permits,
    share_used,
    other_version,
    other_domain,
    no_permit,
    no_slot,
    not_in_group,
    // another one was preferred
    slot_held,
    above_load_bound,
    less_preferred,
    busier,
    farther,
    drawn,
};

/// @brief Returns what a reason means, for operators.
absl::string_view to_string(skip_reason why);

/// @brief A target that was not chosen
struct skipped_target
{
    const target_state* target = nullptr;
    skip_reason why = skip_reason::none;
};

/// @brief The targets that a choice has skipped
using skip_record = std::vector<skipped_target>;

} // namespace medlar

#endif // MEDLAR_DETAIL_DISPATCH_SKIP_REASON_HPP
