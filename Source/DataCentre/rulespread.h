#pragma once

/// How revisions of the rule file reach every process: a few watchers in each data centre read the
/// platform, a tree of pushes carries what they read, and revisions in heartbeats find whoever was
/// missed. A process adopts only higher revisions. Nothing here does I/O: each input returns the
/// actions that the caller carries out.

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

/// One process that may spread rules.
struct SpreadMember
{
    VmName vm_;
    DataCentreName dataCentre_;
    Role role_ = Role::Entry;
};

/// The live processes, this one included. All that see the same members choose the same watchers
/// and the same tree.
struct SpreadView
{
    std::vector<SpreadMember> members_;
};

/// Processes on the list or heard of that neither leave nor have fallen silent. Peers not heard yet
/// count as live: those of other data centres may never be heard here.
SpreadView spreadViewOf(const Fleet &fleet, Role selfRole, Time now);

/// The processes of a data centre in the order of its tree: entries first, by rendezvous hashing.
std::vector<VmName> spreadOrder(const SpreadView &view, const DataCentreName &dataCentre);

/// Where the news of a revision came from.
enum class NewsSource {
    Platform,
    Peer,
};

struct RuleSpread;

/// Chooses the peers that a newly adopted revision is pushed to.
using PushChoice = std::vector<VmName> (*)(const RuleSpread &spread, const SpreadView &view,
                                           NewsSource source);

/// The choice in use: a tree in each data centre and one over the data centres' first places.
std::vector<VmName> treePushTargets(const RuleSpread &spread, const SpreadView &view,
                                    NewsSource source);

struct RuleSpreadPolicy
{
    PushChoice pushChoice_ = treePushTargets;
    std::size_t watchersPerDataCentre_ = 2;
    /// Where there are no more members than this, the process watches whatever its place is.
    std::size_t everyoneWatchesUpTo_ = 0;
    /// Peers that a process pushes to in its data centre's tree, and data centres in the tree
    /// above.
    std::size_t fanout_ = 4;
    /// Peers asked at start.
    std::size_t peersAskedAtStart_ = 2;
    /// A request without an answer is given up after this.
    Duration requestTimeout_ = std::chrono::seconds(1);
    /// Time that peers have to answer at start before the rules held count as settled.
    Duration startWait_ = std::chrono::seconds(2);
    /// Watchers' first reading is spread over this.
    Duration watcherJitter_ = std::chrono::milliseconds(200);
    /// First readings of processes that no peer could help, over the whole system.
    std::uint32_t startReadsPerSecond_ = 100;
    /// Bytes of the VM list that a process reads in a second on average, and bytes of one row.
    std::size_t listBytesPerSecond_ = std::size_t(4) * 1024;
    std::size_t listedVmBytes_ = 170;
    /// Backoff between readings that failed, doubled each time, and its cap.
    Duration firstBackoff_ = std::chrono::seconds(1);
    Duration lastBackoff_ = std::chrono::seconds(60);
    /// Keyed routes stop being served after so long without any source of rules.
    Duration staleAfter_ = std::chrono::hours(4);
    std::size_t partBytes_ = std::size_t(16) * 1024;
    /// Parts asked for at a time.
    std::uint32_t partsAtOnce_ = 4;
    /// Bytes of parts that a process serves, per second and at once.
    std::size_t servedBytesPerSecond_ = std::size_t(1024) * 1024;
    std::size_t servedBytesAtOnce_ = std::size_t(256) * 1024;
    /// Past deltas kept for peers that lag, in bytes.
    std::size_t historyBytes_ = std::size_t(256) * 1024;
};

/// A part that was asked for.
struct PartAsked
{
    std::uint32_t part_ = 0;
    Time askedAt_;
};

/// A text that is being fetched in parts.
struct PartialRules
{
    Revision revision_;
    std::string digest_;
    std::vector<std::optional<std::string>> parts_;
    std::vector<PartAsked> asked_;
    /// When the latest part came; a text whose holders have gone is given up.
    Time progressAt_;
};

/// A request for news that has no answer yet.
struct RulesAsked
{
    VmName peer_;
    Time askedAt_;
};

struct RuleSpread
{
    VmName self_;
    DataCentreName dataCentre_;
    RuleSpreadPolicy policy_;
    /// State of the generator that spreads calls over time.
    std::uint64_t seed_ = 0;

    /// The rules in force here; revision 0 where none were adopted yet.
    Revision revision_;
    std::string text_;
    std::string digest_;
    std::deque<RulesDelta> history_;
    std::size_t historyBytes_ = 0;

    std::optional<RulesAsked> asked_;
    std::optional<PartialRules> partial_;
    /// Peers known to hold the highest revision heard of.
    std::vector<VmName> holders_;
    Revision highestHeard_;

    Time startedAt_;
    std::size_t startAnswers_ = 0;
    bool settled_ = false;
    bool watching_ = false;
    bool platformReachable_ = false;
    std::optional<Time> nextRead_;
    std::uint32_t readsMade_ = 0;
    Time lastSource_;

    std::size_t servedBudget_ = 0;
    Time servedAt_;
};

/// Send the message to the peer.
struct SendToPeer
{
    VmName peer_;
    Message message_;
};

/// Put this revision in force.
struct AdoptRules
{
    StoredRules rules_;
};

/// Read the rules from the platform once.
struct ReadPlatformRules
{
};

/// Begin or end watching the platform's rules.
struct WatchPlatformRules
{
    bool on_ = false;
};

using SpreadAction = std::variant<SendToPeer, AdoptRules, ReadPlatformRules, WatchPlatformRules>;
using SpreadActions = std::vector<SpreadAction>;

/// Asks peers for their rules and plans the first reading of the platform.
SpreadActions startSpread(RuleSpread &spread, const SpreadView &view, Time now);

/// What the platform's service holds, from a reading or a watch. Stale readings do no harm.
SpreadActions takeStoredRules(RuleSpread &spread, const SpreadView &view, const StoredRules &rules,
                              Time now);

void takePlatformReachable(RuleSpread &spread, bool reachable, Time now);

/// The revision in a peer's heartbeat.
SpreadActions takePeerRevision(RuleSpread &spread, const VmName &peer, Revision revision, Time now);

SpreadActions takeRulesRequest(RuleSpread &spread, const VmName &peer, const RulesRequest &request,
                               Time now);
SpreadActions takeRulesPartRequest(RuleSpread &spread, const VmName &peer,
                                   const RulesPartRequest &request, Time now);
SpreadActions takeRulesText(RuleSpread &spread, const SpreadView &view, const VmName &peer,
                            const RulesText &rules, Time now);
SpreadActions takeRulesDelta(RuleSpread &spread, const SpreadView &view, const VmName &peer,
                             const RulesDelta &delta, Time now);
SpreadActions takeRulesPart(RuleSpread &spread, const SpreadView &view, const VmName &peer,
                            const RulesPart &part, Time now);

/// Any of the messages above from a peer; empty for messages of other kinds.
std::optional<SpreadActions> takeSpreadMessage(RuleSpread &spread, const Fleet &fleet,
                                               const Envelope &envelope, Time now);

/// Called a few times a second: gives up late requests, takes on or lays down the watcher's duty,
/// and reads the platform where no peer could help.
SpreadActions tickSpread(RuleSpread &spread, const SpreadView &view, Time now);

/// Whether peers have had their say since the start, so that the rules held may be used. It stays
/// true from then on.
bool rulesSettled(const RuleSpread &spread);

/// How often a process should read the platform's VM list of so many VMs: the shortest period, or
/// longer where the list would take more than the policy's bytes.
Duration vmListPeriod(std::size_t listedVms, const RuleSpreadPolicy &policy, Duration shortest);

/// Whether keyed routes may be served: rules are held, and some source of rules (the platform or
/// any peer) was heard within the policy's time.
bool servesKeyedRoutes(const RuleSpread &spread, Time now);

} // namespace eelgrasscove
