#include "Edge/crashsuspects.h"

#include <algorithm>
#include <charconv>
#include <tuple>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Crashes at which a suspect that was never in a sound response is held.
constexpr std::size_t crashLimit = 2;
/// The same for a suspect that has been in sound responses, which is more likely a bystander.
constexpr std::size_t soundCrashLimit = 4;

/// Crashes up to which a held suspect gets trials, each of which may add one. The operator allows
/// three requests to reach targets after the fifth crash.
constexpr std::size_t maxTrialCrashes = 3;
constexpr std::size_t maxSoundTrialCrashes = 5;
/// Trials of a part that has been sound, or whose crashes all belong to one event, whatever their
/// number. One, so that the bound on requests after the third crash also holds where several
/// entries make it at once.
constexpr std::uint32_t maxTrialsAfterCrowd = 1;
/// Pause before the first trial, which doubles with each trial made before.
constexpr Duration trialPause = 5s;
constexpr std::uint32_t maxPauseDoublings = 6;

constexpr std::size_t maxRecords = 1024;
constexpr std::size_t maxSoundParts = 4096;
constexpr std::size_t maxReportedRecords = 32;
constexpr std::size_t maxPartsPerRequest = 32;

/// Time after which a suspect without crashes and requests is forgotten. Longer than the longest
/// client deadline, after which a client does not retry a request.
constexpr Duration retentionPeriod = 10min;
/// Time for which the clearance of a suspect, or a crash by which it isn't held, is reported to the
/// peers.
constexpr Duration clearanceReportPeriod = 10s;
constexpr Duration crashReportPeriod = 60s;

std::optional<Time> lastSoundAt(const SoundParts &sound, SuspectId id)
{
    for (const auto *table : {&sound.current_, &sound.previous_}) {
        if (const auto found = table->find(id); found != table->end())
            return found->second;
    }
    return std::nullopt;
}

void insertSound(SoundParts &sound, SuspectId id, Time now)
{
    if (sound.current_.size() >= maxSoundParts / 2) {
        sound.previous_ = std::move(sound.current_);
        sound.current_.clear();
    }
    sound.current_[id] = now;
}

void setTrialPause(CrashRecord &record, Duration jitter, Time now)
{
    record.trialAfter_ =
        now + trialPause * (1 << std::min(record.trials_, maxPauseDoublings)) + jitter;
}

std::size_t crashLimitOf(const CrashRecord &record)
{
    return record.clearances_ > 0 ? soundCrashLimit : crashLimit;
}

/// Whether a suspect rather than the other is the cause of a crash at which both were present.
bool isStronger(const CrashRecord &record, const CrashRecord &other)
{
    if (record.crashes_.size() < crashLimitOf(record) || isLikelyChance(record.events_))
        return false;
    const bool wasSound = record.clearances_ > 0;
    // Requests that were each repeated once after a crash do not explain the many crashes of a part
    // that all of them contain.
    if (wasSound != (other.clearances_ > 0))
        return !wasSound && record.crashes_.size() * 2 >= other.crashes_.size();
    const double chance = chanceOf(record.events_);
    const double otherChance = chanceOf(other.events_);
    return chance != otherChance ? chance < otherChance
                                 : record.crashes_.size() > other.crashes_.size();
}

/// Returns the crashes that no stronger suspect explains.
std::vector<CrashId> unexplainedCrashes(const CrashSuspects &suspects, const CrashRecord &record)
{
    std::vector<CrashId> unexplained = record.crashes_;
    for (const auto &[id, other] : suspects.records_) {
        if (unexplained.empty())
            break;
        if (!isStronger(other, record))
            continue;
        std::erase_if(unexplained, [&crashes = other.crashes_](CrashId crash) {
            return std::binary_search(crashes.begin(), crashes.end(), crash);
        });
    }
    return unexplained;
}

bool hasTrialsLeft(const CrashSuspects &suspects, const CrashRecord &record, SuspectKind kind)
{
    const std::size_t limit = record.clearances_ > 0 ? maxSoundTrialCrashes : maxTrialCrashes;
    if (unexplainedCrashes(suspects, record).size() <= limit)
        return true;
    // All crashes may have had another cause in common, so one trial finds out.
    return kind == SuspectKind::Part && (record.events_.size() <= 1 || record.clearances_ > 0)
        && record.trials_ < maxTrialsAfterCrowd;
}

bool insertCrash(const CrashEvidence &evidence, SuspectId id, CrashRecord &record, CrashId crash,
                 Time now)
{
    const auto at = std::lower_bound(record.crashes_.begin(), record.crashes_.end(), crash);
    if (record.crashes_.size() >= maxCrashesPerRecord
        || (at != record.crashes_.end() && *at == crash))
        return false;
    const bool isKept = addCrash(record.events_, chanceAtCrash(evidence, id, crash),
                                 crashTime(evidence, crash, now));
    if (record.clearances_ > 0 && !isKept)
        return false;
    record.crashes_.insert(at, crash);
    return true;
}

void clearCrashes(CrashRecord &record)
{
    record.trials_ = 0;
    record.crashes_.clear();
    record.events_ = {};
}

/// Calls the function with each suspect of the request that has a record.
template <class Records, class Function>
void forEachRecord(Records &records, const RequestSuspects &request, const Function &function)
{
    if (records.empty())
        return;
    const auto visit = [&](SuspectId id, SuspectKind kind) {
        if (const auto found = records.find(id); found != records.end())
            function(id, found->second, kind);
    };
    visit(request.request_, SuspectKind::Request);
    for (const SuspectId part : request.parts_)
        visit(part, SuspectKind::Part);
}

void recordCrashOf(CrashSuspects &suspects, SuspectId id, CrashId crash, bool wasSound,
                   Duration jitter, Time now)
{
    CrashRecord &record = suspects.records_[id];
    if (record.clearances_ == 0 && wasSound)
        record.clearances_ = 1;
    record.lastSeenAt_ = now;
    if (!insertCrash(suspects.evidence_, id, record, crash, now))
        return;
    setTrialPause(record, jitter, now);
    suspects.haveChanged_ = true;
}

} // namespace

SuspectId requestHash(std::string_view path, std::string_view caller, std::string_view body)
{
    const std::uint64_t seed =
        XXH3_64bits_withSeed(path.data(), path.size(), XXH3_64bits(caller.data(), caller.size()));
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

std::vector<SuspectId> sharedPartHashes(std::string_view promptParts)
{
    std::vector<SuspectId> parts;
    // The text after the last comma is the last part.
    for (std::size_t comma = promptParts.find(',');
         comma != std::string_view::npos && parts.size() < maxPartsPerRequest;
         comma = promptParts.find(',')) {
        std::string_view id = promptParts.substr(0, comma);
        promptParts.remove_prefix(comma + 1);
        id = id.substr(0, id.find(':'));
        while (!id.empty() && id.front() == ' ')
            id.remove_prefix(1);
        if (id.empty())
            continue;
        // The same id may be written with leading zeros or in capitals.
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number, 16);
        const bool isNumber = error == std::errc{} && end == id.data() + id.size();
        const SuspectId hash =
            isNumber ? XXH3_64bits(&number, sizeof number) : XXH3_64bits(id.data(), id.size());
        if (std::find(parts.begin(), parts.end(), hash) == parts.end())
            parts.push_back(hash);
    }
    return parts;
}

SuspectKind kindOf(const CrashSuspects &suspects, SuspectId id)
{
    return lastSoundAt(suspects.sound_, id) ? SuspectKind::Part : SuspectKind::Request;
}

bool isHeld(const CrashSuspects &suspects, const CrashRecord &record, SuspectKind kind)
{
    const std::size_t limit = crashLimitOf(record);
    if (record.crashes_.size() < limit)
        return false;
    if (kind == SuspectKind::Part && isLikelyChance(record.events_))
        return false;
    const std::vector<CrashId> crashes = unexplainedCrashes(suspects, record);
    // The presence of a part that has been sound is weighed by its chance.
    const bool mayBeBystander = kind == SuspectKind::Part && record.clearances_ == 0;
    return (mayBeBystander ? countedCrashes(suspects.evidence_, crashes) : crashes.size()) >= limit;
}

std::optional<SuspectId> findHeldSuspect(const CrashSuspects &suspects,
                                         const RequestSuspects &request)
{
    std::optional<SuspectId> held;
    forEachRecord(suspects.records_, request,
                  [&](SuspectId id, const CrashRecord &record, SuspectKind kind) {
                      if (isHeld(suspects, record, kind))
                          held = id;
                  });
    return held;
}

CrashVerdict judgeRequest(const CrashSuspects &suspects, const RequestSuspects &request, Time now)
{
    if (!findHeldSuspect(suspects, request))
        return CrashVerdict::Allowed;
    return timeUntilTrial(suspects, request, now) <= Duration::zero() ? CrashVerdict::Trial
                                                                      : CrashVerdict::Held;
}

Duration timeUntilTrial(const CrashSuspects &suspects, const RequestSuspects &request, Time now)
{
    std::size_t suspected = 0;
    Duration time = retentionPeriod;
    forEachRecord(suspects.records_, request,
                  [&](SuspectId, const CrashRecord &record, SuspectKind kind) {
                      if (record.crashes_.empty())
                          return;
                      ++suspected;
                      if (isHeld(suspects, record, kind) && hasTrialsLeft(suspects, record, kind))
                          time = std::max(record.trialAfter_ - now, Duration::zero());
                  });
    return suspected == 1 ? time : retentionPeriod;
}

void recordTrial(CrashSuspects &suspects, const RequestSuspects &request, Duration retryJitter,
                 Time now)
{
    forEachRecord(suspects.records_, request,
                  [&](SuspectId, CrashRecord &record, SuspectKind kind) {
                      if (!isHeld(suspects, record, kind))
                          return;
                      ++record.trials_;
                      setTrialPause(record, retryJitter, now);
                      suspects.haveChanged_ = true;
                  });
}

void recordHeld(CrashSuspects &suspects, const RequestSuspects &request, Time now)
{
    forEachRecord(suspects.records_, request,
                  [&](SuspectId, CrashRecord &record, SuspectKind kind) {
                      if (isHeld(suspects, record, kind))
                          record.lastSeenAt_ = now;
                  });
}

void recordCrash(CrashSuspects &suspects, const RequestSuspects &request, CrashId crash,
                 Time brokenAt, Duration retryJitter, Time now)
{
    if (const auto held = findHeldSuspect(suspects, request)) {
        recordCrashOf(suspects, *held, crash, false, retryJitter, now);
        return;
    }
    recordCrashOf(suspects, request.request_, crash, false, retryJitter, now);
    for (const SuspectId part : request.parts_) {
        const std::optional<Time> soundAt = lastSoundAt(suspects.sound_, part);
        if (!soundAt || *soundAt <= brokenAt)
            recordCrashOf(suspects, part, crash, soundAt.has_value(), retryJitter, now);
    }
}

std::vector<SuspectId> recordSound(CrashSuspects &suspects, const RequestSuspects &request,
                                   Time now)
{
    std::vector<SuspectId> cleared;
    for (const SuspectId part : request.parts_)
        insertSound(suspects.sound_, part, now);
    countSoundParts(suspects.evidence_, request.parts_, now);
    forEachRecord(suspects.records_, request,
                  [&](SuspectId id, CrashRecord &record, SuspectKind kind) {
                      if (record.crashes_.empty())
                          return;
                      if (isHeld(suspects, record, kind))
                          cleared.push_back(id);
                      ++record.clearances_;
                      clearCrashes(record);
                      record.lastSeenAt_ = now;
                      suspects.haveChanged_ = true;
                  });
    return cleared;
}

std::vector<ReportedCrashRecord> crashReport(const CrashSuspects &suspects, Time now)
{
    using Entry = std::pair<const SuspectId, CrashRecord>;
    std::vector<const Entry *> entries;
    for (const Entry &entry : suspects.records_) {
        const Duration period =
            entry.second.crashes_.empty() ? clearanceReportPeriod : crashReportPeriod;
        if (isHeld(suspects, entry.second, SuspectKind::Request)
            || now - entry.second.lastSeenAt_ < period)
            entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(), [](const Entry *left, const Entry *right) {
        const auto rank = [](const CrashRecord &record) {
            return std::tuple(record.crashes_.size() >= crashLimitOf(record),
                              record.crashes_.size(), record.lastSeenAt_);
        };
        return rank(left->second) > rank(right->second);
    });
    entries.resize(std::min(entries.size(), maxReportedRecords));
    std::vector<ReportedCrashRecord> report;
    report.reserve(entries.size());
    for (const Entry *entry : entries) {
        const CrashRecord &record = entry->second;
        report.push_back({entry->first, record.clearances_, record.trials_,
                          (now - record.lastSeenAt_).count(), record.crashes_});
    }
    return report;
}

void mergeCrashRecord(CrashSuspects &suspects, const ReportedCrashRecord &reported,
                      Duration retryJitter, Time now)
{
    const Duration age{std::max<std::int64_t>(reported.ageMicros_, 0)};
    if (age > retentionPeriod)
        return;
    CrashRecord &record = suspects.records_[reported.suspect_];
    record.lastSeenAt_ = std::max(record.lastSeenAt_, now - age);
    if (reported.clearances_ < record.clearances_)
        return;
    if (reported.clearances_ == 0 && !reported.crashes_.empty()
        && lastSoundAt(suspects.sound_, reported.suspect_)) {
        record.clearances_ = 1;
        suspects.haveChanged_ = true;
        return;
    }
    bool hasNews = false;
    if (reported.clearances_ > record.clearances_) {
        record.clearances_ = reported.clearances_;
        clearCrashes(record);
        hasNews = true;
    }
    for (const CrashId crash : reported.crashes_)
        hasNews = insertCrash(suspects.evidence_, reported.suspect_, record, crash, now) || hasNews;
    if (reported.trials_ > record.trials_) {
        record.trials_ = reported.trials_;
        hasNews = true;
    }
    if (hasNews)
        setTrialPause(record, retryJitter, now);
}

void delayTrial(CrashSuspects &suspects, SuspectId suspect, Duration retryJitter, Time now)
{
    if (const auto found = suspects.records_.find(suspect); found != suspects.records_.end())
        setTrialPause(found->second, retryJitter, now);
}

void removeExpiredCrashSuspects(CrashSuspects &suspects, Time now)
{
    std::erase_if(suspects.records_, [&](const auto &each) {
        return now - each.second.lastSeenAt_ > retentionPeriod;
    });
    if (suspects.records_.size() <= maxRecords)
        return;
    std::vector<std::pair<Time, SuspectId>> oldestFirst;
    for (const auto &[id, record] : suspects.records_) {
        if (!isHeld(suspects, record, SuspectKind::Request))
            oldestFirst.emplace_back(record.lastSeenAt_, id);
    }
    std::sort(oldestFirst.begin(), oldestFirst.end());
    const std::size_t excess = suspects.records_.size() - maxRecords;
    oldestFirst.resize(std::min(oldestFirst.size(), excess));
    for (const auto &[seenAt, id] : oldestFirst)
        suspects.records_.erase(id);
}

} // namespace eelgrasscove
