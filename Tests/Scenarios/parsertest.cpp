#define BOOST_TEST_MODULE Scenarios
#include "scenario.h"

#include <boost/test/unit_test.hpp>

using namespace scenarios;
using eelgrasscove::errorOf;
using eelgrasscove::ok;
using eelgrasscove::valueOf;

namespace {

const std::string fleet = "entry e1\n"
                          "engine m1 group advice token 5ms\n"
                          "rules first\n"
                          "account fig rate 10 burst 20 # asked\n"
                          "end\n";

Scenario parsed(const std::string &steps)
{
    auto result = parseScenario(fleet + steps, "x.scenario");
    const std::string fault = ok(result) ? "" : describe(errorOf(result));
    BOOST_REQUIRE_MESSAGE(fault.empty(), fault);
    return valueOf(std::move(result));
}

std::string refused(const std::string &text)
{
    const auto result = parseScenario(text, "x.scenario");
    BOOST_REQUIRE(!ok(result));
    return describe(errorOf(result));
}

template <class Action>
Action only(const Scenario &scenario)
{
    BOOST_REQUIRE(scenario.steps_.size() == 1);
    return std::get<Action>(scenario.steps_.front().action_);
}

} // namespace

BOOST_AUTO_TEST_CASE(declarationsAreRead)
{
    const Scenario scenario = parsed("start all # everything\n");
    BOOST_TEST(scenario.vms_.size() == 2);
    BOOST_TEST(scenario.vms_[1].group_ == "advice");
    BOOST_TEST((scenario.vms_[1].tokenTime_ == std::chrono::milliseconds(5)));
    BOOST_TEST(scenario.rules_[0].text_ == "account fig rate 10 burst 20 # asked\n");
    BOOST_TEST(only<ProcessStep>(scenario).names_ == std::vector<std::string>{"all"});
    BOOST_TEST(scenario.steps_[0].line_ == 6);
}

BOOST_AUTO_TEST_CASE(requestsAreRead)
{
    const auto send = only<SendStep>(parsed(
        "send r count 3 via e1,e1 key k1 route oak tokens 8 stream chat prompt \"two words\"\n"));
    BOOST_TEST(send.count_ == 3);
    BOOST_TEST(send.entries_.size() == 2);
    BOOST_TEST(send.prompt_ == "two words");
    BOOST_TEST(send.maxTokens_ == 8);
    BOOST_TEST((send.stream_ && send.chat_));
    const auto call = only<SendStep>(parsed("send b via e1 POST /ledger/lots idempotency-key i\n"));
    BOOST_TEST(call.method_ == "POST");
    BOOST_TEST(call.path_ == "/ledger/lots");
    BOOST_TEST(call.idempotencyKey_ == "i");
    const auto again = only<SendStep>(parsed("repeat r via e1 route oak until status 401\n"));
    BOOST_TEST(again.untilStatus_ == 401);
}

BOOST_AUTO_TEST_CASE(faultsAndExpectationsAreRead)
{
    const auto cut = only<LinkStep>(parsed("delay platform e1 50ms\n"));
    BOOST_TEST((cut.action_ == LinkAction::Delay && cut.kind_ == LinkKind::Platform));
    BOOST_TEST((cut.delay_ == std::chrono::milliseconds(50)));
    BOOST_TEST(only<PlatformStep>(parsed("platform drop-replies 2\n")).count_ == 2);
    BOOST_TEST((only<ListStep>(parsed("list leaving m1\n")).action_ == ListAction::Leaving));
    BOOST_TEST(only<TargetStep>(parsed("target m1 fail-loads 2\n")).count_ == 2);
    BOOST_TEST((only<ApplyStep>(parsed("apply first expecting conflict\n")).outcome_
                == ApplyOutcome::Conflict));
    BOOST_TEST(only<AwaitStep>(parsed("await adapter m1 a@1\n")).adapter_ == "a@1");
    BOOST_TEST(only<ExpectCount>(parsed("expect loads m1 exactly 1\n")).count_ == 1);
    BOOST_TEST(only<ExpectExit>(parsed("expect exit e1 0\n")).code_ == 0);
    const Scenario scenario = parsed("send r via e1 route oak\nexpect r status 429|503\n");
    BOOST_TEST(std::get<ExpectAnswer>(scenario.steps_[1].action_).values_.size() == 2);
}

BOOST_AUTO_TEST_CASE(errorsNameFileLineAndRemedy)
{
    BOOST_TEST(refused(fleet + "\nfly e1\n")
               == "x.scenario:7: \"fly\" isn't a step; see scenario.h for those there are");
    BOOST_TEST(refused(fleet + "start e2")
               == "x.scenario:6: no VM is called \"e2\"; declare it before the first step");
    BOOST_TEST(refused(fleet + "send r via m1 route oak").find("no entry") != std::string::npos);
    BOOST_TEST(refused(fleet + "await answers r").find("send it in a line before")
               != std::string::npos);
    BOOST_TEST(refused(fleet + "expect platform writes under 3").find("at-most, at-least, exactly")
               != std::string::npos);
    BOOST_TEST(refused(fleet + "delay link e1 50").find("us, ms or s") != std::string::npos);
    BOOST_TEST(refused(fleet + "apply second").find("no rules") != std::string::npos);
    BOOST_TEST(refused(fleet + "thaw").find("a process is missing") != std::string::npos);
    BOOST_TEST(refused(fleet + "drain e1 now").find("too much") != std::string::npos);
    BOOST_TEST(refused("engine m1\n").find("add \"group NAME\"") != std::string::npos);
    BOOST_TEST(refused("rules r\naccount\n").find("add a line \"end\"") != std::string::npos);
    BOOST_TEST(refused(fleet + "send r via e1 prompt \"x\n").find("quote") != std::string::npos);
    BOOST_TEST(
        refused(fleet + "send r via e1 route o\nsend r via e1 route o\n").find("another name")
        != std::string::npos);
}
