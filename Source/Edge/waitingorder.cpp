#include "Edge/waitingorder.h"

#include <tuple>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time from sending a request to its first event at a target without free slots: the prefill of a
/// prompt of average length, interleaved with the decoding of a full batch.
constexpr Duration firstEventTime = 150ms;

} // namespace

bool canMeetObjective(const WaitingRequest &request, Time now)
{
    return now + firstEventTime <= request.objectiveAt_;
}

bool isOrderedBefore(const WaitingRequest &left, const WaitingRequest &right, Time now)
{
    const auto rank = [now](const WaitingRequest &request) {
        return std::tuple(request.priority_, !canMeetObjective(request, now), request.isAboveShare_,
                          request.objectiveAt_);
    };
    return rank(left) < rank(right);
}

Duration expectedWait(std::size_t ahead, double perSecond)
{
    if (perSecond <= 0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(static_cast<double>(ahead) / perSecond * 1s);
}

std::vector<bool> findUnservable(const std::vector<WaitingRequest> &inOrder, double perSecond,
                                 Time now)
{
    std::vector<bool> unservable;
    std::size_t ahead = 0;
    for (const WaitingRequest &request : inOrder) {
        unservable.push_back(now + expectedWait(ahead, perSecond) > request.waitUntil_);
        ahead += unservable.back() ? 0 : 1;
    }
    return unservable;
}

} // namespace eelgrasscove
