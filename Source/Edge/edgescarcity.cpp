#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Window over which completed requests are counted to predict waiting times.
constexpr Duration completionWindow = 2s;

/// Value of the metric of the threshold while a service has none.
constexpr int noThreshold = -1;

std::string serviceLabel(const std::string &service)
{
    return metricLabel("service", service);
}

} // namespace

WaitingRequest waitingRequestOf(const EdgeRequest &request)
{
    return {request.priority_, request.objectiveAt_, request.waitUntil_};
}

std::string_view waitName(const EdgeRequest &request)
{
    return request.isHeldForUrgent_ ? "more_urgent"
                                    : nameOf(placementKindNames, request.waitReason_);
}

std::map<int, std::set<std::string>>
Edge::accountsAboveShares(const std::string &service, const std::vector<EdgeRequestPtr> &waiting,
                          Time now)
{
    std::map<int, std::map<std::string, double>> weights;
    for (const EdgeRequestPtr &request : waiting) {
        const auto [weight, isNew] = weights[request->priority_].try_emplace(request->account_, 0);
        const ServingAccount *account =
            isNew && rules_ ? rules_->findAccountByKey(request->key_) : nullptr;
        if (account != nullptr)
            weight->second = account->tokensPerSecond_;
    }
    std::map<int, std::set<std::string>> above;
    for (const auto &[priority, accounts] : weights) {
        // The order among the requests of one account does not depend on its share.
        if (accounts.size() > 1)
            above[priority] = accountsAboveShare(accountUses_, service, priority, accounts, now);
    }
    return above;
}

std::vector<EdgeRequestPtr> Edge::sortedWaitingRequests(const std::string &service, Time now)
{
    const auto queue = waitingRequests_.find(service);
    if (queue == waitingRequests_.end())
        return {};
    std::vector<EdgeRequestPtr> inOrder(queue->second.begin(), queue->second.end());
    const std::map<int, std::set<std::string>> above = accountsAboveShares(service, inOrder, now);
    const auto waitingOf = [&](const EdgeRequest &request) {
        WaitingRequest waiting = waitingRequestOf(request);
        const auto accounts = above.find(request.priority_);
        waiting.isAboveShare_ =
            accounts != above.end() && accounts->second.contains(request.account_);
        return waiting;
    };
    std::stable_sort(inOrder.begin(), inOrder.end(), [&](const auto &left, const auto &right) {
        return isOrderedBefore(waitingOf(*left), waitingOf(*right), now);
    });
    // Only the first ones are tried, so held requests would keep others from being tried.
    std::stable_partition(inOrder.begin(), inOrder.end(),
                          [](const auto &request) { return !request->isHeldForUrgent_; });
    return inOrder;
}

WindowSum &Edge::completionsOf(const std::string &service)
{
    return completions_.try_emplace(service, WindowSum(completionWindow)).first->second;
}

double Edge::completionsPerSecond(const std::string &service, Time now)
{
    return completionsOf(service).sum(now)
        / std::chrono::duration<double>(completionWindow).count();
}

double Edge::completionsPerSecondOfAll(const std::string &service, Time now)
{
    double ownRunning = 0;
    double allRunning = 0;
    for (const TargetState *target : targetStates(service)) {
        ownRunning += target->outstanding_;
        allRunning += estimatedLoad(*target, peers_.size() + 1, now);
    }
    return completionsOfAll(completionsPerSecond(service, now), ownRunning, allRunning);
}

Duration Edge::expectedRoomWait(const EdgeRequest &request, Time now)
{
    // A request that is only held is not refused for its wait.
    if (request.isHeldForUrgent_)
        return Duration::zero();
    const WaitingRequest own = waitingRequestOf(request);
    const std::list<EdgeRequestPtr> &queue = waitingRequests_[request.service_];
    const auto ahead = std::count_if(queue.begin(), queue.end(), [&](const auto &other) {
        return other->waitReason_ == PlacementKind::AwaitRoom && !other->isHeldForUrgent_
            && isOrderedBefore(waitingRequestOf(*other), own, now);
    });
    return expectedWait(static_cast<std::size_t>(ahead),
                        completionsPerSecond(request.service_, now));
}

Duration Edge::predictedWait(const std::string &service, int priority, Time now)
{
    return expectedWait(waitingAtAll(scarcity_, nameHash(service), priority, now).waiting_,
                        completionsPerSecondOfAll(service, now));
}

void Edge::refuseForRoom(EdgeRequest &request, std::string_view reason, Time now)
{
    const NameHash service = nameHash(request.service_);
    const Duration wait = std::max(expectedRoomWait(request, now),
                                   predictedWait(request.service_, request.priority_, now));
    eventLog().note("room.refused", "id", request.id_, "service", request.service_, "priority",
                    request.priority_, "waited_ms", (now - request.arrivedAt_).count() / 1000,
                    "wait_left_ms", (request.waitUntil_ - now).count() / 1000, "own_expected_ms",
                    expectedRoomWait(request, now).count() / 1000, "all_expected_ms",
                    wait.count() / 1000, "waiting_all",
                    waitingAtAll(scarcity_, service, request.priority_, now).waiting_, "per_second",
                    completionsPerSecond(request.service_, now), "per_second_all",
                    completionsPerSecondOfAll(request.service_, now), "threshold",
                    thresholdOf(scarcity_, service).value_or(noThreshold));
    refuse(request, 503, reason, wait);
}

void Edge::refuseUnservable(const std::string &service, Time now)
{
    std::vector<EdgeRequestPtr> waiting;
    std::vector<WaitingRequest> inOrder;
    for (const EdgeRequestPtr &request : sortedWaitingRequests(service, now)) {
        if (request->waitReason_ != PlacementKind::AwaitRoom || request->runs_ > 0
            || request->isHeldForUrgent_)
            continue;
        waiting.push_back(request);
        inOrder.push_back(waitingRequestOf(*request));
    }
    const std::vector<bool> isUnservable =
        findUnservable(inOrder, completionsPerSecond(service, now), now);
    for (std::size_t at = 0; at < waiting.size(); ++at) {
        if (isUnservable[at] && waiting[at]->stage_ == RequestStage::Waiting)
            refuseForRoom(*waiting[at], "no target will have room before the maximum wait", now);
    }
}

void Edge::holdForUrgent(EdgeRequest &request, Placement &placement, Time now)
{
    request.isHeldForUrgent_ = false;
    const NameHash service = nameHash(request.service_);
    // A request that has been sent before is late already.
    if (placement.kind_ != PlacementKind::Send || request.sends_ > 0
        || request.priority_ <= thresholdOf(scarcity_, service).value_or(request.priority_))
        return;
    const TargetState &target = *placement.target_;
    HoldCandidate candidate;
    candidate.service_ = service;
    candidate.priority_ = request.priority_;
    candidate.freeFraction_ =
        1 - estimatedLoad(target, peers_.size() + 1, now) / target.listed_.slots_;
    candidate.completionsPerSecond_ = completionsPerSecondOfAll(request.service_, now);
    candidate.draw_ = request.holdDraw_;
    candidate.arrivedAt_ = request.arrivedAt_;
    candidate.waitUntil_ = request.waitUntil_;
    request.isHeldForUrgent_ = isHeldForUrgent(scarcity_, candidate, now);
    if (!request.isHeldForUrgent_)
        return;
    placement.kind_ = PlacementKind::AwaitRoom;
    if (!std::exchange(request.wasHeldForUrgent_, true))
        countMetric("eelgrasscove_held_for_urgent_total");
}

void Edge::updateScarcity(Time now)
{
    std::map<std::pair<std::string, int>, WaitingRow> rows;
    for (const auto &[service, queue] : waitingRequests_) {
        for (const EdgeRequestPtr &request : queue) {
            if (request->waitReason_ != PlacementKind::AwaitRoom)
                continue;
            const auto [row, isNew] =
                rows.try_emplace({service, request->priority_},
                                 makeWaitingRow(nameHash(service), request->priority_));
            addWaiting(row->second, now - request->awaitsRoomSince_, scarcity_.settings_);
        }
    }
    scarcity_.ownRows_.clear();
    for (const auto &[key, row] : rows)
        scarcity_.ownRows_.push_back(row);
    logThresholds(updateThresholds(scarcity_, now));
    recordWaitingMetrics(rows);
}

void Edge::logThresholds(const std::vector<NameHash> &changed) const
{
    for (const NameHash hash : changed) {
        for (const auto &[service, targets] : targetsOfService_) {
            if (nameHash(service) != hash)
                continue;
            const std::optional<int> threshold = thresholdOf(scarcity_, hash);
            const int priority = threshold.value_or(noThreshold);
            eventLog().note("scarcity.threshold", "service", service, "priority", priority,
                            "lacking", threshold ? scarcity_.thresholds_.at(hash).lacking_ : 0);
            setGauge("eelgrasscove_scarcity_threshold", serviceLabel(service), priority);
        }
    }
}

void Edge::recordWaitingMetrics(const std::map<std::pair<std::string, int>, WaitingRow> &rows)
{
    const auto record = [](const std::pair<std::string, int> &key, double waiting) {
        setGauge("eelgrasscove_waiting_requests",
                 fmt::format("{},priority=\"{}\"", serviceLabel(key.first), key.second), waiting);
    };
    for (const auto &key : waitingInMetrics_) {
        if (!rows.contains(key))
            record(key, 0);
    }
    waitingInMetrics_.clear();
    for (const auto &[key, row] : rows) {
        record(key, row.waiting_);
        waitingInMetrics_.insert(key);
    }
}

} // namespace eelgrasscove
