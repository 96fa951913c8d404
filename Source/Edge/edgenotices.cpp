#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/responsewire.h"
#include "platform/wirenames.h"

#include <utility>

namespace eelgrasscove {

namespace {

/// Maximum length of a header's value in the log.
constexpr std::size_t maxLoggedValue = 64;

} // namespace

TargetInstance instanceOf(const TargetState &target)
{
    return {target.listed_.id_, target.listed_.startedAt_};
}

std::shared_ptr<EdgeTarget> Edge::findInstance(const TargetInstance &instance)
{
    const auto found = targets_.find(instance.id_);
    if (found == targets_.end()
        || !isSameStart(found->second->state_.listed_.startedAt_, instance.startedAt_))
        return nullptr;
    return found->second;
}

void Edge::adoptListed(TargetState &state, ListedTarget listed)
{
    const bool wasListed = !state.listed_.id_.empty();
    if (wasListed && !isSameStart(state.listed_.startedAt_, listed.startedAt_)) {
        eventLog().note("target.restarted", "target", listed.id_, "started", listed.startedAt_,
                        "before", state.listed_.startedAt_);
        rememberNotice(rememberedNotices_, instanceOf(state), state.notice_, bootNow());
        state.notice_ = {};
        state.isReplaced_ = false;
        state.workTime_ = {};
        state.pace_ = 0;
        state.relativePace_ = 1;
        // The agent's last report was of the instance before.
        if (state.startedAt_ != listed.startedAt_)
            state.isDraining_ = false;
    }
    if (listed.startedAt_ == 0)
        listed.startedAt_ = state.listed_.startedAt_;
    state.listed_ = std::move(listed);
    mergeNotice(state.notice_, takeRemembered(rememberedNotices_, instanceOf(state)));
}

void Edge::applyResponseNotice(const TargetInstance &sentTo, Time sentAt, const HttpHead &head)
{
    // The address may have been assigned to another target, which names itself.
    const std::string_view respondent = head.header(wire::targetIdHeader);
    const TargetInstance instance = respondent.empty() || respondent == sentTo.id_
        ? sentTo
        : TargetInstance{std::string(respondent), 0};
    if (wire::isLeaving(head))
        applyLeaving(instance, LeavingSource::Response);
    applyColdHeader(instance, sentAt, head);
    if (head.status_ == 503)
        applyPause(instance, head);
    else if (const auto target = findInstance(sentTo);
             target && instance == sentTo && head.status_ >= 200)
        recordAccepted(target->state_.notice_, sentAt);
}

void Edge::applyPause(const TargetInstance &instance, const HttpHead &head)
{
    const wire::RetryAfter retryAfter = wire::decodeRetryAfter(head);
    if (retryAfter.form_ == wire::RetryAfterForm::Absent)
        return;
    const Time now = bootNow();
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const std::shared_ptr<EdgeTarget> target = findInstance(instance);
    if (!target) {
        TargetNotice notice;
        recordPause(notice, retryAfter.delay_, draw, now);
        rememberNotice(rememberedNotices_, instance, notice, now);
        return;
    }
    TargetNotice &notice = target->state_.notice_;
    if (retryAfter.form_ != wire::RetryAfterForm::Seconds
        && !std::exchange(notice.isFaultLogged_, true)) {
        eventLog().note("target.retry_after", "target", instance.id_, "value",
                        head.header(wire::retryAfterHeader).substr(0, maxLoggedValue), "form",
                        nameOf(wire::retryAfterFormNames, retryAfter.form_), "taken_ms",
                        retryAfter.delay_.count() / 1000);
    }
    if (!recordPause(notice, retryAfter.delay_, draw, now))
        return;
    eventLog().note("target.paused", "target", instance.id_, "for_ms",
                    (notice.pausedUntil_ - now).count() / 1000, "named_ms",
                    retryAfter.delay_.count() / 1000);
    countMetric("eelgrasscove_target_pauses_total");
    withdrawUnsent(*target);
}

void Edge::applyLeaving(const TargetInstance &instance, LeavingSource source)
{
    const std::shared_ptr<EdgeTarget> target = findInstance(instance);
    if (!target) {
        TargetNotice notice;
        recordLeaving(notice, source);
        rememberNotice(rememberedNotices_, instance, notice, bootNow());
        return;
    }
    if (!recordLeaving(target->state_.notice_, source))
        return;
    const std::string_view sourceName = nameOf(leavingSourceNames, source);
    eventLog().note("target.leaving", "target", instance.id_, "source", sourceName, "started",
                    target->state_.listed_.startedAt_);
    countMetric("eelgrasscove_targets_leaving_total", fmt::format("source=\"{}\"", sourceName));
    withdrawUnsent(*target);
}

void Edge::withdrawUnsent(EdgeTarget &target)
{
    const TargetExclusion exclusion = exclusionOf(target.state_, bootNow());
    if (declinesRequests(exclusion))
        target.pool_.withdrawUnsent(nameOf(targetExclusionNames, exclusion));
}

} // namespace eelgrasscove
