#pragma once

/// Tracks the attempts of a target process: the open ones, with the responses kept for entries that
/// may have to resume, and the outcomes of the closed ones. Pure functions: no clock, I/O or
/// threads.

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
    /// Nothing has been sent to the target.
    Queued,
    /// Started; the first byte may have been sent to the target.
    Running,
    /// The connection to the engine broke; it is not known yet whether the engine crashed.
    ConnectionLost,
    /// Ended; the response is kept until the entry confirms that it has received it.
    Ended,
};

/// The part of a response received from the target so far.
struct ResponseBuffer
{
    bool hasHead_ = false;
    std::uint32_t status_ = 0;
    std::string contentType_;
    /// Offset in the response of the first byte of bytes_; earlier bytes have been discarded.
    std::uint64_t firstOffset_ = 0;
    std::string bytes_;

    std::uint64_t length() const { return firstOffset_ + bytes_.size(); }
};

/// An attempt that is queued or running, or has ended and whose response is still kept.
struct OpenAttempt
{
    Offer offer_;
    /// Address that replies are sent to.
    std::string replyAddress_;
    AttemptStage stage_ = AttemptStage::Queued;
    Time receivedAt_;
    Time startedAt_;
    Time endedAt_;
    Time deadline_;
    /// Why the run was cancelled; None if it was not.
    Reason stopReason_ = Reason::None;
    ResponseBuffer response_;
    std::int64_t tokensRun_ = 0;
    /// Number of the first reading of the engine's state that can show why the connection broke.
    std::uint64_t firstConclusiveRead_ = 0;
    /// Set if the attempt ended without a response.
    std::optional<AttemptFailed> failure_;
};

/// The outcome of a closed attempt, kept so that later replies do not contradict earlier ones.
struct ClosedAttempt
{
    RunState runState_ = RunState::NotRun;
    Reason reason_ = Reason::None;
    std::int64_t tokensRun_ = 0;
};

/// The time at which a closed attempt is removed.
struct ClosedExpiry
{
    AttemptId attempt_;
    Time at_;
};

struct AttemptPolicy
{
    /// Retention of a tombstone. An offer cannot arrive later than this after its query, since TCP
    /// has given up retransmitting it by then.
    Duration tombstoneRetention_ = std::chrono::minutes(30);
    std::size_t maxTombstones_ = 16384;
    /// Retention of a closed attempt. A repeated offer cannot arrive later than this after the
    /// first one was closed.
    Duration closedRetention_ = std::chrono::minutes(2);
    std::size_t maxClosed_ = 16384;
    /// Retention of a response that the entry does not confirm as received.
    Duration responseRetention_ = std::chrono::seconds(60);
    /// Maximum total size of the responses kept.
    std::size_t maxResponseBytes_ = 4 * 1024 * 1024;
};

struct Attempts
{
    AttemptPolicy policy_;
    std::unordered_map<AttemptId, OpenAttempt> open_;
    std::unordered_map<AttemptId, ClosedAttempt> closed_;
    std::deque<ClosedExpiry> tombstoneExpiries_;
    std::deque<ClosedExpiry> closedExpiries_;
    /// Attempts in stage Ended, oldest first.
    std::deque<AttemptId> ended_;
    std::size_t responseBytes_ = 0;
};

OpenAttempt *findAttempt(Attempts &attempts, const AttemptId &attempt);

/// Records that the attempt, not seen before, must not start here. Returns false if the table is
/// full; the attempt may then not be reported as not run.
bool writeTombstone(Attempts &attempts, const AttemptId &attempt, Reason reason, Time now);

/// Removes the open attempt and its response, and records its outcome. The id is passed by value,
/// since the caller's id may belong to the attempt that is removed.
void closeAttempt(Attempts &attempts, AttemptId attempt, const ClosedAttempt &outcome, Time now);

/// Appends to the response. If the limit on kept bytes is exceeded, responses of ended attempts are
/// discarded first, then the beginning of this one.
void appendResponse(Attempts &attempts, OpenAttempt &attempt, const std::string &bytes, Time now);

/// Marks an attempt as ended; its response is kept for the retention period.
void markEnded(Attempts &attempts, OpenAttempt &attempt, Time now);

/// Removes tombstones, closed attempts and responses whose retention period has passed.
void expireAttempts(Attempts &attempts, Time now);

} // namespace eelgrasscove
