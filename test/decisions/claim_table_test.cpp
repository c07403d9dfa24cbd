#include <medlar/detail/ownership/claim_table.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class claims : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(claims);
    CPPUNIT_TEST(a_second_opening_joins_the_first);
    CPPUNIT_TEST(another_body_is_told_apart);
    CPPUNIT_TEST(a_finished_claim_keeps_its_answer);
    CPPUNIT_TEST(a_withdrawn_claim_may_be_opened_again);
    CPPUNIT_TEST(a_received_answer_replaces_running_only);
    CPPUNIT_TEST(only_finished_claims_expire);
    CPPUNIT_TEST(a_full_table_has_no_room);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override
    {
        table_ = claim_table::create(millis(1000), byte_count(4000));
    }

  private:
    static claim make(const std::string& id, const std::string& body)
    {
        claim made;
        made.key = {organisation_id("o"), request_id(id)};
        made.digest = digest_of(body);
        made.issued_at = wall_time(100);
        made.runner = incarnation(1);
        return made;
    }

    static final_answer answer(const std::string& output)
    {
        final_answer made;
        made.result.kind = outcome_kind::answered;
        made.output = output;
        return made;
    }

    void a_second_opening_joins_the_first()
    {
        CPPUNIT_ASSERT(table_->open(make("a", "x")).state == claim_state::opened);
        CPPUNIT_ASSERT(table_->open(make("a", "x")).state == claim_state::running);
    }

    void another_body_is_told_apart()
    {
        table_->open(make("a", "x"));
        CPPUNIT_ASSERT(table_->open(make("a", "y")).state == claim_state::mismatched);
    }

    void a_finished_claim_keeps_its_answer()
    {
        const claim one = make("a", "x");
        table_->open(one);
        table_->finish(one.key, answer("whole"));
        const claim_lookup again = table_->open(one);
        CPPUNIT_ASSERT(again.state == claim_state::finished);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), again.found.answer->output);
    }

    void a_withdrawn_claim_may_be_opened_again()
    {
        const claim one = make("a", "x");
        table_->open(one);
        table_->withdraw(one.key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, table_->bytes().get());
        CPPUNIT_ASSERT(table_->open(one).state == claim_state::opened);
    }

    void a_received_answer_replaces_running_only()
    {
        claim one = make("a", "x");
        table_->merge(one);
        one.answer = answer("first");
        table_->merge(one);
        one.answer = answer("second");
        table_->merge(one);
        one.answer.reset();
        table_->merge(one);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), table_->find(one.key)->answer->output);
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

    void a_full_table_has_no_room()
    {
        const claim one = make("a", "x");
        table_->open(one);
        CPPUNIT_ASSERT(table_->has_room());
        table_->finish(one.key, answer(std::string(4000, 'x')));
        CPPUNIT_ASSERT(!table_->has_room());
    }

    std::unique_ptr<claim_table> table_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims);

} // namespace
