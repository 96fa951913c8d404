#pragma once

/// Simulates rule distribution in virtual time with the functions of the daemon. The simulated
/// network has latency, message loss and partitions.

#include "DataCentre/ruledistribution.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrasscove::sim {

struct SimOptions
{
    std::size_t processes_ = 10;
    std::size_t dataCentres_ = 13;
    std::size_t regions_ = 5;
    /// One in this number of processes of a data centre is an entry.
    std::size_t entryEvery_ = 4;
    /// Fraction of messages lost.
    double lossFraction_ = 0;
    Duration heartbeatPeriod_ = std::chrono::milliseconds(250);
    Duration tickPeriod_ = std::chrono::milliseconds(250);
    /// Heartbeats as in a fleet too large for a full mesh: to a few peers of the own data centre,
    /// and summaries to other data centres.
    bool hasSparseHeartbeats_ = false;
    /// Without heartbeats, a revision reaches processes by pushes only.
    bool hasHeartbeats_ = true;
    /// Number of watchers that receive a change before the platform becomes unavailable. The
    /// default is unlimited and leaves the platform available.
    std::size_t notifiedWatchers_ = SIZE_MAX;
    RuleDistributionPolicy policy_;
    std::uint64_t seed_ = 1;
};

struct SimProcess
{
    RuleDistribution spread_;
    std::size_t dataCentre_ = 0;
    std::vector<std::size_t> heartbeatsTo_;
    bool up_ = true;
    std::uint32_t run_ = 1;
    std::optional<Time> newestRevisionAt_;
    std::uint64_t bytesOut_ = 0;
    std::uint64_t bytesIn_ = 0;
};

struct SimCounts
{
    /// Rule messages; heartbeats are not counted.
    std::uint64_t messages_ = 0;
    std::uint64_t crossDataCentreMessages_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t platformReads_ = 0;
    /// Maximum number of platform reads in one second.
    std::uint64_t maxPlatformReadsPerSecond_ = 0;
};

/// A violated invariant; empty text if there is none.
struct SimFault
{
    std::string text_;
};

struct SimEvent
{
    enum class Kind {
        Heartbeats,
        Tick,
        Deliver,
        PlatformUpdate,
        PlatformReply,
        Start,
    };

    Time at_;
    std::uint64_t order_ = 0;
    Kind kind_ = Kind::Tick;
    std::size_t process_ = 0;
    std::uint32_t run_ = 0;
    std::size_t from_ = 0;
    Revision revision_;
    std::shared_ptr<const Message> message_;

    bool operator<(const SimEvent &other) const
    {
        return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
    }
};

class RuleDistributionSim
{
public:
    explicit RuleDistributionSim(const SimOptions &options);

    /// Starts or restarts a process with an empty state.
    void start(std::size_t process, Duration after = Duration(0));
    void stop(std::size_t process);
    /// Sets revision 1 as adopted and settled in every process.
    void preload(const std::string &text);
    /// Publishes the next revision on the platform and notifies the watchers.
    void publishRevision(const std::string &text);
    void setPlatformUp(bool up);
    /// All reads of the platform return this earlier revision until it is reset.
    void setStaleReads(std::optional<Revision> revision) { staleRead_ = revision; }
    void setDataCentrePartitioned(std::size_t dataCentre, bool isCut);
    void setRegionsPartitioned(std::size_t left, std::size_t right, bool isPartitioned);
    void setLoss(double loss) { options_.lossFraction_ = loss; }
    /// Recomputes the set of live processes.
    void refreshView();
    void runFor(Duration span);
    /// Runs until every live process holds the newest revision, at most for the span. Returns
    /// whether all hold it.
    bool runUntilAllHoldNewest(Duration span);

    std::vector<SimProcess> &processes() { return processes_; }
    const SimCounts &counts() const { return counts_; }
    void resetCounts();
    Time now() const { return now_; }
    Revision newestRevision() const { return {texts_.size()}; }
    std::size_t countHolders(Revision revision) const;
    const SimFault &fault() const { return fault_; }
    bool platformUp() const { return platformUp_; }
    std::size_t regionOf(std::size_t dataCentre) const { return dataCentre % options_.regions_; }

private:
    void selectFullMeshPeers(std::size_t process);
    void selectFewPeers(std::size_t process);
    void push(SimEvent event);
    void handle(const SimEvent &event);
    void sendHeartbeats(std::size_t process);
    void executeActions(std::size_t process, DistributionActions actions);
    void send(std::size_t from, std::size_t to, std::shared_ptr<const Message> message);
    bool isDelivered(std::size_t from, std::size_t to);
    void deliver(const SimEvent &event);
    void readPlatform(std::size_t process);
    void deliverPlatformReply(const SimEvent &event);
    void checkAdoption(SimProcess &process, const StoredRules &rules);
    /// Returns the arrival time of a message sent now; a link preserves the order of its
    /// messages.
    Time arrivalTime(std::size_t from, std::size_t to);
    Duration latency(std::size_t from, std::size_t to);
    double nextFraction();
    std::size_t indexOf(const VmName &vm) const;

    SimOptions options_;
    std::vector<SimProcess> processes_;
    DistributionView view_;
    std::priority_queue<SimEvent> events_;
    std::unordered_map<std::size_t, Time> lastArrivals_;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t random_ = 0;
    Time now_ = Time(std::chrono::hours(1));
    /// Texts of revisions 1, 2, ...
    std::vector<std::string> texts_;
    bool platformUp_ = true;
    std::optional<Revision> staleRead_;
    std::set<std::size_t> cutDataCentres_;
    std::set<std::size_t> cutRegionPairs_;
    SimCounts counts_;
    std::uint64_t readsInSecond_ = 0;
    std::int64_t readSecond_ = -1;
    SimFault fault_;
};

/// Returns the size of a message on the wire, with an estimate of the overhead of the codec.
std::size_t wireBytes(const Message &message);

/// Returns a rule file with the given number of routes; versions differ in the adapter version of
/// one route each.
std::string rulesText(std::size_t routes, std::uint64_t version);

} // namespace eelgrasscove::sim
