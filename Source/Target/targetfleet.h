#pragma once

/// What a target process hears and tells of its peers: its load, the VM list and the rules. Free
/// functions over plain structs: each input appends the actions that the caller carries out.

#include "DataCentre/loadreport.h"
#include "DataCentre/rulespread.h"
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
    RuleSpread spread_;
    LoadSender sender_;
    /// Entries that have spoken, by address.
    std::map<std::string, Time> speakers_;
    Time createdAt_;
    bool spreadStarted_ = false;
    Time nextSpreadTick_;
    Duration listPeriod_ = Duration(0);
};

using TargetFleetAction = std::variant<AddressedMessage, AdoptRules, WatchPlatformRules,
                                       ReadPlatformRules, StretchVmList>;
using TargetFleetActions = std::vector<TargetFleetAction>;

TargetFleet makeTargetFleet(const Settings &settings, Incarnation incarnation, Time now);

/// Takes in a message; false where the door has to see it too.
bool takeFleetMessage(TargetFleet &target, const Envelope &envelope, Time now,
                      TargetFleetActions &actions);

/// Answers an entry that lacks the full report that load reports change.
void answerFullReportRequest(TargetFleet &target, const Envelope &envelope, const Heartbeat &load,
                             TargetFleetActions &actions);

void takeFleetVmList(TargetFleet &target, const VmList &list, Time now,
                     TargetFleetActions &actions);

void takeFleetRules(TargetFleet &target, const StoredRules &rules, Time now,
                    TargetFleetActions &actions);

/// Goes on with the spreading of rules and of drain marks.
void tickTargetFleet(TargetFleet &target, Time now, TargetFleetActions &actions);

/// Tells the load. Called each heartbeat period, and at once where the door asks for it.
void tellLoad(TargetFleet &target, const Heartbeat &load, Time now, TargetFleetActions &actions);

/// Tells the strikes to the other targets of the group; in a large fleet to those at home, as
/// summaries carry them across.
void tellStrikes(const TargetFleet &target, const Heartbeat &load, TargetFleetActions &actions);

} // namespace eelgrasscove
