#include "build_paths.hpp"
#include "documents.hpp"

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/descriptor.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <utility>

namespace
{

/// @brief Returns the definitions in a schema file, without comments and layout.
std::multiset<std::string> definitions_of(std::string text)
{
    text = std::regex_replace(text, std::regex("//[^\n]*"), " ");
    text = std::regex_replace(text, std::regex("\\.medlar\\.v1\\."), "");
    text = std::regex_replace(text, std::regex("\\s*([{};=(),])\\s*"), "$1");
    text = std::regex_replace(text, std::regex("\\s+"), " ");
    std::multiset<std::string> definitions;
    std::string definition;
    int depth = 0;
    for (const char character : text)
    {
        definition += character;
        depth += character == '{' ? 1 : 0;
        depth -= character == '}' ? 1 : 0;
        if (depth == 0 && (character == ';' || character == '}'))
        {
            definitions.insert(std::string(absl::StripAsciiWhitespace(definition)));
            definition.clear();
        }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         std::string(absl::StripAsciiWhitespace(definition)));
    definitions.erase(";");
    return definitions;
}

std::string read_schema()
{
    std::ifstream in(std::string(MEDLAR_SOURCE_DIR) + "/proto/medlar.proto");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Compares the schema file with the descriptor in the committed generated code, printed
/// as a schema file. protobuf's parser of schema files is in a package that the build
/// does not depend on.
class the_schema : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_schema);
    CPPUNIT_TEST(is_that_of_the_committed_code);
    CPPUNIT_TEST(differs_when_a_field_differs);
    CPPUNIT_TEST_SUITE_END();

    static std::multiset<std::string> of_code()
    {
        return definitions_of(medlar::v1::Document::descriptor()->file()->DebugString());
    }

    void is_that_of_the_committed_code()
    {
        const std::multiset<std::string> of_file = definitions_of(read_schema());
        const std::multiset<std::string> committed = of_code();
        CPPUNIT_ASSERT(of_file.size() > 30);
        for (const std::string& each : of_file)
        {
            CPPUNIT_ASSERT_MESSAGE("not in src/generated: " + each,
                                   committed.count(each) == 1);
        }
        CPPUNIT_ASSERT_EQUAL(committed.size(), of_file.size());
    }

    void differs_when_a_field_differs()
    {
        for (const auto& [from, to] : {std::pair("= 1;", "= 99;"),
                                       std::pair("uint64 revision", "uint32 revision"),
                                       std::pair("optional bool", "bool"),
                                       std::pair("rpc Get(", "rpc Fetch(")})
        {
            std::string changed = read_schema();
            const std::size_t at = changed.find(from);
            CPPUNIT_ASSERT(at != std::string::npos);
            changed.replace(at, std::string(from).size(), to);
            CPPUNIT_ASSERT(definitions_of(changed) != of_code());
        }
    }
};

class a_document_as_a_message : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(a_document_as_a_message);
    CPPUNIT_TEST(is_read_back_to_an_equal_one);
    CPPUNIT_TEST(gets_the_defaults_of_fields_left_out);
    CPPUNIT_TEST(is_refused_with_values_that_do_not_exist);
    CPPUNIT_TEST_SUITE_END();

    static medlar::document varied()
    {
        medlar::document content = medlar::test::small_document();
        medlar::pipeline& post = content.pipelines[0];
        post.stages[1].kind = medlar::stage_kind::call;
        post.stages[1].idempotent = false;
        post.stages[2].kind = medlar::stage_kind::generate;
        post.stages[2].after = {"read", "rank"};
        post.stages[2].max_tokens = medlar::token_count(7);
        post.organisations = {content.organisations[0].name};
        post.objective = medlar::objective_kind::cost;
        post.routing = medlar::routing_policy::round_robin;
        post.admission = medlar::admission_policy::none;
        post.retries = medlar::retry_policy::never;
        post.max_tries = 2;
        content.pools[0].targets[1].drained = true;
        content.pools[0].model = medlar::model_id("m");
        return content;
    }

    void is_read_back_to_an_equal_one()
    {
        const auto again = medlar::from_message(medlar::to_message(varied()));
        CPPUNIT_ASSERT_MESSAGE(again.status().ToString(), again.ok());
        CPPUNIT_ASSERT_EQUAL(medlar::write_document(varied()),
                             medlar::write_document(*again));
    }

    void gets_the_defaults_of_fields_left_out()
    {
        medlar::v1::Document message;
        message.add_pipelines()->add_stages()->set_kind(medlar::v1::STAGE_KIND_RERANK);
        message.add_organisations();
        const auto content = medlar::from_message(message);
        CPPUNIT_ASSERT_MESSAGE(content.status().ToString(), content.ok());
        const medlar::pipeline defaults;
        const medlar::pipeline& read = content->pipelines[0];
        CPPUNIT_ASSERT(read.default_deadline == defaults.default_deadline);
        CPPUNIT_ASSERT_EQUAL(defaults.max_tries, read.max_tries);
        CPPUNIT_ASSERT(read.retries == defaults.retries);
        CPPUNIT_ASSERT(!read.stages[0].idempotent.has_value());
        CPPUNIT_ASSERT_EQUAL(1.0, content->organisations[0].weight);
    }

    void is_refused_with_values_that_do_not_exist()
    {
        medlar::v1::Document message = medlar::to_message(varied());
        message.mutable_pipelines(0)->mutable_stages(1)->clear_kind();
        expect_error(medlar::error_number::unknown_stage, "stages[1].kind", message);
        message = medlar::to_message(varied());
        message.mutable_pipelines(0)->set_retries(
            static_cast<medlar::v1::RetryPolicy>(9));
        expect_error(medlar::error_number::out_of_range, "retries", message);
        message = medlar::to_message(varied());
        message.mutable_pools(0)->mutable_targets(0)->set_port(70000);
        expect_error(medlar::error_number::out_of_range, "targets[0].port", message);
    }

    static void expect_error(medlar::error_number number,
                             const std::string& field,
                             const medlar::v1::Document& message)
    {
        const absl::Status status = medlar::from_message(message).status();
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(number), medlar::error_number_of(status));
        CPPUNIT_ASSERT(absl::StrContains(status.message(), field));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_schema);
CPPUNIT_TEST_SUITE_REGISTRATION(a_document_as_a_message);

} // namespace
