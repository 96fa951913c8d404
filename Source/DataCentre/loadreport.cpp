#include "DataCentre/loadreport.h"

#include "DataCentre/rendezvous.h"

#include <algorithm>
#include <map>

namespace eelgrasscove {

namespace {

using ResidentIndex = std::map<AdapterKey, std::uint32_t>;

ResidentIndex makeResidentIndex(const std::vector<ResidentAdapter> &residents)
{
    ResidentIndex index;
    for (const ResidentAdapter &resident : residents)
        index[resident.adapter_] = resident.running_;
    return index;
}

/// Returns whether the fields that a load report does not carry are equal.
bool equalExceptLoad(const Heartbeat &left, const Heartbeat &right)
{
    const auto sameCrashCount = [](const Strike &one, const Strike &other) {
        return one.fingerprint_ == other.fingerprint_ && one.count_ == other.count_;
    };
    return left.role_ == right.role_ && left.dataCentre_ == right.dataCentre_
        && left.group_ == right.group_ && left.batchSlots_ == right.batchSlots_
        && left.adapterSlots_ == right.adapterSlots_
        && std::equal(left.strikes_.begin(), left.strikes_.end(), right.strikes_.begin(),
                      right.strikes_.end(), sameCrashCount);
}

void addResidentChanges(LoadReport &report, const std::vector<ResidentAdapter> &before,
                        const std::vector<ResidentAdapter> &after)
{
    const ResidentIndex old = makeResidentIndex(before);
    const ResidentIndex current = makeResidentIndex(after);
    for (const ResidentAdapter &resident : after) {
        const auto found = old.find(resident.adapter_);
        if (found == old.end() || found->second != resident.running_)
            report.changes_.push_back(
                {resident.adapter_.adapter_, resident.adapter_.version_, resident.running_, false});
    }
    for (const ResidentAdapter &resident : before) {
        if (!current.contains(resident.adapter_))
            report.changes_.push_back(
                {resident.adapter_.adapter_, resident.adapter_.version_, 0, true});
    }
}

std::vector<ResidentAdapter> applyResidentChanges(const std::vector<ResidentAdapter> &full,
                                                  const LoadReport &report)
{
    ResidentIndex index = makeResidentIndex(full);
    for (const ResidentChange &change : report.changes_) {
        const AdapterKey adapter = {change.adapter_, change.version_};
        if (change.gone_) {
            index.erase(adapter);
        } else {
            index[adapter] = change.running_;
        }
    }
    std::vector<ResidentAdapter> residents;
    for (const auto &[adapter, running] : index)
        residents.push_back({adapter, running});
    return residents;
}

std::uint32_t freeSlots(const Heartbeat &heartbeat)
{
    const std::uint32_t used = heartbeat.running_ + heartbeat.queued_;
    return heartbeat.batchSlots_ > used ? heartbeat.batchSlots_ - used : 0;
}

void keepFreestSpares(std::vector<SpareTarget> &spares, std::size_t count)
{
    std::stable_sort(spares.begin(), spares.end(),
                     [](const SpareTarget &left, const SpareTarget &right) {
                         return left.freeSlots_ > right.freeSlots_;
                     });
    if (spares.size() > count)
        spares.resize(count);
}

void addToGroup(GroupSummary &group, const VmName &vm, const Peer &peer)
{
    const Heartbeat &heartbeat = peer.heartbeat_;
    group.group_ = heartbeat.group_;
    ++group.targets_;
    group.batchSlots_ += heartbeat.batchSlots_;
    group.running_ += heartbeat.running_;
    group.queued_ += heartbeat.queued_;
    const std::uint32_t free = freeSlots(heartbeat);
    if (free > 0)
        group.spares_.push_back({vm, peer.incarnation_, peer.listed_.address_, free});
}

/// Returns whether a change must be reported at once instead of with the next periodic report.
bool isUrgent(const Heartbeat &sent, const Heartbeat &current)
{
    return sent.leaving_ != current.leaving_ || sent.engineUp_ != current.engineUp_
        || sent.rulesRevision_ != current.rulesRevision_;
}

std::size_t countTargets(const Fleet &fleet, const DataCentreName &dataCentre)
{
    std::size_t targets = 0;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool isCounted =
            peer.listed_.role_ == Role::Target && peer.listed_.dataCentre_ == dataCentre;
        targets += isCounted ? 1 : 0;
    }
    return targets;
}

/// Returns the addresses of entries whose message version on the current link includes load
/// reports.
std::set<std::string> reportCapableAddresses(const Fleet &fleet)
{
    std::set<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.role_ == Role::Entry && peer.version_ >= loadReportVersion)
            addresses.insert(peer.listed_.address_);
    }
    return addresses;
}

void addReports(std::vector<AddressedMessage> &messages, LoadReportState &sender,
                const Fleet &fleet, const std::set<std::string> &extraAddresses,
                const Heartbeat &current, const LoadReportPolicy &policy)
{
    const std::vector<std::string> entryAddresses = reportAddresses(fleet);
    std::set<std::string> addresses(entryAddresses.begin(), entryAddresses.end());
    addresses.insert(extraAddresses.begin(), extraAddresses.end());
    const std::set<std::string> reportCapable = reportCapableAddresses(fleet);
    const Message report = makeNextReport(sender, current, policy);
    for (const std::string &address : addresses)
        messages.push_back({address, reportCapable.contains(address) ? report : Message(current)});
}

/// Returns the region that the list gives for any VM of the data centre.
RegionName regionOf(const Fleet &fleet, const DataCentreName &dataCentre)
{
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.dataCentre_ == dataCentre && !peer.listed_.region_.empty())
            return peer.listed_.region_;
    }
    return {};
}

/// Updates the contact time and state of a summary's sender, which sends this process nothing else.
void updateSummarySender(Fleet &fleet, const Envelope &envelope, Revision rulesRevision, Time now)
{
    const auto found = fleet.peers_.find(envelope.from_);
    if (found == fleet.peers_.end() || envelope.incarnation_ < found->second.incarnation_)
        return;
    Peer &peer = found->second;
    if (envelope.incarnation_ > peer.incarnation_)
        peer.heartbeat_ = {};
    peer.incarnation_ = envelope.incarnation_;
    peer.version_ = envelope.version_;
    peer.lastContactAt_ = now;
    peer.heartbeat_.rulesRevision_ = rulesRevision;
}

/// Applies the state that a summary gives for one spare. Reports that the spare itself sent within
/// the silence time-out take precedence.
void applySpare(Fleet &fleet, const DataCentreSummary &summary, const GroupSummary &group,
                const SpareTarget &spare, Time expiresAt, Time now)
{
    if (spare.vm_ == fleet.self_)
        return;
    Peer &peer = fleet.peers_[spare.vm_];
    if (spare.incarnation_ < peer.incarnation_)
        return;
    peer.spareExpiresAt_ = expiresAt;
    const bool hasDirectReports =
        spare.incarnation_ == peer.incarnation_ && hasRecentContact(fleet, peer, now);
    if (hasDirectReports)
        return;
    if (spare.incarnation_ > peer.incarnation_)
        peer.heartbeat_ = {};
    peer.incarnation_ = spare.incarnation_;
    peer.listed_.vm_ = spare.vm_;
    peer.listed_.dataCentre_ = summary.dataCentre_;
    peer.listed_.role_ = Role::Target;
    peer.listed_.group_ = group.group_;
    peer.listed_.address_ = spare.address_;
    peer.linkUp_ = fleet.linkedAddresses_.contains(spare.address_);
    if (peer.listed_.region_.empty())
        peer.listed_.region_ = regionOf(fleet, summary.dataCentre_);
    Heartbeat &load = peer.heartbeat_;
    load.role_ = Role::Target;
    load.dataCentre_ = summary.dataCentre_;
    load.group_ = group.group_;
    load.engineUp_ = true;
    load.batchSlots_ = std::max(group.batchSlots_ / std::max(group.targets_, 1U), spare.freeSlots_);
    load.running_ = load.batchSlots_ - spare.freeSlots_;
    load.queued_ = 0;
}

bool isLeaving(const Peer &peer)
{
    return peer.listed_.leaving_ || peer.heartbeat_.leaving_;
}

} // namespace

Heartbeat makeFullReport(LoadReportState &sender, const Heartbeat &current)
{
    Heartbeat full = current;
    full.number_ = ++sender.number_;
    sender.lastFull_ = full;
    return full;
}

std::vector<Message> repeatFullReport(LoadReportState &sender, const Heartbeat &current,
                                      const LoadReportPolicy &policy)
{
    if (!sender.lastFull_)
        return {current};
    const Heartbeat full = *sender.lastFull_;
    LoadReportState updated = sender;
    Message report = makeNextReport(updated, current, policy);
    // A new full report would have to go to all receivers. This peer gets the current load in an
    // unnumbered heartbeat instead, until the next full report.
    if (std::holds_alternative<Heartbeat>(report))
        return {full, current};
    sender.number_ = updated.number_;
    return {full, std::move(report)};
}

std::vector<AddressedMessage> makeTargetReports(LoadReportState &sender, const Fleet &fleet,
                                                const std::set<std::string> &extraAddresses,
                                                const Heartbeat &current,
                                                const LoadReportPolicy &policy, Time now)
{
    std::vector<AddressedMessage> messages;
    if (now >= sender.nextReportAt_ || isUrgent(sender.lastSent_, current)) {
        addReports(messages, sender, fleet, extraAddresses, current, policy);
        sender.lastSent_ = current;
        const std::size_t senders = countTargets(fleet, fleet.dataCentre_) + 1;
        sender.nextReportAt_ = now + reportPeriod(senders, policy);
    }
    if (now < sender.nextHeartbeatsAt_)
        return messages;
    sender.nextHeartbeatsAt_ = now + fleet.policy_.localHeartbeatPeriod_;
    for (std::string &address : heartbeatAddresses(fleet))
        messages.push_back({std::move(address), current});
    return messages;
}

Message makeNextReport(LoadReportState &sender, const Heartbeat &current,
                       const LoadReportPolicy &policy)
{
    if (!sender.lastFull_ || !equalExceptLoad(*sender.lastFull_, current))
        return makeFullReport(sender, current);
    if (sender.number_ - sender.lastFull_->number_ >= policy.maxReportsPerFullHeartbeat_)
        return makeFullReport(sender, current);
    LoadReport report;
    addResidentChanges(report, sender.lastFull_->residents_, current.residents_);
    if (report.changes_.size() > current.residents_.size() / 2 + 1)
        return makeFullReport(sender, current);
    report.number_ = ++sender.number_;
    report.base_ = sender.lastFull_->number_;
    report.leaving_ = current.leaving_;
    report.engineUp_ = current.engineUp_;
    report.rulesRevision_ = current.rulesRevision_;
    report.queued_ = current.queued_;
    report.running_ = current.running_;
    return report;
}

LoadReportResult applyLoadReport(Fleet &fleet, const Envelope &envelope, const LoadReport &report,
                                 Time now)
{
    const auto found = fleet.peers_.find(envelope.from_);
    if (found == fleet.peers_.end() || !found->second.lastContactAt_)
        return LoadReportResult::NeedsFull;
    Peer &peer = found->second;
    if (envelope.incarnation_ < peer.incarnation_)
        return LoadReportResult::Ignored;
    const bool isSameIncarnation = envelope.incarnation_ == peer.incarnation_;
    if (!isSameIncarnation || report.base_ > peer.heartbeat_.number_)
        return LoadReportResult::NeedsFull;
    if (report.base_ < peer.heartbeat_.number_ || report.number_ <= peer.lastReportNumber_)
        return LoadReportResult::Ignored;
    peer.lastContactAt_ = now;
    peer.lastReportNumber_ = report.number_;
    peer.heartbeat_.leaving_ = peer.heartbeat_.leaving_ || report.leaving_;
    peer.heartbeat_.engineUp_ = report.engineUp_;
    peer.heartbeat_.rulesRevision_ = report.rulesRevision_;
    peer.heartbeat_.queued_ = report.queued_;
    peer.heartbeat_.running_ = report.running_;
    peer.heartbeat_.residents_ = applyResidentChanges(peer.baseResidents_, report);
    return LoadReportResult::Applied;
}

Duration reportPeriod(std::size_t senders, const LoadReportPolicy &policy)
{
    const std::size_t bytes = senders * policy.maxReportBytes_;
    const auto micros =
        static_cast<std::int64_t>(bytes * 1000000 / policy.maxReceivedBytesPerSecond_);
    return std::max(policy.minPeriod_, Duration(micros));
}

Duration silenceTimeoutFor(Duration period, const LoadReportPolicy &policy,
                           const FleetPolicy &fleetPolicy)
{
    return std::max(fleetPolicy.silenceTimeout_, policy.silenceTimeoutPeriods_ * period);
}

void updateSilenceTimeout(Fleet &fleet, const LoadReportPolicy &policy)
{
    fleet.reportSilenceTimeout_ = Duration(0);
    if (!isLarge(fleet))
        return;
    std::map<DataCentreName, std::size_t> targets;
    std::size_t maxTargets = 0;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.role_ == Role::Target)
            maxTargets = std::max(maxTargets, ++targets[peer.listed_.dataCentre_]);
    }
    const Duration period =
        std::max(reportPeriod(maxTargets, policy), fleet.policy_.localHeartbeatPeriod_);
    fleet.reportSilenceTimeout_ = silenceTimeoutFor(period, policy, fleet.policy_);
}

void applySummary(Fleet &fleet, const Envelope &envelope, const DataCentreSummary &summary,
                  const LoadReportPolicy &policy, Time now)
{
    if (summary.dataCentre_ == fleet.dataCentre_)
        return;
    updateSummarySender(fleet, envelope, summary.rulesRevision_, now);
    for (auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.dataCentre_ == summary.dataCentre_)
            peer.spareExpiresAt_.reset();
    }
    const Time expiresAt = now + policy.spareExpiryPeriods_ * policy.summaryPeriod_;
    for (const GroupSummary &group : summary.groups_) {
        for (const SpareTarget &spare : group.spares_)
            applySpare(fleet, summary, group, spare, expiresAt, now);
    }
}

std::vector<std::string> unlinkedSpares(const Fleet &fleet, const TargetGroup &group, Time now)
{
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool spare = peer.spareExpiresAt_ && now <= *peer.spareExpiresAt_ && !isLeaving(peer);
        if (spare && !peer.linkUp_ && peer.heartbeat_.group_ == group)
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

DataCentreSummary makeSummary(const Fleet &fleet, Revision rulesRevision,
                              const LoadReportPolicy &policy, Time now)
{
    std::map<TargetGroup, GroupSummary> groups;
    for (const auto &[vm, peer] : fleet.peers_) {
        if (peer.listed_.dataCentre_ == fleet.dataCentre_ && acceptsWork(fleet, peer, now))
            addToGroup(groups[peer.heartbeat_.group_], vm, peer);
    }
    DataCentreSummary summary;
    summary.dataCentre_ = fleet.dataCentre_;
    summary.rulesRevision_ = rulesRevision;
    for (auto &[name, group] : groups) {
        keepFreestSpares(group.spares_, policy.maxSparesPerGroup_);
        summary.groups_.push_back(std::move(group));
    }
    return summary;
}

std::vector<std::string> reportAddresses(const Fleet &fleet)
{
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool isLocalEntry =
            peer.listed_.dataCentre_ == fleet.dataCentre_ && peer.listed_.role_ == Role::Entry;
        if (isLocalEntry)
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

std::vector<std::string> summaryAddresses(const Fleet &fleet, Time now)
{
    std::vector<VmName> senders = {fleet.self_};
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool isLocalEntry =
            peer.listed_.dataCentre_ == fleet.dataCentre_ && peer.listed_.role_ == Role::Entry;
        if (isLocalEntry && !isLeaving(peer) && hasRecentContact(fleet, peer, now))
            senders.push_back(vm);
    }
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool isRemoteEntry =
            peer.listed_.dataCentre_ != fleet.dataCentre_ && peer.listed_.role_ == Role::Entry;
        if (!isRemoteEntry || isLeaving(peer))
            continue;
        if (rendezvousRank(vm.text_, senders, 1).front() == fleet.self_)
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

} // namespace eelgrasscove
