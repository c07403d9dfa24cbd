#include "support/entry/cut_group.hpp"

#include <medlar/detail/loop/message_link.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <set>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// a message as it is sent on a link
std::string framed(const nlohmann::json& message)
{
    std::string body;
    nlohmann::json::to_cbor(message, body);
    std::string length(4, '\0');
    for (std::size_t i = 0; i < length.size(); ++i)
    {
        length[i] = static_cast<char>(body.size() >> (24 - 8 * i));
    }
    return length + body;
}

/// ends a connection after a part of a message
void end_within(connection& stream, absl::string_view part, cut_end how)
{
    stream.send(part);
    switch (how)
    {
        case cut_end::closed:
            stream.close();
            break;
        case cut_end::half_closed:
            stream.close_after_output();
            break;
        case cut_end::reset:
            stream.reset();
            break;
    }
}

/// places within a message: its length, and its content
std::vector<std::size_t> places_in(const std::string& message)
{
    return {0, 1, 3, 4, 5, message.size() / 2, message.size() - 1};
}

/// what a peer sends on a link
struct link_answer
{
    std::string bytes;
    /// how the link ends; it stays open if unset
    std::optional<cut_end> how;
};

/// an entry host in front of a target, and peers that answer what the test says
class link_fixture : public entry_fixture
{
  public:
    link_fixture()
        : host_settings(settings("host-1")),
          target_(loop,
                  "i-1",
                  "plain",
                  [](const exchange_ptr& exchange)
                  {
                      exchange->answer(200, signed_headers(*exchange), "hello");
                  })
    {
        store.put(target_.key(), target_.entry());
        store.put("op/config",
                  configuration_json(3, {route_json("/a/", "idempotent", "plain")}));
    }

    ~link_fixture()
    {
        if (listener_)
        {
            listener_->close();
        }
    }

    /// Registers hosts; each link to them takes the next one of some answers.
    void register_peers(std::vector<link_answer> answers)
    {
        const endpoint where = free_endpoint();
        auto opened = listener::open(
            loop,
            where,
            [this,
             answers = std::move(answers)](const std::shared_ptr<connection>& accepted)
            {
                const link_answer& next = answers.at(accepted_count++ % answers.size());
                if (next.how)
                {
                    end_within(*accepted, next.bytes, *next.how);
                    return;
                }
                accepted_.insert(accepted);
                accepted->send(next.bytes);
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
        // a host that was lost is not asked again at once
        constexpr int peer_count = 30;
        for (int i = 0; i < peer_count; ++i)
        {
            store.put(absl::StrCat("medlar/hosts/peer-", i),
                      nlohmann::json({{"address", where.address},
                                      {"port", where.port},
                                      {"domain", "a"},
                                      {"share", 1.0}})
                          .dump());
        }
    }

    void start_host()
    {
        host_ = start(host_settings);
    }

    bool until_status(int status)
    {
        return until(
            [&]
            {
                return fetch_status() == status;
            });
    }

    int fetch_status()
    {
        return send(host_settings.caller_endpoint, request_text("GET", "/a/x", "id-1"))
            .status;
    }

    entry_settings host_settings;
    std::size_t accepted_count = 0;

  private:
    stand_in_target target_;
    std::shared_ptr<listener> listener_;
    std::set<std::shared_ptr<connection>> accepted_;
    std::shared_ptr<running_host> host_;
};

/// Links that end after some bytes in either direction.
class cutting_link
{
  public:
    cutting_link(event_loop& loop, const endpoint& to, const std::size_t& max_bytes)
        : loop_(loop), to_(to), max_bytes_(max_bytes), where_(free_endpoint())
    {
        auto opened = listener::open(
            loop,
            where_,
            [this](const std::shared_ptr<connection>& accepted)
            {
                pairs_.push_back(std::make_unique<pair>(*this, accepted));
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        listener_ = *std::move(opened);
    }

    ~cutting_link()
    {
        listener_->close();
        for (const auto& each : pairs_)
        {
            each->close();
        }
    }

    cutting_link(const cutting_link&) = delete;
    cutting_link& operator=(const cutting_link&) = delete;

    const endpoint& where() const
    {
        return where_;
    }

    std::size_t cuts = 0;

  private:
    class pair
    {
      public:
        pair(cutting_link& owner, std::shared_ptr<connection> from)
            : owner_(owner),
              left_(owner.max_bytes_),
              from_(std::move(from)),
              to_(connection::connect(owner.loop_, owner.to_, millis(1000)))
        {
            from_->set_handler(&from_side_);
            to_->set_handler(&to_side_);
        }

        void close()
        {
            from_->close();
            to_->close();
        }

      private:
        class side : public connection_handler
        {
          public:
            side(pair& owner, connection& in, connection& out)
                : owner_(owner), in_(in), out_(out)
            {
            }

            void on_input() override
            {
                owner_.pass(in_, out_);
            }

            void on_end(connection_end) override
            {
                out_.close();
            }

          private:
            pair& owner_;
            connection& in_;
            connection& out_;
        };

        void pass(connection& in, connection& out)
        {
            left_ = std::min(left_, owner_.max_bytes_);
            const std::string bytes(in.input().substr(0, left_));
            left_ -= bytes.size();
            in.consume(in.input().size());
            if (left_ > 0)
            {
                out.send(bytes);
                return;
            }
            ++owner_.cuts;
            in.close();
            end_within(out, bytes, static_cast<cut_end>(owner_.cuts % 3));
        }

        cutting_link& owner_;
        std::size_t left_;
        std::shared_ptr<connection> from_;
        std::shared_ptr<connection> to_;
        side from_side_{*this, *from_, *to_};
        side to_side_{*this, *to_, *from_};
    };

    event_loop& loop_;
    endpoint to_;
    const std::size_t& max_bytes_;
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::vector<std::unique_ptr<pair>> pairs_;
};

/// three hosts in front of targets, whose links are cut
class linked_group : public entry_group
{
  public:
    linked_group()
    {
        for (int i = 0; i < 4; ++i)
        {
            const bool is_plain = i < 2;
            targets_.push_back(std::make_unique<stand_in_target>(
                loop,
                absl::StrCat("i-", i),
                is_plain ? "plain" : "stage",
                [this, is_plain](const exchange_ptr& exchange)
                {
                    is_plain ? answer_stream(exchange) : execute_pieces(exchange);
                }));
            store.put(targets_.back()->key(), targets_.back()->entry());
        }
        write_route("/s/");
        store.rewrite = [this](const std::string& key, const std::string& value)
        {
            if (!absl::StartsWith(key, "medlar/hosts/"))
            {
                return value;
            }
            nlohmann::json registration = nlohmann::json::parse(value);
            const endpoint link{registration["address"].get<std::string>(),
                                registration["port"].get<std::uint16_t>()};
            std::unique_ptr<cutting_link>& proxy = links[key];
            if (!proxy)
            {
                proxy = std::make_unique<cutting_link>(loop, link, max_bytes);
            }
            registration["port"] = proxy->where().port;
            return registration.dump();
        };
        start_hosts(3);
    }

    /// Writes a configuration with one route, which has a stage.
    void write_route(const std::string& prefix)
    {
        nlohmann::json staged = route_json(prefix, "stream", "plain");
        staged["stages"] = {
            {{"service", "stage"}, {"after", nlohmann::json::array()}, {"bytes", 9}}};
        store.put("op/config", configuration_json(++version_, {staged}));
    }

    received_answer send_at(std::size_t host, const std::string& path)
    {
        const std::string number = std::to_string(++sent_);
        return send(all_settings.at(host).caller_endpoint,
                    request_text("POST",
                                 path,
                                 "id-" + number,
                                 "b",
                                 "Pieces: 2\r\nPiece-Key: k-" + number + "\r\n"));
    }

    /// Returns how often the targets got a request of a path.
    std::size_t arrivals(const std::string& path) const
    {
        std::size_t count = 0;
        for (const auto& each : targets_)
        {
            for (const request_head& head : each->requests)
            {
                count += head.target == path ? 1 : 0;
            }
        }
        return count;
    }

    std::size_t cuts() const
    {
        std::size_t sum = 0;
        for (const auto& each : links)
        {
            sum += each.second->cuts;
        }
        return sum;
    }

    std::size_t max_bytes = std::string::npos;
    std::map<std::string, std::unique_ptr<cutting_link>> links;

  private:
    static void answer_stream(const exchange_ptr& exchange)
    {
        exchange->begin(200, "OK", signed_headers(*exchange), {body_kind::chunked, 0});
        exchange->write("id: 1\ndata: x\n\n");
        exchange->finish();
    }

    void execute_pieces(const exchange_ptr& exchange)
    {
        const nlohmann::json body = nlohmann::json::parse(exchange->body());
        nlohmann::json items = nlohmann::json::array();
        for (std::size_t i = 0; body.contains("items") && i < body["items"].size(); ++i)
        {
            items.push_back({{"handle", absl::StrCat("127.0.0.1:1/h", ++result_count_)}});
        }
        exchange->answer(200, {}, nlohmann::json({{"items", items}}).dump());
    }

    std::vector<std::unique_ptr<stand_in_target>> targets_;
    int version_ = 1;
    int sent_ = 0;
    int result_count_ = 0;
};

class a_message_cut : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_message_cut);
    CPPUNIT_TEST(by_a_host_that_is_asked_is_not_read);
    CPPUNIT_TEST(by_a_host_that_opens_a_link_is_not_read);
    CPPUNIT_TEST(between_hosts_hides_no_change_and_refuses_no_request_untruly);
    CPPUNIT_TEST_SUITE_END();

    /// expects that a request is served whole, or refused only if it has not run
    static void expect_true(linked_group& it, std::size_t host, const std::string& path)
    {
        const received_answer got = it.send_at(host, path);
        const bool is_whole = got.status == 200 && got.end == call_end::complete &&
                              got.body == "id: 1\ndata: x\n\n";
        const bool is_refused = got.status == 503 && it.arrivals(path) == 0;
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(path, " ", got.status, " ", got.body),
                               is_whole || is_refused || got.status == 502 ||
                                   got.status == 504);
    }

    /// news by which a host forgets all that it knows
    static nlohmann::json news_without_items()
    {
        return {{"type", "news"},
                {"era", 1},
                {"revision", 1000},
                {"base", {{"era", 0}, {"revision", 0}}},
                {"changed", nlohmann::json::array()},
                {"removed", {{{"era", 1}, {"revision", 1000}, {"key", "servers/i-1"}}}},
                {"keys", nlohmann::json::array()},
                {"lapse_ms", 0}};
    }

  public:
    void by_a_host_that_is_asked_is_not_read()
    {
        const std::string whole = framed(news_without_items());
        std::vector<link_answer> parts;
        for (const cut_end how : {cut_end::closed, cut_end::half_closed, cut_end::reset})
        {
            for (const std::size_t place : places_in(whole))
            {
                parts.push_back({whole.substr(0, place), how});
            }
        }
        link_fixture it;
        it.register_peers(parts);
        it.start_host();
        CPPUNIT_ASSERT(it.until_status(200));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(it.accepted_count),
                               it.accepted_count >= parts.size());
        it.run_for(millis(50));
        CPPUNIT_ASSERT_EQUAL(200, it.fetch_status());
        // the whole message is read
        link_fixture informed;
        informed.register_peers({{whole, std::nullopt}});
        informed.start_host();
        CPPUNIT_ASSERT(informed.until(
            [&]
            {
                return informed.accepted_count > 0;
            }));
        informed.run_for(millis(50));
        CPPUNIT_ASSERT(informed.until_status(503));
    }

    void by_a_host_that_opens_a_link_is_not_read()
    {
        link_fixture it;
        it.start_host();
        CPPUNIT_ASSERT(it.until_status(200));
        const std::string whole = framed({{"type", "news?"},
                                          {"era", 1},
                                          {"revision", 1},
                                          {"known_era", 0},
                                          {"starting", true}});
        const auto open = [&it]
        {
            return connection::connect(
                it.loop, it.host_settings.link_endpoint, millis(1000));
        };
        for (const cut_end how : {cut_end::closed, cut_end::half_closed, cut_end::reset})
        {
            for (const std::size_t place : places_in(whole))
            {
                const auto link = open();
                CPPUNIT_ASSERT(it.until(
                    [&]
                    {
                        return link->is_established();
                    }));
                end_within(*link, whole.substr(0, place), how);
                it.run_for(millis(10));
                CPPUNIT_ASSERT_EQUAL(200, it.fetch_status());
            }
        }
        // the whole message is answered, in two parts too
        const auto link = open();
        link->send(whole.substr(0, 7));
        it.run_for(millis(20));
        link->send(whole.substr(7));
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return !link->input().empty();
            }));
        link->close();
    }

    void between_hosts_hides_no_change_and_refuses_no_request_untruly()
    {
        linked_group it;
        int number = 0;
        for (const std::size_t bytes : {1, 5, 60, 400})
        {
            it.max_bytes = bytes;
            const std::size_t before = it.cuts();
            const std::string prefix = absl::StrCat("/s", ++number, "/");
            it.write_route(prefix);
            for (std::size_t host = 0; host < it.hosts.size(); ++host)
            {
                received_answer got;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes),
                                       it.until(
                                           [&]
                                           {
                                               got = it.send_at(host, prefix + "x");
                                               return got.status != 404;
                                           }));
                for (int i = 0; i < 5; ++i)
                {
                    expect_true(it, host, absl::StrCat(prefix, ++number));
                }
            }
            const auto is_cut_again = [&]
            {
                ++number;
                const auto host = static_cast<std::size_t>(number) % it.hosts.size();
                expect_true(it, host, absl::StrCat(prefix, number));
                return it.cuts() >= before + 2;
            };
            CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes), it.until(is_cut_again));
        }
        it.max_bytes = std::string::npos;
        it.write_route("/last/");
        for (std::size_t host = 0; host < it.hosts.size(); ++host)
        {
            CPPUNIT_ASSERT(it.until(
                [&]
                {
                    return it.send_at(host, "/last/x").status == 200;
                }));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_message_cut);

} // namespace
