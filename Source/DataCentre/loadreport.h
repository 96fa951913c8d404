#pragma once

/// Distributes the load of target processes: a target process reports to the entries of its data
/// centre what changed since its last full heartbeat, and entries send a summary to other data
/// centres. Report periods grow with the number of senders, so that the bytes a process receives
/// stay within its share of the budget for control traffic.

#include "DataCentre/fleet.h"

#include <eelgrasscove/messages.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

struct LoadReportPolicy
{
    /// Period of reports while only few processes send them.
    Duration minPeriod_ = std::chrono::milliseconds(250);
    /// Load report bytes per second that one entry should receive at most.
    std::size_t maxReceivedBytesPerSecond_ = std::size_t(10) * 1024;
    /// Maximum size of one report on the wire, including transport headers.
    std::size_t maxReportBytes_ = 360;
    /// Maximum number of load reports between two full heartbeats.
    std::uint64_t maxReportsPerFullHeartbeat_ = 64;
    /// The silence time-out in report periods; it is never below that of the fleet policy.
    int silenceTimeoutPeriods_ = 3;
    /// Period of the summaries to other data centres.
    Duration summaryPeriod_ = std::chrono::seconds(3);
    /// Maximum number of target processes that a summary lists as spares per group.
    std::size_t maxSparesPerGroup_ = 2;
    /// Number of summary periods for which a spare counts as live after the summary that listed it.
    int spareExpiryPeriods_ = 3;
};

/// A message and the address of the process it goes to.
struct AddressedMessage
{
    std::string address_;
    Message message_;
};

/// State of the reports that a target process sends.
struct LoadReportState
{
    /// Number of the latest report.
    std::uint64_t number_ = 0;
    /// The latest full heartbeat, the base of load reports.
    std::optional<Heartbeat> lastFull_;
    /// The latest load that was sent, also the reference for urgent changes.
    Heartbeat lastSent_;
    Time nextReportAt_;
    Time nextHeartbeatsAt_;
};

/// Returns the next report: a load report where it can state all changes since the last full
/// heartbeat and the maximum number of load reports since then is not reached; otherwise a full
/// heartbeat.
Message makeNextReport(LoadReportState &sender, const Heartbeat &current,
                       const LoadReportPolicy &policy);

/// Returns a new full heartbeat, the base of later load reports. The caller must send it to all
/// receivers, which otherwise cannot apply those reports.
Heartbeat makeFullReport(LoadReportState &sender, const Heartbeat &current);

/// Returns the messages for a peer that requested a full report: the latest full heartbeat again
/// and the changes since. The base of the other receivers' reports stays valid.
std::vector<Message> repeatFullReport(LoadReportState &sender, const Heartbeat &current,
                                      const LoadReportPolicy &policy);

/// Returns the messages that a target process of a large fleet sends now. A report is sent when one
/// is due, or at once when the process starts to leave, its engine goes up or down, or new rules
/// are in force. Heartbeats to a few peers are added when due. Entries that are not known to handle
/// load reports, such as older builds, get a whole heartbeat instead. Reports also go to
/// extraAddresses.
std::vector<AddressedMessage> makeTargetReports(LoadReportState &sender, const Fleet &fleet,
                                                const std::set<std::string> &extraAddresses,
                                                const Heartbeat &current,
                                                const LoadReportPolicy &policy, Time now);

/// Result of applying a load report.
enum class LoadReportResult {
    Applied,
    /// The report is outdated, or of an earlier incarnation.
    Ignored,
    /// Its base heartbeat is not known here; the receiver must request a full report.
    NeedsFull,
};

LoadReportResult applyLoadReport(Fleet &fleet, const Envelope &envelope, const LoadReport &report,
                                 Time now);

/// Returns the time between reports if this number of processes reports to each entry.
Duration reportPeriod(std::size_t senders, const LoadReportPolicy &policy);

/// Sets the silence time-out of the fleet from the report period in the data centre with the most
/// target processes.
void updateSilenceTimeout(Fleet &fleet, const LoadReportPolicy &policy);

/// Returns the time without messages after which a peer gets no new work, for a report period.
Duration silenceTimeoutFor(Duration period, const LoadReportPolicy &policy,
                           const FleetPolicy &fleetPolicy);

/// Returns the load of this data centre by group.
DataCentreSummary makeSummary(const Fleet &fleet, Revision rulesRevision,
                              const LoadReportPolicy &policy, Time now);

/// Applies the summary of another data centre: the target processes it lists may get work until a
/// later summary omits them or no summary arrives in time. Their residents are not known.
void applySummary(Fleet &fleet, const Envelope &envelope, const DataCentreSummary &summary,
                  const LoadReportPolicy &policy, Time now);

/// Returns the addresses of the group's spares whose link is down.
std::vector<std::string> unlinkedSpares(const Fleet &fleet, const TargetGroup &group, Time now);

/// Returns the addresses that load reports go to: the entries of this data centre.
std::vector<std::string> reportAddresses(const Fleet &fleet);

/// Returns the addresses of the entries of other data centres that this entry sends its summary to.
/// Rendezvous hashing assigns each of them to one entry of every other data centre.
std::vector<std::string> summaryAddresses(const Fleet &fleet, Time now);

} // namespace eelgrasscove
