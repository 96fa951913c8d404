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

BOOST_AUTO_TEST_CASE(evacuations_and_regions_are_read_and_absent_by_default)
{
    const std::string begin = "[listen]\npeers = 10.0.0.1:7\n[platform]\nstore = 10.0.0.2:8\n"
                              "[vm]\nname = a\ndata_centre = d\nip = 10.0.0.1\n";
    const auto plain = parseServingSettings(begin, "a.ini");
    BOOST_REQUIRE(ok(plain));
    BOOST_TEST(!valueOf(plain).bounds_.evacuation_.has_value());
    BOOST_TEST(valueOf(plain).regions_.empty());
    const auto full = parseServingSettings(
        begin + "regions = d:east, e : west,\n[bounds]\nevacuation = 5000ms\n", "a.ini");
    BOOST_REQUIRE(ok(full));
    BOOST_TEST((valueOf(full).bounds_.evacuation_ == 5s));
    const std::map<std::string, std::string> expected = {{"d", "east"}, {"e", "west"}};
    BOOST_TEST((valueOf(full).regions_ == expected));
    BOOST_TEST(ok(parseServingSettings(begin + "regions =\n", "a.ini")));
    for (const char *regions : {"d", "d:", ":east", "d:east,d:west", "d:east;e:west", ",d:east"})
        BOOST_TEST(!ok(parseServingSettings(begin + "regions = " + regions + "\n", "a.ini")),
                   regions);
}

BOOST_AUTO_TEST_CASE(missing_file_is_reported_as_fault)
{
    BOOST_TEST(!ok(readServingSettings(repositoryRoot + "no/such.ini")));
}

BOOST_AUTO_TEST_SUITE_END()
