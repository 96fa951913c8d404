#pragma once

/// Entries and target processes of several data centres in virtual time, with their own decisions
/// and messages that may be lost.

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
    std::size_t entriesEach_ = 3;
    /// In the first data centre, and in each other one.
    std::size_t targetsHome_ = 20;
    std::size_t targetsElsewhere_ = 5;
    double loss_ = 0;
    std::uint64_t seed_ = 1;
    /// An entry of an older build: it knows heartbeats alone and speaks for itself alone.
    std::string oldEntry_;
    /// Whether messages are encoded to count their bytes.
    bool countsBytes_ = false;
};

struct FleetNode
{
    ListedVm vm_;
    bool up_ = true;
    Entry entry_;
    TargetFleet target_;
    Heartbeat load_;
    bool watching_ = false;
    Duration listPeriod_ = Duration(0);
    Time nextList_;
};

/// Bytes that one node sent and received, as the codec writes them.
struct FleetTraffic
{
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
};

class FleetSim
{
public:
    explicit FleetSim(const FleetSimOptions &options);

    /// Goes on in steps of stepTime.
    void runFor(Duration span);

    void setListed(const std::string &name, bool leaving);
    void setDrained(const std::string &name, bool drained);
    /// The platform tells one process of a revision.
    void giveRules(const std::string &name, const StoredRules &rules);

    FleetNode &node(const std::string &name) { return nodes_.at(name); }
    std::map<std::string, FleetNode> &nodes() { return nodes_; }
    Fleet &fleetOf(FleetNode &node);
    RuleSpread &spreadOf(FleetNode &node);
    Time now() const { return now_; }

    static constexpr Duration stepTime = std::chrono::milliseconds(250);
    static constexpr Duration listPeriod = std::chrono::seconds(1);
    /// What the platform shows.
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
    bool lost();

    FleetSimOptions options_;
    std::mt19937_64 random_;
    Time now_ = Time(std::chrono::hours(1));
    std::map<std::string, FleetNode> nodes_;
    std::deque<Sent> underWay_;
};

} // namespace eelgrasscove::sim
