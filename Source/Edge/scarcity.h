#pragma once

/// Decides which requests of a service wait for the benefit of more urgent ones that wait for room
/// at any entry, and predicts waits over all entries. Pure functions: no clock, I/O or threads.
///
/// Each entry orders its own queue only. Without knowledge of the other queues, an entry sends less
/// urgent requests to slots that become free while more urgent ones wait elsewhere. Entries
/// therefore report what waits at them, and each derives a threshold from its own queue and the
/// valid reports: the most urgent priority that lacks room. As many of the less urgent requests as
/// the more urgent ones need slots then use only targets that keep a part of their slots free. The
/// threshold delays requests; it never refuses one.

#include "Peer/peermessages.h"

#include <eelgrasscove/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace eelgrasscove {

struct ScarcitySettings
{
    /// Time for which the rows of a peer are valid: three intervals of the messages between peers.
    Duration rowTimeout_ = std::chrono::milliseconds(600);
    /// A request lacks room once it has waited for this long: the interval of the messages.
    /// Requests that wait for less are mostly on time without help; holding others for them cost
    /// more than it gained with 4 entries.
    Duration minWait_ = std::chrono::milliseconds(200);
    /// Time without such a wait after which the threshold is relaxed by one priority. Two intervals
    /// of the messages, so that one lost message does not end it.
    Duration relaxAfter_ = std::chrono::milliseconds(400);
    /// Fraction of a target's slots that less urgent requests leave free.
    double reservedFraction_ = 0.2;
    /// Fraction of the less urgent requests that are never held, so that no priority starves.
    double minAdmittedFraction_ = 0.1;
    /// Less urgent requests are held in the proportion of the requests that lack room to those that
    /// all entries complete in this time: other entries don't know yet of the slots that became
    /// free in it. Where more are held, slots stay idle. With 100 ms, fewer urgent requests
    /// were on time with 22 entries, and no more with 4.
    Duration slotNoticeTime_ = std::chrono::milliseconds(50);
    /// A request is held for at most this fraction of its maximum wait, so that none is refused for
    /// the threshold alone.
    double maxHoldFraction_ = 0.5;
};

/// The last report of a peer.
struct PeerRows
{
    Time receivedAt_;
    std::vector<WaitingRow> rows_;
};

struct ScarcityThreshold
{
    /// Requests of less urgent priorities are held.
    int priority_ = 0;
    /// Last time at which a request of this or a more urgent priority lacked room.
    Time lackedRoomAt_;
    /// Number of requests of this and more urgent priorities that lack room at all entries.
    std::size_t lacking_ = 0;
};

struct Scarcity
{
    ScarcitySettings settings_;
    /// What waits for room at this entry, by service and priority.
    std::vector<WaitingRow> ownRows_;
    std::map<NameHash, PeerRows> peers_;
    /// Thresholds by service; a service without one holds no requests.
    std::map<NameHash, ScarcityThreshold> thresholds_;
};

/// A request for which a target has room.
struct HoldCandidate
{
    NameHash service_ = 0;
    int priority_ = 0;
    /// Fraction of the target's slots that are free.
    double freeFraction_ = 0;
    /// Requests of the service that all entries complete per second.
    double completionsPerSecond_ = 0;
    /// Random number in [0, 1) that is drawn once for the request.
    double draw_ = 0;
    Time arrivedAt_;
    /// The request is refused if it is still waiting at this time.
    Time waitUntil_;
};

/// Returns the row of a service and priority without requests.
WaitingRow makeWaitingRow(NameHash service, int priority);

/// Counts a request that waits for room in its row, as far as the row's numbers go.
void addWaiting(WaitingRow &row, Duration wait, const ScarcitySettings &settings);

/// Returns the rows to report to the peers, the most urgent ones if there are too many.
std::vector<WaitingRow> rowsToReport(const Scarcity &scarcity);

/// Replaces what waits at a peer. The caller drops messages that arrive out of order.
void applyPeerRows(Scarcity &scarcity, NameHash peer, std::vector<WaitingRow> rows, Time now);

/// Derives the thresholds from the rows, and drops rows that are no longer valid. Returns the
/// services whose threshold has changed.
std::vector<NameHash> updateThresholds(Scarcity &scarcity, Time now);

/// Returns the service's threshold, or empty if it has none.
std::optional<int> thresholdOf(const Scarcity &scarcity, NameHash service);

/// Returns the fraction of the requests below the threshold that are not held.
double admittedFraction(const Scarcity &scarcity, const ScarcityThreshold &threshold,
                        double completionsPerSecond);

/// Whether the request waits for the benefit of more urgent ones.
bool isHeldForUrgent(const Scarcity &scarcity, const HoldCandidate &candidate, Time now);

/// Requests that wait for room at all entries.
struct WaitingSum
{
    std::size_t waiting_ = 0;
    std::size_t lacking_ = 0;
};

/// Adds up the requests of this and more urgent priorities that wait for room at all entries.
WaitingSum waitingAtAll(const Scarcity &scarcity, NameHash service, int priority, Time now);

/// Estimates the requests per second that all entries together complete, from those of this entry
/// and the requests that run for it and for all entries. Never below the entry's own rate.
double completionsOfAll(double ownPerSecond, double ownRunning, double allRunning);

} // namespace eelgrasscove
