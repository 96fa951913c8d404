#include "ClientAccount/requestqueue.h"

#include <algorithm>

namespace eelgrasscove {

bool hasQueuedRequests(const RequestQueues &queues, const AccountName &account)
{
    return queues.accounts_.contains(account);
}

bool enqueueRequest(RequestQueues &queues, const AccountName &account, const RequestId &request,
                    std::int64_t tokens, const Admission &admission, Time now)
{
    const MustWait *notYet = std::get_if<MustWait>(&admission);
    if (notYet == nullptr || notYet->wait_ > queues.policy_.maxWait_)
        return false;
    const auto found = queues.accounts_.find(account);
    const std::size_t waiting = found == queues.accounts_.end() ? 0 : found->second.size();
    if (waiting >= queues.policy_.maxRequestsPerAccount_)
        return false;
    queues.accounts_[account].push_back({request, tokens, now + queues.policy_.maxWait_});
    return true;
}

const QueuedRequest *nextQueuedRequest(const RequestQueues &queues, const AccountName &account)
{
    const auto found = queues.accounts_.find(account);
    return found == queues.accounts_.end() ? nullptr : &found->second.front();
}

void removeQueuedRequest(RequestQueues &queues, const AccountName &account,
                         const RequestId &request)
{
    const auto found = queues.accounts_.find(account);
    if (found == queues.accounts_.end())
        return;
    std::erase_if(found->second,
                  [&request](const QueuedRequest &waiting) { return waiting.request_ == request; });
    if (found->second.empty())
        queues.accounts_.erase(found);
}

std::vector<QueuedRequest> removeExpiredRequests(RequestQueues &queues, Time now)
{
    std::vector<QueuedRequest> expired;
    for (auto account = queues.accounts_.begin(); account != queues.accounts_.end();) {
        std::deque<QueuedRequest> &waiting = account->second;
        while (!waiting.empty() && waiting.front().deadline_ <= now) {
            expired.push_back(waiting.front());
            waiting.pop_front();
        }
        account = waiting.empty() ? queues.accounts_.erase(account) : std::next(account);
    }
    return expired;
}

} // namespace eelgrasscove
