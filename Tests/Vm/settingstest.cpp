#include "Vm/settings.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace eelgrasscove;

namespace {

const std::string entryText = R"([vm]
role = entry
vm = entry-1
region = randstad
data_centre = utrecht
[link]
listen = tcp://127.0.0.1:7401
[platform]
key_value_url = http://127.0.0.1:2379
vm_list_url = http://127.0.0.1:2379/vms
[callers]
listen = 127.0.0.1:8080
[keys]
digest_secret = 0123456789abcdef
)";

std::vector<SettingsError> errorsOf(const std::string &text)
{
    const auto result = parseSettings(text, "vm.ini");
    BOOST_REQUIRE(!ok(result));
    return errorOf(result);
}

} // namespace

BOOST_AUTO_TEST_CASE(readsAnEntryAndKeepsDefaults)
{
    const std::string more = "body_bytes = 2 MB ; of one request\n";
    std::string text = entryText;
    text.insert(text.find("[keys]"), more + "caller_timeout = 1500ms\n");
    const auto result = parseSettings(text, "vm.ini");
    if (!ok(result))
        BOOST_FAIL(describeSettingsErrors(errorOf(result)));
    const Settings &settings = valueOf(result);
    BOOST_TEST((settings.vm_.role_ == Role::Entry));
    BOOST_TEST(settings.vm_.dataCentre_.text_ == "utrecht");
    BOOST_TEST(settings.link_.advertise_ == "tcp://127.0.0.1:7401");
    BOOST_TEST(settings.callers_.bodyBytes_ == 2U * 1024 * 1024);
    BOOST_TEST((settings.callers_.callerTimeout_ == std::chrono::milliseconds(1500)));
    BOOST_TEST(settings.callers_.connections_ == CallerSettings().connections_);
}

BOOST_AUTO_TEST_CASE(reportsEveryFaultAtOnceWithItsLine)
{
    const std::string text = "[vm]\n"
                             "role = driver\n"
                             "colour = red\n"
                             "vm = entry-1\n"
                             "vm = entry-2\n"
                             "nonsense\n"
                             "region = r\n"
                             "data_centre = d\n"
                             "[link]\n"
                             "listen = 127.0.0.1:7401\n"
                             "heartbeat_period = 250\n"
                             "peer_queue_messages = 0\n"
                             "more nonsense\n"
                             "[platform]\n"
                             "key_value_url = http://127.0.0.1:2379\n"
                             "call_timeout = 2 days\n"
                             "[weather]\n"
                             "wind = west\n";
    const std::vector<std::uint32_t> expected = {2, 3, 5, 6, 10, 11, 12, 13, 16, 18, 0, 0, 0};
    std::vector<std::uint32_t> lines;
    for (const SettingsError &error : errorsOf(text)) {
        lines.push_back(error.line_);
        BOOST_TEST(error.file_ == "vm.ini");
        BOOST_TEST(!error.message_.empty());
        BOOST_TEST(!error.remedy_.empty());
    }
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(targetNeedsItsOwnSettings)
{
    std::string text = entryText;
    text.replace(text.find("role = entry"), 12, "role = target");
    const std::string described = describeSettingsErrors(errorsOf(text));
    BOOST_TEST(described
               == "vm.ini: [target] group is missing; add it under [target]\n"
                  "vm.ini: [target] url is missing; add it under [target]\n");
}

BOOST_AUTO_TEST_CASE(secretIsNeverRepeated)
{
    std::string text = entryText;
    text.replace(text.find("0123456789abcdef"), 16, "hushhush");
    const std::string described = describeSettingsErrors(errorsOf(text));
    BOOST_TEST(described.find("hushhush") == std::string::npos);
    BOOST_TEST(described.find("vm.ini:14:") == 0U);
}

BOOST_AUTO_TEST_CASE(oddLinesAreFaultsNotCrashes)
{
    const std::string zero("[vm]\nvm = a\0b\n", 14);
    BOOST_TEST(errorsOf(zero).front().line_ == 2U);
    const std::string longLine = "[vm]\nvm = " + std::string(10000, 'x') + "\n";
    BOOST_TEST(errorsOf(longLine).front().line_ == 2U);
    BOOST_TEST(errorsOf("").front().line_ == 0U);
}

BOOST_AUTO_TEST_CASE(aCollectorIsAnAddressAndNoMore)
{
    const std::string section = entryText + "[observe]\ncollector = ";
    const auto good = parseSettings(section + "http://127.0.0.1:4318\n", "vm.ini");
    BOOST_REQUIRE(ok(good));
    BOOST_TEST(valueOf(good).observe_.collector_ == "http://127.0.0.1:4318");
    for (const char *bad : {"https://127.0.0.1:4318", "http://127.0.0.1", "http://otel:4318",
                            "http://127.0.0.1:4318/v1/traces"}) {
        const SettingsError error = errorsOf(section + bad + "\n").front();
        BOOST_TEST(error.line_ == 16U, bad);
        BOOST_TEST(error.remedy_ == "write http://IP:PORT", bad);
    }
}

BOOST_AUTO_TEST_CASE(examplesAreGoodAndStateTheDefaults)
{
    for (const char *name : {"entry.ini", "target-engine.ini", "target-service.ini"}) {
        BOOST_TEST_CONTEXT(name)
        {
            std::ifstream file(std::string(FEATURE_FOLDER) + "/../../docs/examples/" + name);
            BOOST_REQUIRE(file.good());
            std::stringstream text;
            text << file.rdbuf();
            const auto plain = parseSettings(text.str(), name);
            if (!ok(plain))
                BOOST_FAIL(describeSettingsErrors(errorOf(plain)));
            // With the commented defaults taken in, nothing changes.
            std::string full;
            for (std::string line; std::getline(text, line);) {
                const bool isDefault = line.size() > 1 && line[0] == ';' && line[1] != ' ';
                full += (isDefault ? line.substr(1) : line) + "\n";
            }
            const auto stated = parseSettings(full, name);
            if (!ok(stated))
                BOOST_FAIL(describeSettingsErrors(errorOf(stated)));
            const Settings &left = valueOf(plain);
            const Settings &right = valueOf(stated);
            BOOST_TEST(left.link_.advertise_ == right.link_.advertise_);
            BOOST_TEST((left.link_.heartbeatPeriod_ == right.link_.heartbeatPeriod_));
            BOOST_TEST((left.platform_.callTimeout_ == right.platform_.callTimeout_));
            BOOST_TEST(left.callers_.bodyBytes_ == right.callers_.bodyBytes_);
            BOOST_TEST((left.callers_.requestTimeout_ == right.callers_.requestTimeout_));
            BOOST_TEST((left.rules_.staleAfter_ == right.rules_.staleAfter_));
            BOOST_TEST(left.target_.answerBytes_ == right.target_.answerBytes_);
            BOOST_TEST(left.target_.loadsPerSecond_ == right.target_.loadsPerSecond_);
            BOOST_TEST(left.target_.batchSlots_ == right.target_.batchSlots_);
            BOOST_TEST((left.stop_.graceful_ == right.stop_.graceful_));
        }
    }
}
