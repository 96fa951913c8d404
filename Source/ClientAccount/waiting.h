#pragma once

/// Requests that their account's allowance can admit shortly are held rather than refused, a
/// bounded number of them for a bounded time, first come first served in each account.

#include "ClientAccount/allowance.h"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace eelgrasscove {

struct WaitingPolicy
{
    Duration longestWait_ = std::chrono::seconds(2);
    /// Requests held for one account at this entry.
    std::uint32_t perAccount_ = 64;
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

/// Whether somebody waits already, so that a new request must not overtake.
bool hasWaiting(const WaitingRoom &room, const AccountName &account);

/// Holds the request; false where it is to be refused instead.
bool holdRequest(WaitingRoom &room, const AccountName &account, const RequestId &request,
                 std::int64_t tokens, const Admission &admission, Time now);

/// The request that is to be tried next for the account; empty where none waits.
const WaitingRequest *nextWaiting(const WaitingRoom &room, const AccountName &account);

/// Takes a request out: it has been admitted, or its caller has gone.
void dropWaiting(WaitingRoom &room, const AccountName &account, const RequestId &request);

/// Takes out those whose time is over; they are to be refused.
std::vector<WaitingRequest> takeExpired(WaitingRoom &room, Time now);

} // namespace eelgrasscove
