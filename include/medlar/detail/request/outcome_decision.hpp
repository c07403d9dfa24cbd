#ifndef MEDLAR_DETAIL_REQUEST_OUTCOME_DECISION_HPP
#define MEDLAR_DETAIL_REQUEST_OUTCOME_DECISION_HPP

#include <medlar/detail/base/outcome.hpp>

namespace medlar
{

/// @brief The facts about a run that decide its outcome.
///
/// A call may have run from just before its first byte is sent, unless its target states
/// that it did not run.
struct run_facts
{
    /// every stage answered completely
    bool complete = false;
    /// any call may have run
    bool call_may_have_run = false;
    /// a call that is not idempotent may have run
    bool non_idempotent_may_have_run = false;
    /// the target of each such call reported how it ended
    bool non_idempotent_settled = true;
};

/// @brief The outcome of a run.
struct run_decision
{
    outcome_kind kind = outcome_kind::unknown;
    /// whether a later attempt of the same request may run
    bool may_run_again = false;
};

/// @brief Decides the outcome of a run. No other function does.
run_decision decide_outcome(const run_facts& facts);

/// @brief The facts about a request that its entry gives up without an answer from its
/// home.
struct entry_facts
{
    bool idempotent = false;
    /// the caller states that it was never sent before
    bool first_attempt = false;
    /// a byte of it may have been sent to a home
    bool sent_to_home = false;
};

/// @brief Decides the outcome of such a request: not_run only if no attempt of it can
/// have run anywhere or, for an idempotent request, if this attempt cannot have run; else
/// unknown.
outcome_kind decide_entry_outcome(const entry_facts& facts);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_OUTCOME_DECISION_HPP
