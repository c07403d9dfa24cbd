#include "platform/adapter.hpp"

#include <medlar/detail/dispatch/cold_target.hpp>

#include <absl/strings/str_cat.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

class odd_statements_that_a_target_is_cold : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_statements_that_a_target_is_cold);
    CPPUNIT_TEST(are_ignored_or_cut_where_they_are_no_sensible_number);
    CPPUNIT_TEST(of_pools_are_ignored_or_cut_without_losing_the_configuration);
    CPPUNIT_TEST_SUITE_END();

  public:
    void are_ignored_or_cut_where_they_are_no_sensible_number()
    {
        const platform::adapter protocol;
        for (const char* const value : {"-1", "\"soon\"", "1e300", "[]", "900000"})
        {
            const auto record = protocol.read_target(
                target_id("i-1"),
                absl::StrCat(
                    R"({"service":"p","zone":"a","version":"v","state":"ready",)",
                    R"("address":"127.0.0.1:1","cold_ms":)",
                    value,
                    "}"));
            CPPUNIT_ASSERT_MESSAGE(value, record.ok());
            CPPUNIT_ASSERT_EQUAL(std::string("cold_ms"), record->unusable_field);
            CPPUNIT_ASSERT(!record->cold || *record->cold == max_cold_time);
        }
        for (const char* const value : {"", "-5", "soon", "nan", "1e999"})
        {
            answer_head head;
            head.headers.add("Cold-Ms", value);
            const answer_fields answer = protocol.read_answer(head);
            CPPUNIT_ASSERT_MESSAGE(value, answer.is_cold_malformed);
            CPPUNIT_ASSERT(!answer.cold || *answer.cold == max_cold_time);
        }
    }

    void of_pools_are_ignored_or_cut_without_losing_the_configuration()
    {
        const platform::adapter protocol;
        for (const char* const value : {"-1", "\"5\"", "{}", "true", "1e300"})
        {
            const auto read = protocol.read_configuration(
                absl::StrCat(R"({"version":1,"services":[{"name":"p","cold_per_s":)",
                             value,
                             R"(,"cold_start_s":)",
                             value,
                             "}]}"));
            CPPUNIT_ASSERT_MESSAGE(value, read.ok());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->unusable_values.size());
            const cold_rule& rule = read->find_pool(pool_id("p"))->cold;
            CPPUNIT_ASSERT(rule.per_s == 0 || rule.per_s == max_cold_per_s);
            CPPUNIT_ASSERT(rule.after_start == millis(0) ||
                           rule.after_start == max_cold_time);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_statements_that_a_target_is_cold);

} // namespace
