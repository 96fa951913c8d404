#include "checker.h"

#include "StandIns/completion.h"

#include <boost/test/unit_test.hpp>

using namespace scenarios;

namespace {

constexpr std::int64_t second = 1000000;
const std::string keyText = "sk-very-secret";

RulesRecord plainRules()
{
    RulesRecord rules;
    rules.accounts_ = {{"fig", 10, 20}, {"chair", 10, 20}};
    rules.keys_ = {{"k1", "fig"}, {"k2", "chair"}};
    rules.routes_ = {
        {.route_ = "oak", .accounts_ = {"fig"}, .model_ = "oak@1"},
        {.route_ = "lots",
         .accounts_ = {"fig"},
         .idempotent_ = false,
         .method_ = "POST",
         .pathPrefix_ = "/ledger"},
    };
    return rules;
}

CallerRecord completion(const std::string &name)
{
    CallerRecord caller;
    caller.name_ = name;
    caller.key_ = "k1";
    caller.keyText_ = keyText;
    caller.route_ = "oak";
    caller.prompt_ = name;
    caller.maxTokens_ = 4;
    caller.stream_ = true;
    caller.sentAt_ = second;
    caller.endedAt_ = 2 * second;
    caller.ended_ = true;
    caller.end_ = standins::CallEnd::Whole;
    caller.status_ = 200;
    caller.text_ = standins::completionText("oak@1", name, 4);
    caller.parts_ = 4;
    caller.doneSeen_ = true;
    return caller;
}

CallerRecord booking(const std::string &name, const std::string &body)
{
    CallerRecord caller = completion(name);
    caller.route_.clear();
    caller.stream_ = false;
    caller.method_ = "POST";
    caller.path_ = "/ledger/lots";
    caller.body_ = body;
    caller.idempotencyKey_ = "i-" + body;
    caller.raw_ = "{\"body_digest\":\"" + standins::digestHex(body) + "\"}";
    return caller;
}

RunRecord runOf(const CallerRecord &caller)
{
    RunRecord run;
    run.target_ = "m1";
    run.attempt_ = "a-" + caller.name_;
    run.model_ = "oak@1";
    run.promptDigest_ = workDigest(caller);
    run.promptTokens_ = 1;
    run.startedAt_ = caller.sentAt_;
    run.tokenTimes_ = {second, second, second, second};
    run.outcome_ = "whole";
    return run;
}

BookingRecord bookingOf(const CallerRecord &caller)
{
    BookingRecord record;
    record.target_ = "s1";
    record.method_ = "POST";
    record.bodyDigest_ = workDigest(caller);
    record.tookEffect_ = true;
    return record;
}

/// Two completions and a booking, all well.
ScenarioRecord soundRecord()
{
    ScenarioRecord record;
    record.rules_ = {plainRules()};
    record.callers_ = {completion("r1"), completion("r2"), booking("b1", "lot 1")};
    record.runs_ = {runOf(record.callers_[0]), runOf(record.callers_[1])};
    record.bookings_ = {bookingOf(record.callers_[2])};
    record.unloads_ = {{"m1", "fig@1", false}};
    record.texts_ = {{"m1's log", "nothing"}};
    return record;
}

/// The one invariant that the record breaks.
void needBroken(const ScenarioRecord &record, Invariant invariant)
{
    const auto violations = checkRecord(record);
    BOOST_REQUIRE_MESSAGE(violations.size() == 1, describe(violations));
    BOOST_TEST_MESSAGE(describe(violations));
    BOOST_TEST((violations.front().invariant_ == invariant));
}

} // namespace

BOOST_AUTO_TEST_CASE(aSoundRecordHasNoViolations)
{
    BOOST_TEST(describe(checkRecord(soundRecord())) == "");
}

BOOST_AUTO_TEST_CASE(aRunOnAnotherVersionIsSeen)
{
    ScenarioRecord record = soundRecord();
    record.runs_[0].model_ = "oak@2";
    needBroken(record, Invariant::RightAdapter);
    record = soundRecord();
    record.runs_.push_back(runOf(completion("unknown")));
    needBroken(record, Invariant::RightAdapter);
}

BOOST_AUTO_TEST_CASE(bothVersionsFitWhileOneReplacesTheOther)
{
    ScenarioRecord record = soundRecord();
    RulesRecord next = plainRules();
    next.routes_[0].model_ = "oak@2";
    next.appliedAt_ = second + 1;
    record.rules_[0].replacedAt_ = second + 2;
    record.rules_.push_back(next);
    record.runs_[0].model_ = "oak@2";
    record.callers_[0].text_ = standins::completionText("oak@2", "r1", 4);
    BOOST_TEST(describe(checkRecord(record)) == "");
    record.rules_[0].replacedAt_ = second - 1;
    const auto violations = checkRecord(record);
    BOOST_TEST(!violations.empty());
    BOOST_TEST((violations.front().invariant_ == Invariant::RightAdapter));
}

BOOST_AUTO_TEST_CASE(anEvictionInUseIsSeen)
{
    ScenarioRecord record = soundRecord();
    record.unloads_[0].inUse_ = true;
    needBroken(record, Invariant::NoEvictionInUse);
}

BOOST_AUTO_TEST_CASE(anAnswerToAnotherAccountIsSeen)
{
    ScenarioRecord record = soundRecord();
    record.callers_[0].key_ = "k2";
    needBroken(record, Invariant::OnlyItsAccount);
    record = soundRecord();
    record.rules_[0].routes_[0].openToAll_ = true;
    record.callers_[0].key_ = "";
    BOOST_TEST(describe(checkRecord(record)) == "");
}

BOOST_AUTO_TEST_CASE(aKeyWithdrawnBeforeTheRequestIsSeen)
{
    ScenarioRecord record = soundRecord();
    RulesRecord next = plainRules();
    next.keys_.erase(next.keys_.begin());
    next.appliedAt_ = second / 2;
    record.rules_[0].replacedAt_ = second - 1;
    record.rules_.push_back(next);
    const auto violations = checkRecord(record);
    BOOST_TEST(!violations.empty());
    BOOST_TEST((violations.front().invariant_ == Invariant::OnlyItsAccount));
}

BOOST_AUTO_TEST_CASE(aKeyInATargetsLogIsSeen)
{
    ScenarioRecord record = soundRecord();
    record.texts_[0].text_ = "header Authorization: Bearer " + keyText;
    needBroken(record, Invariant::NoKeySeen);
}

BOOST_AUTO_TEST_CASE(tokensBeyondRateAndBurstAreSeen)
{
    ScenarioRecord record = soundRecord();
    record.runs_[0].promptTokens_ = 11;
    BOOST_TEST(describe(checkRecord(record)) == "");
    record.runs_[0].promptTokens_ = 12;
    needBroken(record, Invariant::WithinAllowance);
    record.runs_[1].tokenTimes_.back() += second / 10;
    BOOST_TEST(describe(checkRecord(record)) == "");
    record.runs_[1].tokenTimes_.back() -= 1;
    needBroken(record, Invariant::WithinAllowance);
}

BOOST_AUTO_TEST_CASE(aLoweredRateCountsFromItsChange)
{
    ScenarioRecord record = soundRecord();
    RulesRecord next = plainRules();
    next.accounts_[0].tokensPerSecond_ = 0;
    next.appliedAt_ = second;
    record.rules_[0].replacedAt_ = second + second / 20;
    record.rules_.push_back(next);
    record.runs_[0].promptTokens_ = 12;
    record.runs_[1].tokenTimes_.back() += second;
    needBroken(record, Invariant::WithinAllowance);
}

BOOST_AUTO_TEST_CASE(anAnswerWithAGapADoubleOrAnotherTextIsSeen)
{
    const auto broken = [](const std::function<void(CallerRecord &)> &doctor) {
        ScenarioRecord record = soundRecord();
        doctor(record.callers_[0]);
        needBroken(record, Invariant::WholeAnswer);
    };
    broken([](CallerRecord &caller) { caller.text_.erase(7, 7); });
    broken([](CallerRecord &caller) { caller.text_ += caller.text_.substr(0, 7); });
    broken([](CallerRecord &caller) { caller.text_ = standins::completionText("oak@1", "r2", 4); });
    broken([](CallerRecord &caller) { caller.parts_ = 5; });
    broken([](CallerRecord &caller) { caller.doneSeen_ = false; });
    broken([](CallerRecord &caller) { caller.ended_ = false; });
    broken([](CallerRecord &caller) {
        caller.end_ = standins::CallEnd::Truncated;
        caller.text_.resize(7);
    });
    broken([](CallerRecord &caller) { caller.status_ = 503; });
}

BOOST_AUTO_TEST_CASE(anExcusedAnswerMustStillBeginRightly)
{
    ScenarioRecord record = soundRecord();
    record.callers_[0].end_ = standins::CallEnd::Truncated;
    record.callers_[0].excused_ = true;
    record.callers_[0].text_.resize(7);
    BOOST_TEST(describe(checkRecord(record)) == "");
    record.callers_[0].text_ = " ffffff";
    needBroken(record, Invariant::WholeAnswer);
}

BOOST_AUTO_TEST_CASE(anAnswerToAnotherBookingIsSeen)
{
    ScenarioRecord record = soundRecord();
    record.callers_[2].raw_ = booking("b2", "lot 2").raw_;
    needBroken(record, Invariant::WholeAnswer);
}

BOOST_AUTO_TEST_CASE(aRunAfterNotRunIsSeen)
{
    ScenarioRecord record = soundRecord();
    record.callers_[0].status_ = 503;
    record.callers_[0].error_ = {"no_target", "not_run"};
    needBroken(record, Invariant::NotRunMeansNotRun);
    record = soundRecord();
    record.callers_[2].status_ = 503;
    record.callers_[2].error_ = {"no_target", "not_run"};
    needBroken(record, Invariant::NotRunMeansNotRun);
    // Sent again and run then: the first telling still stands.
    record.callers_.push_back(booking("b2", "lot 1"));
    BOOST_TEST(describe(checkRecord(record)) == "");
}

BOOST_AUTO_TEST_CASE(theTraceTellsWhichSendingRan)
{
    ScenarioRecord record = soundRecord();
    record.callers_[2].status_ = 503;
    record.callers_[2].error_ = {"no_target", "not_run"};
    record.callers_[2].trace_ = "t1";
    record.callers_.push_back(booking("b2", "lot 1"));
    record.callers_.back().trace_ = "t2";
    record.bookings_[0].trace_ = "t2";
    BOOST_TEST(describe(checkRecord(record)) == "");
    record.bookings_[0].trace_ = "t1";
    needBroken(record, Invariant::NotRunMeansNotRun);
}

BOOST_AUTO_TEST_CASE(aSecondBookingIsSeen)
{
    ScenarioRecord record = soundRecord();
    record.callers_.push_back(booking("b2", "lot 1"));
    BOOST_TEST(describe(checkRecord(record)) == "");
    record.bookings_.push_back(record.bookings_[0]);
    needBroken(record, Invariant::BookedAtMostOnce);
    record.bookings_[1].tookEffect_ = false;
    BOOST_TEST(describe(checkRecord(record)) == "");
}

BOOST_AUTO_TEST_CASE(workTakenWhileLeavingIsSeen)
{
    ScenarioRecord record = soundRecord();
    const std::string started = "{\"event\":\"target_started\"}\n";
    const std::string leaving = "{\"event\":\"leaving\",\"number\":\"0\"}\n";
    const std::string accepted = "{\"event\":\"attempt_accepted\",\"number\":\"0\"}\n";
    takeProcessLog(record, "m1", started + accepted + leaving + started + accepted);
    takeProcessLog(record, "m2", "no JSON\n" + accepted);
    BOOST_TEST(describe(checkRecord(record)) == "");
    takeProcessLog(record, "m1", leaving + accepted);
    needBroken(record, Invariant::LeavingTakesNothing);
}

BOOST_AUTO_TEST_CASE(aLowerRevisionIsSeen)
{
    ScenarioRecord record = soundRecord();
    const std::string second = "{\"event\":\"rules_adopted\",\"number\":\"2\"}\n";
    const std::string first = "{\"event\":\"rules_adopted\",\"number\":\"1\"}\n";
    takeProcessLog(record, "e1", second + "{\"event\":\"started\"}\n" + first + second);
    takeProcessLog(record, "e2", first);
    BOOST_TEST(describe(checkRecord(record)) == "");
    takeProcessLog(record, "e1", first);
    needBroken(record, Invariant::RevisionNeverLower);
}

BOOST_AUTO_TEST_CASE(aTargetsLogIsRead)
{
    ScenarioRecord record;
    const std::string log =
        R"({"at_us":5,"event":"start","attempt":"t","model":"a@1","prompt_digest":"d","prompt_tokens":2,"headers":[["Traceparent","00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"]]})"
        "\n"
        R"({"at_us":9,"event":"end","attempt":"t","model":"a@1","prompt_digest":"d","outcome":"whole","token_at_us":[7,9]})"
        "\n"
        R"({"event":"unload","adapter":"a@1","in_use":true})"
        "\nnot json\n";
    const auto faults = takeTargetLog(record, "m1", log);
    BOOST_TEST(faults.size() == 1);
    BOOST_REQUIRE(record.runs_.size() == 1);
    BOOST_TEST(record.runs_[0].trace_ == "0123456789abcdef0123456789abcdef");
    BOOST_TEST(record.runs_[0].tokenTimes_.size() == 2);
    BOOST_TEST(record.runs_[0].outcome_ == "whole");
    BOOST_TEST(record.unloads_.at(0).inUse_);
}
