#include "Target/fairqueue.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

using Items = std::deque<QueueItem>;
using Member = Items AccountQueue::*;

/// The next account to serve and its item.
struct Turn
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

void dropDemand(FairQueue &queue, const AdapterKey &adapter)
{
    const auto found = queue.demand_.find(adapter);
    if (found == queue.demand_.end())
        return;
    if (--found->second == 0)
        queue.demand_.erase(found);
}

void insertByAge(Items &items, QueueItem item)
{
    const auto younger = [](Time since, const QueueItem &other) { return since < other.since_; };
    const auto place = std::upper_bound(items.begin(), items.end(), item.since_, younger);
    items.insert(place, std::move(item));
}

void promoteAged(FairQueue &queue, Time now)
{
    for (auto &[name, account] : queue.accounts_) {
        while (!account.batch_.empty()
               && now - account.batch_.front().since_ >= queue.batchAging_) {
            insertByAge(account.interactive_, std::move(account.batch_.front()));
            account.batch_.pop_front();
        }
    }
}

std::int64_t roundsNeeded(const FairQueue &queue, const AccountQueue &account, std::int64_t cost)
{
    const std::int64_t missing = cost - account.deficitTokens_;
    if (missing <= 0)
        return 0;
    return (missing + queue.quantumTokens_ - 1) / queue.quantumTokens_;
}

/// Accounts with an item that can start, in the round's order.
std::vector<Turn> findTurns(FairQueue &queue, Member member, const CanStart &canStart)
{
    std::vector<Turn> turns;
    const auto first = queue.accounts_.lower_bound(queue.cursor_);
    auto account = first;
    for (std::size_t seen = 0; seen < queue.accounts_.size(); ++seen, ++account) {
        if (account == queue.accounts_.end())
            account = queue.accounts_.begin();
        Items &items = account->second.*member;
        const auto item = std::find_if(items.begin(), items.end(), std::cref(canStart));
        if (item == items.end())
            continue;
        turns.push_back({account, item, roundsNeeded(queue, account->second, item->cost_)});
    }
    return turns;
}

QueueItem takeTurn(FairQueue &queue, Member member, std::vector<Turn> &turns)
{
    const auto fewer = [](const Turn &a, const Turn &b) { return a.rounds_ < b.rounds_; };
    const Turn chosen = *std::min_element(turns.begin(), turns.end(), fewer);
    for (Turn &turn : turns)
        turn.account_->second.deficitTokens_ += chosen.rounds_ * queue.quantumTokens_;
    QueueItem item = std::move(*chosen.item_);
    (chosen.account_->second.*member).erase(chosen.item_);
    chosen.account_->second.deficitTokens_ -= item.cost_;
    queue.cursor_ = chosen.account_->first;
    if (chosen.account_->second.empty())
        queue.accounts_.erase(chosen.account_);
    --queue.size_;
    dropDemand(queue, item.adapter_);
    return item;
}

const QueueItem *firstIn(const Items &items, const CanStart &condition)
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

std::optional<QueueItem> takeNext(FairQueue &queue, const CanStart &canStart, Time now)
{
    promoteAged(queue, now);
    for (const Member member : {&AccountQueue::interactive_, &AccountQueue::batch_}) {
        std::vector<Turn> turns = findTurns(queue, member, canStart);
        if (!turns.empty())
            return takeTurn(queue, member, turns);
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
        const auto same = [&](const QueueItem &item) { return item.attempt_ == attempt; };
        const auto item = std::find_if(items.begin(), items.end(), same);
        if (item == items.end())
            continue;
        dropDemand(queue, item->adapter_);
        items.erase(item);
        --queue.size_;
        if (found->second.empty())
            queue.accounts_.erase(found);
        return true;
    }
    return false;
}

void refund(FairQueue &queue, const AccountName &account, std::int64_t tokens)
{
    const auto found = queue.accounts_.find(account);
    if (found != queue.accounts_.end() && tokens > 0)
        found->second.deficitTokens_ += tokens;
}

std::uint32_t demandFor(const FairQueue &queue, const AdapterKey &adapter)
{
    const auto found = queue.demand_.find(adapter);
    return found == queue.demand_.end() ? 0 : found->second;
}

const QueueItem *firstWaiting(const FairQueue &queue, const AccountName &behind,
                              const CanStart &condition)
{
    for (const Member member : {&AccountQueue::interactive_, &AccountQueue::batch_}) {
        auto account = queue.accounts_.upper_bound(behind);
        for (std::size_t seen = 0; seen < queue.accounts_.size(); ++seen, ++account) {
            if (account == queue.accounts_.end())
                account = queue.accounts_.begin();
            if (const QueueItem *item = firstIn(account->second.*member, condition))
                return item;
        }
    }
    return nullptr;
}

} // namespace eelgrasscove
