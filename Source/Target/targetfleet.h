#pragma once

/// A target process's exchange with the other processes: its load, the VM list and the rules. Free
/// functions over plain structs: each input appends the actions that the caller has to perform.

#include "DataCentre/loadreport.h"
#include "DataCentre/ruledistribution.h"
#include "DataCentre/vmnews.h"
#include "Vm/settings.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

struct TargetFleet
{
    Fleet fleet_;
    TargetGroup group_;
    LoadReportPolicy policy_;
    RuleDistribution ruleDistribution_;
    LoadReportState loadReportState_;
    /// Time of the last message from each entry, by address.
    std::map<std::string, Time> entryContacts_;
    Time createdAt_;
    bool isDistributionStarted_ = false;
    Time nextDistributionTick_;
    Duration listPeriod_ = Duration(0);
};

using TargetFleetAction = std::variant<AddressedMessage, AdoptRules, WatchPlatformRules,
                                       ReadPlatformRules, SetVmListPeriod>;
using TargetFleetActions = std::vector<TargetFleetAction>;

TargetFleet makeTargetFleet(const Settings &settings, Incarnation incarnation, Time now);

/// Handles a message. Returns false if the target scheduler has to handle it as well.
bool handleFleetMessage(TargetFleet &target, const Envelope &envelope, Time now,
                        TargetFleetActions &actions);

/// Sends the full report again to an entry that lacks the one on which later load reports are
/// based.
void sendRequestedFullReport(TargetFleet &target, const Envelope &envelope, const Heartbeat &load,
                             TargetFleetActions &actions);

/// Applies a new reading of the VM list.
void applyFleetVmList(TargetFleet &target, const VmList &list, Time now,
                      TargetFleetActions &actions);

/// Applies the rules read from the platform.
void applyFleetRules(TargetFleet &target, const StoredRules &rules, Time now,
                     TargetFleetActions &actions);

/// Advances the distribution of rules and of drain marks.
void tickTargetFleet(TargetFleet &target, Time now, TargetFleetActions &actions);

/// Sends the load to the entries. Called each heartbeat period, and immediately if the target
/// scheduler requests it.
void sendLoad(TargetFleet &target, const Heartbeat &load, Time now, TargetFleetActions &actions);

/// Sends the crash counts to the other targets of the group; in a large fleet only to those in this
/// data centre, because summaries carry them to the others.
void sendCrashCountsToPeers(const TargetFleet &target, const Heartbeat &load,
                            TargetFleetActions &actions);

} // namespace eelgrasscove
