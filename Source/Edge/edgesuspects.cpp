#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Per entry, the time over which the entries' trials of one suspect are spread.
constexpr Duration trialSpreadPerEntry = 400ms;

/// Longest Retry-After of a request that is held back because it or a part of its prompt crashes
/// targets.
constexpr Duration heldRetryAfter = 30s;

/// Time after the start for which an entry waits for the stored suspects before it becomes ready.
/// The lists of rules and targets take less, and an entry that can't list this prefix has to serve.
constexpr Duration maxSuspectListWait = 2s;
/// Pause of all writes after one that failed.
constexpr Duration suspectWritePause = 1s;

} // namespace

bool Edge::refuseIfHeld(EdgeRequest &request, Time now)
{
    if (request.isKnownSound_ || request.isTrial_)
        return false;
    const std::optional<SuspectId> held = findHeldSuspect(crashSuspects_, request.suspects_);
    if (!held || judgeRequest(crashSuspects_, request.suspects_, now) != CrashVerdict::Held)
        return false;
    recordHeld(crashSuspects_, request.suspects_, now);
    countMetric("eelgrasscove_requests_held_total");
    eventLog().note("request.held", "id", request.id_, "hash", *held);
    refuse(request, 503, "request or part of its prompt crashed targets repeatedly",
           std::min(heldRetryAfter, timeUntilTrial(crashSuspects_, request.suspects_, now)));
    return true;
}

void Edge::recordSoundRequest(EdgeRequest &request, Time now)
{
    if (request.isKnownSound_)
        return;
    request.isKnownSound_ = true;
    for (const SuspectId suspect : recordSound(crashSuspects_, request.suspects_, now))
        eventLog().note("suspect.cleared", "hash", suspect, "id", request.id_);
}

void Edge::logHeldSuspect(SuspectId suspect, std::string_view source) const
{
    const CrashRecord &record = crashSuspects_.records_.at(suspect);
    eventLog().note("suspect.held", "hash", suspect, "crashes", record.crashes_.size(),
                    "clearances", record.clearances_, "trials", record.trials_, "source", source);
}

Duration Edge::trialJitter()
{
    const double fraction = std::uniform_real_distribution<double>(0, 1)(random_);
    const auto spread = trialSpreadPerEntry * (peers_.size() + 1);
    return std::chrono::duration_cast<Duration>(spread * fraction);
}

void Edge::suspectCrash(const EdgeRequest &request, std::string_view reason, Time now)
{
    const std::shared_ptr<EdgeTarget> &target = request.target_;
    const TargetState &state = target->state_;
    // A target may be removed from the list before a planned end.
    const auto listed = targets_.find(state.listed_.id_);
    const bool isListed =
        listed != targets_.end() && listed->second == target && !state.missingSince_;
    if (request.isKnownSound_ || !isListed || hasAnnouncedEnd(state) || !mayBeCrash(reason))
        return;
    crashSuspicions_.push_back(
        {request.id_, request.suspects_, target, crashIdOf(state), {now, now}});
    probeSuspectedTargets(now);
}

void Edge::judgeBrokenConnections(Time now)
{
    std::erase_if(crashSuspicions_, [&](const CrashSuspicion &suspicion) {
        const EdgeTarget &target = *suspicion.target_;
        const BreakCause cause =
            judgeBreak(suspicion.broken_, target.state_, target.crashedAt_, now);
        if (cause == BreakCause::Unknown)
            return false;
        eventLog().note(cause == BreakCause::Crash ? "suspect.counted" : "suspect.dismissed", "id",
                        suspicion.requestId_, "hash", suspicion.suspects_.request_, "parts",
                        suspicion.suspects_.parts_.size(), "target", target.state_.listed_.id_,
                        "cause", nameOf(breakCauseNames, cause), "broken_ms_ago",
                        (now - suspicion.broken_.brokenAt_).count() / 1000);
        if (cause != BreakCause::Crash)
            return true;
        const bool wasHeld = findHeldSuspect(crashSuspects_, suspicion.suspects_).has_value();
        recordCrash(crashSuspects_, suspicion.suspects_, suspicion.crash_,
                    suspicion.broken_.brokenAt_, trialJitter(), now);
        const auto held = findHeldSuspect(crashSuspects_, suspicion.suspects_);
        if (held && !wasHeld)
            logHeldSuspect(*held, "crash");
        return true;
    });
    probeSuspectedTargets(now);
}

void Edge::probeSuspectedTargets(Time now)
{
    for (const CrashSuspicion &suspicion : crashSuspicions_) {
        EdgeTarget &target = *suspicion.target_;
        if (target.probe_ || !isProbeDue(suspicion.broken_, target.state_, now))
            continue;
        const auto onDone = [this, weak = std::weak_ptr(suspicion.target_)](ProbeResult result) {
            if (const auto probed = weak.lock())
                onProbed(*probed, result);
        };
        target.probe_ = std::make_unique<TargetProbe>(loop_, target.state_.endpoint_, onDone);
    }
}

void Edge::onProbed(EdgeTarget &target, ProbeResult result)
{
    const Time now = bootNow();
    const Time startedAt = target.probe_->startedAt();
    target.probe_.reset();
    const std::string_view name = nameOf(probeResultNames, result);
    countMetric("eelgrasscove_target_probes_total", fmt::format("result=\"{}\"", name));
    eventLog().note("target.probed", "target", target.state_.listed_.id_, "result", name, "took_ms",
                    (now - startedAt).count() / 1000);
    for (CrashSuspicion &suspicion : crashSuspicions_) {
        if (suspicion.target_.get() == &target)
            recordProbe(suspicion.broken_, result, startedAt, now);
    }
    if (result == ProbeResult::Refused)
        recordRefusal(target, now);
    judgeBrokenConnections(now);
}

void Edge::recordRefusal(EdgeTarget &target, Time now)
{
    target.crashedAt_ = now;
    markRefusingTarget(target, now);
}

void Edge::mergeSuspect(const ReportedCrashRecord &reported, std::string_view source)
{
    const auto isSuspectHeld = [&] {
        const auto record = crashSuspects_.records_.find(reported.suspect_);
        return record != crashSuspects_.records_.end()
            && isHeld(crashSuspects_, record->second, kindOf(crashSuspects_, reported.suspect_));
    };
    const bool wasHeld = isSuspectHeld();
    mergeCrashRecord(crashSuspects_, reported, trialJitter(), bootNow());
    if (!wasHeld && isSuspectHeld())
        logHeldSuspect(reported.suspect_, source);
}

void Edge::listSuspects(const Endpoint &store)
{
    suspectKeys_ = std::make_unique<LeasedKeys>(loop_, store, storeEra_, std::string(suspectPrefix),
                                                suspectLifetime);
    suspectKeys_->list([this](const auto &items) {
        const Time now = bootNow();
        for (const wire::StoreItem &item : items) {
            const std::optional<ReportedCrashRecord> record = decodeSuspect(item.key_, item.value_);
            if (!record) {
                countMetric("eelgrasscove_stored_suspects_ignored_total");
                eventLog().note("suspect.ignored", "key", item.key_, "bytes", item.value_.size());
                continue;
            }
            recordListed(storedSuspects_, record->suspect_, item.value_, now);
            mergeSuspect(*record, "store");
            delayTrial(crashSuspects_, record->suspect_, trialJitter() * listedTrialSpread, now);
            restoredSuspects_.push_back(record->suspect_);
        }
        areSuspectsListed_ = true;
    });
}

bool Edge::areSuspectsKnown(Time now) const
{
    return areSuspectsListed_ || now - startedAt_ > maxSuspectListWait;
}

void Edge::writeSuspects(Time now)
{
    if (!areSuspectsListed_)
        return;
    // Their trials were spread over the entries that were known at the time of the list.
    if (!restoredSuspects_.empty() && peerFeed_->confirmedAt()) {
        for (const SuspectId suspect : restoredSuspects_)
            delayTrial(crashSuspects_, suspect, trialJitter() * listedTrialSpread, now);
        restoredSuspects_.clear();
    }
    if (suspectKeys_->isBusy() || now < suspectWritesAfter_)
        return;
    const bool isWriter = storeQueryRank(nameHash(settings_.vm_), peersInContact(now)) == 0;
    const SuspectWrites plan = planSuspectWrites(crashSuspects_, storedSuspects_, isWriter, now);
    for (const auto &write : plan.writes_) {
        suspectKeys_->write(suspectKey(write.first), write.second,
                            [this, suspect = write.first, value = write.second](bool isDone) {
                                eventLog().note(isDone ? "suspect.stored" : "suspect.store_failed",
                                                "hash", suspect, "value", value);
                                if (isDone)
                                    return;
                                recordWriteFailed(storedSuspects_, suspect);
                                suspectWritesAfter_ = bootNow() + suspectWritePause;
                            });
    }
    for (const SuspectId suspect : plan.removals_) {
        // If the removal fails, the record expires with its lease.
        suspectKeys_->remove(suspectKey(suspect), [suspect](bool isDone) {
            eventLog().note("suspect.removed", "hash", suspect, "done", isDone);
        });
    }
}

} // namespace eelgrasscove
