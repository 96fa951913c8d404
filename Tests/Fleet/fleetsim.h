#pragma once

/// Simulates the entries and target processes of several data centres in virtual time. Each runs
/// the production decision code; messages between them may be lost.

#include "Caller/entry.h"
#include "Target/targetfleet.h"

#include <deque>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove::sim {

struct FleetSimOptions
{
    std::size_t dataCentres_ = 3;
    std::size_t entriesPerCentre_ = 3;
    /// Number of target processes in the first data centre, and in each of the others.
    std::size_t firstCentreTargets_ = 20;
    std::size_t otherCentreTargets_ = 5;
    double lossProbability_ = 0;
    std::uint64_t seed_ = 1;
    /// Name of an entry that acts as an older build: it handles heartbeats only, and sends none of
    /// its own.
    std::string oldEntry_;
    /// Whether messages are encoded in order to count their bytes.
    bool countsBytes_ = false;
};

struct FleetNode
{
    ListedVm vm_;
    bool isUp_ = true;
    Entry entry_;
    TargetFleet target_;
    Heartbeat load_;
    bool isWatching_ = false;
    Duration listPeriod_ = Duration(0);
    Time nextListReadAt_;
};

/// Messages and encoded bytes, transport headers included, that one node sent and received.
struct FleetTraffic
{
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

class FleetSim
{
public:
    explicit FleetSim(const FleetSimOptions &options);

    /// Advances the simulation by the span in steps of stepTime.
    void runFor(Duration span);

    void setListedLeaving(const std::string &name, bool leaving);
    void setDrained(const std::string &name, bool drained);
    /// Delivers a rules revision from the platform to one process.
    void deliverRules(const std::string &name, const StoredRules &rules);

    FleetNode &node(const std::string &name) { return nodes_.at(name); }
    std::map<std::string, FleetNode> &nodes() { return nodes_; }
    Fleet &fleetOf(FleetNode &node);
    RuleDistribution &spreadOf(FleetNode &node);
    Time now() const { return now_; }

    static constexpr Duration stepTime = std::chrono::milliseconds(250);
    static constexpr Duration listPeriod = std::chrono::seconds(1);
    /// The current VM list of the platform.
    VmList list_;
    std::map<std::string, FleetTraffic> traffic_;

private:
    struct Sent
    {
        std::string to_;
        Envelope envelope_;
    };

    void add(const std::string &dataCentre, Role role, std::size_t number);
    void step(FleetNode &node);
    void readList(FleetNode &node);
    void deliverAll();
    void deliver(FleetNode &node, Envelope envelope);
    void perform(FleetNode &node, EntryActions &actions);
    void perform(FleetNode &node, TargetFleetActions &actions);
    void send(const FleetNode &from, const std::string &address, const Message &message);
    bool drawLoss();

    FleetSimOptions options_;
    std::mt19937_64 random_;
    Time now_ = Time(std::chrono::hours(1));
    std::map<std::string, FleetNode> nodes_;
    std::deque<Sent> inFlight_;
};

} // namespace eelgrasscove::sim
