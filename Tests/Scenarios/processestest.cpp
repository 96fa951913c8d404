#include "processes.h"

#include <boost/test/unit_test.hpp>

#include <sys/wait.h>
#include <unistd.h>

using namespace scenarios;

BOOST_AUTO_TEST_SUITE(processes)

BOOST_AUTO_TEST_CASE(aPortOfAStoppedProcessIsNotTakenByAnotherRunner)
{
    unsigned ownNext = 0;
    const auto own = takePortFrom(ownNext);
    BOOST_REQUIRE(own.has_value());

    const pid_t other = ::fork();
    BOOST_REQUIRE(other >= 0);
    if (other == 0) {
        unsigned otherNext = ownNext - 1;
        ::_exit(takePortFrom(otherNext) == own ? 1 : 0);
    }
    int status = 0;
    BOOST_REQUIRE(::waitpid(other, &status, 0) == other);
    BOOST_TEST(WIFEXITED(status));
    BOOST_TEST(WEXITSTATUS(status) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
