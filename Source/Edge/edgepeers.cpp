#include "Edge/edge.h"
#include "Observe/eventlog.h"

#include <algorithm>
#include <utility>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A wish is sent again at most this often: the agent answers it with its new state at once.
constexpr Duration wishAgain = 100ms;

/// An agent hears an entry at least this often.
constexpr Duration tellAtLeast = 1s;

/// The echoes of peers' messages are in each third message; contact is judged over longer.
constexpr std::uint32_t echoEvery = 3;

/// Wishes in one message, so that it fits a datagram on any link.
constexpr std::size_t mostWishes = 64;

} // namespace

void Edge::onDatagram(std::string_view bytes, const Endpoint &from)
{
    std::optional<PeerMessage> message = decodePeerMessage(bytes);
    if (!message) {
        eventLog().note("datagram.ignored", "from", from.text(), "bytes", bytes.size());
        return;
    }
    if (auto *engine = std::get_if<EngineState>(&*message))
        takeEngineState(std::move(*engine), from);
    else if (auto *entry = std::get_if<EntryState>(&*message))
        takeEntryState(std::move(*entry));
}

void Edge::takeEngineState(EngineState &&state, const Endpoint &from)
{
    std::shared_ptr<EdgeTarget> target;
    for (const auto &[id, each] : targets_) {
        const TargetBelief &belief = each->belief_;
        if (belief.endpoint_.host_ == from.host_ && !belief.replaced_
            && (state.target_ == 0 || markOf(id) == state.target_))
            target = each;
    }
    if (!target)
        return;
    TargetBelief &belief = target->belief_;
    if (belief.agentHeard_ && state.number_ <= belief.stateNumber_)
        return;
    const Time now = bootNow();
    const bool restarted = belief.agentHeard_ && state.startedAt_ != belief.startedAt_;
    if (restarted || (belief.up_ && !state.up_))
        target->crashedAt_ = now;
    if (!belief.agentHeard_ || restarted || belief.up_ != state.up_
        || belief.draining_ != state.draining_) {
        eventLog().note("target.state", "target", belief.listed_.id_, "up", state.up_, "draining",
                        state.draining_, "started", state.startedAt_, "number", state.number_);
    }
    belief.agentHeard_ = true;
    belief.heardAt_ = now;
    if (state.up_)
        belief.aliveAt_ = now;
    belief.stateNumber_ = state.number_;
    belief.startedAt_ = state.startedAt_;
    belief.up_ = state.up_;
    belief.draining_ = state.draining_;
    belief.usedTokens_ = state.usedTokens_;
    belief.memoryTokens_ = state.memoryTokens_;
    belief.loadsWaiting_ = state.loadsWaiting_;
    belief.lateRatio_ = state.lateRatio_;
    noteLoad(belief, state.running_, state.waiting_, now);
    if (state.hasLists_) {
        belief.residency_ = state.residency_;
        belief.adapters_.clear();
        belief.incoming_.clear();
        for (const MarkedAdapter &held : state.adapters_)
            belief.adapters_[held.adapter_] = held.version_;
        for (const MarkedAdapter &coming : state.incoming_)
            belief.incoming_[coming.adapter_] = coming.version_;
        belief.models_ = {state.models_.begin(), state.models_.end()};
        placeWaiting(belief.listed_.service_, SIZE_MAX);
    }
}

void Edge::wish(EdgeTarget &target, const std::string &adapter, Time now)
{
    if (adapter.empty())
        return;
    Time &wished = target.wishedAt_[adapter];
    if (now - wished < wishAgain)
        return;
    wished = now;
    sendWishes(target, now);
}

void Edge::sendWishes(EdgeTarget &target, Time now)
{
    const TargetBelief &belief = target.belief_;
    if (!rules_)
        return;
    const ServedService *service = rules_->service(belief.listed_.service_);
    if (service == nullptr || !service->engine_)
        return;
    EntryWishes wishes;
    wishes.vm_ = settings_.vm_;
    wishes.target_ = belief.listed_.id_;
    wishes.targetStartedAt_ = belief.listed_.startedAt_;
    wishes.knownResidency_ = belief.residency_;
    std::map<std::string, std::uint32_t> wanted;
    for (const EdgeRequestPtr &request : waiting_[belief.listed_.service_]) {
        if (request->awaitedTarget_ == belief.listed_.id_)
            ++wanted[request->adapter_];
    }
    std::erase_if(target.copyWishes_, [&](const auto &copy) { return copy.second < now; });
    std::erase_if(target.wishedAt_, [&](const auto &each) { return now - each.second > 1s; });
    for (const auto &[adapter, until] : target.copyWishes_)
        wanted.try_emplace(adapter, 1);
    for (const auto &[adapter, at] : target.wishedAt_) {
        if (at == now)
            wanted.try_emplace(adapter, 1);
    }
    for (const auto &[adapter, requests] : wanted) {
        const auto version = versions_.find(adapter);
        wishes.wishes_.push_back(
            {adapter, version == versions_.end() ? 0 : version->second, requests});
        if (wishes.wishes_.size() == mostWishes)
            break;
    }
    for (const auto &[adapter, runs] : target.runningAdapters_)
        target.usedAdapters_.insert(adapter);
    // An agent forgets an entry that it hears less often than this.
    if (wanted.empty() && target.usedAdapters_.empty() && now - target.toldAt_ < tellAtLeast)
        return;
    target.toldAt_ = now;
    wishes.inUse_.assign(target.usedAdapters_.begin(), target.usedAdapters_.end());
    target.usedAdapters_.clear();
    wishes.streams_ = std::exchange(target.streams_, 0);
    wishes.lateStreams_ = std::exchange(target.lateStreams_, 0);
    peersSocket_.send(encodePeerMessage(wishes), {belief.endpoint_.host_, peersAddress_.port_});
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
    if (++statesSent_ % echoEvery == 0) {
        for (const auto &[vm, heard] : heardPeers_)
            state.echoes_.push_back({markOf(vm), heard.stampMicros_, (now - heard.at_).count()});
        state.mostAsked_ = mostAsked(demand_, now);
        forgetSilentPeers(demand_, now);
    }
    for (const auto &[hash, suspect] : suspects_.requests_) {
        if (suspect.seen_ > 0)
            state.suspects_.push_back({hash, suspect.seen_});
    }
    const std::string bytes = encodePeerMessage(state);
    for (const auto &[vm, peer] : peers_)
        peersSocket_.send(bytes, peer.endpoint_);
}

void Edge::takeEntryState(EntryState &&state)
{
    const auto peer = vmOfMark_.find(state.vm_);
    if (peer == vmOfMark_.end())
        return;
    const std::string &vm = peer->second;
    const Time now = bootNow();
    HeardPeer &heard = heardPeers_[vm];
    if (state.stampMicros_ <= heard.stampMicros_)
        return;
    heard.stampMicros_ = state.stampMicros_;
    heard.at_ = now;
    for (const PeerEcho &echo : state.echoes_) {
        if (echo.vm_ != markOf(settings_.vm_))
            continue;
        // The peer spoke after my stamp and its holding time, by my own clock; however late its
        // message comes, it is taken for no fresher than that.
        const Time spokeAfter = Time(Duration(echo.stampMicros_ + echo.heldMicros_));
        heard.heardUs_ = std::max(heard.heardUs_, spokeAfter);
        if (rules_ && state.rulesVersion_ == rules_->rules().version_
            && state.rulesAgeMicros_ >= 0) {
            const Time confirmed = spokeAfter - Duration(state.rulesAgeMicros_);
            peerConfirmedAt_ = std::max(peerConfirmedAt_.value_or(confirmed), confirmed);
        }
    }
    if (state.mostAsked_)
        hearMostAsked(demand_, vm, std::move(*state.mostAsked_), now);
    const bool mutual = now - heard.heardUs_ <= allowance_.settings_.heardWithin_ * 2;
    PeerUsage usage{state.startedMicros_,
                    Duration(state.stampMicros_ - state.startedMicros_),
                    now,
                    mutual,

                    {}};
    for (const AccountUsage &account : state.usage_) {
        if (const auto name = accountOfMark_.find(account.account_); name != accountOfMark_.end())
            usage.tokens_[name->second] = account.tokens_;
    }
    hearUsage(allowance_, vm, std::move(usage));
    for (const SuspectCount &suspect : state.suspects_)
        hearCrashes(suspects_, suspect.request_, suspect.crashes_, now);
}

} // namespace eelgrasscove
