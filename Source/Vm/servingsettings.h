#pragma once

/// Settings of the serving programs, eelgrasscove-edge and eelgrasscove-agent.

#include "Vm/settings.h"

#include <eelgrasscove/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrasscove {

/// Bounds that the operator promises to clients; the defaults are the usual deployment's.
struct ServingBounds
{
    /// A withdrawn key must not be served for longer.
    Duration revoke_ = std::chrono::seconds(5);
    /// Requests may reach a leaving target for so long after its leaving was announced.
    Duration drain_ = std::chrono::seconds(2);
    /// Time between SIGTERM and SIGKILL.
    Duration grace_ = std::chrono::seconds(8);
    /// An announced adapter version replaces the older one within this time.
    Duration version_ = std::chrono::seconds(5);
    /// Sends beyond the first of each request, as a share of a service's requests in a window, and
    /// the number allowed on top of that share.
    double retryShare_ = 0.2;
    Duration retryWindow_ = std::chrono::seconds(10);
    double retrySlack_ = 50;
    /// Span over which an account's tokens are counted.
    Duration allowanceWindow_ = std::chrono::seconds(8);
    /// Tokens that may run beyond an account's limit in a window.
    double allowanceSlack_ = 0;
    /// Time after the store's acknowledgement of an evacuation within which requests may still
    /// reach targets of the data centre. Without it, evacuations are ignored.
    std::optional<Duration> evacuation_;
};

struct ServingSettings
{
    std::string vm_;
    std::string dataCentre_;
    std::string ip_;
    /// The regions of the data centres, by data centre.
    std::map<std::string, std::string> regions_;
    /// Memory that the process may use.
    double memoryMb_ = 256;
    /// Address for clients, and for the load balancer's question whether this VM is ready.
    std::string callersListen_;
    std::string readinessListen_;
    /// Address for datagrams between the system's own VMs; the port is the same on all.
    std::string peersListen_;
    std::string metricsListen_;
    /// The platform's store.
    std::string store_;
    /// Agent only: the engine on the same VM, and its service.
    std::string engine_;
    std::string engineService_;
    ServingBounds bounds_;
};

/// Reads INI text; the settings, or all faults with their lines.
Result<ServingSettings, std::vector<SettingsError>> parseServingSettings(const std::string &text,
                                                                         const std::string &file);

/// Reads the file; a file that can't be read is a fault too.
Result<ServingSettings, std::vector<SettingsError>> readServingSettings(const std::string &file);

/// The faults as lines "FILE:LINE: MESSAGE; REMEDY".
std::string settingsFaultsText(const std::vector<SettingsError> &faults);

} // namespace eelgrasscove
