#define BOOST_TEST_MODULE Vm
#include "Vm/boundedring.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

BOOST_AUTO_TEST_CASE(fullRingRefusesAndKeepsWhatItHolds)
{
    BoundedRing<int> ring(2);
    BOOST_TEST(ring.tryPush(1));
    BOOST_TEST(ring.tryPush(2));
    BOOST_TEST(!ring.tryPush(3));
    BOOST_TEST(*ring.pop(Duration(0)) == 1);
    BOOST_TEST(*ring.pop(Duration(0)) == 2);
    BOOST_TEST(!ring.pop(Duration(0)).has_value());
}

BOOST_AUTO_TEST_CASE(closedRingDrainsThenEnds)
{
    BoundedRing<int> ring(2);
    BOOST_TEST(ring.tryPush(1));
    ring.close();
    BOOST_TEST(!ring.tryPush(2));
    BOOST_TEST(*ring.pop(Duration(0)) == 1);
    BOOST_TEST(!ring.pop(Duration(0)).has_value());
}
