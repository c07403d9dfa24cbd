#include "harness/deployment.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;
using namespace medlar::testing;

class orders_to_engines : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_to_engines);
    CPPUNIT_TEST(reach_every_engine_of_the_pool);
    CPPUNIT_TEST(go_on_when_the_ordering_controller_dies);
    CPPUNIT_TEST(of_a_thawed_controller_do_no_harm_where_fencing_is_ignored);
    CPPUNIT_TEST_SUITE_END();

  public:
    void tearDown() override
    {
        system_.reset();
    }

  private:
    void start(bool checks_fencing)
    {
        system_ = std::make_unique<deployment>("orders");
        system_->engine_flags = {"--token_us=500",
                                 std::string("--checks_fencing=") +
                                     (checks_fencing ? "true" : "false")};
        system_->start_three_hosts();
    }

    void order(const std::string& through, const std::vector<std::string>& wanted)
    {
        std::vector<std::string> arguments = {"order", "model", "language"};
        arguments.insert(arguments.end(), wanted.begin(), wanted.end());
        CPPUNIT_ASSERT_EQUAL(0, system_->control(system_->at(through), arguments));
    }

    std::string models_of(const target_process& engine)
    {
        return http_get(engine.where, "/v1/state").json()["models"].dump();
    }

    /// Whether each engine holds model @p held and not model @p gone.
    bool all_hold(const std::string& held, const std::string& gone)
    {
        for (const target_process& engine : system_->language)
        {
            const std::string models = models_of(engine);
            const bool fits = models.find("\"" + held + "\"") != std::string::npos &&
                              models.find("\"" + gone + "\"") == std::string::npos;
            if (!fits)
            {
                return false;
            }
        }
        return true;
    }

    void wait_for_model(const std::string& held, const std::string& gone)
    {
        wait_until("model " + held + " on every engine",
                   [&]
                   {
                       return all_hold(held, gone);
                   });
    }

    void reach_every_engine_of_the_pool()
    {
        start(true);
        order("h1", {"load_model:m@1", "load_model:x@1"});
        wait_for_model("x", "none");
    }

    void go_on_when_the_ordering_controller_dies()
    {
        start(true);
        order("h1", {"load_model:x@1"});
        wait_for_model("x", "none");
        for (const char* name : {"h1", "h2"})
        {
            system_->at(name).controller->kill();
        }
        order("h3", {"load_model:y@1", "unload_model:x@1"});
        wait_for_model("y", "x");
    }

    void of_a_thawed_controller_do_no_harm_where_fencing_is_ignored()
    {
        start(false);
        order("h1", {"load_model:x@1"});
        wait_for_model("x", "none");
        for (const char* name : {"h1", "h2"})
        {
            system_->at(name).controller->freeze();
        }
        order("h3", {"load_model:y@1", "unload_model:x@1"});
        wait_for_model("y", "x");
        for (const char* name : {"h1", "h2"})
        {
            system_->at(name).controller->thaw();
        }
        const std::int64_t end = wall_now_ms() + order_rounds_ms;
        wait_until("several rounds of orders",
                   [end]
                   {
                       return wall_now_ms() > end;
                   });
        wait_for_model("y", "x");
    }

    static constexpr std::int64_t order_rounds_ms = 3000;

    std::unique_ptr<deployment> system_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(orders_to_engines, "orders");
CPPUNIT_REGISTRY_ADD_TO_DEFAULT("orders");

} // namespace
