#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/responsewire.h"
#include "platform/wirenames.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A cold time that ends later than known by less than this is not logged again: each list entry
/// was written a few hundred ms to two seconds ago.
constexpr Duration minLoggedExtension = 2500ms;

/// Maximum length of a header's value in the log.
constexpr std::size_t maxLoggedValue = 64;

/// End of the cold time, or the present if the target is not cold.
Time coldEndAt(const ColdTarget &cold, Time now)
{
    return isCold(cold, now) ? coldUntil(cold) : now;
}

/// Makes a change to what is known of a target's cold time, and logs a new cold time.
template <class Change>
void changeCold(EdgeTarget &target, Time now, const Change &change)
{
    ColdTarget &cold = target.state_.cold_;
    const bool wasCold = isCold(cold, now);
    const Time endBefore = coldEndAt(cold, now);
    change(cold);
    const Time end = coldEndAt(cold, now);
    const bool becomesCold = !wasCold && isCold(cold, now);
    if (!becomesCold && end - endBefore < minLoggedExtension)
        return;
    const std::size_t quota = quotaOf(cold.share_, cold.limits_.perSecond_);
    eventLog().note("target.cold", "target", target.state_.listed_.id_, "source",
                    nameOf(coldSourceNames, cold.mark_->source_), "left_ms",
                    (end - now).count() / 1000, "quota", quota, "rank", cold.share_.rank_,
                    "entries", cold.share_.entries_);
    // Requests whose connections are still being opened are placed anew, within the quota.
    if (becomesCold)
        target.pool_.withdrawUnsent("target is cold");
}

void countInvalid(std::string_view source)
{
    countMetric("eelgrasscove_cold_values_ignored_total", fmt::format("source=\"{}\"", source));
}

} // namespace

void Edge::applyColdRules()
{
    for (const ServedService &service : rules_->rules().services_) {
        hasColdLimits_ = hasColdLimits_ || service.cold_.perSecond_ > 0;
        if (service.cold_.isValid_)
            continue;
        countInvalid("rules");
        eventLog().note("rules.cold_ignored", "service", service.name_, "reason",
                        "cold_start_s or cold_per_s is not a number or out of range");
    }
    refreshColdLimits();
}

void Edge::refreshColdLimits()
{
    const Time now = bootNow();
    for (const auto &[id, target] : targets_)
        refreshColdLimit(*target, now);
}

void Edge::refreshColdLimit(EdgeTarget &target, Time now)
{
    const ServedService *service =
        rules_ ? rules_->findService(target.state_.listed_.service_) : nullptr;
    // Without usable values the previous ones are kept.
    if (service == nullptr || !service->cold_.isValid_)
        return;
    if (service->cold_.perSecond_ <= 0) {
        target.state_.cold_.limits_ = {};
        return;
    }
    changeCold(target, now, [&](ColdTarget &cold) {
        cold.limits_ = service->cold_;
        cold.share_ = limitShareOf(settings_.vm_, coldEntries_, target.state_.listed_.address_);
    });
}

void Edge::applyListedTime(EdgeTarget &target, const ListedTarget &listed, std::uint64_t revision)
{
    const Time now = bootNow();
    ColdTarget &cold = target.state_.cold_;
    if (cold.quotaFrom_ == Time{}) {
        cold.quotaFrom_ = now + quotaWindow;
        refreshColdLimit(target, now);
    }
    if (listed.cold_.form_ == ColdForm::Invalid && revision != cold.listRevision_) {
        countInvalid("list");
        eventLog().note("target.cold_ignored", "target", listed.id_, "source", "list");
    }
    changeCold(target, now,
               [&](ColdTarget &each) { applyListedCold(each, listed, revision, now); });
}

void Edge::applyColdHeader(const TargetInstance &instance, Time sentAt, const HttpHead &head)
{
    if (!hasColdLimits_)
        return;
    const std::shared_ptr<EdgeTarget> target = findInstance(instance);
    if (!target || target->state_.cold_.limits_.perSecond_ <= 0)
        return;
    const ColdStatement stated = wire::decodeColdRemaining(head);
    if (stated.form_ == ColdForm::Absent)
        return;
    if (stated.form_ == ColdForm::Invalid) {
        countInvalid("response");
        if (!target->state_.cold_.hasInvalidStatement_) {
            eventLog().note("target.cold_ignored", "target", instance.id_, "source", "response",
                            "value",
                            head.header(wire::coldRemainingHeader).substr(0, maxLoggedValue));
        }
    }
    const Time now = bootNow();
    changeCold(*target, now, [&](ColdTarget &cold) { applyStatedCold(cold, stated, sentAt, now); });
}

void Edge::applyColdReport(EdgeTarget &target, const EngineStateMessage &report, Time now)
{
    const TargetState &state = target.state_;
    const auto before = state.hasAgentReport_
        ? std::optional(ReportedStart{state.startedAt_, state.isUp_})
        : std::nullopt;
    changeCold(target, now, [&](ColdTarget &cold) {
        applyReportedStart(cold, before, {report.startedAt_, report.isUp_}, now);
    });
}

void Edge::markRefusingTarget(EdgeTarget &target, Time now)
{
    changeCold(target, now, [now](ColdTarget &cold) { markCold(cold, ColdSource::Refusal, now); });
}

void Edge::markDataCentreCold(const std::string &dataCentre, Time now)
{
    for (const auto &[id, target] : targets_) {
        const TargetState &state = target->state_;
        if (state.listed_.dataCentre_ != dataCentre || state.cold_.limits_.perSecond_ <= 0)
            continue;
        changeCold(*target, now,
                   [now](ColdTarget &cold) { markCold(cold, ColdSource::Evacuation, now); });
    }
}

void Edge::recordColdSendTo(TargetState &state, Time now)
{
    if (state.cold_.limits_.perSecond_ <= 0)
        return;
    recordColdSend(state.cold_, now);
    if (isCold(state.cold_, now))
        countMetric("eelgrasscove_cold_sends_total");
}

void Edge::removeColdSend(const EdgeRequest &request)
{
    ColdTarget &cold = request.target_->state_.cold_;
    if (cold.limits_.perSecond_ > 0)
        removeRecentSend(cold.sends_, request.sentAt_);
}

Duration Edge::expectedQuotaWait(const EdgeRequest &request, bool isNewInQueue,
                                 Duration firstQuotaIn, Time now)
{
    if (!isNewInQueue)
        return firstQuotaIn;
    countMetric("eelgrasscove_cold_limited_total");
    std::size_t quotas = 0;
    for (const TargetState *state : targetStates(request.service_)) {
        const ColdTarget &cold = state->cold_;
        if (exclusionOf(*state, now) == TargetExclusion::ColdLimited)
            quotas += quotaOf(cold.share_, coldLimitAt(cold, now).value_or(0));
    }
    if (quotas == 0)
        return firstQuotaIn;
    const WaitingRequest own = waitingRequestOf(request);
    const std::list<EdgeRequestPtr> &queue = waitingRequests_[request.service_];
    const auto ahead = std::count_if(queue.begin(), queue.end(), [&](const auto &other) {
        return other->waitReason_ == PlacementKind::AwaitQuota
            && isOrderedBefore(waitingRequestOf(*other), own, now);
    });
    return firstQuotaIn + quotaWindow * (static_cast<std::size_t>(ahead) / quotas);
}

void Edge::countColdTargets(Time now) const
{
    const auto cold = std::count_if(targets_.begin(), targets_.end(), [now](const auto &each) {
        return isCold(each.second->state_.cold_, now);
    });
    setGauge("eelgrasscove_cold_targets", "", static_cast<double>(cold));
}

} // namespace eelgrasscove
