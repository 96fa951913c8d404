#include "Target/strikes.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Fingerprints kept at most; a flood of crashes forgets the newest rather than grow.
constexpr std::size_t recordLimit = 4096;

/// How late a report of an expired strike may arrive.
constexpr Duration lateReport = std::chrono::seconds(30);

const StrikeRecord *recordOf(const Strikes &strikes, const Fingerprint &fingerprint, Time now)
{
    const auto found = strikes.records_.find(fingerprint);
    if (found == strikes.records_.end() || found->second.until_ <= now)
        return nullptr;
    return &found->second;
}

bool hasRoomFor(const Strikes &strikes, const Fingerprint &fingerprint)
{
    return strikes.records_.size() < recordLimit || strikes.records_.contains(fingerprint);
}

} // namespace

Suspicion suspicionOf(const Strikes &strikes, const Fingerprint &fingerprint, Time now)
{
    const StrikeRecord *record = recordOf(strikes, fingerprint, now);
    if (!record || record->count_ <= record->cleared_)
        return Suspicion::None;
    return record->count_ >= strikes.limit_ ? Suspicion::Refuse : Suspicion::RunAlone;
}

Duration refusedFor(const Strikes &strikes, const Fingerprint &fingerprint, Time now)
{
    const StrikeRecord *record = recordOf(strikes, fingerprint, now);
    return record ? record->until_ - now : Duration(0);
}

void strike(Strikes &strikes, const Fingerprint &fingerprint, Time now)
{
    if (fingerprint.empty() || !hasRoomFor(strikes, fingerprint))
        return;
    StrikeRecord &record = strikes.records_[fingerprint];
    if (record.until_ <= now)
        record = {};
    ++record.count_;
    record.until_ = now + strikes.memory_;
}

void clearSuspicion(Strikes &strikes, const Fingerprint &fingerprint)
{
    const auto found = strikes.records_.find(fingerprint);
    if (found != strikes.records_.end())
        found->second.cleared_ = found->second.count_;
}

void takeStrikes(Strikes &strikes, const std::vector<Strike> &reported, Time now)
{
    for (const Strike &reportedStrike : reported) {
        if (!hasRoomFor(strikes, reportedStrike.fingerprint_))
            continue;
        StrikeRecord &record = strikes.records_[reportedStrike.fingerprint_];
        if (reportedStrike.count_ <= record.count_)
            continue;
        record.count_ = reportedStrike.count_;
        // Only a new strike renews it, so that peers can't keep each other's records alive.
        record.until_ = now + strikes.memory_;
    }
}

std::vector<Strike> reportStrikes(const Strikes &strikes, Time now)
{
    std::vector<Strike> report;
    for (const auto &[fingerprint, record] : strikes.records_) {
        if (record.until_ > now)
            report.push_back({.fingerprint_ = fingerprint, .count_ = record.count_});
    }
    return report;
}

void expireStrikes(Strikes &strikes, Time now)
{
    // Kept a little longer, so that a peer's late report of it is known as old.
    std::erase_if(strikes.records_,
                  [&](const auto &entry) { return entry.second.until_ + lateReport <= now; });
}

} // namespace eelgrasscove
