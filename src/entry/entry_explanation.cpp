// Part of entry_host: answers operators where a request would go.

#include <medlar/detail/dispatch/request_explanation.hpp>
#include <medlar/detail/entry/entry_host.hpp>
#include <medlar/detail/http/status.hpp>

#include <absl/strings/str_cat.h>

namespace medlar
{

void entry_host::serve_explanation(const std::shared_ptr<caller_exchange>& exchange)
{
    const auto reject = [&](absl::string_view why)
    {
        header_list headers;
        headers.add("Content-Type", "text/plain");
        exchange->answer(status_bad_request, headers, absl::StrCat(why, "\n"));
    };
    if (exchange->head().method != "POST")
    {
        reject("question: is sent by POST");
        return;
    }
    const absl::StatusOr<explain_question> question =
        read_explain_question(exchange->body());
    if (!question.ok())
    {
        reject(question.status().message());
        return;
    }
    header_list headers;
    headers.add("Content-Type", "application/json");
    using replace_odd = nlohmann::json::error_handler_t;
    exchange->answer(status_ok,
                     headers,
                     explain(*question).dump(2, ' ', false, replace_odd::replace) + "\n");
}

nlohmann::json entry_host::explain(const explain_question& question)
{
    const request_fields fields = context_.protocol.read_request(question.head);
    const route_decision decided = route_for(question.head, fields, false);
    nlohmann::json said;
    if (decided.matched == nullptr)
    {
        said = explain_unrouted(question, decided);
    }
    else
    {
        said = request_run::create(
                   context_,
                   services(),
                   caller_exchange::describe(question.head, question.body, loop_.now()),
                   fields,
                   context_.configuration,
                   *decided.matched,
                   decided.organisation,
                   false)
                   ->explain(question);
    }
    said["host"] = settings_.host.get();
    said["version"] = context_.configuration ? context_.configuration->version : -1;
    return said;
}

nlohmann::json entry_host::explain_unrouted(const explain_question& question,
                                            const route_decision& decided) const
{
    nlohmann::json said;
    if (decided.status == status_not_found)
    {
        said["no_route"] = explain_missing_route(*context_.configuration,
                                                 question.head.headers.get("host"));
    }
    nlohmann::json& result = said["result"];
    result = {{"action", "refuse"}, {"status", decided.status}, {"why", decided.why}};
    if (decided.status == status_unavailable)
    {
        result["retry_after"] = headers_without_route(decided.status).front().value;
    }
    return said;
}

} // namespace medlar
