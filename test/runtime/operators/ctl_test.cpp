#include "build_paths.hpp"
#include "documents.hpp"
#include "fake_links.hpp"
#include "fake_store.hpp"

#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/ctl/commands.hpp>
#include <medlar/detail/operators/operators_server.hpp>

#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

namespace
{

using medlar::ctl_exit;
using medlar::test::write_outcome;

/// @brief medlarctl against an operator program in the same process
class medlarctl : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(medlarctl);
    CPPUNIT_TEST(applies_a_document_and_prints_it_again);
    CPPUNIT_TEST(exits_with_a_code_for_each_outcome);
    CPPUNIT_TEST(drains_a_target_and_rolls_back);
    CPPUNIT_TEST(shows_a_conflict_with_what_changed);
    CPPUNIT_TEST(reports_unknown_with_the_id_when_a_reply_is_lost);
    CPPUNIT_TEST(tries_the_next_operator_program);
    CPPUNIT_TEST(refuses_bad_usage_without_a_call);
    CPPUNIT_TEST(shows_hosts_and_requests);
    CPPUNIT_TEST(orders_models_and_forces_views);
    CPPUNIT_TEST_SUITE_END();

    medlar::test::fake_store store_;
    medlar::test::fake_links links_;
    medlar::clock time_ =
        medlar::clock::manual(medlar::steady_time(0), medlar::wall_time(1000));
    std::unique_ptr<medlar::change_service> changes_ =
        medlar::change_service::create(store_, time_, 4);
    std::unique_ptr<medlar::fleet_service> fleet_ = medlar::fleet_service::create(
        store_, links_, medlar::endpoint{"127.0.0.1", 1}, medlar::millis(100));
    std::unique_ptr<medlar::view_service> views_ =
        medlar::view_service::create(store_, time_, *fleet_, changes_->audit());
    std::unique_ptr<medlar::order_service> orders_ =
        medlar::order_service::create(store_, time_, *changes_);
    std::unique_ptr<medlar::operators_server> server_ = *medlar::operators_server::create(
        {"127.0.0.1", 0}, {*changes_, *views_, *orders_, *fleet_});
    medlar::ctl_options options_;
    std::string out_;
    std::string errors_;
    std::string file_ = std::string(MEDLAR_BINARY_DIR) + "/ctl_test_document.json";

  public:
    void setUp() override
    {
        server_ = *medlar::operators_server::create(
            {"127.0.0.1", 0}, {*changes_, *views_, *orders_, *fleet_});
        options_.operators = {server_->where()};
        options_.author = "ana";
    }

    void tearDown() override
    {
        server_.reset();
        std::remove(file_.c_str());
    }

  private:
    ctl_exit run(const std::vector<std::string>& words)
    {
        std::ostringstream out;
        std::ostringstream errors;
        const ctl_exit code = medlar::run_command(options_, words, out, errors);
        out_ = out.str();
        errors_ = errors.str();
        return code;
    }

    void expect(ctl_exit code, const std::vector<std::string>& words)
    {
        const ctl_exit actual = run(words);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            out_ + errors_, static_cast<int>(code), static_cast<int>(actual));
    }

    void expect_text(const std::string& text, const std::string& part)
    {
        CPPUNIT_ASSERT_MESSAGE(text, absl::StrContains(text, part));
    }

    ctl_exit apply(const std::string& id, double weight)
    {
        std::ofstream(file_) << medlar::write_document(
            medlar::test::small_document(weight));
        options_.change_id = id;
        return run({"apply", file_});
    }

    void apply_first_document()
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(errors_, 0, static_cast<int>(apply("c1", 1)));
    }

    void applies_a_document_and_prints_it_again()
    {
        apply_first_document();
        expect_text(out_, "change c1 is revision 1");
        expect(ctl_exit::done, {"get"});
        std::ofstream(file_) << out_;
        expect(ctl_exit::done, {"diff", file_});
        expect_text(out_, "against revision 1: 0 differences");
        options_.json = true;
        expect(ctl_exit::done, {"get"});
        expect_text(out_, "\"change_id\": \"c1\"");
    }

    void exits_with_a_code_for_each_outcome()
    {
        apply_first_document();
        CPPUNIT_ASSERT(apply("c1", 1) == ctl_exit::done);
        expect_text(out_, "accepted earlier");
        CPPUNIT_ASSERT(apply("c1", 2) == ctl_exit::refused);
        expect_text(errors_, "[medlar.605]");
        CPPUNIT_ASSERT(apply("c2", -1) == ctl_exit::refused);
        expect_text(errors_, "[medlar.504] organisations[0].weight");
        expect(ctl_exit::refused, {"change", "status", "c9"});
        store_.down = true;
        CPPUNIT_ASSERT(apply("c2", 2) == ctl_exit::unreachable);
    }

    void drains_a_target_and_rolls_back()
    {
        apply_first_document();
        options_.change_id.clear();
        expect(ctl_exit::done, {"target", "drain", "t1"});
        expect_text(out_, "pools.engines.targets.t1.drained");
        expect(ctl_exit::done, {"target", "undrain", "t1"});
        expect(ctl_exit::refused, {"target", "drain", "t9"});
        expect(ctl_exit::done, {"rollback", "2"});
        expect(ctl_exit::done, {"history"});
        expect_text(out_, "rollback to revision 2");
        options_.json = true;
        options_.limit = 1;
        expect(ctl_exit::done, {"history"});
        CPPUNIT_ASSERT(!absl::StrContains(out_, "drain target t1"));
    }

    void shows_a_conflict_with_what_changed()
    {
        apply_first_document();
        CPPUNIT_ASSERT(apply("c2", 2) == ctl_exit::done);
        options_.expected_revision = 1;
        CPPUNIT_ASSERT(apply("c3", 3) == ctl_exit::conflict);
        expect_text(errors_, "revision 2 by ana (change c2) came first");
        expect_text(errors_, "organisations.caxias.weight");
        options_.json = true;
        CPPUNIT_ASSERT(apply("c3", 3) == ctl_exit::conflict);
        expect_text(out_, "\"after\": \"2.0\"");
    }

    void reports_unknown_with_the_id_when_a_reply_is_lost()
    {
        apply_first_document();
        store_.write_outcomes = {write_outcome::lost_after};
        store_.down_after_loss = true;
        CPPUNIT_ASSERT(apply("c2", 2) == ctl_exit::unknown);
        expect_text(errors_, "medlarctl change status c2 --based_on=1");
        store_.down = false;
        expect(ctl_exit::done, {"change", "status", "c2"});
        expect_text(out_, "change c2 is revision 2");
    }

    void tries_the_next_operator_program()
    {
        options_.operators = {{"127.0.0.1", 1}, server_->where()};
        apply_first_document();
        options_.operators = {{"127.0.0.1", 1}};
        CPPUNIT_ASSERT(apply("c2", 2) == ctl_exit::unreachable);
        options_.operators = {};
        expect(ctl_exit::unreachable, {"get"});
    }

    void refuses_bad_usage_without_a_call()
    {
        options_.operators = {};
        expect(ctl_exit::usage, {});
        expect(ctl_exit::usage, {"sing"});
        expect(ctl_exit::usage, {"target", "drain"});
        expect(ctl_exit::usage, {"apply", "a", "b"});
        expect(ctl_exit::usage, {"rollback", "two"});
        expect(ctl_exit::usage, {"explain", "no-slash"});
        expect(ctl_exit::usage, {"order", "model", "engines", "load_model"});
        expect(ctl_exit::refused, {"apply", "/nowhere/at/all.json"});
    }

    void shows_hosts_and_requests()
    {
        links_.replies["1 /v1/status"] = {
            200, R"({"host": "h1", "process": 1, "configuration": 7, "claims": 12})"};
        links_.replies["1 /v1/explain"] = {200, R"({"state": "finished"})"};
        expect(ctl_exit::done, {"status"});
        expect_text(out_, "h1");
        expect(ctl_exit::done, {"explain", "caxias/r1"});
        expect_text(out_, "finished");
        links_.replies["1 /v1/explain"] = {404, ""};
        expect(ctl_exit::refused, {"explain", "caxias/r1"});
        CPPUNIT_ASSERT(apply("c1", 1) == ctl_exit::refused);
        expect_text(errors_, "[medlar.705]");
    }

    void orders_models_and_forces_views()
    {
        apply_first_document();
        options_.change_id = "o1";
        expect(ctl_exit::done, {"order", "model", "engines", "load_model:m@2"});
        expect_text(store_.value_of("medlar/orders/engines"), R"("version":"2")");
        options_.epoch = 1;
        expect(ctl_exit::refused, {"view", "force", "h1"});
        expect_text(errors_, "[medlar.607]");
        options_.confirmation = std::string(medlar::view_confirmation);
        expect(ctl_exit::refused, {"view", "force", "h1"});
        expect_text(errors_, "[medlar.604]");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(medlarctl);

} // namespace
