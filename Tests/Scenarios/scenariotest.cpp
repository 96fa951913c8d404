/// Every *.scenario file beside this one is a test case of the suite "files", named for the file.

#include "processes.h"
#include "runner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>

using namespace scenarios;

namespace {

/// A file that can't be read leaves no rules, which the daemon and the tool refuse.
void readRules(Scenario &scenario, const std::filesystem::path &folder)
{
    for (RulesDeclaration &rules : scenario.rules_) {
        if (!rules.file_.empty())
            rules.text_ = readWholeFile(folder / rules.file_);
    }
}

void runFile(const std::filesystem::path &path)
{
    auto scenario = parseScenario(readWholeFile(path), path.filename().string());
    if (!eelgrasscove::ok(scenario)) {
        BOOST_ERROR(describe(eelgrasscove::errorOf(scenario)));
        return;
    }
    readRules(eelgrasscove::valueOf(scenario), path.parent_path());
    for (const std::string &fault : runScenario(eelgrasscove::valueOf(scenario)))
        BOOST_ERROR(fault);
}

std::vector<std::string> scenarioFiles()
{
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(FEATURE_FOLDER)) {
        if (entry.path().extension() == ".scenario")
            files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// Registers the files before main, as the framework wants it.
struct FileSuite
{
    FileSuite()
    {
        namespace framework = boost::unit_test;
        auto *suite = BOOST_TEST_SUITE("files");
        for (const std::string &file : scenarioFiles()) {
            const std::string name = std::filesystem::path(file).stem().string();
            suite->add(
                framework::make_test_case([file] { runFile(file); }, name, __FILE__, __LINE__));
        }
        framework::framework::master_test_suite().add(suite);
    }
};

const FileSuite fileSuite;

} // namespace
