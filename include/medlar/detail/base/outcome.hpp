#ifndef MEDLAR_DETAIL_BASE_OUTCOME_HPP
#define MEDLAR_DETAIL_BASE_OUTCOME_HPP

#include <medlar/detail/base/clock.hpp>

#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace medlar
{

/// @brief what became of a request
enum class outcome_kind
{
    answered, ///< it ran and its whole answer follows
    not_run,  ///< nothing of it was run, now or earlier; it may be sent again
    failed,   ///< it ran and failed; the failure is final
    unknown,  ///< it may have run; the system will never run it again
};

/// @brief Numbered reasons of refusals and failures; catalogue in docs/ERRORS.md.
///
/// Numbers are part of the API and are never given a new meaning. 1xx: the request
/// itself; 2xx: load; 3xx: ownership; 4xx: targets.
enum class reason : int
{
    none = 0,

    // the request is not acceptable
    malformed = 101,
    too_large = 102,
    not_utf8 = 103,
    unknown_pipeline = 104,
    unknown_organisation = 105,
    bad_deadline = 106,
    id_reused = 107,
    issued_ahead = 108,
    unauthenticated = 109,
    not_found = 110,

    // the request cannot be served in time
    deadline_unreachable = 201,
    organisation_over_share = 202,
    host_full = 203,
    deadline_passed = 204,
    shutting_down = 205,
    not_ready = 206,
    cancelled = 207,

    // the history of the request cannot be proved
    issued_before_retention = 301,
    issued_before_ownership = 302,
    home_unreachable = 303,
    home_changed = 304,
    ownership_unproved = 305,
    reply_lost = 306,
    claims_full = 307,

    // a stage did not give a usable answer
    no_target = 401,
    target_failed = 402,
    target_answer_malformed = 403,
    target_answer_mismatched = 404,
    target_answer_too_large = 405,
    target_refused = 406,
};

/// @brief what became of a request, why, and when to come back
struct outcome
{
    outcome_kind kind = outcome_kind::unknown;
    reason why = reason::none;
    /// one sentence for the caller
    std::string message;
    /// earliest useful time to send again, from now; unset: sending again is useless
    std::optional<millis> retry_after;
};

/// @brief the name of an outcome kind in the API, such as "not_run"
absl::string_view to_string(outcome_kind kind);

/// @brief the name of a reason in the API, such as "deadline_unreachable"
absl::string_view to_string(reason why);

/// @brief the outcome kind of that name
/// @return unset if no kind has the name
std::optional<outcome_kind> outcome_kind_of(absl::string_view name);

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_OUTCOME_HPP
