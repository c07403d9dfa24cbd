#include <medlar/detail/base/error.hpp>
#include <medlar/detail/gateway/relay_client.hpp>
#include <medlar/detail/request/answer_text.hpp>

#include <absl/strings/string_view.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace medlar
{

namespace
{

/// time after the deadline for the home's answer to arrive
constexpr millis answer_grace{500};

/// @brief Splits a relayed answer into lines: tokens, then the answer.
class line_collector
{
  public:
    explicit line_collector(const token_callback& on_token) : on_token_(on_token)
    {
    }

    void add(absl::string_view part)
    {
        pending_.append(part.data(), part.size());
        std::size_t start = 0;
        std::size_t end = pending_.find('\n');
        while (end != std::string::npos)
        {
            process_line(absl::string_view(pending_).substr(start, end - start));
            start = end + 1;
            end = pending_.find('\n', start);
        }
        pending_.erase(0, start);
    }

    const std::optional<final_answer>& answer() const
    {
        return answer_;
    }

  private:
    void process_line(absl::string_view line)
    {
        const std::optional<relayed_token> token = read_token(line);
        if (token && on_token_)
        {
            on_token_(token->stage, token->index, token->text);
        }
        if (!token)
        {
            answer_ = read_answer(line);
        }
    }

    const token_callback& on_token_;
    std::string pending_;
    std::optional<final_answer> answer_;
};

} // namespace

std::unique_ptr<relay_client> relay_client::create(const clock& time, link_client& links)
{
    return std::unique_ptr<relay_client>(new relay_client(time, links));
}

relay_client::relay_client(const clock& time, link_client& links)
    : time_(time), links_(links)
{
}

relay_result relay_client::send(const request_context& context,
                                const view_member& home) const
{
    const millis remaining = context.deadline - time_.steady_now();
    line_collector lines(context.on_token);
    link_call call;
    call.to = home.link;
    call.path = "/v1/relay";
    call.body = write_relayed_request({context.request, std::max(remaining, millis(1))});
    call.timeout = std::max(remaining, millis(1)) + answer_grace;
    call.on_part = [&lines](absl::string_view part)
    {
        lines.add(part);
        return true;
    };
    const absl::StatusOr<link_reply> reply = links_.call(call);
    if (!reply.ok())
    {
        const bool nothing_sent = error_number_of(reply.status()) ==
                                  static_cast<int>(error_number::link_unreachable);
        return nothing_sent ? relay_result(relay_unreachable{})
                            : relay_result(relay_broken{});
    }
    lines.add(reply->body);
    constexpr int unavailable = 503;
    if (reply->status == home_changed_status || reply->status == unavailable)
    {
        return relay_declined{};
    }
    if (!lines.answer())
    {
        return relay_broken{};
    }
    return relay_answered{*lines.answer()};
}

} // namespace medlar
