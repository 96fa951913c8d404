#pragma once

/// Fair queueing between client accounts: deficit round robin in tokens, interactive work before
/// batch work, with a bound on how long batch work waits behind interactive work. Pure functions:
/// no clock, I/O or threads.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

/// One queued attempt.
struct QueueItem
{
    AttemptId attempt_;
    AccountName account_;
    /// Empty for a plain service.
    AdapterKey adapter_;
    Priority priority_ = Priority::Interactive;
    /// In tokens; at least 1.
    std::int64_t cost_ = 1;
    Time queuedAt_;
};

/// The queued attempts of one client account.
struct AccountQueue
{
    std::deque<QueueItem> interactive_;
    std::deque<QueueItem> batch_;
    /// Tokens that the account may still use before other accounts are served.
    std::int64_t deficitTokens_ = 0;

    bool empty() const { return interactive_.empty() && batch_.empty(); }
};

struct FairQueue
{
    /// Tokens added to the deficit of each waiting account per round.
    std::int64_t quantumTokens_ = 256;
    /// Batch work that has waited longer than this is treated as interactive.
    Duration batchAging_ = std::chrono::seconds(10);
    std::map<AccountName, AccountQueue> accounts_;
    /// The account served last; the round starts there, in name order.
    AccountName cursor_;
    std::uint32_t size_ = 0;
    /// Queued attempts per adapter.
    std::unordered_map<AdapterKey, std::uint32_t> demand_;
};

/// Returns whether an item can start now.
using CanStart = std::function<bool(const QueueItem &)>;

void enqueue(FairQueue &queue, QueueItem item);

/// Removes and returns the next item in deficit round-robin order among those that can start.
/// Within an account, an item that can start overtakes those that cannot.
std::optional<QueueItem> dequeueNext(FairQueue &queue, const CanStart &canStart, Time now);

/// Removes one attempt; returns false if it is not queued.
bool removeQueued(FairQueue &queue, const AccountName &account, const AttemptId &attempt);

/// Credits an account with the tokens that its attempt was charged but did not use.
void refundTokens(FairQueue &queue, const AccountName &account, std::int64_t tokens);

/// Returns the number of queued attempts that need the adapter.
std::uint32_t queuedCountFor(const FairQueue &queue, const AdapterKey &adapter);

/// Returns the first item that satisfies the condition, in round-robin order after the given
/// account and interactive before batch; null if there is none.
const QueueItem *findFirstWaiting(const FairQueue &queue, const AccountName &previous,
                                  const CanStart &condition);

} // namespace eelgrasscove
