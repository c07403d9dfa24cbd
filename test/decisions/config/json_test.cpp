#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using medlar::document;
using medlar::error_number;

/// @brief a valid document with two pools, one pipeline and two organisations
const std::string valid = R"({
    "pools": [
        {"name": "engines", "model": "m", "checks_fencing": true, "targets": [
            {"name": "e1", "address": "127.0.0.1", "port": 7100, "failure_domain": "a"}]},
        {"name": "ledger", "reports_load": true, "targets": [
            {"name": "l1", "address": "::1", "port": 7200, "failure_domain": "b",
             "drained": true}]}],
    "pipelines": [
        {"name": "post", "default_deadline_ms": 9000, "organisations": ["caxias"],
         "objective": "cost", "stages": [
            {"name": "read", "kind": "encode", "pool": "engines"},
            {"name": "draft", "kind": "generate", "pool": "engines", "after": ["read"],
             "max_tokens": 64},
            {"name": "book", "kind": "call", "pool": "ledger", "after": ["draft"],
             "idempotent": false}]}],
    "organisations": [{"name": "caxias", "weight": 2.5, "key": "k"},
                      {"name": "joinville"}]
})";

/// @brief Parses the valid document with a part of its text replaced.
absl::Status parse_with(const std::string& part, const std::string& replacement)
{
    CPPUNIT_ASSERT_MESSAGE(part, absl::StrContains(valid, part));
    return medlar::parse_document(absl::StrReplaceAll(valid, {{part, replacement}}))
        .status();
}

void expect_error(error_number number, absl::string_view path, const absl::Status& status)
{
    const std::string message(status.message());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
        message, static_cast<int>(number), medlar::error_number_of(status));
    CPPUNIT_ASSERT_MESSAGE(message, absl::StrContains(message, path));
}

class a_document_is_read : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_document_is_read);
    CPPUNIT_TEST(with_its_fields_and_defaults);
    CPPUNIT_TEST(and_written_back_to_an_equal_one);
    CPPUNIT_TEST(with_the_change_that_was_accepted);
    CPPUNIT_TEST_SUITE_END();

    void with_its_fields_and_defaults()
    {
        const absl::StatusOr<document> read = medlar::parse_document(valid);
        CPPUNIT_ASSERT_MESSAGE(read.status().ToString(), read.ok());
        const medlar::pipeline& post = read->pipelines.at(0);
        CPPUNIT_ASSERT(post.stages.at(1).kind == medlar::stage_kind::generate);
        CPPUNIT_ASSERT(post.stages.at(1).max_tokens == medlar::token_count(64));
        CPPUNIT_ASSERT(!post.stages.at(0).idempotent.has_value());
        CPPUNIT_ASSERT(post.stages.at(2).idempotent == false);
        CPPUNIT_ASSERT(post.objective == medlar::objective_kind::cost);
        CPPUNIT_ASSERT(post.retries == medlar::retry_policy::budgeted);
        CPPUNIT_ASSERT(post.max_deadline == medlar::millis(60000));
        CPPUNIT_ASSERT(read->pools.at(1).targets.at(0).drained);
        CPPUNIT_ASSERT_EQUAL(1.0, read->organisations.at(1).weight);
    }

    void and_written_back_to_an_equal_one()
    {
        const std::string text = medlar::write_document(*medlar::parse_document(valid));
        const absl::StatusOr<document> again = medlar::parse_document(text);
        CPPUNIT_ASSERT_MESSAGE(again.status().ToString(), again.ok());
        CPPUNIT_ASSERT_EQUAL(text, medlar::write_document(*again));
        CPPUNIT_ASSERT(again->pipelines.at(0).stages.at(2).idempotent == false);
    }

    void with_the_change_that_was_accepted()
    {
        medlar::accepted_document accepted;
        accepted.number = medlar::revision(7);
        accepted.change_id = "c7";
        accepted.author = "ana";
        accepted.summary = "apply";
        accepted.accepted_at = medlar::wall_time(1234);
        accepted.content = *medlar::parse_document(valid);
        const std::string text = medlar::write_accepted_document(accepted);
        const auto again = medlar::parse_accepted_document(text);
        CPPUNIT_ASSERT_MESSAGE(again.status().ToString(), again.ok());
        CPPUNIT_ASSERT_EQUAL(text, medlar::write_accepted_document(*again));
        CPPUNIT_ASSERT(again->number == medlar::revision(7));
        expect_error(
            error_number::missing_field,
            "content",
            medlar::parse_accepted_document(
                R"({"revision":1,"change_id":"","author":"","accepted_at_ms":0})")
                .status());
    }
};

class bad_text_is_refused : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(bad_text_is_refused);
    CPPUNIT_TEST(when_it_is_not_json);
    CPPUNIT_TEST(when_it_is_not_utf8);
    CPPUNIT_TEST(when_it_is_nested_too_deeply);
    CPPUNIT_TEST(when_it_is_too_long);
    CPPUNIT_TEST(when_a_field_is_duplicated);
    CPPUNIT_TEST_SUITE_END();

    void when_it_is_not_json()
    {
        for (const char* text : {"", "{", "{} {}", "nul", "{\"pools\": [1,]}"})
        {
            expect_error(
                error_number::not_json, "", medlar::parse_document(text).status());
        }
        expect_error(
            error_number::wrong_type, "document", medlar::parse_document("[]").status());
    }

    void when_it_is_not_utf8()
    {
        expect_error(error_number::not_json, "UTF-8", parse_with("caxias", "\xff\xfe"));
    }

    void when_it_is_nested_too_deeply()
    {
        const std::string deep =
            "{\"pools\":" + std::string(200000, '[') + std::string(200000, ']') + "}";
        expect_error(
            error_number::not_json, "nested", medlar::parse_document(deep).status());
    }

    void when_it_is_too_long()
    {
        const std::string text = "{}" + std::string(1000001, ' ');
        expect_error(error_number::document_too_large,
                     "bytes",
                     medlar::parse_document(text).status());
    }

    void when_a_field_is_duplicated()
    {
        expect_error(error_number::duplicate_name,
                     "weight",
                     parse_with("\"weight\": 2.5", "\"weight\": 2.5, \"weight\": 1"));
    }
};

class a_bad_field_is_named : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_bad_field_is_named);
    CPPUNIT_TEST(when_it_is_unknown);
    CPPUNIT_TEST(when_it_is_missing);
    CPPUNIT_TEST(when_it_has_another_type);
    CPPUNIT_TEST(when_it_is_out_of_range);
    CPPUNIT_TEST_SUITE_END();

    void when_it_is_unknown()
    {
        expect_error(error_number::unknown_field,
                     "pipelines[0].stages[2].idempotnet: ",
                     parse_with("\"idempotent\"", "\"idempotnet\""));
        expect_error(error_number::unknown_field,
                     "poools: ",
                     parse_with("\"pools\"", "\"poools\""));
    }

    void when_it_is_missing()
    {
        expect_error(error_number::missing_field,
                     "pools[0].targets[0].port",
                     parse_with("\"port\": 7100, ", ""));
        expect_error(error_number::missing_field,
                     "pipelines[0].stages[0].kind",
                     parse_with("\"kind\": \"encode\", ", ""));
    }

    void when_it_has_another_type()
    {
        const auto wrong = error_number::wrong_type;
        expect_error(wrong, "pools[0].targets[0].port", parse_with("7100", "\"7100\""));
        expect_error(wrong, "pools[0].targets[0].port", parse_with("7100", "7100.5"));
        expect_error(wrong, "organisations[0].weight", parse_with("2.5", "true"));
        expect_error(
            wrong, "pipelines[0].organisations[0]", parse_with("[\"caxias\"]", "[4]"));
        expect_error(
            wrong, "pipelines[0].stages[1].after", parse_with("[\"read\"]", "{}"));
        expect_error(
            wrong, "organisations[1]", parse_with("{\"name\": \"joinville\"}", "3"));
        expect_error(wrong,
                     "pools[1].targets[0].drained",
                     parse_with("\"drained\": true", "\"drained\": 1"));
    }

    void when_it_is_out_of_range()
    {
        const auto range = error_number::out_of_range;
        expect_error(range, "pools[0].targets[0].port", parse_with("7100", "0"));
        expect_error(range, "pools[0].targets[0].port", parse_with("7100", "65536"));
        expect_error(
            range, "targets[0].port", parse_with("7100", "18446744073709551615"));
        expect_error(range, "targets[0].address", parse_with("127.0.0.1", "localhost"));
        expect_error(range, "organisations[0].weight", parse_with("2.5", "0"));
        expect_error(range, "organisations[0].weight", parse_with("2.5", "-1"));
        expect_error(range, "default_deadline_ms", parse_with("9000", "0"));
        expect_error(range, "default_deadline_ms", parse_with("9000", "60001"));
        expect_error(range, "max_tokens", parse_with("64", "-1"));
        expect_error(
            range, "pipelines[0].objective", parse_with("\"cost\"", "\"cheap\""));
        expect_error(range, "organisations[1].name", parse_with("joinville", "a/b"));
        expect_error(range, "organisations[1].name", parse_with("joinville", ""));
    }
};

class a_document_is_validated : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_document_is_validated);
    CPPUNIT_TEST(against_unknown_kinds_and_stages);
    CPPUNIT_TEST(against_cycles);
    CPPUNIT_TEST(against_unknown_references);
    CPPUNIT_TEST(against_duplicate_names);
    CPPUNIT_TEST(against_too_few_and_too_many_stages);
    CPPUNIT_TEST_SUITE_END();

    void against_unknown_kinds_and_stages()
    {
        const auto unknown = error_number::unknown_stage;
        expect_error(unknown,
                     "pipelines[0].stages[0].kind",
                     parse_with("\"encode\"", "\"embed\""));
        expect_error(unknown,
                     "pipelines[0].stages[1].after[0]",
                     parse_with("[\"read\"]", "[\"x\"]"));
    }

    void against_cycles()
    {
        const auto cycle = error_number::stage_cycle;
        expect_error(cycle,
                     "pipelines[0].stages[1].after",
                     parse_with("[\"read\"]", "[\"book\", \"read\"]"));
        expect_error(cycle, "stages[2].after", parse_with("[\"draft\"]", "[\"book\"]"));
    }

    void against_unknown_references()
    {
        const auto unknown = error_number::unknown_reference;
        expect_error(unknown,
                     "pipelines[0].stages[2].pool",
                     parse_with("\"pool\": \"ledger\"", "\"pool\": \"books\""));
        expect_error(unknown,
                     "pipelines[0].organisations[0]",
                     parse_with("[\"caxias\"]", "[\"serra\"]"));
    }

    void against_duplicate_names()
    {
        const auto duplicate = error_number::duplicate_name;
        expect_error(
            duplicate, "organisations[1].name", parse_with("joinville", "caxias"));
        expect_error(
            duplicate, "pools[1].targets[0].name", parse_with("\"l1\"", "\"e1\""));
        expect_error(duplicate,
                     "pools[1].name",
                     parse_with("{\"name\": \"ledger\"", "{\"name\": \"engines\""));
        expect_error(duplicate,
                     "pipelines[0].stages[1].name",
                     parse_with("\"name\": \"draft\"", "\"name\": \"read\""));
    }

    void against_too_few_and_too_many_stages()
    {
        document content = *medlar::parse_document(valid);
        content.pipelines[0].stages.resize(2);
        expect_error(
            error_number::out_of_range, "pipelines[0].stages", medlar::validate(content));
        content = *medlar::parse_document(valid);
        for (int extra = 0; extra < 4; ++extra)
        {
            content.pipelines[0].stages.push_back(content.pipelines[0].stages[0]);
        }
        expect_error(
            error_number::out_of_range, "pipelines[0].stages", medlar::validate(content));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(a_document_is_read);
CPPUNIT_TEST_SUITE_REGISTRATION(bad_text_is_refused);
CPPUNIT_TEST_SUITE_REGISTRATION(a_bad_field_is_named);
CPPUNIT_TEST_SUITE_REGISTRATION(a_document_is_validated);

} // namespace
