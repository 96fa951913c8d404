#pragma once

/// What a target has said about the requests that it wants. It holds for one instance of the target
/// and is remembered while the instance is not listed. Pure functions: no clock, I/O or threads.

#include <eelgrasscove/nametable.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace eelgrasscove {

/// Where an entry read that a target leaves.
enum class LeavingSource {
    /// The target list.
    List,
    /// A report of the target's agent.
    Report,
    /// A response of the target.
    Response,
};

constexpr NameTable<LeavingSource, 3> leavingSourceNames = {{
    {LeavingSource::List, "list"},
    {LeavingSource::Report, "report"},
    {LeavingSource::Response, "response"},
}};

struct TargetNotice
{
    /// Where the entry first read that the target leaves. Never reset: an instance that leaves does
    /// not come back.
    std::optional<LeavingSource> leaving_;
    /// The target wants no requests before this time.
    Time pausedUntil_;
    /// The target has paused and not responded to a later request yet.
    bool isOnTrial_ = false;
    /// Requests sent to the target since its pause ended.
    std::uint32_t trialSends_ = 0;
    Time lastTrialAt_;
    /// An unusable Retry-After of the target has been logged.
    bool isFaultLogged_ = false;
};

/// One start of a target. Ids are kept across restarts and addresses are assigned again.
struct TargetInstance
{
    std::string id_;
    /// Unix milliseconds; 0 where not known.
    std::uint64_t startedAt_ = 0;

    auto operator<=>(const TargetInstance &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Whether both may be the start of one instance. An unknown start does not distinguish
/// instances.
bool isSameStart(std::uint64_t left, std::uint64_t right);

/// Records that the target leaves. Returns false if that was known.
bool recordLeaving(TargetNotice &notice, LeavingSource source);

/// Records that the target wants no requests for a time from now on. A random part is added to the
/// pause so that entries return at different times; draw is in [0, 1). Returns false if the target
/// already pauses for longer.
bool recordPause(TargetNotice &notice, Duration pause, double draw, Time now);

bool isPaused(const TargetNotice &notice, Time now);

/// Whether the target has got the requests that try whether it wants some again after a pause, and
/// has not responded yet.
bool isTrialPending(const TargetNotice &notice, Time now);

/// Records that a request is sent to the target.
void recordSend(TargetNotice &notice, Time now);

/// Records a response other than a 503 to a request that was sent at sentAt, which ends the trial
/// after a pause.
void recordAccepted(TargetNotice &notice, Time sentAt);

/// Adds what another notice of the same instance says.
void mergeNotice(TargetNotice &notice, const TargetNotice &other);

/// Notices of instances that are not listed.
struct RememberedNotices
{
    struct Remembered
    {
        TargetNotice notice_;
        Time rememberedAt_;
    };
    std::map<TargetInstance, Remembered> instances_;
};

/// Adds to what is remembered of the instance.
void rememberNotice(RememberedNotices &notices, const TargetInstance &instance,
                    const TargetNotice &notice, Time now);

/// Removes and returns what is remembered of the instance.
TargetNotice takeRemembered(RememberedNotices &notices, const TargetInstance &instance);

/// Removes notices past the retention period.
void removeExpiredNotices(RememberedNotices &notices, Time now);

} // namespace eelgrasscove
