#include "Agent/agent.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Vm/servingprogram.h"
#include "platform/ruleswire.h"
#include "platform/storewire.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// The engine's report costs it nothing on its own VM; asked often while something is on its way.
constexpr Duration calmPoll = 100ms;
constexpr Duration eagerPoll = 20ms;
constexpr Duration reportTimeout = 500ms;
/// An order is answered within a few ms or not at all.
constexpr Duration orderTimeout = 400ms;
constexpr Duration storeTimeout = 1500ms;
constexpr Duration storeRetry = 500ms;
/// An entry that was silent for so long is told nothing more.
constexpr Duration entryLife = 3s;
/// An entry hears at least this often, so that it can tell silence from calm.
constexpr Duration tellAtLeast = 500ms;
/// The same while the engine has work, so that a standstill shows soon.
constexpr Duration tellAtLeastBusy = 200ms;
/// A changed load is told to each of so many entries at most this often for each of them.
constexpr Duration tellPause = 22ms;
constexpr Duration longestTellPause = 400ms;
constexpr Duration logPeriod = 500ms;
/// Failed questions after which the engine counts as down.
constexpr std::uint32_t failuresOfDown = 2;
/// A model's load isn't ordered again before this, as its order may be carried out late.
constexpr Duration modelOrderAgain = 3s;

/// Pause after a refused order: what stands in its way, such as an order that waits for runs, takes
/// longer than a report.
constexpr Duration refusalPause = 100ms;

constexpr std::string_view fencePrefix = "eelgrasscove/fence/";

std::size_t hashOf(const wire::EngineReport &report,
                   const std::map<std::string, WishedAdapter> &wishes)
{
    std::string text;
    for (const wire::HeldAdapter &held : report.adapters_)
        text += fmt::format("{}@{} ", held.adapter_, held.version_);
    text += '|';
    for (const wire::HeldAdapter &held : report.incoming_)
        text += fmt::format("{}@{} ", held.adapter_, held.version_);
    text += '|';
    for (const auto &[adapter, wish] : wishes)
        text += fmt::format("{}@{} ", adapter, wish.version_);
    for (const std::string &model : report.models_)
        text += model + ' ';
    return std::hash<std::string>{}(text);
}

/// Weight of one stream in the part that was late: the last twenty count.
constexpr double streamWeight = 0.05;

double ratioAfter(double ratio, std::uint32_t streams, std::uint32_t late)
{
    if (streams == 0)
        return ratio;
    const double part = static_cast<double>(late) / streams;
    return part + (ratio - part) * std::pow(1 - streamWeight, streams);
}

MarkedAdapter marked(const std::string &adapter, std::uint64_t version)
{
    return {markOf(adapter), static_cast<std::uint32_t>(version)};
}

bool isIncoming(const wire::EngineReport &report, const std::string &adapter)
{
    return std::any_of(report.incoming_.begin(), report.incoming_.end(),
                       [&](const wire::HeldAdapter &held) { return held.adapter_ == adapter; });
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
      storeCaller_(loop, store_), engineCaller_(loop, endpointOf(settings_.engine_)),
      orderCaller_(loop, endpointOf(settings_.engine_)), number_(unixMicros())
{ }

bool Agent::start()
{
    loop_.onSignals(
        [this] {
            if (leaving_)
                return;
            leaving_ = true;
            eventLog().note("process.stopped");
            eventLog().flush();
            loop_.stop();
        },
        [] { eventLog().note("settings.reloaded", "changed", "nothing that an agent uses"); });
    const int opened =
        socket_.open(loop_, endpointOf(settings_.peersListen_),
                     [this](auto bytes, const auto &from) { onDatagram(bytes, from); });
    if (opened != 0) {
        eventLog().note("listen.failed", "what", "peers", "address", settings_.peersListen_,
                        "error", uv_err_name(opened));
        return false;
    }
    Endpoint metrics;
    if (parseEndpoint(settings_.metricsListen_, metrics)) {
        metrics_.listen(loop_, metrics, [](std::string_view) {
            return TextAnswer{200, metricsText()};
        });
    }
    eventLog().note("process.started", "role", "agent", "engine", settings_.engine_);
    takeFence();
    schedulePoll();
    loop_.timers().every(logPeriod, [] { eventLog().flush(); });
    return true;
}

void Agent::takeFence()
{
    wire::StoreCall call =
        wire::writeCall(std::string(fencePrefix) + settings_.vm_, settings_.engine_, 0);
    storeCaller_.call(std::move(call.method_), std::move(call.target_), std::move(call.body_),
                      storeTimeout, [this](const std::optional<HttpAnswer> &answer) {
                          const auto revision = answer && answer->status_ == 200
                              ? wire::decodeRevision(answer->body_)
                              : std::nullopt;
                          if (!revision) {
                              eventLog().note("fence.failed", "status",
                                              answer ? answer->status_ : 0);
                              loop_.timers().once(storeRetry, [this] { takeFence(); });
                              return;
                          }
                          fence_ = *revision;
                          eventLog().note("fence.taken", "fence", fence_);
                          readLimits();
                      });
}

void Agent::readLimits()
{
    wire::StoreCall call = wire::readCall(wire::rulesKey);
    storeCaller_.call(std::move(call.method_), std::move(call.target_), "", storeTimeout,
                      [this](const std::optional<HttpAnswer> &answer) {
                          if (answer && answer->status_ == 200) {
                              const auto item = wire::decodeItem(answer->body_);
                              const auto rules = item ? wire::decodeRules(item->value_)
                                                      : wire::DecodeError{"no item"};
                              if (ok(rules)) {
                                  for (const ServedService &service : valueOf(rules).services_) {
                                      if (service.name_ == settings_.engineService_)
                                          limits_ = service.engine_;
                                  }
                              }
                          }
                          if (limits_) {
                              eventLog().note("limits.read", "adapter_slots",
                                              limits_->adapterSlots_, "weights_mb",
                                              limits_->weightsMb_);
                              return;
                          }
                          loop_.timers().once(storeRetry, [this] { readLimits(); });
                      });
}

void Agent::schedulePoll()
{
    const bool eager = !report_.incoming_.empty() || !plan_.wishes_.empty() || report_.busy_;
    loop_.timers().cancel(pollTimer_);
    pollTimer_ = loop_.timers().once(eager ? eagerPoll : calmPoll, [this] { poll(); });
}

void Agent::poll()
{
    if (polling_)
        return;
    polling_ = true;
    engineCaller_.call("GET", std::string(wire::reportPath), "", reportTimeout,
                       [this](const std::optional<HttpAnswer> &answer) {
                           polling_ = false;
                           takeReport(answer);
                           schedulePoll();
                       });
}

void Agent::takeReport(const std::optional<HttpAnswer> &answer)
{
    std::optional<wire::EngineReport> report =
        answer && answer->status_ == 200 ? wire::decodeReport(answer->body_) : std::nullopt;
    const bool wasUp = up_;
    if (!report) {
        ++failedPolls_;
        up_ = failedPolls_ < failuresOfDown && up_;
        if (wasUp && !up_) {
            eventLog().note("engine.lost", "engine", settings_.engine_, "status",
                            answer ? answer->status_ : 0);
            tellEntries(true, false);
        }
        return;
    }
    failedPolls_ = 0;
    up_ = true;
    if (report->startedAt_ != report_.startedAt_)
        targetId_.clear();
    if (!wasUp || report->startedAt_ != report_.startedAt_) {
        eventLog().note("engine.found", "engine", settings_.engine_, "fence", fence_, "started",
                        report->startedAt_, "orders", report->orders_, "adapters",
                        report->adapters_.size(), "models", report->models_.size());
    }
    if (report->models_ != report_.models_) {
        eventLog().note("engine.models", "models", report->models_.size(), "adapters",
                        report->adapters_.size(), "orders", report->orders_);
    }
    const bool loadChanged = report->running_ != report_.running_
        || report->waiting_ != report_.waiting_ || report->draining_ != report_.draining_;
    report_ = std::move(*report);
    expirePlan(plan_, report_, bootNow());
    const std::size_t hash = hashOf(report_, plan_.wishes_);
    if (hash != listsHash_) {
        listsHash_ = hash;
        ++residency_;
    }
    tellEntries(!wasUp, loadChanged);
    order();
}

void Agent::order()
{
    if (ordering_ || fence_ == 0 || !limits_ || !up_ || report_.draining_)
        return;
    const Time now = bootNow();
    if (now - refusedAt_ < refusalPause)
        return;
    std::optional<wire::EngineOrder> next = nextOrder(plan_, report_, *limits_, now);
    if (!next || (next->adapter_.empty() && now - modelOrderedAt_ < modelOrderAgain))
        return;
    if (next->adapter_.empty())
        modelOrderedAt_ = now;
    next->holder_ = settings_.vm_;
    next->fence_ = fence_;
    ordering_ = true;
    countMetric("eelgrasscove_orders_total");
    std::string headers;
    if (!targetId_.empty())
        appendHeader(headers, wire::expectTargetHeader, targetId_);
    orderCaller_.call(
        "POST", std::string(wire::orderPath), wire::encodeOrder(*next), orderTimeout,
        [this, order = *next](const std::optional<HttpAnswer> &answer) {
            ordering_ = false;
            takeOrderAnswer(order, answer);
        },
        std::move(headers));
}

void Agent::takeOrderAnswer(const wire::EngineOrder &order, const std::optional<HttpAnswer> &answer)
{
    eventLog().note(
        "order.answered", "kind", order.kind_ == wire::OrderKind::Load ? "load" : "unload", "model",
        order.model_, "adapter", order.adapter_, "version", order.version_, "expected_orders",
        order.expectedOrders_, "fence", order.fence_, "status", answer ? answer->status_ : 0);
    if (answer && answer->status_ == 202)
        noteAccepted(plan_, order, report_, bootNow());
    else if (answer && answer->status_ != 200)
        refusedAt_ = bootNow();
    // The next order depends on what this one did.
    loop_.timers().cancel(pollTimer_);
    poll();
}

void Agent::onDatagram(std::string_view bytes, const Endpoint &from)
{
    std::optional<PeerMessage> message = decodePeerMessage(bytes);
    const auto *wishes = message ? std::get_if<EntryWishes>(&*message) : nullptr;
    if (wishes == nullptr) {
        eventLog().note("datagram.ignored", "from", from.text(), "bytes", bytes.size());
        return;
    }
    const Time now = bootNow();
    const auto [entry, isNew] = entries_.try_emplace(wishes->vm_);
    if (isNew)
        eventLog().note("entry.heard", "entry", wishes->vm_, "address", from.text());
    entry->second.address_ = from;
    entry->second.at_ = now;
    entry->second.knownResidency_ = wishes->knownResidency_;
    // The report tells no id; entries have it from the list, for the same start.
    if (targetId_.empty() && up_ && wishes->targetStartedAt_ == report_.startedAt_)
        targetId_ = wishes->target_;
    lateRatio_ = ratioAfter(lateRatio_, wishes->streams_, wishes->lateStreams_);
    for (const NameMark adapter : wishes->inUse_)
        noteUse(plan_, adapter, now);
    bool wished = false;
    for (const AdapterWish &wish : wishes->wishes_) {
        wished = wished || !plan_.wishes_.contains(wish.adapter_);
        takeWish(plan_, wish.adapter_, wish.version_, wish.requests_, now);
    }
    if (wished) {
        loop_.timers().cancel(pollTimer_);
        poll();
    }
}

EngineState Agent::stateFor(const HeardEntry &entry)
{
    EngineState state;
    state.target_ = targetId_.empty() ? 0 : markOf(targetId_);
    state.number_ = ++number_;
    state.startedAt_ = report_.startedAt_;
    state.up_ = up_;
    state.draining_ = report_.draining_;
    state.running_ = report_.running_;
    state.waiting_ = report_.waiting_;
    state.usedTokens_ = report_.usedTokens_;
    state.memoryTokens_ = report_.memoryTokens_;
    state.lateRatio_ = static_cast<float>(lateRatio_);
    state.residency_ = residency_;
    state.hasLists_ = entry.knownResidency_ != residency_;
    for (const auto &[adapter, wish] : plan_.wishes_) {
        if (isIncoming(report_, adapter))
            continue;
        ++state.loadsWaiting_;
        if (state.hasLists_)
            state.incoming_.push_back(marked(adapter, wish.version_));
    }
    if (!state.hasLists_)
        return state;
    for (const wire::HeldAdapter &held : report_.adapters_)
        state.adapters_.push_back(marked(held.adapter_, held.version_));
    for (const wire::HeldAdapter &held : report_.incoming_)
        state.incoming_.push_back(marked(held.adapter_, held.version_));
    for (const std::string &model : report_.models_)
        state.models_.push_back(markOf(model));
    return state;
}

void Agent::tellEntries(bool urgent, bool loadChanged)
{
    const Time now = bootNow();
    const bool busy = report_.running_ + report_.waiting_ > 0;
    const Duration atLeast = busy ? tellAtLeastBusy : tellAtLeast;
    std::erase_if(entries_, [&](const auto &entry) { return now - entry.second.at_ > entryLife; });
    // The more entries there are, the less each needs to know of what the others send here.
    const Duration pause =
        std::min(tellPause * static_cast<int>(entries_.size()), longestTellPause);
    for (auto &[vm, entry] : entries_) {
        const Duration since = now - entry.toldAt_;
        entry.changed_ = entry.changed_ || loadChanged;
        const bool listsDue = entry.knownResidency_ != residency_;
        const bool due =
            urgent || listsDue || since >= atLeast || (entry.changed_ && since >= pause);
        if (!due)
            continue;
        entry.toldAt_ = now;
        entry.changed_ = false;
        socket_.send(encodePeerMessage(stateFor(entry)), entry.address_);
        // Taken as received; the entry's next message says if it wasn't.
        entry.knownResidency_ = residency_;
    }
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
