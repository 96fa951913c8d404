#include "Edge/edge.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Vm/servingprogram.h"
#include "platform/ruleswire.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <charconv>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Requests' deadlines and waiting requests are looked at this often; the operator's bound on late
/// answers is ten times as long.
constexpr Duration requestPeriod = 50ms;
/// Datagrams are read this often. An adapter that has arrived is known this much later, a tenth of
/// its load; 50 agents and 30 entries would wake this process 400 times a second otherwise.
constexpr Duration datagramPeriod = 20ms;
/// Peers' figures are as old as this. An account at its limit can run ahead by one period.
constexpr Duration peerPeriod = 200ms;
/// Agents forget an entry that they haven't heard for several of these.
constexpr Duration wishPeriod = 250ms;

constexpr Duration logPeriod = 250ms;
constexpr Duration slowPeriod = 1s;

/// A key is honoured only while the rules were confirmed within the operator's bound less this, for
/// the way from the check to the target.
constexpr Duration revokeMargin = 300ms;

/// Entries of live targets are back in the list within this time after an outage of the store.
constexpr Duration targetReturnTime = 2200ms;

/// After SIGTERM, connections still come until the load balancer has seen two answers that aren't
/// 200, one a second.
constexpr Duration stillRouted = 2500ms;
/// Left of the grace time for closing what remains.
constexpr Duration stopReserve = 700ms;

/// Watches of the store. That of the rules also confirms that there are none newer, so with few
/// entries it returns within this part of the operator's bound for withdrawn keys. Entries tell
/// each other of their confirmations, so where there are many, each asks less often.
constexpr double rulesWaitPart = 0.45;
constexpr double entriesOfOneWait = 4;
constexpr double longestRulesWaits = 4;
/// A confirmation of this part of the bound's age is renewed beside the watch.
constexpr double confirmAgePart = 0.6;
constexpr Duration targetsWait = 10s;
constexpr Duration peersWait = 20s;
/// Part of the bound on leaving targets for which their news may wait for each other. Engines'
/// entries change with each adapter, and each change that isn't waited for costs every entry a
/// call.
constexpr double targetsGatherPart = 0.55;
constexpr Duration peersGather = 300ms;
/// Rules that come in quick succession may wait for each other for a tenth of the bound on new
/// rules.
constexpr Duration rulesGather = 200ms;

constexpr std::string_view entryPrefix = "eelgrasscove/entry/";

} // namespace

Edge::Edge(EventLoop &loop, ServingSettings settings, std::string settingsFile)
    : loop_(loop), settings_(std::move(settings)), settingsFile_(std::move(settingsFile)),
      random_(std::random_device{}())
{
    parseEndpoint(settings_.peersListen_, peersAddress_);
    startedAt_ = bootNow();
    allowance_.startedAt_ = startedAt_;
    applyBounds();
    sessionCallbacks_ = {
        [this](const std::shared_ptr<ClientSession> &session, ClientRequest &&request) {
            onRequest(session, std::move(request));
        },
        [this](ClientSession &session) { onClientGone(session); },
        [this](ClientSession &session) { sessions_.erase(session.shared_from_this()); }};
}

void Edge::applyBounds()
{
    const ServingBounds &bounds = settings_.bounds_;

    allowance_.settings_.window_ = bounds.allowanceWindow_;
    allowance_.settings_.slackTokens_ = bounds.allowanceSlack_;
    retryBudget_.settings_ = {bounds.retryShare_, bounds.retrySlack_, bounds.retryWindow_};
}

bool Edge::start()
{
    loop_.onSignals([this] { onTerminate(); }, [this] { onHangUp(); });
    if (!listen())
        return false;
    startFeeds();
    startTimers();
    loop_.watchStandstills();
    eventLog().note("process.started", "role", "edge", "data_centre", settings_.dataCentre_,
                    "callers", settings_.callersListen_);
    return true;
}

bool Edge::listen()
{
    const auto checked = [](std::string_view what, const std::string &address, int error) {
        if (error == 0)
            return true;
        eventLog().note("listen.failed", "what", what, "address", address, "error",
                        uv_err_name(error));
        return false;
    };
    Endpoint callers;
    Endpoint readiness;
    if (!parseEndpoint(settings_.callersListen_, callers)
        || !parseEndpoint(settings_.readinessListen_, readiness)) {
        eventLog().note("settings.incomplete", "remedy",
                        "set [listen] callers and readiness to A.B.C.D:PORT");
        return false;
    }
    const auto ready = [this](std::string_view) {
        return TextAnswer{isReady(bootNow()) ? 200U : 503U, ""};
    };
    bool listening = checked(
        "callers", settings_.callersListen_,
        callers_.listen(loop_, callers, [this](auto stream) { onAccepted(std::move(stream)); }));
    listening = listening
        && checked("readiness", settings_.readinessListen_,
                   readiness_.listen(loop_, readiness, ready));
    listening = listening
        && checked("peers", settings_.peersListen_,
                   peersSocket_.open(
                       loop_, peersAddress_,
                       [this](auto bytes, const auto &from) { onDatagram(bytes, from); },
                       datagramPeriod));
    Endpoint metrics;
    if (listening && parseEndpoint(settings_.metricsListen_, metrics)) {
        listening = checked("metrics", settings_.metricsListen_,
                            metrics_.listen(loop_, metrics, [](std::string_view) {
                                return TextAnswer{200, metricsText()};
                            }));
    }
    return listening;
}

void Edge::startFeeds()
{
    Endpoint store;
    parseEndpoint(settings_.store_, store);
    const auto gather =
        std::chrono::duration_cast<Duration>(settings_.bounds_.drain_ * targetsGatherPart);
    operatorFeed_ = std::make_unique<StoreFeed>(
        loop_, store,
        StoreFeedSettings{std::string(wire::operatorPrefix), rulesWait(), rulesGather},
        StoreFeedCallbacks{[this](const auto &items) {
                               for (const wire::StoreItem &item : items)
                                   takeOperatorItem(item);
                           },
                           [this](const auto &item) { takeOperatorItem(item); }, [](bool) {}});
    targetFeed_ = std::make_unique<StoreFeed>(
        loop_, store, StoreFeedSettings{std::string(wire::targetPrefix), targetsWait, gather},
        StoreFeedCallbacks{[this](const auto &items) { takeTargetList(items); },
                           [this](const auto &item) { takeTargetItem(item); }, [](bool) {}});
    peerFeed_ = std::make_unique<StoreFeed>(
        loop_, store, StoreFeedSettings{std::string(entryPrefix), peersWait, peersGather},
        StoreFeedCallbacks{[this](const auto &items) { takePeerList(items); },
                           [this](const auto &item) {
                               takePeerItem(item);
                               setPeerList();
                           },
                           [](bool) {}});
    registration_ = std::make_unique<Registration>(
        loop_, store, std::string(entryPrefix) + settings_.vm_, settings_.peersListen_);
    operatorFeed_->start();
    targetFeed_->start();
    peerFeed_->start();
    registration_->start();
}

void Edge::startTimers()
{
    LoopTimers &timers = loop_.timers();
    timers.every(requestPeriod, [this] { checkRequests(bootNow()); });
    timers.every(peerPeriod, [this] {
        const Time now = bootNow();
        sendEntryStates(now);
        if (now - rulesConfirmedAt() > settings_.bounds_.revoke_ * confirmAgePart)
            operatorFeed_->confirmNow();
    });

    timers.every(wishPeriod, [this] {
        const Time now = bootNow();
        for (const auto &[id, target] : targets_)
            sendWishes(*target, now);
    });
    timers.every(logPeriod, [] { eventLog().flush(); });
    timers.every(slowPeriod, [this] {
        const Time now = bootNow();
        const auto sessions = sessions_;
        for (const auto &session : sessions)
            session->checkTimes(now);
        for (const auto &[id, target] : targets_)
            target->pool_.closeExpired(now);
        expireSuspects(suspects_, now);
        dropMissingTargets(now);
        dropLeftPeers(now);
    });
}

void Edge::onAccepted(std::shared_ptr<TcpStream> stream)
{
    countMetric("eelgrasscove_client_connections_total");
    const ClientLimits limits = rules_ ? rules_->rules().limits_ : ClientLimits{};
    auto session =
        std::make_shared<ClientSession>(loop_, std::move(stream), limits, sessionCallbacks_);
    if (leaving_)
        session->leave();
    sessions_.insert(session);
    session->start();
}

void Edge::onTerminate()
{
    if (leaving_)
        return;
    leaving_ = true;
    leavingSince_ = bootNow();
    eventLog().note("process.stopping", "requests", requests_.size());
    for (const auto &session : sessions_)
        session->leave();
    loop_.timers().every(requestPeriod, [this] { checkStop(); });
}

void Edge::checkStop()
{
    const Duration since = bootNow() - leavingSince_;
    const bool done = since >= stillRouted && requests_.empty();
    if (since >= stillRouted) {
        // What comes now would not be finished; a refused connection is tried elsewhere at once.
        callers_.close();
        const auto sessions = sessions_;
        for (const auto &session : sessions)
            session->closeIfIdle();
    }
    if (!done && since < settings_.bounds_.grace_ - stopReserve)
        return;
    leavingSince_ = bootNow() + 1h;
    eventLog().note("process.stopped", "requests", requests_.size());
    registration_->end([this] {
        eventLog().flush();
        loop_.stop();
    });
    // The store may be away.
    loop_.timers().once(stopReserve / 2, [this] {
        eventLog().flush();
        loop_.stop();
    });
}

void Edge::onHangUp()
{
    Result<ServingSettings, std::vector<SettingsError>> read = readServingSettings(settingsFile_);
    if (!ok(read)) {
        eventLog().note("settings.refused", "faults", settingsFaultsText(errorOf(read)));
        return;
    }
    settings_.bounds_ = valueOf(read).bounds_;
    applyBounds();
    eventLog().note("settings.reloaded", "file", settingsFile_);
}

Time Edge::rulesConfirmedAt() const
{
    const Time own = operatorFeed_->confirmedAt().value_or(Time{});
    return std::max(own, peerConfirmedAt_.value_or(Time{}));
}

bool Edge::rulesAreFresh(Time now) const
{
    return rules_ != nullptr && now - rulesConfirmedAt() < settings_.bounds_.revoke_ - revokeMargin;
}

bool Edge::isReady(Time now) const
{
    return !leaving_ && rulesAreFresh(now) && !targets_.empty() && peerFeed_->confirmedAt();
}

void Edge::takeOperatorItem(const wire::StoreItem &item)
{
    if (item.key_ == wire::rulesKey && !item.deleted_) {
        takeRules(item.value_);
        return;
    }
    if (!item.key_.starts_with(wire::adapterVersionPrefix) || item.deleted_)
        return;
    const auto decoded = wire::decodeVersion(item.value_);
    if (!ok(decoded)) {
        eventLog().note("version.ignored", "key", item.key_, "reason", errorOf(decoded).message_);
        return;
    }
    const wire::NamedVersion &named = valueOf(decoded);
    std::uint64_t &known = versions_[named.adapter_];
    if (named.version_ <= known)
        return;
    known = named.version_;
    versionHeardAt_[named.adapter_] = bootNow();
    eventLog().note("version.adopted", "adapter", named.adapter_, "version", named.version_);
}

void Edge::takeRules(const std::string &text)
{
    Result<ServingRules, wire::DecodeError> decoded = wire::decodeRules(text);
    if (!ok(decoded)) {
        eventLog().note("rules.ignored", "reason", errorOf(decoded).message_);
        return;
    }
    ServingRules &rules = valueOf(decoded);
    if (rules_ && rules.version_ <= rules_->rules().version_)
        return;
    eventLog().note("rules.adopted", "version", rules.version_, "routes", rules.routes_.size(),
                    "accounts", rules.accounts_.size());
    setGauge("eelgrasscove_rules_version", "", static_cast<double>(rules.version_));
    accountOfMark_.clear();
    for (const ServingAccount &account : rules.accounts_)
        accountOfMark_[markOf(account.name_)] = account.name_;
    rules_ = std::make_shared<const RuleIndex>(std::move(rules));
}

void Edge::takeTargetItem(const wire::StoreItem &item)
{
    const std::string id = item.key_.substr(wire::targetPrefix.size());
    if (item.deleted_) {
        const Time now = bootNow();
        const auto found = targets_.find(id);
        if (found == targets_.end())
            return;
        // Entries also lapse while the store is away; those of live targets come back.
        if (now - targetFeed_->reachableSince() < targetReturnTime)
            found->second->belief_.missingSince_ = now;
        else
            loseTarget(id);
        return;
    }
    const auto decoded = wire::decodeTarget(id, item.value_);
    Endpoint endpoint;
    if (!ok(decoded) || !parseEndpoint(valueOf(decoded).address_, endpoint)) {
        eventLog().note("target.ignored", "target", id, "reason",
                        ok(decoded) ? "its address can't be read" : errorOf(decoded).message_);
        return;
    }
    const ListedTarget &listed = valueOf(decoded);
    std::shared_ptr<EdgeTarget> &target = targets_[id];
    if (target
        && (target->belief_.endpoint_ != endpoint
            || target->belief_.listed_.service_ != listed.service_)) {
        loseTarget(id);
        takeTargetItem(item);
        return;
    }
    if (!target) {
        target = std::make_shared<EdgeTarget>(loop_, endpoint);
        target->belief_.endpoint_ = endpoint;
        targetsOfService_[listed.service_].push_back(target);
        eventLog().note("target.listed", "target", id, "service", listed.service_, "address",
                        listed.address_, "data_centre", listed.dataCentre_);
    }
    TargetBelief &belief = target->belief_;
    if (listed.draining_ != belief.listed_.draining_ && listed.draining_)
        eventLog().note("target.leaving", "target", id, "revision", item.revision_);
    belief.listed_ = listed;
    belief.missingSince_.reset();
    markReplaced(belief);
    if (belief.agentHeard_)
        return;
    belief.models_.clear();
    for (const std::string &model : listed.models_)
        belief.models_.insert(markOf(model));
    belief.adapters_.clear();
    for (const std::string &held : listed.adapters_) {
        const std::size_t at = held.rfind('@');
        std::uint64_t version = 1;
        if (at != std::string::npos)
            std::from_chars(held.data() + at + 1, held.data() + held.size(), version);
        belief.adapters_[markOf(held.substr(0, at))] = version;
    }
}

void Edge::markReplaced(const TargetBelief &newer)
{
    for (const auto &[id, target] : targets_) {
        TargetBelief &belief = target->belief_;
        if (&belief == &newer || belief.endpoint_ != newer.endpoint_ || belief.replaced_
            || belief.listed_.startedAt_ >= newer.listed_.startedAt_)
            continue;
        belief.replaced_ = true;
        target->crashedAt_ = bootNow();
        eventLog().note("target.replaced", "target", id, "by", newer.listed_.id_, "address",
                        newer.listed_.address_);
    }
}

void Edge::takeTargetList(const std::vector<wire::StoreItem> &items)
{
    std::set<std::string> present;
    for (const wire::StoreItem &item : items) {
        present.insert(item.key_.substr(wire::targetPrefix.size()));
        takeTargetItem(item);
    }
    const Time now = bootNow();
    for (const auto &[id, target] : targets_) {
        if (!present.contains(id) && !target->belief_.missingSince_)
            target->belief_.missingSince_ = now;
    }
}

void Edge::dropMissingTargets(Time now)
{
    if (!targetFeed_->reachable())
        return;
    std::vector<std::string> gone;
    for (const auto &[id, target] : targets_) {
        const std::optional<Time> &since = target->belief_.missingSince_;
        if (since && now - std::max(*since, targetFeed_->reachableSince()) > targetReturnTime)
            gone.push_back(id);
    }
    for (const std::string &id : gone)
        loseTarget(id);
}

void Edge::loseTarget(const std::string &id)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    const std::shared_ptr<EdgeTarget> target = found->second;
    eventLog().note("target.gone", "target", id, "service", target->belief_.listed_.service_);
    target->crashedAt_ = bootNow();
    std::erase(targetsOfService_[target->belief_.listed_.service_], target);
    targets_.erase(found);
}

void Edge::takePeerItem(const wire::StoreItem &item)
{
    const std::string vm = item.key_.substr(entryPrefix.size());
    if (vm == settings_.vm_)
        return;
    Endpoint endpoint;
    if (item.deleted_) {
        const auto peer = peers_.find(vm);
        if (peer != peers_.end())
            peer->second.leftAt_ = bootNow();
        eventLog().note("peer.left", "peer", vm, "revision", item.revision_);
    } else if (parseEndpoint(item.value_, endpoint)) {
        peers_[vm] = {endpoint, std::nullopt};
        eventLog().note("peer.listed", "peer", vm, "address", item.value_, "revision",
                        item.revision_);
    } else {
        eventLog().note("peer.ignored", "peer", vm, "reason", "its address can't be read");
    }
}

void Edge::takePeerList(const std::vector<wire::StoreItem> &items)
{
    std::set<std::string> present;
    for (const wire::StoreItem &item : items) {
        present.insert(item.key_.substr(entryPrefix.size()));
        takePeerItem(item);
    }
    for (auto &[vm, peer] : peers_) {
        if (!present.contains(vm) && !peer.leftAt_)
            peer.leftAt_ = bootNow();
    }
    setPeerList();
}

void Edge::dropLeftPeers(Time now)
{
    const std::size_t before = peers_.size();
    std::erase_if(peers_, [&](const auto &each) {
        const auto heard = heardPeers_.find(each.first);
        const Time heardAt = heard == heardPeers_.end() ? Time{} : heard->second.at_;
        // One that was cut off honours keys for this time.
        return each.second.leftAt_
            && now - std::max(*each.second.leftAt_, heardAt) > settings_.bounds_.revoke_;
    });
    if (peers_.size() != before)
        setPeerList();
}

std::set<std::string> Edge::peerNames() const
{
    std::set<std::string> vms;
    for (const auto &[vm, peer] : peers_)
        vms.insert(vm);
    return vms;
}

Duration Edge::rulesWait() const
{
    const double waits = std::clamp(static_cast<double>(peers_.size() + 1) / entriesOfOneWait, 1.0,
                                    longestRulesWaits);
    return std::chrono::duration_cast<Duration>(settings_.bounds_.revoke_ * rulesWaitPart * waits);
}

void Edge::setPeerList()
{
    const std::set<std::string> vms = peerNames();
    std::erase_if(heardPeers_, [&](const auto &peer) { return !vms.contains(peer.first); });
    vmOfMark_.clear();
    for (const std::string &vm : vms)
        vmOfMark_[markOf(vm)] = vm;
    setPeers(allowance_, vms);
    retryBudget_.entries_ = vms.size() + 1;
    operatorFeed_->setWait(rulesWait());
    eventLog().note("peers.changed", "entries", vms.size() + 1);
}

int runEdge(int argc, char **argv)
{
    return runServingProgram(
        "eelgrasscove-edge", argc, argv,
        [](EventLoop &loop, const ServingSettings &settings, const std::string &file) {
            auto edge = std::make_shared<Edge>(loop, settings, file);
            return edge->start() ? edge : nullptr;
        });
}

} // namespace eelgrasscove
