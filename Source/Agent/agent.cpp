#include "Agent/agent.h"

#include "Observe/buildidentity.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Peer/datagrammetrics.h"
#include "Peer/dissemination.h"
#include "Peer/pacecode.h"
#include "Vm/servingprogram.h"
#include "platform/ruleswire.h"
#include "platform/storewire.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Period between two requests for the engine's report. The report costs the engine nothing, as the
/// agent runs on the same VM; the shorter period applies while a load is requested or in progress.
constexpr Duration idlePollPeriod = 100ms;
constexpr Duration activePollPeriod = 20ms;
constexpr Duration reportTimeout = 500ms;
/// The engine replies to an order within a few milliseconds or not at all.
constexpr Duration orderTimeout = 400ms;
/// An engine's report lists its adapters and requests. An engine in trouble may send bytes without
/// end, and the agent's VM has little memory.
constexpr std::size_t maxEngineBodyBytes = 1024UL * 1024;
constexpr Duration storeTimeout = 1500ms;
constexpr Duration storeRetryPause = 500ms;
/// Period at which expired origins of streams are removed.
constexpr Duration originExpiryPeriod = 1s;
/// An entry that has sent nothing for this long no longer receives the engine's state.
constexpr Duration entryTimeout = 3s;
/// Maximum period between two states sent to an entry, so that the entry can distinguish a lost
/// connection from an unchanged state.
constexpr Duration maxIdleStatePeriod = 500ms;
/// The same while the engine has requests, so that entries detect a frozen engine sooner.
constexpr Duration maxBusyStatePeriod = 200ms;
/// Minimum pause between two states sent because of a changed load, per recipient: with N of them
/// the pause is N times as long, up to the maximum below.
constexpr Duration loadUpdatePausePerRecipient = 22ms;
constexpr Duration maxLoadUpdatePause = 400ms;
/// An entry is chosen as a relay if it has sent a message within this time: entries send at least
/// one a second.
constexpr Duration relayContactTimeout = 1200ms;
/// An entry that has sent a load request within this time gets states without a relay.
constexpr Duration directStateTime = 500ms;
constexpr Duration logFlushPeriod = 500ms;
/// Consecutive failed polls after which the engine counts as down.
constexpr std::uint32_t failedPollsUntilDown = 2;
/// Pause before the load of a model is ordered again: the engine may carry out an order late.
constexpr Duration modelOrderRetryPause = 3s;

/// Pause after a refused order. The cause, such as an earlier order that waits for running
/// requests, lasts longer than one poll.
constexpr Duration orderRefusalPause = 100ms;

constexpr std::string_view fencingKeyPrefix = "eelgrasscove/fence/";

std::size_t residencyHashOf(const wire::EngineReport &report,
                            const std::map<std::string, RequestedAdapter> &requested)
{
    std::string text;
    for (const wire::VersionedAdapter &held : report.adapters_)
        text += fmt::format("{}@{} ", held.adapter_, held.version_);
    text += '|';
    for (const wire::VersionedAdapter &held : report.incoming_)
        text += fmt::format("{}@{} ", held.adapter_, held.version_);
    text += '|';
    for (const auto &[adapter, request] : requested)
        text += fmt::format("{}@{} ", adapter, request.version_);
    for (const std::string &model : report.models_)
        text += model + ' ';
    return std::hash<std::string>{}(text);
}

/// Smoothing factor of the late fraction: an average over about 20 streams.
constexpr double streamWeight = 0.05;

double updatedLateRatio(double ratio, std::uint32_t streams, std::uint32_t lateStreams)
{
    if (streams == 0)
        return ratio;
    const double fraction = static_cast<double>(lateStreams) / streams;
    return fraction + (ratio - fraction) * std::pow(1 - streamWeight, streams);
}

std::uint32_t clampedTo32(std::uint64_t number)
{
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(number, std::numeric_limits<std::uint32_t>::max()));
}

HashedAdapter hashedAdapter(const std::string &adapter, std::uint64_t version)
{
    return {nameHash(adapter), static_cast<std::uint32_t>(version)};
}

bool isIncoming(const wire::EngineReport &report, const std::string &adapter)
{
    return std::any_of(
        report.incoming_.begin(), report.incoming_.end(),
        [&](const wire::VersionedAdapter &held) { return held.adapter_ == adapter; });
}

std::uint64_t unixMicros()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

Endpoint endpointOf(const std::string &text)
{
    Endpoint endpoint;
    parseEndpoint(text, endpoint);
    return endpoint;
}

} // namespace

Agent::Agent(EventLoop &loop, ServingSettings settings)
    : loop_(loop), settings_(std::move(settings)), store_(endpointOf(settings_.store_)),
      vm_(nameHash(settings_.vm_)), dataCentre_(nameHash(settings_.dataCentre_)),
      storeClient_(loop, store_, storeEra_),
      engineClient_(loop, endpointOf(settings_.engine_), maxEngineBodyBytes),
      orderClient_(loop, endpointOf(settings_.engine_), maxEngineBodyBytes),
      stateNumber_(unixMicros())
{ }

bool Agent::start()
{
    loop_.onSignals(
        [this] {
            if (isStopping_)
                return;
            isStopping_ = true;
            eventLog().note("process.stopped");
            eventLog().flush();
            loop_.stop();
        },
        [] {
            eventLog().note("settings.reloaded", "changed",
                            "none of the settings that the agent uses");
        });
    const int openResult =
        socket_.open(loop_, endpointOf(settings_.peersListen_),
                     [this](auto bytes, const auto &from) { handleDatagram(bytes, from); });
    if (openResult != 0) {
        eventLog().note("listen.failed", "what", "peers", "address", settings_.peersListen_,
                        "error", uv_err_name(openResult));
        return false;
    }
    Endpoint metrics;
    if (parseEndpoint(settings_.metricsListen_, metrics)) {
        metrics_.listen(loop_, metrics, [](std::string_view) {
            return TextAnswer{200, metricsText()};
        });
    }
    eventLog().note("process.started", "role", "agent", "build", buildIdentity(), "engine",
                    settings_.engine_);
    acquireFencingNumber();
    schedulePoll();
    loop_.timers().every(logFlushPeriod, [] { eventLog().flush(); });
    loop_.timers().every(originExpiryPeriod, [this] { removeExpiredOrigins(origins_, bootNow()); });
    return true;
}

void Agent::acquireFencingNumber()
{
    wire::StoreCall call =
        wire::writeCall(std::string(fencingKeyPrefix) + settings_.vm_, settings_.engine_, 0);
    storeClient_.call(
        std::move(call), storeTimeout, [this](const std::optional<HttpResponse> &response) {
            const auto revision = response && response->status_ == 200
                ? wire::decodeRevision(response->body_)
                : std::nullopt;
            if (!revision) {
                eventLog().note("fence.failed", "status", response ? response->status_ : 0);
                loop_.timers().once(storeRetryPause, [this] { acquireFencingNumber(); });
                return;
            }
            fencingNumber_ = fencingNumberOf(storeEra_.number(), *revision);
            eventLog().note("fence.taken", "fence", fencingNumber_, "era", storeEra_.number());
            readLimits();
        });
}

void Agent::readLimits()
{
    wire::StoreCall call = wire::readCall(wire::rulesKey);
    storeClient_.call(
        std::move(call), storeTimeout, [this](const std::optional<HttpResponse> &response) {
            if (response && response->status_ == 200) {
                const auto item = wire::decodeItem(response->body_);
                const auto rules = item ? wire::decodeRules(item->value_)
                                        : wire::DecodeError{"the store returned no item"};
                if (ok(rules)) {
                    for (const ServedService &service : valueOf(rules).services_) {
                        if (service.name_ == settings_.engineService_)
                            limits_ = service.engine_;
                    }
                }
            }
            if (limits_) {
                eventLog().note("limits.read", "adapter_slots", limits_->adapterSlots_,
                                "weights_mb", limits_->weightsMb_);
                return;
            }
            loop_.timers().once(storeRetryPause, [this] { readLimits(); });
        });
}

void Agent::schedulePoll()
{
    const bool isActive =
        !report_.incoming_.empty() || !plan_.requestedAdapters_.empty() || report_.isBusy_;
    loop_.timers().cancel(pollTimer_);
    pollTimer_ =
        loop_.timers().once(isActive ? activePollPeriod : idlePollPeriod, [this] { poll(); });
}

void Agent::poll()
{
    if (isPolling_)
        return;
    isPolling_ = true;
    engineClient_.call("GET", std::string(wire::reportPath), "", reportTimeout,
                       [this](const std::optional<HttpResponse> &response) {
                           isPolling_ = false;
                           handleReport(response);
                           schedulePoll();
                       });
}

void Agent::handleReport(const std::optional<HttpResponse> &response)
{
    std::optional<wire::EngineReport> report =
        response && response->status_ == 200 ? wire::decodeReport(response->body_) : std::nullopt;
    const bool wasEngineUp = isEngineUp_;
    if (!report) {
        ++failedPolls_;
        isEngineUp_ = failedPolls_ < failedPollsUntilDown && isEngineUp_;
        if (wasEngineUp && !isEngineUp_) {
            eventLog().note("engine.lost", "engine", settings_.engine_, "status",
                            response ? response->status_ : 0);
            sendStateToEntries(true, false);
        }
        return;
    }
    failedPolls_ = 0;
    isEngineUp_ = true;
    if (report->startedAt_ != report_.startedAt_) {
        targetId_.clear();
        paceFit_ = {};
    }
    if (!wasEngineUp || report->startedAt_ != report_.startedAt_) {
        eventLog().note("engine.found", "engine", settings_.engine_, "fence", fencingNumber_,
                        "started", report->startedAt_, "orders", report->orders_, "adapters",
                        report->adapters_.size(), "models", report->models_.size());
    }
    if (report->models_ != report_.models_) {
        eventLog().note("engine.models", "models", report->models_.size(), "adapters",
                        report->adapters_.size(), "orders", report->orders_);
    }
    const bool hasLoadChanged = report->running_ != report_.running_
        || report->waiting_ != report_.waiting_ || report->isDraining_ != report_.isDraining_;
    report_ = std::move(*report);
    expirePlan(plan_, report_, bootNow());
    const std::size_t hash = residencyHashOf(report_, plan_.requestedAdapters_);
    if (hash != residencyHash_) {
        residencyHash_ = hash;
        ++residencyNumber_;
    }
    sendStateToEntries(!wasEngineUp, hasLoadChanged);
    order();
}

void Agent::order()
{
    if (isOrdering_ || fencingNumber_ == 0 || !limits_ || !isEngineUp_ || report_.isDraining_)
        return;
    const Time now = bootNow();
    if (now - orderRefusedAt_ < orderRefusalPause)
        return;
    std::optional<wire::EngineOrder> next = nextOrder(plan_, report_, *limits_, now);
    if (!next || (next->adapter_.empty() && now - modelOrderedAt_ < modelOrderRetryPause))
        return;
    if (next->adapter_.empty())
        modelOrderedAt_ = now;
    next->holder_ = settings_.vm_;
    next->fencingNumber_ = fencingNumber_;
    isOrdering_ = true;
    countMetric("eelgrasscove_orders_total");
    std::string headers;
    if (!targetId_.empty())
        appendHeader(headers, wire::expectTargetHeader, targetId_);
    orderClient_.call(
        "POST", std::string(wire::orderPath), wire::encodeOrder(*next), orderTimeout,
        [this, order = *next](const std::optional<HttpResponse> &response) {
            isOrdering_ = false;
            handleOrderResponse(order, response);
        },
        std::move(headers));
}

void Agent::handleOrderResponse(const wire::EngineOrder &order,
                                const std::optional<HttpResponse> &response)
{
    eventLog().note("order.answered", "kind",
                    order.kind_ == wire::EngineOrderKind::Load ? "load" : "unload", "model",
                    order.model_, "adapter", order.adapter_, "version", order.version_,
                    "expected_orders", order.expectedOrders_, "fence", order.fencingNumber_,
                    "status", response ? response->status_ : 0);
    if (response && response->status_ == 202)
        recordAccepted(plan_, order, report_, bootNow());
    else if (response && response->status_ != 200)
        orderRefusedAt_ = bootNow();
    // The next order depends on the effect of this one.
    loop_.timers().cancel(pollTimer_);
    poll();
}

void Agent::handleDatagram(std::string_view bytes, const Endpoint &from)
{
    std::optional<PeerMessage> message = decodePeerMessage(bytes);
    if (const auto *report = message ? std::get_if<StreamOriginReport>(&*message) : nullptr)
        handleOriginReport(*report);
    else if (const auto *query = message ? std::get_if<StreamOriginQuery>(&*message) : nullptr)
        handleOriginQuery(*query, from);
    else if (const auto *loads = message ? std::get_if<EntryLoadRequests>(&*message) : nullptr)
        handleLoadRequests(*loads, from);
    else
        eventLog().note("datagram.ignored", "from", from.text(), "bytes", bytes.size());
}

void Agent::handleOriginReport(const StreamOriginReport &report)
{
    if (!keepOrigin(origins_, report, bootNow())) {
        countMetric("eelgrasscove_stream_origins_dropped_total");
        return;
    }
    setGauge("eelgrasscove_stream_origins", "", static_cast<double>(origins_.origins_.size()));
}

void Agent::handleOriginQuery(const StreamOriginQuery &query, const Endpoint &from)
{
    const NameHash version = originOf(origins_, query.stream_, bootNow());
    countMetric("eelgrasscove_origin_queries_total",
                version == 0 ? "result=\"unknown\"" : "result=\"known\"");
    socket_.send(encodePeerMessage(StreamOriginResponse{query.stream_, version}), from);
}

void Agent::handleLoadRequests(const EntryLoadRequests &message, const Endpoint &from)
{
    const Time now = bootNow();
    const auto [entry, isNew] = entries_.try_emplace(message.vm_);
    if (isNew)
        eventLog().note("entry.heard", "entry", message.vm_, "address", from.text());
    entry->second.address_ = from;
    entry->second.dataCentre_ = message.dataCentre_;
    entry->second.lastContactAt_ = now;
    if (!message.loadRequests_.empty())
        entry->second.loadRequestedAt_ = now;
    entry->second.knownResidencyNumber_ = message.knownResidencyNumber_;
    // The report contains no target id. Entries read it from the target list; it is valid for the
    // same start of the engine.
    if (targetId_.empty() && isEngineUp_ && message.targetStartedAt_ == report_.startedAt_)
        targetId_ = message.target_;
    lateRatio_ = updatedLateRatio(lateRatio_, message.streams_, message.lateStreams_);
    recordEventIntervals(message);
    for (const NameHash adapter : message.usedAdapters_)
        recordUse(plan_, adapter, now);
    bool hasNewRequest = false;
    for (const AdapterLoadRequest &request : message.loadRequests_) {
        hasNewRequest = hasNewRequest || !plan_.requestedAdapters_.contains(request.adapter_);
        addLoadRequest(plan_, request.adapter_, request.version_, request.requests_, now);
    }
    if (hasNewRequest) {
        loop_.timers().cancel(pollTimer_);
        poll();
    }
}

void Agent::recordEventIntervals(const EntryLoadRequests &message)
{
    // Those of an earlier start, or of another target at this address, say nothing of this engine.
    if (!message.eventIntervals_ || message.target_ != targetId_
        || message.targetStartedAt_ != report_.startedAt_)
        return;
    const std::uint8_t before = paceFit_.reported_;
    if (!addEventIntervals(paceFit_, *message.eventIntervals_)) {
        countMetric("eelgrasscove_event_intervals_ignored_total");
        eventLog().note("pace.sums_ignored", "entry", message.vm_, "streams",
                        message.eventIntervals_->streams_);
    } else if (paceFit_.reported_ != before) {
        eventLog().note("engine.pace", "event_micros", decodePace(paceFit_.reported_), "before",
                        decodePace(before), "streams", paceFit_.streams_);
    }
}

EngineStateMessage Agent::makeState(bool hasLists)
{
    EngineStateMessage state;
    state.target_ = targetId_.empty() ? 0 : nameHash(targetId_);
    state.number_ = ++stateNumber_;
    state.startedAt_ = report_.startedAt_;
    state.isUp_ = isEngineUp_;
    state.isDraining_ = report_.isDraining_;
    state.running_ = report_.running_;
    state.waiting_ = report_.waiting_;
    state.unread_ = report_.waiting_ + report_.unbegun_;
    state.usedTokens_ = clampedTo32(report_.usedTokens_);
    state.memoryTokens_ = clampedTo32(report_.memoryTokens_);
    state.lateRatio_ = static_cast<float>(lateRatio_);
    state.pace_ = paceFit_.reported_;
    state.residencyNumber_ = residencyNumber_;
    state.hasLists_ = hasLists;
    for (const auto &[adapter, request] : plan_.requestedAdapters_) {
        if (isIncoming(report_, adapter))
            continue;
        ++state.pendingLoads_;
        if (state.hasLists_)
            state.incoming_.push_back(hashedAdapter(adapter, request.version_));
    }
    if (!state.hasLists_)
        return state;
    for (const wire::VersionedAdapter &held : report_.adapters_)
        state.adapters_.push_back(hashedAdapter(held.adapter_, held.version_));
    for (const wire::VersionedAdapter &held : report_.incoming_)
        state.incoming_.push_back(hashedAdapter(held.adapter_, held.version_));
    for (const std::string &model : report_.models_)
        state.models_.push_back(nameHash(model));
    return state;
}

void Agent::sendStateToEntries(bool isUrgent, bool hasLoadChanged)
{
    const Time now = bootNow();
    std::erase_if(entries_, [&](const auto &entry) {
        return now - entry.second.lastContactAt_ > entryTimeout;
    });
    std::map<NameHash, std::vector<KnownEntry *>> entriesOf;
    for (auto &[vm, entry] : entries_)
        entriesOf[entry.dataCentre_].push_back(&entry);
    std::erase_if(sentStates_, [&](const auto &sent) { return !entriesOf.contains(sent.first); });
    const auto own = entriesOf.find(dataCentre_);
    const std::size_t recipients =
        entriesOf.size() + (own == entriesOf.end() ? 0 : own->second.size() - 1);
    // The more entries there are, the less often each needs the load that the others cause here.
    const Duration pause =
        std::min(loadUpdatePausePerRecipient * static_cast<int>(recipients), maxLoadUpdatePause);
    for (const auto &[dataCentre, entries] : entriesOf) {
        SentState &sent = sentStates_[dataCentre];
        sent.hasLoadChanged_ = sent.hasLoadChanged_ || hasLoadChanged;
        sendStateToDataCentre(dataCentre, entries, isUrgent, pause, now);
    }
}

void Agent::sendStateToDataCentre(NameHash dataCentre, const std::vector<KnownEntry *> &entries,
                                  bool isUrgent, Duration loadUpdatePause, Time now)
{
    const bool hasRequests = report_.running_ + report_.waiting_ > 0;
    const Duration maxPeriod = hasRequests ? maxBusyStatePeriod : maxIdleStatePeriod;
    const bool hasNewLists =
        std::any_of(entries.begin(), entries.end(), [this](const KnownEntry *entry) {
            return entry->knownResidencyNumber_ != residencyNumber_;
        });
    SentState &sent = sentStates_[dataCentre];
    const Duration sinceSent = now - sent.sentAt_;
    if (!isUrgent && !hasNewLists && sinceSent < maxPeriod
        && (!sent.hasLoadChanged_ || sinceSent < loadUpdatePause))
        return;
    std::vector<Member> members;
    for (const KnownEntry *entry : entries) {
        // Without the id, a relayed report can't be attributed to its target.
        const bool isDirect =
            targetId_.empty() || (hasNewLists && now - entry->loadRequestedAt_ < directStateTime);
        members.push_back({entry->address_, dataCentre,
                           now - entry->lastContactAt_ < relayContactTimeout, isDirect});
    }
    std::string bytes = encodePeerMessage(makeState(hasNewLists));
    for (const Recipient &recipient :
         chooseRecipients(members, vm_, dataCentre_, ++sent.messages_)) {
        setRoute(bytes, recipient.isRelay_ ? DatagramRoute::ToRelay : DatagramRoute::Direct);
        countDatagrams("engine_state", dataCentre == dataCentre_, 1, bytes.size());
        socket_.send(bytes, members[recipient.member_].endpoint_);
    }
    sent.sentAt_ = now;
    sent.hasLoadChanged_ = false;
    // Assumed to arrive; the entry's next message corrects this if the datagram was lost.
    for (KnownEntry *entry : entries)
        entry->knownResidencyNumber_ = residencyNumber_;
}

std::uint64_t fencingNumberOf(std::uint64_t storeEra, std::uint64_t revision)
{
    constexpr unsigned revisionBits = 40;
    constexpr std::uint64_t maxEra = (1U << 13U) - 1;
    return (std::min(storeEra, maxEra) << revisionBits) + revision;
}

int runAgent(int argc, char **argv)
{
    return runServingProgram(
        "eelgrasscove-agent", argc, argv,
        [](EventLoop &loop, const ServingSettings &settings, const std::string &) {
            auto agent = std::make_shared<Agent>(loop, settings);
            return agent->start() ? agent : nullptr;
        });
}

} // namespace eelgrasscove
