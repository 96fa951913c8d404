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
    removeExpiredNotices(notices, now + 61min);
    BOOST_TEST(notices.instances_.empty());
}
