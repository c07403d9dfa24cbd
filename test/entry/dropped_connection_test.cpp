#include "support/entry/entry_fixture.hpp"

#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/message_link.hpp>
#include <medlar/detail/loop/pooled_connection.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// a server that notes when its connections end
class watching_server : public connection_handler
{
  public:
    explicit watching_server(event_loop& loop) : where_(free_endpoint())
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

    ~watching_server() override
    {
        listener_->close();
        if (accepted_)
        {
            accepted_->close();
        }
    }

    watching_server(const watching_server&) = delete;
    watching_server& operator=(const watching_server&) = delete;

    void on_input() override
    {
    }

    void on_end(connection_end) override
    {
        has_ended_ = true;
    }

    const endpoint& where() const
    {
        return where_;
    }

    bool has_connection() const
    {
        return accepted_ != nullptr;
    }

    bool has_ended() const
    {
        return has_ended_;
    }

  private:
    endpoint where_;
    std::shared_ptr<listener> listener_;
    std::shared_ptr<connection> accepted_;
    bool has_ended_ = false;
};

/// runs the loop until a condition holds, for ten seconds at most
bool run_until(event_loop& loop,
               const medlar::clock& time,
               const std::function<bool()>& condition)
{
    const steady_time end = time.steady_now() + millis(10000);
    while (!condition() && time.steady_now() < end)
    {
        loop.run_once(millis(10));
    }
    return condition();
}

// Guards against an event of a connection whose handler was freed (exit code 139).
class a_connection_whose_handler_is_freed : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_connection_whose_handler_is_freed);
    CPPUNIT_TEST(is_closed_if_it_was_of_a_client);
    CPPUNIT_TEST(is_closed_if_it_was_of_a_link);
    CPPUNIT_TEST_SUITE_END();

    const medlar::clock time_ = medlar::clock::system();
    event_loop loop_{time_};
    watching_server server_{loop_};

    void expect_end()
    {
        CPPUNIT_ASSERT(run_until(loop_,
                                 time_,
                                 [this]
                                 {
                                     return server_.has_ended();
                                 }));
    }

    void expect_connection()
    {
        CPPUNIT_ASSERT(run_until(loop_,
                                 time_,
                                 [this]
                                 {
                                     return server_.has_connection();
                                 }));
    }

    void is_closed_if_it_was_of_a_client()
    {
        http_client client(loop_, 65536);
        {
            const auto dropped =
                std::make_shared<pooled_connection>(client, server_.where());
            dropped->open(millis(1000));
            expect_connection();
        }
        expect_end();
    }

    void is_closed_if_it_was_of_a_link()
    {
        {
            const auto dropped = message_link::create(
                connection::connect(loop_, server_.where(), millis(1000)),
                [](const nlohmann::json&) {},
                [](connection_end) {});
            expect_connection();
        }
        expect_end();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_connection_whose_handler_is_freed);

} // namespace
