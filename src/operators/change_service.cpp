#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/config/json_text.hpp>
#include <medlar/detail/log/operator_events.hpp>
#include <medlar/detail/operators/change_service.hpp>
#include <medlar/detail/operators/settled_write.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar
{

namespace
{

constexpr std::size_t max_change_name_bytes = 128;
/// limit on how far above the stored revision `above_revision` may be
constexpr std::uint64_t max_revision_step = 1000000;

absl::Status check_change_name(const std::string& name, absl::string_view field)
{
    const bool has_control_character =
        std::any_of(name.begin(),
                    name.end(),
                    [](unsigned char character)
                    {
                        return character < ' ' || character == 0x7f;
                    });
    if (name.empty() || name.size() > max_change_name_bytes || has_control_character)
    {
        return make_error(absl::StatusCode::kInvalidArgument,
                          error_number::out_of_range,
                          absl::StrCat(field,
                                       ": 1 to ",
                                       max_change_name_bytes,
                                       " bytes without control characters"));
    }
    return absl::OkStatus();
}

change_result result_of(const audit_record& record)
{
    change_result result;
    result.state = change_state::accepted;
    result.change_id = record.change_id;
    result.number = revision(record.number);
    result.based_on = revision(record.based_on);
    result.accepted_earlier = true;
    result.differences = record.differences;
    return result;
}

change_result unknown_result(const std::string& change_id, revision based_on)
{
    change_result result;
    result.change_id = change_id;
    result.based_on = based_on;
    return result;
}

/// @brief Returns the digest that the accepted content must have; empty if any will do.
std::string required_digest(const document_edit& edit)
{
    const auto* replaced = std::get_if<replace_content>(&edit);
    return replaced == nullptr ? "" : digest_of(replaced->content);
}

/// @brief Returns the configuration record of a change, or nullptr.
const audit_record* find_record(const std::vector<audit_record>& records,
                                const std::string& change_id)
{
    const auto found = std::find_if(records.begin(),
                                    records.end(),
                                    [&change_id](const audit_record& record)
                                    {
                                        return record.kind == audit_kind::configuration &&
                                               record.change_id == change_id;
                                    });
    return found == records.end() ? nullptr : &*found;
}

/// @brief Returns the oldest revision among configuration records, or 0 without any.
std::uint64_t oldest_revision(const std::vector<audit_record>& records)
{
    std::uint64_t oldest = 0;
    for (const audit_record& record : records)
    {
        if (record.kind == audit_kind::configuration)
        {
            oldest = oldest == 0 ? record.number : std::min(oldest, record.number);
        }
    }
    return oldest;
}

} // namespace

absl::Status check_change_names(const std::string& change_id, const std::string& author)
{
    absl::Status status = check_change_name(change_id, "change_id");
    status.Update(check_change_name(author, "author"));
    return status;
}

std::unique_ptr<change_service> change_service::create(store_client& store,
                                                       const clock& time,
                                                       std::uint64_t audit_entries)
{
    return std::unique_ptr<change_service>(
        new change_service(store, time, audit_entries));
}

change_service::change_service(store_client& store,
                               const clock& time,
                               std::uint64_t audit_entries)
    : time_(time), live_(store), audit_(audit_log::create(store, audit_entries))
{
}

absl::StatusOr<change_result> change_service::change(const change_request& request,
                                                     const document_edit& edit)
{
    const absl::Status names_valid =
        check_change_names(request.change_id, request.author);
    if (!names_valid.ok())
    {
        return names_valid;
    }
    change_progress progress;
    const auto settled = retry_until_settled<change_result>(
        [&]
        {
            return try_once(request, edit, progress);
        },
        [&progress]
        {
            return progress.pending_base.has_value();
        });
    if (!settled.ok())
    {
        log_event(change_refused,
                  {{"change_id", request.change_id},
                   {"author", request.author},
                   {"why", settled.status().message()}});
        return settled.status();
    }
    if (!settled->has_value())
    {
        log_event(change_unsettled,
                  {{"change_id", request.change_id}, {"author", request.author}});
        return unknown_result(request.change_id, *progress.pending_base);
    }
    return **settled;
}

absl::StatusOr<accepted_document> change_service::get(revision number)
{
    absl::StatusOr<live_document> live = live_.read(revision(0));
    if (!live.ok())
    {
        return live.status();
    }
    return number == revision(0) ? std::move(live->accepted)
                                 : live_.find(*live, *audit_, number);
}

absl::StatusOr<std::vector<audit_record>> change_service::history()
{
    const absl::StatusOr<live_document> live = live_.read(revision(0));
    if (!live.ok())
    {
        return live.status();
    }
    const absl::Status recorded = audit_->ensure(live->accepted);
    if (!recorded.ok())
    {
        return recorded;
    }
    return audit_->list();
}

absl::StatusOr<change_result> change_service::status(const std::string& change_id,
                                                     std::optional<revision> based_on)
{
    const absl::StatusOr<live_document> live = live_.read(revision(0));
    if (!live.ok())
    {
        return live.status();
    }
    const auto found = find_accepted(*live, change_id);
    if (!found.ok() || found->has_value())
    {
        return found.ok() ? absl::StatusOr<change_result>(**found) : found.status();
    }
    const auto records = audit_->list();
    if (!records.ok())
    {
        return records.status();
    }
    if (!based_on)
    {
        return make_error(absl::StatusCode::kNotFound,
                          error_number::change_unknown,
                          absl::StrCat("no change '",
                                       change_id,
                                       "' among the kept ones; with the revision that it "
                                       "was based on, it can be settled"));
    }
    change_result result = unknown_result(change_id, *based_on);
    const std::uint64_t next = based_on->get() + 1;
    const std::uint64_t oldest = oldest_revision(*records);
    const bool is_overtaken = live->accepted.number > *based_on;
    const bool all_are_kept = oldest != 0 && oldest <= next;
    if (is_overtaken && (all_are_kept || live->accepted.number.get() == next))
    {
        result.state = change_state::not_accepted;
    }
    return result;
}

void change_service::record_seen_revision(revision number)
{
    live_.record_seen_revision(number);
}

audit_log& change_service::audit()
{
    return *audit_;
}

absl::StatusOr<std::optional<change_result>>
change_service::find_accepted(const live_document& live, const std::string& change_id)
{
    if (live.accepted.number > revision(0) && live.accepted.change_id == change_id)
    {
        return result_of(make_audit_record(live.accepted, nullptr));
    }
    const auto records = audit_->list();
    if (!records.ok())
    {
        return records.status();
    }
    const audit_record* record = find_record(*records, change_id);
    if (record == nullptr)
    {
        return std::nullopt;
    }
    return result_of(*record);
}

absl::StatusOr<std::optional<change_result>> change_service::find_duplicate(
    const live_document& live, const change_request& request, const document_edit& edit)
{
    std::vector<audit_record> records;
    if (live.accepted.number > revision(0))
    {
        records.push_back(make_audit_record(live.accepted, nullptr));
    }
    if (find_record(records, request.change_id) == nullptr)
    {
        auto listed = audit_->list();
        if (!listed.ok())
        {
            return listed.status();
        }
        records = *std::move(listed);
    }
    const audit_record* record = find_record(records, request.change_id);
    if (record == nullptr)
    {
        return std::nullopt;
    }
    const std::string digest = required_digest(edit);
    const bool is_same_content = digest.empty() || digest == record->content_digest;
    if (is_same_content && record->summary == summary_of(edit))
    {
        return result_of(*record);
    }
    return make_error(absl::StatusCode::kAlreadyExists,
                      error_number::change_id_reused,
                      absl::StrCat("change '",
                                   request.change_id,
                                   "' is revision ",
                                   record->number,
                                   " with other content"));
}

absl::StatusOr<document> change_service::apply_edit(const live_document& live,
                                                    const document_edit& edit)
{
    if (const auto* replaced = std::get_if<replace_content>(&edit))
    {
        return replaced->content;
    }
    if (const auto* restored = std::get_if<restore_revision>(&edit))
    {
        absl::StatusOr<accepted_document> kept =
            live_.find(live, *audit_, restored->number);
        return kept.ok() ? absl::StatusOr<document>(std::move(kept->content))
                         : kept.status();
    }
    document content = live.accepted.content;
    const absl::Status drained = apply_drain(std::get<set_drained>(edit), content);
    if (!drained.ok())
    {
        return drained;
    }
    return content;
}

absl::StatusOr<accepted_document> change_service::make_next(const live_document& live,
                                                            const change_request& request,
                                                            const document_edit& edit)
{
    absl::StatusOr<document> content = apply_edit(live, edit);
    if (!content.ok())
    {
        return content.status();
    }
    const absl::Status valid = validate(*content);
    if (!valid.ok())
    {
        return valid;
    }
    if (write_document(*content).size() > max_document_bytes)
    {
        return make_error(
            absl::StatusCode::kInvalidArgument,
            error_number::document_too_large,
            absl::StrCat("more than ", max_document_bytes, " bytes as JSON"));
    }
    accepted_document next;
    next.based_on = live.accepted.number;
    next.number = revision(std::max(live.accepted.number.get(), request.above.get()) + 1);
    next.change_id = request.change_id;
    next.author = request.author;
    next.summary = summary_of(edit);
    next.accepted_at = std::max(time_.wall_now(), live.accepted.accepted_at);
    next.content = *std::move(content);
    return next;
}

absl::Status change_service::check_base(const live_document& live,
                                        const change_request& request,
                                        const document_edit& edit,
                                        const change_progress& progress)
{
    const revision found = live.accepted.number;
    if (request.expected && *request.expected != found)
    {
        return make_conflict_status(live, *request.expected);
    }
    if (progress.first_base && *progress.first_base != found &&
        !is_independent_of_base(edit))
    {
        return make_conflict_status(live, *progress.first_base);
    }
    if (request.above > revision(found.get() + max_revision_step))
    {
        return make_error(absl::StatusCode::kInvalidArgument,
                          error_number::out_of_range,
                          absl::StrCat("above_revision: more than ",
                                       max_revision_step,
                                       " above the store's ",
                                       found.get()));
    }
    return absl::OkStatus();
}

absl::Status change_service::make_conflict_status(const live_document& live,
                                                  revision expected_base)
{
    conflict_report report;
    report.number = live.accepted.number;
    report.change_id = live.accepted.change_id;
    report.author = live.accepted.author;
    const auto before = audit_->find_content(expected_base);
    if (before.ok() && before->has_value())
    {
        report.differences = truncate_differences(
            differences_between((*before)->content, live.accepted.content),
            max_recorded_differences);
    }
    return make_conflict(report);
}

absl::StatusOr<std::optional<change_result>> change_service::try_once(
    const change_request& request, const document_edit& edit, change_progress& progress)
{
    const absl::StatusOr<live_document> live = live_.read(request.above);
    if (!live.ok())
    {
        return live.status();
    }
    auto duplicate = find_duplicate(*live, request, edit);
    const bool is_recorded = duplicate.ok() && duplicate->has_value();
    const bool records_are_known =
        duplicate.ok() || duplicate.status().code() == absl::StatusCode::kAlreadyExists;
    if (records_are_known && progress.pending_base != live->accepted.number)
    {
        // The base of the pending attempt has been replaced, so its compare-and-swap can
        // no longer take effect.
        progress.pending_base.reset();
    }
    if (!duplicate.ok() || is_recorded)
    {
        return duplicate;
    }
    const absl::Status base = check_base(*live, request, edit, progress);
    if (!base.ok())
    {
        return base;
    }
    const absl::StatusOr<accepted_document> next = make_next(*live, request, edit);
    if (!next.ok())
    {
        return next.status();
    }
    const absl::Status recorded = audit_->ensure(live->accepted);
    if (!recorded.ok())
    {
        return recorded;
    }
    progress.first_base = progress.first_base.value_or(live->accepted.number);
    const absl::StatusOr<bool> written = live_.write(*live, *next);
    if (written.ok())
    {
        return *written ? std::make_optional(record_accepted(live->accepted, *next))
                        : std::nullopt;
    }
    if (!may_have_taken_effect(written.status()))
    {
        return written.status();
    }
    progress.pending_base = live->accepted.number;
    return std::nullopt;
}

change_result change_service::record_accepted(const accepted_document& before,
                                              const accepted_document& next)
{
    record_seen_revision(next.number);
    log_event(change_accepted,
              {{"revision", next.number.get()},
               {"change_id", next.change_id},
               {"author", next.author},
               {"summary", next.summary}});
    const absl::Status recorded = audit_->ensure(next);
    if (!recorded.ok())
    {
        log_event(audit_delayed,
                  {{"revision", next.number.get()}, {"why", recorded.message()}});
    }
    change_result result = result_of(make_audit_record(next, &before.content));
    result.accepted_earlier = false;
    return result;
}

} // namespace medlar
