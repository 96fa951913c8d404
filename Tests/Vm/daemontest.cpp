#include "Vm/daemon.h"
#include "Vm/exitcode.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace eelgrasscove;

namespace {

struct CommandLine
{
    std::vector<const char *> words_;
    int code_;
};

const CommandLine commandLines[] = {
    {{"eelgrasscoved"}, ExitUsage},
    {{"eelgrasscoved", "--nonsense"}, ExitUsage},
    {{"eelgrasscoved", "--check-settings"}, ExitUsage},
    {{"eelgrasscoved", "--settings", "/no/such/file"}, ExitUsage},
    {{"eelgrasscoved", "--settings", FEATURE_FOLDER "/daemontest.cpp", "--check-settings"},
     ExitUsage},
    {{"eelgrasscoved", "--settings", FEATURE_FOLDER "/../../docs/examples/entry.ini",
      "--check-settings"},
     ExitStopped},
    {{"eelgrasscoved", "--help"}, ExitStopped},
    {{"eelgrasscoved", "--version"}, ExitStopped},
};

} // namespace

BOOST_AUTO_TEST_CASE(aCommandLineThatStartsNothingEndsWithItsCode)
{
    for (const CommandLine &line : commandLines) {
        BOOST_TEST_CONTEXT(line.words_.back())
        BOOST_TEST(runDaemon(static_cast<int>(line.words_.size()), line.words_.data())
                   == line.code_);
    }
}
