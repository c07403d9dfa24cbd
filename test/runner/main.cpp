#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstring>
#include <iostream>

/// Runs all tests, or those under the path given as the only argument, and closes with
/// "N passed, N failed".
int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&results);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter outputter(&results, std::cerr);
    outputter.write();
    const int failed = results.testFailuresTotal();
    const int passed = results.runTests() - failed;
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 && passed > 0 ? 0 : 1;
}
