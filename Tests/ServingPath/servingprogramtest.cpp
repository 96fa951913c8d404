#include "Vm/servingprogram.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// Appends its name to a list on destruction.
struct DestructionRecorder
{
    DestructionRecorder(std::vector<std::string> &destroyed, std::string name)
        : destroyed_(destroyed), name_(std::move(name))
    { }
    ~DestructionRecorder() { destroyed_.push_back(name_); }
    DestructionRecorder(const DestructionRecorder &) = delete;
    DestructionRecorder &operator=(const DestructionRecorder &) = delete;

    std::vector<std::string> &destroyed_;
    std::string name_;
};

} // namespace

BOOST_AUTO_TEST_CASE(program_object_is_destroyed_before_the_event_loop)
{
    // An object destroyed after the event loop cancels timers of a destroyed loop. A process that
    // stopped with requests in progress then kept running until it was killed.
    std::vector<std::string> destroyed;
    std::string name = "program";
    std::string file = FEATURE_FOLDER "/../../docs/examples/edge.ini";
    std::vector<char *> arguments = {name.data(), file.data()};
    const int code = runServingProgram(
        name, static_cast<int>(arguments.size()), arguments.data(),
        [&](EventLoop &loop, const ServingSettings &, const std::string &) {
            loop.timers().once(
                1h, [held = std::make_shared<DestructionRecorder>(destroyed, "loop")] {});
            loop.timers().once(10ms, [&loop] { loop.stop(); });
            return std::make_shared<DestructionRecorder>(destroyed, "parts");
        });
    BOOST_TEST(code == 0);
    const std::vector<std::string> expected = {"parts", "loop"};
    BOOST_TEST(destroyed == expected, boost::test_tools::per_element());
}
