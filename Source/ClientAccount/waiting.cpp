#include "ClientAccount/waiting.h"

#include <algorithm>

namespace eelgrasscove {

bool hasWaiting(const WaitingRoom &queues, const AccountName &account)
{
    return queues.accounts_.contains(account);
}

bool holdRequest(WaitingRoom &queues, const AccountName &account, const RequestId &request,
                 std::int64_t tokens, const Admission &admission, Time now)
{
    const NotYet *notYet = std::get_if<NotYet>(&admission);
    if (notYet == nullptr || notYet->wait_ > queues.policy_.maxWait_)
        return false;
    const auto found = queues.accounts_.find(account);
    const std::size_t waiting = found == queues.accounts_.end() ? 0 : found->second.size();
    if (waiting >= queues.policy_.maxRequestsPerAccount_)
        return false;
    queues.accounts_[account].push_back({request, tokens, now + queues.policy_.maxWait_});
    return true;
}

const WaitingRequest *nextWaiting(const WaitingRoom &queues, const AccountName &account)
{
    const auto found = queues.accounts_.find(account);
    return found == queues.accounts_.end() ? nullptr : &found->second.front();
}

void dropWaiting(WaitingRoom &queues, const AccountName &account, const RequestId &request)
{
    const auto found = queues.accounts_.find(account);
    if (found == queues.accounts_.end())
        return;
    std::erase_if(found->second, [&request](const WaitingRequest &waiting) {
        return waiting.request_ == request;
    });
    if (found->second.empty())
        queues.accounts_.erase(found);
}

std::vector<WaitingRequest> takeExpired(WaitingRoom &queues, Time now)
{
    std::vector<WaitingRequest> expired;
    for (auto account = queues.accounts_.begin(); account != queues.accounts_.end();) {
        std::deque<WaitingRequest> &waiting = account->second;
        while (!waiting.empty() && waiting.front().until_ <= now) {
            expired.push_back(waiting.front());
            waiting.pop_front();
        }
        account = waiting.empty() ? queues.accounts_.erase(account) : std::next(account);
    }
    return expired;
}

} // namespace eelgrasscove
