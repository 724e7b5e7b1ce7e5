#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

namespace {

// Prints one whole line for each finished test, whatever the test itself printed meanwhile.
class LineListener : public CppUnit::TestListener
{
public:
    void startTest(CppUnit::Test *) override { m_failed = false; }
    void addFailure(const CppUnit::TestFailure &) override { m_failed = true; }
    void endTest(CppUnit::Test *test) override
    {
        std::cout << "\n" << test->getName() << (m_failed ? " : FAILED" : " : OK") << std::endl;
    }

private:
    bool m_failed = false;
};

// Runs the test whose path is given as first argument, or all of them.
int runTests(const char *path)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    LineListener lines;
    controller.addListener(&collector);
    controller.addListener(&lines);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, path);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = collector.testFailuresTotal();
    std::cout << "tests: " << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 && collector.runTests() > 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv) { return runTests(argc > 1 ? argv[1] : ""); }
