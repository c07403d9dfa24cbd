#include <medlar/detail/base/outcome.hpp>

namespace medlar
{

absl::string_view to_string(outcome_kind kind)
{
    switch (kind)
    {
        case outcome_kind::answered:
            return "answered";
        case outcome_kind::not_run:
            return "not_run";
        case outcome_kind::failed:
            return "failed";
        case outcome_kind::unknown:
            return "unknown";
    }
    return "unknown";
}

absl::string_view to_string(reason why)
{
    switch (why)
    {
        case reason::none:
            return "none";
        case reason::malformed:
            return "malformed";
        case reason::too_large:
            return "too_large";
        case reason::not_utf8:
            return "not_utf8";
        case reason::unknown_pipeline:
            return "unknown_pipeline";
        case reason::unknown_organisation:
            return "unknown_organisation";
        case reason::bad_deadline:
            return "bad_deadline";
        case reason::id_reused:
            return "id_reused";
        case reason::issued_ahead:
            return "issued_ahead";
        case reason::unauthenticated:
            return "unauthenticated";
        case reason::not_found:
            return "not_found";
        case reason::deadline_unreachable:
            return "deadline_unreachable";
        case reason::organisation_over_share:
            return "organisation_over_share";
        case reason::host_full:
            return "host_full";
        case reason::deadline_passed:
            return "deadline_passed";
        case reason::shutting_down:
            return "shutting_down";
        case reason::not_ready:
            return "not_ready";
        case reason::cancelled:
            return "cancelled";
        case reason::issued_before_retention:
            return "issued_before_retention";
        case reason::issued_before_ownership:
            return "issued_before_ownership";
        case reason::home_unreachable:
            return "home_unreachable";
        case reason::home_changed:
            return "home_changed";
        case reason::ownership_unproved:
            return "ownership_unproved";
        case reason::reply_lost:
            return "reply_lost";
        case reason::claims_full:
            return "claims_full";
        case reason::no_target:
            return "no_target";
        case reason::target_failed:
            return "target_failed";
        case reason::target_answer_malformed:
            return "target_answer_malformed";
        case reason::target_answer_mismatched:
            return "target_answer_mismatched";
        case reason::target_answer_too_large:
            return "target_answer_too_large";
        case reason::target_refused:
            return "target_refused";
    }
    return "none";
}

std::optional<outcome_kind> outcome_kind_of(absl::string_view name)
{
    for (const outcome_kind kind : {outcome_kind::answered,
                                    outcome_kind::not_run,
                                    outcome_kind::failed,
                                    outcome_kind::unknown})
    {
        if (to_string(kind) == name)
        {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace medlar
