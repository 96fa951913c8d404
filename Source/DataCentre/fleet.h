#pragma once

/// What a process knows of the others: the platform's lagging list joined with what the processes
/// say of themselves.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/platform.h>
#include <eelgrasscove/time.h>

#include <map>
#include <optional>
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
    std::optional<Time> lastHeard_;
    /// Its latest heartbeat.
    Heartbeat heartbeat_;
};

struct FleetPolicy
{
    /// A target process that has been silent for so long gets no new work.
    Duration silentAfter_ = std::chrono::seconds(2);
};

struct Fleet
{
    VmName self_;
    RegionName region_;
    DataCentreName dataCentre_;
    FleetPolicy policy_;
    std::map<VmName, Peer> peers_;
};

/// Takes in a reading of the platform's list. Peers that left it are kept while they still speak.
void takeVmList(Fleet &fleet, const VmList &list, Time now);

/// Takes in what a peer says of itself. A lower incarnation than known is ignored.
void takeHeartbeat(Fleet &fleet, const Envelope &envelope, const Heartbeat &heartbeat, Time now);

void takeLinkChange(Fleet &fleet, const std::string &address, bool up);

/// Whether new work may go to the peer now.
bool acceptsWork(const Fleet &fleet, const Peer &peer, Time now);

/// Addresses that this process should send its heartbeats to.
std::vector<std::string> heartbeatAddresses(const Fleet &fleet);

} // namespace eelgrasscove
