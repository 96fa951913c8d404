#pragma once

/// Follows all keys under one prefix of the platform's store: lists them, then watches for changes.

#include "Store/keylist.h"

#include <map>
#include <string>

namespace eelgrasscove {

/// Time from a restoration of the store until the changes that it has lost have been written again.
/// The operators and the targets do so within about two seconds of the store's return.
constexpr Duration restoredStoreSettleTime = std::chrono::milliseconds(2200);

struct StoreFeedSettings
{
    std::string keyPrefix_;
    /// Maximum time for which the store holds a watch without a change.
    Duration maxWatchWait_ = std::chrono::seconds(2);
    /// Pause after a watch that returned changes, so that a series of changes needs few calls.
    Duration batchPause_ = std::chrono::milliseconds(100);
};

struct StoreFeedCallbacks
{
    /// Receives the current keys, after the start, whenever the store no longer has the history
    /// since the last known revision, and twice after a restoration of the store: at once, when
    /// changes that were known may be missing (isSettling()), and when they have been written
    /// again.
    std::function<void(const std::vector<wire::StoreItem> &)> onListed_;
    std::function<void(const wire::StoreItem &)> onChanged_;
    /// Receives false when the connection to the store is lost and true when it is restored.
    std::function<void(bool)> onReachableChanged_;
    /// Asked when the pause after a batch of changes has passed: whether the next watch may be sent
    /// later. Without it, the watch is sent then.
    std::function<bool()> mayPostponeWatch_ = {};
};

class StoreFeed
{
public:
    StoreFeed(EventLoop &loop, const Endpoint &store, StoreEra &era, StoreFeedSettings settings,
              StoreFeedCallbacks callbacks);

    void start();

    /// Sets the maximum wait of later watches.
    void setMaxWatchWait(Duration wait) { settings_.maxWatchWait_ = wait; }

    /// Queries the store at once, beside the waiting watch, for changes; if there are none,
    /// confirmedAt() advances. Changes that the watch hasn't delivered by the time of the response
    /// are delivered, and the watch is started anew: its connection may be silent. A call that
    /// fails counts as a loss of the connection to the store.
    void confirmNow();

    /// Returns a time before which all changes that the store acknowledged are known here; empty
    /// before the first list. It does not advance while the store is settling.
    std::optional<Time> confirmedAt() const { return confirmedAt_; }
    /// Returns the earliest time at which the changes that are being delivered may have been made.
    /// A watch delivers a change as it is made; changes in a list, made while the store was out of
    /// reach, or written again while it is settling may date back to the last confirmation, or to
    /// any time if there was none.
    Time earliestChangeAt() const { return earliestChangeAt_; }
    /// Returns the revision up to which all changes are known here.
    std::uint64_t revision() const { return revision_; }
    /// Returns the highest revision of a key or deletion that is known here, apart from deletions
    /// before the last list. revision() also counts changes of other keys, so it may be higher.
    std::uint64_t lastChangeRevision() const { return lastChangeRevision_; }
    /// Returns the store revision at the first page of the last list.
    std::uint64_t listRevision() const { return listRevision_; }
    /// Returns whether the store has been restored and may still lack changes that it had
    /// acknowledged.
    bool isSettling() const { return isSettling_; }
    /// Returns whether a watch waits for a response; it gets one at the next change.
    bool isWatchWaiting() const { return isWatchWaiting_; }
    /// Returns the time at which the last list or watch was sent.
    Time queriedAt() const { return watchSentAt_; }
    bool isReachable() const { return isReachable_; }
    /// Returns the time at which the connection to the store was last restored.
    Time reachableSince() const { return reachableSince_; }

private:
    /// Starts from a new list, without the responses to the calls in progress.
    void restart();
    void onEraChanged();
    void applyList(const ListedKeys &list);
    void watch();
    /// Sends the next watch unless it may be postponed.
    void watchWhenDue();
    void handleWatchResponse(std::optional<HttpResponse> response);
    void handleConfirmResponse(const std::optional<HttpResponse> &response, Time sentAt,
                               std::uint64_t callRevision);
    /// Calls watch() without the response of the waiting watch.
    void replaceWaitingWatch();
    void deliver(const wire::StoreItems &changes);
    void confirm(Time at);
    void recordSuccess();
    void recordFailure(std::string_view reason);
    void retryLater(std::function<void()> retry, std::string_view reason);
    /// Schedules the next call, in place of one that is scheduled.
    void callAfter(Duration pause, std::function<void()> call);

    EventLoop &loop_;
    StoreClient client_;
    StoreClient confirmClient_;
    StoreFeedSettings settings_;
    StoreFeedCallbacks callbacks_;
    KeyList list_;
    std::optional<Time> confirmedAt_;
    Time earliestChangeAt_;
    Time watchSentAt_;
    /// Wait of the watch sent last; setMaxWatchWait() doesn't change it.
    Duration watchWait_{};
    Time reachableSince_;
    std::uint64_t listRevision_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t lastChangeRevision_ = 0;
    std::uint32_t consecutiveFailures_ = 0;
    bool isReachable_ = false;
    bool isWatchWaiting_ = false;
    bool isListing_ = false;
    bool isStarted_ = false;
    bool isSettling_ = false;
    TimerId nextCallTimer_ = 0;
    TimerId settleTimer_ = 0;
};

} // namespace eelgrasscove
