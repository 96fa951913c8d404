#include "Observe/buildidentity.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

BOOST_AUTO_TEST_CASE(build_identity_is_hexadecimal_and_part_of_the_version)
{
    const std::string_view identity = buildIdentity();
    BOOST_TEST(identity.size() == 16);
    BOOST_TEST(identity.find_first_not_of("0123456789abcdef") == std::string_view::npos);
    BOOST_TEST(versionText().find(identity) != std::string_view::npos);
}
