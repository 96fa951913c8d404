#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Peer/datagrammetrics.h"
#include "Peer/dissemination.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Minimum interval between load requests for the same adapter on a target. The agent responds to
/// each with its new state at once.
constexpr Duration minLoadRequestInterval = 100ms;

/// Maximum interval between messages to an agent, which removes an entry that is silent for longer.
constexpr Duration maxMessageInterval = 1s;

/// A peer is chosen as a relay if a message of it has been received within this time, five
/// intervals of the messages.
constexpr Duration relayContactTimeout = 1s;

/// Maximum number of queued requests tried after reports of new resident adapters.
constexpr std::size_t maxTriedPerReports = 64;

/// Maximum number of load requests in a message, so that it fits into one datagram on any link.
constexpr std::size_t maxLoadRequestsPerMessage = 64;

} // namespace

std::vector<PeerEcho> Edge::echoesFor(NameHash dataCentre, Time now) const
{
    std::vector<PeerEcho> echoes;
    for (const auto &[vm, contact] : peerContacts_) {
        if (contact.dataCentre_ == dataCentre)
            echoes.push_back(
                {nameHash(vm), contact.timestampMicros_, (now - contact.receivedAt_).count()});
    }
    return echoes;
}

void Edge::onDatagram(std::string_view bytes, const Endpoint &from)
{
    std::optional<PeerMessage> message = decodePeerMessage(bytes);
    if (!message) {
        eventLog().note("datagram.ignored", "from", from.text(), "bytes", bytes.size());
        return;
    }
    const DatagramRoute route = routeOf(bytes).value_or(DatagramRoute::Direct);
    if (route == DatagramRoute::ToRelay)
        relay(bytes);
    if (auto *engine = std::get_if<EngineStateMessage>(&*message))
        applyEngineState(std::move(*engine), from, route);
    else if (auto *entry = std::get_if<EntryState>(&*message))
        applyEntryState(std::move(*entry));
    else if (const auto *origin = std::get_if<StreamOriginResponse>(&*message))
        applyOriginResponse(*origin, from);
}

void Edge::relay(std::string_view bytes)
{
    std::string copy(bytes);
    setRoute(copy, DatagramRoute::Relayed);
    std::uint64_t recipients = 0;
    for (const auto &[vm, peer] : peers_) {
        const auto contact = peerContacts_.find(vm);
        if (contact == peerContacts_.end() || contact->second.dataCentre_ != dataCentre_)
            continue;
        peersSocket_.send(copy, peer.endpoint_);
        ++recipients;
    }
    countDatagrams("relayed", true, recipients, copy.size());
}

std::shared_ptr<EdgeTarget> Edge::findReported(const EngineStateMessage &report,
                                               const Endpoint &from, DatagramRoute route)
{
    std::shared_ptr<EdgeTarget> target;
    for (const auto &[id, each] : targets_) {
        const TargetState &state = each->state_;
        const bool isNamed = nameHash(id) == report.target_;
        const bool isSender = state.endpoint_.host_ == from.host_;
        const bool isReported =
            route == DatagramRoute::Direct ? isSender && (report.target_ == 0 || isNamed) : isNamed;
        if (isReported && !state.isReplaced_)
            target = each;
    }
    return target;
}

void Edge::applyEngineState(EngineStateMessage &&report, const Endpoint &from, DatagramRoute route)
{
    const std::shared_ptr<EdgeTarget> target = findReported(report, from, route);
    if (!target)
        return;
    TargetState &state = target->state_;
    if (state.hasAgentReport_ && report.number_ <= state.stateNumber_)
        return;
    const Time now = bootNow();
    const bool restarted = state.hasAgentReport_ && report.startedAt_ != state.startedAt_;
    if (restarted || (state.isUp_ && !report.isUp_)) {
        target->crashedAt_ = now;
        recordFleetCrash(crashSuspects_.evidence_, crashIdOf(state),
                         state.running_ + state.waiting_, now);
    }
    if (!state.hasAgentReport_ || restarted || state.isUp_ != report.isUp_
        || state.isDraining_ != report.isDraining_) {
        eventLog().note("target.state", "target", state.listed_.id_, "up", report.isUp_, "draining",
                        report.isDraining_, "started", report.startedAt_, "number", report.number_);
    }
    applyColdReport(*target, report, now);
    state.hasAgentReport_ = true;
    state.agentReportedAt_ = now;
    if (report.isUp_)
        state.lastContactAt_ = now;
    state.stateNumber_ = report.number_;
    state.startedAt_ = report.startedAt_;
    state.isUp_ = report.isUp_;
    state.isDraining_ = report.isDraining_;
    state.usedTokens_ = report.usedTokens_;
    state.memoryTokens_ = report.memoryTokens_;
    state.pendingLoads_ = report.pendingLoads_;
    state.lateRatio_ = report.lateRatio_;
    applyPace(*target, report, restarted);
    if (report.isDraining_) {
        applyLeaving({state.listed_.id_, report.startedAt_}, LeavingSource::Report);
        withdrawUnsent(*target);
    }
    recordLoad(state, report.running_, report.waiting_, now);
    recordUnread(state.promptBacklog_, report.unread_, now);
    if (report.hasLists_) {
        state.residencyNumber_ = report.residencyNumber_;
        state.adapters_.clear();
        state.incoming_.clear();
        for (const HashedAdapter &resident : report.adapters_)
            state.adapters_[resident.adapter_] = resident.version_;
        for (const HashedAdapter &incoming : report.incoming_)
            state.incoming_[incoming.adapter_] = incoming.version_;
        state.models_ = {report.models_.begin(), report.models_.end()};
        // Reports arrive in batches, so one pass over the queue follows for all of them.
        if (changedTargets_.empty())
            loop_.timers().once(Duration::zero(), [this] { placeAtChangedTargets(); });
        changedTargets_.push_back(target);
    }
}

void Edge::placeAtChangedTargets()
{
    std::map<std::string, std::vector<std::shared_ptr<EdgeTarget>>> changed;
    for (const auto &target : changedTargets_)
        changed[target->state_.listed_.service_].push_back(target);
    changedTargets_.clear();
    for (const auto &[service, targets] : changed)
        placeWaitingRequestsAt(service, targets, maxTriedPerReports);
}

void Edge::requestLoad(EdgeTarget &target, const std::string &adapter, Time now)
{
    if (adapter.empty())
        return;
    Time &requestedAt = target.loadRequestedAt_[adapter];
    if (now - requestedAt < minLoadRequestInterval)
        return;
    requestedAt = now;
    sendLoadRequests(target, now);
}

void Edge::sendLoadRequests(EdgeTarget &target, Time now)
{
    const TargetState &state = target.state_;
    if (!rules_)
        return;
    const ServedService *service = rules_->findService(state.listed_.service_);
    if (service == nullptr || !service->engine_)
        return;
    EntryLoadRequests message;
    message.vm_ = settings_.vm_;
    message.dataCentre_ = dataCentre_;
    message.target_ = state.listed_.id_;
    message.targetStartedAt_ = state.listed_.startedAt_;
    message.knownResidencyNumber_ = state.residencyNumber_;
    std::map<std::string, std::uint32_t> requestsByAdapter;
    for (const EdgeRequestPtr &request : waitingRequests_[state.listed_.service_]) {
        if (request->awaitedTarget_ == state.listed_.id_)
            ++requestsByAdapter[request->adapter_];
    }
    std::erase_if(target.replicaLoadRequests_, [&](const auto &each) { return each.second < now; });
    std::erase_if(target.loadRequestedAt_,
                  [&](const auto &each) { return now - each.second > 1s; });
    for (const auto &[adapter, until] : target.replicaLoadRequests_)
        requestsByAdapter.try_emplace(adapter, 1);
    for (const auto &[adapter, at] : target.loadRequestedAt_) {
        if (at == now)
            requestsByAdapter.try_emplace(adapter, 1);
    }
    if (declinesRequests(exclusionOf(state, now)))
        requestsByAdapter.clear();
    for (const auto &[adapter, requests] : requestsByAdapter) {
        message.loadRequests_.push_back({adapter, newestVersionOf(adapter), requests});
        if (message.loadRequests_.size() == maxLoadRequestsPerMessage)
            break;
    }
    for (const auto &[adapter, runs] : target.runningAdapters_)
        target.usedAdapters_.insert(adapter);
    // An empty message is sent only to keep the agent from removing this entry.
    if (requestsByAdapter.empty() && target.usedAdapters_.empty()
        && now - target.lastMessageSentAt_ < maxMessageInterval)
        return;
    target.lastMessageSentAt_ = now;
    message.usedAdapters_.assign(target.usedAdapters_.begin(), target.usedAdapters_.end());
    target.usedAdapters_.clear();
    takeStreamFigures(target, message);
    std::string bytes = encodePeerMessage(message);
    countDatagrams("load_requests", state.listed_.dataCentre_ == settings_.dataCentre_, 1,
                   bytes.size());
    peersSocket_.send(std::move(bytes), {state.endpoint_.host_, peersAddress_.port_});
}

void Edge::sendEntryStates(Time now)
{
    EntryState state;
    state.vm_ = nameHash(settings_.vm_);
    state.dataCentre_ = dataCentre_;
    state.timestampMicros_ = stampOf(stampClock_, now);
    state.startedAtMicros_ = stampOf(stampClock_, startedAt_);
    state.storeEra_ = storeEra_.number();
    state.rulesVersion_ = rules_ ? rules_->rules().version_ : 0;
    if (rules_ && operatorFeed_->confirmedAt()) {
        const Time confirmed = confirmedByStoreAt(rulesAge_, operatorFeed_->confirmedAt());
        state.rulesAgeMicros_ = (now - confirmed).count();
    }
    state.operatorRevision_ = operatorFeed_->lastChangeRevision();
    state.targetsRevision_ = targetsChangeRevision_;
    state.targetsListRevision_ = targetFeed_->listRevision();
    if (targetFeed_->confirmedAt() && targetFeed_->isReachable())
        state.targetsAgeMicros_ = (now - *targetFeed_->confirmedAt()).count();
    for (const auto &[account, tokens] : collectUsageReport(allowance_))
        state.usage_.push_back({nameHash(account), static_cast<float>(tokens)});
    const bool isFull = ++statesSent_ % fullMessageInterval == 0;
    if (isFull) {
        state.topAdapterRates_ = topAdapterRates(demand_, now);
        removeExpiredPeerRates(demand_, now);
    }
    if (crashSuspects_.haveChanged_ || isFull)
        state.crashRecords_ = crashReport(crashSuspects_, now);
    crashSuspects_.haveChanged_ = false;
    state.waitingRows_ = rowsToReport(scarcity_);
    std::vector<Member> members;
    for (const auto &[vm, peer] : peers_) {
        const auto contact = peerContacts_.find(vm);
        const bool isKnown = contact != peerContacts_.end();
        members.push_back({peer.endpoint_, isKnown ? contact->second.dataCentre_ : 0,
                           isKnown && now - contact->second.receivedAt_ < relayContactTimeout,
                           false});
    }
    // Only the echoes differ between data centres.
    std::map<NameHash, std::string> encodedFor;
    for (const Recipient &recipient :
         chooseRecipients(members, state.vm_, dataCentre_, statesSent_)) {
        const Member &member = members[recipient.member_];
        const bool isOwn = member.dataCentre_ == dataCentre_;
        std::string &encoded = encodedFor[member.dataCentre_];
        if (encoded.empty()) {
            // A message that is relayed may be the only one of several that arrives.
            state.echoes_ =
                isFull || !isOwn ? echoesFor(member.dataCentre_, now) : std::vector<PeerEcho>{};
            encoded = encodePeerMessage(state);
        }
        std::string bytes = encoded;
        if (recipient.isRelay_)
            setRoute(bytes, DatagramRoute::ToRelay);
        countDatagrams("entry_state", isOwn, 1, bytes.size());
        peersSocket_.send(std::move(bytes), member.endpoint_);
    }
}

void Edge::recordPeersKnowledge(const EntryState &state, const std::string &vm)
{
    peersRulesVersion_ = std::max(peersRulesVersion_, state.rulesVersion_);
    peersStoreEra_ = std::max(peersStoreEra_, state.storeEra_);
    // Revisions of another era mean other changes.
    if (state.storeEra_ == storeEra_.number())
        peersOperatorRevision_ = std::max(peersOperatorRevision_, state.operatorRevision_);
    if (!hasStoreLostRulesOf(state))
        return;
    if (!rulesAge_.lostSince_) {
        eventLog().note("rules.lost", "peer", vm, "peers_version", state.rulesVersion_, "version",
                        rules_->rules().version_, "era", storeEra_.number(), "peers_era",
                        state.storeEra_);
    }
    recordLostRules(rulesAge_);
}

void Edge::applyEchoes(const EntryState &state, PeerContact &contact, Time now)
{
    const bool isOfKnownEra = state.storeEra_ == storeEra_.number();
    const bool knowsPeersChanges =
        isOfKnownEra && state.operatorRevision_ <= operatorFeed_->revision();
    for (const PeerEcho &echo : state.echoes_) {
        if (echo.vm_ != nameHash(settings_.vm_))
            continue;
        // The message is never considered newer than that, however late it arrives.
        const std::optional<Time> earliest = sentAfter(stampClock_, echo, now);
        if (!earliest) {
            countMetric("eelgrasscove_peer_echoes_ignored_total");
            continue;
        }
        const Time peerSentAfter = *earliest;
        contact.peerReceivedOursAt_ = std::max(contact.peerReceivedOursAt_, peerSentAfter);
        if (isOfKnownEra && state.targetsAgeMicros_ >= 0) {
            targetList_.revision_ = targetFeed_->revision();
            recordPeerReport(targetList_,
                             {state.targetsRevision_, state.targetsListRevision_,
                              peerSentAfter - Duration(state.targetsAgeMicros_)});
        }
        if (rules_ && state.rulesVersion_ == rules_->rules().version_ && knowsPeersChanges
            && state.rulesAgeMicros_ >= 0) {
            const Time confirmed = peerSentAfter - Duration(state.rulesAgeMicros_);
            rulesAge_.confirmedByPeerAt_ =
                std::max(rulesAge_.confirmedByPeerAt_.value_or(confirmed), confirmed);
        }
    }
}

void Edge::applyEntryState(EntryState &&state)
{
    const auto peer = vmByHash_.find(state.vm_);
    if (peer == vmByHash_.end()) {
        checkPeerList(state.vm_, bootNow());
        return;
    }
    const std::string &vm = peer->second;
    const Time now = bootNow();
    PeerContact &contact = peerContacts_[vm];
    if (!recordMessage(contact, state, now))
        return;
    applyPeerRows(scarcity_, state.vm_, std::move(state.waitingRows_), now);
    recordPeersKnowledge(state, vm);
    applyEchoes(state, contact, now);
    if (state.topAdapterRates_)
        applyPeerRates(demand_, vm, std::move(*state.topAdapterRates_), now);
    const bool isMutual =
        now - contact.peerReceivedOursAt_ <= allowance_.settings_.contactTimeout_ * 2;
    PeerUsage usage{state.startedAtMicros_,
                    Duration(state.timestampMicros_ - state.startedAtMicros_),
                    now,
                    isMutual,

                    {}};
    for (const AccountUsage &account : state.usage_) {
        if (const auto name = accountByHash_.find(account.account_); name != accountByHash_.end())
            usage.tokens_[name->second] = account.tokens_;
    }
    applyPeerUsage(allowance_, vm, std::move(usage));
    for (const ReportedCrashRecord &reported : state.crashRecords_)
        mergeSuspect(reported, vm);
}

} // namespace eelgrasscove
