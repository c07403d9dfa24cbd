#include <medlar/detail/base/error.hpp>
#include <medlar/detail/base/outcome.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>

namespace
{

using numbers = std::map<int, std::string>;

std::string read_file(const std::string& name)
{
    std::ifstream in(std::string(MEDLAR_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// @brief what @p pattern finds: a number and a name, in the order given by the groups
numbers
find_all(const std::string& text, const char* pattern, int number_group, int name_group)
{
    const std::regex expression(pattern);
    numbers found;
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end;
         match != end;
         ++match)
    {
        const int number = std::stoi((*match)[number_group]);
        CPPUNIT_ASSERT_MESSAGE("twice: " + std::to_string(number),
                               found.count(number) == 0);
        found[number] = (*match)[name_group];
    }
    return found;
}

numbers numbers_of_header(const std::string& name)
{
    numbers found = find_all(read_file(name), "\n    ([a-z0-9_]+) = ([0-9]+),", 2, 1);
    found.erase(0);
    return found;
}

class the_page_of_errors : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_page_of_errors);
    CPPUNIT_TEST(has_the_numbers_and_names_of_the_code);
    CPPUNIT_TEST(has_the_names_that_callers_see);
    CPPUNIT_TEST(numbers_a_status);
    CPPUNIT_TEST_SUITE_END();

    static numbers page()
    {
        return find_all(read_file("docs/ERRORS.md"),
                        "\n\\| ([0-9]+) \\| ([a-z0-9_]+) \\| [^|]+ \\| [^|]+ \\|",
                        1,
                        2);
    }

    void has_the_numbers_and_names_of_the_code()
    {
        numbers code = numbers_of_header("include/medlar/detail/base/error.hpp");
        code.merge(numbers_of_header("include/medlar/detail/base/outcome.hpp"));
        const numbers listed = page();
        CPPUNIT_ASSERT(code.size() > 50);
        for (const auto& [number, name] : code)
        {
            const auto found = listed.find(number);
            CPPUNIT_ASSERT_MESSAGE("not in docs/ERRORS.md: " + name,
                                   found != listed.end());
            CPPUNIT_ASSERT_EQUAL(name, found->second);
        }
        CPPUNIT_ASSERT_EQUAL(code.size(), listed.size());
    }

    void has_the_names_that_callers_see()
    {
        for (const auto& [number, name] :
             numbers_of_header("include/medlar/detail/base/outcome.hpp"))
        {
            const auto why = static_cast<medlar::reason>(number);
            CPPUNIT_ASSERT_EQUAL(name, std::string(medlar::to_string(why)));
        }
    }

    void numbers_a_status()
    {
        const absl::Status status = medlar::make_error(
            absl::StatusCode::kAborted, medlar::error_number::conflict, "why");
        CPPUNIT_ASSERT_EQUAL(std::string("[medlar.601] why"),
                             std::string(status.message()));
        CPPUNIT_ASSERT_EQUAL(601, medlar::error_number_of(status));
        CPPUNIT_ASSERT_EQUAL(0, medlar::error_number_of(absl::InternalError("601")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_page_of_errors);

} // namespace
