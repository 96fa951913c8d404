#pragma once

/// The attempts that a target process knows: those in hand, with the answers kept for entries that
/// may have to resume, and those that are over. Pure.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace eelgrasscove {

enum class AttemptStage {
    /// Nothing of it has gone to the target.
    Queued,
    /// Marked as started; its first byte may have gone to the target.
    Running,
    /// Its connection broke; whether the engine crashed isn't known yet.
    Lost,
    /// Over; the answer is kept until the entry has it.
    Ended,
};

/// What has come of an answer.
struct AnswerLog
{
    bool headKnown_ = false;
    std::uint32_t status_ = 0;
    std::string contentType_;
    /// Offset of the first byte still kept.
    std::uint64_t firstOffset_ = 0;
    std::string bytes_;

    std::uint64_t length() const { return firstOffset_ + bytes_.size(); }
};

/// An attempt in hand.
struct AttemptInHand
{
    Offer offer_;
    /// Where its messages go.
    std::string replyAddress_;
    AttemptStage stage_ = AttemptStage::Queued;
    Time receivedAt_;
    Time startedAt_;
    Time endedAt_;
    Time deadline_;
    /// Why it was told to stop; None where it wasn't.
    Reason stopping_ = Reason::None;
    AnswerLog answer_;
    std::int64_t tokensRun_ = 0;
    /// Only an engine state of this reading or a later one can tell why the run was lost.
    std::uint64_t judgedByRead_ = 0;
    /// Set where it ended without an answer.
    std::optional<AttemptFailed> failure_;
};

/// What is known of an attempt that is over, so that nothing said of it is taken back.
struct ClosedAttempt
{
    RunState runState_ = RunState::NotRun;
    Reason reason_ = Reason::None;
    std::int64_t tokensRun_ = 0;
};

/// When a closed attempt is forgotten.
struct ClosedExpiry
{
    AttemptId attempt_;
    Time at_;
};

struct AttemptPolicy
{
    /// An offer can't arrive later than this after its query: TCP has given up on it by then.
    Duration tombstoneMemory_ = std::chrono::minutes(30);
    std::size_t tombstones_ = 16384;
    /// A repeated offer can't arrive later than this after the first one was closed.
    Duration closedMemory_ = std::chrono::minutes(2);
    std::size_t closed_ = 16384;
    /// How long an answer is kept for an entry that doesn't say that it has it.
    Duration answerMemory_ = std::chrono::seconds(60);
    /// Bytes of all answers kept.
    std::size_t answerBytes_ = 4 * 1024 * 1024;
};

struct Attempts
{
    AttemptPolicy policy_;
    std::unordered_map<AttemptId, AttemptInHand> inHand_;
    std::unordered_map<AttemptId, ClosedAttempt> closed_;
    std::deque<ClosedExpiry> tombstoneExpiries_;
    std::deque<ClosedExpiry> closedExpiries_;
    /// Attempts in stage Ended, oldest first.
    std::deque<AttemptId> ended_;
    std::size_t answerBytes_ = 0;
};

AttemptInHand *findAttempt(Attempts &attempts, const AttemptId &attempt);

/// Writes that the attempt, never seen before, must not start here. False where there is no room
/// left: nothing may then be promised.
bool writeTombstone(Attempts &attempts, const AttemptId &attempt, Reason reason, Time now);

/// Forgets the attempt in hand, its answer too, but for how it came out. The id is taken by value,
/// since it may be a part of what is forgotten.
void closeAttempt(Attempts &attempts, AttemptId attempt, const ClosedAttempt &outcome, Time now);

/// Adds to the answer. Where too many bytes are kept, answers of ended attempts go first, then the
/// beginning of this one.
void appendAnswer(Attempts &attempts, AttemptInHand &attempt, const std::string &bytes, Time now);

/// Marks an attempt as over, its answer to be kept for a while.
void markEnded(Attempts &attempts, AttemptInHand &attempt, Time now);

/// Forgets what has been kept for long enough.
void expireAttempts(Attempts &attempts, Time now);

} // namespace eelgrasscove
