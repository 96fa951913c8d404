#include "Target/targetfleet.h"

#include <optional>
#include <set>

namespace eelgrasscove {

namespace {

/// How long an entry that is not in the VM list still gets heartbeats after its last message.
constexpr Duration entryContactRetention = std::chrono::seconds(60);
constexpr std::size_t maxEntryContacts = 1024;
/// Time between ticks of the rule distribution.
constexpr Duration distributionTickPeriod = std::chrono::milliseconds(250);

DistributionView distributionView(const TargetFleet &target, Time now)
{
    return makeDistributionView(target.fleet_, Role::Target, now);
}

void recordEntryContact(TargetFleet &target, const Envelope &envelope, Time now)
{
    const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message_);
    const bool entry = heartbeat ? heartbeat->role_ == Role::Entry
                                 : std::holds_alternative<Offer>(envelope.message_);
    if (!entry || envelope.replyAddress_.empty())
        return;
    const std::string &address = envelope.replyAddress_;
    if (target.entryContacts_.size() < maxEntryContacts || target.entryContacts_.contains(address))
        target.entryContacts_[address] = now;
}

void removeExpiredContacts(TargetFleet &target, Time now)
{
    std::erase_if(target.entryContacts_, [&](const auto &contact) {
        return now - contact.second > entryContactRetention;
    });
}

std::set<std::string> recentEntryAddresses(const TargetFleet &target)
{
    std::set<std::string> addresses;
    for (const auto &[address, lastContact] : target.entryContacts_)
        addresses.insert(address);
    return addresses;
}

void appendPeerMessage(const TargetFleet &target, SendToPeer &&send, TargetFleetActions &actions)
{
    const auto found = target.fleet_.peers_.find(send.peer_);
    if (found == target.fleet_.peers_.end() || found->second.listed_.address_.empty())
        return;
    actions.emplace_back(
        AddressedMessage{found->second.listed_.address_, std::move(send.message_)});
}

void appendRuleActions(const TargetFleet &target, DistributionActions &&spread,
                       TargetFleetActions &actions)
{
    for (DistributionAction &action : spread) {
        if (auto *send = std::get_if<SendToPeer>(&action))
            appendPeerMessage(target, std::move(*send), actions);
        else if (auto *adopt = std::get_if<AdoptRules>(&action))
            actions.emplace_back(std::move(*adopt));
        else if (const auto *watch = std::get_if<WatchPlatformRules>(&action))
            actions.emplace_back(*watch);
        else
            actions.emplace_back(ReadPlatformRules());
    }
}

void handlePeerHeartbeat(TargetFleet &target, const Envelope &envelope, const Heartbeat &heartbeat,
                         Time now, TargetFleetActions &actions)
{
    applyHeartbeat(target.fleet_, envelope, heartbeat, now);
    appendRuleActions(
        target,
        handlePeerRevision(target.ruleDistribution_, envelope.from_, heartbeat.rulesRevision_, now),
        actions);
}

void sendUpdate(const TargetFleet &target, const std::optional<VmNews> &update,
                TargetFleetActions &actions)
{
    if (!update)
        return;
    for (std::string &address : vmUpdateAddresses(target.fleet_))
        actions.emplace_back(AddressedMessage{std::move(address), *update});
}

/// Sends the heartbeat to every entry; used in a small fleet.
void sendToAllEntries(const TargetFleet &target, const Heartbeat &load, TargetFleetActions &actions)
{
    std::set<std::string> addresses = recentEntryAddresses(target);
    for (const auto &[vm, peer] : target.fleet_.peers_) {
        if (peer.listed_.role_ == Role::Entry && !peer.listed_.address_.empty())
            addresses.insert(peer.listed_.address_);
    }
    for (const std::string &address : addresses)
        actions.emplace_back(AddressedMessage{address, load});
}

} // namespace

TargetFleet makeTargetFleet(const Settings &settings, Incarnation incarnation, Time now)
{
    TargetFleet target;
    target.fleet_.self_ = settings.vm_.vm_;
    target.fleet_.region_ = settings.vm_.region_;
    target.fleet_.dataCentre_ = settings.vm_.dataCentre_;
    target.fleet_.selfRole_ = Role::Target;
    target.group_ = settings.target_.group_;
    target.ruleDistribution_.self_ = settings.vm_.vm_;
    target.ruleDistribution_.dataCentre_ = settings.vm_.dataCentre_;
    target.ruleDistribution_.policy_.staleAfter_ = settings.rules_.staleAfter_;
    target.ruleDistribution_.policy_.maxMembersForWatchByAll_ =
        target.fleet_.policy_.maxFullMeshPeers_ + 1;
    target.ruleDistribution_.randomState_ = incarnation.value_;
    target.createdAt_ = now;
    return target;
}

bool handleFleetMessage(TargetFleet &target, const Envelope &envelope, Time now,
                        TargetFleetActions &actions)
{
    recordEntryContact(target, envelope, now);
    recordMessageVersion(target.fleet_, envelope);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message_)) {
        handlePeerHeartbeat(target, envelope, *heartbeat, now, actions);
        return false;
    }
    if (const auto *update = std::get_if<VmNews>(&envelope.message_)) {
        applyVmUpdate(target.fleet_, envelope, *update, now);
        return true;
    }
    std::optional<DistributionActions> spread =
        handleDistributionMessage(target.ruleDistribution_, target.fleet_, envelope, now);
    if (spread)
        appendRuleActions(target, std::move(*spread), actions);
    return spread.has_value();
}

void sendRequestedFullReport(TargetFleet &target, const Envelope &envelope, const Heartbeat &load,
                             TargetFleetActions &actions)
{
    recordMessageVersion(target.fleet_, envelope);
    for (Message &message : repeatFullReport(target.loadReportState_, load, target.policy_))
        actions.emplace_back(AddressedMessage{envelope.replyAddress_, std::move(message)});
}

void applyFleetVmList(TargetFleet &target, const VmList &list, Time now,
                      TargetFleetActions &actions)
{
    sendUpdate(target, makeVmUpdate(target.fleet_, list), actions);
    applyVmList(target.fleet_, list, now);
    if (target.ruleDistribution_.watching_)
        sendUpdate(target, updateOwnDrains(target.fleet_, list, now), actions);
    updateSilenceTimeout(target.fleet_, target.policy_);
    const Duration period = listPeriodFor(target.fleet_, list, target.ruleDistribution_.policy_);
    if (period != target.listPeriod_)
        actions.emplace_back(SetVmListPeriod{period});
    target.listPeriod_ = period;
}

void applyFleetRules(TargetFleet &target, const StoredRules &rules, Time now,
                     TargetFleetActions &actions)
{
    appendRuleActions(
        target,
        handleStoredRules(target.ruleDistribution_, distributionView(target, now), rules, now),
        actions);
}

void tickTargetFleet(TargetFleet &target, Time now, TargetFleetActions &actions)
{
    if (!target.isDistributionStarted_) {
        target.isDistributionStarted_ =
            mayStartRuleDistribution(target.fleet_, target.createdAt_, now);
        if (target.isDistributionStarted_)
            appendRuleActions(
                target,
                startRuleDistribution(target.ruleDistribution_, distributionView(target, now), now),
                actions);
        return;
    }
    if (now < target.nextDistributionTick_)
        return;
    target.nextDistributionTick_ = now + distributionTickPeriod;
    if (target.ruleDistribution_.watching_)
        sendUpdate(target, repeatDrainUpdate(target.fleet_, now), actions);
    else
        clearOwnDrains(target.fleet_);
    appendRuleActions(
        target, tickRuleDistribution(target.ruleDistribution_, distributionView(target, now), now),
        actions);
}

void sendLoad(TargetFleet &target, const Heartbeat &load, Time now, TargetFleetActions &actions)
{
    removeExpiredContacts(target, now);
    if (!isLarge(target.fleet_)) {
        sendToAllEntries(target, load, actions);
        return;
    }
    for (AddressedMessage &message :
         makeTargetReports(target.loadReportState_, target.fleet_, recentEntryAddresses(target),
                           load, target.policy_, now))
        actions.emplace_back(std::move(message));
}

void sendCrashCountsToPeers(const TargetFleet &target, const Heartbeat &load,
                            TargetFleetActions &actions)
{
    const bool isLargeFleet = isLarge(target.fleet_);
    for (const auto &[vm, peer] : target.fleet_.peers_) {
        const bool isSameGroup = peer.listed_.role_ == Role::Target
            && peer.listed_.group_ == target.group_ && !peer.listed_.address_.empty();
        const bool isDirectPeer =
            !isLargeFleet || peer.listed_.dataCentre_ == target.fleet_.dataCentre_;
        if (isSameGroup && isDirectPeer)
            actions.emplace_back(AddressedMessage{peer.listed_.address_, load});
    }
}

} // namespace eelgrasscove
