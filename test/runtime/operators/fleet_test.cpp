#include "documents.hpp"
#include "fake_links.hpp"
#include "fake_store.hpp"

#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/order_service.hpp>
#include <medlar/detail/operators/view_service.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace
{

using medlar::change_state;
using medlar::error_number;
using medlar::host_id;
using medlar::incarnation;
using medlar::test::write_outcome;

const std::string view_key = "medlar/live/view";

/// @brief an operator program of five gateways, which listen on the ports 1 to 5
class operator_program_and_five_gateways : public CppUnit::TestFixture
{
  protected:
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

    static std::vector<medlar::view_member> five_members()
    {
        std::vector<medlar::view_member> members;
        for (std::uint16_t each = 1; each <= 5; ++each)
        {
            members.push_back({host_id(absl::StrCat("h", each)),
                               incarnation(each),
                               {"127.0.0.1", each},
                               medlar::failure_domain_id("a")});
        }
        return members;
    }

    /// @brief Stores a view record at epoch 2.
    void set_view()
    {
        medlar::view_record first;
        first.current.epoch = medlar::view_epoch(1);
        first.current.members = five_members();
        store_.set(view_key,
                   medlar::write_view_record(medlar::next_record(first, five_members())));
    }

    medlar::view_record stored_view() const
    {
        return *medlar::parse_view_record(store_.value_of(view_key));
    }

    void set_status_reply(int port, bool may_propose, int newest)
    {
        links_.replies[absl::StrCat(port, " /v1/status")] = {
            200,
            absl::StrCat("{\"host\":\"h",
                         port,
                         "\",\"process\":",
                         port,
                         ",\"configuration\":7,\"lease_valid\":true,\"newest\":",
                         newest,
                         ",\"may_propose\":",
                         may_propose ? "true" : "false",
                         ",\"waiting\":[{\"host\":\"h6\",\"process\":6,"
                         "\"link\":\"127.0.0.1:6\"}],\"load\":{\"running\":3}}")};
    }

    template <typename Result>
    static void expect_error(error_number number, const Result& result)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.status().ToString(),
                                     static_cast<int>(number),
                                     medlar::error_number_of(result.status()));
    }
};

class the_fleet_is_queried : public operator_program_and_five_gateways
{
    CPPUNIT_TEST_SUITE(the_fleet_is_queried);
    CPPUNIT_TEST(for_the_status_of_all_hosts);
    CPPUNIT_TEST(also_while_the_store_is_down);
    CPPUNIT_TEST(for_the_configuration_in_force);
    CPPUNIT_TEST(and_a_malformed_answer_is_an_error_of_its_host);
    CPPUNIT_TEST(for_the_trace_of_a_request);
    CPPUNIT_TEST_SUITE_END();

    void for_the_status_of_all_hosts()
    {
        set_view();
        set_status_reply(1, true, 2);
        const medlar::fleet_status status = fleet_->status();
        CPPUNIT_ASSERT(status.store.ok());
        CPPUNIT_ASSERT(status.epoch == medlar::view_epoch(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, status.hosts.size());
        CPPUNIT_ASSERT(status.hosts[0].report->lease_valid);
        CPPUNIT_ASSERT(status.hosts[0].report->configuration == medlar::revision(7));
        expect_error(error_number::link_unreachable, status.hosts[1].report);
        CPPUNIT_ASSERT(status.hosts[4].in_view);
        CPPUNIT_ASSERT(!status.hosts[5].in_view);
    }

    void also_while_the_store_is_down()
    {
        store_.down = true;
        set_status_reply(1, true, 2);
        set_status_reply(6, true, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_->status().hosts.size());
        set_view();
        medlar::state_answer answer;
        answer.record = store_.value_of(view_key);
        links_.replies["1 /v1/state"] = {200, medlar::to_json(answer)};
        const medlar::fleet_status status = fleet_->status();
        CPPUNIT_ASSERT(!status.store.ok());
        CPPUNIT_ASSERT(status.epoch == medlar::view_epoch(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, status.hosts.size());
        CPPUNIT_ASSERT(status.hosts[5].report.ok());
    }

    void for_the_configuration_in_force()
    {
        expect_error(error_number::link_unreachable, fleet_->local_configuration());
        medlar::state_answer answer;
        links_.replies["1 /v1/state"] = {200, medlar::to_json(answer)};
        expect_error(error_number::no_such_revision, fleet_->local_configuration());
        medlar::accepted_document accepted;
        accepted.number = medlar::revision(41);
        answer.document = medlar::write_accepted_document(accepted);
        links_.replies["1 /v1/state"] = {200, medlar::to_json(answer)};
        const auto found = fleet_->local_configuration();
        CPPUNIT_ASSERT_MESSAGE(found.status().ToString(), found.ok());
        CPPUNIT_ASSERT(found->number == medlar::revision(41));
    }

    void and_a_malformed_answer_is_an_error_of_its_host()
    {
        set_view();
        for (const char* body : {"", "[]", "{}", "{\"host\":1,\"process\":2}", "\xff"})
        {
            links_.replies["2 /v1/status"] = {200, body};
            expect_error(error_number::link_malformed, fleet_->status().hosts[1].report);
        }
        links_.replies["2 /v1/status"] = {503, ""};
        expect_error(error_number::link_malformed, fleet_->status().hosts[1].report);
    }

    void for_the_trace_of_a_request()
    {
        set_view();
        links_.replies["1 /v1/explain"] = {404, ""};
        links_.replies["2 /v1/explain"] = {200, "{}"};
        const auto traces =
            fleet_->explain({medlar::organisation_id("caxias"), medlar::request_id("1")});
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, traces.size());
        CPPUNIT_ASSERT(!traces[0].trace->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), **traces[1].trace);
        expect_error(error_number::link_unreachable, traces[2].trace);
    }
};

class a_view_is_forced : public operator_program_and_five_gateways
{
    CPPUNIT_TEST_SUITE(a_view_is_forced);
    CPPUNIT_TEST(without_the_hosts_that_are_stated_to_be_stopped);
    CPPUNIT_TEST(only_with_the_confirmation_and_known_hosts);
    CPPUNIT_TEST(only_at_the_expected_epoch);
    CPPUNIT_TEST(only_when_earlier_views_are_closed);
    CPPUNIT_TEST(only_when_the_store_has_the_newest_view);
    CPPUNIT_TEST(once_when_the_reply_is_lost);
    CPPUNIT_TEST(and_the_statement_is_recorded_before_the_swap);
    CPPUNIT_TEST_SUITE_END();

    static medlar::force_view_request without(std::vector<host_id> stopped)
    {
        medlar::force_view_request request;
        request.change_id = "f1";
        request.author = "ana";
        request.expected = medlar::view_epoch(2);
        request.stopped = std::move(stopped);
        request.confirmation = std::string(medlar::view_confirmation);
        return request;
    }

    static medlar::force_view_request without_three()
    {
        return without({host_id("h3"), host_id("h4"), host_id("h5")});
    }

    void set_settled_view()
    {
        set_view();
        set_status_reply(2, true, 2);
    }

    void without_the_hosts_that_are_stated_to_be_stopped()
    {
        set_settled_view();
        const auto forced = views_->force(without_three());
        CPPUNIT_ASSERT_MESSAGE(forced.status().ToString(), forced.ok());
        CPPUNIT_ASSERT(forced->state == change_state::accepted);
        const medlar::view_record record = stored_view();
        CPPUNIT_ASSERT(record.current.epoch == medlar::view_epoch(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, record.current.members.size());
        const std::vector<incarnation> stated{
            incarnation(3), incarnation(4), incarnation(5)};
        CPPUNIT_ASSERT(record.current.stated_stopped == stated);
        const auto again = views_->force(without_three());
        CPPUNIT_ASSERT(again.ok() && again->accepted_earlier);
        CPPUNIT_ASSERT(stored_view().current.epoch == medlar::view_epoch(3));
    }

    void only_with_the_confirmation_and_known_hosts()
    {
        set_settled_view();
        const std::string before = store_.value_of(view_key);
        medlar::force_view_request request = without_three();
        request.confirmation = "yes";
        expect_error(error_number::not_confirmed, views_->force(request));
        expect_error(error_number::out_of_range, views_->force(without({})));
        expect_error(error_number::no_such_object,
                     views_->force(without({host_id("h9")})));
        std::vector<host_id> all;
        for (const medlar::view_member& member : five_members())
        {
            all.push_back(member.host);
        }
        expect_error(error_number::out_of_range, views_->force(without(all)));
        CPPUNIT_ASSERT_EQUAL(before, store_.value_of(view_key));
    }

    void only_at_the_expected_epoch()
    {
        set_settled_view();
        medlar::force_view_request request = without_three();
        request.expected = medlar::view_epoch(1);
        expect_error(error_number::conflict, views_->force(request));
    }

    void only_when_earlier_views_are_closed()
    {
        set_view();
        expect_error(error_number::view_not_settled, views_->force(without_three()));
        set_status_reply(2, false, 2);
        expect_error(error_number::view_not_settled, views_->force(without_three()));
        set_status_reply(2, true, 1);
        expect_error(error_number::view_not_settled, views_->force(without_three()));
        set_status_reply(2, false, 2);
        set_status_reply(3, true, 2);
        expect_error(error_number::view_not_settled, views_->force(without_three()));
        CPPUNIT_ASSERT(stored_view().current.epoch == medlar::view_epoch(2));
    }

    void only_when_the_store_has_the_newest_view()
    {
        medlar::view_record first;
        first.current.epoch = medlar::view_epoch(1);
        first.current.members = five_members();
        store_.set(view_key, medlar::write_view_record(first));
        medlar::force_view_request request = without_three();
        request.expected = medlar::view_epoch(1);
        set_status_reply(2, true, 5);
        expect_error(error_number::view_not_settled, views_->force(request));
        set_status_reply(2, true, 1);
        CPPUNIT_ASSERT(views_->force(request).ok());
    }

    void once_when_the_reply_is_lost()
    {
        set_settled_view();
        store_.write_outcomes = {write_outcome::lost_after};
        const auto forced = views_->force(without_three());
        CPPUNIT_ASSERT(forced.ok() && forced->state == change_state::accepted);
        CPPUNIT_ASSERT(stored_view().current.epoch == medlar::view_epoch(3));
        set_view();
        store_.write_outcomes = {write_outcome::lost_before};
        store_.down_after_loss = true;
        const auto lost = views_->force(without_three());
        CPPUNIT_ASSERT(lost.ok() && lost->state == change_state::unknown);
    }

    void and_the_statement_is_recorded_before_the_swap()
    {
        set_settled_view();
        store_.audit_down = true;
        expect_error(error_number::store_unreachable, views_->force(without_three()));
        CPPUNIT_ASSERT(stored_view().current.epoch == medlar::view_epoch(2));
        store_.audit_down = false;
        CPPUNIT_ASSERT(views_->force(without_three()).ok());
        const auto records = changes_->audit().list();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records->size());
        for (const medlar::audit_record& each : *records)
        {
            CPPUNIT_ASSERT(each.kind == medlar::audit_kind::view);
            CPPUNIT_ASSERT_EQUAL(std::string("ana"), each.author);
        }
    }
};

class engines_are_ordered : public operator_program_and_five_gateways
{
    CPPUNIT_TEST_SUITE(engines_are_ordered);
    CPPUNIT_TEST(to_load_a_model);
    CPPUNIT_TEST(once_for_one_change_id);
    CPPUNIT_TEST(only_in_pools_that_exist_and_with_known_actions);
    CPPUNIT_TEST(by_the_first_of_two_operators);
    CPPUNIT_TEST(also_when_the_reply_is_lost);
    CPPUNIT_TEST_SUITE_END();

    static medlar::order_request load_order(const std::string& id,
                                            const std::string& version)
    {
        return {id, "ana", medlar::pool_id("engines"), {{"load_model", "m", version}}};
    }

    void apply_configuration()
    {
        const auto accepted =
            changes_->change({"c1", "ana", std::nullopt, medlar::revision(0)},
                             medlar::replace_content{medlar::test::small_document()});
        CPPUNIT_ASSERT_MESSAGE(accepted.status().ToString(), accepted.ok());
    }

    medlar::pool_orders stored() const
    {
        return *medlar::parse_pool_orders(store_.value_of("medlar/orders/engines"));
    }

    void to_load_a_model()
    {
        apply_configuration();
        const auto ordered = orders_->order(load_order("o1", "2"));
        CPPUNIT_ASSERT_MESSAGE(ordered.status().ToString(), ordered.ok());
        CPPUNIT_ASSERT(ordered->number == medlar::revision(1));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), stored().wanted.at(0).version);
        CPPUNIT_ASSERT_EQUAL(std::string("o1"), stored().change_id);
        const auto records = changes_->history();
        const auto found = std::find_if(records->begin(),
                                        records->end(),
                                        [](const medlar::audit_record& each)
                                        {
                                            return each.change_id == "o1";
                                        });
        CPPUNIT_ASSERT(found != records->end());
    }

    void once_for_one_change_id()
    {
        apply_configuration();
        CPPUNIT_ASSERT(orders_->order(load_order("o1", "2")).ok());
        CPPUNIT_ASSERT(orders_->order(load_order("o1", "2"))->accepted_earlier);
        expect_error(error_number::change_id_reused,
                     orders_->order(load_order("o1", "3")));
        CPPUNIT_ASSERT(orders_->order(load_order("o2", "3")).ok());
        CPPUNIT_ASSERT(orders_->order(load_order("o1", "2"))->accepted_earlier);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), stored().wanted.at(0).version);
    }

    void only_in_pools_that_exist_and_with_known_actions()
    {
        apply_configuration();
        medlar::order_request request = load_order("o1", "2");
        request.pool = medlar::pool_id("books");
        expect_error(error_number::no_such_object, orders_->order(request));
        request = load_order("o1", "2");
        request.wanted[0].action = "sing";
        expect_error(error_number::out_of_range, orders_->order(request));
    }

    void by_the_first_of_two_operators()
    {
        apply_configuration();
        store_.before_write = [this]
        {
            CPPUNIT_ASSERT(orders_->order(load_order("b1", "9")).ok());
        };
        expect_error(error_number::conflict, orders_->order(load_order("o1", "2")));
        CPPUNIT_ASSERT_EQUAL(std::string("9"), stored().wanted.at(0).version);
    }

    void also_when_the_reply_is_lost()
    {
        apply_configuration();
        store_.write_outcomes = {write_outcome::lost_after};
        CPPUNIT_ASSERT(orders_->order(load_order("o1", "2"))->state ==
                       change_state::accepted);
        store_.write_outcomes = {write_outcome::lost_before};
        store_.down_after_loss = true;
        CPPUNIT_ASSERT(orders_->order(load_order("o2", "3"))->state ==
                       change_state::unknown);
        store_.down = false;
        CPPUNIT_ASSERT(orders_->order(load_order("o2", "3"))->state ==
                       change_state::accepted);
        CPPUNIT_ASSERT(stored().number == medlar::revision(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_fleet_is_queried);
CPPUNIT_TEST_SUITE_REGISTRATION(a_view_is_forced);
CPPUNIT_TEST_SUITE_REGISTRATION(engines_are_ordered);

} // namespace
