#include "support/entry/limited_pool.hpp"
#include "support/entry/stalling_peer.hpp"

#include <medlar/detail/hosts/limit_controller.hpp>
#include <medlar/detail/loop/listener.hpp>
#include <medlar/detail/loop/message_link.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::test;

constexpr millis window{4000};

// time from the first statement of a limit until the hosts have to keep to it
constexpr millis contact_time{3000};

/// requests that a target with a limit may get in a window: one and a half times what the
/// limit allows, and five more
std::size_t allowed(double per_s)
{
    constexpr double window_s = 4;
    return static_cast<std::size_t>(1.5 * per_s * window_s + 5);
}

/// the largest number of requests in a window of those that a target got once the hosts
/// had to know its limit
std::size_t most_after_contact(const limited_pool::target& which, steady_time begin)
{
    return limited_pool::most_arrivals(which, begin + contact_time, window);
}

/// all answers so far are the targets', or say when to come back
void expect_answers_or_refusals(const limited_pool& pool)
{
    for (const auto& each : pool.answers)
    {
        const bool is_refused =
            each->status == 503 && !each->headers.get("Retry-After").empty();
        CPPUNIT_ASSERT(!each->ended || each->status == 200 || is_refused);
    }
}

class targets_that_state_a_limit : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(targets_that_state_a_limit);
    CPPUNIT_TEST(get_no_more_requests_than_that_from_all_hosts_together);
    CPPUNIT_TEST(get_no_more_when_hosts_are_killed_and_started);
    CPPUNIT_TEST(are_used_up_to_it_if_all_have_one);
    CPPUNIT_TEST(are_asked_again_once_it_ends_and_kept_to_when_it_returns);
    CPPUNIT_TEST(are_kept_to_if_they_state_it_in_refusals);
    CPPUNIT_TEST(are_used_as_before_if_it_cannot_be_read);
    CPPUNIT_TEST_SUITE_END();

  public:
    void get_no_more_requests_than_that_from_all_hosts_together()
    {
        limited_pool it(3, {"1", ""});
        const steady_time begin = it.time.steady_now();
        it.play(millis(9000), millis(60));
        const std::size_t most = most_after_contact(*it.targets[0], begin);
        CPPUNIT_ASSERT(most > 0);
        CPPUNIT_ASSERT(most <= allowed(1));
        for (const auto& each : it.answers)
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                each->body, 200, each->ended ? each->status : 200);
        }
    }

    void get_no_more_when_hosts_are_killed_and_started()
    {
        limited_pool it(5, {"0.5", ""});
        const steady_time begin = it.time.steady_now();
        it.play(millis(3500), millis(40));
        it.kill_host(0);
        it.play(millis(1500), millis(40));
        it.add_host("late");
        it.kill_host(0);
        it.play(millis(4000), millis(40));
        CPPUNIT_ASSERT(most_after_contact(*it.targets[0], begin) <= allowed(0.5));
    }

    void are_used_up_to_it_if_all_have_one()
    {
        limited_pool it(3, {"2", "4"});
        const steady_time begin = it.time.steady_now();
        it.play(millis(8000), millis(50));
        CPPUNIT_ASSERT(most_after_contact(*it.targets[0], begin) <= allowed(2));
        CPPUNIT_ASSERT(most_after_contact(*it.targets[1], begin) <= allowed(4));
        expect_answers_or_refusals(it);
        // the hosts together give out each permit, whichever host a request comes to
        CPPUNIT_ASSERT(it.targets[0]->arrivals.size() >= 12);
        CPPUNIT_ASSERT(it.targets[1]->arrivals.size() >= 24);
    }

    void are_asked_again_once_it_ends_and_kept_to_when_it_returns()
    {
        limited_pool it(3, {"2", ""});
        it.play(millis(2000), millis(50));
        it.targets[0]->limit = "";
        it.play(millis(3000), millis(50));
        it.targets[0]->arrivals.clear();
        const std::size_t sent_before = it.answers.size();
        it.play(millis(5000), millis(50));
        const std::size_t sent = it.answers.size() - sent_before;
        CPPUNIT_ASSERT(it.targets[0]->arrivals.size() > sent / 4);
        it.targets[0]->limit = "1";
        const steady_time begin = it.time.steady_now();
        it.play(millis(7500), millis(50));
        CPPUNIT_ASSERT(most_after_contact(*it.targets[0], begin) <= allowed(1));
    }

    void are_kept_to_if_they_state_it_in_refusals()
    {
        limited_pool it(3, {"0.5", ""});
        it.targets[0]->is_full = true;
        const steady_time begin = it.time.steady_now();
        it.play(millis(7500), millis(50));
        CPPUNIT_ASSERT(most_after_contact(*it.targets[0], begin) <= allowed(0.5));
        expect_answers_or_refusals(it);
    }

    void are_used_as_before_if_it_cannot_be_read()
    {
        for (const char* const text : {"soon", "-1", "nan", "1e999", "1 per s"})
        {
            limited_pool it(1, {text});
            it.play(millis(400), millis(20));
            CPPUNIT_ASSERT(it.targets[0]->arrivals.size() > 5);
        }
    }
};

/// a host that gives out permits, and a link of a peer that asks for them
class asked_issuer : public limited_pool
{
  public:
    static constexpr std::int64_t older_start = 5;
    static constexpr std::int64_t newer_start = 6;

    asked_issuer()
        : limited_pool(1, {""}),
          link_(message_link::create(
              connection::connect(loop, all_settings.front().link_endpoint, millis(1000)),
              [this](const nlohmann::json& message)
              {
                  answers_.push_back(message);
              },
              [](connection_end) {}))
    {
    }

    nlohmann::json ask(std::int64_t started_ms, double per_s, millis age)
    {
        const std::size_t known = answers_.size();
        link_->send({{"type", "permit?"},
                     {"number", known},
                     {"target", "i-9"},
                     {"started_ms", started_ms},
                     {"per_s", per_s},
                     {"age_ms", age.count()}});
        CPPUNIT_ASSERT(until(
            [&]
            {
                return answers_.size() > known;
            }));
        return answers_.back();
    }

    void tell_end(std::int64_t started_ms)
    {
        link_->send(
            {{"type", "limit_ended"}, {"target", "i-9"}, {"started_ms", started_ms}});
    }

  private:
    std::vector<nlohmann::json> answers_;
    std::shared_ptr<message_link> link_;
};

class targets_that_start_again_with_a_limit : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(targets_that_start_again_with_a_limit);
    CPPUNIT_TEST(get_no_more_when_hosts_read_two_of_their_entries);
    CPPUNIT_TEST(are_used_up_to_it_when_hosts_read_two_of_their_entries);
    CPPUNIT_TEST(are_not_limited_again_by_a_host_that_reads_the_entry_before);
    CPPUNIT_TEST(get_permits_for_the_process_that_answers);
    CPPUNIT_TEST(are_named_by_their_entries_to_hosts_of_an_older_build);
    CPPUNIT_TEST_SUITE_END();

    static int granted(const nlohmann::json& answer)
    {
        return answer.at("granted").get<bool>() ? 1 : 0;
    }

  public:
    void get_no_more_when_hosts_read_two_of_their_entries()
    {
        asked_issuer it;
        int sent = 0;
        for (int i = 0; i < 20; ++i)
        {
            sent += granted(it.ask(asked_issuer::older_start, 0.5, millis(0)));
            sent += granted(it.ask(asked_issuer::newer_start, 0.5, millis(0)));
        }
        // one for each start, and what the limit allows meanwhile
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(sent), sent <= 4);
    }

    void are_used_up_to_it_when_hosts_read_two_of_their_entries()
    {
        asked_issuer it;
        int older = 0;
        int newer = 0;
        const steady_time begin = it.time.steady_now();
        while (it.time.steady_now() < begin + millis(2000))
        {
            // said by the process before
            older += granted(it.ask(asked_issuer::older_start, 0.1, millis(5000)));
            newer += granted(it.ask(asked_issuer::newer_start, 4, millis(0)));
            it.run_for(millis(20));
        }
        const std::string counts = absl::StrCat(older, " and ", newer);
        CPPUNIT_ASSERT_MESSAGE(counts, newer >= 6);
        // one for each start, and what the limit of the newer one allows meanwhile
        const std::int64_t span_ms = (it.time.steady_now() - begin).count();
        CPPUNIT_ASSERT_MESSAGE(counts, older + newer <= 2 + 4 * span_ms / 1000);
    }

    void are_not_limited_again_by_a_host_that_reads_the_entry_before()
    {
        asked_issuer it;
        it.ask(asked_issuer::newer_start, 0.1, millis(0));
        it.tell_end(asked_issuer::newer_start);
        it.ask(asked_issuer::older_start, 0.1, millis(5000));
        const nlohmann::json answer =
            it.ask(asked_issuer::newer_start, 0.1, millis(5000));
        CPPUNIT_ASSERT_MESSAGE(answer.dump(), answer.at("ended").get<bool>());
    }

    void get_permits_for_the_process_that_answers()
    {
        asked_issuer it;
        entry_context context(it.loop, it.protocol, it.all_settings.front(), 1);
        peer_network peers(it.loop,
                           {host_id("host-1"), failure_domain_id("a"), free_endpoint()});
        limit_controller limits(context, peers);
        target_record record;
        record.id = target_id("i-9");
        record.started_ms = asked_issuer::older_start;
        context.targets.put(record);
        context.targets.record_start(record.id, asked_issuer::newer_start);
        target_state& target = *context.targets.find(record.id);
        target.rate_limit = 0.1;
        target.limit_stated_at = it.loop.now();
        const stalling_peer asking;
        limits.handle_request(
            message_link::create(
                connection::connect(it.loop, asking.where(), millis(1000)),
                [](const nlohmann::json&) {},
                [](connection_end) {}),
            {{"type", "permit?"},
             {"number", 1},
             {"target", "i-9"},
             {"started_ms", asked_issuer::newer_start},
             {"per_s", 0.1},
             {"age_ms", 0}});
        bool is_granted = true;
        limits.request_permit(record.id,
                              [&is_granted](bool answer)
                              {
                                  is_granted = answer;
                              });
        CPPUNIT_ASSERT(!is_granted);
    }

    void are_named_by_their_entries_to_hosts_of_an_older_build()
    {
        limited_pool it(1, {""});
        std::vector<nlohmann::json> asked;
        std::vector<std::shared_ptr<message_link>> links;
        const endpoint where = free_endpoint();
        const auto opened = listener::open(
            it.loop,
            where,
            [&](const std::shared_ptr<connection>& accepted)
            {
                links.push_back(message_link::create(
                    accepted,
                    [&](const nlohmann::json& message)
                    {
                        asked.push_back(message);
                    },
                    [](connection_end) {}));
            },
            [](const std::string&) {});
        CPPUNIT_ASSERT(opened.ok());
        entry_context context(it.loop, it.protocol, it.all_settings.front(), 1);
        peer_network peers(it.loop,
                           {host_id("host-1"), failure_domain_id("a"), free_endpoint()});
        peers.put({host_id("host-2"), failure_domain_id("a"), where});
        peers.leave();
        peers.set_peer_lost_handler([](const host_id&, connection_end) {});
        limit_controller limits(context, peers);
        target_record record;
        record.id = target_id("i-9");
        record.started_ms = asked_issuer::older_start;
        context.targets.put(record);
        context.targets.record_start(record.id, asked_issuer::newer_start);
        target_state& target = *context.targets.find(record.id);
        target.rate_limit = 0.1;
        target.limit_stated_at = it.loop.now();
        limits.request_permit(record.id, [](bool) {});
        CPPUNIT_ASSERT(it.until(
            [&]
            {
                return !asked.empty();
            }));
        CPPUNIT_ASSERT_EQUAL(asked_issuer::older_start,
                             asked.front().at("started_ms").get<std::int64_t>());
        CPPUNIT_ASSERT_EQUAL(asked_issuer::newer_start,
                             asked.front().at("answering_ms").get<std::int64_t>());
        (*opened)->close();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(targets_that_state_a_limit);
CPPUNIT_TEST_SUITE_REGISTRATION(targets_that_start_again_with_a_limit);

} // namespace
