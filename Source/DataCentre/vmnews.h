#pragma once

/// How the processes of a data centre share their readings of the platform. In a large fleet each
/// reads the VM list rarely, at times of its own; whoever reads of a new or a leaving VM tells the
/// others. Who follows the operators' drain marks tells them in any fleet. News only adds: that a
/// VM has gone, or is live again, is believed from a process's own reading alone.

#include "DataCentre/fleet.h"
#include "DataCentre/rulespread.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrasscove {

/// Most rows that one message tells; the rest is left to the others' own readings.
constexpr std::size_t mostNewsRows = 64;

/// Read the VM list no more often than this.
struct StretchVmList
{
    Duration period_;
};

/// Time between a process's readings of the list that the fleet's size asks for; 0 in a small
/// fleet, where the settings alone say it.
Duration listPeriodFor(const Fleet &fleet, const VmList &list, const RuleSpreadPolicy &policy);

/// Whether peers and watchers can be chosen: the list has been read, or it doesn't come.
bool mayStartSpread(const Fleet &fleet, Time createdAt, Time now);

/// What a reading has that this process didn't know, VMs that leave first. Called before the
/// reading is taken in. Empty in a small fleet, where all read often, and at the first reading.
std::optional<VmNews> newsOf(const Fleet &fleet, const VmList &list);

/// The drained VMs as the reading of a process that follows the marks shows them; empty unless they
/// changed.
std::optional<VmNews> drainNews(Fleet &fleet, const VmList &list, Time now);

/// The drained VMs again, in time for those who have been told; empty where it isn't due.
std::optional<VmNews> drainNewsAgain(Fleet &fleet, Time now);

/// Called when this process ceases to follow the drain marks.
void forgetOwnDrains(Fleet &fleet);

/// Takes in what another process of the data centre tells.
void takeVmNews(Fleet &fleet, const Envelope &envelope, const VmNews &news, Time now);

/// Where news goes: all processes of this data centre.
std::vector<std::string> newsAddresses(const Fleet &fleet);

} // namespace eelgrasscove
