#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/requestwire.h"
#include "platform/ruleswire.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Requests are sent only while the last confirmation of the operators' keys is younger than the
/// bound less this margin, which covers the delay between the check and the request's arrival at
/// the target.
constexpr Duration sendCheckMargin = 300ms;

std::vector<EvacuationItem> evacuationItems(const std::vector<wire::StoreItem> &items)
{
    std::vector<EvacuationItem> evacuations;
    for (const wire::StoreItem &item : items) {
        if (const auto dataCentre = wire::evacuatedDataCentre(item.key_))
            evacuations.push_back({*dataCentre, item.revision_, item.isDeleted_});
    }
    return evacuations;
}

} // namespace

Duration Edge::rulesAgeBound() const
{
    return confirmationBound(settings_.bounds_.revoke_, settings_.bounds_.evacuation_);
}

bool Edge::areRulesFresh(Time now) const
{
    return rules_ != nullptr && now - rulesConfirmedAt() < rulesAgeBound() - sendCheckMargin
        && areRulesComparedWithPeers(now);
}

bool Edge::refuseIfRulesAreOld(EdgeRequest &request, Time now)
{
    const bool needsKey =
        dependsOnKeys(rules_->rules(), request.route_, wire::decodeKey(request.head_));
    const bool isKeyTooOld =
        needsKey && now - rulesConfirmedAt() >= settings_.bounds_.revoke_ - sendCheckMargin;
    if (needsKey && !isKeyTooOld && !areRulesComparedWithPeers(now)) {
        refuseAndCloseConnection(request, "rules not yet compared with those of the other entries");
        return true;
    }
    // Evacuations can be read also where the rules can't.
    const bool isEvacuationTooOld = settings_.bounds_.evacuation_
        && now - operatorChangesConfirmedAt() >= rulesAgeBound() - sendCheckMargin;
    if (!isKeyTooOld && !isEvacuationTooOld)
        return false;
    refuseAndCloseConnection(
        request,
        isKeyTooOld ? "rules not confirmed within the bound for withdrawn keys"
                    : "operators' keys not confirmed within the bound for evacuations");
    return true;
}

void Edge::applyEvacuationItems(const std::vector<wire::StoreItem> &items)
{
    std::vector<EvacuationItem> listed = evacuationItems(items);
    if (operatorFeed_->isSettling())
        addUnlisted(listed, evacuations_);
    applyEvacuationChanges(
        applyEvacuationList(evacuations_, listed, operatorFeed_->revision(), bootNow()));
}

bool Edge::applyEvacuationItem(const wire::StoreItem &item)
{
    const std::vector<EvacuationItem> events = evacuationItems({item});
    if (events.empty())
        return false;
    if (const auto change = applyEvacuationEvent(evacuations_, events.front(), bootNow()))
        applyEvacuationChanges({*change});
    return true;
}

void Edge::applyEvacuationChanges(const std::vector<EvacuationChange> &changes)
{
    if (!settings_.bounds_.evacuation_) {
        for (const EvacuationChange &change : changes) {
            eventLog().note("evacuation.ignored", "data_centre", change.dataCentre_, "revision",
                            change.revision_, "reason", "[bounds] evacuation is not set");
        }
        return;
    }
    enforceEvacuationChanges(changes);
}

void Edge::onEvacuationBoundReloaded(bool wasSet)
{
    const bool isSet = settings_.bounds_.evacuation_.has_value();
    if (isSet == wasSet)
        return;
    std::vector<EvacuationChange> changes;
    for (const auto &[dataCentre, evacuation] : evacuations_)
        changes.push_back({dataCentre, evacuation.revision_, isSet});
    enforceEvacuationChanges(changes);
}

void Edge::enforceEvacuationChanges(const std::vector<EvacuationChange> &changes)
{
    const Time now = bootNow();
    for (const EvacuationChange &change : changes) {
        if (!change.isBegun_) {
            onEvacuationEnded(change.dataCentre_, now);
            continue;
        }
        eventLog().note("evacuation.begun", "data_centre", change.dataCentre_, "revision",
                        change.revision_, "targets", countTargetsIn(change.dataCentre_),
                        "written_within_ms",
                        (now
                         - std::min(operatorFeed_->earliestChangeAt(),
                                    evacuations_.at(change.dataCentre_).learnedAt_))
                                .count()
                            / 1000);
    }
    updateEvacuatedTargets();
}

void Edge::updateEvacuatedTargets()
{
    const bool applies = settings_.bounds_.evacuation_.has_value();
    setGauge("eelgrasscove_evacuated_data_centres", "",
             applies ? static_cast<double>(evacuations_.size()) : 0);
    // All targets are marked before a request is placed anew, which happens during a withdrawal.
    std::vector<std::shared_ptr<EdgeTarget>> evacuated;
    for (const auto &[id, target] : targets_) {
        if (markIfEvacuated(target->state_))
            evacuated.push_back(target);
    }
    for (const auto &target : evacuated)
        withdrawEvacuated(*target);
}

bool Edge::markIfEvacuated(TargetState &state) const
{
    const bool wasEvacuated = state.isEvacuated_;
    state.isEvacuated_ = settings_.bounds_.evacuation_.has_value()
        && isEvacuated(evacuations_, state.listed_.dataCentre_);
    return state.isEvacuated_ && !wasEvacuated;
}

void Edge::updateIfEvacuated(EdgeTarget &target)
{
    if (markIfEvacuated(target.state_))
        withdrawEvacuated(target);
}

void Edge::withdrawEvacuated(EdgeTarget &target)
{
    const std::string &id = target.state_.listed_.id_;
    std::uint64_t moved = 0;
    for (const EdgeRequestPtr &request : requests_) {
        if (request->stage_ != RequestStage::Waiting || request->awaitedTarget_ != id)
            continue;
        request->awaitedTarget_.clear();
        moved += request->waitReason_ == PlacementKind::AwaitAdapter ? 1 : 0;
    }
    moved += target.pool_.withdrawUnsent(nameOf(targetExclusionNames, TargetExclusion::Evacuated));
    if (moved > 0)
        countMetric("eelgrasscove_sends_moved_by_evacuation_total", "", moved);
}

void Edge::onEvacuationEnded(const std::string &dataCentre, Time now)
{
    eventLog().note("evacuation.ended", "data_centre", dataCentre, "revision",
                    operatorFeed_->revision(), "targets", countTargetsIn(dataCentre),
                    "confirmed_ms_ago", (now - rulesConfirmedAt()).count() / 1000);
    markDataCentreCold(dataCentre, now);
}

std::size_t Edge::countTargetsIn(const std::string &dataCentre) const
{
    return static_cast<std::size_t>(
        std::count_if(targets_.begin(), targets_.end(), [&](const auto &each) {
            return each.second->state_.listed_.dataCentre_ == dataCentre;
        }));
}

void Edge::recordRuleFaults(const ServingRules &rules)
{
    if (rules.faultCount_ == 0)
        return;
    countMetric("eelgrasscove_rule_faults_total", "", rules.faultCount_);
    for (const std::string &fault : rules.faults_)
        eventLog().note("rules.fault", "version", rules.version_, "fault", fault);
}

void Edge::setHomes(PlacementQuery &query, const EdgeRequest &request) const
{
    const ServingAccount *account =
        request.account_.empty() ? nullptr : rules_->findAccountByKey(request.key_);
    query.homes_ = homesOf(request.route_, account);
    query.regions_ = &settings_.regions_;
}

} // namespace eelgrasscove
