#include "Store/storefeed.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// The store usually responds within a few milliseconds; a slow store takes up to 100 times as
/// long.
constexpr Duration confirmTimeout = 1500ms;
/// Time that a watch may take beyond its wait before the connection counts as lost.
constexpr Duration watchTimeoutMargin = 1000ms;
/// Shortest wait of a watch that the store accepts.
constexpr std::chrono::milliseconds minWatchWait = 1ms;
/// Period at which a postponed watch is considered again.
constexpr Duration postponementCheckPeriod = 100ms;
/// Pause after the first failed call, doubled after each further one up to the maximum.
constexpr Duration firstRetryPause = 100ms;
constexpr Duration maxRetryPause = 800ms;

} // namespace

StoreFeed::StoreFeed(EventLoop &loop, const Endpoint &store, StoreEra &era,
                     StoreFeedSettings settings, StoreFeedCallbacks callbacks)
    : loop_(loop), client_(loop, store, era), confirmClient_(loop, store, era),
      settings_(std::move(settings)), callbacks_(std::move(callbacks)),
      list_(client_, settings_.keyPrefix_,
            {[this](const ListedKeys &list) { applyList(list); },
             [this](std::string_view reason) { retryLater([this] { list_.resume(); }, reason); }})
{
    era.onChanged([this] { onEraChanged(); });
}

void StoreFeed::start()
{
    isStarted_ = true;
    isListing_ = true;
    list_.start();
}

void StoreFeed::restart()
{
    loop_.timers().cancel(nextCallTimer_);
    client_.dropCalls();
    confirmClient_.dropCalls();
    isWatchWaiting_ = false;
    start();
}

void StoreFeed::onEraChanged()
{
    if (!isStarted_)
        return;
    revision_ = 0;
    listRevision_ = 0;
    lastChangeRevision_ = 0;
    // The store was out of reach, whether or not a call failed.
    isReachable_ = false;
    isSettling_ = true;
    loop_.timers().cancel(settleTimer_);
    settleTimer_ = loop_.timers().once(restoredStoreSettleTime, [this] {
        isSettling_ = false;
        restart();
    });
    restart();
}

void StoreFeed::applyList(const ListedKeys &list)
{
    // The watch starts after the revision of the first page and repeats changes that later pages
    // already contain.
    revision_ = list.revision_;
    listRevision_ = list.revision_;
    isListing_ = false;
    for (const wire::StoreItem &item : list.items_)
        lastChangeRevision_ = std::max(lastChangeRevision_, item.revision_);
    earliestChangeAt_ = confirmedAt_.value_or(Time{});
    recordSuccess();
    confirm(list.requestedAt_);
    eventLog().note("store.listed", "prefix", settings_.keyPrefix_, "keys", list.items_.size(),
                    "revision", revision_, "era", client_.era().number());
    callbacks_.onListed_(list.items_);
    watch();
}

void StoreFeed::watch()
{
    const auto wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.maxWatchWait_);
    wire::StoreCall call = wire::watchCall(settings_.keyPrefix_, revision_, wait.count());
    watchSentAt_ = bootNow();
    watchWait_ = settings_.maxWatchWait_;
    isWatchWaiting_ = true;
    countMetric("eelgrasscove_store_calls_total", "call=\"watch\"");
    client_.call(
        std::move(call), settings_.maxWatchWait_ + watchTimeoutMargin,
        [this](std::optional<HttpResponse> response) { handleWatchResponse(std::move(response)); });
}

void StoreFeed::confirmNow()
{
    if (!confirmedAt_ || confirmClient_.pending() > 0)
        return;
    // A watch that doesn't wait returns all changes after the revision known here.
    wire::StoreCall call = wire::watchCall(settings_.keyPrefix_, revision_, minWatchWait.count());
    countMetric("eelgrasscove_store_calls_total", "call=\"confirm\"");
    const Time sentAt = bootNow();
    // The connection of the last confirmation may have become silent together with the watch's.
    confirmClient_.dropCalls();
    confirmClient_.call(
        std::move(call), confirmTimeout,
        [this, sentAt, revision = revision_](const std::optional<HttpResponse> &response) {
            handleConfirmResponse(response, sentAt, revision);
        });
}

void StoreFeed::handleConfirmResponse(const std::optional<HttpResponse> &response, Time sentAt,
                                      std::uint64_t callRevision)
{
    if (!response || (response->status_ != 200 && response->status_ != 410)) {
        recordFailure(response ? std::to_string(response->status_) : "no answer");
        return;
    }
    // A list that is in progress contains all changes and is delivered first.
    if (isListing_ || revision_ < callRevision)
        return;
    if (response->status_ == 410 && revision_ == callRevision && isWatchWaiting_) {
        replaceWaitingWatch();
        return;
    }
    if (response->status_ != 200)
        return;
    const std::optional<wire::StoreItems> changes =
        wire::decodeItems(response->body_, settings_.keyPrefix_);
    if (!changes)
        return;
    recordSuccess();
    noteIgnoredItems(settings_.keyPrefix_, *changes);
    if (changes->items_.empty()) {
        revision_ = std::max(revision_, changes->revision_);
        confirm(sentAt);
        return;
    }
    // The watch has delivered these changes or a part of them; the next watch delivers the rest.
    if (revision_ != callRevision)
        return;
    eventLog().note("store.watch_behind", "prefix", settings_.keyPrefix_, "changes",
                    changes->items_.size(), "revision", changes->revision_);
    earliestChangeAt_ = confirmedAt_.value_or(Time{});
    confirm(sentAt);
    deliver(*changes);
    if (isWatchWaiting_)
        replaceWaitingWatch();
}

void StoreFeed::replaceWaitingWatch()
{
    client_.dropCalls();
    watch();
}

void StoreFeed::deliver(const wire::StoreItems &changes)
{
    revision_ = std::max(revision_, changes.revision_);
    for (const wire::StoreItem &item : changes.items_) {
        lastChangeRevision_ = std::max(lastChangeRevision_, item.revision_);
        callbacks_.onChanged_(item);
    }
}

void StoreFeed::handleWatchResponse(std::optional<HttpResponse> response)
{
    isWatchWaiting_ = false;
    if (!response || (response->status_ != 200 && response->status_ != 410)) {
        retryLater([this] { watch(); }, response ? std::to_string(response->status_) : "no answer");
        return;
    }
    if (response->status_ == 410) {
        eventLog().note("store.history_lost", "prefix", settings_.keyPrefix_, "revision", revision_,
                        "era", client_.era().number());
        start();
        return;
    }
    const std::optional<wire::StoreItems> changes =
        wire::decodeItems(response->body_, settings_.keyPrefix_);
    if (!changes) {
        retryLater([this] { watch(); }, "watch response could not be parsed");
        return;
    }
    noteIgnoredItems(settings_.keyPrefix_, *changes);
    earliestChangeAt_ = isReachable_ && !isSettling_ ? loop_.pausedSince().value_or(bootNow())
                                                     : confirmedAt_.value_or(Time{});
    recordSuccess();
    // An empty response after the whole wait shows that nothing had changed by the end of the wait.
    const Time waitEnd = watchSentAt_ + watchWait_;
    confirm(changes->items_.empty() && bootNow() >= waitEnd ? waitEnd : watchSentAt_);
    deliver(*changes);
    if (changes->items_.empty() || settings_.batchPause_ == Duration::zero())
        watch();
    else
        callAfter(settings_.batchPause_, [this] { watchWhenDue(); });
}

void StoreFeed::watchWhenDue()
{
    if (!callbacks_.mayPostponeWatch_ || !callbacks_.mayPostponeWatch_()) {
        watch();
        return;
    }
    countMetric("eelgrasscove_store_watches_postponed_total");
    callAfter(postponementCheckPeriod, [this] { watchWhenDue(); });
}

void StoreFeed::confirm(Time at)
{
    if (!isSettling_)
        confirmedAt_ = std::max(confirmedAt_.value_or(at), at);
}

void StoreFeed::recordSuccess()
{
    consecutiveFailures_ = 0;
    if (isReachable_)
        return;
    isReachable_ = true;
    reachableSince_ = bootNow();
    eventLog().note("store.regained", "prefix", settings_.keyPrefix_, "revision", revision_, "era",
                    client_.era().number());
    callbacks_.onReachableChanged_(true);
}

void StoreFeed::recordFailure(std::string_view reason)
{
    ++consecutiveFailures_;
    if (isReachable_ || consecutiveFailures_ == 1)
        eventLog().note("store.lost", "prefix", settings_.keyPrefix_, "reason", reason);
    countMetric("eelgrasscove_store_failures_total");
    const bool wasReachable = isReachable_;
    isReachable_ = false;
    if (wasReachable)
        callbacks_.onReachableChanged_(false);
}

void StoreFeed::retryLater(std::function<void()> retry, std::string_view reason)
{
    recordFailure(reason);
    const Duration pause =
        std::min(firstRetryPause * (1 << std::min(consecutiveFailures_ - 1, 3U)), maxRetryPause);
    callAfter(pause, std::move(retry));
}

void StoreFeed::callAfter(Duration pause, std::function<void()> call)
{
    loop_.timers().cancel(nextCallTimer_);
    nextCallTimer_ = loop_.timers().once(pause, std::move(call));
}

} // namespace eelgrasscove
