#pragma once

/// Distributes revisions of the rule file to all processes. A few watchers in each data centre read
/// the platform, a tree of pushes forwards what they read, and processes that a push missed detect
/// it by the revisions in heartbeats. A process adopts only higher revisions. Nothing here does
/// I/O: each input returns the actions that the caller executes.

#include "DataCentre/fleet.h"

#include <eelgrasscove/messages.h>
#include <eelgrasscove/platform.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// A process that takes part in rule distribution.
struct DistributionMember
{
    VmName vm_;
    DataCentreName dataCentre_;
    Role role_ = Role::Entry;
};

/// The live processes, including this one. Processes with the same members choose the same watchers
/// and the same tree.
struct DistributionView
{
    std::vector<DistributionMember> members_;
};

/// Processes on the VM list or with recent contact that are neither draining nor silent. Peers
/// without any contact yet count as live, as those of other data centres may never contact this
/// process.
DistributionView makeDistributionView(const Fleet &fleet, Role selfRole, Time now);

/// The processes of a data centre in the order of its tree: entries first, by rendezvous hashing.
std::vector<VmName> distributionOrder(const DistributionView &view,
                                      const DataCentreName &dataCentre);

/// The source from which a revision was received.
enum class RevisionSource {
    Platform,
    Peer,
};

struct RuleDistribution;

/// Chooses the peers that a newly adopted revision is pushed to.
using PushChoice = std::vector<VmName> (*)(const RuleDistribution &spread,
                                           const DistributionView &view, RevisionSource source);

/// The default choice: a tree in each data centre and one over the roots of these trees.
std::vector<VmName> treePushPeers(const RuleDistribution &spread, const DistributionView &view,
                                  RevisionSource source);

struct RuleDistributionPolicy
{
    PushChoice pushChoice_ = treePushPeers;
    std::size_t watchersPerDataCentre_ = 2;
    /// With at most this number of members, the process watches whatever its rank is.
    std::size_t maxMembersForWatchByAll_ = 0;
    /// Children of a node, both in the tree of a data centre and in the tree over data centres.
    std::size_t fanout_ = 4;
    std::size_t peersQueriedAtStart_ = 2;
    /// A request without a reply expires after this.
    Duration requestTimeout_ = std::chrono::seconds(1);
    /// Maximum wait for replies of peers at start before the held rules count as settled.
    Duration startMaximumWait_ = std::chrono::seconds(2);
    /// Upper bound of the random delay before a watcher's first read.
    Duration watcherJitter_ = std::chrono::milliseconds(200);
    /// Rate, over the whole system, of first reads by processes that got no rules from a peer.
    std::uint32_t startReadsPerSecond_ = 100;
    /// Average rate at which a process reads the VM list, and the size of one row.
    std::size_t listBytesPerSecond_ = std::size_t(4) * 1024;
    std::size_t vmListRowBytes_ = 170;
    /// Initial backoff between failed reads, doubled each time, and its cap.
    Duration initialBackoff_ = std::chrono::seconds(1);
    Duration maximumBackoff_ = std::chrono::seconds(60);
    /// Keyed routes are no longer served after this time without contact to any source of rules.
    Duration staleAfter_ = std::chrono::hours(4);
    std::size_t partBytes_ = std::size_t(16) * 1024;
    /// Maximum number of concurrent part requests.
    std::uint32_t maximumPendingParts_ = 4;
    /// Rate and burst limit of the parts that a process serves.
    std::size_t servedBytesPerSecond_ = std::size_t(1024) * 1024;
    std::size_t servedBurstBytes_ = std::size_t(256) * 1024;
    /// Size limit of the past deltas kept for peers that lag behind.
    std::size_t historyBytes_ = std::size_t(256) * 1024;
};

/// A part request without a reply yet.
struct PendingPartRequest
{
    std::uint32_t part_ = 0;
    Time requestedAt_;
};

/// A text that is being fetched in parts.
struct PartialRules
{
    Revision revision_;
    std::string digest_;
    std::vector<std::optional<std::string>> parts_;
    std::vector<PendingPartRequest> pendingParts_;
    /// Time of the latest part received. A fetch without progress is abandoned, as its holders may
    /// be down.
    Time progressAt_;
};

/// A request for newer rules without a reply yet.
struct PendingRulesRequest
{
    VmName peer_;
    Time requestedAt_;
};

struct RuleDistribution
{
    VmName self_;
    DataCentreName dataCentre_;
    RuleDistributionPolicy policy_;
    /// State of the random generator for jitter and for the choice of holders.
    std::uint64_t randomState_ = 0;

    /// The adopted rules; revision 0 if none have been adopted yet.
    Revision revision_;
    std::string text_;
    std::string digest_;
    std::deque<RulesDelta> history_;
    std::size_t historyBytes_ = 0;

    std::optional<PendingRulesRequest> pendingRequest_;
    std::optional<PartialRules> partial_;
    /// Peers known to hold the highest known revision.
    std::vector<VmName> holders_;
    Revision highestKnownRevision_;

    Time startedAt_;
    std::size_t startReplies_ = 0;
    bool settled_ = false;
    bool watching_ = false;
    bool platformReachable_ = false;
    std::optional<Time> nextReadAt_;
    std::uint32_t readsMade_ = 0;
    Time lastSourceContactAt_;

    std::size_t servedBudget_ = 0;
    Time servedBudgetUpdatedAt_;
};

/// Send the message to the peer.
struct SendToPeer
{
    VmName peer_;
    Message message_;
};

/// Apply this revision.
struct AdoptRules
{
    StoredRules rules_;
};

/// Read the rules from the platform once.
struct ReadPlatformRules
{
};

/// Start or stop watching the rules on the platform.
struct WatchPlatformRules
{
    bool on_ = false;
};

using DistributionAction =
    std::variant<SendToPeer, AdoptRules, ReadPlatformRules, WatchPlatformRules>;
using DistributionActions = std::vector<DistributionAction>;

/// Requests rules from peers and schedules the first read of the platform.
DistributionActions startRuleDistribution(RuleDistribution &spread, const DistributionView &view,
                                          Time now);

/// Handles rules from a read or a watch of the platform. Stale reads are harmless, as only higher
/// revisions are adopted.
DistributionActions handleStoredRules(RuleDistribution &spread, const DistributionView &view,
                                      const StoredRules &rules, Time now);

void recordPlatformReachable(RuleDistribution &spread, bool reachable, Time now);

/// Handles the revision in a peer's heartbeat.
DistributionActions handlePeerRevision(RuleDistribution &spread, const VmName &peer,
                                       Revision revision, Time now);

DistributionActions handleRulesRequest(RuleDistribution &spread, const VmName &peer,
                                       const RulesRequest &request, Time now);
DistributionActions handleRulesPartRequest(RuleDistribution &spread, const VmName &peer,
                                           const RulesPartRequest &request, Time now);
DistributionActions handleRulesText(RuleDistribution &spread, const DistributionView &view,
                                    const VmName &peer, const RulesText &rules, Time now);
DistributionActions handleRulesDelta(RuleDistribution &spread, const DistributionView &view,
                                     const VmName &peer, const RulesDelta &delta, Time now);
DistributionActions handleRulesPart(RuleDistribution &spread, const DistributionView &view,
                                    const VmName &peer, const RulesPart &part, Time now);

/// Handles any of the messages above from a peer; empty for messages of other types.
std::optional<DistributionActions> handleDistributionMessage(RuleDistribution &spread,
                                                             const Fleet &fleet,
                                                             const Envelope &envelope, Time now);

/// Called a few times per second. Expires late requests, starts or stops watching the platform, and
/// reads the platform if no peer has provided rules.
DistributionActions tickRuleDistribution(RuleDistribution &spread, const DistributionView &view,
                                         Time now);

/// Whether the held rules may be used: since the start, enough peers have replied or the maximum
/// wait has passed. Stays true from then on.
bool areRulesSettled(const RuleDistribution &spread);

/// The period at which a process reads the VM list from the platform: the shortest period, or
/// longer if the list would exceed the policy's byte rate.
Duration vmListReadPeriod(std::size_t listedVms, const RuleDistributionPolicy &policy,
                          Duration shortest);

/// Whether keyed routes may be served: rules are held, and the last contact to a source of rules
/// (the platform or any peer) is no older than the policy's limit.
bool canServeKeyedRoutes(const RuleDistribution &spread, Time now);

} // namespace eelgrasscove
