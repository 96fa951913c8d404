/// Case: open connections to the store go silent, and later a runner's entry is removed.

#include "leaving.h"

int main(int argc, char **argv)
{
    using namespace review;
    const Options options = parseOptions(argc, argv);
    EventLoop loop;
    LeavingCase played(loop, options, 4);
    const int result = played.play(
        options.hasTrouble_ ? StoreTrouble::SilentConnections : StoreTrouble::None, false);
    std::fflush(stdout);
    std::_Exit(result);
}
