#include "documents.hpp"

#include <medlar/detail/base/error.hpp>
#include <medlar/detail/config/json.hpp>
#include <medlar/detail/operators/schema.hpp>

#include <absl/strings/match.h>
#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/compiler/importer.h>
#include <google/protobuf/descriptor.pb.h>

#include <string>

namespace
{

using google::protobuf::FileDescriptorProto;

/// @brief keeps the first error of reading a schema file
class error_text : public google::protobuf::compiler::MultiFileErrorCollector
{
  public:
    void AddError(const std::string& file,
                  int line,
                  int /*column*/,
                  const std::string& message) override
    {
        text += file + ":" + std::to_string(line) + ": " + message + "\n";
    }

    std::string text;
};

class the_schema : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_schema);
    CPPUNIT_TEST(is_that_of_the_committed_code);
    CPPUNIT_TEST_SUITE_END();

    void is_that_of_the_committed_code()
    {
        google::protobuf::compiler::DiskSourceTree tree;
        tree.MapPath("", std::string(MEDLAR_SOURCE_DIR) + "/proto");
        error_text errors;
        google::protobuf::compiler::Importer importer(&tree, &errors);
        const auto* parsed = importer.Import("medlar.proto");
        CPPUNIT_ASSERT_MESSAGE(errors.text, parsed != nullptr);
        FileDescriptorProto of_file;
        parsed->CopyTo(&of_file);
        FileDescriptorProto of_code;
        medlar::v1::Document::descriptor()->file()->CopyTo(&of_code);
        CPPUNIT_ASSERT_EQUAL(of_file.DebugString(), of_code.DebugString());
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
