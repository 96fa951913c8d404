#include "Edge/buffers.h"

#include <algorithm>
#include <numeric>

namespace eelgrasscove {

namespace {

constexpr double bytesPerMb = 1024 * 1024;
constexpr double bufferFraction = 0.25;

} // namespace

std::size_t bufferLimit(double memoryMb)
{
    return static_cast<std::size_t>(memoryMb * bytesPerMb * bufferFraction);
}

std::size_t totalBytes(const std::vector<Buffer> &buffers)
{
    return std::accumulate(
        buffers.begin(), buffers.end(), std::size_t{0},
        [](std::size_t total, const Buffer &buffer) { return total + buffer.bytes_; });
}

std::vector<std::size_t> buffersToGiveUp(const std::vector<Buffer> &buffers, std::size_t limit)
{
    std::size_t total = totalBytes(buffers);
    std::vector<std::size_t> givenUp;
    if (total <= limit)
        return givenUp;
    std::vector<std::size_t> largestFirst(buffers.size());
    std::iota(largestFirst.begin(), largestFirst.end(), std::size_t{0});
    std::stable_sort(largestFirst.begin(), largestFirst.end(),
                     [&](std::size_t left, std::size_t right) {
                         return buffers[left].bytes_ > buffers[right].bytes_;
                     });
    for (const std::size_t index : largestFirst) {
        if (total <= limit)
            break;
        total -= buffers[index].bytes_;
        givenUp.push_back(index);
    }
    return givenUp;
}

} // namespace eelgrasscove
