#include <medlar/detail/gateway/caller_stream.hpp>
#include <medlar/detail/request/answer_text.hpp>

#include <absl/strings/str_cat.h>

#include <ostream>

namespace medlar
{

namespace
{

using Poco::Net::HTTPServerResponse;

constexpr std::int64_t ms_per_second = 1000;

} // namespace

void send_json(HTTPServerResponse& response, int status, const std::string& text)
{
    response.setStatusAndReason(static_cast<HTTPServerResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(text.data(), text.size());
}

caller_stream::caller_stream(HTTPServerResponse& response) : response_(response)
{
}

void caller_stream::send_token(const std::string& stage,
                               std::int64_t index,
                               const std::string& text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::int64_t& next_index = next_index_[stage];
    if (index != next_index)
    {
        return;
    }
    ++next_index;
    if (body_ == nullptr)
    {
        response_.setChunkedTransferEncoding(true);
        response_.setContentType("application/jsonl");
        body_ = &response_.send();
    }
    send_line(write_token(stage, index, text));
}

void caller_stream::send_answer(const request_id& id, const final_answer& answer)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string line = write_answer(id, answer);
    if (body_ != nullptr)
    {
        send_line(line);
        return;
    }
    if (answer.result.retry_after)
    {
        const std::int64_t retry_after_ms = answer.result.retry_after->count();
        response_.set("Retry-After",
                      absl::StrCat((retry_after_ms + ms_per_second - 1) / ms_per_second));
    }
    send_json(response_, http_status_of(answer.result), line);
}

void caller_stream::send_line(const std::string& line)
{
    // errors are ignored: request_watch detects a disconnected caller
    *body_ << line << '\n';
    body_->flush();
}

} // namespace medlar
