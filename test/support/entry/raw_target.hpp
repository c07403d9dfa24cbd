#ifndef MEDLAR_TEST_SUPPORT_ENTRY_RAW_TARGET_HPP
#define MEDLAR_TEST_SUPPORT_ENTRY_RAW_TARGET_HPP

#include "support/entry/entry_fixture.hpp"

#include <medlar/detail/loop/listener.hpp>

#include <absl/strings/match.h>

#include <algorithm>
#include <memory>
#include <string>

namespace medlar::test
{

/// @brief A target, store or peer that sends given bytes as its answer, and then the same
/// bytes without end.
class raw_target : public connection_handler
{
  public:
    /// @param pace time between two sendings of @p repeated; 0 sends as fast as possible
    raw_target(event_loop& loop,
               std::string begin,
               std::string repeated,
               millis pace = millis(0))
        : pace_(pace),
          loop_(loop),
          where_(free_endpoint()),
          begin_(std::move(begin)),
          repeated_(std::move(repeated))
    {
        auto opened = listener::open(
            loop,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                accepted_ = accepted;
                accepted->set_handler(this);
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
    }

    ~raw_target() override
    {
        listener_->close();
    }

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

    void on_input() override
    {
        const bool is_report = absl::StartsWith(accepted_->input(), report_request_begin);
        accepted_->consume(accepted_->input().size());
        if (is_report)
        {
            accepted_->send(report_answer);
        }
        else if (!is_answering_)
        {
            is_answering_ = true;
            accepted_->send(begin_);
            send_more();
        }
    }

    void on_end(connection_end) override
    {
        is_closed = true;
    }

    bool is_closed = false;
    std::size_t sent_bytes = 0;

  private:
    void send_more()
    {
        // stops by itself, so that a host that reads on fails the test by its count
        constexpr std::size_t max_sent = 200000000;
        constexpr std::size_t bytes_per_turn = 65536;
        const std::size_t per_turn =
            pace_ > millis(0) ? repeated_.size() : bytes_per_turn;
        const std::size_t end = std::min(max_sent, sent_bytes + per_turn);
        while (!is_closed && accepted_->unsent() == 0 && sent_bytes < end)
        {
            accepted_->send(repeated_);
            sent_bytes += repeated_.size();
        }
        if (!is_closed)
        {
            loop_.after(std::max(millis(1), pace_),
                        [this]
                        {
                            send_more();
                        });
        }
    }

    millis pace_;
    event_loop& loop_;
    endpoint where_;
    std::string begin_;
    std::string repeated_;
    std::shared_ptr<listener> listener_;
    std::shared_ptr<connection> accepted_;
    bool is_answering_ = false;
};

} // namespace medlar::test

#endif // MEDLAR_TEST_SUPPORT_ENTRY_RAW_TARGET_HPP
