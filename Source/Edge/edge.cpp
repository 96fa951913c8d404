#include "Edge/edge.h"

#include "Observe/buildidentity.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Vm/servingprogram.h"
#include "platform/ruleswire.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <charconv>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Period of the checks of request deadlines and of the queues; a tenth of the operator's bound on
/// late responses.
constexpr Duration requestCheckPeriod = 50ms;
/// Datagrams are read in batches at this period, since 50 agents and 30 entries would otherwise
/// wake the process 400 times a second. The delay in learning that an adapter is loaded is a tenth
/// of its load time.
constexpr Duration datagramReadPeriod = 20ms;
/// Period of the state messages to peers. Token usage reported by peers is up to one period old, so
/// an account at its limit can exceed it by the tokens of one period.
constexpr Duration peerStatePeriod = 200ms;
/// Period of the load requests to agents. An agent removes an entry from which it has received
/// nothing for several periods.
constexpr Duration loadRequestPeriod = 250ms;

constexpr Duration logFlushPeriod = 250ms;
constexpr Duration housekeepingPeriod = 1s;

/// Delays of the event loop that are recorded as a metric and as a log line. A client's close has
/// to reach the target within half a second.
constexpr Duration minRecordedLoopDelay = 10ms;
constexpr Duration minLoggedLoopDelay = 250ms;

/// Entries of the target list also expire in an outage of the store. After it, live targets are
/// listed again within this time.
constexpr Duration targetRelistTimeout = 2200ms;

/// After SIGTERM new connections are accepted for this time: the load balancer probes readiness
/// once a second and stops routing after two responses other than 200.
constexpr Duration minShutdownTime = 2500ms;
/// Part of the grace time that is reserved for closing the remaining connections.
constexpr Duration closeReserve = 700ms;
/// Fraction of the grace time after which no further requests are sent to targets, as they might
/// not end within the rest of it.
constexpr double lastSendFraction = 0.5;

/// Timeout of the watch on the rules, as a fraction of the operator's bound for withdrawn keys. The
/// end of a watch confirms that there are no newer rules. Entries report their confirmations to
/// each other, so the timeout grows with the number of entries, up to the maximum factor.
constexpr double rulesWatchFraction = 0.45;
constexpr double entriesPerWatchTimeout = 4;
constexpr double maxWatchTimeoutFactor = 4;
/// A confirmation whose age exceeds this fraction of the bound is renewed by a separate request to
/// the store, without waiting for the watch. Leaders do so earlier, on behalf of the others.
constexpr double confirmAgeFraction = 0.6;
constexpr double leaderConfirmAgeFraction = 0.4;
/// A peer counts as a possible leader if a message of it has been received within this time, five
/// intervals of the messages.
constexpr Duration leaderContactTimeout = 1s;
/// Time for which a peer may know a change of the operator's keys that this entry doesn't know
/// before the store is queried. It is longer than the coalescing period of the rules, and shorter
/// by more than a response of the store than the bound on the adoption of new rules.
constexpr Duration maxLagBehindPeers = 500ms;
/// Time for which an entry that has started waits for the rules versions of its peers; five
/// intervals of their messages.
constexpr Duration maxPeerComparisonWait = 1s;
/// Time for which messages of an entry that is not in the list may arrive before the list of
/// entries is queried. It is longer than the delivery of a new entry by the watch.
constexpr Duration maxUnlistedPeerTime = 1s;
/// Minimum interval between these queries: an entry may have lost its registration.
constexpr Duration unlistedPeerQueryInterval = 5s;
/// Minimum interval between these requests, so that a store that turns this entry away gets few.
constexpr Duration minConfirmInterval = 500ms;
constexpr Duration targetsWatchTimeout = 10s;
constexpr Duration peersWatchTimeout = 20s;
/// Target updates are coalesced for this fraction of the operator's bound on draining targets. An
/// engine's list entry changes with each adapter, and each change delivered alone costs every entry
/// a call to the store.
constexpr double targetsCoalescingFraction = 0.55;
/// An entry queries the target list itself if what it knows by its own queries and by other entries
/// is older than this fraction of the bound. The first entry does so earlier, on behalf of the
/// others.
constexpr double maxTargetsAgeFraction = 0.65;
constexpr double firstEntryTargetsAgeFraction = 0.4;
/// Time, as a fraction of the bound, for which a peer may know a change of the target list that the
/// waiting watch has not delivered.
constexpr double maxTargetWatchLagFraction = 0.1;
constexpr Duration peersCoalescingPeriod = 300ms;
/// Rules that change in quick succession are coalesced for this time, a tenth of the bound on the
/// adoption of new rules.
constexpr Duration rulesCoalescingPeriod = 200ms;

constexpr std::string_view entryPrefix = "eelgrasscove/entry/";

} // namespace

Edge::Edge(EventLoop &loop, ServingSettings settings, std::string settingsFile)
    : loop_(loop), settings_(std::move(settings)), settingsFile_(std::move(settingsFile)),
      random_(std::random_device{}())
{
    parseEndpoint(settings_.peersListen_, peersAddress_);
    dataCentre_ = nameHash(settings_.dataCentre_);
    startedAt_ = bootNow();
    // Not from random_, whose numbers have 31 bits.
    std::random_device device;
    stampClock_ = {startedAt_,
                   std::uniform_int_distribution<std::int64_t>(0, maxStampOffsetMicros)(device)};
    allowance_.startedAt_ = startedAt_;
    applyBounds();
    sessionCallbacks_ = {
        [this](const std::shared_ptr<ClientSession> &session, ClientRequest &&request) {
            onRequest(session, std::move(request));
        },
        [this](ClientSession &session) { onClientDisconnected(session); },
        [this](ClientSession &session) { sessions_.erase(session.shared_from_this()); }};
}

void Edge::applyBounds()
{
    const ServingBounds &bounds = settings_.bounds_;

    allowance_.settings_.window_ = bounds.allowanceWindow_;
    allowance_.settings_.slackTokens_ = bounds.allowanceSlack_;
    retryBudget_.settings_ = {bounds.retryShare_, bounds.retrySlack_, bounds.retryWindow_};
}

bool Edge::start()
{
    loop_.onSignals([this] { onTerminate(); }, [this] { onHangUp(); });
    if (!listen())
        return false;
    startFeeds();
    startTimers();
    loop_.startPauseDetection([this](Duration delay) { recordLoopDelay(delay); });
    eventLog().note("process.started", "role", "edge", "build", buildIdentity(), "data_centre",
                    settings_.dataCentre_, "callers", settings_.callersListen_);
    return true;
}

bool Edge::listen()
{
    const auto checked = [](std::string_view what, const std::string &address, int error) {
        if (error == 0)
            return true;
        eventLog().note("listen.failed", "what", what, "address", address, "error",
                        uv_err_name(error));
        return false;
    };
    Endpoint callers;
    Endpoint readiness;
    if (!parseEndpoint(settings_.callersListen_, callers)
        || !parseEndpoint(settings_.readinessListen_, readiness)) {
        eventLog().note("settings.incomplete", "remedy",
                        "set [listen] callers and readiness to A.B.C.D:PORT");
        return false;
    }
    const auto ready = [this](std::string_view) {
        return TextAnswer{isReady(bootNow()) ? 200U : 503U, ""};
    };
    bool listening = checked("callers", settings_.callersListen_,
                             callerListener_.listen(loop_, callers, [this](auto stream) {
                                 onAccepted(std::move(stream));
                             }));
    listening = listening
        && checked("readiness", settings_.readinessListen_,
                   readinessServer_.listen(loop_, readiness, ready));
    listening = listening
        && checked("peers", settings_.peersListen_,
                   peersSocket_.open(
                       loop_, peersAddress_,
                       [this](auto bytes, const auto &from) { onDatagram(bytes, from); },
                       datagramReadPeriod));
    Endpoint metrics;
    if (listening && parseEndpoint(settings_.metricsListen_, metrics)) {
        listening = checked("metrics", settings_.metricsListen_,
                            metricsServer_.listen(loop_, metrics, [](std::string_view) {
                                return TextAnswer{200, metricsText()};
                            }));
    }
    return listening;
}

void Edge::startFeeds()
{
    Endpoint store;
    parseEndpoint(settings_.store_, store);
    const auto coalescingPeriod =
        std::chrono::duration_cast<Duration>(settings_.bounds_.drain_ * targetsCoalescingFraction);
    // Before the feeds, which read everything anew.
    storeEra_.onChanged([this] { onStoreRestored(); });
    operatorFeed_ = std::make_unique<StoreFeed>(
        loop_, store, storeEra_,
        StoreFeedSettings{std::string(wire::operatorPrefix), rulesWatchTimeout(),
                          rulesCoalescingPeriod},
        StoreFeedCallbacks{[this](const auto &items) {
                               applyEvacuationItems(items);
                               for (const wire::StoreItem &item : items)
                                   applyOperatorItem(item);
                           },
                           [this](const auto &item) { applyOperatorItem(item); }, [](bool) {}});
    targetFeed_ = std::make_unique<StoreFeed>(
        loop_, store, storeEra_,
        StoreFeedSettings{std::string(wire::targetPrefix), targetsWatchTimeout, coalescingPeriod},
        StoreFeedCallbacks{[this](const auto &items) { applyTargetList(items); },
                           [this](const auto &item) { applyTargetItem(item); }, [](bool) {},
                           [this] { return mayPostponeTargetWatch(); }});
    peerFeed_ = std::make_unique<StoreFeed>(
        loop_, store, storeEra_,
        StoreFeedSettings{std::string(entryPrefix), peersWatchTimeout, peersCoalescingPeriod},
        StoreFeedCallbacks{[this](const auto &items) { applyPeerList(items); },
                           [this](const auto &item) {
                               applyPeerItem(item);
                               updatePeerList();
                           },
                           [](bool) {}});
    registration_ = std::make_unique<Registration>(
        loop_, store, storeEra_, std::string(entryPrefix) + settings_.vm_, settings_.peersListen_);
    listSuspects(store);
    operatorFeed_->start();
    targetFeed_->start();
    peerFeed_->start();
    registration_->start();
}

void Edge::startTimers()
{
    LoopTimers &timers = loop_.timers();
    timers.every(requestCheckPeriod, [this] {
        checkRequests(bootNow());
        limitBuffers();
    });
    timers.every(peerStatePeriod, [this] {
        const Time now = bootNow();
        sendEntryStates(now);
        checkRulesConfirmation(now);
        checkTargetList(now);
        recordTargetListAge(now);
        writeSuspects(now);
    });

    timers.every(loadRequestPeriod, [this] {
        const Time now = bootNow();
        for (const auto &[id, target] : targets_)
            sendLoadRequests(*target, now);
    });
    timers.every(logFlushPeriod, [] { eventLog().flush(); });
    timers.every(housekeepingPeriod, [this] {
        const Time now = bootNow();
        const auto sessions = sessions_;
        for (const auto &session : sessions)
            session->checkTimeouts(now);
        for (const auto &[id, target] : targets_)
            target->pool_.closeExpired(now);
        removeExpiredCrashSuspects(crashSuspects_, now);
        removeExpiredNotices(rememberedNotices_, now);
        removeExpiredUses(accountUses_, now);
        removeMissingTargets(now);
        for (const wire::StoreItem &item : takeExpiredEntries(restoredEntries_, now))
            applyTargetItem(item);
        removeDepartedPeers(now);
        countColdTargets(now);
        updateRelativePaces();
    });
}

void Edge::recordLoopDelay(Duration delay)
{
    if (delay >= minRecordedLoopDelay)
        observeDuration("eelgrasscove_loop_delay_seconds", "", delay);
    if (delay >= minLoggedLoopDelay)
        eventLog().note("loop.delayed", "delay_ms", delay.count() / 1000, "requests",
                        requests_.size(), "sessions", sessions_.size());
}

void Edge::onAccepted(std::shared_ptr<TcpStream> stream)
{
    countMetric("eelgrasscove_client_connections_total");
    const ClientLimits limits = rules_ ? rules_->rules().limits_ : ClientLimits{};
    auto session =
        std::make_shared<ClientSession>(loop_, std::move(stream), limits, sessionCallbacks_);
    if (isShuttingDown_)
        session->closeAfterResponse();
    sessions_.insert(session);
    session->start();
}

void Edge::onTerminate()
{
    if (isShuttingDown_)
        return;
    isShuttingDown_ = true;
    shutdownStartedAt_ = bootNow();
    eventLog().note("process.stopping", "requests", requests_.size());
    for (const auto &session : sessions_)
        session->closeAfterResponse();
    loop_.timers().every(requestCheckPeriod, [this] { checkShutdown(); });
}

void Edge::checkShutdown()
{
    const Duration since = bootNow() - shutdownStartedAt_;
    const bool areResponsesSent =
        std::all_of(sessions_.begin(), sessions_.end(),
                    [](const auto &session) { return session->unsentBytes() == 0; });
    const bool done = since >= minShutdownTime && requests_.empty() && areResponsesSent;
    if (since >= minShutdownTime) {
        // A new request could not be completed in the remaining time. A client whose connection is
        // refused tries another entry at once.
        callerListener_.close();
        const auto sessions = sessions_;
        for (const auto &session : sessions)
            session->closeIfIdle();
    }
    if (isStopped_ || (!done && since < settings_.bounds_.grace_ - closeReserve))
        return;
    isStopped_ = true;
    eventLog().note("process.stopped", "requests", requests_.size());
    endRemainingRequests();
    for (const auto &session : sessions_) {
        if (session->unsentBytes() > 0)
            eventLog().note("response.cut", "id", session->lastRequestId_, "unsent_bytes",
                            session->unsentBytes(), "reason", "end of the grace time");
    }
    registration_->revoke([this] {
        eventLog().flush();
        loop_.stop();
    });
    // The store may be unreachable; stop without waiting for the end of the registration.
    loop_.timers().once(closeReserve / 2, [this] {
        eventLog().flush();
        loop_.stop();
    });
}

bool Edge::acceptsRequests(Time now) const
{
    return !isShuttingDown_ || now - shutdownStartedAt_ < minShutdownTime;
}

bool Edge::sendsRequests(Time now) const
{
    return !isShuttingDown_
        || now - shutdownStartedAt_ < settings_.bounds_.grace_ * lastSendFraction;
}

void Edge::endRemainingRequests()
{
    const auto remaining = requests_;
    for (const EdgeRequestPtr &request : remaining) {
        if (request->stage_ == RequestStage::Waiting && request->runs_ == 0)
            refuse(*request, 503, "entry stops", {});
        else
            refuse(*request, 502, "entry stops before the end of the response", {});
    }
}

void Edge::onHangUp()
{
    Result<ServingSettings, std::vector<SettingsError>> read = readServingSettings(settingsFile_);
    if (!ok(read)) {
        eventLog().note("settings.refused", "faults", settingsFaultsText(errorOf(read)));
        return;
    }
    const bool hadEvacuationBound = settings_.bounds_.evacuation_.has_value();
    settings_.bounds_ = valueOf(read).bounds_;
    settings_.regions_ = valueOf(read).regions_;
    applyBounds();
    onEvacuationBoundReloaded(hadEvacuationBound);
    eventLog().note("settings.reloaded", "file", settingsFile_);
}

Time Edge::operatorChangesConfirmedAt() const
{
    const Time own = operatorFeed_->confirmedAt().value_or(Time{});
    return std::max(own, rulesAge_.confirmedByPeerAt_.value_or(Time{}));
}

Time Edge::rulesConfirmedAt() const
{
    return confirmedAt(rulesAge_, operatorFeed_->confirmedAt());
}

void Edge::onStoreRestored()
{
    const Time now = bootNow();
    recordRestoredStore(rulesAge_, rulesConfirmedAt());
    recordRestoration(restoredEntries_, now);
    recordRestoredSuspects(storedSuspects_);
    forgetRevisions(evacuations_);
    peersOperatorRevision_ = 0;
    peersStoreEra_ = 0;
    missesChangesSince_.reset();
    targetsChangeRevision_ = 0;
    targetList_.revision_ = 0;
    targetList_.peersChangeRevision_ = 0;
    targetWatchBehindSince_.reset();
    for (const auto &[id, target] : targets_)
        target->state_.cold_.listRevision_ = 0;
    eventLog().note("rules.unconfirmed", "reason", "the store was restored from an older copy",
                    "version", rules_ ? rules_->rules().version_ : 0, "confirmed_ms_ago",
                    (now - rulesConfirmedAt()).count() / 1000);
}

bool Edge::hasStoreLostRulesOf(const EntryState &peer) const
{
    if (!rules_ || rulesAge_.unreadableSince_ || peer.rulesVersion_ <= rules_->rules().version_)
        return false;
    // In one era, the rules of an entry that knows all changes of another are not older.
    return peer.storeEra_ < storeEra_.number()
        || (peer.storeEra_ == storeEra_.number()
            && peer.operatorRevision_ <= operatorFeed_->revision());
}

bool Edge::areRulesComparedWithPeers(Time now) const
{
    if (storeEra_.number() == 0)
        return true;
    if (!firstRulesAt_)
        return false;
    const bool isEachPeerHeard = peerFeed_->confirmedAt()
        && std::all_of(peers_.begin(), peers_.end(),
                       [this](const auto &peer) { return peerContacts_.contains(peer.first); });
    return isEachPeerHeard || now - *firstRulesAt_ > maxPeerComparisonWait;
}

void Edge::checkRulesConfirmation(Time now)
{
    if (peersOperatorRevision_ <= operatorFeed_->revision())
        missesChangesSince_.reset();
    else if (!missesChangesSince_)
        missesChangesSince_ = now;
    const bool isBehind = missesChangesSince_ && now - *missesChangesSince_ >= maxLagBehindPeers;
    const double ageFraction =
        leadsStoreQueries(now) ? leaderConfirmAgeFraction : confirmAgeFraction;
    const bool isOld = now - operatorChangesConfirmedAt() > rulesAgeBound() * ageFraction;
    const bool isOfEarlierEra = peersStoreEra_ > storeEra_.number();
    if ((!isOld && !isBehind && !isOfEarlierEra) || now - confirmRequestedAt_ < minConfirmInterval)
        return;
    confirmRequestedAt_ = now;
    operatorFeed_->confirmNow();
}

void Edge::recordTargetListAge(Time now) const
{
    if (const std::optional<Time> confirmedAt = targetFeed_->confirmedAt()) {
        setGauge("eelgrasscove_target_list_age_seconds", "source=\"store\"",
                 std::chrono::duration<double>(now - *confirmedAt).count());
    }
    if (targetList_.confirmedByPeerAt_ != Time{}) {
        setGauge("eelgrasscove_target_list_age_seconds", "source=\"peers\"",
                 std::chrono::duration<double>(now - targetList_.confirmedByPeerAt_).count());
    }
}

void Edge::checkTargetList(Time now)
{
    // Between two watches, the feed queries the store within a bounded time.
    if (!targetFeed_->isWatchWaiting()) {
        targetWatchBehindSince_.reset();
        return;
    }
    updateTargetListKnowledge();
    // A watch that waits is ended by any change within the time of a response.
    if (targetList_.peersChangeRevision_ <= targetList_.revision_)
        targetWatchBehindSince_.reset();
    else if (!targetWatchBehindSince_)
        targetWatchBehindSince_ = now;
    const bool isBehind = targetWatchBehindSince_
        && now - *targetWatchBehindSince_ >= settings_.bounds_.drain_ * maxTargetWatchLagFraction;
    const bool isFirst = storeQueryRank(nameHash(settings_.vm_), peersInContact(now)) == 0;
    const double ageFraction = isFirst ? firstEntryTargetsAgeFraction : maxTargetsAgeFraction;
    const auto maxAge =
        std::chrono::duration_cast<Duration>(settings_.bounds_.drain_ * ageFraction);
    // After a failed query the store may have been out of contact for long.
    const bool isDue =
        isBehind || !targetFeed_->isReachable() || isWatchCheckDue(targetList_, maxAge, now);
    if (!isDue || now - targetsConfirmRequestedAt_ < minConfirmInterval)
        return;
    if (isBehind)
        targetWatchBehindSince_ = now;
    targetsConfirmRequestedAt_ = now;
    targetFeed_->confirmNow();
}

void Edge::checkPeerList(NameHash unlistedPeer, Time now)
{
    if (!unlistedPeerSince_ || now - unlistedPeerSeenAt_ > maxUnlistedPeerTime)
        unlistedPeerSince_ = now;
    unlistedPeerSeenAt_ = now;
    if (now - *unlistedPeerSince_ < maxUnlistedPeerTime
        || now - peersConfirmRequestedAt_ < unlistedPeerQueryInterval)
        return;
    peersConfirmRequestedAt_ = now;
    eventLog().note("peer.unlisted", "hash", unlistedPeer, "list_age_ms",
                    (now - peerFeed_->confirmedAt().value_or(startedAt_)).count() / 1000);
    peerFeed_->confirmNow();
}

std::vector<NameHash> Edge::peersInContact(Time now) const
{
    std::vector<NameHash> inContact;
    for (const auto &[vm, contact] : peerContacts_) {
        if (now - contact.receivedAt_ < leaderContactTimeout)
            inContact.push_back(nameHash(vm));
    }
    return inContact;
}

bool Edge::leadsStoreQueries(Time now) const
{
    return eelgrasscove::leadsStoreQueries(nameHash(settings_.vm_), peersInContact(now));
}

void Edge::updateTargetListKnowledge()
{
    targetList_.revision_ = targetFeed_->revision();
    targetList_.queriedAt_ = targetFeed_->queriedAt();
    targetList_.confirmedAt_ = targetFeed_->confirmedAt().value_or(Time{});
}

bool Edge::mayPostponeTargetWatch()
{
    const Time now = bootNow();
    updateTargetListKnowledge();
    const auto maxAge =
        std::chrono::duration_cast<Duration>(settings_.bounds_.drain_ * maxTargetsAgeFraction);
    return !leadsStoreQueries(now) && mayPostponeQuery(targetList_, maxAge, now);
}

bool Edge::mattersToPlacement(const wire::StoreItem &item) const
{
    const auto found = targets_.find(item.key_.substr(wire::targetPrefix.size()));
    if (item.isDeleted_ || found == targets_.end() || found->second->state_.missingSince_)
        return true;
    const TargetState &state = found->second->state_;
    const auto decoded = wire::decodeTarget(state.listed_.id_, item.value_);
    if (!ok(decoded))
        return false;
    ListedTarget newer = valueOf(decoded);
    // The agent reports them at once.
    if (state.hasAgentReport_) {
        newer.adapters_ = state.listed_.adapters_;
        newer.models_ = state.listed_.models_;
    }
    // The remaining time is another one in each entry; it matters that a target becomes cold.
    if (newer.cold_.left_ == Duration::zero() || isCold(state.cold_, bootNow()))
        newer.cold_ = state.listed_.cold_;
    return newer != state.listed_;
}

bool Edge::isReady(Time now) const
{
    return !isShuttingDown_ && areRulesFresh(now) && !targets_.empty() && peerFeed_->confirmedAt()
        && areSuspectsKnown(now);
}

void Edge::applyOperatorItem(const wire::StoreItem &item)
{
    if (item.key_ == wire::rulesKey && !item.isDeleted_) {
        applyRules(item.value_);
        return;
    }
    if (applyEvacuationItem(item) || !item.key_.starts_with(wire::adapterVersionPrefix)
        || item.isDeleted_)
        return;
    const auto decoded = wire::decodeVersion(item.value_);
    if (!ok(decoded)) {
        eventLog().note("version.ignored", "key", item.key_, "reason", errorOf(decoded).message_);
        return;
    }
    const wire::AdapterVersionUpdate &named = valueOf(decoded);
    const Time namedAt = operatorFeed_->earliestChangeAt();
    AdapterVersionHistory &history = adapterVersions_[named.adapter_];
    if (!recordVersion(history, {named.version_, namedAt}, versionOverlap(), bootNow()))
        return;
    eventLog().note("version.adopted", "adapter", named.adapter_, "version", named.version_,
                    "named_within_ms", (bootNow() - namedAt).count() / 1000);
}

void Edge::onUnreadableRules(std::string_view reason)
{
    // The watch may have paused for its coalescing period before it delivered the change.
    recordUnreadableRules(rulesAge_, operatorFeed_->earliestChangeAt() - rulesCoalescingPeriod);
    setGauge("eelgrasscove_rules_unreadable", "", 1);
    const Duration age = bootNow() - rulesConfirmedAt();
    eventLog().note("rules.ignored", "reason", reason, "kept_version",
                    rules_ ? rules_->rules().version_ : 0, "keys_valid_ms",
                    std::max(settings_.bounds_.revoke_ - age, Duration::zero()).count() / 1000);
}

void Edge::applyRules(const std::string &text)
{
    Result<ServingRules, wire::DecodeError> decoded = wire::decodeRules(text);
    if (!ok(decoded)) {
        onUnreadableRules(errorOf(decoded).message_);
        return;
    }
    recordReadableRules(rulesAge_);
    setGauge("eelgrasscove_rules_unreadable", "", 0);
    ServingRules &rules = valueOf(decoded);
    if (rules.version_ >= std::max(rules_ ? rules_->rules().version_ : 0, peersRulesVersion_))
        recordRulesWrittenAgain(rulesAge_);
    if (rules_ && rules.version_ <= rules_->rules().version_) {
        if (rulesHash_ != nameHash(text)) {
            eventLog().note("rules.ignored", "reason", "the version is not newer", "version",
                            rules.version_, "kept_version", rules_->rules().version_);
        }
        return;
    }
    rulesHash_ = nameHash(text);
    eventLog().note("rules.adopted", "version", rules.version_, "routes", rules.routes_.size(),
                    "accounts", rules.accounts_.size(), "account_list",
                    nameOf(accountListNames, rules.accountList_), "needs_keys", needsKeys(rules),
                    "previous_version", rules_ ? rules_->rules().version_ : 0,
                    "previous_account_list",
                    rules_ ? nameOf(accountListNames, rules_->rules().accountList_) : "");
    recordRuleFaults(rules);
    setGauge("eelgrasscove_rules_version", "", static_cast<double>(rules.version_));
    accountByHash_.clear();
    for (const ServingAccount &account : rules.accounts_)
        accountByHash_[nameHash(account.name_)] = account.name_;
    rules_ = std::make_shared<const RuleIndex>(std::move(rules));
    firstRulesAt_ = firstRulesAt_.value_or(bootNow());
    for (const auto &[id, target] : targets_)
        markReplacedTargets(target->state_);
    applyColdRules();
}

void Edge::applyTargetItem(const wire::StoreItem &item)
{
    if (mattersToPlacement(item))
        targetsChangeRevision_ = std::max(targetsChangeRevision_, item.revision_);
    const std::string id = item.key_.substr(wire::targetPrefix.size());
    if (item.isDeleted_) {
        releaseEntry(restoredEntries_, id);
        applyTargetRemoval(id, bootNow());
        return;
    }
    const auto decoded = wire::decodeTarget(id, item.value_);
    Endpoint endpoint;
    if (!ok(decoded) || !parseEndpoint(valueOf(decoded).address_, endpoint)) {
        eventLog().note("target.ignored", "target", id, "reason",
                        ok(decoded) ? "address is not A.B.C.D:PORT" : errorOf(decoded).message_);
        return;
    }
    const ListedTarget &listed = valueOf(decoded);
    if (!targets_.contains(id)
        && holdIfRemovedBefore(restoredEntries_, {id, listed.startedAt_}, item,
                               targetFeed_->listRevision(), bootNow())) {
        eventLog().note("target.held", "target", id, "revision", item.revision_, "reason",
                        "it was removed before the store was restored from an older copy");
        return;
    }
    releaseEntry(restoredEntries_, id);
    std::shared_ptr<EdgeTarget> &target = targets_[id];
    if (target
        && (target->state_.endpoint_ != endpoint
            || target->state_.listed_.service_ != listed.service_)) {
        removeTarget(id);
        applyTargetItem(item);
        return;
    }
    if (!target) {
        target = std::make_shared<EdgeTarget>(loop_, endpoint);
        target->state_.endpoint_ = endpoint;
        targetsOfService_[listed.service_].push_back(target);
        eventLog().note("target.listed", "target", id, "service", listed.service_, "address",
                        listed.address_, "data_centre", listed.dataCentre_);
    }
    TargetState &state = target->state_;
    adoptListed(state, listed);
    applyListedTime(*target, listed, item.revision_);

    updateIfEvacuated(*target);
    state.missingSince_.reset();
    markReplacedTargets(state);
    if (listed.draining_)
        applyLeaving(instanceOf(state), LeavingSource::List);
    if (state.hasAgentReport_)
        return;
    state.models_.clear();
    for (const std::string &model : listed.models_)
        state.models_.insert(nameHash(model));
    state.adapters_.clear();
    for (const std::string &resident : listed.adapters_) {
        const std::size_t at = resident.rfind('@');
        std::uint64_t version = 1;
        if (at != std::string::npos)
            std::from_chars(resident.data() + at + 1, resident.data() + resident.size(), version);
        state.adapters_[nameHash(resident.substr(0, at))] = version;
    }
}

void Edge::markReplacedTargets(const TargetState &newer)
{
    // The entry of a service that the rules don't name may come from another writer.
    if (!rules_ || rules_->findService(newer.listed_.service_) == nullptr)
        return;
    for (const auto &[id, target] : targets_) {
        TargetState &state = target->state_;
        if (&state == &newer || state.endpoint_ != newer.endpoint_ || state.isReplaced_
            || state.listed_.startedAt_ >= newer.listed_.startedAt_)
            continue;
        state.isReplaced_ = true;
        target->crashedAt_ = bootNow();
        eventLog().note("target.replaced", "target", id, "by", newer.listed_.id_, "address",
                        newer.listed_.address_);
        withdrawUnsent(*target);
    }
}

void Edge::applyTargetList(const std::vector<wire::StoreItem> &items)
{
    std::set<std::string> present;
    restoredEntries_.held_.clear();
    for (const wire::StoreItem &item : items) {
        present.insert(item.key_.substr(wire::targetPrefix.size()));
        applyTargetItem(item);
    }
    const Time now = bootNow();
    std::vector<std::string> removed;
    for (const auto &[id, target] : targets_) {
        if (!present.contains(id) && !target->state_.missingSince_)
            removed.push_back(id);
    }
    // The list doesn't say at which revisions they were removed.
    if (!removed.empty())
        targetsChangeRevision_ = std::max(targetsChangeRevision_, targetFeed_->revision());
    for (const std::string &id : removed)
        applyTargetRemoval(id, now);
}

void Edge::applyTargetRemoval(const std::string &id, Time now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    if (now - targetFeed_->reachableSince() < targetRelistTimeout)
        found->second->state_.missingSince_ = now;
    else
        removeTarget(id);
}

void Edge::removeMissingTargets(Time now)
{
    if (!targetFeed_->isReachable())
        return;
    std::vector<std::string> expired;
    for (const auto &[id, target] : targets_) {
        const std::optional<Time> &since = target->state_.missingSince_;
        if (since && now - std::max(*since, targetFeed_->reachableSince()) > targetRelistTimeout)
            expired.push_back(id);
    }
    for (const std::string &id : expired)
        removeTarget(id);
}

void Edge::removeTarget(const std::string &id)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    const std::shared_ptr<EdgeTarget> target = found->second;
    eventLog().note("target.gone", "target", id, "service", target->state_.listed_.service_);
    rememberNotice(rememberedNotices_, instanceOf(target->state_), target->state_.notice_,
                   bootNow());
    recordRemovedTarget(restoredEntries_, instanceOf(target->state_), bootNow());
    std::erase(targetsOfService_[target->state_.listed_.service_], target);
    targets_.erase(found);
    updateRelativePaces(target->state_.listed_.service_);
}

void Edge::applyPeerItem(const wire::StoreItem &item)
{
    const std::string vm = item.key_.substr(entryPrefix.size());
    if (vm == settings_.vm_)
        return;
    Endpoint endpoint;
    if (item.isDeleted_) {
        const auto peer = peers_.find(vm);
        if (peer != peers_.end())
            peer->second.removedAt_ = bootNow();
        eventLog().note("peer.left", "peer", vm, "revision", item.revision_);
    } else if (parseEndpoint(item.value_, endpoint)) {
        peers_[vm] = {endpoint, std::nullopt};
        eventLog().note("peer.listed", "peer", vm, "address", item.value_, "revision",
                        item.revision_);
    } else {
        eventLog().note("peer.ignored", "peer", vm, "reason", "address is not A.B.C.D:PORT");
    }
}

void Edge::applyPeerList(const std::vector<wire::StoreItem> &items)
{
    std::set<std::string> present;
    for (const wire::StoreItem &item : items) {
        present.insert(item.key_.substr(entryPrefix.size()));
        applyPeerItem(item);
    }
    for (auto &[vm, peer] : peers_) {
        if (!present.contains(vm) && !peer.removedAt_)
            peer.removedAt_ = bootNow();
    }
    updatePeerList();
}

void Edge::removeDepartedPeers(Time now)
{
    const std::size_t before = peers_.size();
    std::erase_if(peers_, [&](const auto &each) {
        const auto contact = peerContacts_.find(each.first);
        const Time lastContactAt =
            contact == peerContacts_.end() ? Time{} : contact->second.receivedAt_;
        // A peer that has lost its connection to the store accepts keys for this time.
        return each.second.removedAt_
            && now - std::max(*each.second.removedAt_, lastContactAt) > settings_.bounds_.revoke_;
    });
    if (peers_.size() != before)
        updatePeerList();
}

std::set<std::string> Edge::peerNames() const
{
    std::set<std::string> vms;
    for (const auto &[vm, peer] : peers_)
        vms.insert(vm);
    return vms;
}

Duration Edge::rulesWatchTimeout() const
{
    const double waits = std::clamp(static_cast<double>(peers_.size() + 1) / entriesPerWatchTimeout,
                                    1.0, maxWatchTimeoutFactor);
    return std::chrono::duration_cast<Duration>(rulesAgeBound() * rulesWatchFraction * waits);
}

void Edge::updatePeerList()
{
    const std::set<std::string> vms = peerNames();
    std::erase_if(peerContacts_, [&](const auto &peer) { return !vms.contains(peer.first); });
    vmByHash_.clear();
    for (const std::string &vm : vms)
        vmByHash_[nameHash(vm)] = vm;
    setPeers(allowance_, vms);
    retryBudget_.entries_ = vms.size() + 1;
    operatorFeed_->setMaxWatchWait(rulesWatchTimeout());
    coldEntries_.assign(vms.begin(), vms.end());
    coldEntries_.push_back(settings_.vm_);
    refreshColdLimits();
    eventLog().note("peers.changed", "entries", vms.size() + 1);
}

int runEdge(int argc, char **argv)
{
    return runServingProgram(
        "eelgrasscove-edge", argc, argv,
        [](EventLoop &loop, const ServingSettings &settings, const std::string &file) {
            auto edge = std::make_shared<Edge>(loop, settings, file);
            return edge->start() ? edge : nullptr;
        });
}

} // namespace eelgrasscove
