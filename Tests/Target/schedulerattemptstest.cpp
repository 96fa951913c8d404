#define BOOST_TEST_MODULE Target
#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

BOOST_AUTO_TEST_CASE(offer_is_loaded_run_and_answered)
{
    SchedulerFixture scheduler;
    scheduler.bringUp();
    scheduler.receive(makeOffer("x"));
    BOOST_TEST(scheduler.sentMessages<OfferAccepted>().size() == 1U);
    BOOST_TEST(!scheduler.hasStarted("x"));
    BOOST_TEST(scheduler.orders(OrderKind::Load).size() == 1U);
    scheduler.endOrder(OrderOutcome::Done);
    BOOST_TEST(scheduler.hasStarted("x"));
    scheduler.applyEvent(RunResponseHead{{"x"}, 200, "text/event-stream"});
    scheduler.applyEvent(RunResponseBytes{{"x"}, "one", 1});
    scheduler.applyEvent(RunResponseBytes{{"x"}, "two", 2});
    scheduler.applyEvent(RunEnded{{"x"}, 2});
    const auto chunks = scheduler.sentMessages<AnswerChunk>();
    BOOST_TEST(chunks.size() == 2U);
    BOOST_TEST(chunks.at(1).offset_ == 3U);
    BOOST_TEST(chunks.at(1).tokensRun_ == 12);
    const auto ends = scheduler.sentMessages<AnswerEnd>();
    BOOST_TEST(ends.size() == 1U);
    BOOST_TEST(ends.at(0).length_ == 6U);
    BOOST_TEST(ends.at(0).tokensRun_ == 12);
    scheduler.receive(AnswerReceived{{"x"}});
    BOOST_TEST(scheduler.scheduler_.attempts_.open_.empty());
}

BOOST_AUTO_TEST_CASE(query_tombstones_unstarted_attempt_and_late_offer_is_refused)
{
    SchedulerFixture scheduler;
    scheduler.bringUp();
    scheduler.receive(AttemptQuery{{"never"}, schedulerIncarnation, 0});
    BOOST_TEST(scheduler.refusalReason("never") == Reason::Tombstone);
    scheduler.receive(makeOffer("never"));
    BOOST_TEST(scheduler.sentMessages<OfferRefused>().size() == 2U);
    BOOST_TEST(scheduler.sentMessages<OfferAccepted>().empty());
    scheduler.receive(makeOffer("queued"));
    scheduler.receive(AttemptQuery{{"queued"}, schedulerIncarnation, 0});
    BOOST_TEST(scheduler.refusalReason("queued") == Reason::Tombstone);
    BOOST_TEST(scheduler.scheduler_.queue_.size_ == 0U);
}

BOOST_AUTO_TEST_CASE(query_without_give_up_keeps_queued_attempt)
{
    SchedulerFixture scheduler;
    scheduler.bringUp();
    scheduler.receive(makeOffer("x"));
    AttemptQuery query{{"x"}, schedulerIncarnation, 0};
    query.giveUp_ = false;
    scheduler.receive(query);
    BOOST_TEST(scheduler.refusalReason("x") == Reason::None);
    BOOST_TEST(scheduler.sentMessages<OfferAccepted>().size() == 2U);
}

BOOST_AUTO_TEST_CASE(full_tombstone_table_reports_unknown_outcome)
{
    SchedulerFixture scheduler;
    scheduler.scheduler_.attempts_.policy_.maxTombstones_ = 0;
    scheduler.bringUp();
    scheduler.receive(AttemptQuery{{"never"}, schedulerIncarnation, 0});
    BOOST_TEST(scheduler.refusalReason("never") == Reason::None);
    BOOST_TEST(scheduler.failureOf("never").runState_ == RunState::OutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(messages_for_another_incarnation_are_rejected)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    scheduler.receive(AttemptQuery{{"x"}, Incarnation{999}, 0});
    BOOST_TEST(scheduler.failureOf("x").runState_ == RunState::OutcomeUnknown);
    Offer offer = makeOffer("y");
    offer.targetIncarnation_ = Incarnation{999};
    scheduler.receive(offer);
    BOOST_TEST(scheduler.refusalReason("y") == Reason::WrongIncarnation);
    BOOST_TEST(!scheduler.hasStarted("y"));
}

BOOST_AUTO_TEST_CASE(repeated_offer_never_starts_a_second_run)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    scheduler.receive(makeOffer("x"));
    scheduler.receive(makeOffer("x"));
    scheduler.applyEvent(RunEnded{{"x"}, 1});
    scheduler.receive(makeOffer("x"));
    scheduler.receive(AnswerReceived{{"x"}});
    scheduler.receive(makeOffer("x"));
    BOOST_TEST(scheduler.commands<StartRun>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(started_attempt_resumes_at_the_requested_offset)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    scheduler.receive(makeOffer("x"));
    scheduler.applyEvent(RunResponseHead{{"x"}, 200, "text/event-stream"});
    scheduler.applyEvent(RunResponseBytes{{"x"}, "abcdef", 1});
    scheduler.applyEvent(RunEnded{{"x"}, 1});
    scheduler.clear();
    scheduler.receive(AttemptQuery{{"x"}, schedulerIncarnation, 4});
    BOOST_TEST(scheduler.sentMessages<AnswerHead>().size() == 1U);
    BOOST_TEST(scheduler.sentMessages<AnswerChunk>().at(0).offset_ == 4U);
    BOOST_TEST(scheduler.sentMessages<AnswerChunk>().at(0).bytes_ == "ef");
    BOOST_TEST(scheduler.sentMessages<AnswerEnd>().at(0).length_ == 6U);
}

BOOST_AUTO_TEST_CASE(discarded_answer_is_reported_as_ran)
{
    TargetSettings target = engineSettings();
    target.answerBytes_ = 4;
    SchedulerFixture scheduler(target);
    scheduler.bringUp({makeAdapter("a")});
    scheduler.receive(makeOffer("x"));
    scheduler.applyEvent(RunResponseBytes{{"x"}, "abcdef", 1});
    scheduler.receive(AttemptQuery{{"x"}, schedulerIncarnation, 0});
    BOOST_TEST(scheduler.failureOf("x").runState_ == RunState::Ran);
    BOOST_TEST(scheduler.commands<CancelRun>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancel_stops_queued_and_running_attempts)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    scheduler.receive(makeOffer("x"));
    scheduler.receive(makeOffer("y"));
    scheduler.receive(makeOffer("z"));
    scheduler.receive(AttemptCancel{{"z"}});
    BOOST_TEST(scheduler.refusalReason("z") == Reason::Cancelled);
    scheduler.receive(AttemptCancel{{"x"}});
    BOOST_TEST(scheduler.commands<CancelRun>().size() == 1U);
    scheduler.applyEvent(RunFailed{{"x"}, true});
    BOOST_TEST(scheduler.failureOf("x").reason_ == Reason::Cancelled);
    BOOST_TEST(scheduler.failureOf("x").tokensRun_ == 10);
    // The engine's state has not shown yet that the run has ended.
    scheduler.receive(makeOffer("next"));
    BOOST_TEST(!scheduler.hasStarted("next"));
    scheduler.reportEngineState(SchedulerFixture::makeEngineState({makeAdapter("a")}));
    BOOST_TEST(scheduler.hasStarted("next"));
}

BOOST_AUTO_TEST_CASE(attempts_past_their_deadline_are_refused_or_cancelled)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    Offer offer = makeOffer("x");
    offer.timeLeftMicros_ = 1'000'000;
    scheduler.receive(offer);
    offer = makeOffer("queued", "b");
    offer.timeLeftMicros_ = 1'000'000;
    scheduler.receive(offer);
    offer = makeOffer("late");
    offer.timeLeftMicros_ = 0;
    scheduler.receive(offer);
    BOOST_TEST(scheduler.refusalReason("late") == Reason::DeadlinePassed);
    scheduler.advance(std::chrono::seconds(2));
    BOOST_TEST(scheduler.refusalReason("queued") == Reason::DeadlinePassed);
    BOOST_TEST(scheduler.commands<CancelRun>().size() == 1U);
    scheduler.applyEvent(RunFailed{{"x"}, true});
    BOOST_TEST(scheduler.failureOf("x").reason_ == Reason::DeadlinePassed);
}

BOOST_AUTO_TEST_CASE(draining_scheduler_finishes_accepted_attempts)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    scheduler.receive(makeOffer("x"));
    scheduler.receive(makeOffer("queued", "b"));
    scheduler.clear();
    scheduler.apply(Drain{});
    BOOST_TEST(std::holds_alternative<SendHeartbeat>(scheduler.actions_.at(0)));
    scheduler.receive(makeOffer("new"));
    BOOST_TEST(scheduler.refusalReason("new") == Reason::Leaving);
    scheduler.applyEvent(RunEnded{{"x"}, 1});
    scheduler.applyEvent(OrderEnded{1, OrderKind::Load, makeAdapter("b"), OrderOutcome::Done});
    BOOST_TEST(scheduler.hasStarted("queued"));
    scheduler.applyEvent(RunEnded{{"queued"}, 1});
    scheduler.receive(AnswerReceived{{"x"}});
    BOOST_TEST(!isDrained(scheduler.scheduler_));
    scheduler.advance(std::chrono::seconds(6));
    BOOST_TEST(isDrained(scheduler.scheduler_));
}

BOOST_AUTO_TEST_CASE(offers_are_checked_against_own_rules)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    Offer newer = makeOffer("newer");
    newer.rulesRevision_ = {2};
    newer.keyId_ = {"k9"};
    scheduler.receive(newer);
    BOOST_TEST(scheduler.refusalReason("newer") == Reason::RulesStale);
    BOOST_TEST(scheduler.sentMessages<RulesRequest>().size() == 1U);
    Offer gone = makeOffer("gone");
    gone.keyId_ = {"k9"};
    scheduler.receive(gone);
    BOOST_TEST(scheduler.refusalReason("gone") == Reason::KeyWithdrawn);
    Offer other = makeOffer("other");
    other.account_ = {"account2"};
    scheduler.receive(other);
    BOOST_TEST(scheduler.refusalReason("other") == Reason::KeyWithdrawn);
    Offer keyless = makeOffer("keyless");
    keyless.keyId_ = {};
    scheduler.receive(keyless);
    BOOST_TEST(scheduler.refusalReason("keyless") == Reason::UnknownRoute);
    Offer open = makeOffer("open", "open");
    open.keyId_ = {};
    open.adapter_ = makeAdapter("a");
    scheduler.receive(open);
    BOOST_TEST(scheduler.hasStarted("open"));
    Offer version = makeOffer("version");
    version.adapter_ = makeAdapter("a", "2");
    scheduler.receive(version);
    BOOST_TEST(scheduler.refusalReason("version") == Reason::RulesStale);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_refuses_queued_attempts_and_running_ones_finish)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    scheduler.receive(makeOffer("running"));
    scheduler.receive(makeOffer("queued", "b"));
    scheduler.receive(makeOffer("moved", "c", "2"));
    Rules rules = makeRules(2);
    rules.keys_.erase({"k1"});
    rules.routes_.at({"c"}).adapter_ = makeAdapter("c", "2");
    scheduler.apply(RulesReceived{rules});
    BOOST_TEST(scheduler.refusalReason("queued") == Reason::KeyWithdrawn);
    BOOST_TEST(scheduler.refusalReason("moved") == Reason::RulesStale);
    BOOST_TEST(scheduler.refusalReason("running") == Reason::None);
    scheduler.apply(RulesReceived{makeRules(1)});
    BOOST_TEST(scheduler.scheduler_.rules_.revision_.value_ == 2U);
}

BOOST_AUTO_TEST_CASE(keyed_offers_are_refused_when_rules_are_stale)
{
    SchedulerFixture scheduler;
    scheduler.bringUp({makeAdapter("a")});
    scheduler.now_ += std::chrono::hours(5);
    scheduler.receive(makeOffer("x"));
    BOOST_TEST(scheduler.refusalReason("x") == Reason::RulesStale);
    scheduler.apply(RulesConfirmed{});
    scheduler.receive(makeOffer("y"));
    BOOST_TEST(scheduler.refusalReason("y") == Reason::None);
}

BOOST_AUTO_TEST_CASE(full_queue_refuses_with_retry_delay)
{
    SchedulerFixture scheduler;
    scheduler.bringUp();
    for (int number = 0; number < 9; ++number)
        scheduler.receive(makeOffer("x" + std::to_string(number)));
    BOOST_TEST(scheduler.refusalReason("x8") == Reason::QueueFull);
    BOOST_TEST(scheduler.sentMessages<OfferRefused>().at(0).retryAfterMillis_ > 0);
}
