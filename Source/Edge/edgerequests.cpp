#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/requestwire.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <charconv>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time past the deadline for which the entry waits before it responds in place of the target,
/// which was sent the same deadline and responds at about that time.
constexpr Duration responseSlack = 150ms;

/// Expected time to load an adapter on an engine that is loading no others. Every four loads ahead
/// of it add the same time again.
constexpr Duration adapterLoadTime = 300ms;

/// Expected time until a target that crashed or is avoided is available again. An engine that
/// starts also loads its model from disk first.
constexpr Duration targetRecoveryTime = 500ms;
constexpr Duration engineStartTime = 1500ms;

/// Fraction of its timeout that a request may be queued; the rest has to suffice for its execution.
constexpr double maxWaitFraction = 0.5;

/// A client abandons a stream if no event arrives for this time, four latency objectives or eight
/// pause objectives, whichever is longest, as the platform's protocol specifies.
constexpr Duration minClientStreamTimeout = 2s;
/// Expected time from the start of execution to the first event.
constexpr Duration expectedFirstEventTime = 250ms;
/// Time before the client's limit at which a stream without an event is given up if its target is
/// silent: two passes of checkRequests() and the way to the client.
constexpr Duration silentTargetMargin = 150ms;

/// Fraction of its remaining wait for which a request may be queued until a target's pause ends;
/// the rest is for the wait behind the first requests that the target gets after it.
constexpr double maxPauseWaitFraction = 2.0 / 3;

/// Minimum of the Retry-After header, and the fraction of random jitter added to it.
constexpr Duration minRetryAfter = 200ms;
constexpr double retryAfterJitter = 0.5;

/// An older version of an adapter may be used for this fraction of the operator's bound after the
/// next version may have been named.
constexpr double versionOverlapFraction = 0.7;

/// Time before the operator's bound by which a request on an older adapter version has to begin, or
/// its send ends: two passes of checkRequests(), a delay of the event loop and the way to the
/// target.
constexpr Duration versionBeginMargin = 400ms;

/// Weight of a timeout in the target's failure ratio: the same as that of an error.
constexpr double timeoutWeight = 1.0;

/// Maximum number of queued requests tried in one pass.
constexpr std::size_t maxTriedPerPass = 64;

/// Range of the priority header sent to targets.
constexpr int minPriority = 0;
constexpr int maxPriority = 9;

bool isSystemHeader(std::string_view name)
{
    return std::any_of(wire::systemHeaders.begin(), wire::systemHeaders.end(),
                       [&](std::string_view each) { return equalIgnoringCase(each, name); });
}

/// Whether the request's Connection header lists the given header as hop-by-hop.
bool isNamedByConnection(const HttpHead &head, std::string_view name)
{
    std::string_view list = head.header("Connection");
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view each = list.substr(0, comma);
        while (!each.empty() && each.front() == ' ')
            each.remove_prefix(1);
        while (!each.empty() && each.back() == ' ')
            each.remove_suffix(1);
        if (equalIgnoringCase(each, name))
            return true;
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return false;
}

} // namespace

/// Time after which the client of a stream leaves if it has received no event.
Duration clientStreamTimeout(const ServingRoute &route)
{
    return std::max({minClientStreamTimeout, route.objective_ * 4, route.pauseObjective_ * 8});
}

/// Maximum time for which a request may be queued.
Duration maxWaitFor(const EdgeRequest &request)
{
    const Duration allowed =
        std::min(request.clientDeadline_, request.routeDeadline_) - request.arrivedAt_;
    if (request.route_.kind_ != RequestKind::Stream)
        return std::chrono::duration_cast<Duration>(allowed * maxWaitFraction);
    return std::min(allowed * 3 / 4, clientStreamTimeout(request.route_) - expectedFirstEventTime);
}

/// Whether the client of a stream is about to leave without an event, and its target is silent.
/// After the client has left, a reset reaches a frozen target only when it resumes.
bool isStreamLost(const EdgeRequest &request, Time now)
{
    return request.route_.kind_ == RequestKind::Stream && request.stage_ == RequestStage::Sent
        && !request.firstEventForwarded_
        && now >= request.arrivedAt_ + clientStreamTimeout(request.route_) - silentTargetMargin
        && isSilent(request.target_->state_, now);
}

void Edge::onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest &&client)
{
    const Time now = bootNow();
    const auto request = std::make_shared<EdgeRequest>();
    request->session_ = session;
    request->head_ = std::move(client.head_);
    request->body_ = std::move(client.body_);
    request->id_ = request->head_.header(wire::requestIdHeader);
    request->arrivedAt_ = client.firstByteAt_;
    request->serviceDraw_ = std::uniform_real_distribution<double>(0, 1)(random_);
    request->holdDraw_ = std::uniform_real_distribution<double>(0, 1)(random_);
    session->attachment_ = request;
    session->lastRequestId_ = request->id_;
    requests_.insert(request);
    if (request->id_.empty()) {
        refuse(*request, 400, "request has no id header", {});
        return;
    }
    if (const std::optional<std::string> fault = wire::headFault(request->head_)) {
        refuse(*request, 400, *fault, {});
        return;
    }
    if (!acceptsRequests(now)) {
        refuseAndCloseConnection(*request, "entry stops");
        return;
    }
    if (!resolveRoute(*request))
        return;
    const std::optional<double> leftMillis = wire::decodeRemainingMillis(request->head_);
    const Duration left = leftMillis ? std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double, std::milli>(*leftMillis))
                                     : request->route_.timeout_;
    request->clientDeadline_ = request->arrivedAt_ + left;
    request->routeDeadline_ = request->arrivedAt_ + request->route_.timeout_;
    request->objectiveAt_ = request->arrivedAt_ + request->route_.objective_;
    request->waitUntil_ = request->arrivedAt_ + maxWaitFor(*request);
    if (now >= std::min(request->clientDeadline_, request->routeDeadline_)) {
        refuse(*request, 503, "deadline passed on arrival", minRetryAfter);
        return;
    }
    request->suspects_.request_ =
        requestHash(request->head_.target_, request->key_, request->body_);
    // Only engines read the parts of a prompt.
    if (!request->model_.empty())
        request->suspects_.parts_ =
            sharedPartHashes(request->head_.header(wire::promptPartsHeader));
    if (refuseIfHeld(*request, now))
        return;
    if (!checkAllowance(*request, now))
        return;
    countRequest(retryBudget_, request->service_, now);
    if (!request->model_.empty()) {
        if (const auto tokens = wire::decodeTokens(request->head_))
            request->promptTokens_ = tokens->prompt_;
        recordPrompt(serviceModelOf(request->service_), request->promptTokens_);
    }
    if (!request->adapter_.empty())
        recordAdapterRequest(demand_, nameHash(request->adapter_), now);
    placeNewRequest(request, now);
}

bool Edge::resolveRoute(EdgeRequest &request)
{
    if (!rules_) {
        refuseAndCloseConnection(request, "no rules received yet");
        return false;
    }
    const ServingRoute *route =
        rules_->findRoute(request.head_.header("Host"), request.head_.target_);
    if (route == nullptr) {
        refuse(request, areRulesFresh(bootNow()) ? 404 : 503, "no route for host and path",
               minRetryAfter);
        return false;
    }
    request.rulesVersion_ = rules_->rules().version_;
    request.route_ = *route;
    request.service_ = selectService(*route, request.serviceDraw_);
    request.priority_ = route->priority_;
    request.model_.clear();
    request.adapter_.clear();
    const std::string model(request.head_.header(wire::modelHeader));
    const ServedService *service = rules_->findService(request.service_);
    if (service != nullptr && service->engine_ && !model.empty()) {
        const std::size_t slash = model.find('/');
        request.model_ = model.substr(0, slash);
        if (slash != std::string::npos)
            request.adapter_ = model;
    }
    return checkKey(request, bootNow());
}

bool Edge::checkKey(EdgeRequest &request, Time now)
{
    if (refuseIfRulesAreOld(request, now))
        return false;
    const std::string_view key = wire::decodeKey(request.head_);
    request.keyVerdict_ = judgeKey(*rules_, request.route_, key);
    if (request.keyVerdict_ == KeyVerdict::OpenRoute
        || request.keyVerdict_ == KeyVerdict::NotNeeded)
        return true;
    if (request.keyVerdict_ != KeyVerdict::Known) {
        refuse(request, 401, "unknown API key", {});
        return false;
    }
    request.key_ = key;
    const ServingAccount *account = rules_->findAccountByKey(request.key_);
    request.account_ = account->name_;
    if (account->priority_)
        request.priority_ = *account->priority_;
    return true;
}

bool Edge::checkAllowance(EdgeRequest &request, Time now)
{
    if (request.account_.empty())
        return true;
    const ServingAccount *account = rules_->findAccountByKey(request.key_);
    const std::optional<wire::TokenCounts> tokens = wire::decodeTokens(request.head_);
    request.tokens_ = tokens ? tokens->prompt_ + tokens->maxOutput_ : account->plainTokens_;
    if (!peerFeed_->confirmedAt()) {
        refuseAndCloseConnection(request, "list of entries not received yet");
        return false;
    }
    if (!canAdmit(allowance_, *account, request.tokens_, now)) {
        eventLog().note("allowance.used", "id", request.id_, "account", account->name_, "tokens",
                        request.tokens_, "level", allowance_.buckets_[account->name_].level_,
                        "per_second", account->tokensPerSecond_, "burst", account->burstTokens_,
                        "rules", request.rulesVersion_);
        refuse(request, 429, "token allowance of the account exhausted",
               minRetryAfter + timeUntilAvailable(allowance_, *account, request.tokens_));
        return false;
    }
    deductTokens(allowance_, request.account_, request.tokens_);
    request.tokensCharged_ = true;
    return true;
}

PlacementQuery Edge::makePlaceQuery(const EdgeRequest &request, Time now) const
{
    PlacementQuery query;
    query.dataCentre_ = settings_.dataCentre_;
    setHomes(query, request);
    query.model_ = request.model_;
    query.adapter_ = request.adapter_;
    query.tried_ = request.triedTargets_;
    query.entries_ = peers_.size() + 1;
    if (!request.adapter_.empty())
        query.requestsPerSecond_ = requestRateOf(demand_, nameHash(request.adapter_), now);
    const auto versions = adapterVersions_.find(request.adapter_);
    if (versions != adapterVersions_.end()) {
        query.newestVersion_ = versions->second.newest_;
        query.minVersion_ = minUsableVersion(versions->second, versionOverlap(), now);
        query.versions_ = &versions->second;
        query.versionBound_ = versionBeginBound();
    }
    if (!request.model_.empty()) {
        query.promptTokens_ = request.promptTokens_;
        query.objective_ = request.route_.objective_;
        query.pauseObjective_ = request.route_.pauseObjective_;
        query.objectiveLeft_ = request.objectiveAt_ - now;
        const auto model = serviceModels_.find(request.service_);
        query.serviceModel_ = model == serviceModels_.end() ? nullptr : &model->second;
    }
    return query;
}

std::uint64_t Edge::newestVersionOf(const std::string &adapter) const
{
    const auto versions = adapterVersions_.find(adapter);
    return versions == adapterVersions_.end() ? 0 : versions->second.newest_;
}

Duration Edge::versionOverlap() const
{
    return std::chrono::duration_cast<Duration>(settings_.bounds_.version_
                                                * versionOverlapFraction);
}

Duration Edge::versionBeginBound() const
{
    return settings_.bounds_.version_ - versionBeginMargin;
}

EngineModel &Edge::serviceModelOf(const std::string &service)
{
    return serviceModels_[service];
}

std::vector<TargetState *> Edge::targetStates(const std::string &service)
{
    std::vector<TargetState *> states;
    const auto targets = targetsOfService_.find(service);
    if (targets == targetsOfService_.end())
        return states;
    for (const auto &target : targets->second)
        states.push_back(&target->state_);
    return states;
}

std::shared_ptr<EdgeTarget> Edge::findTarget(const TargetState *state)
{
    const auto found = targets_.find(state->listed_.id_);
    return found == targets_.end() ? nullptr : found->second;
}

void Edge::placeRequest(const EdgeRequestPtr &request)
{
    const auto session = request->session_.lock();
    if (!session || request->stage_ == RequestStage::Ended)
        return;
    const Time now = bootNow();
    // The rules may have changed or the key may have been withdrawn while the request was queued.
    const bool rulesChanged = request->rulesVersion_ != rules_->rules().version_;
    if (rulesChanged) {
        // The new rules may select another service, but the request is queued under the previous
        // one.
        removeFromQueue(*request);
    }
    if (rulesChanged ? !resolveRoute(*request) : !checkKey(*request, now))
        return;
    if (refuseIfHeld(*request, now))
        return;
    countMetric("eelgrasscove_placements_total");
    const std::vector<TargetState *> targets = targetStatesFor(*request);
    if (request->streamVersion_ != 0 && targets.empty()) {
        refuse(*request, 503, "no target has the software version that began the stream", {});
        return;
    }
    Placement placement = choosePlacement(targets, makePlaceQuery(*request, now), now);
    holdForUrgent(*request, placement, now);
    if (placement.replicaTarget_ != nullptr) {
        if (const auto replicaTarget = findTarget(placement.replicaTarget_)) {
            replicaTarget->replicaLoadRequests_[request->adapter_] = now + 500ms;
            requestLoad(*replicaTarget, request->adapter_, now);
        }
    }
    if (placement.kind_ == PlacementKind::Send) {
        sendToTarget(request, findTarget(placement.target_), placement.firstEvent_);
        return;
    }
    if (placement.kind_ == PlacementKind::None) {
        refuse(*request, 503,
               request->triedTargets_.empty() ? "no target can serve the request"
                                              : "no untried target left",
               minRetryAfter);
        return;
    }
    // Targets that were already tried may be tried again once they have recovered.
    if (placement.kind_ == PlacementKind::AwaitTarget
        || placement.kind_ == PlacementKind::AwaitPauseEnd)
        request->triedTargets_.clear();
    enqueueOrRefuse(request, placement);
}

void Edge::enqueueOrRefuse(const EdgeRequestPtr &request, const Placement &placement)
{
    const Time now = bootNow();
    std::list<EdgeRequestPtr> &queue = waitingRequests_[request->service_];
    const bool isNewInQueue = std::find(queue.begin(), queue.end(), request) == queue.end();
    Duration wait{};
    if (placement.kind_ == PlacementKind::AwaitAdapter) {
        wait = adapterLoadTime * (1 + placement.target_->pendingLoads_ / adapterLoadsAtOnce);
        if (const auto target = findTarget(placement.target_)) {
            request->awaitedTarget_ = placement.target_->listed_.id_;
            requestLoad(*target, request->adapter_, now);
        }
    } else if (placement.kind_ == PlacementKind::AwaitTarget) {
        wait = request->model_.empty() ? targetRecoveryTime : engineStartTime;
    } else if (placement.kind_ == PlacementKind::AwaitPauseEnd) {
        wait = placement.pauseLeft_;
        if (wait > (request->waitUntil_ - now) * maxPauseWaitFraction) {
            refuse(*request, 503, "every target pauses or leaves", wait);
            return;
        }
    } else if (placement.kind_ == PlacementKind::AwaitQuota) {
        wait = expectedQuotaWait(*request, isNewInQueue, placement.pauseLeft_, now);
    } else if (isNewInQueue && placement.kind_ == PlacementKind::AwaitRoom) {
        wait = expectedRoomWait(*request, now);
    }
    if (placement.kind_ == PlacementKind::AwaitRoom && request->waitReason_ != placement.kind_)
        request->awaitsRoomSince_ = now;
    request->waitReason_ = placement.kind_;
    if (!isNewInQueue)
        return;
    if (now + wait > request->waitUntil_) {
        if (placement.kind_ == PlacementKind::AwaitRoom) {
            refuseForRoom(*request, nameOf(placementKindNames, placement.kind_), now);
            return;
        }
        refuse(*request, 503, nameOf(placementKindNames, placement.kind_), wait);
        return;
    }
    queue.push_back(request);
    eventLog().note("request.waits", "id", request->id_, "for", waitName(*request), "target",
                    placement.target_ != nullptr ? placement.target_->listed_.id_ : "", "adapter",
                    request->adapter_, "ahead", queue.size() - 1, "expected_ms",
                    wait.count() / 1000);
}

void Edge::removeFromQueue(const EdgeRequest &request)
{
    const auto queue = waitingRequests_.find(request.service_);
    if (queue != waitingRequests_.end())
        queue->second.remove_if([&](const auto &other) { return other.get() == &request; });
}

void Edge::sendToTarget(const EdgeRequestPtr &request, const std::shared_ptr<EdgeTarget> &target,
                        Duration predictedFirstEvent)
{
    // The request may have been read together with the client's close, or have waited meanwhile.
    const auto session = request->session_.lock();
    if (!session || session->endIfClientLeft())
        return;
    const Time now = bootNow();
    if (!sendsRequests(now)) {
        refuse(*request, request->runs_ > 0 ? 502 : 503, "entry stops", {});
        return;
    }
    if (request->sends_ > 0 && !tryAcquireRetry(retryBudget_, request->service_, now)) {
        refuse(*request, request->runs_ > 0 ? 502 : 503, "retry budget of the service exhausted",
               minRetryAfter);
        return;
    }
    if (!request->isTrial_ && !request->isKnownSound_
        && judgeRequest(crashSuspects_, request->suspects_, now) == CrashVerdict::Trial) {
        request->isTrial_ = true;
        recordTrial(crashSuspects_, request->suspects_, trialJitter(), now);
        eventLog().note("suspect.tried", "id", request->id_, "target", target->state_.listed_.id_);
        // The peers have to know of the trial before they make one of their own.
        sendEntryStates(now);
    }
    removeFromQueue(*request);
    request->waitReason_ = PlacementKind::None;
    recordAccountUse(accountUses_, request->service_, request->priority_, request->account_,
                     request->tokens_, now);
    TargetState &state = target->state_;
    request->sentVersion_ = softwareVersionOf(state);
    request->target_ = target;
    request->stage_ = RequestStage::Sent;
    request->sentAt_ = now;
    request->triedTargets_.insert(state.listed_.id_);
    request->responseHeadReceived_ = false;
    request->responseBody_.clear();
    ++request->sends_;
    // Without an agent, the target's silence is measured from its first outstanding request.
    if (state.outstanding_ == 0 && !state.hasAgentReport_)
        state.lastContactAt_ = now;
    ++state.outstanding_;
    state.lastSentAt_ = now;
    recordSend(state.notice_, now);
    recordColdSendTo(state, now);
    if (!request->model_.empty())
        addToBacklog(*request, predictedFirstEvent, now);
    if (!request->adapter_.empty()) {
        const NameHash adapter = nameHash(request->adapter_);
        target->usedAdapters_.insert(adapter);
        ++target->runningAdapters_[adapter];
        const auto resident = state.adapters_.find(adapter);
        request->adapterVersion_ = resident == state.adapters_.end() ? 0 : resident->second;
        if (request->adapterVersion_ < newestVersionOf(request->adapter_))
            countMetric("eelgrasscove_sends_on_older_version_total");
    }
    countMetric("eelgrasscove_sends_total");
    request->connection_ = target->pool_.send(
        formatRequest(*request, state, now), request->id_,
        {[this, instance = instanceOf(state), now](const HttpHead &head) {
             applyResponseNotice(instance, now, head);
         },
         [this, request](HttpHead &&head) { onResponseHead(request, std::move(head)); },
         [this, request](std::string_view bytes) { onResponseBody(request, bytes); },
         [this, request](ExchangeEnd end, std::string_view reason) {
             onExchangeEnd(request, end, reason);
         }});
}

std::string Edge::formatRequest(const EdgeRequest &request, const TargetState &target,
                                Time now) const
{
    const Time deadline = std::min(request.clientDeadline_, request.routeDeadline_);
    const auto left = std::max<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count(), 1);
    std::string text = request.head_.method_ + " " + request.head_.target_ + " HTTP/1.1\r\n";
    bool idWritten = false;
    for (const HttpHeader &header : request.head_.headers_) {
        const bool isSystemPrefixed = header.name_.size() > wire::headerPrefix.size()
            && equalIgnoringCase(header.name_.substr(0, wire::headerPrefix.size()),
                                 wire::headerPrefix);
        const bool isOldEventId =
            !request.lastEventId_.empty() && equalIgnoringCase(header.name_, wire::lastEventHeader);
        if (isConnectionHeader(header.name_) || isSystemHeader(header.name_) || isOldEventId
            || equalIgnoringCase(header.name_, "Expect")
            || (!isSystemPrefixed && isNamedByConnection(request.head_, header.name_)))
            continue;
        if (equalIgnoringCase(header.name_, wire::requestIdHeader)) {
            if (idWritten)
                continue;
            idWritten = true;
        }
        appendHeader(text, header.name_, header.value_);
    }
    appendHeader(text, wire::remainingTimeHeader, std::to_string(left));
    if (!request.lastEventId_.empty())
        appendHeader(text, wire::lastEventHeader, request.lastEventId_);
    appendHeader(text, wire::expectTargetHeader, target.listed_.id_);
    if (!request.account_.empty())
        appendHeader(text, wire::accountHeader, request.account_);
    if (!request.model_.empty()) {
        appendHeader(text, wire::priorityHeader,
                     std::to_string(std::clamp(request.priority_, minPriority, maxPriority)));
    }
    const auto residentVersion = target.adapters_.find(nameHash(request.adapter_));
    if (!request.adapter_.empty() && residentVersion != target.adapters_.end()
        && adapterVersions_.contains(request.adapter_)) {
        // The target rejects the request if the adapter was replaced since its state was received,
        // or by a delayed load order.
        appendHeader(text, wire::expectVersionHeader, std::to_string(residentVersion->second));
    }
    if (!request.body_.empty() || request.head_.method_ != "GET")
        appendHeader(text, "Content-Length", std::to_string(request.body_.size()));
    text += "\r\n";
    text += request.body_;
    return text;
}

void Edge::placeWaitingRequests(const std::string &service, std::size_t maxRequests)
{
    if (isPlacing_)
        return;
    isPlacing_ = true;
    std::vector<EdgeRequestPtr> next = sortedWaitingRequests(service, bootNow());
    next.resize(std::min(next.size(), maxRequests));
    for (const EdgeRequestPtr &request : next) {
        if (request->stage_ == RequestStage::Waiting)
            placeRequest(request);
    }
    isPlacing_ = false;
}

void Edge::placeWaitingRequestsAt(const std::string &service,
                                  const std::vector<std::shared_ptr<EdgeTarget>> &targets,
                                  std::size_t maxRequests)
{
    if (isPlacing_)
        return;
    isPlacing_ = true;
    std::size_t tried = 0;
    for (const EdgeRequestPtr &request : sortedWaitingRequests(service, bootNow())) {
        const NameHash adapter = nameHash(request->adapter_);
        const bool fits = request->adapter_.empty()
            || std::any_of(targets.begin(), targets.end(), [adapter](const auto &target) {
                              return target->state_.adapters_.contains(adapter);
                          });
        if (!fits || request->stage_ != RequestStage::Waiting)
            continue;
        placeRequest(request);
        if (++tried == maxRequests)
            break;
    }
    isPlacing_ = false;
}

void Edge::addToBacklog(EdgeRequest &request, Duration predictedFirstEvent, Time now)
{
    PromptBacklog &backlog = request.target_->state_.promptBacklog_;
    request.tokensAhead_ = request.promptTokens_
        + unreadTokens(backlog, serviceModelOf(request.service_).meanPromptTokens_, now);
    request.predictedFirstEvent_ = predictedFirstEvent;
    request.isInBacklog_ = true;
    ++backlog.ownRequests_;
    backlog.ownTokens_ += request.promptTokens_;
    if (predictedFirstEvent > Duration::zero())
        observeDuration("eelgrasscove_first_event_predicted_seconds", "", predictedFirstEvent);
}

void Edge::removeFromBacklog(EdgeRequest &request)
{
    if (!request.isInBacklog_)
        return;
    request.isInBacklog_ = false;
    PromptBacklog &backlog = request.target_->state_.promptBacklog_;
    --backlog.ownRequests_;
    backlog.ownTokens_ -= request.promptTokens_;
    if (backlog.ownRequests_ == 0)
        backlog.ownTokens_ = 0;
}

bool Edge::isOutdated(const EdgeRequest &request, Time now) const
{
    if (request.adapter_.empty())
        return false;
    const auto versions = adapterVersions_.find(request.adapter_);
    return versions != adapterVersions_.end()
        && now >= beginDeadline(versions->second, request.adapterVersion_, versionBeginBound());
}

void Edge::withdrawOutdated(const EdgeRequestPtr &request, Time now)
{
    countMetric("eelgrasscove_sends_outdated_total");
    eventLog().note("send.outdated", "id", request->id_, "target",
                    request->target_->state_.listed_.id_, "adapter", request->adapter_, "version",
                    request->adapterVersion_, "newest_version", newestVersionOf(request->adapter_),
                    "sent_ms_ago", (now - request->sentAt_).count() / 1000);
    // The target may just have begun, so the request counts as run.
    ++request->runs_;
    request->isTrial_ = false;
    onRequestFailed(request, 502, "not begun before the bound of its adapter version");
}

void Edge::checkRequests(Time now)
{
    updateScarcity(now);
    for (const auto &[service, queue] : waitingRequests_) {
        if (queue.empty())
            continue;
        placeWaitingRequests(service, maxTriedPerPass);
        refuseUnservable(service, now);
    }
    const auto requests = requests_;
    for (const EdgeRequestPtr &request : requests) {
        const Time deadline = std::min(request->clientDeadline_, request->routeDeadline_);
        if (request->originLookup_) {
            checkOriginLookup(request, now);
        } else if (request->stage_ == RequestStage::Waiting) {
            if (now > request->waitUntil_)
                refuse(*request, request->runs_ > 0 ? 504 : 503,
                       "maximum wait in the queue exceeded",
                       predictedWait(request->service_, request->priority_, now));
        } else if (request->stage_ == RequestStage::Sent && isOutdated(*request, now)) {
            withdrawOutdated(request, now);
        } else if (isStreamLost(*request, now)) {
            recordOutcome(request->target_->state_, timeoutWeight);
            refuse(*request, 504, "target silent until the client's time limit", {});
        } else if (now > deadline + responseSlack) {
            const auto session = request->session_.lock();
            const bool streaming = request->stage_ == RequestStage::Streaming;
            if (!streaming)
                recordOutcome(request->target_->state_, timeoutWeight);
            if (streaming && session) {
                endRequest(*request, 0, "deadline exceeded during the stream");
                session->abort();
            } else {
                refuse(*request, 504, "timeout", {});
            }
        }
    }
    judgeBrokenConnections(now);
}

void Edge::refuseAndCloseConnection(EdgeRequest &request, std::string_view reason)
{
    // On a kept-alive connection the client's next request would reach this entry again.
    if (const auto session = request.session_.lock())
        session->closeAfterResponse();
    refuse(request, 503, reason, minRetryAfter);
}

void Edge::refuse(EdgeRequest &request, unsigned status, std::string_view reason,
                  Duration retryAfter)
{
    const auto session = request.session_.lock();
    // These statuses guarantee to the client that the request was not executed.
    if ((status == 503 || status == 429) && request.runs_ > 0)
        status = 502;
    const bool notRun = status == 503 || status == 429;
    if (notRun && request.tokensCharged_) {
        returnTokens(allowance_, request.account_, request.tokens_);
        request.tokensCharged_ = false;
    }
    endRequest(request, request.firstEventForwarded_ ? 0 : status, reason);
    if (!session)
        return;
    if (request.firstEventForwarded_) {
        // The response has begun, so it can only be marked as incomplete by a connection reset.
        session->abort();
        return;
    }
    std::string headers;
    if (!request.id_.empty())
        appendHeader(headers, wire::requestIdHeader, request.id_);
    if (notRun) {
        // Jitter prevents clients that were refused together from retrying together.
        const double jitter =
            std::uniform_real_distribution<double>(1, 1 + retryAfterJitter)(random_);
        const double seconds =
            jitter * std::chrono::duration<double>(std::max(retryAfter, minRetryAfter)).count();
        appendHeader(headers, wire::retryAfterHeader, fmt::format("{:.3f}", seconds));
    }
    // What is wrong with a request is said to its client.
    const bool isExplained = status == 400;
    if (isExplained)
        appendHeader(headers, "Content-Type", "text/plain");
    session->sendResponse(status, headers, isExplained ? fmt::format("{}\n", reason) : "");
}

void Edge::endRequest(EdgeRequest &request, unsigned status, std::string_view outcome)
{
    const EdgeRequestPtr self = request.shared_from_this();
    if (requests_.erase(self) == 0)
        return;
    const Time now = bootNow();
    detachFromTarget(request);
    removeFromQueue(request);
    request.stage_ = RequestStage::Ended;
    const Duration total = now - request.arrivedAt_;
    const std::string_view target =
        request.target_ ? std::string_view(request.target_->state_.listed_.id_) : "";
    const Duration first =
        request.firstEventForwarded_ ? request.firstEventAt_ - request.arrivedAt_ : total;
    eventLog().note(
        "request.ended", "id", request.id_, "route", request.route_.name_, "account",
        request.account_, "key_check", nameOf(keyVerdictNames, request.keyVerdict_), "adapter",
        request.adapter_, "adapter_version", request.adapterVersion_, "newest_version",
        newestVersionOf(request.adapter_), "status", status, "outcome", outcome, "target", target,
        "sends", request.sends_, "runs", request.runs_, "first_ms", first.count() / 1000,
        "pause_ms", request.longestPause_.count() / 1000, "total_ms", total.count() / 1000, "held",
        request.wasHeldForUrgent_, "stream_version", request.streamVersion_, "prompt_tokens",
        request.promptTokens_, "tokens_ahead", request.tokensAhead_, "predicted_ms",
        request.predictedFirstEvent_.count() / 1000, "rules", request.rulesVersion_, "rules_age_ms",
        (now - rulesConfirmedAt()).count() / 1000);
    countMetric("eelgrasscove_requests_total", fmt::format("status=\"{}\"", status));
    countMetric("eelgrasscove_requests_by_key_check_total",
                fmt::format("result=\"{}\"", nameOf(keyVerdictNames, request.keyVerdict_)));
    observeDuration("eelgrasscove_request_seconds", "", total);
    if (request.firstEventForwarded_)
        observeDuration("eelgrasscove_first_event_seconds", "", first);
}

} // namespace eelgrasscove
