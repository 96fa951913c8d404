#pragma once

/// The program of an entry VM, which accepts client requests and forwards them to targets. The
/// Edge class does the I/O; the decisions are free functions in the other files of this folder.

#include "Edge/adapterdemand.h"
#include "Edge/adapterversions.h"
#include "Edge/brokenconnection.h"
#include "Edge/clientsession.h"
#include "Edge/crashsuspects.h"
#include "Edge/evacuation.h"
#include "Edge/fairshare.h"
#include "Edge/homes.h"
#include "Edge/keycheck.h"
#include "Edge/peercontact.h"
#include "Edge/placement.h"
#include "Edge/restoredentries.h"
#include "Edge/retrybudget.h"
#include "Edge/ruleindex.h"
#include "Edge/rulesage.h"
#include "Edge/scarcity.h"
#include "Edge/suspectstore.h"
#include "Edge/targetpool.h"
#include "Edge/targetprobe.h"
#include "Edge/tokenallowance.h"
#include "Edge/waitingorder.h"
#include "Net/datagramsocket.h"
#include "Observe/textserver.h"
#include "Peer/peermessages.h"
#include "Peer/storequeries.h"
#include "Peer/streamorigin.h"
#include "Store/leasedkeys.h"
#include "Store/registration.h"
#include "Store/storefeed.h"
#include "Vm/servingsettings.h"

#include <list>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace eelgrasscove {

/// The state of a target, the connections to it and this entry's use of it.
struct EdgeTarget
{
    explicit EdgeTarget(EventLoop &loop, const Endpoint &endpoint) : pool_(loop, endpoint) { }

    TargetState state_;
    TargetPool pool_;
    /// Time of the last sign that the target's process had ended.
    Time crashedAt_;
    /// In progress while set.
    std::unique_ptr<TargetProbe> probe_;
    /// Requests to load replicas of adapters ahead of demand, by adapter, each with the time at
    /// which it expires. Until then it is repeated in every message to the agent.
    std::map<std::string, Time> replicaLoadRequests_;
    /// Time of the last load request for each adapter.
    std::map<std::string, Time> loadRequestedAt_;
    /// Adapters used by requests sent to the target since the last message to its agent.
    std::set<NameHash> usedAdapters_;
    Time lastMessageSentAt_;
    /// Number of this entry's requests that run on the target, by adapter.
    std::map<NameHash, std::uint32_t> runningAdapters_;
    /// Streams of this entry that the target completed since the last message to its agent, and how
    /// many of them were late.
    std::uint16_t streams_ = 0;
    std::uint16_t lateStreams_ = 0;
    /// First events since the last message to its agent.
    EventIntervalSums eventIntervals_;
    /// A load that can't be read has been logged.
    bool isLoadFaultLogged_ = false;
};

enum class RequestStage {
    /// Queued until a target has room, has the adapter or becomes available.
    Waiting,
    /// Sent to a target; nothing of the response has been forwarded yet.
    Sent,
    /// The response is being forwarded to the client.
    Streaming,
    Ended,
};

constexpr NameTable<RequestStage, 4> requestStageNames = {{
    {RequestStage::Waiting, "waiting"},
    {RequestStage::Sent, "sent"},
    {RequestStage::Streaming, "streaming"},
    {RequestStage::Ended, "ended"},
}};

/// A client request, from its arrival to the end of its response.
struct EdgeRequest : std::enable_shared_from_this<EdgeRequest>
{
    std::weak_ptr<ClientSession> session_;
    HttpHead head_;
    std::string body_;
    std::string id_;
    RequestStage stage_ = RequestStage::Waiting;
    Time arrivedAt_;
    /// Deadline stated by the client, and end of the route's timeout.
    Time clientDeadline_;
    Time routeDeadline_;
    /// The response is late if it begins after this time.
    Time objectiveAt_;
    /// The request is refused if it is still queued after this time.
    Time waitUntil_;
    /// What a queued request waits for.
    PlacementKind waitReason_ = PlacementKind::None;
    /// Time since which the request has waited for room, if it does.
    Time awaitsRoomSince_;
    /// Queued although a target has room, for the benefit of more urgent requests.
    bool isHeldForUrgent_ = false;
    bool wasHeldForUrgent_ = false;
    std::uint64_t rulesVersion_ = 0;
    ServingRoute route_;
    std::string account_;
    std::string key_;
    /// Result of the last check of the key.
    KeyVerdict keyVerdict_ = KeyVerdict::Unchecked;
    int priority_ = 0;
    std::string service_;
    std::string model_;
    std::string adapter_;
    double tokens_ = 0;
    double promptTokens_ = 0;
    bool tokensCharged_ = false;
    RequestSuspects suspects_;
    /// A target went on writing its response or completed it, so the request crashes no targets.
    bool isKnownSound_ = false;
    /// Sent, or to be sent again after a target did not run it, as a trial of a held suspect.
    bool isTrial_ = false;
    /// Time of the first event of the current send.
    Time sendFirstEventAt_;
    /// Random number in [0, 1) that selects one of the services among which a route is shared.
    double serviceDraw_ = 0;
    /// Random number in [0, 1) that decides whether the request may be held for more urgent ones.
    double holdDraw_ = 0;

    // The current send to a target, and the sends so far.
    std::shared_ptr<EdgeTarget> target_;
    std::shared_ptr<TargetConnection> connection_;
    std::string awaitedTarget_;
    std::set<std::string> triedTargets_;
    Time sentAt_;
    /// Unread prompt tokens at the target at the time of the send, including this request's.
    double tokensAhead_ = 0;
    /// Predicted time to the first event of the send; zero where there was no prediction.
    Duration predictedFirstEvent_{};
    /// The request counts in the target's promptBacklog_.
    bool isInBacklog_ = false;
    /// Adapter version that the target was known to hold at the last send; 0 without an adapter.
    std::uint64_t adapterVersion_ = 0;
    /// Hash of the software version that the target was known to have at the last send; 0 if none.
    NameHash sentVersion_ = 0;
    /// Hash of the software version at which the stream began and at which alone it goes on; 0
    /// before its first event, or if the version is not known.
    NameHash streamVersion_ = 0;
    /// The stream that the request takes up, while it is asked which version began it.
    StreamHash stream_ = 0;
    std::optional<OriginLookup> originLookup_;
    int sends_ = 0;
    /// Number of sends that a target may have executed.
    int runs_ = 0;
    /// The response received so far.
    HttpHead response_;
    std::string responseBody_;
    bool responseHeadReceived_ = false;
    bool firstEventForwarded_ = false;
    /// Id of the last forwarded event; a resumed stream continues after it.
    std::string lastEventId_;
    Time firstEventAt_;
    Time lastEventAt_;
    /// Longest interval between two forwarded events.
    Duration longestPause_{};
    /// Milliseconds between forwarded events, of the first events of the stream.
    std::vector<float> eventIntervals_;
};

using EdgeRequestPtr = std::shared_ptr<EdgeRequest>;

class Edge
{
public:
    Edge(EventLoop &loop, ServingSettings settings, std::string settingsFile);

    Edge(const Edge &) = delete;
    Edge &operator=(const Edge &) = delete;

    /// Returns false if listening on one of the addresses fails; the log names the address.
    bool start();

private:
    // edge.cpp: start, shutdown and the state read from the store.
    void applyBounds();
    bool listen();
    void startFeeds();
    void startTimers();
    void recordLoopDelay(Duration delay);
    void onAccepted(std::shared_ptr<TcpStream> stream);
    void onTerminate();
    void onHangUp();
    void checkShutdown();
    /// Whether new requests are accepted; the last part of a shutdown is for those in progress.
    bool acceptsRequests(Time now) const;
    /// Whether accepted requests are still sent to targets.
    bool sendsRequests(Time now) const;
    /// Answers all requests that have not ended when the process stops.
    void endRemainingRequests();
    /// Voids the revisions of the store that are known from before its restoration.
    void onStoreRestored();
    /// Whether the rules that this entry read at its start are known not to be older than those of
    /// its peers, or the time for which that is waited for has passed. A store that states an era
    /// may have been restored just before.
    bool areRulesComparedWithPeers(Time now) const;
    /// Whether the store has lost rules that a peer knows.
    bool hasStoreLostRulesOf(const EntryState &peer) const;
    void applyOperatorItem(const wire::StoreItem &item);
    void applyRules(const std::string &text);
    void onUnreadableRules(std::string_view reason);
    void applyTargetItem(const wire::StoreItem &item);
    void applyTargetList(const std::vector<wire::StoreItem> &items);
    /// Removes a target that is no longer listed, or marks it as missing if it may be listed again.
    void applyTargetRemoval(const std::string &id, Time now);
    void markReplacedTargets(const TargetState &newer);
    void removeTarget(const std::string &id);
    void applyPeerItem(const wire::StoreItem &item);
    void applyPeerList(const std::vector<wire::StoreItem> &items);
    void removeDepartedPeers(Time now);
    /// Maximum time for which one watch request for the rules stays open at the store.
    Duration rulesWatchTimeout() const;
    void updatePeerList();
    std::set<std::string> peerNames() const;
    void removeMissingTargets(Time now);
    bool isReady(Time now) const;
    /// Time by which all changes of the operator's keys that can be read are known here.
    Time operatorChangesConfirmedAt() const;
    /// Time at which the rules were last known to be the newest.
    Time rulesConfirmedAt() const;
    /// Queries the store if the last confirmation is old or peers know changes that this entry
    /// doesn't know.
    void checkRulesConfirmation(Time now);
    /// Queries the target list beside the waiting watch, whose connection may be silent, if other
    /// entries know a change that it has not delivered, or if the last proof that nothing has
    /// changed is too old.
    void checkTargetList(Time now);
    /// Queries the list of entries if an entry that is not in it goes on sending messages: the
    /// connection of the waiting watch may be silent.
    void checkPeerList(NameHash unlistedPeer, Time now);
    void updateTargetListKnowledge();
    /// Records as metrics how old this entry's knowledge of the target list is.
    void recordTargetListAge(Time now) const;
    /// Hashes of the names of the entries from which messages have been received recently.
    std::vector<NameHash> peersInContact(Time now) const;
    /// Whether this entry queries the store on behalf of others.
    bool leadsStoreQueries(Time now) const;
    /// Whether the changes of the target list since the last watch are known not to matter.
    bool mayPostponeTargetWatch();
    /// Whether the listed target differs from what is known in more than its resident adapters.
    bool mattersToPlacement(const wire::StoreItem &item) const;

    // edgerequests.cpp: admission, queueing and placement of requests.
    void onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest &&request);
    /// Sets route, service and account from the current rules. Returns false if the request was
    /// refused.
    bool resolveRoute(EdgeRequest &request);
    bool checkKey(EdgeRequest &request, Time now);
    bool checkAllowance(EdgeRequest &request, Time now);
    void placeRequest(const EdgeRequestPtr &request);
    PlacementQuery makePlaceQuery(const EdgeRequest &request, Time now) const;
    /// Returns 0 where no version of the adapter has been named.
    std::uint64_t newestVersionOf(const std::string &adapter) const;
    /// Period for which the predecessors of a newly named adapter version may still be used.
    Duration versionOverlap() const;
    /// The same for the time at which requests begin at their targets.
    Duration versionBeginBound() const;
    void enqueueOrRefuse(const EdgeRequestPtr &request, const Placement &placement);
    void sendToTarget(const EdgeRequestPtr &request, const std::shared_ptr<EdgeTarget> &target,
                      Duration predictedFirstEvent);
    /// Counts a request that is being sent among its target's unread prompts.
    void addToBacklog(EdgeRequest &request, Duration predictedFirstEvent, Time now);
    /// Takes a request, which has begun or will not, out of its target's unread prompts.
    void removeFromBacklog(EdgeRequest &request);
    /// Whether the request, sent on an adapter version that has been replaced, may no longer begin.
    bool isOutdated(const EdgeRequest &request, Time now) const;
    /// Ends the send of an outdated request, and repeats it if it may be repeated.
    void withdrawOutdated(const EdgeRequestPtr &request, Time now);
    EngineModel &serviceModelOf(const std::string &service);
    std::string formatRequest(const EdgeRequest &request, const TargetState &target,
                              Time now) const;
    void placeWaitingRequests(const std::string &service, std::size_t maxRequests);
    /// Places up to maxRequests queued requests of the service that one of the targets can serve.
    void placeWaitingRequestsAt(const std::string &service,
                                const std::vector<std::shared_ptr<EdgeTarget>> &targets,
                                std::size_t maxRequests);
    void checkRequests(Time now);
    void refuse(EdgeRequest &request, unsigned status, std::string_view reason,
                Duration retryAfter);
    /// Refuses a request that another entry may be able to serve, and closes the connection so that
    /// the client connects anew.
    void refuseAndCloseConnection(EdgeRequest &request, std::string_view reason);
    void endRequest(EdgeRequest &request, unsigned status, std::string_view outcome);
    void removeFromQueue(const EdgeRequest &request);
    std::vector<TargetState *> targetStates(const std::string &service);
    std::shared_ptr<EdgeTarget> findTarget(const TargetState *state);

    // edgescarcity.cpp: the order of the queues and the shortage of room.
    /// The queued requests of the service, in the order in which placement is tried.
    std::vector<EdgeRequestPtr> sortedWaitingRequests(const std::string &service, Time now);
    /// The accounts that have used more than their fair share, by priority.
    std::map<int, std::set<std::string>>
    accountsAboveShares(const std::string &service, const std::vector<EdgeRequestPtr> &waiting,
                        Time now);
    /// Refuses queued requests for which no target will have room before they time out.
    void refuseUnservable(const std::string &service, Time now);
    /// Refuses a request for which no target will have room in time, and logs the figures.
    void refuseForRoom(EdgeRequest &request, std::string_view reason, Time now);
    /// Time until a new request will have room, by this entry's queue.
    Duration expectedRoomWait(const EdgeRequest &request, Time now);
    /// Time until requests of this priority will have room, by the queues of all entries.
    Duration predictedWait(const std::string &service, int priority, Time now);
    /// The recently completed requests of a service.
    WindowSum &completionsOf(const std::string &service);
    /// Rate of recently completed requests of a service, and the estimated rate of all entries.
    double completionsPerSecond(const std::string &service, Time now);
    double completionsPerSecondOfAll(const std::string &service, Time now);
    /// Makes the request wait for room if it is to be held for more urgent ones.
    void holdForUrgent(EdgeRequest &request, Placement &placement, Time now);
    /// Records what waits at this entry and derives the thresholds.
    void updateScarcity(Time now);
    void logThresholds(const std::vector<NameHash> &changed) const;
    void recordWaitingMetrics(const std::map<std::pair<std::string, int>, WaitingRow> &rows);

    // edgeresponses.cpp: responses of targets.
    void onResponseHead(const EdgeRequestPtr &request, HttpHead &&head);
    void onResponseBody(const EdgeRequestPtr &request, std::string_view bytes);
    /// Gives up the largest buffers if all together exceed their limit.
    void limitBuffers();
    void giveUpResponse(const EdgeRequestPtr &request);
    void giveUpSession(const std::shared_ptr<ClientSession> &session);
    void onExchangeEnd(const EdgeRequestPtr &request, ExchangeEnd end, std::string_view reason);
    /// Learns from the first event of a send how fast the target reads prompts.
    void recordBegin(EdgeRequest &request, Time now);
    void forwardEvents(EdgeRequest &request, ClientSession &session, bool all, Time now);
    void finishResponse(const EdgeRequestPtr &request);
    /// Counts a completed stream for its target, and whether the target caused it to be late.
    void recordStream(const EdgeRequest &request);
    void onRequestNotRun(const EdgeRequestPtr &request, std::string_view reason);
    void onRequestFailed(const EdgeRequestPtr &request, unsigned status, std::string_view reason);
    void onClientDisconnected(ClientSession &session);
    std::string formatResponseHeaders(const HttpHead &head) const;
    void detachFromTarget(EdgeRequest &request);

    // edgenotices.cpp: what targets say about the requests that they want.
    /// Sets the target's list entry, and what is remembered of its instance if that is another.
    void adoptListed(TargetState &state, ListedTarget listed);
    /// Takes what the head of a response to a request that was sent at sentAt says.
    void applyResponseNotice(const TargetInstance &sentTo, Time sentAt, const HttpHead &head);
    void applyPause(const TargetInstance &instance, const HttpHead &head);
    void applyLeaving(const TargetInstance &instance, LeavingSource source);
    /// Returns the listed target that is this instance, or null.
    std::shared_ptr<EdgeTarget> findInstance(const TargetInstance &instance);
    /// Places requests anew whose connections to the target are still being opened.
    void withdrawUnsent(EdgeTarget &target);

    // edgecold.cpp: cold targets.
    /// Applies the cold limits of new rules.
    void applyColdRules();
    /// Sets the cold limits of all targets, and this entry's shares of them, from the rules and the
    /// list of entries.
    void refreshColdLimits();
    void refreshColdLimit(EdgeTarget &target, Time now);
    /// Applies the remaining cold time of a list entry that was written at the revision.
    void applyListedTime(EdgeTarget &target, const ListedTarget &listed, std::uint64_t revision);
    /// Applies the remaining cold time in a response to a request that was sent at sentAt.
    void applyColdHeader(const TargetInstance &instance, Time sentAt, const HttpHead &head);
    /// Called before the report is applied to the target's state.
    void applyColdReport(EdgeTarget &target, const EngineStateMessage &report, Time now);
    /// Called when the target has refused a connection.
    void markRefusingTarget(EdgeTarget &target, Time now);
    /// Counts all targets of the data centre as cold, at the end of its evacuation.
    void markDataCentreCold(const std::string &dataCentre, Time now);
    void recordColdSendTo(TargetState &state, Time now);
    /// Called when a request is withdrawn before a byte of it was sent. One whose connection was
    /// refused still counts, so that few attempts are made until the target returns.
    void removeColdSend(const EdgeRequest &request);
    /// Expected time until a request that waits for quotas can be sent. firstQuotaIn is the time
    /// until the first quota is available.
    Duration expectedQuotaWait(const EdgeRequest &request, bool isNewInQueue, Duration firstQuotaIn,
                               Time now);
    void countColdTargets(Time now) const;

    // edgeevacuation.cpp: evacuated data centres, homes, and the age of what is known of them.
    /// The time for which this entry may act on a confirmation of the operators' keys.
    Duration rulesAgeBound() const;
    /// Whether the operators' keys were confirmed recently enough to send requests.
    bool areRulesFresh(Time now) const;
    /// Refuses a request that depends on a confirmation that is too old. Returns whether it was
    /// refused.
    bool refuseIfRulesAreOld(EdgeRequest &request, Time now);
    /// Takes the evacuations among the operators' keys of a complete list.
    void applyEvacuationItems(const std::vector<wire::StoreItem> &items);
    /// Returns whether the item is an evacuation.
    bool applyEvacuationItem(const wire::StoreItem &item);
    /// Logs the changes and applies them to the targets, where evacuations are enabled.
    void applyEvacuationChanges(const std::vector<EvacuationChange> &changes);
    void enforceEvacuationChanges(const std::vector<EvacuationChange> &changes);
    /// Begins or ends the known evacuations after the settings were read again.
    void onEvacuationBoundReloaded(bool wasSet);
    /// Marks the targets of evacuated data centres, and moves the requests that are on their way to
    /// targets that have become so.
    void updateEvacuatedTargets();
    /// Returns whether the target has become evacuated.
    bool markIfEvacuated(TargetState &state) const;
    /// The same for one target whose list entry has changed.
    void updateIfEvacuated(EdgeTarget &target);
    void withdrawEvacuated(EdgeTarget &target);
    /// Called before the targets of the data centre get requests again.
    void onEvacuationEnded(const std::string &dataCentre, Time now);
    std::size_t countTargetsIn(const std::string &dataCentre) const;
    /// Logs and counts the values of new rules that could not be read.
    static void recordRuleFaults(const ServingRules &rules);
    /// Sets the homes of the request's route and account.
    void setHomes(PlacementQuery &query, const EdgeRequest &request) const;

    // edgepace.cpp: the load and the pace of targets.
    /// Takes the load that the head of a response states.
    void recordTargetLoad(EdgeTarget &target, const HttpHead &head, Time now);
    /// Takes the first event of a send into what is learned of the target and its service.
    void recordPaceSample(const EdgeRequest &request, Duration elapsed, Time now);
    /// Moves the figures of the target's streams since the last message into the message.
    void takeStreamFigures(EdgeTarget &target, EntryLoadRequests &message) const;
    /// Takes the pace that the target's agent reports.
    void applyPace(EdgeTarget &target, const EngineStateMessage &report, bool restarted);
    /// Updates the relative paces of the services in servicesWithNewPaces_.
    void updateRelativePaces();
    void updateRelativePaces(const std::string &service);

    // edgepeers.cpp: datagrams from and to agents and other entries.
    void onDatagram(std::string_view bytes, const Endpoint &from);
    /// Sends a message to the other entries of this data centre.
    void relay(std::string_view bytes);
    void applyEngineState(EngineStateMessage &&report, const Endpoint &from, DatagramRoute route);
    /// Returns the target that the report is of, or null.
    std::shared_ptr<EdgeTarget> findReported(const EngineStateMessage &report, const Endpoint &from,
                                             DatagramRoute route);
    /// Places queued requests at the targets whose resident adapters have changed.
    void placeAtChangedTargets();
    void applyEntryState(EntryState &&state);
    /// Records what a peer knows of the store.
    void recordPeersKnowledge(const EntryState &state, const std::string &vm);
    /// Takes from a peer's echoes of this entry's messages up to when the peer confirms what is
    /// known here.
    void applyEchoes(const EntryState &state, PeerContact &contact, Time now);
    void sendLoadRequests(EdgeTarget &target, Time now);
    void requestLoad(EdgeTarget &target, const std::string &adapter, Time now);
    void sendEntryStates(Time now);
    /// Echoes of the latest messages of the peers in the data centre.
    std::vector<PeerEcho> echoesFor(NameHash dataCentre, Time now) const;

    // edgestreams.cpp: the software version at which a stream goes on.
    /// Hosts of the engines, beside which agents run.
    std::vector<std::string> agentHosts() const;
    void sendToAgent(const std::string &host, std::string_view kind, const PeerMessage &message);
    /// Records which version began the stream, and reports it to the agents that keep its origin.
    /// Called before the first event is forwarded.
    void recordStreamBegin(EdgeRequest &request, Time now);
    /// Whether the events of a send may follow those of the stream so far, by the software version
    /// of the target.
    bool continuesAtSameVersion(const EdgeRequest &request) const;
    /// The targets of the request's service at which it may run, apart from their state.
    std::vector<TargetState *> targetStatesFor(const EdgeRequest &request);
    /// Places the request, after the lookup of the version of a stream that it takes up.
    void placeNewRequest(const EdgeRequestPtr &request, Time now);
    /// Whether the request takes a stream up, so that the version that began it is to be looked up
    /// first; prepares the lookup.
    bool isOriginNeeded(EdgeRequest &request, Time now);
    void queryOrigin(EdgeRequest &request, Time now);
    /// Queries again or refuses the request, if its time has come.
    void checkOriginLookup(const EdgeRequestPtr &request, Time now);
    void endOriginLookup(EdgeRequest &request, std::string_view result, Time now);
    void applyOriginResponse(const StreamOriginResponse &response, const Endpoint &from);
    /// Selects the service of the route to which the version belongs that began the stream.
    void selectServiceOfStream(EdgeRequest &request);

    // edgesuspects.cpp: requests and prompt parts that crash targets.
    /// Refuses a request that may crash its target. Returns whether it was refused.
    bool refuseIfHeld(EdgeRequest &request, Time now);
    /// Records that the connection of a request broke, until its cause is known.
    void suspectCrash(const EdgeRequest &request, std::string_view reason, Time now);
    /// Judges the broken connections, and counts the crashes among their causes.
    void judgeBrokenConnections(Time now);
    /// Probes the targets of which more has to be known.
    void probeSuspectedTargets(Time now);
    void onProbed(EdgeTarget &target, ProbeResult result);
    /// Called when the target has refused a connection.
    void recordRefusal(EdgeTarget &target, Time now);
    void recordSoundRequest(EdgeRequest &request, Time now);
    void logHeldSuspect(SuspectId suspect, std::string_view source) const;
    /// Random time by which the entries' trials of a suspect are spread.
    Duration trialJitter();
    /// Merges what a peer or the store knows of a suspect.
    void mergeSuspect(const ReportedCrashRecord &reported, std::string_view source);
    /// Reads the suspects that are held since before this entry's start.
    void listSuspects(const Endpoint &store);
    /// Whether they have been read, or the time for which readiness waits for it has passed.
    bool areSuspectsKnown(Time now) const;
    /// Writes held suspects to the store and removes those that are cleared.
    void writeSuspects(Time now);

    EventLoop &loop_;
    ServingSettings settings_;
    std::string settingsFile_;
    Endpoint peersAddress_;
    /// Hash of the name of the data centre.
    NameHash dataCentre_ = 0;
    /// Hash of the text that rules_ were decoded from.
    NameHash rulesHash_ = 0;
    TcpListener callerListener_;
    DatagramSocket peersSocket_;
    TextServer readinessServer_;
    TextServer metricsServer_;
    StoreEra storeEra_;
    std::unique_ptr<StoreFeed> operatorFeed_;
    std::unique_ptr<StoreFeed> targetFeed_;
    std::unique_ptr<StoreFeed> peerFeed_;
    std::unique_ptr<Registration> registration_;
    SessionCallbacks sessionCallbacks_;
    std::set<std::shared_ptr<ClientSession>> sessions_;

    std::shared_ptr<const RuleIndex> rules_;
    /// Named versions by adapter ("MODEL/NAME").
    std::unordered_map<std::string, AdapterVersionHistory> adapterVersions_;
    std::map<std::string, std::shared_ptr<EdgeTarget>> targets_;
    std::map<std::string, std::vector<std::shared_ptr<EdgeTarget>>> targetsOfService_;
    RememberedNotices rememberedNotices_;
    RestoredEntries restoredEntries_;
    Evacuations evacuations_;
    /// Another entry, as listed in the store.
    struct Peer
    {
        Endpoint endpoint_;
        /// Time at which the entry was removed from the list. It may only have lost its connection
        /// to the store and still be serving requests.
        std::optional<Time> removedAt_;
    };
    std::map<std::string, Peer> peers_;
    /// Names of all entries, among which the limits of cold targets are divided; empty before the
    /// list of entries is known.
    std::vector<std::string> coldEntries_;
    /// A service has had cold targets since the start of the entry.
    bool hasColdLimits_ = false;
    Time startedAt_;
    StampClock stampClock_;
    std::map<std::string, PeerContact> peerContacts_;
    std::map<NameHash, std::string> vmByHash_;
    std::map<NameHash, std::string> accountByHash_;
    std::uint64_t statesSent_ = 0;
    RulesAge rulesAge_;
    /// Highest revision of a change of the operator's keys that a peer knows, in the known era of
    /// the store.
    std::uint64_t peersOperatorRevision_ = 0;
    /// Highest version of the rules and highest era of the store that a peer knows.
    std::uint64_t peersRulesVersion_ = 0;
    std::uint64_t peersStoreEra_ = 0;
    /// Time at which this entry adopted its first rules.
    std::optional<Time> firstRulesAt_;
    /// Time since which a peer knows a change of the operator's keys that this entry doesn't know.
    std::optional<Time> missesChangesSince_;
    Time confirmRequestedAt_;
    /// First and last message in a series of messages of entries that are not listed.
    std::optional<Time> unlistedPeerSince_;
    Time unlistedPeerSeenAt_;
    Time peersConfirmRequestedAt_;
    ListKnowledge targetList_;
    Time targetsConfirmRequestedAt_;
    /// Time since which the watch of the target list lacks a change that a peer knows.
    std::optional<Time> targetWatchBehindSince_;
    /// Highest revision of a change of the target list that matters to placement.
    std::uint64_t targetsChangeRevision_ = 0;

    AdapterDemand demand_;
    TokenAllowance allowance_;
    RetryBudget retryBudget_;
    CrashSuspects crashSuspects_;
    /// A request whose connection to its target broke, until the cause is known.
    struct CrashSuspicion
    {
        std::string requestId_;
        RequestSuspects suspects_;
        std::shared_ptr<EdgeTarget> target_;
        CrashId crash_ = 0;
        BrokenConnection broken_;
    };
    std::vector<CrashSuspicion> crashSuspicions_;
    std::unique_ptr<LeasedKeys> suspectKeys_;
    StoredSuspects storedSuspects_;
    bool areSuspectsListed_ = false;
    /// Listed suspects whose trials have not been spread over all entries yet.
    std::vector<SuspectId> restoredSuspects_;
    /// No write is made before this time.
    Time suspectWritesAfter_;

    std::set<EdgeRequestPtr> requests_;
    /// Bytes of responses received since the buffers were last added up.
    std::size_t uncheckedResponseBytes_ = 0;
    std::map<std::string, std::list<EdgeRequestPtr>> waitingRequests_;
    /// Recently completed requests by service, from which waiting times are predicted.
    std::map<std::string, WindowSum> completions_;
    Scarcity scarcity_;
    AccountUses accountUses_;
    /// Services and priorities whose number of waiting requests is not zero in the metrics.
    std::set<std::pair<std::string, int>> waitingInMetrics_;
    /// What has been learned of the engines of each service.
    std::map<std::string, EngineModel> serviceModels_;
    /// Services with targets whose reported paces have changed since updateRelativePaces(). After a
    /// start all of them change, and each change concerns all targets of the service.
    std::set<std::string> servicesWithNewPaces_;
    /// Targets whose resident adapters have changed since placeAtChangedTargets().
    std::vector<std::shared_ptr<EdgeTarget>> changedTargets_;
    std::minstd_rand random_;
    bool isPlacing_ = false;

    bool isShuttingDown_ = false;
    Time shutdownStartedAt_;
    bool isStopped_ = false;
};

/// The instance of the target that is listed.
TargetInstance instanceOf(const TargetState &target);

/// The properties of a queued request that determine its position in the queue.
WaitingRequest waitingRequestOf(const EdgeRequest &request);

/// What a queued request waits for, as in the log.
std::string_view waitName(const EdgeRequest &request);

/// Runs the program and returns its exit code.
int runEdge(int argc, char **argv);

} // namespace eelgrasscove
