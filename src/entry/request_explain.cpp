// Part of request_run: explains where the request would go, by the decisions that
// start(), begin_work() and send() take, in their order.

#include <medlar/detail/dispatch/refusal_delay.hpp>
#include <medlar/detail/entry/request_run.hpp>
#include <medlar/detail/http/status.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace medlar
{

nlohmann::json request_run::explain(const explain_question& question)
{
    tried_targets_ = question.tried;
    if (question.key)
    {
        key_ = *question.key;
        suspects_ = suspects_of(key_, fields_.prompt);
    }
    nlohmann::json said{
        {"route", explain_route(route_)},
        {"priority", priority()},
        {"left_ms", remaining_time().count()},
        {"request", absl::StrCat(absl::Hex(key_.get(), absl::kZeroPad16))}};
    if (organisation_)
    {
        said["organisation"] = organisation_->name.get();
    }
    random_source random = context_.random;
    explain_decisions(random, said);
    return said;
}

void request_run::explain_decisions(random_source& random, nlohmann::json& said)
{
    if (explain_refusal(refusal_of_suspect(), random, said))
    {
        return;
    }
    pool_ = choose_pool(route_.pools, random);
    said["pool"] = pool_.get();
    if (explain_forward(random, said) || explain_origin(random, said))
    {
        return;
    }
    said["pool"] = pool_.get();
    if (explain_refusal(refusal_of_work(), random, said))
    {
        return;
    }
    if (route_.stages.empty() && is_refused_for_shutdown())
    {
        explain_refusal(refusal{status_unavailable, retry_after_no_target, why_stopping},
                        random,
                        said);
        return;
    }
    const target_state* const chosen = explain_selection(random, said);
    if (!route_.stages.empty())
    {
        explain_stages(chosen, random, said);
    }
    else if (chosen == nullptr)
    {
        explain_refusal(refusal_without_target(why_no_target), random, said);
    }
}

bool request_run::explain_refusal(const std::optional<refusal>& found,
                                  random_source& random,
                                  nlohmann::json& said) const
{
    if (!found)
    {
        return false;
    }
    const millis delay = refusal_delay(found->retry_after, remaining_time(), random);
    said["result"] = {{"action", "refuse"},
                      {"status", status_unavailable},
                      {"retry_after", context_.protocol.retry_after(delay).value},
                      {"retry_after_ms", delay.count()},
                      {"why", found->why}};
    return true;
}

bool request_run::explain_forward(random_source& random, nlohmann::json& said) const
{
    const std::optional<peer_host> to =
        lacks_path() ? next_forwarder(random) : std::nullopt;
    if (to)
    {
        said["result"] = {
            {"action", "forward"},
            {"host", to->id.get()},
            {"why", "this host has no network path to the targets of the pool"}};
    }
    return to.has_value();
}

bool request_run::explain_origin(random_source& random, nlohmann::json& said)
{
    if (!needs_origin())
    {
        return false;
    }
    const std::optional<stream_origin> found = origins_.find_here(beginning_attempt());
    if (!found)
    {
        said["result"] = {
            {"action", "ask"},
            {"why",
             "this host does not know where the stream began, and would ask other hosts "
             "and the store"}};
        return true;
    }
    if (explain_refusal(refusal_of_origin(found), random, said))
    {
        return true;
    }
    origin_ = found;
    pool_ = found->pool;
    said["origin"] = found->version.get();
    return false;
}

std::optional<permit_terms> request_run::permits_for(const target_state& target) const
{
    return limits_.terms_of(target);
}

const target_state* request_run::explain_selection(random_source& random,
                                                   nlohmann::json& said)
{
    if (const std::optional<software_version> wanted = version_of_new_stream())
    {
        said["wanted_version"] = wanted->get();
    }
    skip_record skipped;
    skip_record without_permit;
    const target_state* chosen = select(random, &skipped).target;
    // a refused permit leads to another target; those of other hosts are not known
    while (chosen != nullptr && needs_permit(*chosen) &&
           limits_.would_issue(*chosen) == std::optional<bool>(false))
    {
        without_permit.push_back({chosen, skip_reason::no_permit});
        tried_targets_.push_back(chosen->record.id);
        cold_refusals_ += limits_.cold().rate_of(*chosen) ? 1 : 0;
        skipped.clear();
        chosen = select(random, &skipped).target;
    }
    without_permit.insert(without_permit.end(), skipped.begin(), skipped.end());
    const entry_context& context = context_;
    said["targets"] = explain_targets(
        context.targets.of_pool(pool_),
        without_permit,
        chosen,
        [this](const target_state& target)
        {
            return permits_for(target);
        },
        context.loop.now());
    if (chosen == nullptr)
    {
        return nullptr;
    }
    nlohmann::json& result = said["result"];
    result = {{"action", "send"}, {"target", chosen->record.id.get()}};
    const std::optional<software_version> version = version_of_new_stream();
    if (version && origins_.version_of(*chosen) != *version)
    {
        result["saves_version"] = origins_.version_of(*chosen).get();
    }
    if (slow_starts_.lacks_slot(*chosen))
    {
        result["slot"] = "asked from the issuer first";
    }
    if (const std::optional<permit_terms> terms = permits_for(*chosen))
    {
        result["permit"] = absl::StrCat(
            limits_.would_issue(*chosen) ? "granted by this host, " : "asked from ",
            terms->issuer.get());
    }
    return chosen;
}

void request_run::explain_stages(const target_state* planned,
                                 random_source& random,
                                 nlohmann::json& said)
{
    pipeline_ =
        stage_pipeline::create(context_, broker_, make_pipeline_request(planned), {});
    const start_input input = pipeline_->make_start_input();
    const start_decision start = decide_start(input);
    said["stages_start"] = {{"chosen", std::string(to_string(start))},
                            {"expected_ms", input.expected_time.count()},
                            {"unqueued_ms", input.service_time.count()},
                            {"until_aim_ms", input.until_soft_deadline.count()},
                            {"until_deadline_ms", input.until_deadline.count()}};
    if (start == start_decision::refused)
    {
        refusal_backoff backoff = context_.caller_backoff;
        explain_refusal(refusal_of_stages(pipeline_failure::refused,
                                          stage_pipeline::time_until_retry(input),
                                          backoff),
                        random,
                        said);
    }
    else
    {
        said["result"]["action"] = "run stages";
        said["result"]["why"] =
            planned == nullptr
                ? "no target can be called now; one is chosen after the stages"
                : "the target is planned, and called after the stages";
    }
    nlohmann::json stages = nlohmann::json::array();
    for (std::size_t i = 0; i < std::min(route_.stages.size(), max_explained_items); ++i)
    {
        const stage_rule& rule = route_.stages[i];
        const int pieces = i < fields_.pieces.size() ? fields_.pieces[i] : 0;
        nlohmann::json stage{{"stage", i}, {"pool", rule.pool.get()}, {"pieces", pieces}};
        if (!rule.after.empty())
        {
            stage["after"] = rule.after;
        }
        if (pieces > 0)
        {
            explain_owner(i, stage);
        }
        else
        {
            stage["why"] = "skipped, since the request has no work for it";
        }
        stages.push_back(std::move(stage));
    }
    said["stages"] = std::move(stages);
}

void request_run::explain_owner(std::size_t stage, nlohmann::json& said) const
{
    const entry_context& context = context_;
    const pool_id& pool = route_.stages[stage].pool;
    const piece_broker::owned_group placed =
        broker_.owner_of(pool, pipeline_->make_job(stage));
    said["owner"] = placed.owner.get();
    said["is_here"] = placed.owner == context.settings.host;
    said["group"] = placed.group.domain.empty() ? "whole pool" : placed.group.domain;
    const bool takes_all = is_whole_pool(placed.group, context.targets);
    skip_record skipped;
    const std::vector<const target_state*> targets = context.targets.of_pool(pool);
    for (const target_state* each : targets)
    {
        const skip_reason why =
            reason_not_in_use(*each, placed.group, takes_all, context.loop.now());
        if (why != skip_reason::none)
        {
            skipped.push_back({each, why});
        }
    }
    said["targets"] = explain_targets(
        targets,
        skipped,
        nullptr,
        [this](const target_state& target)
        {
            return permits_for(target);
        },
        context.loop.now());
}

} // namespace medlar
