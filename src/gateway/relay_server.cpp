#include <medlar/detail/gateway/relay_client.hpp>
#include <medlar/detail/gateway/relay_server.hpp>
#include <medlar/detail/http/status.hpp>
#include <medlar/detail/request/answer_text.hpp>

#include <absl/strings/str_cat.h>

#include <mutex>
#include <optional>
#include <utility>

namespace medlar
{

std::unique_ptr<relay_server> relay_server::create(const clock& time,
                                                   const filter_chain& chain)
{
    return std::unique_ptr<relay_server>(new relay_server(time, chain));
}

relay_server::relay_server(const clock& time, const filter_chain& chain)
    : time_(time), chain_(chain)
{
}

int relay_server::handle(const link_request& request, link_responder& responder) const
{
    std::optional<relayed_request> relayed = read_relayed_request(request.body);
    if (!relayed)
    {
        return status_bad_request;
    }
    request_context context;
    context.relayed = true;
    context.arrived = time_.steady_now();
    context.deadline = context.arrived + relayed->deadline_remaining;
    context.request = std::move(relayed->request);
    context.pipeline_name = context.request.pipeline;
    std::mutex mutex;
    if (context.request.stream)
    {
        context.on_token =
            [&](const std::string& stage, std::int64_t index, const std::string& text)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            responder.send(absl::StrCat(write_token(stage, index, text), "\n"));
        };
    }
    const run_result result = chain_.run(context);
    if (result.answer.result.why == reason::home_changed)
    {
        return home_changed_status;
    }
    responder.send(
        absl::StrCat(write_answer(context.request.key.id, result.answer), "\n"));
    return status_ok;
}

} // namespace medlar
