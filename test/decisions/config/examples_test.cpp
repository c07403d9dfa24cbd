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
    CPPUNIT_TEST(keep_to_the_ports_of_the_page);
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

    void keep_to_the_ports_of_the_page()
    {
        for (const char* name : {"patrimonia", "archive", "demo"})
        {
            for (const medlar::pool& each : read(name).pools)
            {
                const bool has_engines = !each.model.get().empty();
                for (const medlar::target& one : each.targets)
                {
                    const bool fits = has_engines ? one.port >= 7100 && one.port <= 7108
                                                  : one.port >= 7200 && one.port <= 7230;
                    CPPUNIT_ASSERT_MESSAGE(one.name.get(), fits);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_examples);

} // namespace
