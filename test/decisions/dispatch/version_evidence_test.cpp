#include <medlar/detail/dispatch/version_evidence.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace
{

using namespace medlar;

const std::vector<host_id> two_others{host_id("host-1"), host_id("host-2")};
const std::vector<host_id> three_others{
    host_id("host-1"), host_id("host-2"), host_id("host-3")};

void expect(version_evidence expected, version_evidence got)
{
    CPPUNIT_ASSERT_EQUAL(std::string(to_string(expected)), std::string(to_string(got)));
}

/// Load: streams that are taken up at a host that may have missed a version.
class the_evidence_of_versions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_evidence_of_versions);
    CPPUNIT_TEST(is_missing_at_a_host_that_nobody_answers);
    CPPUNIT_TEST(is_missing_when_only_hosts_that_may_be_cut_off_have_answered);
    CPPUNIT_TEST(is_a_copy_that_was_confirmed);
    CPPUNIT_TEST(is_an_answer_of_a_host_whose_copy_was_confirmed);
    CPPUNIT_TEST(is_an_answer_of_all_hosts_if_the_store_is_away);
    CPPUNIT_TEST(is_missing_while_a_host_is_silent);
    CPPUNIT_TEST(allows_for_hosts_that_have_ended_if_most_answer);
    CPPUNIT_TEST(is_missing_where_most_hosts_refuse_connections);
    CPPUNIT_TEST_SUITE_END();

  public:
    void is_missing_at_a_host_that_nobody_answers()
    {
        const version_inquiry inquiry;
        expect(version_evidence::none, inquiry.evidence(two_others, false));
        expect(version_evidence::none, inquiry.evidence(two_others, true));
    }

    void is_missing_when_only_hosts_that_may_be_cut_off_have_answered()
    {
        version_inquiry inquiry;
        inquiry.record_answer(host_id("host-1"), false);
        expect(version_evidence::none, inquiry.evidence(two_others, true));
        inquiry.record_answer(host_id("host-2"), false);
        // while the store answers, it may name hosts that are not known here
        expect(version_evidence::none, inquiry.evidence(two_others, false));
    }

    void is_a_copy_that_was_confirmed()
    {
        version_inquiry inquiry;
        inquiry.record_current_copy();
        expect(version_evidence::store, inquiry.evidence(two_others, false));
    }

    void is_an_answer_of_a_host_whose_copy_was_confirmed()
    {
        version_inquiry inquiry;
        inquiry.record_answer(host_id("host-1"), false);
        inquiry.record_answer(host_id("host-2"), true);
        expect(version_evidence::host, inquiry.evidence(three_others, true));
    }

    void is_an_answer_of_all_hosts_if_the_store_is_away()
    {
        version_inquiry inquiry;
        inquiry.record_answer(host_id("host-1"), false);
        inquiry.record_answer(host_id("host-2"), false);
        expect(version_evidence::all_hosts, inquiry.evidence(two_others, true));
        expect(version_evidence::all_hosts, version_inquiry().evidence({}, true));
    }

    void is_missing_while_a_host_is_silent()
    {
        version_inquiry inquiry;
        inquiry.record_answer(host_id("host-1"), false);
        inquiry.record_answer(host_id("host-2"), false);
        expect(version_evidence::none, inquiry.evidence(three_others, true));
    }

    void allows_for_hosts_that_have_ended_if_most_answer()
    {
        version_inquiry inquiry;
        inquiry.record_answer(host_id("host-1"), false);
        inquiry.record_refused(host_id("host-2"));
        expect(version_evidence::all_hosts, inquiry.evidence(two_others, true));
        inquiry.record_answer(host_id("host-2"), false);
        expect(version_evidence::all_hosts, inquiry.evidence(two_others, true));
    }

    void is_missing_where_most_hosts_refuse_connections()
    {
        version_inquiry inquiry;
        inquiry.record_answer(host_id("host-1"), false);
        inquiry.record_refused(host_id("host-2"));
        inquiry.record_refused(host_id("host-3"));
        expect(version_evidence::none, inquiry.evidence(three_others, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_evidence_of_versions);

} // namespace
