#pragma once

/// How load travels: a target process tells the entries of its data centre what changed since its
/// last full heartbeat; entries tell other data centres a summary. Periods stretch with the number
/// of senders, so that what a process receives stays within its share of the control budget.

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
    /// Period where few processes report.
    Duration shortestPeriod_ = std::chrono::milliseconds(250);
    /// Bytes of load reports that one entry is meant to receive in a second.
    std::size_t receivedBytesPerSecond_ = std::size_t(10) * 1024;
    /// Most bytes that one report takes on the wire, headers of the transport included.
    std::size_t reportBytes_ = 360;
    /// A full heartbeat follows at the latest after so many reports.
    std::uint64_t reportsPerFull_ = 64;
    /// Silence is this many periods, and no less than the fleet's policy.
    int silentPeriods_ = 3;
    /// Period of summaries to other data centres.
    Duration summaryPeriod_ = std::chrono::seconds(3);
    /// Target processes that a summary names for each group.
    std::size_t sparesPerGroup_ = 2;
    /// A spare is taken for live so many summary periods after the summary that named it.
    int sparePeriods_ = 3;
};

/// A message for the process at this address.
struct AddressedMessage
{
    std::string address_;
    Message message_;
};

/// What a target process remembers of its own reports.
struct LoadSender
{
    std::uint64_t number_ = 0;
    std::optional<Heartbeat> full_;
    /// The latest load that was sent.
    Heartbeat sent_;
    Time nextReport_;
    Time nextFewHeartbeats_;
};

/// The next report: a load report where it says all that changed, else a full heartbeat.
Message nextReport(LoadSender &sender, const Heartbeat &current, const LoadReportPolicy &policy);

/// A full report, which later load reports change; it has to go to all receivers.
Heartbeat fullReport(LoadSender &sender, const Heartbeat &current);

/// What a peer needs that asked for a full report: the latest full one again and what has changed
/// since. The other receivers' reports go on unharmed.
std::vector<Message> fullReportAgain(LoadSender &sender, const Heartbeat &current,
                                     const LoadReportPolicy &policy);

/// What a target process of a large fleet has to send now: a report where one is due, or at once
/// when it leaves, its engine goes or comes, or new rules are in force; and few heartbeats. Entries
/// that are not known to take load reports, such as older builds, get a whole heartbeat instead.
/// speakers are addresses that reports also go to.
std::vector<AddressedMessage> targetReports(LoadSender &sender, const Fleet &fleet,
                                            const std::set<std::string> &speakers,
                                            const Heartbeat &current,
                                            const LoadReportPolicy &policy, Time now);

enum class ReportTaken {
    Taken,
    /// An old one, or of an earlier incarnation.
    Ignored,
    /// The heartbeat it changes is unknown here; ask for a full one.
    NeedsFull,
};

ReportTaken takeLoadReport(Fleet &fleet, const Envelope &envelope, const LoadReport &report,
                           Time now);

/// Time between reports where so many processes report to each entry.
Duration reportPeriod(std::size_t senders, const LoadReportPolicy &policy);

/// Sets the silence of the fleet by the period of reports in its largest data centre.
void adaptSilence(Fleet &fleet, const LoadReportPolicy &policy);

/// Silence after which a peer gets no work at that period.
Duration silenceFor(Duration period, const LoadReportPolicy &policy,
                    const FleetPolicy &fleetPolicy);

/// The load of this data centre, by group.
DataCentreSummary summaryOf(const Fleet &fleet, Revision rulesRevision,
                            const LoadReportPolicy &policy, Time now);

/// Takes in the summary of another data centre: the target processes it names may get work until
/// later summaries leave them out or stay away. They are known without their residents.
void takeSummary(Fleet &fleet, const Envelope &envelope, const DataCentreSummary &summary,
                 const LoadReportPolicy &policy, Time now);

/// Addresses of spares of the group that no link is up to.
std::vector<std::string> unlinkedSpares(const Fleet &fleet, const TargetGroup &group, Time now);

/// Where load reports go: the entries of this data centre.
std::vector<std::string> reportAddresses(const Fleet &fleet);

/// Entries of other data centres that this entry sends the summary to: each of them hears from one
/// entry of every other data centre, by rendezvous hashing.
std::vector<std::string> summaryAddresses(const Fleet &fleet, Time now);

} // namespace eelgrasscove
