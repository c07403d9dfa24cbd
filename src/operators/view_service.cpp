#include <medlar/detail/base/error.hpp>
#include <medlar/detail/log/operator_events.hpp>
#include <medlar/detail/operators/settled_write.hpp>
#include <medlar/detail/operators/view_service.hpp>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>

namespace medlar
{

namespace
{

const std::string view_key = "medlar/live/view";

/// @brief scope of the audit records of requests that may not have taken effect
const std::string intent_scope = "intended";

std::string join_names(const std::vector<host_id>& hosts)
{
    std::vector<std::string> names;
    for (const host_id& each : hosts)
    {
        names.push_back(each.get());
    }
    std::sort(names.begin(), names.end());
    return absl::StrJoin(names, ", ");
}

std::string summary_of(const force_view_request& request)
{
    return absl::StrCat("force view without ", join_names(request.stopped));
}

/// @brief Returns the next view record, without the hosts stated as stopped.
/// @return error 604 if a host is not a member, 504 if no member would remain
absl::StatusOr<view_record> record_without(const view_record& record,
                                           const std::vector<host_id>& stopped)
{
    std::vector<view_member> remaining = record.current.members;
    std::vector<incarnation> stopped_processes;
    for (const host_id& host : std::set<host_id>(stopped.begin(), stopped.end()))
    {
        const auto found = std::find_if(remaining.begin(),
                                        remaining.end(),
                                        [&host](const view_member& member)
                                        {
                                            return member.host == host;
                                        });
        if (found == remaining.end())
        {
            return make_error(absl::StatusCode::kNotFound,
                              error_number::no_such_object,
                              absl::StrCat("the view has no member '", host.get(), "'"));
        }
        stopped_processes.push_back(found->process);
        remaining.erase(found);
    }
    if (remaining.empty())
    {
        return make_error(absl::StatusCode::kInvalidArgument,
                          error_number::out_of_range,
                          "stopped_hosts: no member of the view would be left");
    }
    view_record next = next_record(record, std::move(remaining));
    next.current.stated_stopped = std::move(stopped_processes);
    return next;
}

force_view_result result_of(const view& current)
{
    force_view_result result;
    result.state = change_state::accepted;
    result.epoch = current.epoch;
    for (const view_member& member : current.members)
    {
        result.members.push_back(member.host);
    }
    return result;
}

/// @brief Returns whether the newest view is the result of the request.
bool is_applied(const view_record& record, const force_view_request& request)
{
    if (record.current.epoch.get() != request.expected.get() + 1 ||
        record.earlier.empty())
    {
        return false;
    }
    view_record before;
    before.current = record.earlier.back();
    const absl::StatusOr<view_record> wanted = record_without(before, request.stopped);
    return wanted.ok() && wanted->current.stated_stopped == record.current.stated_stopped;
}

absl::Status validate_request(const force_view_request& request)
{
    const absl::Status names_valid =
        check_change_names(request.change_id, request.author);
    if (!names_valid.ok())
    {
        return names_valid;
    }
    if (request.stopped.empty())
    {
        return make_error(absl::StatusCode::kInvalidArgument,
                          error_number::out_of_range,
                          "stopped_hosts: names no host");
    }
    if (request.confirmation != view_confirmation)
    {
        return make_error(
            absl::StatusCode::kFailedPrecondition,
            error_number::not_confirmed,
            absl::StrCat("confirmation: must be '", view_confirmation, "'"));
    }
    return absl::OkStatus();
}

} // namespace

std::unique_ptr<view_service> view_service::create(store_client& store,
                                                   const clock& time,
                                                   fleet_service& fleet,
                                                   audit_log& audit)
{
    return std::unique_ptr<view_service>(new view_service(store, time, fleet, audit));
}

view_service::view_service(store_client& store,
                           const clock& time,
                           fleet_service& fleet,
                           audit_log& audit)
    : store_(store), time_(time), fleet_(fleet), audit_(audit)
{
}

absl::StatusOr<force_view_result> view_service::force(const force_view_request& request)
{
    const absl::Status checked = validate_request(request);
    if (!checked.ok())
    {
        return checked;
    }
    bool pending = false;
    const auto settled = retry_until_settled<force_view_result>(
        [&]
        {
            return try_once(request, pending);
        },
        [&pending]
        {
            return pending;
        });
    if (!settled.ok())
    {
        return settled.status();
    }
    if (!settled->has_value())
    {
        log_event(change_unsettled,
                  {{"change_id", request.change_id}, {"author", request.author}});
        return force_view_result{};
    }
    return **settled;
}

absl::StatusOr<view_service::stored_view> view_service::read_view()
{
    const auto entry = store_.get(view_key);
    if (!entry.ok())
    {
        return entry.status();
    }
    if (!entry->has_value())
    {
        return make_error(absl::StatusCode::kNotFound,
                          error_number::no_such_object,
                          "there is no view");
    }
    absl::StatusOr<view_record> record = parse_view_record((*entry)->value);
    if (!record.ok())
    {
        return record.status();
    }
    return stored_view{*std::move(record), (*entry)->modified};
}

absl::StatusOr<std::optional<force_view_result>>
view_service::try_once(const force_view_request& request, bool& pending)
{
    const absl::StatusOr<stored_view> stored = read_view();
    if (!stored.ok())
    {
        return stored.status();
    }
    if (is_applied(stored->record, request))
    {
        force_view_result result = result_of(stored->record.current);
        result.accepted_earlier = !pending;
        record_accepted(request, stored->record.current.epoch);
        return result;
    }
    if (stored->record.current.epoch != request.expected)
    {
        return find_superseded(request, stored->record, pending);
    }
    const absl::StatusOr<view_record> next =
        record_without(stored->record, request.stopped);
    if (!next.ok())
    {
        return next.status();
    }
    absl::Status ready = check_settled(stored->record, request);
    ready.Update(ready.ok() ? record(request, false) : ready);
    if (!ready.ok())
    {
        return ready;
    }
    const absl::StatusOr<bool> written =
        store_.compare_and_swap(view_key, write_view_record(*next), stored->index);
    if (!written.ok())
    {
        pending = pending || may_have_taken_effect(written.status());
        return written.status();
    }
    if (!*written)
    {
        return std::nullopt;
    }
    record_accepted(request, next->current.epoch);
    return result_of(next->current);
}

absl::StatusOr<std::optional<force_view_result>> view_service::find_superseded(
    const force_view_request& request, const view_record& newest, bool& pending)
{
    const auto records = audit_.list();
    if (!records.ok())
    {
        return records.status();
    }
    const std::string summary = summary_of(request);
    for (const audit_record& entry : *records)
    {
        if (entry.kind == audit_kind::view && entry.change_id == request.change_id &&
            entry.summary == summary)
        {
            force_view_result result;
            result.state = change_state::accepted;
            result.epoch = view_epoch(entry.number);
            result.accepted_earlier = true;
            return result;
        }
    }
    pending = false;
    return make_error(absl::StatusCode::kAborted,
                      error_number::conflict,
                      absl::StrCat("the view is at epoch ", newest.current.epoch.get()));
}

void view_service::record_accepted(const force_view_request& request, view_epoch epoch)
{
    log_event(view_forced,
              {{"epoch", epoch.get()},
               {"change_id", request.change_id},
               {"author", request.author},
               {"stopped", join_names(request.stopped)}});
    const absl::Status recorded = record(request, true);
    if (!recorded.ok())
    {
        log_event(audit_delayed, {{"epoch", epoch.get()}, {"why", recorded.message()}});
    }
}

absl::Status view_service::check_settled(const view_record& record,
                                         const force_view_request& request)
{
    for (const view_member& member : record.current.members)
    {
        const bool is_stopped =
            std::find(request.stopped.begin(), request.stopped.end(), member.host) !=
            request.stopped.end();
        if (is_stopped)
        {
            continue;
        }
        const absl::StatusOr<host_report> report = fleet_.fetch_report(member.link);
        if (report.ok() && report->process == member.process && report->may_propose &&
            report->newest == record.current.epoch)
        {
            return absl::OkStatus();
        }
    }
    return make_error(absl::StatusCode::kFailedPrecondition,
                      error_number::view_not_settled,
                      "no gateway that stays shows that all earlier views are closed; "
                      "ask again in a few seconds");
}

absl::Status view_service::record(const force_view_request& request, bool accepted)
{
    audit_record audit_entry;
    audit_entry.kind = audit_kind::view;
    audit_entry.based_on = request.expected.get();
    audit_entry.number = audit_entry.based_on + 1;
    audit_entry.change_id = request.change_id;
    audit_entry.author = request.author;
    audit_entry.summary =
        absl::StrCat(accepted ? "" : "asked for: ", summary_of(request));
    audit_entry.at = time_.wall_now();
    return accepted ? audit_.add(audit_entry, "")
                    : audit_.add_intent(audit_entry, intent_scope);
}

} // namespace medlar
