#ifndef MEDLAR_TEST_SUPPORT_ENTRY_CUTTING_PROXY_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_CUTTING_PROXY_HPP

#include "support/free_endpoint.hpp"

#include <medlar/detail/http/body_decoder.hpp>
#include <medlar/detail/http/head_parser.hpp>
#include <medlar/detail/loop/listener.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <cppunit/TestAssert.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief How the sender of a cut answer ends the connection.
enum class cut_end
{
    closed,
    half_closed,
    reset,
};

/// @brief Where and how an answer is cut.
struct answer_cut
{
    /// the framing in which the answer is sent, whatever it had
    body_kind framing = body_kind::length;
    cut_end how = cut_end::closed;
    /// one of the places at which the answer may be cut
    std::size_t place = 0;

    /// places in the head and in the body; the last ones are within its last bytes
    static constexpr std::size_t place_count = 16;
    static constexpr std::size_t first_in_body = 10;

    bool is_in_head() const
    {
        return place < first_in_body;
    }

    /// whether nothing tells the part from a whole answer
    bool is_undetectable() const
    {
        return framing == body_kind::until_close && how != cut_end::reset &&
               !is_in_head();
    }

    std::string text() const
    {
        const char* const framings[] = {"none", "length", "chunked", "until_close"};
        const char* const ends[] = {"closed", "half_closed", "reset"};
        return absl::StrCat(framings[static_cast<int>(framing)],
                            " ",
                            ends[static_cast<int>(how)],
                            " at ",
                            place);
    }
};

/// @brief Returns cuts of each framing, by each end, at every place.
inline std::vector<answer_cut> all_answer_cuts()
{
    std::vector<answer_cut> cuts;
    for (const body_kind framing :
         {body_kind::length, body_kind::chunked, body_kind::until_close})
    {
        for (const cut_end how : {cut_end::closed, cut_end::half_closed, cut_end::reset})
        {
            for (std::size_t place = 0; place < answer_cut::place_count; ++place)
            {
                cuts.push_back({framing, how, place});
            }
        }
    }
    return cuts;
}

/// @brief Returns cuts of each framing at every place, by one end each.
inline std::vector<answer_cut> some_answer_cuts()
{
    std::vector<answer_cut> cuts = all_answer_cuts();
    constexpr std::size_t end_count = 3;
    std::size_t number = 0;
    cuts.erase(std::remove_if(cuts.begin(),
                              cuts.end(),
                              [&](const answer_cut& each)
                              {
                                  const auto chosen = ++number % end_count;
                                  return chosen != static_cast<std::size_t>(each.how);
                              }),
               cuts.end());
    return cuts;
}

/// @brief An HTTP answer in a given framing, and the places at which it may be cut.
class framed_answer
{
  public:
    framed_answer(const answer_head& head, absl::string_view body, body_kind framing)
    {
        text_ = absl::StrCat("HTTP/1.1 ", head.status, " ", head.reason_phrase, "\r\n");
        const std::size_t line_end = text_.size() - 2;
        header_list headers = head.headers;
        remove_hop_by_hop(headers);
        headers.remove("content-length");
        for (const header_field& each : headers)
        {
            absl::StrAppend(&text_, each.name, ": ", each.value, "\r\n");
        }
        const std::size_t framing_at = text_.size();
        text_ += framing == body_kind::chunked  ? "Transfer-Encoding: "
                 : framing == body_kind::length ? "Content-Length: "
                                                : "Connection: ";
        const std::size_t value_at = text_.size();
        text_ += framing == body_kind::chunked  ? std::string("chunked")
                 : framing == body_kind::length ? std::to_string(body.size())
                                                : std::string("close");
        text_ += "\r\n\r\n";
        const std::size_t head_end = text_.size();
        const std::size_t half = body.size() / 2;
        if (framing == body_kind::chunked)
        {
            append_chunk(text_, body.substr(0, half));
            append_chunk(text_, body.substr(half));
            absl::StrAppend(&text_, last_chunk);
        }
        else
        {
            absl::StrAppend(&text_, body);
        }
        const std::size_t end = text_.size();
        places_ = {0,
                   7,
                   10,
                   line_end,
                   line_end + 2,
                   framing_at + 5,
                   value_at,
                   value_at + 1,
                   head_end - 2,
                   head_end - 1,
                   head_end,
                   head_end + 1,
                   head_end + (end - head_end) / 2,
                   std::max(head_end + 2, end) - 2,
                   std::max(head_end + 5, end) - 5,
                   end - 1};
    }

    /// Returns what is left of the answer: never all of it.
    std::string cut_at(std::size_t place) const
    {
        return text_.substr(0, std::min(places_.at(place), text_.size() - 1));
    }

  private:
    std::string text_;
    std::vector<std::size_t> places_;
};

/// @brief What the proxies of one kind do with the next answer.
struct cut_plan
{
    /// the next answer is cut, if set
    std::optional<answer_cut> next;
    /// only answers to requests whose target begins so are cut
    std::string target_prefix;
    /// answers cut so far, and the whole body of the last one
    std::size_t cuts = 0;
    std::string cut_body;
};

/// @brief TCP proxy to one HTTP server that passes on whole answers, and cuts those that
/// a plan says.
class cutting_proxy
{
  public:
    cutting_proxy(event_loop& loop, const endpoint& to, cut_plan& plan)
        : loop_(loop), to_(to), plan_(plan), where_(free_endpoint())
    {
        auto opened = listener::open(
            loop,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                pairs_.insert(std::make_shared<proxied>(*this, accepted));
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
    }

    ~cutting_proxy()
    {
        listener_->close();
        for (const auto& each : pairs_)
        {
            each->close();
        }
    }

    cutting_proxy(const cutting_proxy&) = delete;
    cutting_proxy& operator=(const cutting_proxy&) = delete;

    const endpoint& where() const
    {
        return where_;
    }

  private:
    class proxied;

    class side : public connection_handler
    {
      public:
        side(proxied& owner, bool is_caller) : owner_(owner), is_caller_(is_caller)
        {
        }

        void on_input() override
        {
            is_caller_ ? owner_.pass_request() : owner_.pass_answers();
        }

        void on_end(connection_end how) override
        {
            owner_.end(is_caller_, how);
        }

      private:
        proxied& owner_;
        bool is_caller_;
    };

    class proxied : public std::enable_shared_from_this<proxied>
    {
      public:
        proxied(cutting_proxy& owner, std::shared_ptr<connection> caller)
            : owner_(owner),
              caller_(std::move(caller)),
              target_(connection::connect(owner.loop_, owner.to_, millis(1000)))
        {
            caller_->set_handler(&caller_side_);
            target_->set_handler(&target_side_);
        }

        void pass_request()
        {
            const std::string bytes(caller_->input());
            caller_->consume(bytes.size());
            request_ += bytes;
            target_->send(bytes);
        }

        void pass_answers()
        {
            while (pass_answer(false))
            {
            }
        }

        void end(bool by_caller, connection_end how)
        {
            if (by_caller)
            {
                release();
                return;
            }
            const bool is_whole = how == connection_end::closed && pass_answer(true);
            if (is_whole)
            {
                caller_->close_after_output();
            }
            else if (!is_released_)
            {
                caller_->send(target_->input());
                caller_->close();
            }
            release();
        }

        void close()
        {
            caller_->set_handler(nullptr);
            target_->set_handler(nullptr);
            caller_->close();
            target_->close();
        }

      private:
        /// passes on the next answer of the target if it is whole
        bool pass_answer(bool has_ended)
        {
            constexpr std::size_t max_head_bytes = 65536;
            const absl::string_view input = target_->input();
            const auto parsed = parse_answer_head(input, max_head_bytes, false);
            const auto* const found = std::get_if<parsed_head<answer_head>>(&parsed);
            if (found == nullptr)
            {
                return false;
            }
            body_decoder decoder(found->head.framing);
            std::string body;
            const std::size_t used =
                found->consumed + decoder.decode(input.substr(found->consumed), body);
            if (has_ended)
            {
                decoder.handle_close();
            }
            if (!decoder.done())
            {
                return false;
            }
            const std::string whole(input.substr(0, used));
            target_->consume(used);
            const auto asked = parse_request_head(request_, max_head_bytes);
            const auto* const request = std::get_if<parsed_head<request_head>>(&asked);
            request_.clear();
            cut_plan& plan = owner_.plan_;
            if (!plan.next || request == nullptr ||
                !absl::StartsWith(request->head.target, plan.target_prefix))
            {
                caller_->send(whole);
                return true;
            }
            const answer_cut cut = *plan.next;
            plan.next.reset();
            ++plan.cuts;
            plan.cut_body = body;
            end_within(framed_answer(found->head, body, cut.framing).cut_at(cut.place),
                       cut.how);
            return false;
        }

        void end_within(const std::string& part, cut_end how)
        {
            caller_->send(part);
            switch (how)
            {
                case cut_end::closed:
                    caller_->close();
                    break;
                case cut_end::half_closed:
                    caller_->close_after_output();
                    break;
                case cut_end::reset:
                    caller_->reset();
                    break;
            }
            release();
        }

        void release()
        {
            const std::shared_ptr<proxied> self = shared_from_this();
            is_released_ = true;
            caller_->set_handler(nullptr);
            target_->set_handler(nullptr);
            target_->close();
            owner_.pairs_.erase(self);
            // the callback that led here still uses the object
            owner_.loop_.after(millis(0), [self] {});
        }

        cutting_proxy& owner_;
        std::shared_ptr<connection> caller_;
        std::shared_ptr<connection> target_;
        side caller_side_{*this, true};
        side target_side_{*this, false};
        std::string request_;
        bool is_released_ = false;
    };

    event_loop& loop_;
    endpoint to_;
    cut_plan& plan_;
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::set<std::shared_ptr<proxied>> pairs_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_CUTTING_PROXY_HPP
