/// Case: the store forgets its history right after a runner's entry is removed.

#include "leaving.hh"

int main(int argc, char **argv)
{
    using namespace review;
    const Options options = parseOptions(argc, argv);
    EventLoop loop;
    LeavingCase played(loop, options, 10);
    const int result =
        played.play(options.hasTrouble_ ? StoreTrouble::ForgetsHistory : StoreTrouble::None);
    std::fflush(stdout);
    std::_Exit(result);
}
