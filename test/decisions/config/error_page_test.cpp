#include "build_paths.hpp"

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

using error_names = std::map<int, std::string>;

std::string read_file(const std::string& name)
{
    std::ifstream in(std::string(MEDLAR_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// @brief Maps numbers to names for all matches of @p pattern; the arguments give the
/// capture groups of the two.
error_names
find_all(const std::string& text, const char* pattern, int number_group, int name_group)
{
    const std::regex expression(pattern);
    error_names found;
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end;
         match != end;
         ++match)
    {
        const int number = std::stoi((*match)[number_group]);
        CPPUNIT_ASSERT_MESSAGE("duplicate number: " + std::to_string(number),
                               found.count(number) == 0);
        found[number] = (*match)[name_group];
    }
    return found;
}

error_names enumerators_of_header(const std::string& name)
{
    error_names found = find_all(read_file(name), "\n    ([a-z0-9_]+) = ([0-9]+),", 2, 1);
    found.erase(0);
    return found;
}

class the_error_catalogue : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(the_error_catalogue);
    CPPUNIT_TEST(matches_the_enumerators_in_the_code);
    CPPUNIT_TEST(matches_the_names_in_the_api);
    CPPUNIT_TEST(numbers_the_message_of_a_status);
    CPPUNIT_TEST_SUITE_END();

    static error_names documented_errors()
    {
        return find_all(read_file("docs/ERRORS.md"),
                        "\n\\| ([0-9]+) \\| ([a-z0-9_]+) \\| [^|]+ \\| [^|]+ \\|",
                        1,
                        2);
    }

    void matches_the_enumerators_in_the_code()
    {
        error_names code = enumerators_of_header("include/medlar/detail/base/error.hpp");
        code.merge(enumerators_of_header("include/medlar/detail/base/outcome.hpp"));
        const error_names documented = documented_errors();
        CPPUNIT_ASSERT(code.size() > 50);
        for (const auto& [number, name] : code)
        {
            const auto found = documented.find(number);
            CPPUNIT_ASSERT_MESSAGE("not in docs/ERRORS.md: " + name,
                                   found != documented.end());
            CPPUNIT_ASSERT_EQUAL(name, found->second);
        }
        CPPUNIT_ASSERT_EQUAL(code.size(), documented.size());
    }

    void matches_the_names_in_the_api()
    {
        for (const auto& [number, name] :
             enumerators_of_header("include/medlar/detail/base/outcome.hpp"))
        {
            const auto why = static_cast<medlar::reason>(number);
            CPPUNIT_ASSERT_EQUAL(name, std::string(medlar::to_string(why)));
        }
    }

    void numbers_the_message_of_a_status()
    {
        const absl::Status status = medlar::make_error(
            absl::StatusCode::kAborted, medlar::error_number::conflict, "why");
        CPPUNIT_ASSERT_EQUAL(std::string("[medlar.601] why"),
                             std::string(status.message()));
        CPPUNIT_ASSERT_EQUAL(601, medlar::error_number_of(status));
        CPPUNIT_ASSERT_EQUAL(0, medlar::error_number_of(absl::InternalError("601")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(the_error_catalogue);

} // namespace
