#include "support/entry/entry_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// one entry host in front of two targets, of which it has ejected the odd one
class pool_with_ejected_target : public entry_fixture
{
  public:
    pool_with_ejected_target()
        : odd(loop,
              "i-1",
              "plain",
              [this](const exchange_ptr& exchange)
              {
                  behaviour(exchange);
              }),
          sound(loop, "i-2", "plain", answer)
    {
        nlohmann::json plain = route_json("/i/", "idempotent", "plain");
        plain["timeout_ms"] = 300;
        nlohmann::json staged = plain;
        staged["prefix"] = "/s/";
        staged["stages"] = {
            {{"service", "stage"}, {"after", nlohmann::json::array()}, {"bytes", 9}}};
        store.put("op/config", configuration_json(3, {plain, staged}));
        store.put(odd.key(), odd.entry());
        store.put(sound.key(), sound.entry());
        host = start(host_settings);
        CPPUNIT_ASSERT(until(
            [&]
            {
                return is_ready(host_settings);
            }));
        constexpr std::size_t failures_to_eject = 3;
        send_until_odd_has(failures_to_eject);
        odd.requests.clear();
    }

    /// Sends requests until the odd target has got some, for a time in which a probe of
    /// it is due.
    /// @return the last call
    std::shared_ptr<client_call> send_until_odd_has(std::size_t count)
    {
        std::shared_ptr<client_call> call;
        const steady_time end = time.steady_now() + millis(5000);
        while (odd.requests.size() < count && time.steady_now() < end)
        {
            call = send_to("/i/x");
        }
        CPPUNIT_ASSERT(odd.requests.size() >= count);
        return call;
    }

    std::shared_ptr<client_call> send_to(const std::string& path)
    {
        std::shared_ptr<client_call> call;
        const std::string attempt = "id-" + std::to_string(++requests_);
        const std::string pieces = "Pieces: 1\r\nPiece-Key: k\r\n";
        begin(host_settings.caller_endpoint,
              request_text("GET", path, attempt, {}, pieces),
              &call);
        run_for(millis(40));
        return call;
    }

    void expect_used_again()
    {
        behaviour = answer;
        odd.requests.clear();
        send_until_odd_has(1);
    }

    static void answer(const exchange_ptr& exchange)
    {
        exchange->answer(status_ok, signed_headers(*exchange), "hello");
    }

    /// of the odd target
    stand_in_target::behaviour behaviour = [](const exchange_ptr& exchange)
    {
        exchange->abort();
    };
    stand_in_target odd;
    stand_in_target sound;
    entry_settings host_settings = settings("host-1");
    std::shared_ptr<running_host> host;

  private:
    int requests_ = 0;
};

/// Guards against an ejected target that gets no calls for good, since the one that was
/// to test it has ended without a result.
class an_ejected_target : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_ejected_target);
    CPPUNIT_TEST(is_probed_again_after_a_probe_without_an_answer);
    CPPUNIT_TEST(is_probed_after_the_stages_before_a_call_have_failed);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_probed_again_after_a_probe_without_an_answer()
    {
        for (const bool has_caller_left : {false, true})
        {
            pool_with_ejected_target it;
            std::vector<exchange_ptr> unanswered;
            it.behaviour = [&unanswered](const exchange_ptr& exchange)
            {
                unanswered.push_back(exchange);
            };
            const auto call = it.send_until_odd_has(1);
            has_caller_left ? call->cancel() : it.run_for(millis(400));
            it.expect_used_again();
        }
    }

    void is_probed_after_the_stages_before_a_call_have_failed()
    {
        pool_with_ejected_target it;
        // until a probe is due
        it.run_for(millis(1100));
        for (int i = 0; i < 8; ++i)
        {
            it.send_to("/s/x");
        }
        it.expect_used_again();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(an_ejected_target);

} // namespace
