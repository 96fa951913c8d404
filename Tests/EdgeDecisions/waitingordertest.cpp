#include "Edge/waitingorder.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

WaitingRequest waitingWith(int priority, Duration toObjective)
{
    return {priority, now + toObjective, now + 2s};
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_that_can_meet_their_objective_go_before_those_that_cannot)
{
    const WaitingRequest late = waitingWith(0, 50ms);
    const WaitingRequest tight = waitingWith(0, 200ms);
    const WaitingRequest fresh = waitingWith(0, 480ms);
    BOOST_TEST(isOrderedBefore(tight, fresh, now));
    BOOST_TEST(isOrderedBefore(fresh, late, now));
    BOOST_TEST(!isOrderedBefore(late, tight, now));
    // After 400 ms neither can meet its objective, and the one with the earlier objective goes
    // first.
    BOOST_TEST(isOrderedBefore(late, tight, now + 400ms));
}

BOOST_AUTO_TEST_CASE(urgent_requests_go_first_even_if_late)
{
    BOOST_TEST(isOrderedBefore(waitingWith(0, -500ms), waitingWith(2, 400ms), now));
    BOOST_TEST(!isOrderedBefore(waitingWith(2, 400ms), waitingWith(0, -500ms), now));
}

BOOST_AUTO_TEST_CASE(requests_that_exceed_their_wait_limit_are_found_on_arrival)
{
    std::vector<WaitingRequest> inOrder(30, waitingWith(0, 400ms));
    // Ten requests are placed per second, and each waits two seconds at most.
    const std::vector<bool> unservable = findUnservable(inOrder, 10, now);
    BOOST_TEST(std::count(unservable.begin(), unservable.end(), false) == 21);
    BOOST_TEST(!unservable.front());
    BOOST_TEST(unservable.back());
}

BOOST_AUTO_TEST_CASE(refused_requests_do_not_count_as_ahead_of_others)
{
    std::vector<WaitingRequest> inOrder(3, waitingWith(0, 400ms));
    inOrder[1].waitUntil_ = now;
    inOrder[2].waitUntil_ = now + 100ms;
    const std::vector<bool> unservable = findUnservable(inOrder, 10, now);
    BOOST_TEST(unservable[1]);
    BOOST_TEST(!unservable[2]);
}

BOOST_AUTO_TEST_CASE(no_request_is_refused_while_the_placement_rate_is_unknown)
{
    const std::vector<WaitingRequest> inOrder(30, waitingWith(0, 400ms));
    const std::vector<bool> unservable = findUnservable(inOrder, 0, now);
    BOOST_TEST(std::count(unservable.begin(), unservable.end(), true) == 0);
}
