#pragma once

/// Queues requests that their account's allowance can admit soon, instead of refusing them. The
/// queue of each account is first in, first out, and limited in length and waiting time.

#include "ClientAccount/allowance.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace eelgrasscove {

struct RequestQueuePolicy
{
    Duration maxWait_ = std::chrono::seconds(2);
    /// Maximum number of queued requests of one account at this entry.
    std::uint32_t maxRequestsPerAccount_ = 64;
};

struct QueuedRequest
{
    RequestId request_;
    std::int64_t tokens_ = 0;
    Time deadline_;
};

struct RequestQueues
{
    RequestQueuePolicy policy_;
    std::map<AccountName, std::deque<QueuedRequest>> accounts_;
};

/// Returns whether the account has queued requests, which a new request must not overtake.
bool hasQueuedRequests(const RequestQueues &queues, const AccountName &account);

/// Queues the request; returns false if it must be refused instead.
bool enqueueRequest(RequestQueues &queues, const AccountName &account, const RequestId &request,
                    std::int64_t tokens, const Admission &admission, Time now);

/// Returns the account's oldest queued request; null if there is none.
const QueuedRequest *nextQueuedRequest(const RequestQueues &queues, const AccountName &account);

/// Removes a request that was admitted or whose caller has disconnected.
void removeQueuedRequest(RequestQueues &queues, const AccountName &account,
                         const RequestId &request);

/// Removes and returns the requests that have reached their deadline; the caller must refuse them.
std::vector<QueuedRequest> removeExpiredRequests(RequestQueues &queues, Time now);

} // namespace eelgrasscove
