#pragma once

/// Finds what crashes targets, a whole request or one part of the prompts of many, and decides
/// which requests are held back for it. Pure functions: no clock, I/O or threads.
///
/// A crash ends all requests at a target, so it casts suspicion on everything that was being
/// started there. What crashes targets is present at every crash and in no response that a target
/// went on writing; a part that was in such a response is cleared. Entries exchange what they know,
/// as each sees only its own requests, and a restarted entry learns it again from its peers.
///
/// For a prompt part, crashes are weighed as crashevidence.h describes. A whole request is judged
/// by the number of crashes alone.

#include "Edge/crashevidence.h"
#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

/// Hash of a whole request or of a prompt part.
using SuspectId = std::uint64_t;

/// Crashes of a suspect that are kept and reported.
constexpr std::size_t maxCrashesPerRecord = 16;

/// What is known of one suspect. Of two records of the same suspect, the one with the higher number
/// of clearances is valid; records with equal numbers complement each other.
struct CrashRecord
{
    /// Times that responses have shown the suspect to be sound; 1 where that was known before the
    /// first crash. Above 0, more crashes are needed to hold the suspect.
    std::uint32_t clearances_ = 0;
    /// Requests sent as a trial since the last clearance. Each doubles the pause before the next.
    std::uint32_t trials_ = 0;
    /// Distinct crashes since the last clearance, in ascending order.
    std::vector<CrashId> crashes_;
    /// The events at which the suspect was present, as this entry learned of them.
    SuspectEvents events_;
    /// Time of the last crash, or of the last request that was held back for the suspect.
    Time lastSeenAt_;
    /// No trial is made before this time.
    Time trialAfter_;
};

/// Parts that recent responses have shown to be sound, with the time of the last one. Entries that
/// are not refreshed are dropped half of the table at a time.
struct SoundParts
{
    std::unordered_map<SuspectId, Time> current_;
    std::unordered_map<SuspectId, Time> previous_;
};

struct CrashSuspects
{
    std::unordered_map<SuspectId, CrashRecord> records_;
    SoundParts sound_;
    CrashEvidence evidence_;
    /// The records have changed since the last message to the peers.
    bool haveChanged_ = false;
};

/// The suspects that a request contains.
struct RequestSuspects
{
    SuspectId request_ = 0;
    /// The prompt parts that other requests may share, without duplicates.
    std::vector<SuspectId> parts_;
};

/// A whole request or a prompt part. Crashes are weighed only for parts.
enum class SuspectKind {
    Request,
    Part,
};

enum class CrashVerdict {
    Allowed,
    /// The request may be sent to find out whether its suspect is sound; see recordTrial().
    Trial,
    /// The request is to be refused.
    Held,
};

/// Returns a hash of the request's path, caller and body, which is equal for each repetition of the
/// request.
SuspectId requestHash(std::string_view path, std::string_view caller, std::string_view body);

/// Returns the hashes of the request's prompt parts but the last one, which belongs to the request
/// or its session alone. promptParts has the form "ID:TOKENS,ID:TOKENS", with hexadecimal ids.
std::vector<SuspectId> sharedPartHashes(std::string_view promptParts);

/// Returns the suspect for which the request is held back or a trial; empty if it is allowed.
std::optional<SuspectId> findHeldSuspect(const CrashSuspects &suspects,
                                         const RequestSuspects &request);

/// Decides whether a request may be sent. A request with a second suspect that has crashes is never
/// a trial, as its crash would not identify the cause.
CrashVerdict judgeRequest(const CrashSuspects &suspects, const RequestSuspects &request, Time now);

/// Returns the time after which a held request may be sent as a trial; the retention period where
/// no trial will be made.
Duration timeUntilTrial(const CrashSuspects &suspects, const RequestSuspects &request, Time now);

/// Records that a request is sent as a trial. retryJitter is a random time that keeps the entries
/// from making their next trials at the same moment.
void recordTrial(CrashSuspects &suspects, const RequestSuspects &request, Duration retryJitter,
                 Time now);

/// Records that a request was held back, which keeps its suspects from expiring.
void recordHeld(CrashSuspects &suspects, const RequestSuspects &request, Time now);

/// Records the crash of a target at brokenAt, at which it had not yet been shown that the request
/// is sound. Where a suspect is held already it explains the crash, and no other is recorded.
void recordCrash(CrashSuspects &suspects, const RequestSuspects &request, CrashId crash,
                 Time brokenAt, Duration retryJitter, Time now);

/// Records that a target went on writing its response to the request, or completed it. Returns the
/// suspects that were held until now.
std::vector<SuspectId> recordSound(CrashSuspects &suspects, const RequestSuspects &request,
                                   Time now);

/// Returns the records to send to the peers, held suspects first, bounded in number.
std::vector<ReportedCrashRecord> crashReport(const CrashSuspects &suspects, Time now);

/// Merges a record that a peer reported. A suspect that this entry knows to be sound counts as
/// cleared, although the peer did not know it.
void mergeCrashRecord(CrashSuspects &suspects, const ReportedCrashRecord &reported,
                      Duration retryJitter, Time now);

/// Draws the time of the next trial anew, with another random time.
void delayTrial(CrashSuspects &suspects, SuspectId suspect, Duration retryJitter, Time now);

/// Whether requests with the suspect are held back. Crashes at which a stronger suspect was present
/// don't count: it explains them, and the other requests at the target were bystanders.
bool isHeld(const CrashSuspects &suspects, const CrashRecord &record, SuspectKind kind);

/// Returns the kind of a suspect whose request is not at hand. A part that no response here has
/// shown to be sound counts as a request.
SuspectKind kindOf(const CrashSuspects &suspects, SuspectId id);

/// Removes records that are older than the retention period, and the oldest beyond the limit.
void removeExpiredCrashSuspects(CrashSuspects &suspects, Time now);

} // namespace eelgrasscove
