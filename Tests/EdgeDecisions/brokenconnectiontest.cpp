#include "Edge/brokenconnection.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time brokenAt = Time(100s);
const Time neverCrashed = Time(0s);

BrokenConnection brokenConnection()
{
    return {brokenAt, brokenAt};
}

} // namespace

// Guards against crashes being counted only if another request happens to be sent to the target.
BOOST_AUTO_TEST_CASE(refused_connection_after_the_break_is_a_crash)
{
    const BrokenConnection broken = brokenConnection();
    BOOST_TEST((judgeBreak(broken, {}, neverCrashed, brokenAt) == BreakCause::Unknown));
    BOOST_TEST(isProbeDue(broken, {}, brokenAt));
    BOOST_TEST((judgeBreak(broken, {}, brokenAt + 1ms, brokenAt + 1ms) == BreakCause::Crash));
    BOOST_TEST((judgeBreak(broken, {}, brokenAt + 1ms, brokenAt + 10s) == BreakCause::Crash));
    // An earlier crash explains no later break.
    BOOST_TEST((judgeBreak(broken, {}, brokenAt - 1s, brokenAt) == BreakCause::Unknown));
}

BOOST_AUTO_TEST_CASE(target_that_goes_on_listening_has_not_crashed)
{
    BrokenConnection broken = brokenConnection();
    recordProbe(broken, ProbeResult::Listening, brokenAt, brokenAt + 1ms);
    BOOST_TEST((judgeBreak(broken, {}, neverCrashed, brokenAt + 1ms) == BreakCause::Unknown));
    BOOST_TEST(!isProbeDue(broken, {}, brokenAt + 50ms));
    const Time second = brokenAt + 200ms;
    BOOST_TEST(isProbeDue(broken, {}, second));
    recordProbe(broken, ProbeResult::Listening, second, second + 1ms);
    BOOST_TEST((judgeBreak(broken, {}, neverCrashed, second + 1ms) == BreakCause::ConnectionOnly));
}

BOOST_AUTO_TEST_CASE(probe_before_the_break_shows_nothing)
{
    BrokenConnection broken = brokenConnection();
    recordProbe(broken, ProbeResult::Listening, brokenAt - 1ms, brokenAt + 1ms);
    BOOST_TEST(broken.answeredProbes_ == 0);
    BOOST_TEST(isProbeDue(broken, {}, brokenAt + 1ms));
}

BOOST_AUTO_TEST_CASE(target_that_does_not_answer_is_probed_again_until_the_time_limit)
{
    BrokenConnection broken = brokenConnection();
    Time now = brokenAt;
    std::size_t probes = 0;
    while (judgeBreak(broken, {}, neverCrashed, now) == BreakCause::Unknown) {
        if (isProbeDue(broken, {}, now)) {
            ++probes;
            recordProbe(broken, ProbeResult::NoAnswer, now, now + 300ms);
        }
        now += 50ms;
    }
    BOOST_TEST(probes >= 4);
    BOOST_TEST(probes <= 6);
    BOOST_TEST((judgeBreak(broken, {}, neverCrashed, now) == BreakCause::NoEvidence));
}

BOOST_AUTO_TEST_CASE(announced_end_is_no_crash)
{
    TargetState listed;
    listed.listed_.draining_ = true;
    TargetState reported;
    reported.isDraining_ = true;
    TargetState responded;
    recordLeaving(responded.notice_, LeavingSource::Response);
    for (const TargetState &target : {listed, reported, responded}) {
        BOOST_TEST((judgeBreak(brokenConnection(), target, brokenAt + 1ms, brokenAt + 1ms)
                    == BreakCause::PlannedEnd));
    }
}

BOOST_AUTO_TEST_CASE(lost_link_is_no_crash)
{
    for (const char *reason : {"ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH"})
        BOOST_TEST(!mayBeCrash(reason), reason);
    for (const char *reason : {"closed", "ECONNRESET", "EPIPE"})
        BOOST_TEST(mayBeCrash(reason), reason);
}

BOOST_AUTO_TEST_CASE(agent_in_contact_spares_the_probe)
{
    TargetState target;
    target.hasAgentReport_ = true;
    target.agentReportedAt_ = brokenAt;
    BOOST_TEST(!isProbeDue(brokenConnection(), target, brokenAt + 100ms));
    BOOST_TEST(isProbeDue(brokenConnection(), target, brokenAt + 600ms));
}
