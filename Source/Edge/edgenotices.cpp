#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/responsewire.h"
#include "platform/wirenames.h"

namespace eelgrasscove {

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
        // The agent's last report was of the instance before.
        if (state.startedAt_ != listed.startedAt_)
            state.isDraining_ = false;
    }
    if (listed.startedAt_ == 0)
        listed.startedAt_ = state.listed_.startedAt_;
    state.listed_ = std::move(listed);
    mergeNotice(state.notice_, takeRemembered(rememberedNotices_, instanceOf(state)));
}

void Edge::applyResponseNotice(const TargetInstance &sentTo, const HttpHead &head)
{
    // The address may have been assigned to another target, which names itself.
    const std::string_view respondent = head.header(wire::targetIdHeader);
    const TargetInstance instance = respondent.empty() || respondent == sentTo.id_
        ? sentTo
        : TargetInstance{std::string(respondent), 0};
    if (wire::isLeaving(head))
        applyLeaving(instance, LeavingSource::Response);
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
