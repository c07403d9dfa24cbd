#include "support/entry/stalling_peer.hpp"

#include <medlar/detail/entry/piece_broker.hpp>
#include <medlar/detail/entry/piece_service.hpp>
#include <medlar/detail/hosts/limit_controller.hpp>
#include <medlar/detail/hosts/path_controller.hpp>
#include <medlar/detail/hosts/peer_network.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace medlar;
using namespace medlar::test;

constexpr char pool_name[] = "stage";

entry_settings settings_of(const std::string& name)
{
    entry_settings settings;
    settings.host = host_id(name);
    settings.domain = failure_domain_id("a");
    settings.link_endpoint = free_endpoint();
    return settings;
}

/// what a host keeps about its peers, and peers that read nothing
class stalled_links
{
  public:
    explicit stalled_links(std::size_t peer_count) : stalled(peer_count)
    {
        context.configuration = std::make_shared<const serving_configuration>(
            *protocol.read_configuration(configuration_json(3, {})));
        for (std::size_t i = 0; i < stalled.size(); ++i)
        {
            peer_host host;
            host.id = host_id(absl::StrCat("a peer that reads nothing ", i));
            host.domain = settings.domain;
            host.link = stalled[i].where();
            peers.put(host);
            ids.push_back(host.id);
        }
        peers.set_answer_handler([](const host_id&, const nlohmann::json&) {});
        peers.set_peer_lost_handler(
            [this](const host_id& host, connection_end)
            {
                broker.handle_owner_lost(host);
                limits.handle_peer_lost(host);
                lost.push_back(host);
            });
    }

    /// fills the link to a peer, so that it is given up with the next message
    void congest(const host_id& host)
    {
        CPPUNIT_ASSERT(peers.send(host, {{"type", std::string(3000000, 'x')}}));
    }

    void run_for(millis span)
    {
        const steady_time end = time.steady_now() + span;
        while (time.steady_now() < end)
        {
            loop.run_once(millis(10));
        }
    }

    medlar::clock time = medlar::clock::system();
    event_loop loop{time};
    platform::adapter protocol;
    entry_settings settings = settings_of("host-1");
    entry_context context{loop, protocol, settings, 1};
    peer_network peers{loop, {settings.host, settings.domain, settings.link_endpoint}};
    path_controller paths{context, peers};
    limit_controller limits{context, peers};
    piece_service service{context, limits, paths};
    piece_broker broker{context, peers, service, paths};
    std::vector<stalling_peer> stalled;
    std::vector<host_id> ids;
    std::vector<host_id> lost;
};

target_record target_of_pool(const std::string& id)
{
    target_record target;
    target.id = target_id(id);
    target.pool = pool_id(pool_name);
    target.address = free_endpoint();
    target.domain = failure_domain_id("a");
    return target;
}

class a_link_that_a_peer_does_not_read : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_link_that_a_peer_does_not_read);
    CPPUNIT_TEST(is_reported_under_the_name_of_its_host);
    CPPUNIT_TEST(has_its_permits_asked_for_elsewhere);
    CPPUNIT_TEST(brings_back_no_cancelled_job);
    CPPUNIT_TEST_SUITE_END();

  public:
    // guards against a use after free: the handler frees the name that the sender gave
    void is_reported_under_the_name_of_its_host()
    {
        stalled_links it(1);
        auto asked = std::make_unique<host_id>(it.ids[0]);
        it.peers.set_peer_lost_handler(
            [&](const host_id& host, connection_end)
            {
                asked = std::make_unique<host_id>("another host with a longer name");
                it.lost.push_back(host);
            });
        it.congest(*asked);
        CPPUNIT_ASSERT(!it.peers.send(*asked, {{"type", "x"}}));
        it.run_for(millis(20));
        CPPUNIT_ASSERT(it.lost == it.ids);
    }

    // guards against a use after free: the lost host was asked for the permit being sent
    void has_its_permits_asked_for_elsewhere()
    {
        stalled_links it(1);
        std::vector<target_id> targets;
        for (int i = 0; i < 16; ++i)
        {
            const target_record target = target_of_pool(absl::StrCat("i-", i));
            it.context.targets.put(target);
            it.context.targets.find(target.id)->rate_limit = 5;
            targets.push_back(target.id);
        }
        it.congest(it.ids[0]);
        std::vector<bool> granted;
        for (const target_id& each : targets)
        {
            it.limits.request_permit(each,
                                     [&granted](bool is_granted)
                                     {
                                         granted.push_back(is_granted);
                                     });
        }
        it.run_for(millis(20));
        CPPUNIT_ASSERT(it.lost == it.ids);
        CPPUNIT_ASSERT(granted == std::vector<bool>(targets.size(), true));
    }

    // guards against an exception that ends the process: the timer of a job that is gone
    void brings_back_no_cancelled_job()
    {
        stalled_links it(4);
        it.context.targets.put(target_of_pool("i-1"));
        piece_job job;
        job.attempt = attempt_id("id-1");
        job.pieces = {0};
        job.soft_deadline = it.loop.now() + millis(1000);
        job.deadline = job.soft_deadline;
        int calls = 0;
        broker_callbacks callbacks;
        callbacks.on_refused = [&calls](millis)
        {
            ++calls;
        };
        callbacks.on_piece = [&calls](int, const piece_result&)
        {
            ++calls;
        };
        const broker_ticket ticket = it.broker.submit(pool_id(pool_name), job, callbacks);
        const host_id owner =
            rank_owners({pool_id(pool_name), {}}, it.peers.live_hosts()).front();
        it.congest(owner);
        it.broker.cancel(ticket);
        // longer than an owner is waited for
        it.run_for(millis(500));
        CPPUNIT_ASSERT(it.lost == std::vector<host_id>{owner});
        CPPUNIT_ASSERT_EQUAL(0, calls);
        CPPUNIT_ASSERT(it.service.load() ==
                       std::make_pair(std::size_t{0}, std::size_t{0}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_link_that_a_peer_does_not_read);

} // namespace
