#pragma once

/// The processes of one scenario: the stand-ins, from the beginning, and the system's own, as steps
/// start and end them.

#include "processes.h"
#include "scenario.h"

#include "StandIns/http.h"

#include <map>
#include <string>
#include <vector>

namespace scenarios {

/// Names of the stand-ins among the processes.
constexpr const char *platformName = "platform";

/// Addresses of one VM.
struct VmPorts
{
    unsigned short inbox_ = 0;
    unsigned short callers_ = 0;
    unsigned short observe_ = 0;
    /// The engine or the plain service.
    unsigned short target_ = 0;
};

/// A relay on one way into or out of one VM.
struct RelayPorts
{
    LinkKind kind_ = LinkKind::Link;
    std::string vm_;
    unsigned short listen_ = 0;
    unsigned short control_ = 0;
};

struct Fleet
{
    const Scenario *scenario_ = nullptr;
    std::string folder_;
    unsigned short platform_ = 0;
    std::map<std::string, VmPorts> ports_;
    std::vector<RelayPorts> relays_;
    /// By name: the VM's name for the system's process, "NAME.target" for the target beside it.
    std::map<std::string, ChildProcess> processes_;
    /// What the platform lists, by VM; absent once removed.
    std::map<std::string, std::string> listStates_;
};

/// Secret of the key digests, in every entry's settings and the tool's.
std::string digestSecret();

/// Starts the stand-ins. Empty on success, else what went wrong.
std::string startStandIns(Fleet &fleet);

/// Starts the system's process on a VM. Empty on success, else what went wrong.
std::string startDaemon(Fleet &fleet, const std::string &vm);

/// The process of a VM; null before its start.
ChildProcess *daemonOf(Fleet &fleet, const std::string &vm);

/// Settings of a VM's process, as INI.
std::string settingsText(const Fleet &fleet, const VmDeclaration &vm);

/// Settings of the operators' tool: it asks the processes that run.
std::string operatorSettingsText(Fleet &fleet);

/// {"vms":[...]} as the platform is to list them.
std::string vmListText(const Fleet &fleet);

/// The relay on this way; null where no step touches it.
const RelayPorts *relayOn(const Fleet &fleet, LinkKind kind, const std::string &vm);

/// Where an entry takes callers, and where a process tells its state.
standins::HostPort callersOf(const Fleet &fleet, const std::string &entry);
standins::HostPort observeOf(const Fleet &fleet, const std::string &vm);

/// Kills whatever still runs.
void killAll(Fleet &fleet);

} // namespace scenarios
