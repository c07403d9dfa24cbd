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

/// statuses that promise that a request has not run and will not
bool is_refusal(int status)
{
    return status == status_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

std::string name_of(const caller_view& view)
{
    return absl::StrCat("request ",
                        view.attempt,
                        " at ",
                        view.host,
                        " (status ",
                        view.status,
                        ", ",
                        view.took_ms,
                        " ms)");
}

} // namespace

std::string promises::body_of(const std::string& attempt)
{
    return absl::StrCat("answer to ", attempt, " ", std::string(500, 'x'));
}

std::string promises::event_of(const std::string& attempt, int number)
{
    return absl::StrCat("id: ", number, "\ndata: ", attempt, "\n\n");
}

void promises::ended(caller_view view)
{
    if (is_success(view.status))
    {
        check_answer(view);
    }
    views_.push_back(std::move(view));
}

void promises::check_answer(const caller_view& view)
{
    if (view.attempt_in_answer != view.attempt)
    {
        broken(name_of(view) + ": the answer belongs to " + view.attempt_in_answer);
    }
    if (!view.has_signature)
    {
        broken(name_of(view) + ": the answer is not a target's");
    }
    if (view.kind == request_kind::stream || view.kind == request_kind::staged)
    {
        check_stream(view);
    }
    else if (view.is_complete && view.body != body_of(view.attempt))
    {
        broken(name_of(view) + ": the answer is not the target's whole answer");
    }
}

void promises::check_stream(const caller_view& view)
{
    std::string whole;
    for (int number = 1; number <= stream_events; ++number)
    {
        whole += event_of(view.attempt, number);
    }
    if (!absl::StartsWith(whole, view.body))
    {
        broken(absl::StrCat(name_of(view),
                            ": events are missing, doubled or another's: ",
                            absl::CEscape(view.body)));
    }
    if (view.is_complete && view.body != whole)
    {
        broken(name_of(view) + ": a stream that lacks events looks complete");
    }
}

void promises::check_runs(const caller_view& view)
{
    const auto found = runs_.find(view.attempt);
    const int runs = found == runs_.end() ? 0 : found->second;
    if (view.kind == request_kind::once && runs > 1)
    {
        broken(absl::StrCat(name_of(view), ": ran ", runs, " times"));
    }
    if (is_refusal(view.status) && runs > 0)
    {
        broken(name_of(view) + ": was refused as not run, and has run");
    }
    if (is_success(view.status) && runs == 0)
    {
        broken(name_of(view) + ": was answered, and no target ran it");
    }
}

void promises::check(std::int64_t longest_ms)
{
    for (const caller_view& each : views_)
    {
        check_runs(each);
        if (longest_ms > 0 && !each.was_disturbed && each.took_ms > longest_ms)
        {
            broken(name_of(each) + ": took too long");
        }
    }
}

std::size_t promises::answered() const
{
    return static_cast<std::size_t>(std::count_if(views_.begin(),
                                                  views_.end(),
                                                  [](const caller_view& each)
                                                  {
                                                      return is_success(each.status);
                                                  }));
}

} // namespace medlar::soak
