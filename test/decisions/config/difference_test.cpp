#include <medlar/detail/config/audit_record.hpp>
#include <medlar/detail/config/difference.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using medlar::difference;
using medlar::document;

class documents_are_compared : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(documents_are_compared);
    CPPUNIT_TEST(field_by_field);
    CPPUNIT_TEST(and_keys_are_masked);
    CPPUNIT_TEST(including_the_order_of_stages);
    CPPUNIT_TEST(and_a_long_list_is_truncated);
    CPPUNIT_TEST_SUITE_END();

    static document base()
    {
        document content;
        medlar::pool engines;
        engines.name = medlar::pool_id("engines");
        engines.targets.push_back({medlar::target_id("t1"),
                                   "127.0.0.1",
                                   7100,
                                   medlar::failure_domain_id("a"),
                                   false});
        content.pools = {engines};
        medlar::pipeline post;
        post.name = medlar::pipeline_id("post");
        post.stages.resize(2);
        post.stages[0].name = "read";
        post.stages[1].name = "book";
        content.pipelines = {post};
        content.organisations = {{medlar::organisation_id("caxias"), 1.0, "secret"}};
        return content;
    }

    void field_by_field()
    {
        document changed = base();
        changed.pools[0].targets[0].drained = true;
        changed.organisations.push_back({medlar::organisation_id("serra"), 2.0, ""});
        CPPUNIT_ASSERT(medlar::differences_between(base(), base()).empty());
        const auto found = medlar::differences_between(base(), changed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
        CPPUNIT_ASSERT_EQUAL(std::string("organisations.serra"), found[0].path);
        CPPUNIT_ASSERT_EQUAL(std::string(), found[0].before);
        CPPUNIT_ASSERT_EQUAL(std::string("pools.engines.targets.t1.drained"),
                             found[1].path);
        CPPUNIT_ASSERT_EQUAL(std::string("false"), found[1].before);
        CPPUNIT_ASSERT_EQUAL(std::string("true"), found[1].after);
    }

    void and_keys_are_masked()
    {
        document changed = base();
        changed.organisations[0].key = "other secret";
        for (const document& before : {base(), document()})
        {
            const auto found = medlar::differences_between(before, changed);
            CPPUNIT_ASSERT(!found.empty());
            for (const difference& each : found)
            {
                const std::string text = each.before + each.after;
                CPPUNIT_ASSERT_EQUAL(std::string::npos, text.find("secret"));
            }
        }
    }

    void including_the_order_of_stages()
    {
        document changed = base();
        std::swap(changed.pipelines[0].stages[0], changed.pipelines[0].stages[1]);
        const auto found = medlar::differences_between(base(), changed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT_EQUAL(std::string("pipelines.post.stages.order"), found[0].path);
        CPPUNIT_ASSERT(medlar::digest_of(base()) != medlar::digest_of(changed));
        CPPUNIT_ASSERT_EQUAL(medlar::digest_of(base()), medlar::digest_of(base()));
    }

    void and_a_long_list_is_truncated()
    {
        const std::vector<difference> differences(5, difference{"a", "", ""});
        const auto truncated = medlar::truncate_differences(differences, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, truncated.size());
        CPPUNIT_ASSERT_EQUAL(std::string("(3 more)"), truncated.back().path);
    }
};

class an_audit_record : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(an_audit_record);
    CPPUNIT_TEST(is_read_as_it_was_written);
    CPPUNIT_TEST_SUITE_END();

    void is_read_as_it_was_written()
    {
        medlar::audit_record record;
        record.kind = medlar::audit_kind::view;
        record.number = 4;
        record.change_id = "c";
        record.at = medlar::wall_time(9);
        record.differences = {{"p", "1", "2"}};
        const std::string text = medlar::write_audit_record(record);
        const auto parsed = medlar::parse_audit_record(text);
        CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
        CPPUNIT_ASSERT_EQUAL(text, medlar::write_audit_record(*parsed));
        CPPUNIT_ASSERT(!medlar::parse_audit_record("{\"kind\": \"x\"}").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(documents_are_compared);
CPPUNIT_TEST_SUITE_REGISTRATION(an_audit_record);

} // namespace
