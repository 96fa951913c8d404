#pragma once

/// Rule spreading in virtual time: the same functions as in the daemon, joined by messages that
/// take time, get lost and meet cuts.

#include "DataCentre/rulespread.h"

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
    /// Every how many processes of a data centre one is an entry.
    std::size_t entryEvery_ = 4;
    /// Share of the messages lost.
    double loss_ = 0;
    Duration heartbeatPeriod_ = std::chrono::milliseconds(250);
    Duration tickPeriod_ = std::chrono::milliseconds(250);
    /// Heartbeats as in a fleet above the full mesh: to a few peers at home, and summaries across.
    bool fewHeartbeats_ = false;
    /// No heartbeats: shows what pushes alone reach.
    bool heartbeats_ = true;
    /// Platform watches reach this many watchers before the platform fails after a change.
    std::size_t watchersTold_ = SIZE_MAX;
    RuleSpreadPolicy policy_;
    std::uint64_t seed_ = 1;
};

struct SimProcess
{
    RuleSpread spread_;
    std::size_t dataCentre_ = 0;
    std::vector<std::size_t> heartbeatsTo_;
    bool up_ = true;
    std::uint32_t run_ = 1;
    std::optional<Time> reachedAt_;
    std::uint64_t bytesOut_ = 0;
    std::uint64_t bytesIn_ = 0;
};

struct SimCounts
{
    /// Rule messages, without heartbeats.
    std::uint64_t messages_ = 0;
    std::uint64_t messagesAcross_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t platformReads_ = 0;
    /// Most platform reads in one second.
    std::uint64_t platformReadsPeak_ = 0;
};

/// A fault that the checks found; empty text where there is none.
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
        PlatformNews,
        PlatformAnswer,
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

class SpreadSim
{
public:
    explicit SpreadSim(const SimOptions &options);

    /// Starts a process, or starts it again with nothing kept.
    void start(std::size_t process, Duration after = Duration(0));
    void stop(std::size_t process);
    /// Puts revision 1 into every process as if it had long been in force.
    void preload(const std::string &text);
    /// Operators accept the next revision.
    void accept(const std::string &text);
    void setPlatformUp(bool up);
    /// The next reading of the platform by anyone returns this earlier revision.
    void setStaleReads(std::optional<Revision> revision) { staleRead_ = revision; }
    void cut(std::size_t dataCentre, bool isCut);
    void cutRegions(std::size_t left, std::size_t right, bool isCut);
    void setLoss(double loss) { options_.loss_ = loss; }
    /// Recomputes which processes count as live.
    void refreshView();
    void runFor(Duration span);
    /// Runs until every live process holds the newest revision, or for the span.
    bool runUntilAllHave(Duration span);

    std::vector<SimProcess> &processes() { return processes_; }
    const SimCounts &counts() const { return counts_; }
    void resetCounts();
    Time now() const { return now_; }
    Revision newest() const { return {texts_.size()}; }
    std::size_t holding(Revision revision) const;
    const SimFault &fault() const { return fault_; }
    bool platformUp() const { return platformUp_; }
    std::size_t regionOf(std::size_t dataCentre) const { return dataCentre % options_.regions_; }

private:
    void chooseFullMesh(std::size_t process);
    void chooseFew(std::size_t process);
    void push(SimEvent event);
    void handle(const SimEvent &event);
    void sendHeartbeats(std::size_t process);
    void carryOut(std::size_t process, SpreadActions actions);
    void send(std::size_t from, std::size_t to, std::shared_ptr<const Message> message);
    bool reaches(std::size_t from, std::size_t to);
    void deliver(const SimEvent &event);
    void readPlatform(std::size_t process);
    void answerPlatform(const SimEvent &event);
    void checkAdoption(SimProcess &process, const StoredRules &rules);
    /// When a message sent now arrives; links keep the order of what they carry.
    Time arrival(std::size_t from, std::size_t to);
    Duration latency(std::size_t from, std::size_t to);
    double chance();
    std::size_t indexOf(const VmName &vm) const;

    SimOptions options_;
    std::vector<SimProcess> processes_;
    SpreadView view_;
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

/// Bytes of a message on the wire, by estimate of the codec's overhead.
std::size_t wireBytes(const Message &message);

/// A rule file with so many routes, and its next version with one route changed.
std::string rulesText(std::size_t routes, std::uint64_t version);

} // namespace eelgrasscove::sim
