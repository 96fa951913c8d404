#pragma once

/// How load travels: a target process tells the entries of its data centre what changed since its
/// last full heartbeat; entries tell other data centres a summary. Periods stretch with the number
/// of senders, so that what a process receives stays within its share of the control budget.

#include "DataCentre/fleet.h"

#include <eelgrasscove/messages.h>

#include <cstddef>
#include <optional>
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
};

/// What a target process remembers of its own reports.
struct LoadSender
{
    std::uint64_t number_ = 0;
    std::optional<Heartbeat> full_;
};

/// The next report: a load report where it says all that changed, else a full heartbeat.
Message nextReport(LoadSender &sender, const Heartbeat &current, const LoadReportPolicy &policy);

/// The report to a peer that asked for a full one.
Heartbeat fullReport(LoadSender &sender, const Heartbeat &current);

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

/// Silence after which a peer gets no work at that period.
Duration silenceFor(Duration period, const LoadReportPolicy &policy,
                    const FleetPolicy &fleetPolicy);

/// The load of this data centre, by group.
DataCentreSummary summaryOf(const Fleet &fleet, Revision rulesRevision,
                            const LoadReportPolicy &policy, Time now);

/// Where load reports go: the entries of this data centre.
std::vector<std::string> reportAddresses(const Fleet &fleet);

/// Entries of other data centres that this entry sends the summary to: each of them hears from one
/// entry of every other data centre, by rendezvous hashing.
std::vector<std::string> summaryAddresses(const Fleet &fleet, Time now);

} // namespace eelgrasscove
