#include "build_paths.hpp"

#include <medlar/detail/config/json.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace
{

class the_examples : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_examples);
    CPPUNIT_TEST(are_valid_documents);
    CPPUNIT_TEST(use_the_documented_ports);
    CPPUNIT_TEST_SUITE_END();

    static medlar::document read(const std::string& name)
    {
        std::ifstream in(std::string(MEDLAR_SOURCE_DIR) + "/examples/" + name + ".json");
        std::ostringstream text;
        text << in.rdbuf();
        const auto content = medlar::parse_document(text.str());
        CPPUNIT_ASSERT_MESSAGE(name + ": " + content.status().ToString(), content.ok());
        return *content;
    }

    void are_valid_documents()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, read("patrimonia").organisations.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, read("archive").organisations.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, read("demo").organisations.size());
    }

    void use_the_documented_ports()
    {
        for (const char* name : {"patrimonia", "archive", "demo"})
        {
            for (const medlar::pool& each : read(name).pools)
            {
                const bool has_engines = !each.model.get().empty();
                for (const medlar::target& target : each.targets)
                {
                    const bool is_documented_port =
                        has_engines ? target.port >= 7100 && target.port <= 7108
                                    : target.port >= 7200 && target.port <= 7230;
                    CPPUNIT_ASSERT_MESSAGE(target.name.get(), is_documented_port);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_examples);

} // namespace
