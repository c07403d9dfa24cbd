#include <medlar/detail/ownership/claim_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class claims : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims);
    CPPUNIT_TEST(reopening_a_running_claim_reports_it_as_running);
    CPPUNIT_TEST(another_body_is_a_mismatch);
    CPPUNIT_TEST(reopening_a_finished_claim_returns_its_answer);
    CPPUNIT_TEST(a_withdrawn_claim_may_be_opened_again);
    CPPUNIT_TEST(a_merged_answer_replaces_only_a_running_claim);
    CPPUNIT_TEST(only_finished_claims_expire);
    CPPUNIT_TEST(a_full_table_has_no_capacity);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        table_ = claim_table::create(millis(1000), byte_count(4000));
    }

  private:
    static claim make(const std::string& id, const std::string& body)
    {
        claim created;
        created.key = {organisation_id("o"), request_id(id)};
        created.digest = digest_of(body);
        created.issued_at = wall_time(100);
        created.runner = incarnation(1);
        return created;
    }

    static final_answer answer(const std::string& output)
    {
        final_answer created;
        created.result.kind = outcome_kind::answered;
        created.output = output;
        return created;
    }

    void reopening_a_running_claim_reports_it_as_running()
    {
        CPPUNIT_ASSERT(table_->open(make("a", "x")).state == claim_state::opened);
        CPPUNIT_ASSERT(table_->open(make("a", "x")).state == claim_state::running);
    }

    void another_body_is_a_mismatch()
    {
        table_->open(make("a", "x"));
        CPPUNIT_ASSERT(table_->open(make("a", "y")).state == claim_state::mismatched);
    }

    void reopening_a_finished_claim_returns_its_answer()
    {
        const claim sample = make("a", "x");
        table_->open(sample);
        table_->finish(sample.key, answer("whole"));
        const claim_lookup reopened = table_->open(sample);
        CPPUNIT_ASSERT(reopened.state == claim_state::finished);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), reopened.found.answer->output);
    }

    void a_withdrawn_claim_may_be_opened_again()
    {
        const claim sample = make("a", "x");
        table_->open(sample);
        table_->withdraw(sample.key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, table_->bytes().get());
        CPPUNIT_ASSERT(table_->open(sample).state == claim_state::opened);
    }

    void a_merged_answer_replaces_only_a_running_claim()
    {
        claim sample = make("a", "x");
        table_->merge(sample);
        sample.answer = answer("first");
        table_->merge(sample);
        sample.answer = answer("second");
        table_->merge(sample);
        sample.answer.reset();
        table_->merge(sample);
        CPPUNIT_ASSERT_EQUAL(std::string("first"),
                             table_->find(sample.key)->answer->output);
    }

    void only_finished_claims_expire()
    {
        const claim running = make("a", "x");
        const claim finished = make("b", "x");
        table_->open(running);
        table_->open(finished);
        table_->finish(finished.key, answer("whole"));
        table_->expire(wall_time(1100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table_->size());
        table_->expire(wall_time(1101));
        CPPUNIT_ASSERT(table_->find(running.key).has_value());
        CPPUNIT_ASSERT(!table_->find(finished.key).has_value());
    }

    void a_full_table_has_no_capacity()
    {
        const claim sample = make("a", "x");
        table_->open(sample);
        CPPUNIT_ASSERT(table_->has_capacity());
        table_->finish(sample.key, answer(std::string(4000, 'x')));
        CPPUNIT_ASSERT(!table_->has_capacity());
    }

    std::unique_ptr<claim_table> table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims);

} // namespace
