#define BOOST_TEST_MODULE Operator
#include "Operator/commandline.h"
#include "Operator/commands.h"
#include "Operator/rulediff.h"

#include "../Platform/fakekeyvalue.h"
#include "Contract/keydigest.h"
#include "Contract/rulefile.h"
#include "Contract/rulequery.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace eelgrasscove;

namespace {

const std::string firstRules = "account joiners rate 300 burst 6000  # J. Smit\n"
                               "route oak account joiners adapter oak version 3 targets advice "
                               "idempotent  # J. Smit\n";
const std::string moreRules = firstRules + "account turners rate 1 burst 1  # K. Vos\n";

/// A desk with a key-value service in memory and processes that hold any revision they are given.
struct Bench
{
    FakeKeyValue store_;
    std::map<std::string, FetchedPage> pages_;
    Desk desk_;

    Bench()
    {
        desk_.who_ = "K. Vos";
        desk_.settings_.platform_.vmListUrl_ = "vms";
        desk_.settings_.keys_.digestSecret_ = "0123456789abcdef";
        desk_.settings_.statusUrls_ = {"one", "two"};
        desk_.keyValue_ = [this](const KvOperation &operation) {
            return callFake(store_, operation);
        };
        desk_.fetch_ = [this](const std::string &url) { return pages_[url]; };
        desk_.wait_ = [](Duration) {};
    }

    void holdRevision(const std::string &url, const std::string &role, int revision,
                      const std::string &more = "")
    {
        pages_[url] = {200,
                       "{\"vm\":\"" + url + "\",\"role\":\"" + role
                           + "\",\"data_centre\":\"d\",\"rules_revision\":"
                           + std::to_string(revision) + more + "}",
                       ""};
    }

    void listVms(const std::vector<std::string> &names)
    {
        std::string rows;
        for (const std::string &name : names) {
            rows += (rows.empty() ? "" : ",") + std::string("{\"name\":\"") + name
                + R"(","region":"r","data_centre":"d","role":"target",)"
                  R"("address":"tcp://127.0.0.1:1","state":"live"})";
        }
        pages_["vms"] = {200, "{\"vms\":[" + rows + "]}", ""};
    }

    Report apply(const std::string &text)
    {
        ApplyOptions options;
        options.wait_ = Duration(0);
        return rulesApply(desk_, {"my.rules", text}, options);
    }
};

std::string fieldOf(const Report &report, std::size_t row, const std::string &name)
{
    for (const ReportField &field : report.rows_.at(row).fields_) {
        if (field.name_ == name)
            return std::get<std::string>(field.value_);
    }
    return "";
}

bool isExit(const Report &report, ExitCode code)
{
    return report.code_ == code;
}

} // namespace

BOOST_AUTO_TEST_CASE(aRefusedFileChangesNothing)
{
    Bench bench;
    const Report report = bench.apply("account joiners rate 300 burst 6000\n");
    BOOST_TEST(isExit(report, ExitCode::Refused));
    BOOST_TEST(report.error_.find("my.rules:1:36: ") == 0U);
    BOOST_TEST(bench.store_.pairs_.empty());
}

BOOST_AUTO_TEST_CASE(applySaysOnHowManyProcessesTheRevisionIsInForce)
{
    Bench bench;
    bench.holdRevision("one", "entry", 1);
    bench.holdRevision("two", "target", 0);
    const Report partly = rulesApply(bench.desk_, {"my.rules", firstRules}, {});
    BOOST_TEST(isExit(partly, ExitCode::NotInForce));
    BOOST_TEST(partly.text_ == "revision 1 is in force on 1 of 2 processes\n");
    bench.holdRevision("two", "target", 1);
    const Report again = rulesApply(bench.desk_, {"my.rules", firstRules}, {});
    BOOST_TEST(isExit(again, ExitCode::Done));
    BOOST_TEST(again.text_ == "revision 1 is in force on 2 of 2 processes\n");
}

BOOST_AUTO_TEST_CASE(aFileMadeFromAnOlderRevisionIsAConflictWithItsDifferences)
{
    Bench bench;
    BOOST_TEST(isExit(bench.apply(firstRules), ExitCode::Done));
    const std::string shown = rulesShow(bench.desk_, std::nullopt).text_;
    BOOST_TEST(shown == "# revision 1\n" + firstRules);
    BOOST_TEST(isExit(bench.apply("# revision 1\n" + moreRules), ExitCode::Done));
    const Report late = bench.apply(shown + "account late rate 1 burst 1  # late\n");
    BOOST_TEST(isExit(late, ExitCode::Conflict));
    BOOST_TEST(late.text_
               == "--- revision 2\n+++ your file\n-3: account turners rate 1 burst 1  # K. Vos\n"
                  "+3: account late rate 1 burst 1  # late\n");
    BOOST_TEST(isExit(bench.apply(firstRules), ExitCode::Conflict));
    BOOST_TEST(rulesShow(bench.desk_, std::nullopt).text_ == "# revision 2\n" + moreRules);
    ApplyOptions options;
    options.wait_ = Duration(0);
    options.base_ = 2;
    const Report stated = rulesApply(bench.desk_, {"my.rules", firstRules}, options);
    BOOST_TEST(isExit(stated, ExitCode::Done));
    BOOST_TEST(rulesShow(bench.desk_, 2).text_ == "# revision 2\n" + moreRules);
    BOOST_TEST(isExit(rulesShow(bench.desk_, 9), ExitCode::NotFound));
}

BOOST_AUTO_TEST_CASE(anIssuedKeyWorksUntilItIsWithdrawn)
{
    Bench bench;
    bench.apply(firstRules);
    const Report issued = keyIssue(bench.desk_, {"joiners"}, Duration(0));
    BOOST_TEST(isExit(issued, ExitCode::Done));
    const std::string key = fieldOf(issued, 0, "key");
    const std::string digest = keyDigest(bench.desk_.settings_.keys_.digestSecret_, key);
    const std::string text = rulesShow(bench.desk_, std::nullopt).text_;
    BOOST_TEST(text.find(key) == std::string::npos);
    const auto rules = parseRules(text, "", Revision{2});
    BOOST_REQUIRE(ok(rules));
    BOOST_REQUIRE(findKeyRule(valueOf(rules), digest) != nullptr);
    BOOST_TEST(findKeyRule(valueOf(rules), digest)->id_.text_ == fieldOf(issued, 0, "id"));
    const KeyId id{fieldOf(issued, 0, "id")};
    BOOST_TEST(isExit(keyWithdraw(bench.desk_, id, Duration(0)), ExitCode::Done));
    BOOST_TEST(rulesShow(bench.desk_, std::nullopt).text_ == "# revision 3\n" + firstRules);
    BOOST_TEST(isExit(keyWithdraw(bench.desk_, id, Duration(0)), ExitCode::NotFound));
    BOOST_TEST(isExit(keyIssue(bench.desk_, {"nobody"}, Duration(0)), ExitCode::Refused));
}

BOOST_AUTO_TEST_CASE(keysIssuedAtOnceAreAllKept)
{
    Bench bench;
    bench.apply(firstRules);
    // Another operator's change lands between each reading and writing, three times.
    int others = 3;
    const KvCall plain = bench.desk_.keyValue_;
    bench.desk_.keyValue_ = [&](const KvOperation &operation) {
        if (!operation.writes_.empty() && others > 0) {
            others -= 1;
            Bench other;
            other.desk_.keyValue_ = plain;
            keyIssue(other.desk_, {"joiners"}, Duration(0));
        }
        return plain(operation);
    };
    BOOST_TEST(isExit(keyIssue(bench.desk_, {"joiners"}, Duration(0)), ExitCode::Done));
    const auto rules = parseRules(rulesShow(bench.desk_, std::nullopt).text_, "", Revision{5});
    BOOST_REQUIRE(ok(rules));
    BOOST_TEST(valueOf(rules).keys_.size() == 4U);
}

BOOST_AUTO_TEST_CASE(theRightExitCodeForEveryOutage)
{
    Bench bench;
    bench.apply(firstRules);
    bench.store_.faults_.notSent_ = 100;
    BOOST_TEST(isExit(bench.apply(moreRules), ExitCode::Unreachable));
    BOOST_TEST(isExit(rulesHistory(bench.desk_), ExitCode::Unreachable));
    BOOST_TEST(isExit(vmListing(bench.desk_), ExitCode::Unreachable));
    bench.store_.faults_ = {};
    const KvCall plain = bench.desk_.keyValue_;
    bench.desk_.keyValue_ = [&plain](const KvOperation &operation) {
        KvOutcome outcome = plain(operation);
        if (!operation.writes_.empty())
            outcome.status_ = KvStatus::Unknown;
        return outcome;
    };
    const Report unknown = bench.apply("# revision 1\n" + moreRules);
    BOOST_TEST(isExit(unknown, ExitCode::Unknown));
    BOOST_TEST(unknown.error_.find("rules history") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(drainMarksTheVmAsLeaving)
{
    Bench bench;
    bench.listVms({"t1"});
    BOOST_TEST(fieldOf(vmListing(bench.desk_), 0, "state") == "live");
    BOOST_TEST(isExit(vmDrain(bench.desk_, {"t1"}, false), ExitCode::Done));
    BOOST_TEST(fieldOf(vmListing(bench.desk_), 0, "state") == "leaving");
    BOOST_TEST(isExit(vmDrain(bench.desk_, {"t1"}, true), ExitCode::Done));
    BOOST_TEST(fieldOf(vmListing(bench.desk_), 0, "state") == "live");
    BOOST_TEST(isExit(vmDrain(bench.desk_, {"t2"}, false), ExitCode::NotFound));
    bench.desk_.settings_.statusUrls_.clear();
    BOOST_TEST(isExit(statusOfAll(bench.desk_), ExitCode::Usage));
    bench.desk_.settings_.statusPort_ = 99;
    const auto urls = statusUrls(bench.desk_);
    BOOST_REQUIRE(ok(urls));
    BOOST_TEST(valueOf(urls).at(0) == "http://127.0.0.1:99/status");
}

BOOST_AUTO_TEST_CASE(decideNamesTheTargetAndTheReasonsAgainstOthers)
{
    Bench bench;
    bench.apply(firstRules);
    bench.holdRevision("one", "target", 1,
                       R"(,"group":"advice","residents":[{"adapter":"oak@3","running":1}])");
    bench.holdRevision("two", "target", 1, R"(,"group":"advice","leaving":true)");
    bench.holdRevision("three", "target", 1, R"(,"group":"advice")");
    bench.holdRevision("four", "target", 1, R"(,"group":"advice")");
    bench.listVms({"one", "two", "three"});
    bench.desk_.settings_.statusUrls_ = {"one", "two", "three", "four", "five"};
    BOOST_TEST(isExit(vmDrain(bench.desk_, {"three"}, false), ExitCode::Done));
    const Report report = decide(bench.desk_, {{"joiners"}, {"oak"}, "", "", {"d"}});
    BOOST_TEST(isExit(report, ExitCode::Done));
    BOOST_TEST(report.text_.find("goes to one: the adapter is there") != std::string::npos);
    BOOST_TEST(fieldOf(report, 1, "reason") == "leaving");
    BOOST_TEST(fieldOf(report, 2, "reason") == "leaving");
    BOOST_TEST(fieldOf(report, 3, "reason") == "not on the platform's list");
    BOOST_TEST(fieldOf(report, 4, "reason").find("no answer") == 0U);
    BOOST_TEST(isExit(decide(bench.desk_, {{"other"}, {"oak"}, "", "", {}}), ExitCode::Refused));
    BOOST_TEST(isExit(decide(bench.desk_, {{"joiners"}, {"elm"}, "", "", {}}), ExitCode::NotFound));
}

BOOST_AUTO_TEST_CASE(movedLinesAreNoDifference)
{
    BOOST_TEST(diffRules("a\nb\n", "b\n\na").empty());
    BOOST_TEST(describeDiff(diffRules("a\na\nb\n", "a\nc\n")) == "-2: a\n-3: b\n+2: c\n");
    BOOST_TEST(baseRevisionOf("# revision 12\nx") == 12U);
    BOOST_TEST(baseRevisionOf("# revision 12 of it\nx") == 0U);
    BOOST_TEST(withoutBaseLine("# revision 12") == "");
}

BOOST_AUTO_TEST_CASE(jsonIsEscapedAndNamesTheResult)
{
    Report report = failedReport(ExitCode::Conflict, "a \"quote\"");
    report.rows_.push_back({{{"n", std::int64_t{3}}, {"b", true}, {"t", std::string("x\ny")}}});
    BOOST_TEST(jsonOf(report)
               == "{\"result\":\"conflict\",\"exit_code\":4,\"message\":\"a \\\"quote\\\"\\n\","
                  "\"rows\":[{\"n\":3,\"b\":true,\"t\":\"x\\ny\"}]}\n");
}

BOOST_AUTO_TEST_CASE(settingsReportEveryFaultAtOnce)
{
    const auto settings =
        parseOperatorSettings("[platform]\nkey_value_url = 127.0.0.1:1\n"
                              "[operator]\nstatus_urls = http://127.0.0.1:1/s, x\n",
                              "operator.ini");
    BOOST_REQUIRE(!ok(settings));
    BOOST_TEST(errorOf(settings).size() == 3U);
}

BOOST_AUTO_TEST_CASE(examplesAreGood)
{
    const std::string folder = std::string(FEATURE_FOLDER) + "/../../docs/examples/";
    std::stringstream settings;
    settings << std::ifstream(folder + "operator.ini").rdbuf();
    const auto parsed = parseOperatorSettings(settings.str(), "operator.ini");
    if (!ok(parsed))
        BOOST_FAIL(describeSettingsErrors(errorOf(parsed)));
    BOOST_TEST(valueOf(parsed).statusUrls_.size() == 3U);
    std::stringstream rules;
    rules << std::ifstream(folder + "association.rules").rdbuf();
    const Report report = rulesCheck({"association.rules", rules.str()});
    BOOST_TEST(isExit(report, ExitCode::Done), report.error_);
}

BOOST_AUTO_TEST_CASE(statusShowsSharesResidentsAndQueuesOfEachProcess)
{
    Bench bench;
    bench.holdRevision("one", "entry", 4,
                       R"(,"requests":2,"accounts":[{"account":"joiners","rate":150,"burst":3000,)"
                       R"("free":-7,"outstanding":40},{"account":"turners","rate":1},7,{}])");
    bench.holdRevision("two", "target", 3,
                       R"(,"residents":[{"adapter":"oak@3","running":1}],)"
                       R"("queues":[{"account":"joiners","interactive":5,"batch":6}])");
    bench.desk_.settings_.statusUrls_ = {"one", "two", "silent"};
    const Report report = statusOfAll(bench.desk_, {"joiners"});
    BOOST_TEST(isExit(report, ExitCode::Unreachable));
    BOOST_TEST(report.rows_.size() == 3U);
    const std::string json = jsonOf(report);
    for (
        const char *part :
        {R"("vm":"one","role":"entry","data_centre":"d","revision":4,"leaving":false,"requests":2)",
         R"("shares":[{"vm":"one","account":"joiners","rate":150,"burst":3000,"free":-7,)"
         R"("outstanding":40}])",
         R"("residents":[{"vm":"two","adapter":"oak@3","running":1}])",
         R"("queues":[{"vm":"two","account":"joiners","interactive":5,"batch":6}])"})
        BOOST_TEST(json.find(part) != std::string::npos, part << " isn't in " << json);
    BOOST_TEST(tablesOf(report).find("\nqueues\nvm   account  interactive  batch\n"
                                     "two  joiners  5            6\n")
               != std::string::npos);
    BOOST_TEST(statusOfAll(bench.desk_).more_.front().rows_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(everyCommandHasAHelpPageThatNamesItsOptions)
{
    std::istringstream usage(operatorUsage);
    std::string line;
    int commands = 0;
    while (std::getline(usage, line) && line != "Options:") {
        std::istringstream words(line);
        std::string program;
        std::string page;
        words >> program >> page;
        if (program != "eelgrasscove" || page.front() == '-')
            continue;
        std::string word;
        if (page == "rules" || page == "key" || page == "vm") {
            words >> word;
            page += "-" + word;
        }
        std::ifstream file(std::string(FEATURE_FOLDER) + "/../../Help/" + page + ".md");
        std::stringstream text;
        text << file.rdbuf();
        BOOST_TEST(file.good(), page);
        while (words >> word) {
            const std::size_t begin = word.find("--");
            const std::string option = begin == std::string::npos
                ? word
                : word.substr(begin, word.find_first_of("=]", begin) - begin);
            BOOST_TEST_CONTEXT(page << " " << option)
            BOOST_TEST(text.str().find(option) != std::string::npos);
        }
        commands += 1;
    }
    BOOST_TEST(commands >= 11);
}
