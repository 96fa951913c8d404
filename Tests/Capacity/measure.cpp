#include "measure.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <malloc.h>

namespace eelgrasscove::capacity {

namespace {

constexpr int rounds = 3;

double processorMicros()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

} // namespace

double microsPerCall(std::size_t calls, const std::function<void()> &call)
{
    double least = std::numeric_limits<double>::max();
    for (int round = 0; round < rounds; ++round) {
        const double start = processorMicros();
        for (std::size_t number = 0; number < calls; ++number)
            call();
        least = std::min(least, (processorMicros() - start) / static_cast<double>(calls));
    }
    return least;
}

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace eelgrasscove::capacity
