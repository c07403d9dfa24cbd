#ifndef MEDLAR_DETAIL_BASE_OUTCOME_HPP
#define MEDLAR_DETAIL_BASE_OUTCOME_HPP

#include <medlar/detail/base/clock.hpp>

#include <absl/strings/string_view.h>

#include <optional>
#include <string>

namespace medlar
{

/// @brief the final state of a request
enum class outcome_kind
{
    answered, ///< it ran, and its complete answer follows
    not_run,  ///< no part of it ran, now or earlier; it is safe to send again
    failed,   ///< it ran and failed; the failure is final
    unknown,  ///< it may have run; it will never be run again
};

/// @brief Numbered reasons for refusals and failures; listed in docs/ERRORS.md.
///
/// Numbers are part of the API and are never reused. 1xx: invalid requests; 2xx: load;
/// 3xx: ownership; 4xx: targets.
enum class reason : int
{
    none = 0,

    // the request is invalid
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

    // it cannot be proved whether the request has run before
    issued_before_retention = 301,
    issued_before_ownership = 302,
    home_unreachable = 303,
    home_changed = 304,
    ownership_unproved = 305,
    reply_lost = 306,
    claims_full = 307,

    // a stage returned no usable answer
    no_target = 401,
    target_failed = 402,
    target_answer_malformed = 403,
    target_answer_mismatched = 404,
    target_answer_too_large = 405,
    target_refused = 406,
};

/// @brief the final state of a request, its reason, and when to retry
struct outcome
{
    outcome_kind kind = outcome_kind::unknown;
    reason why = reason::none;
    /// one sentence of explanation for the caller
    std::string message;
    /// earliest time from now at which a retry can succeed; unset: a retry is useless
    std::optional<millis> retry_after;
};

/// @brief Returns the name of an outcome kind in the API, such as "not_run"
absl::string_view to_string(outcome_kind kind);

/// @brief Returns the name of a reason in the API, such as "deadline_unreachable"
absl::string_view to_string(reason why);

/// @brief Returns the outcome kind with the given API name, or nullopt if there is
/// none.
std::optional<outcome_kind> outcome_kind_of(absl::string_view name);

} // namespace medlar

#endif // MEDLAR_DETAIL_BASE_OUTCOME_HPP
