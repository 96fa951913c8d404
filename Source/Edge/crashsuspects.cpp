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
/// Pause before the first trial, which doubles with each trial made before.
constexpr Duration trialPause = 5s;
constexpr std::uint32_t maxPauseDoublings = 6;

constexpr std::size_t maxCrashIds = 16;
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
    if (record.crashes_.size() < crashLimitOf(record))
        return false;
    const bool wasSound = record.clearances_ > 0;
    return wasSound == (other.clearances_ > 0) ? record.crashes_.size() > other.crashes_.size()
                                               : !wasSound;
}

/// Returns the number of crashes that no stronger suspect explains.
std::size_t unexplainedCrashes(const CrashSuspects &suspects, const CrashRecord &record)
{
    const auto isExplained = [&](CrashId crash) {
        return std::any_of(suspects.records_.begin(), suspects.records_.end(),
                           [&](const auto &other) {
                               const std::vector<CrashId> &crashes = other.second.crashes_;
                               return isStronger(other.second, record)
                                   && std::binary_search(crashes.begin(), crashes.end(), crash);
                           });
    };
    return record.crashes_.size()
        - static_cast<std::size_t>(
               std::count_if(record.crashes_.begin(), record.crashes_.end(), isExplained));
}

bool hasTrialsLeft(const CrashSuspects &suspects, const CrashRecord &record)
{
    return unexplainedCrashes(suspects, record)
        <= (record.clearances_ > 0 ? maxSoundTrialCrashes : maxTrialCrashes);
}

bool insertCrash(CrashRecord &record, CrashId crash)
{
    const auto at = std::lower_bound(record.crashes_.begin(), record.crashes_.end(), crash);
    if (record.crashes_.size() >= maxCrashIds || (at != record.crashes_.end() && *at == crash))
        return false;
    record.crashes_.insert(at, crash);
    return true;
}

/// Calls the function with each suspect of the request that has a record.
template <class Records, class Function>
void forEachRecord(Records &records, const RequestSuspects &request, const Function &function)
{
    if (records.empty())
        return;
    const auto visit = [&](SuspectId id) {
        if (const auto found = records.find(id); found != records.end())
            function(id, found->second);
    };
    visit(request.request_);
    for (const SuspectId part : request.parts_)
        visit(part);
}

void addCrash(CrashSuspects &suspects, SuspectId id, CrashId crash, bool wasSound, Duration jitter,
              Time now)
{
    CrashRecord &record = suspects.records_[id];
    if (record.clearances_ == 0 && wasSound)
        record.clearances_ = 1;
    record.lastSeenAt_ = now;
    if (!insertCrash(record, crash))
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

bool isHeld(const CrashSuspects &suspects, const CrashRecord &record)
{
    const std::size_t limit = crashLimitOf(record);
    return record.crashes_.size() >= limit && unexplainedCrashes(suspects, record) >= limit;
}

std::optional<SuspectId> findHeldSuspect(const CrashSuspects &suspects,
                                         const RequestSuspects &request)
{
    std::optional<SuspectId> held;
    forEachRecord(suspects.records_, request, [&](SuspectId id, const CrashRecord &record) {
        if (isHeld(suspects, record))
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
    forEachRecord(suspects.records_, request, [&](SuspectId, const CrashRecord &record) {
        if (record.crashes_.empty())
            return;
        ++suspected;
        if (isHeld(suspects, record) && hasTrialsLeft(suspects, record))
            time = std::max(record.trialAfter_ - now, Duration::zero());
    });
    return suspected == 1 ? time : retentionPeriod;
}

void recordTrial(CrashSuspects &suspects, const RequestSuspects &request, Duration retryJitter,
                 Time now)
{
    forEachRecord(suspects.records_, request, [&](SuspectId, CrashRecord &record) {
        if (!isHeld(suspects, record))
            return;
        ++record.trials_;
        setTrialPause(record, retryJitter, now);
        suspects.haveChanged_ = true;
    });
}

void recordHeld(CrashSuspects &suspects, const RequestSuspects &request, Time now)
{
    forEachRecord(suspects.records_, request, [&](SuspectId, CrashRecord &record) {
        if (isHeld(suspects, record))
            record.lastSeenAt_ = now;
    });
}

void recordCrash(CrashSuspects &suspects, const RequestSuspects &request, CrashId crash,
                 Time brokenAt, Duration retryJitter, Time now)
{
    if (const auto held = findHeldSuspect(suspects, request)) {
        addCrash(suspects, *held, crash, false, retryJitter, now);
        return;
    }
    addCrash(suspects, request.request_, crash, false, retryJitter, now);
    for (const SuspectId part : request.parts_) {
        const std::optional<Time> soundAt = lastSoundAt(suspects.sound_, part);
        if (!soundAt || *soundAt <= brokenAt)
            addCrash(suspects, part, crash, soundAt.has_value(), retryJitter, now);
    }
}

std::vector<SuspectId> recordSound(CrashSuspects &suspects, const RequestSuspects &request,
                                   Time now)
{
    std::vector<SuspectId> cleared;
    for (const SuspectId part : request.parts_)
        insertSound(suspects.sound_, part, now);
    forEachRecord(suspects.records_, request, [&](SuspectId id, CrashRecord &record) {
        if (record.crashes_.empty())
            return;
        if (isHeld(suspects, record))
            cleared.push_back(id);
        ++record.clearances_;
        record.trials_ = 0;
        record.crashes_.clear();
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
        if (isHeld(suspects, entry.second) || now - entry.second.lastSeenAt_ < period)
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
        record.crashes_.clear();
        record.trials_ = 0;
        hasNews = true;
    }
    for (const CrashId crash : reported.crashes_)
        hasNews = insertCrash(record, crash) || hasNews;
    if (reported.trials_ > record.trials_) {
        record.trials_ = reported.trials_;
        hasNews = true;
    }
    if (hasNews)
        setTrialPause(record, retryJitter, now);
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
        if (!isHeld(suspects, record))
            oldestFirst.emplace_back(record.lastSeenAt_, id);
    }
    std::sort(oldestFirst.begin(), oldestFirst.end());
    const std::size_t excess = suspects.records_.size() - maxRecords;
    oldestFirst.resize(std::min(oldestFirst.size(), excess));
    for (const auto &[seenAt, id] : oldestFirst)
        suspects.records_.erase(id);
}

} // namespace eelgrasscove
