#include "Edge/edge.h"
#include "Observe/eventlog.h"

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

/// Every third message contains echoes of the peers' messages, which is often enough, as a peer
/// counts as out of contact only after a longer time.
constexpr std::uint32_t echoInterval = 3;

/// Maximum number of load requests in a message, so that it fits into one datagram on any link.
constexpr std::size_t maxLoadRequestsPerMessage = 64;

} // namespace

void Edge::onDatagram(std::string_view bytes, const Endpoint &from)
{
    std::optional<PeerMessage> message = decodePeerMessage(bytes);
    if (!message) {
        eventLog().note("datagram.ignored", "from", from.text(), "bytes", bytes.size());
        return;
    }
    if (auto *engine = std::get_if<EngineState>(&*message))
        applyEngineState(std::move(*engine), from);
    else if (auto *entry = std::get_if<EntryState>(&*message))
        applyEntryState(std::move(*entry));
}

void Edge::applyEngineState(EngineState &&report, const Endpoint &from)
{
    std::shared_ptr<EdgeTarget> target;
    for (const auto &[id, each] : targets_) {
        const TargetBelief &state = each->state_;
        if (state.endpoint_.host_ == from.host_ && !state.replaced_
            && (report.target_ == 0 || markOf(id) == report.target_))
            target = each;
    }
    if (!target)
        return;
    TargetBelief &state = target->state_;
    if (state.agentHeard_ && report.number_ <= state.stateNumber_)
        return;
    const Time now = bootNow();
    const bool restarted = state.agentHeard_ && report.startedAt_ != state.startedAt_;
    if (restarted || (state.up_ && !report.up_))
        target->crashedAt_ = now;
    if (!state.agentHeard_ || restarted || state.up_ != report.up_
        || state.draining_ != report.draining_) {
        eventLog().note("target.state", "target", state.listed_.id_, "up", report.up_, "draining",
                        report.draining_, "started", report.startedAt_, "number", report.number_);
    }
    state.agentHeard_ = true;
    state.heardAt_ = now;
    if (report.up_)
        state.aliveAt_ = now;
    state.stateNumber_ = report.number_;
    state.startedAt_ = report.startedAt_;
    state.up_ = report.up_;
    state.draining_ = report.draining_;
    state.usedTokens_ = report.usedTokens_;
    state.memoryTokens_ = report.memoryTokens_;
    state.loadsWaiting_ = report.loadsWaiting_;
    state.lateRatio_ = report.lateRatio_;
    noteLoad(state, report.running_, report.waiting_, now);
    if (report.hasLists_) {
        state.residency_ = report.residency_;
        state.adapters_.clear();
        state.incoming_.clear();
        for (const MarkedAdapter &resident : report.adapters_)
            state.adapters_[resident.adapter_] = resident.version_;
        for (const MarkedAdapter &incoming : report.incoming_)
            state.incoming_[incoming.adapter_] = incoming.version_;
        state.models_ = {report.models_.begin(), report.models_.end()};
        placeWaitingRequests(state.listed_.service_, SIZE_MAX);
    }
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
    const TargetBelief &state = target.state_;
    if (!rules_)
        return;
    const ServedService *service = rules_->service(state.listed_.service_);
    if (service == nullptr || !service->engine_)
        return;
    EntryWishes message;
    message.vm_ = settings_.vm_;
    message.target_ = state.listed_.id_;
    message.targetStartedAt_ = state.listed_.startedAt_;
    message.knownResidency_ = state.residency_;
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
    for (const auto &[adapter, requests] : requestsByAdapter) {
        const auto version = adapterVersions_.find(adapter);
        message.wishes_.push_back(
            {adapter, version == adapterVersions_.end() ? 0 : version->second, requests});
        if (message.wishes_.size() == maxLoadRequestsPerMessage)
            break;
    }
    for (const auto &[adapter, runs] : target.runningAdapters_)
        target.usedAdapters_.insert(adapter);
    // An empty message is sent only to keep the agent from removing this entry.
    if (requestsByAdapter.empty() && target.usedAdapters_.empty()
        && now - target.lastMessageSentAt_ < maxMessageInterval)
        return;
    target.lastMessageSentAt_ = now;
    message.inUse_.assign(target.usedAdapters_.begin(), target.usedAdapters_.end());
    target.usedAdapters_.clear();
    message.streams_ = std::exchange(target.streams_, 0);
    message.lateStreams_ = std::exchange(target.lateStreams_, 0);
    peersSocket_.send(encodePeerMessage(message), {state.endpoint_.host_, peersAddress_.port_});
}

void Edge::sendEntryStates(Time now)
{
    EntryState state;
    state.vm_ = markOf(settings_.vm_);
    state.stampMicros_ = now.time_since_epoch().count();
    state.startedMicros_ = startedAt_.time_since_epoch().count();
    state.rulesVersion_ = rules_ ? rules_->rules().version_ : 0;
    if (rules_ && operatorFeed_->confirmedAt())
        state.rulesAgeMicros_ = (now - *operatorFeed_->confirmedAt()).count();
    for (const auto &[account, tokens] : tellUsage(allowance_))
        state.usage_.push_back({markOf(account), static_cast<float>(tokens)});
    if (++statesSent_ % echoInterval == 0) {
        for (const auto &[vm, contact] : peerContacts_)
            state.echoes_.push_back(
                {markOf(vm), contact.stampMicros_, (now - contact.receivedAt_).count()});
        state.mostAsked_ = mostAsked(demand_, now);
        forgetSilentPeers(demand_, now);
    }
    for (const auto &[hash, suspect] : crashSuspects_.requests_) {
        if (suspect.seen_ > 0)
            state.suspects_.push_back({hash, suspect.seen_});
    }
    const std::string bytes = encodePeerMessage(state);
    for (const auto &[vm, peer] : peers_)
        peersSocket_.send(bytes, peer.endpoint_);
}

void Edge::applyEntryState(EntryState &&state)
{
    const auto peer = vmByHash_.find(state.vm_);
    if (peer == vmByHash_.end())
        return;
    const std::string &vm = peer->second;
    const Time now = bootNow();
    PeerContact &contact = peerContacts_[vm];
    if (state.stampMicros_ <= contact.stampMicros_)
        return;
    contact.stampMicros_ = state.stampMicros_;
    contact.receivedAt_ = now;
    for (const PeerEcho &echo : state.echoes_) {
        if (echo.vm_ != markOf(settings_.vm_))
            continue;
        // By this entry's clock, the peer sent its message no earlier than this entry's echoed time
        // stamp plus the time for which the peer held it. The message is never considered newer
        // than that, however late it arrives.
        const Time peerSentAfter = Time(Duration(echo.stampMicros_ + echo.heldMicros_));
        contact.peerReceivedOursAt_ = std::max(contact.peerReceivedOursAt_, peerSentAfter);
        if (rules_ && state.rulesVersion_ == rules_->rules().version_
            && state.rulesAgeMicros_ >= 0) {
            const Time confirmed = peerSentAfter - Duration(state.rulesAgeMicros_);
            rulesConfirmedByPeerAt_ =
                std::max(rulesConfirmedByPeerAt_.value_or(confirmed), confirmed);
        }
    }
    if (state.mostAsked_)
        hearMostAsked(demand_, vm, std::move(*state.mostAsked_), now);
    const bool isMutual =
        now - contact.peerReceivedOursAt_ <= allowance_.settings_.heardWithin_ * 2;
    PeerUsage usage{state.startedMicros_,
                    Duration(state.stampMicros_ - state.startedMicros_),
                    now,
                    isMutual,

                    {}};
    for (const AccountUsage &account : state.usage_) {
        if (const auto name = accountByHash_.find(account.account_); name != accountByHash_.end())
            usage.tokens_[name->second] = account.tokens_;
    }
    hearUsage(allowance_, vm, std::move(usage));
    for (const SuspectCount &suspect : state.suspects_)
        hearCrashes(crashSuspects_, suspect.request_, suspect.crashes_, now);
}

} // namespace eelgrasscove
