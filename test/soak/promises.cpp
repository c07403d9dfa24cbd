#include "soak/promises.hpp"

#include <medlar/detail/http/status.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace medlar::soak
{

namespace
{

/// Whether a status states that the request was not run and will not be.
bool is_refusal(int status)
{
    return status == status_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

std::string describe(const request_record& record)
{
    return absl::StrCat("request ",
                        record.attempt,
                        " at ",
                        record.host,
                        " (status ",
                        record.status,
                        ", ",
                        record.duration_ms,
                        " ms)");
}

} // namespace

std::string promises::expected_body(const std::string& attempt)
{
    return absl::StrCat("answer to ", attempt, " ", std::string(500, 'x'));
}

std::string promises::expected_event(const std::string& attempt, int number)
{
    return absl::StrCat("id: ", number, "\ndata: ", attempt, "\n\n");
}

void promises::record_outcome(request_record record)
{
    if (is_success(record.status))
    {
        check_answer(record);
    }
    records_.push_back(std::move(record));
}

void promises::check_answer(const request_record& record)
{
    if (record.attempt_in_answer != record.attempt)
    {
        record_violation(describe(record) + ": the answer belongs to " +
                         record.attempt_in_answer);
    }
    if (!record.has_signature)
    {
        record_violation(describe(record) +
                         ": the answer carries no signature of a target");
    }
    if (record.kind == request_kind::stream || record.kind == request_kind::staged)
    {
        check_stream(record);
    }
    else if (record.is_complete && record.body != expected_body(record.attempt))
    {
        record_violation(describe(record) +
                         ": the body differs from the target's answer");
    }
}

void promises::check_stream(const request_record& record)
{
    std::string expected;
    for (int number = 1; number <= stream_events; ++number)
    {
        expected += expected_event(record.attempt, number);
    }
    if (!absl::StartsWith(expected, record.body))
    {
        record_violation(
            absl::StrCat(describe(record),
                         ": events are missing, duplicated or from another request: ",
                         absl::CEscape(record.body)));
    }
    if (record.is_complete && record.body != expected)
    {
        record_violation(describe(record) +
                         ": the stream ended regularly but lacks events");
    }
}

void promises::check_runs(const request_record& record)
{
    const auto found = executions_.find(record.attempt);
    const int runs = found == executions_.end() ? 0 : found->second;
    if (record.kind == request_kind::once && runs > 1)
    {
        record_violation(absl::StrCat(describe(record), ": ran ", runs, " times"));
    }
    if (is_refusal(record.status) && runs > 0)
    {
        record_violation(describe(record) +
                         ": was refused as not run, but a target ran it");
    }
    if (is_success(record.status) && runs == 0)
    {
        record_violation(describe(record) + ": was answered, but no target ran it");
    }
}

void promises::check(std::int64_t max_duration_ms)
{
    for (const request_record& each : records_)
    {
        check_runs(each);
        if (max_duration_ms > 0 && !each.was_disturbed &&
            each.duration_ms > max_duration_ms)
        {
            record_violation(describe(each) + ": took too long");
        }
    }
}

std::size_t promises::answered() const
{
    return static_cast<std::size_t>(std::count_if(records_.begin(),
                                                  records_.end(),
                                                  [](const request_record& each)
                                                  {
                                                      return is_success(each.status);
                                                  }));
}

} // namespace medlar::soak
