#pragma once

/// Queues requests that their account's allowance can admit soon, instead of refusing them. The
/// queue of each account is first in, first out, and limited in length and waiting time.

#include "ClientAccount/allowance.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace eelgrasscove {

struct WaitingPolicy
{
    Duration maxWait_ = std::chrono::seconds(2);
    /// Maximum number of queued requests of one account at this entry.
    std::uint32_t maxRequestsPerAccount_ = 64;
};

struct WaitingRequest
{
    RequestId request_;
    std::int64_t tokens_ = 0;
    Time until_;
};

struct WaitingRoom
{
    WaitingPolicy policy_;
    std::map<AccountName, std::deque<WaitingRequest>> accounts_;
};

/// Returns whether the account has queued requests, which a new request must not overtake.
bool hasWaiting(const WaitingRoom &queues, const AccountName &account);

/// Queues the request; returns false if it must be refused instead.
bool holdRequest(WaitingRoom &queues, const AccountName &account, const RequestId &request,
                 std::int64_t tokens, const Admission &admission, Time now);

/// Returns the account's oldest queued request; null if there is none.
const WaitingRequest *nextWaiting(const WaitingRoom &queues, const AccountName &account);

/// Removes a request that was admitted or whose caller has disconnected.
void dropWaiting(WaitingRoom &queues, const AccountName &account, const RequestId &request);

/// Removes and returns the requests that have reached their deadline; the caller must refuse them.
std::vector<WaitingRequest> takeExpired(WaitingRoom &queues, Time now);

} // namespace eelgrasscove
