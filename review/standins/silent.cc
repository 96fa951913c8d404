/// Case: the store is silent for two seconds, and later a runner's entry is removed.

#include "leaving.hh"

int main(int argc, char **argv)
{
    using namespace review;
    const Options options = parseOptions(argc, argv);
    EventLoop loop;
    LeavingCase played(loop, options, 4);
    const int result =
        played.play(options.hasTrouble_ ? StoreTrouble::FallsSilent : StoreTrouble::None);
    std::fflush(stdout);
    std::_Exit(result);
}
