#pragma once

/// Keeps a process's view of all other processes, built from the platform's VM list, which lags
/// behind, and from the heartbeats and reports of the processes.

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

/// State of one other process of the system.
struct Peer
{
    ListedVm listed_;
    /// True if the latest reading of the platform's list, or a later VM update, contains it.
    bool isListed_ = false;
    bool linkUp_ = false;
    Incarnation incarnation_;
    /// Version of the messages it writes; 0 until a message arrives over the current link.
    std::uint32_t version_ = 0;
    std::optional<Time> lastContactAt_;
    /// Until this time it counts as live because a summary of its data centre listed it as a spare.
    std::optional<Time> spareExpiresAt_;
    /// Its latest heartbeat, updated by later load reports.
    Heartbeat heartbeat_;
    /// Residents in its latest full heartbeat, the base that load reports state changes against.
    std::vector<ResidentAdapter> baseResidents_;
    /// Number of the latest report that was applied.
    std::uint64_t lastReportNumber_ = 0;
};

struct FleetPolicy
{
    /// A target process that has sent nothing for longer than this gets no new work.
    Duration silenceTimeout_ = std::chrono::seconds(2);
    /// A peer that is not on the list is removed after this time without a message. It exceeds the
    /// lag of the list, so that a late message of an earlier incarnation is still compared with the
    /// newer incarnation and ignored.
    Duration unlistedPeerTimeout_ = std::chrono::minutes(5);
    /// With more peers than this, heartbeats only distribute revisions and go to a few peers of the
    /// own data centre; load is sent in load reports, and in summaries between data centres.
    std::size_t maxFullMeshPeers_ = 32;
    /// Number of those few peers.
    std::size_t localHeartbeatPeers_ = 8;
    /// Period of the heartbeats to those few peers.
    Duration localHeartbeatPeriod_ = std::chrono::seconds(2);
    /// A VM that others reported as leaving counts as leaving for this period, even if this
    /// process's own reading of the list shows otherwise, as that may be an older version of the
    /// list. The same holds for reported drain marks.
    Duration reportedLeavingPeriod_ = std::chrono::seconds(60);
    Duration reportedDrainsPeriod_ = std::chrono::seconds(90);
};

/// The drained VMs that one peer reported.
struct ReportedDrains
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
    /// Silence time-out derived from the period of load reports; applies where it is longer than
    /// the policy's.
    Duration reportSilenceTimeout_ = Duration(0);
    std::map<VmName, Peer> peers_;
    /// Addresses whose link is up, including those of peers that are not known yet.
    std::set<std::string> linkedAddresses_;
    /// The list or another process reports this process's own VM as leaving.
    bool isSelfListedLeaving_ = false;
    /// This process has read the list at least once.
    bool hasReadList_ = false;
    /// VMs that other processes reported as leaving or drained; see vmnews.h.
    std::map<VmName, Time> reportedLeavingUntil_;
    std::map<VmName, ReportedDrains> reportedDrains_;
    /// The drained VMs that this process read from the platform, and when it last sent them to
    /// others.
    std::vector<VmName> ownDrainedVms_;
    Time drainsSentAt_;
};

/// Applies a reading of the platform's list. Peers that are no longer on it are kept while they
/// still send messages. For a peer that counts as live, only the region and the leaving flag are
/// taken from the list, as the list lags behind.
void applyVmList(Fleet &fleet, const VmList &list, Time now);

/// Applies a peer's heartbeat. A lower incarnation than the known one is ignored, a higher one
/// replaces everything earlier heartbeats and reports stated. Within one incarnation, leaving is
/// final.
void applyHeartbeat(Fleet &fleet, const Envelope &envelope, const Heartbeat &heartbeat, Time now);

/// Returns whether the fleet has more peers than the policy allows for a full mesh.
bool isLarge(const Fleet &fleet);

/// Returns the time without messages after which a peer gets no new work.
Duration silenceTimeout(const Fleet &fleet);

/// Records the version of the messages that a known peer writes.
void recordMessageVersion(Fleet &fleet, const Envelope &envelope);

void applyLinkChange(Fleet &fleet, const std::string &address, bool up);

/// Returns whether a message of the peer arrived within the silence time-out.
bool hasRecentContact(const Fleet &fleet, const Peer &peer, Time now);

/// Returns whether a message of the peer arrived within the silence time-out, or a summary of its
/// data centre that lists it as a spare is still valid.
bool isKnownLive(const Fleet &fleet, const Peer &peer, Time now);

/// Returns whether new work may go to the peer now. A peer that the list shows as leaving gets none
/// even after a restart of its process, as the VM itself will be removed.
bool acceptsWork(const Fleet &fleet, const Peer &peer, Time now);

/// Returns the addresses that this process sends its heartbeats to: all peers with a known address,
/// or, in a fleet too large for a full mesh, only a few peers of its own data centre, selected by
/// rendezvous hashing. A target process of a large fleet leaves out entries, which get its load
/// reports.
std::vector<std::string> heartbeatAddresses(const Fleet &fleet);

} // namespace eelgrasscove
