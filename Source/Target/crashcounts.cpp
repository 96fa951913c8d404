#include "Target/crashcounts.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Maximum number of fingerprints kept; further ones are dropped, which bounds the memory used
/// during a flood of crashes.
constexpr std::size_t maxRecords = 4096;

/// Maximum delay with which a peer's report of an expired count may arrive.
constexpr Duration maxReportDelay = std::chrono::seconds(30);

const CrashRecord *findRecord(const CrashCounts &crashCounts, const Fingerprint &fingerprint,
                              Time now)
{
    const auto found = crashCounts.records_.find(fingerprint);
    if (found == crashCounts.records_.end() || found->second.expiresAt_ <= now)
        return nullptr;
    return &found->second;
}

bool hasRoomFor(const CrashCounts &crashCounts, const Fingerprint &fingerprint)
{
    return crashCounts.records_.size() < maxRecords || crashCounts.records_.contains(fingerprint);
}

} // namespace

Suspicion suspicionFor(const CrashCounts &crashCounts, const Fingerprint &fingerprint, Time now)
{
    const CrashRecord *record = findRecord(crashCounts, fingerprint, now);
    if (!record || record->count_ <= record->clearedCount_)
        return Suspicion::None;
    return record->count_ >= crashCounts.refusalThreshold_ ? Suspicion::Refuse
                                                           : Suspicion::RunAlone;
}

Duration refusalTimeLeft(const CrashCounts &crashCounts, const Fingerprint &fingerprint, Time now)
{
    const CrashRecord *record = findRecord(crashCounts, fingerprint, now);
    return record ? record->expiresAt_ - now : Duration(0);
}

void recordCrash(CrashCounts &crashCounts, const Fingerprint &fingerprint, Time now)
{
    if (fingerprint.empty() || !hasRoomFor(crashCounts, fingerprint))
        return;
    CrashRecord &record = crashCounts.records_[fingerprint];
    if (record.expiresAt_ <= now)
        record = {};
    ++record.count_;
    record.expiresAt_ = now + crashCounts.retention_;
}

void clearSuspicion(CrashCounts &crashCounts, const Fingerprint &fingerprint)
{
    const auto found = crashCounts.records_.find(fingerprint);
    if (found != crashCounts.records_.end())
        found->second.clearedCount_ = found->second.count_;
}

void mergeCrashCounts(CrashCounts &crashCounts, const std::vector<Strike> &reported, Time now)
{
    for (const Strike &reportedStrike : reported) {
        if (!hasRoomFor(crashCounts, reportedStrike.fingerprint_))
            continue;
        CrashRecord &record = crashCounts.records_[reportedStrike.fingerprint_];
        if (reportedStrike.count_ <= record.count_)
            continue;
        record.count_ = reportedStrike.count_;
        // Only a higher count extends the expiry, so that peers cannot keep each other's records
        // alive by reporting them back and forth.
        record.expiresAt_ = now + crashCounts.retention_;
    }
}

std::vector<Strike> crashCountsToReport(const CrashCounts &crashCounts, Time now)
{
    std::vector<Strike> report;
    for (const auto &[fingerprint, record] : crashCounts.records_) {
        if (record.expiresAt_ > now)
            report.push_back({.fingerprint_ = fingerprint, .count_ = record.count_});
    }
    return report;
}

void removeExpiredCrashCounts(CrashCounts &crashCounts, Time now)
{
    // Kept beyond the expiry, so that a peer's late report of the same count is not taken for a new
    // crash.
    std::erase_if(crashCounts.records_, [&](const auto &entry) {
        return entry.second.expiresAt_ + maxReportDelay <= now;
    });
}

} // namespace eelgrasscove
