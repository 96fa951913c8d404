#include "ClientAccount/waiting.h"

#include <algorithm>

namespace eelgrasscove {

bool hasWaiting(const WaitingRoom &room, const AccountName &account)
{
    return room.accounts_.contains(account);
}

bool holdRequest(WaitingRoom &room, const AccountName &account, const RequestId &request,
                 std::int64_t tokens, const Admission &admission, Time now)
{
    const NotYet *notYet = std::get_if<NotYet>(&admission);
    if (notYet == nullptr || notYet->wait_ > room.policy_.maxWait_)
        return false;
    const auto found = room.accounts_.find(account);
    const std::size_t waiting = found == room.accounts_.end() ? 0 : found->second.size();
    if (waiting >= room.policy_.maxRequestsPerAccount_)
        return false;
    room.accounts_[account].push_back({request, tokens, now + room.policy_.maxWait_});
    return true;
}

const WaitingRequest *nextWaiting(const WaitingRoom &room, const AccountName &account)
{
    const auto found = room.accounts_.find(account);
    return found == room.accounts_.end() ? nullptr : &found->second.front();
}

void dropWaiting(WaitingRoom &room, const AccountName &account, const RequestId &request)
{
    const auto found = room.accounts_.find(account);
    if (found == room.accounts_.end())
        return;
    std::erase_if(found->second, [&request](const WaitingRequest &waiting) {
        return waiting.request_ == request;
    });
    if (found->second.empty())
        room.accounts_.erase(found);
}

std::vector<WaitingRequest> takeExpired(WaitingRoom &room, Time now)
{
    std::vector<WaitingRequest> expired;
    for (auto account = room.accounts_.begin(); account != room.accounts_.end();) {
        std::deque<WaitingRequest> &waiting = account->second;
        while (!waiting.empty() && waiting.front().until_ <= now) {
            expired.push_back(waiting.front());
            waiting.pop_front();
        }
        account = waiting.empty() ? room.accounts_.erase(account) : std::next(account);
    }
    return expired;
}

} // namespace eelgrasscove
