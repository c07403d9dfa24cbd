#ifndef MEDLAR_DETAIL_CONFIG_DOCUMENT_HPP
#define MEDLAR_DETAIL_CONFIG_DOCUMENT_HPP

#include <medlar/detail/base/clock.hpp>
#include <medlar/detail/base/ids.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlar
{

/// @brief the work that a stage does
enum class stage_kind
{
    encode,
    retrieve,
    rerank,
    generate,
    call, ///< one call of a plain service, such as a ledger posting
};

/// @brief what the system weighs more when it cannot have both
enum class objective_kind
{
    attainment, ///< answers within their deadline first
    cost,       ///< cost by stage first
};

/// @brief how a stage's target is chosen
enum class routing_policy
{
    adaptive,    ///< by estimated completion, prefix affinity and failure domain
    round_robin, ///< each target in turn; the baseline
};

/// @brief which requests are refused at the door
enum class admission_policy
{
    estimate, ///< those that cannot finish in time, and those over a fair share
    none,     ///< none; the baseline
};

/// @brief when a stage call is tried again
enum class retry_policy
{
    budgeted, ///< inside the deadline and a budget of the host
    blind,    ///< at once, up to the limit of tries; the baseline
    never,
};

/// @brief one stage of a pipeline
struct stage
{
    std::string name;
    stage_kind kind = stage_kind::encode;
    /// the pool whose targets run it
    pool_id pool;
    /// names of the stages whose results it takes; empty: the request's input
    std::vector<std::string> after;
    /// set: whether this call may be repeated; unset: as the request says
    std::optional<bool> idempotent;
    /// most tokens that a generate stage writes; 0: no bound of its own
    token_count max_tokens{0};
};

/// @brief a named sequence of stages with one deadline
struct pipeline
{
    pipeline_id name;
    std::vector<stage> stages;
    /// deadline of a request that states none, from its arrival
    millis default_deadline{10000};
    /// longest deadline that a request may state
    millis max_deadline{60000};
    /// organisations that may use it; empty: all
    std::vector<organisation_id> organisations;
    objective_kind objective = objective_kind::attainment;
    routing_policy routing = routing_policy::adaptive;
    admission_policy admission = admission_policy::estimate;
    retry_policy retries = retry_policy::budgeted;
    /// most tries of one stage call, the first included
    int max_tries = 3;
};

/// @brief one process that runs stage calls
struct target
{
    target_id name;
    std::string address;
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    /// an operator has asked that it gets no new work
    bool drained = false;
};

/// @brief targets that serve the same calls
struct pool
{
    pool_id name;
    std::vector<target> targets;
    /// whether its targets report their load
    bool reports_load = false;
    /// whether its targets refuse orders with an old fencing number
    bool checks_fencing = false;
    /// the model that its engines serve; empty for plain services
    model_id model;
};

/// @brief an organisation whose requests are served
struct organisation
{
    organisation_id name;
    /// its share of a contended pool relative to others
    double weight = 1.0;
    /// credential of its callers; empty: none is asked for
    std::string key;
};

/// @brief One document that holds all that operators configure.
/// @note Its JSON form is described in docs/CONFIGURATION.md; limits: 1 MB as JSON.
struct document
{
    std::vector<pool> pools;
    std::vector<pipeline> pipelines;
    std::vector<organisation> organisations;

    /// @brief the pool of that name, or nullptr
    const pool* find_pool(const pool_id& name) const;
    /// @brief the pipeline of that name, or nullptr
    const pipeline* find_pipeline(const pipeline_id& name) const;
    /// @brief the organisation of that name, or nullptr
    const organisation* find_organisation(const organisation_id& name) const;
};

/// @brief a document as it was accepted
struct accepted_document
{
    /// number of accepted changes up to this one; 0: nothing accepted yet
    revision number;
    /// the accepted revision that the change replaced
    revision based_on;
    /// the operator's id of the change
    std::string change_id;
    std::string author;
    /// what the operator asked for, such as "apply" or "drain target engine-1"
    std::string summary;
    wall_time accepted_at;
    document content;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_DOCUMENT_HPP
