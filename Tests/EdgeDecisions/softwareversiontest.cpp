#include "Edge/targetstate.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

TargetState listedTarget(const std::string &version, std::uint64_t startedAt)
{
    TargetState target;
    target.listed_.service_ = "mind";
    target.listed_.softwareVersion_ = version;
    target.listed_.startedAt_ = startedAt;
    return target;
}

} // namespace

// Guards against streams that go on at a process that started with another version under its id.
BOOST_AUTO_TEST_CASE(listed_version_counts_for_the_listed_process_only)
{
    TargetState target = listedTarget("v1", 5);
    const NameHash first = softwareVersionOf(target);
    BOOST_TEST(first != 0U);
    BOOST_TEST(first != softwareVersionOf(listedTarget("v2", 5)));
    target.hasAgentReport_ = true;
    target.startedAt_ = 5;
    BOOST_TEST(softwareVersionOf(target) == first);
    // Its agent has seen a later start than the list shows, or an earlier one.
    for (const std::uint64_t startedAt : {6U, 4U}) {
        target.startedAt_ = startedAt;
        BOOST_TEST(softwareVersionOf(target) == 0U);
    }
    target.startedAt_ = 5;
    target.isReplaced_ = true;
    BOOST_TEST(softwareVersionOf(target) == 0U);
    BOOST_TEST(softwareVersionOf(listedTarget("", 5)) == 0U);
}
