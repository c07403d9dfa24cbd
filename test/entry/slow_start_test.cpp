#include "support/entry/cold_pool.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

/// Five hosts before two targets of a pool with cold_start_s and without a rate, so that
/// no permits are in play. Load: 100 requests a second to the hosts named, one in 10 ms.
/// The first target ends; hosts 1 to 4 eject it and probe it after 1 and 3 s, next after
/// 7 s. Then it listens again, and host 0, which has ejected it later, probes it at about
/// 5 s.
class returned_target : public cold_pool
{
  public:
    returned_target() : cold_pool(5, 2, 0)
    {
        play_at(0, 5, millis(500));
        targets[0]->server->stop();
        play_at(1, 5, millis(4000));
        play_at(0, 1, millis(500));
        targets[0]->server->restart(5);
        targets[0]->arrivals.clear();
    }

    /// Sends requests to the hosts from @p first to the one before @p end.
    void play_at(std::size_t first, std::size_t end, millis span)
    {
        const steady_time begin_at = time.steady_now();
        for (std::size_t i = 0; time.steady_now() < begin_at + span; ++i)
        {
            const entry_settings& to = all_settings.at(first + i % (end - first));
            answers.push_back(
                begin(to.caller_endpoint,
                      request_text("GET", "/a/x", absl::StrCat("r-", answers.size()))));
            run_for(millis(10));
        }
    }

    bool play_until_host_0_has_probed()
    {
        for (int i = 0; i < 20 && targets[0]->arrivals.empty(); ++i)
        {
            play_at(0, 1, millis(100));
        }
        return !targets[0]->arrivals.empty();
    }
};

class a_target_that_has_recovered : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_target_that_has_recovered);
    CPPUNIT_TEST(is_taken_back_by_hosts_whose_own_probe_is_not_due);
    CPPUNIT_TEST(is_not_flooded_while_it_is_slow);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_taken_back_by_hosts_whose_own_probe_is_not_due()
    {
        returned_target it;
        CPPUNIT_ASSERT(it.play_until_host_0_has_probed());
        it.run_for(millis(50));
        it.targets[0]->arrivals.clear();
        it.play_at(1, 5, millis(800));
        // without the news: none before 7 s
        const std::size_t seen = it.targets[0]->arrivals.size();
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(seen), seen >= 4);
        for (const auto& each : it.answers)
        {
            CPPUNIT_ASSERT_EQUAL(200, each->ended ? each->status : 200);
        }
    }

    void is_not_flooded_while_it_is_slow()
    {
        returned_target it;
        // it takes 600 ms where the other one answers at once
        std::size_t running = 0;
        std::size_t most = 0;
        it.on_request = [&](const std::shared_ptr<caller_exchange>& exchange)
        {
            most = std::max(most, ++running);
            it.loop.after(millis(600),
                          [&, exchange]
                          {
                              --running;
                              exchange->answer(200, signed_headers(*exchange), "late");
                          });
        };
        CPPUNIT_ASSERT(it.play_until_host_0_has_probed());
        it.play_at(0, 5, millis(4500));
        // without a window: one of each of the five hosts
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(most), most <= 2);
        const std::size_t seen = it.targets[0]->arrivals.size();
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(seen), seen >= 3);
        it.run_for(millis(700));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_target_that_has_recovered);

} // namespace
