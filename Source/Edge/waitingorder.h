#pragma once

/// Orders the requests that wait for a free slot and finds those that will not get one before their
/// wait limit. Pure functions: no clock, I/O or threads.
///
/// During a few seconds of overload, first come, first served would delay every request by the same
/// wait and make all of them late. Requests that can still meet their objective therefore go first,
/// and those that no longer can get the remaining capacity, so that as many as possible meet it.

#include <eelgrasscove/time.h>

#include <cstddef>
#include <vector>

namespace eelgrasscove {

struct WaitingRequest
{
    /// 0 is the most urgent.
    int priority_ = 0;
    /// The response is late if it begins after this time.
    Time objectiveAt_;
    /// The request is refused if it is still waiting at this time.
    Time waitUntil_;
    /// The request's account has used more than its fair share.
    bool isAboveShare_ = false;
};

/// Whether the response begins before the objective if the request is sent now.
bool canMeetObjective(const WaitingRequest &request, Time now);

/// Whether placement of left is attempted before that of right.
bool isOrderedBefore(const WaitingRequest &left, const WaitingRequest &right, Time now);

/// Returns the time until the requests ahead have been placed, given that perSecond requests were
/// placed per second recently; zero if none were, as no estimate is possible then.
Duration expectedWait(std::size_t ahead, double perSecond);

/// Marks the requests that will still be waiting at their wait limit if perSecond requests are
/// placed per second. inOrder is the order in which placement is attempted.
std::vector<bool> findUnservable(const std::vector<WaitingRequest> &inOrder, double perSecond,
                                 Time now);

} // namespace eelgrasscove
