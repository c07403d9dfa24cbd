#include "build_paths.hpp"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <string>

namespace
{

/// Returns the tests that KNOWN-RED.txt lists as known failures, in lines
/// "test: SUITE::NAME".
std::set<std::string> known_red_tests()
{
    std::set<std::string> names;
    std::ifstream file(std::string(MEDLAR_SOURCE_DIR) + "/KNOWN-RED.txt");
    std::string line;
    while (std::getline(file, line))
    {
        std::istringstream words(line);
        std::string label;
        std::string name;
        if (words >> label >> name && label == "test:")
        {
            names.insert(name);
        }
    }
    return names;
}

/// Removes the prefix of an anonymous namespace from a test's name.
std::string without_anonymous_namespace(const std::string& name)
{
    const std::string unnamed = "(anonymous namespace)::";
    const std::size_t at = name.find(unnamed);
    return at == std::string::npos ? name : name.substr(at + unnamed.size());
}

/// Runs every @p count-th suite of @p all, beginning with the one at @p first.
void run_part(CppUnit::TestResult& controller,
              const CppUnit::Test& all,
              int first,
              int count)
{
    for (int i = first; i < all.getChildTestCount(); i += count)
    {
        all.getChildTestAt(i)->run(&controller);
    }
}

} // namespace

/// Runs all tests, those under the path in the first argument, or with the first argument
/// "part" and two numbers the suites of one of several parts, counted from 0. The last
/// line of output is "N passed, N failed"; known failures are printed and not counted as
/// failed.
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&results);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    // failures refer to their tests
    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    constexpr int part_arguments = 4;
    if (argc == part_arguments && std::string(argv[1]) == "part")
    {
        run_part(controller, *all, std::stoi(argv[2]), std::stoi(argv[3]));
    }
    else
    {
        runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
        runner.run(controller, argc > 1 ? argv[1] : "");
    }
    CppUnit::CompilerOutputter outputter(&results, std::cerr);
    outputter.write();
    const std::set<std::string> known_red = known_red_tests();
    std::set<std::string> failed_tests;
    for (const CppUnit::TestFailure* each : results.failures())
    {
        failed_tests.insert(without_anonymous_namespace(each->failedTestName()));
    }
    int known_failures = 0;
    for (const std::string& each : failed_tests)
    {
        if (known_red.count(each) > 0)
        {
            std::cout << "known red: " << each << std::endl;
            ++known_failures;
        }
    }
    const int failed = static_cast<int>(failed_tests.size()) - known_failures;
    const int passed = results.runTests() - static_cast<int>(failed_tests.size());
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 && passed > 0 ? 0 : 1;
}
