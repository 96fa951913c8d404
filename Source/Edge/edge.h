#pragma once

/// An entry VM's program: takes clients' requests and forwards them to targets. The decisions are
/// free functions in the files beside it; this class does the I/O around them.

#include "Edge/adapterdemand.h"
#include "Edge/clientsession.h"
#include "Edge/placement.h"
#include "Edge/retrybudget.h"
#include "Edge/ruleindex.h"
#include "Edge/suspects.h"
#include "Edge/targetpool.h"
#include "Edge/tokenallowance.h"
#include "Edge/waitingorder.h"
#include "Net/datagramsocket.h"
#include "Observe/textserver.h"
#include "Peer/peermessages.h"
#include "Store/registration.h"
#include "Store/storefeed.h"
#include "Vm/servingsettings.h"

#include <list>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace eelgrasscove {

/// A target with the connections to it.
struct EdgeTarget
{
    explicit EdgeTarget(EventLoop &loop, const Endpoint &endpoint) : pool_(loop, endpoint) { }

    TargetBelief belief_;
    TargetPool pool_;
    /// The target seems to have crashed at this time.
    Time crashedAt_;
    /// Wishes for copies in advance, with the time until which they are repeated.
    std::map<std::string, Time> copyWishes_;
    /// When each adapter was last wished for.
    std::map<std::string, Time> wishedAt_;
    /// Adapters sent to since the last message to its agent, and when that was.
    std::set<NameMark> usedAdapters_;
    Time toldAt_;
    /// Requests of this entry that run there, by adapter.
    std::map<NameMark, std::uint32_t> runningAdapters_;
    /// Streams of this entry since the last message to its agent, and how many of them were late.
    std::uint32_t streams_ = 0;
    std::uint32_t lateStreams_ = 0;
};

enum class RequestStage {
    /// Waits for room or for an adapter.
    Waiting,
    /// Sent to a target, of which nothing has been passed on.
    Sent,
    /// The answer is being passed on.
    Streaming,
    Ended,
};

/// A client's request in work.
struct EdgeRequest : std::enable_shared_from_this<EdgeRequest>
{
    std::weak_ptr<ClientSession> session_;
    HttpHead head_;
    std::string body_;
    std::string id_;
    RequestStage stage_ = RequestStage::Waiting;
    Time arrivedAt_;
    /// When the client gives up, and when the route's timeout ends.
    Time clientDeadline_;
    Time routeDeadline_;
    /// Its answer is late if it begins after this.
    Time objectiveAt_;
    /// It is refused if it still waits for room or an adapter then.
    Time waitUntil_;
    /// What it waits for, while it does.
    PlaceKind awaits_ = PlaceKind::None;
    std::uint64_t rulesVersion_ = 0;
    ServingRoute route_;
    std::string account_;
    std::string key_;
    int priority_ = 0;
    std::string service_;
    std::string model_;
    std::string adapter_;
    double tokens_ = 0;
    bool charged_ = false;
    std::uint64_t hash_ = 0;
    /// Draws the service among a route's shares.
    double draw_ = 0;

    // The run.
    std::shared_ptr<EdgeTarget> target_;
    std::shared_ptr<TargetConnection> connection_;
    std::string awaitedTarget_;
    std::set<std::string> tried_;
    Time sentAt_;
    int sends_ = 0;
    /// Targets that may have run it.
    int runs_ = 0;
    /// The answer so far.
    HttpHead answer_;
    std::string answerBody_;
    bool headCame_ = false;
    bool firstEventPassed_ = false;
    /// The id of the last event passed on; a resumed run goes on after it.
    std::string lastEventId_;
    Time firstEventAt_;
    Time lastEventAt_;
    /// Between two events, as they were passed on.
    Duration longestPause_{};
};

using EdgeRequestPtr = std::shared_ptr<EdgeRequest>;

class Edge
{
public:
    Edge(EventLoop &loop, ServingSettings settings, std::string settingsFile);

    Edge(const Edge &) = delete;
    Edge &operator=(const Edge &) = delete;

    /// False where an address can't be listened on; the log says which.
    bool start();

private:
    // edge.cpp: start, stop, beliefs from the store.
    void applyBounds();
    bool listen();
    void startFeeds();
    void startTimers();
    void onAccepted(std::shared_ptr<TcpStream> stream);
    void onTerminate();
    void onHangUp();
    void checkStop();
    void takeOperatorItem(const wire::StoreItem &item);
    void takeRules(const std::string &text);
    void takeTargetItem(const wire::StoreItem &item);
    void takeTargetList(const std::vector<wire::StoreItem> &items);
    void markReplaced(const TargetBelief &newer);
    void loseTarget(const std::string &id);
    void takePeerItem(const wire::StoreItem &item);
    void takePeerList(const std::vector<wire::StoreItem> &items);
    void dropLeftPeers(Time now);
    /// How long a watch of the rules waits.
    Duration rulesWait() const;
    void setPeerList();
    std::set<std::string> peerNames() const;
    void dropMissingTargets(Time now);
    bool isReady(Time now) const;
    /// Whether the rules are confirmed recently enough to honour keys.
    bool rulesAreFresh(Time now) const;
    Time rulesConfirmedAt() const;

    // edgerequests.cpp: taking and placing requests.
    void onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest &&request);
    /// Finds route, service and account by the present rules; false where it refused the request.
    bool resolve(EdgeRequest &request);
    bool checkKey(EdgeRequest &request, Time now);
    bool checkAllowance(EdgeRequest &request, Time now);
    void place(const EdgeRequestPtr &request);
    PlaceQuery placeQuery(const EdgeRequest &request, Time now) const;
    void await(const EdgeRequestPtr &request, const Place &place);
    void send(const EdgeRequestPtr &request, const std::shared_ptr<EdgeTarget> &target);
    std::string requestText(const EdgeRequest &request, const TargetBelief &target, Time now) const;
    void placeWaiting(const std::string &service, std::size_t most);
    /// Room has come at the target: places those that can use it.
    void placeWaitingAt(const EdgeTarget &target);
    /// The requests that wait for a target of the service, in the order in which they are tried.
    std::vector<EdgeRequestPtr> waitingInOrder(const std::string &service, Time now);
    /// Refuses those that will find no room in their time.
    void refuseVain(const std::string &service, Time now);
    void checkRequests(Time now);
    void refuse(EdgeRequest &request, unsigned status, std::string_view reason,
                Duration retryAfter);
    /// Refuses what another entry could serve, and sends the client there.
    void refuseHere(EdgeRequest &request, std::string_view reason);
    void end(EdgeRequest &request, unsigned status, std::string_view outcome);
    void unwait(const EdgeRequest &request);
    std::vector<TargetBelief *> beliefsOf(const std::string &service);
    std::shared_ptr<EdgeTarget> targetOf(const TargetBelief *belief);
    /// The answers of a service, of late.
    WindowSum &answersOf(const std::string &service);
    /// The same, a second.
    double answersPerSecond(const std::string &service, Time now);

    // edgeanswers.cpp: what targets answer.
    void onAnswerHead(const EdgeRequestPtr &request, HttpHead &&head);
    void onAnswerBody(const EdgeRequestPtr &request, std::string_view bytes);
    void onExchangeEnd(const EdgeRequestPtr &request, ExchangeEnd end, std::string_view reason);
    void passEvents(EdgeRequest &request, ClientSession &session, bool all, Time now);
    void finishAnswer(const EdgeRequestPtr &request);
    /// Counts a whole stream of a target, and whether the target made it late.
    void noteStream(const EdgeRequest &request);
    void onNotRun(const EdgeRequestPtr &request, std::string_view reason);
    void onFailed(const EdgeRequestPtr &request, unsigned status, std::string_view reason);
    void onClientGone(ClientSession &session);
    std::string answerHeaders(const HttpHead &head) const;
    void noteTargetLoad(EdgeRequest &request, const HttpHead &head, Time now);
    void leaveTarget(EdgeRequest &request);

    // edgepeers.cpp: datagrams to and from other VMs.
    void onDatagram(std::string_view bytes, const Endpoint &from);
    void takeEngineState(EngineState &&state, const Endpoint &from);
    void takeEntryState(EntryState &&state);
    void sendWishes(EdgeTarget &target, Time now);
    void wish(EdgeTarget &target, const std::string &adapter, Time now);
    void sendEntryStates(Time now);
    void countCrashes(Time now);

    EventLoop &loop_;
    ServingSettings settings_;
    std::string settingsFile_;
    Endpoint peersAddress_;
    TcpListener callers_;
    DatagramSocket peersSocket_;
    TextServer readiness_;
    TextServer metrics_;
    std::unique_ptr<StoreFeed> operatorFeed_;
    std::unique_ptr<StoreFeed> targetFeed_;
    std::unique_ptr<StoreFeed> peerFeed_;
    std::unique_ptr<Registration> registration_;
    SessionCallbacks sessionCallbacks_;
    std::set<std::shared_ptr<ClientSession>> sessions_;

    std::shared_ptr<const RuleIndex> rules_;
    AdapterVersions versions_;
    /// When each version was heard of; an older one may be used for a while.
    std::unordered_map<std::string, Time> versionHeardAt_;
    std::map<std::string, std::shared_ptr<EdgeTarget>> targets_;
    std::map<std::string, std::vector<std::shared_ptr<EdgeTarget>>> targetsOfService_;
    /// Another entry, from the list of entries.
    struct Peer
    {
        Endpoint endpoint_;
        /// It left the list at this time; it may be cut off from the store and serve on.
        std::optional<Time> leftAt_;
    };
    std::map<std::string, Peer> peers_;
    Time startedAt_;
    /// The newest message of each peer: its stamp and when it came.
    struct HeardPeer
    {
        std::int64_t stampMicros_ = 0;
        Time at_;
        /// The peer had a message of this entry then, by this entry's clock.
        Time heardUs_;
    };
    std::map<std::string, HeardPeer> heardPeers_;
    std::map<NameMark, std::string> vmOfMark_;
    std::map<NameMark, std::string> accountOfMark_;
    std::uint32_t statesSent_ = 0;
    /// Confirmation of the rules by a peer.
    std::optional<Time> peerConfirmedAt_;

    AdapterDemand demand_;
    TokenAllowance allowance_;
    RetryBudget retryBudget_;
    Suspects suspects_;
    struct Suspicion
    {
        std::uint64_t hash_ = 0;
        std::shared_ptr<EdgeTarget> target_;
        Time at_;
    };
    std::vector<Suspicion> suspicions_;

    std::set<EdgeRequestPtr> requests_;
    std::map<std::string, std::list<EdgeRequestPtr>> waiting_;
    /// Answers of a service of late, to predict when there will be room.
    std::map<std::string, WindowSum> completions_;
    std::minstd_rand random_;
    bool placing_ = false;

    bool leaving_ = false;
    Time leavingSince_;
};

/// What decides on the request's turn among those that wait.
WaitingRequest waitingOf(const EdgeRequest &request);

/// Runs the program; the exit code.
int runEdge(int argc, char **argv);

} // namespace eelgrasscove
