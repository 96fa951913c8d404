#include "Edge/scarcity.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time start = Time(100s);
constexpr NameHash service = 7;

HoldCandidate candidateOf(int priority, double freeFraction = 0)
{
    return {service, priority, freeFraction, 0, 0.5, start, start + 8s};
}

WaitingRow rowOf(int priority, int waiting, Duration wait, NameHash rowService = service)
{
    WaitingRow row = makeWaitingRow(rowService, priority);
    for (int request = 0; request < waiting; ++request)
        addWaiting(row, wait, {});
    return row;
}

/// Scarcity of the service with a wait of this priority at this entry.
Scarcity scarcityWith(int priority, Duration wait = 300ms)
{
    Scarcity scarcity;
    scarcity.ownRows_ = {rowOf(priority, 3, wait)};
    updateThresholds(scarcity, start);
    return scarcity;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_less_urgent_requests_of_the_service_are_held)
{
    Scarcity scarcity = scarcityWith(1);
    BOOST_TEST(!isHeldForUrgent(scarcity, candidateOf(0), start));
    BOOST_TEST(!isHeldForUrgent(scarcity, candidateOf(1), start));
    BOOST_TEST(isHeldForUrgent(scarcity, candidateOf(2), start));
    HoldCandidate other = candidateOf(2);
    other.service_ = service + 1;
    BOOST_TEST(!isHeldForUrgent(scarcity, other, start));
}

BOOST_AUTO_TEST_CASE(equal_priorities_are_never_held)
{
    // Guards against an effect of the threshold where priorities don't differ.
    for (const int priority : {0, 1, 9, 255}) {
        const Scarcity scarcity = scarcityWith(priority, 5s);
        BOOST_TEST(!isHeldForUrgent(scarcity, candidateOf(priority), start));
    }
}

BOOST_AUTO_TEST_CASE(short_waits_hold_nothing)
{
    BOOST_TEST(!thresholdOf(scarcityWith(0, 199ms), service).has_value());
    BOOST_TEST((thresholdOf(scarcityWith(0, 200ms), service) == 0));
}

BOOST_AUTO_TEST_CASE(held_requests_use_targets_with_free_slots)
{
    const Scarcity scarcity = scarcityWith(0);
    BOOST_TEST(isHeldForUrgent(scarcity, candidateOf(2, 0.19), start));
    BOOST_TEST(!isHeldForUrgent(scarcity, candidateOf(2, 0.2), start));
}

BOOST_AUTO_TEST_CASE(one_in_ten_is_not_held)
{
    const Scarcity scarcity = scarcityWith(0);
    constexpr unsigned seed = 4;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::minstd_rand random(seed);
    std::uniform_real_distribution<double> draws(0, 1);
    int admitted = 0;
    for (int at = 0; at < 10'000; ++at) {
        HoldCandidate candidate = candidateOf(2);
        candidate.draw_ = draws(random);
        const bool isHeld = isHeldForUrgent(scarcity, candidate, start);
        admitted += isHeld ? 0 : 1;
        // The same request gets the same decision when it is tried again.
        BOOST_TEST(isHeldForUrgent(scarcity, candidate, start + 50ms) == isHeld);
    }
    BOOST_TEST(admitted > 850);
    BOOST_TEST(admitted < 1150);
}

BOOST_AUTO_TEST_CASE(no_more_requests_are_held_than_the_urgent_ones_need_slots)
{
    // Guards against idle slots: holding all for a few urgent requests made the urgent ones later.
    const Scarcity scarcity = scarcityWith(0);
    const ScarcityThreshold &threshold = scarcity.thresholds_.at(service);
    BOOST_TEST(threshold.lacking_ == 3U);
    // Three lack room, and ten slots become free until other entries know of them.
    BOOST_TEST(std::abs(admittedFraction(scarcity, threshold, 200) - 0.7) < 1e-9);
    BOOST_TEST(admittedFraction(scarcity, threshold, 1e6) > 0.99);
    BOOST_TEST(admittedFraction(scarcity, threshold, 1) == 0.1);
    BOOST_TEST(admittedFraction(scarcity, threshold, 0) == 0.1);
    HoldCandidate candidate = candidateOf(2);
    candidate.completionsPerSecond_ = 200;
    BOOST_TEST(!isHeldForUrgent(scarcity, candidate, start));
    candidate.draw_ = 0.8;
    BOOST_TEST(isHeldForUrgent(scarcity, candidate, start));
}

BOOST_AUTO_TEST_CASE(no_request_is_held_once_the_urgent_ones_have_room)
{
    // Guards against a hold that goes on for the time that the threshold takes to relax.
    Scarcity scarcity = scarcityWith(0);
    scarcity.ownRows_ = {};
    updateThresholds(scarcity, start + 50ms);
    BOOST_TEST((thresholdOf(scarcity, service) == 0));
    HoldCandidate candidate = candidateOf(2);
    candidate.completionsPerSecond_ = 1;
    BOOST_TEST(!isHeldForUrgent(scarcity, candidate, start + 50ms));
}

BOOST_AUTO_TEST_CASE(request_is_not_held_until_its_maximum_wait)
{
    // Guards against requests that are refused only because they were held.
    const Scarcity scarcity = scarcityWith(0);
    const HoldCandidate candidate = candidateOf(2);
    BOOST_TEST(isHeldForUrgent(scarcity, candidate, start + 3900ms));
    BOOST_TEST(!isHeldForUrgent(scarcity, candidate, start + 4s));
}

BOOST_AUTO_TEST_CASE(threshold_is_relaxed_by_one_priority_at_a_time)
{
    Scarcity scarcity = scarcityWith(0);
    scarcity.ownRows_ = {rowOf(1, 3, 900ms), rowOf(2, 3, 900ms)};
    BOOST_TEST(updateThresholds(scarcity, start + 399ms).empty());
    BOOST_TEST((thresholdOf(scarcity, service) == 0));
    BOOST_TEST(updateThresholds(scarcity, start + 400ms).size() == 1U);
    BOOST_TEST((thresholdOf(scarcity, service) == 1));
    scarcity.ownRows_ = {};
    updateThresholds(scarcity, start + 799ms);
    BOOST_TEST((thresholdOf(scarcity, service) == 1));
    updateThresholds(scarcity, start + 800ms);
    BOOST_TEST(!thresholdOf(scarcity, service).has_value());
}

BOOST_AUTO_TEST_CASE(rows_of_a_peer_are_valid_until_its_next_message_or_the_time_limit)
{
    Scarcity scarcity;
    const std::vector<WaitingRow> rows = {rowOf(0, 4, 200ms)};
    applyPeerRows(scarcity, 1, rows, start);
    BOOST_TEST(waitingAtAll(scarcity, service, 0, start).waiting_ == 4U);
    updateThresholds(scarcity, start);
    BOOST_TEST((thresholdOf(scarcity, service) == 0));
    // The peer is lost: its rows expire, and the threshold is relaxed after them.
    BOOST_TEST(waitingAtAll(scarcity, service, 0, start + 601ms).waiting_ == 0U);
    for (Duration since{}; since <= 1000ms; since += 50ms)
        updateThresholds(scarcity, start + since);
    BOOST_TEST(!thresholdOf(scarcity, service).has_value());
    BOOST_TEST(scarcity.peers_.empty());
    // The next message without rows ends them at once.
    applyPeerRows(scarcity, 1, rows, start + 2s);
    applyPeerRows(scarcity, 1, {}, start + 2200ms);
    BOOST_TEST(waitingAtAll(scarcity, service, 0, start + 2200ms).waiting_ == 0U);
}

BOOST_AUTO_TEST_CASE(waits_at_all_entries_count_up_to_the_priority)
{
    Scarcity scarcity;
    applyPeerRows(scarcity, 1,
                  {rowOf(0, 4, 200ms), rowOf(2, 30, 200ms), rowOf(0, 500, 200ms, service + 1)},
                  start);
    applyPeerRows(scarcity, 2, {rowOf(1, 6, 0ms)}, start);
    BOOST_TEST(waitingAtAll(scarcity, service, 0, start).waiting_ == 4U);
    BOOST_TEST(waitingAtAll(scarcity, service, 1, start).waiting_ == 10U);
    BOOST_TEST(waitingAtAll(scarcity, service, 2, start).waiting_ == 40U);
}

BOOST_AUTO_TEST_CASE(eight_most_urgent_rows_are_reported)
{
    Scarcity scarcity;
    for (int priority = 9; priority >= 0; --priority)
        scarcity.ownRows_.push_back(rowOf(priority, 1, 1s));
    const std::vector<WaitingRow> rows = rowsToReport(scarcity);
    BOOST_TEST(rows.size() == 8U);
    BOOST_TEST(rows.front().priority_ == 0);
    BOOST_TEST(rows.back().priority_ == 7);
}

BOOST_AUTO_TEST_CASE(numbers_beyond_the_range_of_a_row_are_limited)
{
    const WaitingRow row = rowOf(4000, 70'000, 1h);
    BOOST_TEST(row.priority_ == 255);
    BOOST_TEST(row.waiting_ == 65535);
    BOOST_TEST(row.lacking_ == 65535);
    BOOST_TEST(row.longestWaitMillis_ == 65535);
    BOOST_TEST(rowOf(-1, 1, -1s).priority_ == 0);
    BOOST_TEST(rowOf(0, 1, -1s).longestWaitMillis_ == 0);
}

BOOST_AUTO_TEST_CASE(only_long_waits_count_as_lacking_room)
{
    WaitingRow row = rowOf(0, 3, 199ms);
    addWaiting(row, 200ms, {});
    BOOST_TEST(row.waiting_ == 4);
    BOOST_TEST(row.lacking_ == 1);
    BOOST_TEST(row.longestWaitMillis_ == 200);
}

BOOST_AUTO_TEST_CASE(completions_of_all_entries_are_never_below_the_own_ones)
{
    BOOST_TEST(completionsOfAll(10, 20, 100) == 50);
    // No request of this entry runs, or the reports are older than its own requests.
    BOOST_TEST(completionsOfAll(10, 0, 100) == 10);
    BOOST_TEST(completionsOfAll(10, 20, 5) == 10);
}
