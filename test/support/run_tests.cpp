/** \file
 * Runs the CppUnit tests of one program: all of them, or those whose path contains one of the
 * arguments. Failures of tests that are listed in KNOWN-RED.txt are printed but do not fail the
 * run; a listed test that passes does.
 */
#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include "log.h"

namespace {

/** Name of a test without the anonymous namespace of the fixtures, whose name contains a space. */
std::string short_name(const std::string& name)
{
    constexpr std::string_view scope = "(anonymous namespace)::";
    return name.starts_with(scope) ? name.substr(scope.size()) : name;
}

std::set<std::string> read_expected_failures()
{
    std::set<std::string> names;
    std::ifstream file(WORKSSHIFT_SOURCE_DIR "/KNOWN-RED.txt");
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.starts_with('#')) continue;
        names.insert(line.substr(0, line.find_first_of(" \t,")));
    }
    return names;
}

void collect(CppUnit::Test* test, const std::set<std::string>& filters,
             std::vector<CppUnit::Test*>& chosen)
{
    if (test->getChildTestCount() > 0) {
        for (int i = 0; i < test->getChildTestCount(); ++i) {
            collect(test->getChildTestAt(i), filters, chosen);
        }
        return;
    }
    const auto matches = [&](const std::string& part) {
        return test->getName().find(part) != std::string::npos;
    };
    if (filters.empty() || std::ranges::any_of(filters, matches)) chosen.push_back(test);
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    worksshift::start_log(worksshift::log_level::off, "test");
    const std::set<std::string> filters(arguments + 1, arguments + count);
    const std::set<std::string> expected_failures = read_expected_failures();

    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::vector<CppUnit::Test*> chosen;
    collect(all.get(), filters, chosen);

    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    for (CppUnit::Test* test : chosen)
        test->run(&controller);

    std::set<std::string> failed;
    for (const CppUnit::TestFailure* failure : collector.failures()) {
        failed.insert(short_name(failure->failedTestName()));
        std::cout << "FAILED " << failure->failedTestName() << " at "
                  << failure->sourceLine().fileName() << ':' << failure->sourceLine().lineNumber()
                  << '\n'
                  << failure->thrownException()->what() << '\n';
    }
    int unexpected = 0;
    for (const std::string& name : failed) {
        if (expected_failures.contains(name)) {
            std::cout << "KNOWN RED " << name << '\n';
        } else {
            ++unexpected;
        }
    }
    for (const CppUnit::Test* test : chosen) {
        const std::string name = short_name(test->getName());
        if (expected_failures.contains(name) && !failed.contains(name)) {
            std::cout << "LISTED IN KNOWN-RED.txt BUT PASSES " << name << '\n';
            ++unexpected;
        }
    }
    std::cout << chosen.size() - failed.size() << " passed, " << failed.size() << " failed\n";
    return unexpected == 0 && !chosen.empty() ? 0 : 1;
}
