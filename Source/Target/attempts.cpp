#include "Target/attempts.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

void removeOldest(Attempts &attempts, std::deque<ClosedExpiry> &expiries)
{
    attempts.closed_.erase(expiries.front().attempt_);
    expiries.pop_front();
}

void removeExpired(Attempts &attempts, std::deque<ClosedExpiry> &expiries, Time now)
{
    while (!expiries.empty() && expiries.front().at_ <= now)
        removeOldest(attempts, expiries);
}

/// The outcome recorded for an ended attempt whose response is discarded.
ClosedAttempt makeClosedAttempt(const OpenAttempt &attempt)
{
    if (attempt.failure_) {
        return {.runState_ = attempt.failure_->runState_,
                .reason_ = attempt.failure_->reason_,
                .tokensRun_ = attempt.tokensRun_};
    }
    return {
        .runState_ = RunState::Ran, .reason_ = Reason::LinkLost, .tokensRun_ = attempt.tokensRun_};
}

void closeEndedAttempt(Attempts &attempts, const AttemptId &attempt, Time now)
{
    closeAttempt(attempts, attempt, makeClosedAttempt(attempts.open_.at(attempt)), now);
}

void trimResponses(Attempts &attempts, OpenAttempt &current, Time now)
{
    while (attempts.responseBytes_ > attempts.policy_.maxResponseBytes_ && !attempts.ended_.empty())
        closeEndedAttempt(attempts, attempts.ended_.front(), now);
    if (attempts.responseBytes_ <= attempts.policy_.maxResponseBytes_)
        return;
    ResponseBuffer &answer = current.response_;
    const std::size_t excess = attempts.responseBytes_ - attempts.policy_.maxResponseBytes_;
    const std::size_t removed = std::min(excess, answer.bytes_.size());
    answer.bytes_.erase(0, removed);
    answer.firstOffset_ += removed;
    attempts.responseBytes_ -= removed;
}

} // namespace

OpenAttempt *findAttempt(Attempts &attempts, const AttemptId &attempt)
{
    const auto found = attempts.open_.find(attempt);
    return found == attempts.open_.end() ? nullptr : &found->second;
}

bool writeTombstone(Attempts &attempts, const AttemptId &attempt, Reason reason, Time now)
{
    if (attempts.tombstoneExpiries_.size() >= attempts.policy_.maxTombstones_)
        return false;
    attempts.closed_[attempt] = {.runState_ = RunState::NotRun, .reason_ = reason};
    attempts.tombstoneExpiries_.push_back({attempt, now + attempts.policy_.tombstoneRetention_});
    return true;
}

void closeAttempt(Attempts &attempts, AttemptId attempt, const ClosedAttempt &outcome, Time now)
{
    if (const OpenAttempt *open = findAttempt(attempts, attempt)) {
        attempts.responseBytes_ -= open->response_.bytes_.size();
        if (open->stage_ == AttemptStage::Ended)
            std::erase(attempts.ended_, attempt);
        attempts.open_.erase(attempt);
    }
    if (!attempts.closed_.emplace(attempt, outcome).second)
        return;
    if (attempts.closedExpiries_.size() >= attempts.policy_.maxClosed_)
        removeOldest(attempts, attempts.closedExpiries_);
    attempts.closedExpiries_.push_back(
        {std::move(attempt), now + attempts.policy_.closedRetention_});
}

void appendResponse(Attempts &attempts, OpenAttempt &attempt, const std::string &bytes, Time now)
{
    attempt.response_.bytes_ += bytes;
    attempts.responseBytes_ += bytes.size();
    if (attempts.responseBytes_ > attempts.policy_.maxResponseBytes_)
        trimResponses(attempts, attempt, now);
}

void markEnded(Attempts &attempts, OpenAttempt &attempt, Time now)
{
    attempt.stage_ = AttemptStage::Ended;
    attempt.endedAt_ = now;
    attempts.ended_.push_back(attempt.offer_.attempt_);
}

void expireAttempts(Attempts &attempts, Time now)
{
    removeExpired(attempts, attempts.tombstoneExpiries_, now);
    removeExpired(attempts, attempts.closedExpiries_, now);
    while (!attempts.ended_.empty()) {
        const OpenAttempt &oldest = attempts.open_.at(attempts.ended_.front());
        if (now - oldest.endedAt_ < attempts.policy_.responseRetention_)
            return;
        closeEndedAttempt(attempts, attempts.ended_.front(), now);
    }
}

} // namespace eelgrasscove
