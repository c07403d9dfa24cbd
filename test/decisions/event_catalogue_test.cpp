#include "build_paths.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

namespace
{

struct catalogue_entry
{
    std::string name;
    std::string severity;
};

using catalogue = std::map<int, catalogue_entry>;

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

catalogue events_in_code()
{
    const std::regex pattern("inline\\s+constexpr\\s+event\\s+[a-z0-9_]+\\s*\\{\\s*"
                             "([0-9]+),\\s*severity::([a-z]+),\\s*\"([a-z0-9_]+)\"");
    catalogue found;
    const std::filesystem::path directory =
        std::filesystem::path(MEDLAR_SOURCE_DIR) / "include/medlar/detail/log";
    for (const auto& file : std::filesystem::directory_iterator(directory))
    {
        const std::string text = read_file(file.path());
        for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
             match != end;
             ++match)
        {
            const int number = std::stoi((*match)[1]);
            CPPUNIT_ASSERT_MESSAGE("duplicate event number " + std::to_string(number),
                                   found.count(number) == 0);
            found[number] = {(*match)[3], (*match)[2]};
        }
    }
    return found;
}

catalogue documented_events()
{
    const std::regex pattern("\\| ([0-9]+) \\| ([a-z0-9_]+) \\| ([a-z]+) \\| .+ \\|");
    const std::string text =
        read_file(std::filesystem::path(MEDLAR_SOURCE_DIR) / "docs/EVENTS.md");
    catalogue found;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end;
         ++match)
    {
        found[std::stoi((*match)[1])] = {(*match)[2], (*match)[3]};
    }
    return found;
}

class event_catalogue : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_catalogue);
    CPPUNIT_TEST(matches_the_documentation);
    CPPUNIT_TEST_SUITE_END();

    void matches_the_documentation()
    {
        const catalogue code = events_in_code();
        const catalogue page = documented_events();
        CPPUNIT_ASSERT(!code.empty());
        for (const auto& [number, entry] : code)
        {
            const auto found = page.find(number);
            CPPUNIT_ASSERT_MESSAGE("not in docs/EVENTS.md: " + entry.name,
                                   found != page.end());
            CPPUNIT_ASSERT_EQUAL(entry.name, found->second.name);
            CPPUNIT_ASSERT_EQUAL(entry.severity, found->second.severity);
        }
        CPPUNIT_ASSERT_EQUAL(code.size(), page.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_catalogue);

} // namespace
