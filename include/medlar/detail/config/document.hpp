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

/// @brief the type of work that a stage does
enum class stage_kind
{
    encode,
    retrieve,
    rerank,
    generate,
    call, ///< one call of an ordinary service, such as posting to a ledger
};

/// @brief what is optimised first where the two goals conflict
enum class objective_kind
{
    attainment, ///< the share of requests answered within their deadline
    cost,       ///< the cost of each stage
};

/// @brief how a target is selected for a stage call
enum class routing_policy
{
    adaptive,    ///< by estimated completion time, prefix affinity and failure domain
    round_robin, ///< each target in turn; baseline
};

/// @brief which requests are refused on arrival
enum class admission_policy
{
    estimate, ///< those that cannot meet their deadline or exceed the organisation's fair
              ///< share
    none,     ///< none are refused; baseline
};

/// @brief when a failed stage call is retried
enum class retry_policy
{
    budgeted, ///< within the deadline and the host's retry budget
    blind,    ///< immediately, up to max_tries; baseline
    never,
};

/// @brief a stage of a pipeline
struct stage
{
    std::string name;
    stage_kind kind = stage_kind::encode;
    /// the pool whose targets run it
    pool_id pool;
    /// names of the stages whose results are its input; empty: the request's input is
    std::vector<std::string> after;
    /// whether its calls may be retried; unset: as the request specifies
    std::optional<bool> idempotent;
    /// limit of generated tokens; 0: no limit for this stage
    token_count max_tokens{0};
};

/// @brief a named graph of stages with one deadline
struct pipeline
{
    pipeline_id name;
    std::vector<stage> stages;
    /// deadline, counted from arrival, of a request that specifies none
    millis default_deadline{10000};
    /// longest deadline that a request may specify
    millis max_deadline{60000};
    /// organisations allowed to use it; empty: all
    std::vector<organisation_id> organisations;
    objective_kind objective = objective_kind::attainment;
    routing_policy routing = routing_policy::adaptive;
    admission_policy admission = admission_policy::estimate;
    retry_policy retries = retry_policy::budgeted;
    /// maximum attempts of a stage call, including the first
    int max_tries = 3;
};

/// @brief a process that executes stage calls
struct target
{
    target_id name;
    std::string address;
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    /// set by an operator so that it receives no new work
    bool drained = false;
};

/// @brief a set of interchangeable targets
struct pool
{
    pool_id name;
    std::vector<target> targets;
    /// whether the targets report their load
    bool reports_load = false;
    /// whether the targets refuse orders with an outdated fencing number
    bool checks_fencing = false;
    /// the model that its engines serve; empty for ordinary services
    model_id model;
};

/// @brief an organisation that may send requests
struct organisation
{
    organisation_id name;
    /// weight of its share of a contended pool
    double weight = 1.0;
    /// API key that its callers must present; empty: none is required
    std::string key;
};

/// @brief The whole configuration set by operators.
/// @note docs/CONFIGURATION.md describes its JSON form, which is limited to 1 MB.
struct document
{
    std::vector<pool> pools;
    std::vector<pipeline> pipelines;
    std::vector<organisation> organisations;

    /// @brief Returns the pool with this name, or nullptr.
    const pool* find_pool(const pool_id& name) const;
    /// @brief Returns the pipeline with this name, or nullptr.
    const pipeline* find_pipeline(const pipeline_id& name) const;
    /// @brief Returns the organisation with this name, or nullptr.
    const organisation* find_organisation(const organisation_id& name) const;
};

/// @brief an accepted document and the change that produced it
struct accepted_document
{
    /// number of accepted changes up to and including this one; 0: none yet
    revision number;
    /// the revision before the change
    revision based_on;
    /// id of the change, chosen by the operator
    std::string change_id;
    std::string author;
    /// the requested edit, such as "apply" or "drain target engine-1"
    std::string summary;
    wall_time accepted_at;
    document content;
};

} // namespace medlar

#endif // MEDLAR_DETAIL_CONFIG_DOCUMENT_HPP
