#pragma once

/// What a process knows of the others: the platform's lagging list joined with what the processes
/// say of themselves.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/platform.h>
#include <eelgrasscove/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

/// One other process of the system.
struct Peer
{
    ListedVm listed_;
    /// In the latest reading of the platform's list.
    bool onList_ = false;
    bool linkUp_ = false;
    Incarnation incarnation_;
    /// Version of its messages; 0 until it speaks on the present link.
    std::uint32_t version_ = 0;
    std::optional<Time> lastHeard_;
    /// Until when a summary of its data centre vouches for it.
    std::optional<Time> spareUntil_;
    /// Its latest heartbeat.
    Heartbeat heartbeat_;
    /// Residents as of its latest full heartbeat, which later load reports change.
    std::vector<ResidentAdapter> fullResidents_;
    /// Number of the latest report taken in.
    std::uint64_t reportNumber_ = 0;
};

struct FleetPolicy
{
    /// A target process that has been silent for so long gets no new work.
    Duration silentAfter_ = std::chrono::seconds(2);
    /// A peer that is off the list is forgotten after so long without a word. It is longer than the
    /// list lags, so that a late message of an earlier incarnation still meets its successor's.
    Duration forgetAfter_ = std::chrono::minutes(5);
    /// With more peers than this, heartbeats only carry revisions, to a few peers at home; load
    /// travels in load reports and between data centres in summaries.
    std::size_t fullMeshUpTo_ = 32;
    std::size_t heartbeatsHome_ = 8;
    /// Period of those few heartbeats.
    Duration fewHeartbeatsPeriod_ = std::chrono::seconds(2);
    /// A VM that others told to be leaving counts as leaving for so long, whatever a reading of its
    /// own says, as that may come from an older list; likewise for a drain mark that was told.
    Duration toldLeavingFor_ = std::chrono::seconds(60);
    Duration toldDrainsFor_ = std::chrono::seconds(90);
};

/// The drained VMs as one peer told them.
struct ToldDrains
{
    std::vector<VmName> vms_;
    Time at_;
};

struct Fleet
{
    VmName self_;
    RegionName region_;
    DataCentreName dataCentre_;
    Role selfRole_ = Role::Entry;
    FleetPolicy policy_;
    /// Silence that the period of load reports asks for, where it is longer than the policy's.
    Duration reportSilence_ = Duration(0);
    std::map<VmName, Peer> peers_;
    /// Addresses whose link is up, also those of peers not known yet.
    std::set<std::string> linksUp_;
    /// The list says that this process's own VM is leaving.
    bool selfListedLeaving_ = false;
    /// The list has been read here.
    bool listRead_ = false;
    /// What others told of the platform; see vmnews.h.
    std::map<VmName, Time> toldLeavingUntil_;
    std::map<VmName, ToldDrains> toldDrains_;
    /// The drained VMs as this process reads them, and when it last told them.
    std::vector<VmName> ownDrains_;
    Time drainsToldAt_;
};

/// Takes in a reading of the platform's list. Peers that left it are kept while they still speak.
/// Where a peer speaks for itself, the list, which lags, adds only its region and that it leaves.
void takeVmList(Fleet &fleet, const VmList &list, Time now);

/// Takes in what a peer says of itself. A lower incarnation than known is ignored, a higher one
/// replaces all that was said before. Within one incarnation, leaving is final.
void takeHeartbeat(Fleet &fleet, const Envelope &envelope, const Heartbeat &heartbeat, Time now);

/// Whether the fleet is above the policy's full mesh.
bool isLarge(const Fleet &fleet);

/// Silence after which a peer gets no new work.
Duration silentAfter(const Fleet &fleet);

/// Notes the version of messages that a known peer writes.
void noteVersion(Fleet &fleet, const Envelope &envelope);

void takeLinkChange(Fleet &fleet, const std::string &address, bool up);

/// Whether the peer has spoken within silentAfter().
bool heardLately(const Fleet &fleet, const Peer &peer, Time now);

/// Whether the peer has spoken lately, or a summary of its data centre still vouches for it.
bool knownLive(const Fleet &fleet, const Peer &peer, Time now);

/// Whether new work may go to the peer now. A peer that the list shows as leaving gets none even
/// after a restart: the VM goes, whatever its process says.
bool acceptsWork(const Fleet &fleet, const Peer &peer, Time now);

/// Addresses that this process should send its heartbeats to: all peers of its data centre and a
/// few of each other one, entries before target processes, by rendezvous hashing. In a fleet above
/// the policy's full mesh: a few at home only, and from a target process no entries, which get its
/// load reports.
std::vector<std::string> heartbeatAddresses(const Fleet &fleet);

} // namespace eelgrasscove
