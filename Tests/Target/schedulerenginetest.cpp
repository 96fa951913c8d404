#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

const AdapterKey a = makeAdapter("a");
const AdapterKey b = makeAdapter("b");

EngineState withRun(EngineState state, const std::string &attempt, const AdapterKey &adapter)
{
    state.running_.push_back({.attempt_ = {attempt}, .adapter_ = adapter});
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(foreign_run_is_cancelled_and_ends_before_its_adapter_is_unloaded)
{
    TargetSettings target = engineSettings();
    target.adapterSlots_ = 1;
    SchedulerFixture scheduler(target);
    scheduler.apply(TimePassed{});
    // A cancel of the entry has left a tombstone here, which does not make the run this process's.
    scheduler.receive(AttemptCancel{{"old"}});
    scheduler.reportEngineState(withRun(SchedulerFixture::makeEngineState({b}), "old", b));
    BOOST_TEST(scheduler.commands<CancelRun>().size() == 1U);
    scheduler.receive(makeOffer("x", "a"));
    scheduler.advance(std::chrono::seconds(2));
    BOOST_TEST(scheduler.orders(OrderKind::Unload).empty());
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({b}));
    BOOST_TEST(scheduler.orders(OrderKind::Unload).size() == 1U);
}

BOOST_AUTO_TEST_CASE(fencing_number_is_raised_above_the_engines)
{
    SchedulerFixture scheduler;
    scheduler.apply(TimePassed{});
    EngineState state = SchedulerFixture::makeEngineState({});
    state.fencingNumber_ = {schedulerFencing.value_ + 5};
    scheduler.reportEngineState(state);
    scheduler.receive(makeOffer("x"));
    BOOST_TEST(scheduler.orders(OrderKind::Load).at(0).fencingNumber_.value_
               == schedulerFencing.value_ + 6);
}

BOOST_AUTO_TEST_CASE(higher_fencing_number_after_start_supersedes_the_scheduler)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("x"));
    scheduler.receive(makeOffer("y", "b"));
    EngineState state = withRun(SchedulerFixture::makeEngineState({a}), "x", a);
    state.fencingNumber_ = {schedulerFencing.value_ + 1};
    scheduler.advance(std::chrono::seconds(1));
    scheduler.reportEngineState(withRun(state, "theirs", a));
    BOOST_TEST(scheduler.refusalReason("y") == Reason::Leaving);
    BOOST_TEST(scheduler.commands<CancelRun>().empty());
    scheduler.receive(makeOffer("z"));
    BOOST_TEST(scheduler.refusalReason("z") == Reason::Leaving);
}

BOOST_AUTO_TEST_CASE(crash_is_counted_and_reported_for_running_requests)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("x"));
    scheduler.receive(makeOffer("y"));
    scheduler.applyEvent(RunFailed{{"x"}, true});
    BOOST_TEST(scheduler.failureOf("x").reason_ == Reason::None);
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({}, 2));
    for (const char *attempt : {"x", "y"}) {
        BOOST_TEST(scheduler.failureOf(attempt).reason_ == Reason::EngineCrashed);
        BOOST_TEST(scheduler.failureOf(attempt).runState_ == RunState::OutcomeUnknown);
    }
    const Heartbeat report = loadReport(scheduler.scheduler_, scheduler.now_);
    BOOST_TEST(report.strikes_.size() == 2U);
    BOOST_TEST(report.residents_.empty());
}

BOOST_AUTO_TEST_CASE(crash_counts_are_sent_before_the_failure)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("x"));
    scheduler.clear();
    scheduler.applyEvent(RunFailed{{"x"}, true});
    scheduler.reportUnreachable();
    std::size_t crashCountsAt = scheduler.actions_.size();
    std::size_t failureAt = 0;
    for (std::size_t index = 0; index < scheduler.actions_.size(); ++index) {
        if (std::holds_alternative<SendCrashCounts>(scheduler.actions_[index]))
            crashCountsAt = index;
        if (std::holds_alternative<MessageToSend>(scheduler.actions_[index]))
            failureAt = index;
    }
    BOOST_TEST(crashCountsAt < failureAt);
}

BOOST_AUTO_TEST_CASE(broken_connection_to_running_engine_is_not_a_crash)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("x"));
    scheduler.applyEvent(RunFailed{{"x"}, true});
    scheduler.reportEngineState(withRun(SchedulerFixture::makeEngineState({a}), "x", a));
    BOOST_TEST(scheduler.failureOf("x").reason_ == Reason::TargetError);
    BOOST_TEST(scheduler.failureOf("x").runState_ == RunState::OutcomeUnknown);
    BOOST_TEST(loadReport(scheduler.scheduler_, scheduler.now_).strikes_.empty());
    BOOST_TEST(scheduler.commands<CancelRun>().size() == 1U);
    // The run still pins its adapter and occupies its batch slot.
    BOOST_TEST(scheduler.scheduler_.residency_.slots_.at(a).running_ == 1U);
    scheduler.advance(std::chrono::seconds(1));
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({a}));
    BOOST_TEST(scheduler.scheduler_.residency_.slots_.at(a).running_ == 0U);
}

BOOST_AUTO_TEST_CASE(crash_suspect_runs_alone_and_is_refused_at_the_limit)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    Heartbeat peer;
    peer.role_ = Role::Target;
    peer.strikes_ = {{.fingerprint_ = {"print-x"}, .count_ = 1}};
    scheduler.receive(peer);
    scheduler.receive(makeOffer("y"));
    scheduler.receive(makeOffer("x"));
    BOOST_TEST(scheduler.hasStarted("y"));
    BOOST_TEST(!scheduler.hasStarted("x"));
    scheduler.applyEvent(RunEnded{{"y"}, 1});
    BOOST_TEST(scheduler.hasStarted("x"));
    scheduler.receive(makeOffer("z"));
    BOOST_TEST(!scheduler.hasStarted("z"));
    scheduler.applyEvent(RunFailed{{"x"}, true});
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({a}, 2));
    Offer again = makeOffer("x2");
    again.fingerprint_ = {"print-x"};
    scheduler.receive(again);
    BOOST_TEST(scheduler.refusalReason("x2") == Reason::SuspectedKiller);
    scheduler.advance(scheduler.scheduler_.crashCounts_.retention_ + std::chrono::seconds(1));
    again.attempt_ = {"x3"};
    scheduler.receive(again);
    BOOST_TEST(scheduler.refusalReason("x3") == Reason::None);
}

BOOST_AUTO_TEST_CASE(crash_suspect_that_completes_is_cleared)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    Heartbeat peer;
    peer.role_ = Role::Target;
    peer.strikes_ = {{.fingerprint_ = {"print-x"}, .count_ = 1}};
    scheduler.receive(peer);
    scheduler.receive(makeOffer("x"));
    scheduler.applyEvent(RunEnded{{"x"}, 1});
    scheduler.receive(peer);
    BOOST_TEST((suspicionFor(scheduler.scheduler_.crashCounts_, {"print-x"}, scheduler.now_)
                == Suspicion::None));
}

BOOST_AUTO_TEST_CASE(run_refused_for_missing_adapter_is_reported_as_not_run)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("x"));
    scheduler.applyEvent(RunResponseHead{{"x"}, 404, "application/json"});
    BOOST_TEST(scheduler.refusalReason("x") == Reason::AdapterLoadFailed);
    scheduler.receive(makeOffer("y"));
    BOOST_TEST(!scheduler.hasStarted("y"));
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({}));
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 1U);
    scheduler.endOrder(OrderOutcome::Done);
    BOOST_TEST(scheduler.hasStarted("y"));
}

BOOST_AUTO_TEST_CASE(down_engine_refuses_offers_at_once_and_queued_work_after_timeout)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("r1"));
    scheduler.receive(makeOffer("r2"));
    scheduler.receive(makeOffer("q"));
    scheduler.advance(std::chrono::seconds(1));
    scheduler.reportUnreachable();
    scheduler.receive(makeOffer("late"));
    BOOST_TEST(scheduler.refusalReason("late") == Reason::EngineDown);
    BOOST_TEST(scheduler.refusalReason("q") == Reason::None);
    scheduler.advance(std::chrono::seconds(2));
    BOOST_TEST(scheduler.refusalReason("q") == Reason::EngineDown);
    BOOST_TEST(!scheduler.hasStarted("q"));
}

BOOST_AUTO_TEST_CASE(unsent_run_is_reported_as_not_run)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({a});
    scheduler.receive(makeOffer("x"));
    scheduler.applyEvent(RunFailed{{"x"}, false});
    BOOST_TEST(scheduler.refusalReason("x") == Reason::EngineDown);
    BOOST_TEST(scheduler.scheduler_.running_ == 0U);
}

BOOST_AUTO_TEST_CASE(sent_service_call_with_broken_connection_has_unknown_outcome)
{
    SchedulerFixture scheduler(serviceSettings());
    scheduler.receive(makeBooking("x"));
    BOOST_TEST(scheduler.hasStarted("x"));
    scheduler.applyEvent(RunFailed{{"x"}, true});
    BOOST_TEST(scheduler.failureOf("x").runState_ == RunState::OutcomeUnknown);
    scheduler.receive(makeBooking("x"));
    BOOST_TEST(scheduler.commands<StartRun>().size() == 1U);
    BOOST_TEST(scheduler.commands<ReadEngineState>().empty());
}

BOOST_AUTO_TEST_CASE(unload_with_unknown_outcome_is_repeated_with_higher_fencing_number)
{
    TargetSettings target = engineSettings();
    target.adapterSlots_ = 1;
    SchedulerFixture scheduler(target);
    scheduler.bringUp({b});
    scheduler.receive(makeOffer("x", "a"));
    BOOST_TEST(scheduler.orders(OrderKind::Unload).size() == 1U);
    scheduler.endOrder(OrderOutcome::Unknown);
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({b}));
    const auto unloads = scheduler.orders(OrderKind::Unload);
    BOOST_TEST(unloads.size() == 2U);
    BOOST_TEST(unloads.at(1).fencingNumber_.value_ > unloads.at(0).fencingNumber_.value_);
}
