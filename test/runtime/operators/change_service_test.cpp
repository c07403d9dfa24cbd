#include "documents.hpp"
#include "fake_store.hpp"

#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/change_service.hpp>

#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using medlar::change_result;
using medlar::change_state;
using medlar::error_number;
using medlar::replace_content;
using medlar::restore_revision;
using medlar::revision;
using medlar::set_drained;
using medlar::target_id;
using medlar::test::fake_store;
using medlar::test::small_document;
using medlar::test::write_outcome;

const std::string configuration_key = "medlar/live/configuration";

/// @brief two operator programs that share a store
class two_operator_programs : public CppUnit::TestFixture
{
  protected:
    fake_store store_;
    medlar::clock time_ =
        medlar::clock::manual(medlar::steady_time(0), medlar::wall_time(1000));
    std::unique_ptr<medlar::change_service> service_ =
        medlar::change_service::create(store_, time_, 4);
    std::unique_ptr<medlar::change_service> other_ =
        medlar::change_service::create(store_, time_, 4);

    static medlar::change_request request_by_ana(const std::string& id)
    {
        medlar::change_request request;
        request.change_id = id;
        request.author = "ana";
        return request;
    }

    absl::StatusOr<change_result> apply(const std::string& id, double weight)
    {
        return service_->change(request_by_ana(id),
                                replace_content{small_document(weight)});
    }

    void apply_first(const std::string& id, double weight)
    {
        const auto result = apply(id, weight);
        CPPUNIT_ASSERT_MESSAGE(result.status().ToString(), result.ok());
        CPPUNIT_ASSERT(result->state == change_state::accepted);
    }

    void apply_by_other(const std::string& id, double weight)
    {
        const auto result =
            other_->change(request_by_ana(id), replace_content{small_document(weight)});
        CPPUNIT_ASSERT_MESSAGE(result.status().ToString(), result.ok());
    }

    static void expect_accepted(std::uint64_t number,
                                const absl::StatusOr<change_result>& result)
    {
        CPPUNIT_ASSERT_MESSAGE(result.status().ToString(), result.ok());
        CPPUNIT_ASSERT(result->state == change_state::accepted);
        CPPUNIT_ASSERT_EQUAL(number, result->number.get());
    }

    template <typename Result>
    static void expect_error(error_number number, const Result& result)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.status().ToString(),
                                     static_cast<int>(number),
                                     medlar::error_number_of(result.status()));
    }

    medlar::accepted_document stored() const
    {
        return *medlar::parse_accepted_document(store_.value_of(configuration_key));
    }

    double stored_weight() const
    {
        return stored().content.organisations.at(0).weight;
    }

    std::size_t count_in_history(const std::string& id)
    {
        std::size_t count = 0;
        const auto records = service_->history();
        for (const medlar::audit_record& record : *records)
        {
            count += record.change_id == id ? 1 : 0;
        }
        return count;
    }
};

class a_change_is_accepted : public two_operator_programs
{
    CPPUNIT_TEST_SUITE(a_change_is_accepted);
    CPPUNIT_TEST(and_the_revision_rises_by_one);
    CPPUNIT_TEST(and_once_only_when_it_is_sent_again);
    CPPUNIT_TEST(unless_its_id_was_used_for_other_content);
    CPPUNIT_TEST(unless_its_content_or_names_are_invalid);
    CPPUNIT_TEST(when_it_drains_a_target);
    CPPUNIT_TEST(when_it_restores_an_earlier_content);
    CPPUNIT_TEST_SUITE_END();

    void and_the_revision_rises_by_one()
    {
        expect_accepted(1, apply("c1", 1));
        const auto second = apply("c2", 2);
        expect_accepted(2, second);
        CPPUNIT_ASSERT(second->based_on == revision(1));
        CPPUNIT_ASSERT_EQUAL(std::string("organisations.caxias.weight"),
                             second->differences.at(0).path);
        CPPUNIT_ASSERT_EQUAL(2.0, stored_weight());
    }

    void and_once_only_when_it_is_sent_again()
    {
        apply_first("c1", 1);
        apply_first("c2", 2);
        for (int again = 0; again < 2; ++again)
        {
            const auto repeated = apply("c1", 1);
            expect_accepted(1, repeated);
            CPPUNIT_ASSERT(repeated->accepted_earlier);
        }
        CPPUNIT_ASSERT(apply("c2", 2)->accepted_earlier);
        CPPUNIT_ASSERT(stored().number == revision(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_in_history("c1"));
    }

    void unless_its_id_was_used_for_other_content()
    {
        apply_first("c1", 1);
        expect_error(error_number::change_id_reused, apply("c1", 2));
        apply_first("c2", 2);
        expect_error(error_number::change_id_reused, apply("c1", 3));
        expect_error(
            error_number::change_id_reused,
            service_->change(request_by_ana("c1"), set_drained{target_id("t1"), true}));
        CPPUNIT_ASSERT(stored().number == revision(2));
    }

    void unless_its_content_or_names_are_invalid()
    {
        expect_error(error_number::out_of_range, apply("c1", -1));
        expect_error(error_number::out_of_range, apply("", 1));
        expect_error(error_number::out_of_range, apply("a\nb", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store_.size());
    }

    void when_it_drains_a_target()
    {
        apply_first("c1", 1);
        expect_accepted(
            2,
            service_->change(request_by_ana("c2"), set_drained{target_id("t2"), true}));
        CPPUNIT_ASSERT(stored().content.pools.at(0).targets.at(1).drained);
        CPPUNIT_ASSERT_EQUAL(std::string("drain target t2"),
                             service_->history()->at(0).summary);
        expect_error(
            error_number::no_such_object,
            service_->change(request_by_ana("c3"), set_drained{target_id("t9"), true}));
    }

    void when_it_restores_an_earlier_content()
    {
        apply_first("c1", 1);
        apply_first("c2", 2);
        expect_accepted(
            3, service_->change(request_by_ana("c3"), restore_revision{revision(1)}));
        CPPUNIT_ASSERT_EQUAL(1.0, stored_weight());
        CPPUNIT_ASSERT_EQUAL(2.0,
                             service_->get(revision(2))->content.organisations[0].weight);
        expect_error(
            error_number::no_such_revision,
            service_->change(request_by_ana("c4"), restore_revision{revision(9)}));
    }
};

class operators_race : public two_operator_programs
{
    CPPUNIT_TEST_SUITE(operators_race);
    CPPUNIT_TEST(and_the_loser_receives_the_differences);
    CPPUNIT_TEST(and_a_stale_expectation_is_a_conflict);
    CPPUNIT_TEST(and_drains_of_two_targets_both_take_effect);
    CPPUNIT_TEST_SUITE_END();

    void and_the_loser_receives_the_differences()
    {
        apply_first("c1", 1);
        store_.before_write = [this]
        {
            apply_by_other("b2", 5);
        };
        const auto lost = apply("c2", 2);
        expect_error(error_number::conflict, lost);
        const auto report = medlar::get_conflict_report(lost.status());
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("b2"), report->change_id);
        CPPUNIT_ASSERT_EQUAL(std::string("5.0"), report->differences.at(0).after);
        CPPUNIT_ASSERT_EQUAL(5.0, stored_weight());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_in_history("c2"));
    }

    void and_a_stale_expectation_is_a_conflict()
    {
        apply_first("c1", 1);
        apply_by_other("b2", 5);
        medlar::change_request request = request_by_ana("c2");
        request.expected = revision(1);
        expect_error(error_number::conflict,
                     service_->change(request, replace_content{small_document(2)}));
        request.expected = revision(2);
        expect_accepted(3, service_->change(request, replace_content{small_document(2)}));
    }

    void and_drains_of_two_targets_both_take_effect()
    {
        apply_first("c1", 1);
        store_.before_write = [this]
        {
            expect_accepted(
                2,
                other_->change(request_by_ana("b2"), set_drained{target_id("t1"), true}));
        };
        expect_accepted(
            3,
            service_->change(request_by_ana("c2"), set_drained{target_id("t2"), true}));
        CPPUNIT_ASSERT(stored().content.pools.at(0).targets.at(0).drained);
        CPPUNIT_ASSERT(stored().content.pools.at(0).targets.at(1).drained);
    }
};

class the_reply_to_a_change_is_lost : public two_operator_programs
{
    CPPUNIT_TEST_SUITE(the_reply_to_a_change_is_lost);
    CPPUNIT_TEST(and_its_outcome_is_determined_by_reading_back);
    CPPUNIT_TEST(and_another_change_was_accepted_after_it);
    CPPUNIT_TEST(and_it_had_no_effect);
    CPPUNIT_TEST(and_another_change_was_accepted_before_it);
    CPPUNIT_TEST(and_the_store_is_down_so_that_it_stays_unknown);
    CPPUNIT_TEST(and_sending_it_again_takes_effect_once);
    CPPUNIT_TEST(and_its_status_needs_the_base);
    CPPUNIT_TEST_SUITE_END();

    void and_its_outcome_is_determined_by_reading_back()
    {
        apply_first("c1", 1);
        store_.write_outcomes = {write_outcome::lost_after};
        expect_accepted(2, apply("c2", 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_in_history("c2"));
    }

    void and_another_change_was_accepted_after_it()
    {
        apply_first("c1", 1);
        store_.write_outcomes = {write_outcome::lost_after};
        store_.down_after_loss = true;
        CPPUNIT_ASSERT(apply("c2", 2)->state == change_state::unknown);
        store_.down = false;
        apply_by_other("b3", 3);
        expect_accepted(2, service_->status("c2", std::nullopt));
        expect_accepted(2, apply("c2", 2));
        CPPUNIT_ASSERT_EQUAL(3.0, stored_weight());
    }

    void and_it_had_no_effect()
    {
        apply_first("c1", 1);
        store_.write_outcomes = {write_outcome::lost_before};
        expect_accepted(2, apply("c2", 2));
        CPPUNIT_ASSERT_EQUAL(2.0, stored_weight());
    }

    void and_another_change_was_accepted_before_it()
    {
        apply_first("c1", 1);
        store_.write_outcomes = {write_outcome::done, write_outcome::lost_before};
        store_.before_write = [this]
        {
            apply_by_other("b2", 5);
        };
        expect_error(error_number::conflict, apply("c2", 2));
        CPPUNIT_ASSERT_EQUAL(5.0, stored_weight());
    }

    void and_the_store_is_down_so_that_it_stays_unknown()
    {
        apply_first("c1", 1);
        store_.write_outcomes = {write_outcome::lost_after};
        store_.down_after_loss = true;
        const auto lost = apply("c2", 2);
        CPPUNIT_ASSERT_MESSAGE(lost.status().ToString(), lost.ok());
        CPPUNIT_ASSERT(lost->state == change_state::unknown);
        CPPUNIT_ASSERT(lost->based_on == revision(1));
        expect_error(error_number::store_unreachable,
                     service_->status("c2", lost->based_on));
        store_.down = false;
        expect_accepted(2, other_->status("c2", lost->based_on));
    }

    void and_sending_it_again_takes_effect_once()
    {
        apply_first("c1", 1);
        store_.write_outcomes = {write_outcome::lost_after};
        store_.down_after_loss = true;
        CPPUNIT_ASSERT(apply("c2", 2)->state == change_state::unknown);
        store_.down = false;
        const auto again =
            other_->change(request_by_ana("c2"), replace_content{small_document(2)});
        expect_accepted(2, again);
        CPPUNIT_ASSERT(again->accepted_earlier);
        CPPUNIT_ASSERT(stored().number == revision(2));
    }

    void and_its_status_needs_the_base()
    {
        apply_first("c1", 1);
        store_.write_outcomes = {write_outcome::lost_before};
        store_.down_after_loss = true;
        CPPUNIT_ASSERT(apply("c2", 2)->state == change_state::unknown);
        store_.down = false;
        expect_error(error_number::change_unknown, service_->status("c2", std::nullopt));
        CPPUNIT_ASSERT(service_->status("c2", revision(1))->state ==
                       change_state::unknown);
        apply_by_other("b2", 5);
        CPPUNIT_ASSERT(service_->status("c2", revision(1))->state ==
                       change_state::not_accepted);
    }
};

class the_store_fails : public two_operator_programs
{
    CPPUNIT_TEST_SUITE(the_store_fails);
    CPPUNIT_TEST(and_nothing_is_changed_when_it_is_down);
    CPPUNIT_TEST(and_nothing_is_changed_when_it_refuses_a_write);
    CPPUNIT_TEST(and_returns_an_older_revision);
    CPPUNIT_TEST(and_is_empty_after_the_failure);
    CPPUNIT_TEST(and_a_document_above_the_lost_ones_is_accepted);
    CPPUNIT_TEST(and_contains_a_malformed_document);
    CPPUNIT_TEST_SUITE_END();

    void and_nothing_is_changed_when_it_is_down()
    {
        store_.down = true;
        expect_error(error_number::store_unreachable, apply("c1", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store_.size());
    }

    void and_nothing_is_changed_when_it_refuses_a_write()
    {
        store_.write_outcomes = {write_outcome::refused};
        expect_error(error_number::store_refused, apply("c1", 1));
        expect_accepted(1, apply("c1", 1));
    }

    void and_returns_an_older_revision()
    {
        apply_first("c1", 1);
        const std::string old = store_.value_of(configuration_key);
        apply_first("c2", 2);
        store_.set(configuration_key, old);
        expect_error(error_number::store_outdated, apply("c3", 3));
        expect_error(error_number::store_outdated, service_->get(revision(0)));
        CPPUNIT_ASSERT_EQUAL(old, store_.value_of(configuration_key));
    }

    void and_is_empty_after_the_failure()
    {
        service_->record_seen_revision(revision(40));
        expect_error(error_number::store_outdated, apply("c1", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store_.size());
    }

    void and_a_document_above_the_lost_ones_is_accepted()
    {
        service_->record_seen_revision(revision(40));
        medlar::change_request request = request_by_ana("c41");
        request.above = revision(39);
        expect_error(error_number::store_outdated,
                     service_->change(request, replace_content{small_document(1)}));
        request.above = revision(40);
        expect_accepted(41,
                        service_->change(request, replace_content{small_document(1)}));
        expect_accepted(42, apply("c42", 2));
        request = request_by_ana("c43");
        request.above = revision(5000000);
        expect_error(error_number::out_of_range,
                     service_->change(request, replace_content{small_document(1)}));
    }

    void and_contains_a_malformed_document()
    {
        store_.set(configuration_key, "[]");
        expect_error(error_number::store_malformed, apply("c1", 1));
        CPPUNIT_ASSERT_EQUAL(std::string("[]"), store_.value_of(configuration_key));
    }
};

class accepted_changes_are_audited : public two_operator_programs
{
    CPPUNIT_TEST_SUITE(accepted_changes_are_audited);
    CPPUNIT_TEST(with_author_base_time_and_differences);
    CPPUNIT_TEST(also_after_a_crash_between_the_two_writes);
    CPPUNIT_TEST(by_the_next_reader);
    CPPUNIT_TEST(up_to_a_maximum_number);
    CPPUNIT_TEST(without_the_keys_of_organisations);
    CPPUNIT_TEST_SUITE_END();

    void with_author_base_time_and_differences()
    {
        apply_first("c1", 1);
        time_.advance(medlar::millis(500));
        apply_first("c2", 2);
        const medlar::audit_record newest = service_->history()->at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("ana"), newest.author);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), newest.change_id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, newest.based_on);
        CPPUNIT_ASSERT(newest.at == medlar::wall_time(1500));
        CPPUNIT_ASSERT_EQUAL(std::string("2.0"), newest.differences.at(0).after);
    }

    void also_after_a_crash_between_the_two_writes()
    {
        store_.audit_down = true;
        expect_accepted(1, apply("c1", 1));
        store_.audit_down = false;
        apply_by_other("b2", 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_in_history("c1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_in_history("b2"));
        CPPUNIT_ASSERT_EQUAL(1.0,
                             service_->get(revision(1))->content.organisations[0].weight);
    }

    void by_the_next_reader()
    {
        store_.audit_down = true;
        apply_first("c1", 1);
        expect_error(error_number::store_unreachable, apply("c2", 2));
        CPPUNIT_ASSERT(stored().number == revision(1));
        store_.audit_down = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_in_history("c1"));
    }

    void up_to_a_maximum_number()
    {
        for (int each = 1; each <= 9; ++each)
        {
            expect_accepted(each, apply("c" + std::to_string(each), each));
        }
        const auto kept = *service_->history();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, kept.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c9"), kept.front().change_id);
        CPPUNIT_ASSERT_EQUAL(std::string("c6"), kept.back().change_id);
        expect_error(error_number::no_such_revision, service_->get(revision(5)));
    }

    void without_the_keys_of_organisations()
    {
        apply_first("c1", 1);
        apply_first("c2", 2);
        const auto folder = store_.list("medlar/audit/");
        for (const medlar::store_entry& entry : folder->entries)
        {
            CPPUNIT_ASSERT(!absl::StrContains(entry.value, "secret"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_change_is_accepted);
CPPUNIT_TEST_SUITE_REGISTRATION(operators_race);
CPPUNIT_TEST_SUITE_REGISTRATION(the_reply_to_a_change_is_lost);
CPPUNIT_TEST_SUITE_REGISTRATION(the_store_fails);
CPPUNIT_TEST_SUITE_REGISTRATION(accepted_changes_are_audited);

} // namespace
