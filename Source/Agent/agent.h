#pragma once

/// The program beside an engine: the only one that gives it orders, and the one that tells entries
/// how it stands.
///
/// As it always runs on the engine's own VM, no second holder ever exists, so no election and no
/// lease is needed; a restart takes a higher fencing number from the store before its first order.

#include "Agent/residencyplan.h"
#include "Net/datagramsocket.h"
#include "Net/httpcaller.h"
#include "Observe/textserver.h"
#include "Peer/peermessages.h"
#include "Vm/servingsettings.h"

namespace eelgrasscove {

class Agent
{
public:
    Agent(EventLoop &loop, ServingSettings settings);

    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    /// False where an address can't be listened on; the log says which.
    bool start();

private:
    struct HeardEntry
    {
        Endpoint address_;
        Time at_;
        std::uint64_t knownResidency_ = 0;
        Time toldAt_;
        /// The load has changed since then.
        bool changed_ = false;
    };

    void takeFence();
    void readLimits();
    void poll();
    void takeReport(const std::optional<HttpAnswer> &answer);
    void askIdentity();
    void order();
    void takeOrderAnswer(const wire::EngineOrder &order, const std::optional<HttpAnswer> &answer);
    void onDatagram(std::string_view bytes, const Endpoint &from);
    void tellEntries(bool urgent, bool loadChanged);
    EngineState stateFor(const HeardEntry &entry);
    void schedulePoll();

    EventLoop &loop_;
    ServingSettings settings_;
    Endpoint store_;
    DatagramSocket socket_;
    TextServer metrics_;
    HttpCaller storeCaller_;
    HttpCaller engineCaller_;
    HttpCaller orderCaller_;
    std::optional<EngineLimits> limits_;
    std::uint64_t fence_ = 0;
    std::string targetId_;
    wire::EngineReport report_;
    ResidencyPlan plan_;
    std::map<std::string, HeardEntry> entries_;
    /// Part of the latest streams of all entries that were late.
    double lateRatio_ = 0;
    std::uint64_t number_ = 0;
    std::uint64_t residency_ = 0;
    std::size_t listsHash_ = 0;
    TimerId pollTimer_ = 0;
    Time modelOrderedAt_;
    /// The engine's last refusal of an order.
    Time refusedAt_;
    std::uint32_t failedPolls_ = 0;
    bool up_ = false;
    bool polling_ = false;
    bool ordering_ = false;
    bool leaving_ = false;
};

/// Runs the program; the exit code.
int runAgent(int argc, char **argv);

} // namespace eelgrasscove
