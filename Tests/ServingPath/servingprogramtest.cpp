#include "Vm/servingprogram.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// Writes its name into a list when it ends.
struct Mark
{
    Mark(std::vector<std::string> &ends, std::string name) : ends_(ends), name_(std::move(name)) { }
    ~Mark() { ends_.push_back(name_); }
    Mark(const Mark &) = delete;
    Mark &operator=(const Mark &) = delete;

    std::vector<std::string> &ends_;
    std::string name_;
};

} // namespace

BOOST_AUTO_TEST_CASE(the_parts_of_a_program_end_before_its_loop)
{
    // A part that ends after the loop cancels timers of a loop that is gone: a process that stopped
    // with requests in hand then ran on until it was killed.
    std::vector<std::string> ends;
    std::string name = "program";
    std::string file = FEATURE_FOLDER "/../../docs/examples/edge.ini";
    std::vector<char *> arguments = {name.data(), file.data()};
    const int code = runServingProgram(
        name, static_cast<int>(arguments.size()), arguments.data(),
        [&](EventLoop &loop, const ServingSettings &, const std::string &) {
            loop.timers().once(1h, [held = std::make_shared<Mark>(ends, "loop")] {});
            loop.timers().once(10ms, [&loop] { loop.stop(); });
            return std::make_shared<Mark>(ends, "parts");
        });
    BOOST_TEST(code == 0);
    const std::vector<std::string> expected = {"parts", "loop"};
    BOOST_TEST(ends == expected, boost::test_tools::per_element());
}
