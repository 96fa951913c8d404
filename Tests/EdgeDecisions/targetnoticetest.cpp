#include "Edge/targetnotice.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const Time now = Time(100s);

TargetNotice leavingNotice()
{
    TargetNotice notice;
    recordLeaving(notice, LeavingSource::Response);
    return notice;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_instance_that_leaves_is_remembered_while_it_is_not_listed)
{
    RememberedNotices notices;
    rememberNotice(notices, {"a", 5}, leavingNotice(), now);
    BOOST_TEST(!takeRemembered(notices, {"b", 5}).leaving_.has_value());
    BOOST_TEST(!takeRemembered(notices, {"a", 6}).leaving_.has_value());
    BOOST_TEST((takeRemembered(notices, {"a", 5}).leaving_ == LeavingSource::Response));
}

BOOST_AUTO_TEST_CASE(an_unknown_start_does_not_tell_instances_apart)
{
    RememberedNotices notices;
    rememberNotice(notices, {"a", 0}, leavingNotice(), now);
    BOOST_TEST(takeRemembered(notices, {"a", 5}).leaving_.has_value());
    rememberNotice(notices, {"a", 5}, leavingNotice(), now);
    BOOST_TEST(takeRemembered(notices, {"a", 0}).leaving_.has_value());
}

BOOST_AUTO_TEST_CASE(the_first_source_of_leaving_is_kept)
{
    TargetNotice notice;
    BOOST_TEST(recordLeaving(notice, LeavingSource::Response));
    BOOST_TEST(!recordLeaving(notice, LeavingSource::List));
    BOOST_TEST((notice.leaving_ == LeavingSource::Response));
}

BOOST_AUTO_TEST_CASE(a_shorter_pause_does_not_shorten_one_before)
{
    TargetNotice notice;
    BOOST_TEST(recordPause(notice, 5s, 0, now));
    BOOST_TEST(!recordPause(notice, 1s, 0.9, now + 1s));
    BOOST_TEST(isPaused(notice, now + 4900ms));
    BOOST_TEST(!isPaused(notice, now + 5s));
    BOOST_TEST(recordPause(notice, 5s, 0, now + 1s));
    BOOST_TEST(isPaused(notice, now + 5900ms));
}

BOOST_AUTO_TEST_CASE(a_pause_never_ends_early_and_entries_return_at_different_times)
{
    TargetNotice early;
    TargetNotice late;
    recordPause(early, 2s, 0, now);
    recordPause(late, 2s, 0.99, now);
    BOOST_TEST((early.pausedUntil_ == now + 2s));
    BOOST_TEST((late.pausedUntil_ > now + 2300ms));
    BOOST_TEST((late.pausedUntil_ < now + 2400ms));
    recordPause(late, 1h, 0.99, now);
    BOOST_TEST((late.pausedUntil_ < now + 1h + 1s));
}

BOOST_AUTO_TEST_CASE(a_pause_of_no_time_is_none)
{
    TargetNotice notice;
    BOOST_TEST(!recordPause(notice, 0s, 0.5, now));
    BOOST_TEST(!recordPause(notice, -1s, 0.5, now));
    BOOST_TEST(!notice.isOnTrial_);
}

BOOST_AUTO_TEST_CASE(a_target_gets_two_requests_after_its_pause_until_it_responds)
{
    TargetNotice notice;
    recordPause(notice, 1s, 0, now);
    const Time end = now + 1s;
    recordSend(notice, end);
    BOOST_TEST(!isTrialPending(notice, end));
    recordSend(notice, end);
    BOOST_TEST(isTrialPending(notice, end));
    // A response to a request from before the pause says nothing about its end.
    recordAccepted(notice, now);
    BOOST_TEST(isTrialPending(notice, end));
    // Without a response, one more is tried after a second.
    BOOST_TEST(!isTrialPending(notice, end + 1s));
    recordSend(notice, end + 1s);
    BOOST_TEST(isTrialPending(notice, end + 1s));
    recordAccepted(notice, end);
    BOOST_TEST(!isTrialPending(notice, end + 1s));
    recordSend(notice, end + 1s);
    recordSend(notice, end + 1s);
    BOOST_TEST(!isTrialPending(notice, end + 1s));
}

BOOST_AUTO_TEST_CASE(an_instance_that_pauses_is_remembered_while_it_is_not_listed)
{
    RememberedNotices notices;
    TargetNotice notice;
    recordPause(notice, 5s, 0, now);
    rememberNotice(notices, {"a", 5}, notice, now);
    BOOST_TEST(!isPaused(takeRemembered(notices, {"a", 6}), now + 1s));
    const TargetNotice remembered = takeRemembered(notices, {"a", 5});
    BOOST_TEST(isPaused(remembered, now + 4s));
    BOOST_TEST(remembered.isOnTrial_);
}

BOOST_AUTO_TEST_CASE(remembered_notices_do_not_grow_without_bound)
{
    RememberedNotices notices;
    rememberNotice(notices, {"none", 1}, {}, now);
    BOOST_TEST(notices.instances_.empty());
    for (int number = 0; number < 11'000; ++number)
        rememberNotice(notices, {std::to_string(number), 1}, leavingNotice(), now + number * 1ms);
    BOOST_TEST(notices.instances_.size() == 10'000U);
    BOOST_TEST(takeRemembered(notices, {"10999", 1}).leaving_.has_value());
    removeExpiredNotices(notices, now + 30min);
    BOOST_TEST(!notices.instances_.empty());
    removeExpiredNotices(notices, now + 3h);
    BOOST_TEST(notices.instances_.empty());
}
