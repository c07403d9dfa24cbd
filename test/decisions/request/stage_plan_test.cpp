#include <medlar/detail/request/stage_plan.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace medlar;

stage make_stage(const std::string& name, std::vector<std::string> after)
{
    stage result;
    result.name = name;
    result.after = std::move(after);
    return result;
}

/// @brief Returns a pipeline of encode, then retrieve and rules in parallel, then
/// generate.
pipeline make_diamond()
{
    pipeline definition;
    definition.stages = {make_stage("encode", {}),
                         make_stage("retrieve", {"encode"}),
                         make_stage("rules", {"encode"}),
                         make_stage("generate", {"retrieve", "rules"})};
    return definition;
}

using indexes = std::vector<std::size_t>;

class the_stages_of_a_pipeline : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_stages_of_a_pipeline);
    CPPUNIT_TEST(start_with_those_without_dependencies);
    CPPUNIT_TEST(run_in_parallel_if_they_are_independent);
    CPPUNIT_TEST(wait_for_all_their_dependencies);
    CPPUNIT_TEST(take_the_input_or_the_outputs_of_their_dependencies);
    CPPUNIT_TEST(are_idempotent_as_they_state_or_else_as_the_request_states);
    CPPUNIT_TEST(write_no_more_tokens_than_either_limit);
    CPPUNIT_TEST_SUITE_END();

    const pipeline diamond_ = make_diamond();
    const stage_progress waiting_ = stage_progress::waiting;
    const stage_progress started_ = stage_progress::started;
    const stage_progress done_ = stage_progress::done;

    void start_with_those_without_dependencies()
    {
        CPPUNIT_ASSERT(
            (ready_stages(diamond_, {waiting_, waiting_, waiting_, waiting_}) ==
             indexes{0}));
        CPPUNIT_ASSERT(
            ready_stages(diamond_, {started_, waiting_, waiting_, waiting_}).empty());
    }

    void run_in_parallel_if_they_are_independent()
    {
        CPPUNIT_ASSERT((ready_stages(diamond_, {done_, waiting_, waiting_, waiting_}) ==
                        indexes{1, 2}));
    }

    void wait_for_all_their_dependencies()
    {
        CPPUNIT_ASSERT(
            ready_stages(diamond_, {done_, done_, started_, waiting_}).empty());
        CPPUNIT_ASSERT(
            (ready_stages(diamond_, {done_, done_, done_, waiting_}) == indexes{3}));
    }

    void take_the_input_or_the_outputs_of_their_dependencies()
    {
        client_request request;
        request.input = "{\"ledger\":1}";
        const stage_outputs outputs = {{"retrieve", "[1]"}, {"rules", "\"x\""}};
        CPPUNIT_ASSERT_EQUAL(request.input,
                             stage_input(diamond_.stages[0], request, outputs));
        CPPUNIT_ASSERT_EQUAL(std::string("{\"retrieve\":[1],\"rules\":\"x\"}"),
                             stage_input(diamond_.stages[3], request, outputs));
    }

    void are_idempotent_as_they_state_or_else_as_the_request_states()
    {
        client_request request;
        stage definition;
        CPPUNIT_ASSERT(!is_idempotent(definition, request));
        definition.idempotent = true;
        CPPUNIT_ASSERT(is_idempotent(definition, request));
        request.idempotent = true;
        definition.idempotent = false;
        CPPUNIT_ASSERT(!is_idempotent(definition, request));
    }

    void write_no_more_tokens_than_either_limit()
    {
        client_request request;
        stage definition;
        CPPUNIT_ASSERT(token_limit(definition, request) == token_count(0));
        definition.max_tokens = token_count(20);
        CPPUNIT_ASSERT(token_limit(definition, request) == token_count(20));
        request.max_tokens = token_count(5);
        CPPUNIT_ASSERT(token_limit(definition, request) == token_count(5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_stages_of_a_pipeline);

} // namespace
