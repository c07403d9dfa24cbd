#include <medlar/detail/request/outcome_decision.hpp>

namespace medlar
{

run_decision decide_outcome(const run_facts& facts)
{
    if (facts.complete)
    {
        return {outcome_kind::answered, false};
    }
    if (facts.non_idempotent_may_have_run)
    {
        return {facts.non_idempotent_settled ? outcome_kind::failed
                                             : outcome_kind::unknown,
                false};
    }
    if (facts.call_may_have_run)
    {
        return {outcome_kind::failed, true};
    }
    return {outcome_kind::not_run, true};
}

outcome_kind decide_entry_outcome(const entry_facts& facts)
{
    if (facts.sent_to_home)
    {
        return outcome_kind::unknown;
    }
    const bool never_run = facts.idempotent || facts.first_attempt;
    return never_run ? outcome_kind::not_run : outcome_kind::unknown;
}

} // namespace medlar
