#pragma once

/// In which order requests that wait for room are tried, and which of them wait in vain. Pure.
///
/// It answers a few seconds in which more is asked than all targets can do. First come, first
/// served would make every request late by the same wait. Here those that can still be in time go
/// first, and those that can't be any more take what is left, so as many as possible are in time.

#include <eelgrasscove/time.h>

#include <cstddef>
#include <vector>

namespace eelgrasscove {

struct WaitingRequest
{
    /// 0 is the most urgent.
    int priority_ = 0;
    /// Its answer is late if it begins after this.
    Time objectiveAt_;
    /// It is refused if it still waits then.
    Time waitUntil_;
};

/// Whether its answer begins in time if it is sent now.
bool canBeInTime(const WaitingRequest &request, Time now);

/// Whether left is tried before right.
bool isTriedBefore(const WaitingRequest &left, const WaitingRequest &right, Time now);

/// The time until so many requests have found room, where perSecond of them did of late; zero where
/// none did, as nothing is known then.
Duration expectedWait(std::size_t ahead, double perSecond);

/// Which requests, in the order in which they are tried, will still wait at their end if perSecond
/// of them find room.
std::vector<bool> waitInVain(const std::vector<WaitingRequest> &inOrder, double perSecond,
                             Time now);

} // namespace eelgrasscove
