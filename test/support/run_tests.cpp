/** \file
 * Runs all registered CppUnit tests of one program. With arguments, only those tests whose path
 * contains one of them. Tests that KNOWN-RED.txt lists are run, printed and passed over; one that
 * is listed and passes is an error.
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

/** A test's name without the namespace that all fixtures are in, which has a blank in its name. */
std::string short_name(const std::string& name)
{
    constexpr std::string_view scope = "(anonymous namespace)::";
    return name.starts_with(scope) ? name.substr(scope.size()) : name;
}

std::set<std::string> read_known_red()
{
    std::set<std::string> names;
    std::ifstream file(WORKSSHIFT_SOURCE_DIR "/KNOWN-RED.txt");
    for (std::string line; std::getline(file, line);) {
        if (line.empty() || line.starts_with('#')) continue;
        names.insert(line.substr(0, line.find_first_of(" \t,")));
    }
    return names;
}

void collect(CppUnit::Test* test, const std::set<std::string>& wanted,
             std::vector<CppUnit::Test*>& chosen)
{
    if (test->getChildTestCount() > 0) {
        for (int i = 0; i < test->getChildTestCount(); ++i) {
            collect(test->getChildTestAt(i), wanted, chosen);
        }
        return;
    }
    const auto named = [&](const std::string& part) {
        return test->getName().find(part) != std::string::npos;
    };
    if (wanted.empty() || std::ranges::any_of(wanted, named)) chosen.push_back(test);
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    worksshift::start_log(worksshift::log_level::off, "test");
    const std::set<std::string> wanted(arguments + 1, arguments + count);
    const std::set<std::string> known_red = read_known_red();

    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::vector<CppUnit::Test*> chosen;
    collect(all.get(), wanted, chosen);

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
        if (known_red.contains(name)) {
            std::cout << "KNOWN RED " << name << '\n';
        } else {
            ++unexpected;
        }
    }
    for (const CppUnit::Test* test : chosen) {
        const std::string name = short_name(test->getName());
        if (known_red.contains(name) && !failed.contains(name)) {
            std::cout << "LISTED IN KNOWN-RED.txt BUT PASSES " << name << '\n';
            ++unexpected;
        }
    }
    std::cout << chosen.size() - failed.size() << " passed, " << failed.size() << " failed\n";
    return unexpected == 0 && !chosen.empty() ? 0 : 1;
}
