#include "Vm/servingsettings.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const std::string repositoryRoot = std::string(FEATURE_FOLDER) + "/../../";

} // namespace

BOOST_AUTO_TEST_SUITE(servingsettings)

BOOST_AUTO_TEST_CASE(example_settings_are_valid)
{
    const auto edge = readServingSettings(repositoryRoot + "docs/examples/edge.ini");
    BOOST_REQUIRE_MESSAGE(ok(edge), (ok(edge) ? "" : settingsFaultsText(errorOf(edge))));
    BOOST_TEST(valueOf(edge).vm_ == "edge-1");
    BOOST_TEST((valueOf(edge).bounds_.revoke_ == 5s));
    BOOST_TEST(valueOf(edge).bounds_.retryShare_ == 0.2);
    const auto agent = readServingSettings(repositoryRoot + "docs/examples/agent.ini");
    BOOST_REQUIRE(ok(agent));
    BOOST_TEST(valueOf(agent).engineService_ == "advice");
}

BOOST_AUTO_TEST_CASE(faults_state_file_line_and_correction)
{
    const auto settings = parseServingSettings("[vm]\nname = a\nname2 = b\n"
                                               "[listen]\npeers = nowhere\n",
                                               "bad.ini");
    BOOST_REQUIRE(!ok(settings));
    const std::string text = settingsFaultsText(errorOf(settings));
    BOOST_TEST(text.find("bad.ini:3: [vm] has no setting \"name2\"; use one of") != text.npos,
               text);
    BOOST_TEST(text.find("bad.ini:5: [listen] peers") != text.npos, text);
    BOOST_TEST(text.find("[platform] store is missing") != text.npos, text);
}

BOOST_AUTO_TEST_CASE(missing_file_is_reported_as_fault)
{
    BOOST_TEST(!ok(readServingSettings(repositoryRoot + "no/such.ini")));
}

BOOST_AUTO_TEST_SUITE_END()
