#include "Target/fairqueue.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

using Items = std::deque<QueueItem>;
using Member = Items AccountQueue::*;

/// An account that can be served, its first item that can start, and the rounds until its deficit
/// covers the item's cost.
struct Candidate
{
    std::map<AccountName, AccountQueue>::iterator account_;
    Items::iterator item_;
    std::int64_t rounds_ = 0;
};

void addDemand(FairQueue &queue, const AdapterKey &adapter)
{
    if (!adapter.empty())
        ++queue.demand_[adapter];
}

void removeDemand(FairQueue &queue, const AdapterKey &adapter)
{
    const auto found = queue.demand_.find(adapter);
    if (found == queue.demand_.end())
        return;
    if (--found->second == 0)
        queue.demand_.erase(found);
}

void insertByAge(Items &items, QueueItem item)
{
    const auto isQueuedBefore = [](Time since, const QueueItem &other) {
        return since < other.queuedAt_;
    };
    const auto position =
        std::upper_bound(items.begin(), items.end(), item.queuedAt_, isQueuedBefore);
    items.insert(position, std::move(item));
}

void promoteAgedBatch(FairQueue &queue, Time now)
{
    for (auto &[name, account] : queue.accounts_) {
        while (!account.batch_.empty()
               && now - account.batch_.front().queuedAt_ >= queue.batchAging_) {
            insertByAge(account.interactive_, std::move(account.batch_.front()));
            account.batch_.pop_front();
        }
    }
}

std::int64_t roundsNeeded(const FairQueue &queue, const AccountQueue &account, std::int64_t cost)
{
    const std::int64_t shortfall = cost - account.deficitTokens_;
    if (shortfall <= 0)
        return 0;
    return (shortfall + queue.quantumTokens_ - 1) / queue.quantumTokens_;
}

/// Returns the accounts with an item that can start, in round-robin order from the cursor.
std::vector<Candidate> findCandidates(FairQueue &queue, Member member, const CanStart &canStart)
{
    std::vector<Candidate> candidates;
    const auto first = queue.accounts_.lower_bound(queue.cursor_);
    auto account = first;
    for (std::size_t visited = 0; visited < queue.accounts_.size(); ++visited, ++account) {
        if (account == queue.accounts_.end())
            account = queue.accounts_.begin();
        Items &items = account->second.*member;
        const auto item = std::find_if(items.begin(), items.end(), std::cref(canStart));
        if (item == items.end())
            continue;
        candidates.push_back({account, item, roundsNeeded(queue, account->second, item->cost_)});
    }
    return candidates;
}

QueueItem dequeueCandidate(FairQueue &queue, Member member, std::vector<Candidate> &candidates)
{
    const auto needsFewerRounds = [](const Candidate &a, const Candidate &b) {
        return a.rounds_ < b.rounds_;
    };
    const Candidate chosen =
        *std::min_element(candidates.begin(), candidates.end(), needsFewerRounds);
    for (Candidate &candidate : candidates)
        candidate.account_->second.deficitTokens_ += chosen.rounds_ * queue.quantumTokens_;
    QueueItem item = std::move(*chosen.item_);
    (chosen.account_->second.*member).erase(chosen.item_);
    chosen.account_->second.deficitTokens_ -= item.cost_;
    queue.cursor_ = chosen.account_->first;
    if (chosen.account_->second.empty())
        queue.accounts_.erase(chosen.account_);
    --queue.size_;
    removeDemand(queue, item.adapter_);
    return item;
}

const QueueItem *findFirst(const Items &items, const CanStart &condition)
{
    const auto found = std::find_if(items.begin(), items.end(), std::cref(condition));
    return found == items.end() ? nullptr : &*found;
}

} // namespace

void enqueue(FairQueue &queue, QueueItem item)
{
    AccountQueue &account = queue.accounts_[item.account_];
    addDemand(queue, item.adapter_);
    ++queue.size_;
    Items &items = item.priority_ == Priority::Interactive ? account.interactive_ : account.batch_;
    items.push_back(std::move(item));
}

std::optional<QueueItem> dequeueNext(FairQueue &queue, const CanStart &canStart, Time now)
{
    promoteAgedBatch(queue, now);
    for (const Member member : {&AccountQueue::interactive_, &AccountQueue::batch_}) {
        std::vector<Candidate> candidates = findCandidates(queue, member, canStart);
        if (!candidates.empty())
            return dequeueCandidate(queue, member, candidates);
    }
    return std::nullopt;
}

bool removeQueued(FairQueue &queue, const AccountName &account, const AttemptId &attempt)
{
    const auto found = queue.accounts_.find(account);
    if (found == queue.accounts_.end())
        return false;
    for (const Member member : {&AccountQueue::interactive_, &AccountQueue::batch_}) {
        Items &items = found->second.*member;
        const auto isSameAttempt = [&](const QueueItem &item) { return item.attempt_ == attempt; };
        const auto item = std::find_if(items.begin(), items.end(), isSameAttempt);
        if (item == items.end())
            continue;
        removeDemand(queue, item->adapter_);
        items.erase(item);
        --queue.size_;
        if (found->second.empty())
            queue.accounts_.erase(found);
        return true;
    }
    return false;
}

void refundTokens(FairQueue &queue, const AccountName &account, std::int64_t tokens)
{
    const auto found = queue.accounts_.find(account);
    if (found != queue.accounts_.end() && tokens > 0)
        found->second.deficitTokens_ += tokens;
}

std::uint32_t queuedCountFor(const FairQueue &queue, const AdapterKey &adapter)
{
    const auto found = queue.demand_.find(adapter);
    return found == queue.demand_.end() ? 0 : found->second;
}

const QueueItem *findFirstWaiting(const FairQueue &queue, const AccountName &previous,
                                  const CanStart &condition)
{
    for (const Member member : {&AccountQueue::interactive_, &AccountQueue::batch_}) {
        auto account = queue.accounts_.upper_bound(previous);
        for (std::size_t visited = 0; visited < queue.accounts_.size(); ++visited, ++account) {
            if (account == queue.accounts_.end())
                account = queue.accounts_.begin();
            if (const QueueItem *item = findFirst(account->second.*member, condition))
                return item;
        }
    }
    return nullptr;
}

} // namespace eelgrasscove
