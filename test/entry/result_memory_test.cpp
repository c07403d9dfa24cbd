#include "support/entry/entry_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace
{

using namespace medlar;
using namespace medlar::test;

using exchange_ptr = std::shared_ptr<caller_exchange>;

/// Hosts in front of two stages. The inputs of the second one are in failure domain "b",
/// while the engine is in "a"; the second pool is large enough to have an owner for each
/// domain, and its targets have memory for one result.
class two_domains : public entry_fixture
{
  public:
    two_domains()
        : engine_(loop,
                  "i-engine",
                  "engines",
                  [](const exchange_ptr& exchange)
                  {
                      exchange->begin(
                          200, "OK", signed_headers(*exchange), {body_kind::chunked, 0});
                      exchange->write("id: 1\ndata: x\n\n");
                      exchange->finish();
                  })
    {
        store.put(engine_.key(), engine_.entry());
        add_target("first", "b");
        for (int i = 0; i < 8; ++i)
        {
            add_target("second", "a");
        }
        add_target("second", "b");
        store.put("op/config", configuration());
        for (int i = 0; i < 4; ++i)
        {
            all_settings.push_back(settings("host-" + std::to_string(i)));
            // an owner with this link serves no more than eight targets
            all_settings.back().link_mbps = 10;
            hosts_.push_back(start(all_settings.back()));
        }
        for (const entry_settings& each : all_settings)
        {
            CPPUNIT_ASSERT(until(
                [&]
                {
                    return is_ready(each);
                }));
        }
        // time for all hosts to learn of each other
        run_for(millis(600));
    }

    host_id owner_in(const std::string& domain) const
    {
        std::vector<peer_host> peers;
        for (const entry_settings& each : all_settings)
        {
            peers.push_back({each.host,
                             each.domain,
                             each.link_endpoint,
                             each.core_share,
                             each.link_mbps});
        }
        return rank_owners({pool_id("second"), domain}, peers).front();
    }

    int fetch(std::size_t host, const std::string& id)
    {
        return send(all_settings[host].caller_endpoint,
                    request_text("POST",
                                 "/p/x",
                                 id,
                                 "b",
                                 "Pieces: 1,1\r\nPiece-Key: " + id + "\r\n"))
            .status;
    }

    std::vector<entry_settings> all_settings;

  private:
    void add_target(const std::string& pool, const std::string& domain)
    {
        const std::size_t number = targets_.size();
        targets_.emplace_back(loop,
                              "i-" + std::to_string(number),
                              pool,
                              [this, number](const exchange_ptr& exchange)
                              {
                                  execute(number, exchange);
                              });
        nlohmann::json entry = nlohmann::json::parse(targets_.back().entry());
        entry["zone"] = domain;
        store.put(targets_.back().key(), entry.dump());
    }

    static std::string configuration()
    {
        nlohmann::json route = route_json("/p/", "stream", "engines");
        route["stages"] = {
            {{"service", "first"}, {"after", nlohmann::json::array()}, {"bytes", 1000}},
            {{"service", "second"}, {"after", {0}}, {"bytes", 100}}};
        nlohmann::json text = nlohmann::json::parse(configuration_json(5, {route}));
        nlohmann::json first = text["services"][1];
        first["name"] = "first";
        nlohmann::json second = first;
        second["name"] = "second";
        second["pieces"]["headroom_mb"] = 0.000150;
        text["services"].push_back(first);
        text["services"].push_back(second);
        return text.dump();
    }

    void execute(std::size_t number, const exchange_ptr& exchange)
    {
        const nlohmann::json body = nlohmann::json::parse(exchange->body());
        nlohmann::json items = nlohmann::json::array();
        if (body.contains("items"))
        {
            for (std::size_t i = 0; i < body["items"].size(); ++i)
            {
                items.push_back({{"handle",
                                  to_string(targets_[number].where()) + "/" +
                                      std::to_string(++result_count_)}});
            }
        }
        exchange->answer(200, {}, nlohmann::json({{"items", items}}).dump());
    }

    int result_count_ = 0;
    std::deque<stand_in_target> targets_;
    stand_in_target engine_;
    std::vector<std::shared_ptr<running_host>> hosts_;
};

class the_memory_for_results : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_memory_for_results);
    CPPUNIT_TEST(is_used_again_when_a_stage_left_the_planned_domain);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_used_again_when_a_stage_left_the_planned_domain()
    {
        two_domains it;
        CPPUNIT_ASSERT(it.owner_in("a") != it.owner_in("b"));
        // a result that nobody frees lasts longer than the requests may take
        for (std::size_t i = 0; i < it.all_settings.size(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(200, it.fetch(i, "id-" + std::to_string(i)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_memory_for_results);

} // namespace
