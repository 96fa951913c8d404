#include "Target/attempts.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

void forgetOldest(Attempts &attempts, std::deque<ClosedExpiry> &expiries)
{
    attempts.closed_.erase(expiries.front().attempt_);
    expiries.pop_front();
}

void forgetExpired(Attempts &attempts, std::deque<ClosedExpiry> &expiries, Time now)
{
    while (!expiries.empty() && expiries.front().at_ <= now)
        forgetOldest(attempts, expiries);
}

/// How an ended attempt is remembered once its answer is gone.
ClosedAttempt outcomeOf(const AttemptInHand &attempt)
{
    if (attempt.failure_) {
        return {.runState_ = attempt.failure_->runState_,
                .reason_ = attempt.failure_->reason_,
                .tokensRun_ = attempt.tokensRun_};
    }
    return {
        .runState_ = RunState::Ran, .reason_ = Reason::LinkLost, .tokensRun_ = attempt.tokensRun_};
}

void closeEnded(Attempts &attempts, const AttemptId &attempt, Time now)
{
    closeAttempt(attempts, attempt, outcomeOf(attempts.inHand_.at(attempt)), now);
}

void trimAnswers(Attempts &attempts, AttemptInHand &growing, Time now)
{
    while (attempts.answerBytes_ > attempts.policy_.answerBytes_ && !attempts.ended_.empty())
        closeEnded(attempts, attempts.ended_.front(), now);
    if (attempts.answerBytes_ <= attempts.policy_.answerBytes_)
        return;
    AnswerLog &answer = growing.answer_;
    const std::size_t over = attempts.answerBytes_ - attempts.policy_.answerBytes_;
    const std::size_t cut = std::min(over, answer.bytes_.size());
    answer.bytes_.erase(0, cut);
    answer.firstOffset_ += cut;
    attempts.answerBytes_ -= cut;
}

} // namespace

AttemptInHand *findAttempt(Attempts &attempts, const AttemptId &attempt)
{
    const auto found = attempts.inHand_.find(attempt);
    return found == attempts.inHand_.end() ? nullptr : &found->second;
}

bool writeTombstone(Attempts &attempts, const AttemptId &attempt, Reason reason, Time now)
{
    if (attempts.tombstoneExpiries_.size() >= attempts.policy_.tombstones_)
        return false;
    attempts.closed_[attempt] = {.runState_ = RunState::NotRun, .reason_ = reason};
    attempts.tombstoneExpiries_.push_back({attempt, now + attempts.policy_.tombstoneMemory_});
    return true;
}

void closeAttempt(Attempts &attempts, AttemptId attempt, const ClosedAttempt &outcome, Time now)
{
    if (const AttemptInHand *known = findAttempt(attempts, attempt)) {
        attempts.answerBytes_ -= known->answer_.bytes_.size();
        if (known->stage_ == AttemptStage::Ended)
            std::erase(attempts.ended_, attempt);
        attempts.inHand_.erase(attempt);
    }
    if (!attempts.closed_.emplace(attempt, outcome).second)
        return;
    if (attempts.closedExpiries_.size() >= attempts.policy_.closed_)
        forgetOldest(attempts, attempts.closedExpiries_);
    attempts.closedExpiries_.push_back({std::move(attempt), now + attempts.policy_.closedMemory_});
}

void appendAnswer(Attempts &attempts, AttemptInHand &attempt, const std::string &bytes, Time now)
{
    attempt.answer_.bytes_ += bytes;
    attempts.answerBytes_ += bytes.size();
    if (attempts.answerBytes_ > attempts.policy_.answerBytes_)
        trimAnswers(attempts, attempt, now);
}

void markEnded(Attempts &attempts, AttemptInHand &attempt, Time now)
{
    attempt.stage_ = AttemptStage::Ended;
    attempt.endedAt_ = now;
    attempts.ended_.push_back(attempt.offer_.attempt_);
}

void expireAttempts(Attempts &attempts, Time now)
{
    forgetExpired(attempts, attempts.tombstoneExpiries_, now);
    forgetExpired(attempts, attempts.closedExpiries_, now);
    while (!attempts.ended_.empty()) {
        const AttemptInHand &oldest = attempts.inHand_.at(attempts.ended_.front());
        if (now - oldest.endedAt_ < attempts.policy_.answerMemory_)
            return;
        closeEnded(attempts, attempts.ended_.front(), now);
    }
}

} // namespace eelgrasscove
