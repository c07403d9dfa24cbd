#ifndef MEDLAR_DETAIL_REQUEST_OUTCOME_DECISION_HPP
#define MEDLAR_DETAIL_REQUEST_OUTCOME_DECISION_HPP

#include <medlar/detail/base/outcome.hpp>

namespace medlar
{

/// @brief What is known of a run when it ends.
///
/// A call is "handed over" from before its first byte is given to the network, unless
/// its target then states that it did not run.
struct run_facts
{
    /// every stage gave its whole answer
    bool complete = false;
    /// a call of any kind was handed over
    bool call_may_have_run = false;
    /// a call that may not be repeated was handed over
    bool non_idempotent_may_have_run = false;
    /// for each such call its target told how it ended
    bool non_idempotent_settled = true;
};

/// @brief what became of a run
struct run_decision
{
    outcome_kind kind = outcome_kind::unknown;
    /// whether the same request may run at a later attempt
    bool may_run_again = false;
};

/// @brief The one place that decides what became of a run.
run_decision decide_outcome(const run_facts& facts);

/// @brief What the entry knows of a request that it gives up without a word of its home.
struct entry_facts
{
    bool idempotent = false;
    /// its caller states that it was never sent before
    bool first_attempt = false;
    /// a byte of it was handed to a home
    bool sent_to_home = false;
};

/// @brief What an entry may say of such a request: not_run only if nothing of it can
/// have run anywhere, or, if it is idempotent, nothing of this attempt.
outcome_kind decide_entry_outcome(const entry_facts& facts);

} // namespace medlar

#endif // MEDLAR_DETAIL_REQUEST_OUTCOME_DECISION_HPP
