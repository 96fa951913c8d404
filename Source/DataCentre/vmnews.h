#pragma once

/// Shares readings of the platform between the processes of a data centre. In a large fleet each
/// process reads the VM list rarely and at its own times, and reports new and leaving VMs to the
/// others. Processes that watch the operators' drain marks report these in a fleet of any size. VM
/// updates only add information: a VM is removed, or no longer leaving, only by a process's own
/// reading of the list.

#include "DataCentre/fleet.h"
#include "DataCentre/ruledistribution.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrasscove {

/// Maximum number of VMs in one update; the others find the rest in their own readings.
constexpr std::size_t maxUpdateRows = 64;

/// Action that sets the minimum time between readings of the VM list.
struct SetVmListPeriod
{
    Duration period_;
};

/// Returns the time between a process's readings of the list that the size of the fleet requires;
/// 0 in a small fleet, where the settings alone determine it.
Duration listPeriodFor(const Fleet &fleet, const VmList &list,
                       const RuleDistributionPolicy &policy);

/// Returns whether peers and watchers can be selected: the list has been read, or it has not
/// arrived within the maximum wait.
bool mayStartRuleDistribution(const Fleet &fleet, Time createdAt, Time now);

/// Returns the VMs of a reading that are new to this process or newly leaving, leaving VMs first.
/// Must be called before the reading is applied. Empty in a small fleet, where all processes read
/// often, and at the first reading.
std::optional<VmNews> makeVmUpdate(const Fleet &fleet, const VmList &list);

/// Returns the drained VMs in the reading of a process that watches the drain marks; empty unless
/// they changed.
std::optional<VmNews> updateOwnDrains(Fleet &fleet, const VmList &list, Time now);

/// Returns the drained VMs again, before the earlier report expires at its receivers; empty if the
/// repetition is not due.
std::optional<VmNews> repeatDrainUpdate(Fleet &fleet, Time now);

/// Clears the drained VMs read here. Called when this process stops watching the drain marks.
void clearOwnDrains(Fleet &fleet);

/// Applies the update of another process of the data centre.
void applyVmUpdate(Fleet &fleet, const Envelope &envelope, const VmNews &news, Time now);

/// Returns the addresses that updates go to: all processes of this data centre.
std::vector<std::string> vmUpdateAddresses(const Fleet &fleet);

} // namespace eelgrasscove
