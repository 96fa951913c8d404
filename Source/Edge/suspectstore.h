#pragma once

/// The records of held crash suspects in the platform's store, from which entries learn of them
/// after all have restarted. Decides which records to write or remove. Pure functions: no clock,
/// I/O or threads.
///
/// A record is written when its suspect is held after the third crash, and again when a crash or a
/// trial changes whether another trial may be made. One entry writes for all.

#include "Edge/crashsuspects.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Keys are this prefix and the suspect's hash as 16 hexadecimal digits.
constexpr std::string_view suspectPrefix = "eelgrasscove/suspect/";

/// Time after which the store removes a record that isn't written again: the retention period of
/// crash suspects in memory.
constexpr Duration suspectLifetime = std::chrono::minutes(10);

/// Factor by which the trials of listed suspects are spread wider than others. Entries that start
/// together read the same record at the same time; with 1, four instead of at most three requests
/// reached targets in one of 4,000 simulated restarts.
constexpr int listedTrialSpread = 3;

/// What this entry knows of a record in the store.
struct StoredSuspect
{
    std::string value_;
    Time writtenAt_;
    /// False if another entry writes it, or the write has failed.
    bool isWritten_ = false;
};

using StoredSuspects = std::map<SuspectId, StoredSuspect>;

struct SuspectWrites
{
    /// Suspects and the values to write.
    std::vector<std::pair<SuspectId, std::string>> writes_;
    std::vector<SuspectId> removals_;
};

std::string suspectKey(SuspectId suspect);

/// Returns "CRASHES CLEARANCES TRIALS ID...", the numbers as decimals, followed by the hashes of
/// the crashes as 8 hexadecimal digits each. The hashes keep a crash that a peer also reports from
/// being counted twice.
std::string encodeSuspect(const CrashRecord &record);

/// Returns an empty value unless key and value are exactly as encoded.
std::optional<ReportedCrashRecord> decodeSuspect(std::string_view key, std::string_view value);

/// Records that the store was listed with this record.
void recordListed(StoredSuspects &stored, SuspectId suspect, std::string value, Time now);

/// Returns what has to be written and removed, and records it as done. isWriter says whether this
/// entry writes on behalf of all; others only note what the writer does.
SuspectWrites planSuspectWrites(const CrashSuspects &suspects, StoredSuspects &stored,
                                bool isWriter, Time now);

/// Records that the store has been restored from an older copy, so that all records are written
/// again.
void recordRestoredSuspects(StoredSuspects &stored);

/// Records that a write has failed, so that it is planned again.
void recordWriteFailed(StoredSuspects &stored, SuspectId suspect);

} // namespace eelgrasscove
