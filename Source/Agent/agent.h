#pragma once

/// The agent process, which runs beside an engine, sends it all load and unload orders, and reports
/// its state to the entries.
///
/// The agent always runs on the engine's own VM, so there is never a second process that sends
/// orders to the same engine, and neither an election nor a lease is needed. After a restart the
/// agent acquires a higher fencing number from the store before its first order.

#include "Agent/pacefit.h"
#include "Agent/residencyplan.h"
#include "Net/datagramsocket.h"
#include "Net/httpcaller.h"
#include "Observe/textserver.h"
#include "Peer/streamorigin.h"
#include "Store/storeclient.h"
#include "Vm/servingsettings.h"

namespace eelgrasscove {

class Agent
{
public:
    Agent(EventLoop &loop, ServingSettings settings);

    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    /// Returns false if an address can't be listened on; the log states which.
    bool start();

private:
    struct KnownEntry
    {
        Endpoint address_;
        NameHash dataCentre_ = 0;
        Time lastContactAt_;
        /// Time of the last message with load requests.
        Time loadRequestedAt_;
        std::uint64_t knownResidencyNumber_ = 0;
    };

    /// What has been sent to the entries of one data centre.
    struct SentState
    {
        Time sentAt_;
        /// The engine's load has changed since then.
        bool hasLoadChanged_ = false;
        std::uint64_t messages_ = 0;
    };

    void acquireFencingNumber();
    void readLimits();
    void poll();
    void handleReport(const std::optional<HttpResponse> &response);
    void requestIdentity();
    void order();
    void handleOrderResponse(const wire::EngineOrder &order,
                             const std::optional<HttpResponse> &response);
    void handleDatagram(std::string_view bytes, const Endpoint &from);
    void handleLoadRequests(const EntryLoadRequests &message, const Endpoint &from);
    /// Keeps the origin of a stream, which may run at any target.
    void handleOriginReport(const StreamOriginReport &report);
    void handleOriginQuery(const StreamOriginQuery &query, const Endpoint &from);
    /// Takes an entry's first events into the fit of the engine's pace.
    void recordEventIntervals(const EntryLoadRequests &message);
    void sendStateToEntries(bool isUrgent, bool hasLoadChanged);
    /// Sends the state to the entries of a data centre if it is due.
    void sendStateToDataCentre(NameHash dataCentre, const std::vector<KnownEntry *> &entries,
                               bool isUrgent, Duration loadUpdatePause, Time now);
    EngineStateMessage makeState(bool hasLists);
    void schedulePoll();

    EventLoop &loop_;
    ServingSettings settings_;
    Endpoint store_;
    /// Hashes of the names of the VM and of the data centre.
    NameHash vm_ = 0;
    NameHash dataCentre_ = 0;
    DatagramSocket socket_;
    TextServer metrics_;
    StoreEra storeEra_;
    StoreClient storeClient_;
    HttpCaller engineClient_;
    HttpCaller orderClient_;
    std::optional<EngineLimits> limits_;
    std::uint64_t fencingNumber_ = 0;
    std::string targetId_;
    wire::EngineReport report_;
    ResidencyPlan plan_;
    std::map<std::string, KnownEntry> entries_;
    KeptOrigins origins_;
    std::map<NameHash, SentState> sentStates_;
    /// Fraction of the most recent streams, over all entries, that were late.
    double lateRatio_ = 0;
    PaceFit paceFit_;
    std::uint64_t stateNumber_ = 0;
    std::uint64_t residencyNumber_ = 0;
    std::size_t residencyHash_ = 0;
    TimerId pollTimer_ = 0;
    Time modelOrderedAt_;
    /// Time of the engine's last refusal of an order.
    Time orderRefusedAt_;
    std::uint32_t failedPolls_ = 0;
    bool isEngineUp_ = false;
    bool isPolling_ = false;
    bool isOrdering_ = false;
    bool isStopping_ = false;
};

/// Returns the fencing number of a revision: it rises with the revision, and with the era, in which
/// a restored store gives revisions out again. Eras above 2^13 - 1 count as that one, so that the
/// number stays exact in readers that hold numbers as double.
std::uint64_t fencingNumberOf(std::uint64_t storeEra, std::uint64_t revision);

/// Runs the agent process and returns its exit code.
int runAgent(int argc, char **argv);

} // namespace eelgrasscove
