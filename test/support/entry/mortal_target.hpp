#ifndef MEDLAR_TEST_SUPPORT_ENTRY_MORTAL_TARGET_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_MORTAL_TARGET_HPP

#include "support/entry/entry_fixture.hpp"

#include <medlar/detail/http/head_parser.hpp>
#include <medlar/detail/loop/listener.hpp>

#include <absl/strings/str_cat.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlar::test
{

/// @brief A target whose answers have neither a length nor chunks, and whose process can
/// end: its listener and all its connections end at once, as a kernel ends them.
class mortal_target
{
  public:
    /// One connection to the target
    class session : public connection_handler
    {
      public:
        session(mortal_target& target, std::shared_ptr<connection> stream)
            : target_(target), stream_(std::move(stream))
        {
            stream_->set_handler(this);
        }

        void write(absl::string_view text)
        {
            stream_->send(text);
        }

        /// Begins an answer that ends with the connection.
        void begin_answer(absl::string_view attempt)
        {
            write(absl::StrCat("HTTP/1.1 200 OK\r\nAttempt-Id: ",
                               attempt,
                               "\r\nResponse-Signature: s.1\r\nConnection: close\r\n",
                               target_.is_leaving ? "Server-Leaving: 1\r\n" : "",
                               "\r\n"));
        }

        /// Answers a question for the report.
        void write_report()
        {
            const std::string report =
                nlohmann::json({{"born", target_.started_ms}}).dump();
            write(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                               report.size(),
                               "\r\n\r\n",
                               report));
        }

        /// Ends the connection regularly.
        void finish()
        {
            stream_->close_after_output();
        }

        /// Ends the connection as that of a process that ends.
        void end()
        {
            stream_->set_handler(nullptr);
            stream_->close();
        }

        void reset()
        {
            stream_->set_handler(nullptr);
            stream_->reset();
        }

        void on_input() override
        {
            head_result<request_head> parsed =
                parse_request_head(stream_->input(), max_head_bytes);
            const auto* head = std::get_if<parsed_head<request_head>>(&parsed);
            if (head == nullptr ||
                stream_->input().size() < head->consumed + head->head.framing.length)
            {
                return;
            }
            const request_head received = head->head;
            stream_->consume(head->consumed + received.framing.length);
            target_.serve(*this, received);
        }

        void on_end(connection_end) override
        {
            stream_->set_handler(nullptr);
            target_.sessions_.erase(this);
        }

      private:
        static constexpr std::size_t max_head_bytes = 65536;

        mortal_target& target_;
        std::shared_ptr<connection> stream_;
    };

    using behaviour = std::function<void(session&, const request_head&)>;

    mortal_target(event_loop& loop, std::string id, std::string pool, behaviour handler)
        : loop_(loop),
          id_(std::move(id)),
          pool_(std::move(pool)),
          handler_(std::move(handler)),
          where_(free_endpoint())
    {
        start();
    }

    ~mortal_target()
    {
        end_process();
    }

    mortal_target(const mortal_target&) = delete;
    mortal_target& operator=(const mortal_target&) = delete;

    std::string key() const
    {
        return "servers/" + id_;
    }

    std::string entry(const std::string& state = "ready") const
    {
        return nlohmann::json({{"service", pool_},
                               {"address", to_string(where_)},
                               {"zone", "a"},
                               {"version", "v1"},
                               {"slots", 6},
                               {"state", state},
                               {"sequence", 1},
                               {"born", started_ms}})
            .dump();
    }

    void start()
    {
        auto opened = listener::open(
            loop_,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                if (is_resetting)
                {
                    accepted->reset();
                    return;
                }
                auto added = std::make_shared<session>(*this, accepted);
                sessions_[added.get()] = added;
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT_MESSAGE(opened.status().ToString(), opened.ok());
        listener_ = *std::move(opened);
    }

    void stop_listening()
    {
        if (listener_)
        {
            listener_->close();
            listener_ = nullptr;
        }
    }

    void end_process()
    {
        stop_listening();
        for (const auto& each : std::exchange(sessions_, {}))
        {
            each.second->end();
        }
    }

    /// Ends the process, and starts the next one at its address.
    void restart()
    {
        end_process();
        ++started_ms;
        start();
    }

    /// Ends the process, and starts the next one at its address, which resets new
    /// connections for some time, as the queue of a listener that ends or a load balancer
    /// does.
    void restart_after_resets(millis span)
    {
        is_resetting = true;
        restart();
        loop_.after(span,
                    [this]
                    {
                        is_resetting = false;
                    });
    }

    /// Resets all connections but one.
    void reset_all_but(session& kept)
    {
        const auto all = std::exchange(sessions_, {});
        sessions_[&kept] = all.at(&kept);
        for (const auto& each : all)
        {
            if (each.first != &kept)
            {
                each.second->reset();
            }
        }
    }

    /// Ends the process, and starts that of another target at its address.
    void restart_as(std::string id)
    {
        id_ = std::move(id);
        restart();
    }

    std::int64_t started_ms = 5;
    std::vector<request_head> requests;
    /// what is done with a question for its report; may be empty
    behaviour report_handler;
    int reports = 0;
    /// time from which it answers questions for its report
    steady_time reads_from;
    /// whether it says that it is going to stop
    bool is_leaving = false;
    /// whether it resets new connections, as beyond the number that it takes
    bool is_resetting = false;

  private:
    void serve(session& from, const request_head& head)
    {
        if (head.path() != platform::report_path)
        {
            requests.push_back(head);
            handler_(from, head);
            return;
        }
        const absl::string_view expected = head.headers.get("Expect-Instance");
        if (!expected.empty() && expected != id_)
        {
            from.write("HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n");
            return;
        }
        ++reports;
        if (report_handler)
        {
            report_handler(from, head);
            return;
        }
        loop_.after(std::max(millis(0), reads_from - loop_.now()),
                    [this, asking = &from]
                    {
                        if (sessions_.count(asking) > 0)
                        {
                            asking->write_report();
                        }
                    });
    }

    event_loop& loop_;
    std::string id_;
    std::string pool_;
    behaviour handler_;
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::map<session*, std::shared_ptr<session>> sessions_;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_MORTAL_TARGET_HPP
