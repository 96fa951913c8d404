#include "DataCentre/loadreport.h"

#include "DataCentre/rendezvous.h"

#include <algorithm>
#include <map>

namespace eelgrasscove {

namespace {

using ResidentIndex = std::map<AdapterKey, std::uint32_t>;

ResidentIndex indexOf(const std::vector<ResidentAdapter> &residents)
{
    ResidentIndex index;
    for (const ResidentAdapter &resident : residents)
        index[resident.adapter_] = resident.running_;
    return index;
}

/// What a load report doesn't carry.
bool sameBesidesLoad(const Heartbeat &left, const Heartbeat &right)
{
    const auto sameStrike = [](const Strike &one, const Strike &other) {
        return one.fingerprint_ == other.fingerprint_ && one.count_ == other.count_;
    };
    return left.role_ == right.role_ && left.dataCentre_ == right.dataCentre_
        && left.group_ == right.group_ && left.batchSlots_ == right.batchSlots_
        && left.adapterSlots_ == right.adapterSlots_
        && std::equal(left.strikes_.begin(), left.strikes_.end(), right.strikes_.begin(),
                      right.strikes_.end(), sameStrike);
}

void addChanges(LoadReport &report, const std::vector<ResidentAdapter> &before,
                const std::vector<ResidentAdapter> &after)
{
    const ResidentIndex old = indexOf(before);
    const ResidentIndex current = indexOf(after);
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

std::vector<ResidentAdapter> changedResidents(const std::vector<ResidentAdapter> &full,
                                              const LoadReport &report)
{
    ResidentIndex index = indexOf(full);
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

void keepBestSpares(std::vector<SpareTarget> &spares, std::size_t count)
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

bool leaving(const Peer &peer)
{
    return peer.listed_.leaving_ || peer.heartbeat_.leaving_;
}

} // namespace

Heartbeat fullReport(LoadSender &sender, const Heartbeat &current)
{
    Heartbeat full = current;
    full.number_ = ++sender.number_;
    sender.full_ = full;
    return full;
}

Message nextReport(LoadSender &sender, const Heartbeat &current, const LoadReportPolicy &policy)
{
    if (!sender.full_ || !sameBesidesLoad(*sender.full_, current))
        return fullReport(sender, current);
    if (sender.number_ - sender.full_->number_ >= policy.reportsPerFull_)
        return fullReport(sender, current);
    LoadReport report;
    addChanges(report, sender.full_->residents_, current.residents_);
    if (report.changes_.size() > current.residents_.size() / 2 + 1)
        return fullReport(sender, current);
    report.number_ = ++sender.number_;
    report.base_ = sender.full_->number_;
    report.leaving_ = current.leaving_;
    report.engineUp_ = current.engineUp_;
    report.rulesRevision_ = current.rulesRevision_;
    report.queued_ = current.queued_;
    report.running_ = current.running_;
    return report;
}

ReportTaken takeLoadReport(Fleet &fleet, const Envelope &envelope, const LoadReport &report,
                           Time now)
{
    const auto found = fleet.peers_.find(envelope.from_);
    if (found == fleet.peers_.end() || !found->second.lastHeard_)
        return ReportTaken::NeedsFull;
    Peer &peer = found->second;
    if (envelope.incarnation_ < peer.incarnation_)
        return ReportTaken::Ignored;
    const bool sameRun = envelope.incarnation_ == peer.incarnation_;
    if (!sameRun || report.base_ > peer.heartbeat_.number_)
        return ReportTaken::NeedsFull;
    if (report.base_ < peer.heartbeat_.number_ || report.number_ <= peer.reportNumber_)
        return ReportTaken::Ignored;
    peer.lastHeard_ = now;
    peer.reportNumber_ = report.number_;
    peer.heartbeat_.leaving_ = peer.heartbeat_.leaving_ || report.leaving_;
    peer.heartbeat_.engineUp_ = report.engineUp_;
    peer.heartbeat_.rulesRevision_ = report.rulesRevision_;
    peer.heartbeat_.queued_ = report.queued_;
    peer.heartbeat_.running_ = report.running_;
    peer.heartbeat_.residents_ = changedResidents(peer.fullResidents_, report);
    return ReportTaken::Taken;
}

Duration reportPeriod(std::size_t senders, const LoadReportPolicy &policy)
{
    const std::size_t bytes = senders * policy.reportBytes_;
    const auto micros = static_cast<std::int64_t>(bytes * 1000000 / policy.receivedBytesPerSecond_);
    return std::max(policy.shortestPeriod_, Duration(micros));
}

Duration silenceFor(Duration period, const LoadReportPolicy &policy, const FleetPolicy &fleetPolicy)
{
    return std::max(fleetPolicy.silentAfter_, policy.silentPeriods_ * period);
}

DataCentreSummary summaryOf(const Fleet &fleet, Revision rulesRevision,
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
        keepBestSpares(group.spares_, policy.sparesPerGroup_);
        summary.groups_.push_back(std::move(group));
    }
    return summary;
}

std::vector<std::string> reportAddresses(const Fleet &fleet)
{
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool entryHere =
            peer.listed_.dataCentre_ == fleet.dataCentre_ && peer.listed_.role_ == Role::Entry;
        if (entryHere)
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

std::vector<std::string> summaryAddresses(const Fleet &fleet, Time now)
{
    std::vector<VmName> senders = {fleet.self_};
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool entryHere =
            peer.listed_.dataCentre_ == fleet.dataCentre_ && peer.listed_.role_ == Role::Entry;
        if (entryHere && !leaving(peer) && heardLately(fleet, peer, now))
            senders.push_back(vm);
    }
    std::vector<std::string> addresses;
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool entryElsewhere =
            peer.listed_.dataCentre_ != fleet.dataCentre_ && peer.listed_.role_ == Role::Entry;
        if (!entryElsewhere || leaving(peer))
            continue;
        if (rendezvousRank(vm.text_, senders, 1).front() == fleet.self_)
            addresses.push_back(peer.listed_.address_);
    }
    return addresses;
}

} // namespace eelgrasscove
