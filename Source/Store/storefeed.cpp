#include "Store/storefeed.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A list answers within a few ms; a slow store took up to 100 times as long on its users' bench.
constexpr Duration listTimeout = 1500ms;
/// What a watch may take beyond its wait before the connection counts as silent.
constexpr Duration watchSlack = 1000ms;
/// The least that a watch may wait.
constexpr std::chrono::milliseconds shortestWait = 1ms;
/// First and longest pause after a failed call.
constexpr Duration firstRetry = 100ms;
constexpr Duration longestRetry = 800ms;

} // namespace

StoreFeed::StoreFeed(EventLoop &loop, const Endpoint &store, StoreFeedSettings settings,
                     StoreFeedCallbacks callbacks)
    : loop_(loop), caller_(loop, store), confirmCaller_(loop, store),
      settings_(std::move(settings)), callbacks_(std::move(callbacks))
{ }

void StoreFeed::start()
{
    listing_.clear();
    firstPage_ = true;
    listBegan_ = bootNow();
    list("");
}

void StoreFeed::list(const std::string &afterKey)
{
    wire::StoreCall call = wire::rangeCall(settings_.keyPrefix_, afterKey, false);
    countMetric("eelgrasscove_store_calls_total", "call=\"range\"");
    caller_.call(std::move(call.method_), std::move(call.target_), "", listTimeout,
                 [this](std::optional<HttpResponse> response) { takeList(std::move(response)); });
}

void StoreFeed::takeList(std::optional<HttpResponse> response)
{
    if (!response || response->status_ != 200) {
        retryLater([this] { start(); }, "list");
        return;
    }
    std::optional<wire::StoreItems> page = wire::decodeItems(response->body_);
    if (!page) {
        retryLater([this] { start(); }, "list unreadable");
        return;
    }
    if (firstPage_)
        listRevision_ = page->revision_;
    firstPage_ = false;
    for (wire::StoreItem &item : page->items_)
        listing_.push_back(std::move(item));
    if (page->more_ && !listing_.empty()) {
        list(listing_.back().key_);
        return;
    }
    // Pages are no snapshot: the watch goes on from the first, and repeats what later ones had.
    revision_ = listRevision_;
    succeed();
    confirm(listBegan_);
    eventLog().note("store.listed", "prefix", settings_.keyPrefix_, "keys", listing_.size(),
                    "revision", revision_);
    callbacks_.listed_(listing_);
    listing_.clear();
    watch();
}

void StoreFeed::watch()
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.wait_);
    wire::StoreCall call = wire::watchCall(settings_.keyPrefix_, revision_, wait.count());
    callSent_ = bootNow();
    countMetric("eelgrasscove_store_calls_total", "call=\"watch\"");
    caller_.call(std::move(call.method_), std::move(call.target_), "", settings_.wait_ + watchSlack,
                 [this](std::optional<HttpResponse> response) { takeWatch(std::move(response)); });
}

void StoreFeed::confirmNow()
{
    if (!confirmedAt_ || confirmCaller_.pending() > 0)
        return;
    // A watch that doesn't wait answers whether there is anything after the revision known here.
    wire::StoreCall call = wire::watchCall(settings_.keyPrefix_, revision_, shortestWait.count());
    countMetric("eelgrasscove_store_calls_total", "call=\"confirm\"");
    const Time sent = bootNow();
    const std::uint64_t revision = revision_;
    confirmCaller_.call(std::move(call.method_), std::move(call.target_), "", listTimeout,
                        [this, sent, revision](const std::optional<HttpResponse> &response) {
                            if (!response || response->status_ != 200)
                                return;
                            const auto news = wire::decodeItems(response->body_);
                            // Changes are left to the watch, so that they are taken in their order.
                            if (news && news->items_.empty() && revision_ >= revision)
                                confirm(sent);
                        });
}

void StoreFeed::takeWatch(std::optional<HttpResponse> response)
{
    if (!response || (response->status_ != 200 && response->status_ != 410)) {
        retryLater([this] { watch(); }, response ? std::to_string(response->status_) : "no answer");
        return;
    }
    if (response->status_ == 410) {
        eventLog().note("store.history_lost", "prefix", settings_.keyPrefix_, "revision",
                        revision_);
        start();
        return;
    }
    const std::optional<wire::StoreItems> news = wire::decodeItems(response->body_);
    if (!news) {
        retryLater([this] { watch(); }, "watch unreadable");
        return;
    }
    succeed();
    // An empty answer that was held for the whole wait says that nothing had changed by its end.
    const Time waitEnd = callSent_ + settings_.wait_;
    confirm(news->items_.empty() && bootNow() >= waitEnd ? waitEnd : callSent_);
    revision_ = std::max(revision_, news->revision_);
    for (const wire::StoreItem &item : news->items_)
        callbacks_.changed_(item);
    if (news->items_.empty() || settings_.gather_ == Duration::zero())
        watch();
    else
        loop_.timers().once(settings_.gather_, [this] { watch(); });
}

void StoreFeed::confirm(Time at)
{
    confirmedAt_ = std::max(confirmedAt_.value_or(at), at);
}

void StoreFeed::succeed()
{
    failures_ = 0;
    if (reachable_)
        return;
    reachable_ = true;
    reachableSince_ = bootNow();
    eventLog().note("store.regained", "prefix", settings_.keyPrefix_);
    callbacks_.reachable_(true);
}

void StoreFeed::retryLater(std::function<void()> again, std::string_view reason)
{
    ++failures_;
    if (reachable_ || failures_ == 1)
        eventLog().note("store.lost", "prefix", settings_.keyPrefix_, "reason", reason);
    countMetric("eelgrasscove_store_failures_total");
    const bool lost = reachable_;
    reachable_ = false;
    if (lost)
        callbacks_.reachable_(false);
    const Duration pause = std::min(firstRetry * (1 << std::min(failures_ - 1, 3U)), longestRetry);
    loop_.timers().once(pause, std::move(again));
}

} // namespace eelgrasscove
