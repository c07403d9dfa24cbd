#include <medlar/detail/dispatch/resumable_pools.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace
{

using namespace medlar;

route stream_route(const std::vector<std::string>& pools, millis timeout, bool resumable)
{
    route made;
    made.kind = route_kind::stream;
    made.resumable = resumable;
    made.timeout = timeout;
    for (const std::string& each : pools)
    {
        made.pools.push_back({pool_id(each), 1});
    }
    return made;
}

resumable_pools pools_of(const std::vector<route>& routes)
{
    auto configuration = std::make_shared<serving_configuration>();
    configuration->routes = routes;
    resumable_pools pools;
    pools.update(configuration);
    return pools;
}

class pools_of_resumable_routes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pools_of_resumable_routes);
    CPPUNIT_TEST(share_a_route_with_each_pool_of_all_their_routes);
    CPPUNIT_TEST(are_not_those_of_other_routes);
    CPPUNIT_TEST(are_those_of_the_newest_configuration);
    CPPUNIT_TEST_SUITE_END();

  public:
    void share_a_route_with_each_pool_of_all_their_routes()
    {
        const resumable_pools pools =
            pools_of({stream_route({"a", "b"}, millis(3000), true),
                      stream_route({"a", "c"}, millis(5000), true)});
        const std::vector<pool_id> all{pool_id("a"), pool_id("b"), pool_id("c")};
        CPPUNIT_ASSERT(pools.sharing_routes_with(pool_id("a")) == all);
        const std::vector<pool_id> two{pool_id("a"), pool_id("b")};
        CPPUNIT_ASSERT(pools.sharing_routes_with(pool_id("b")) == two);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pools.all().size());
        CPPUNIT_ASSERT(pools.longest_timeout() == millis(5000));
    }

    void are_not_those_of_other_routes()
    {
        const resumable_pools pools =
            pools_of({stream_route({"a", "b"}, millis(3000), false)});
        CPPUNIT_ASSERT(!pools.contains(pool_id("a")));
        const std::vector<pool_id> alone{pool_id("a")};
        CPPUNIT_ASSERT(pools.sharing_routes_with(pool_id("a")) == alone);
        CPPUNIT_ASSERT(pools.longest_timeout() == millis(0));
    }

    void are_those_of_the_newest_configuration()
    {
        resumable_pools pools = pools_of({stream_route({"a"}, millis(3000), true)});
        auto next = std::make_shared<serving_configuration>();
        next->routes = {stream_route({"b"}, millis(1000), true)};
        pools.update(next);
        CPPUNIT_ASSERT(!pools.contains(pool_id("a")));
        CPPUNIT_ASSERT(pools.contains(pool_id("b")));
        pools.update(nullptr);
        CPPUNIT_ASSERT(pools.all().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pools_of_resumable_routes);

} // namespace
