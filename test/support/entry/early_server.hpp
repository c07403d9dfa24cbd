#ifndef MEDLAR_TEST_SUPPORT_ENTRY_EARLY_SERVER_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_EARLY_SERVER_HPP

#include "support/entry/entry_fixture.hpp"

#include <medlar/detail/http/head_parser.hpp>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_cat.h>

#include <functional>
#include <list>
#include <string>

namespace medlar::test
{

/// @brief What a server does after an answer that it has sent before the request was in
enum class early_end
{
    reset,    ///< resets the connection
    close,    ///< closes it with a part of the request unread
    stop,     ///< keeps it open, and reads no further
    read_on,  ///< reads the rest of the request
    give_out, ///< reads on for some time, and then resets the connection
};

/// @brief A target or peer that answers each request once it has its head, while the
/// body is still being sent.
class early_server
{
  public:
    explicit early_server(event_loop& loop) : loop_(loop), where_(free_endpoint())
    {
        // the sender has a part of the request left
        constexpr int small_window = 4096;
        listening_.bind(Poco::Net::SocketAddress(where_.address, where_.port), true);
        listening_.setReceiveBufferSize(small_window);
        listening_.listen();
        turn();
    }

    ~early_server()
    {
        loop_.cancel(timer_);
    }

    early_server(const early_server&) = delete;
    early_server& operator=(const early_server&) = delete;

    const endpoint& where() const
    {
        return where_;
    }

    std::string entry(const std::string& pool) const
    {
        return nlohmann::json({{"service", pool},
                               {"address", to_string(where_)},
                               {"zone", "a"},
                               {"version", "v1"},
                               {"slots", 6},
                               {"state", "ready"},
                               {"sequence", 1},
                               {"born", 5}})
            .dump();
    }

    /// what is sent as the answer to a request
    std::function<std::string(const request_head&)> answer;
    early_end how = early_end::reset;
    std::vector<request_head> requests;
    /// connections on which a request was answered while its body was not in, and that
    /// brought more than that body
    int reused = 0;

  private:
    struct accepted
    {
        explicit accepted(const Poco::Net::StreamSocket& socket) : stream(socket)
        {
        }

        Poco::Net::StreamSocket stream;
        std::string input;
        bool is_answered = false;
        bool has_ended = false;
        /// bytes of the answered request that were not received yet
        std::size_t left = 0;
        int turns_after_answer = 0;
    };

    void turn()
    {
        if (listening_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        {
            all_.emplace_back(listening_.acceptConnection());
        }
        for (accepted& each : all_)
        {
            try
            {
                handle(each);
            }
            catch (const Poco::Exception&)
            {
                each.has_ended = true;
            }
        }
        all_.remove_if(
            [](const accepted& each)
            {
                return each.has_ended;
            });
        timer_ = loop_.after(millis(1),
                             [this]
                             {
                                 turn();
                             });
    }

    void handle(accepted& by)
    {
        constexpr int turns_before_reset = 100;
        const bool reads_on = how == early_end::read_on || how == early_end::give_out;
        if (by.is_answered && how == early_end::give_out &&
            ++by.turns_after_answer > turns_before_reset)
        {
            end_with_reset(by);
            return;
        }
        if ((by.is_answered && !reads_on) || !read_some(by))
        {
            return;
        }
        if (by.is_answered)
        {
            reused += by.input.size() > by.left ? 1 : 0;
            by.left -= std::min(by.left, by.input.size());
            by.input.clear();
            return;
        }
        constexpr std::size_t max_head_bytes = 65536;
        const auto parsed = parse_request_head(by.input, max_head_bytes);
        const auto* const found = std::get_if<parsed_head<request_head>>(&parsed);
        if (found == nullptr)
        {
            return;
        }
        if (absl::StartsWith(by.input, report_request_begin))
        {
            by.input.erase(0, found->consumed);
            send(by, report_answer);
            return;
        }
        answer_request(by, found->head, found->consumed);
    }

    void answer_request(accepted& by, const request_head& head, std::size_t head_size)
    {
        requests.push_back(head);
        by.is_answered = true;
        by.left = head.framing.length -
                  std::min<std::size_t>(head.framing.length, by.input.size() - head_size);
        by.input.clear();
        send(by, answer(head));
        if (how == early_end::reset)
        {
            end_with_reset(by);
        }
        else if (how == early_end::close)
        {
            by.stream.close();
            by.has_ended = true;
        }
    }

    static bool read_some(accepted& by)
    {
        constexpr int most = 2048;
        if (!by.stream.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
        {
            return false;
        }
        std::string part(most, '\0');
        const int size = by.stream.receiveBytes(part.data(), most);
        by.has_ended = size <= 0;
        by.input.append(part, 0, static_cast<std::size_t>(std::max(0, size)));
        return size > 0;
    }

    static void send(accepted& by, const std::string& text)
    {
        by.stream.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    static void end_with_reset(accepted& by)
    {
        by.stream.setLinger(true, 0);
        by.stream.close();
        by.has_ended = true;
    }

    event_loop& loop_;
    endpoint where_;
    Poco::Net::ServerSocket listening_;
    std::list<accepted> all_;
    timer_id timer_{0};
};

/// @brief Returns an answer with a signature in a given framing.
/// @param is_whole whether all of its body is in
inline std::string early_answer(const request_head& to,
                                body_kind framing,
                                const std::string& body,
                                bool is_whole,
                                const std::string& headers = {})
{
    const std::size_t missing = is_whole ? 0 : 10;
    std::string text = absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ",
                                    to.headers.get("Attempt-Id"),
                                    "\r\nResponse-Signature: s.1\r\n",
                                    headers);
    if (framing == body_kind::length)
    {
        absl::StrAppend(
            &text, "Content-Length: ", body.size() + missing, "\r\n\r\n", body);
    }
    else if (framing == body_kind::chunked)
    {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        append_chunk(text, body);
        text += is_whole ? std::string(last_chunk) : std::string();
    }
    else
    {
        absl::StrAppend(&text, "\r\n", body);
    }
    return text;
}

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_EARLY_SERVER_HPP
