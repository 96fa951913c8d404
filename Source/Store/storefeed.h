#pragma once

/// Keeps up with all keys under one prefix of the platform's store: lists them, then watches.

#include "Net/httpcaller.h"
#include "platform/storewire.h"

#include <map>
#include <string>

namespace eelgrasscove {

struct StoreFeedSettings
{
    std::string keyPrefix_;
    /// Longest time that a watch waits at the store for a change.
    Duration wait_ = std::chrono::seconds(2);
    /// Pause after a watch that brought changes, so that a series of them costs few calls.
    Duration gather_ = std::chrono::milliseconds(100);
};

struct StoreFeedCallbacks
{
    /// The present keys, after a start or a lost history.
    std::function<void(const std::vector<wire::StoreItem> &)> listed_;
    std::function<void(const wire::StoreItem &)> changed_;
    /// Contact with the store was lost or regained.
    std::function<void(bool)> reachable_;
};

class StoreFeed
{
public:
    StoreFeed(EventLoop &loop, const Endpoint &store, StoreFeedSettings settings,
              StoreFeedCallbacks callbacks);

    void start();

    /// Sets how long later watches wait.
    void setWait(Duration wait) { settings_.wait_ = wait; }

    /// Asks at once, beside the watch that waits, whether anything has changed.
    void confirmNow();

    /// All changes acknowledged before this time are known here. Empty before the first list.
    std::optional<Time> confirmedAt() const { return confirmedAt_; }
    bool reachable() const { return reachable_; }
    /// When contact was last regained.
    Time reachableSince() const { return reachableSince_; }

private:
    void list(const std::string &afterKey);
    void takeList(std::optional<HttpResponse> response);
    void watch();
    void takeWatch(std::optional<HttpResponse> response);
    void confirm(Time at);
    void succeed();
    void retryLater(std::function<void()> again, std::string_view reason);

    EventLoop &loop_;
    HttpCaller caller_;
    HttpCaller confirmCaller_;
    StoreFeedSettings settings_;
    StoreFeedCallbacks callbacks_;
    std::vector<wire::StoreItem> listing_;
    std::optional<Time> confirmedAt_;
    Time listBegan_;
    Time callSent_;
    Time reachableSince_;
    std::uint64_t listRevision_ = 0;
    std::uint64_t revision_ = 0;
    std::uint32_t failures_ = 0;
    bool reachable_ = false;
    bool firstPage_ = true;
};

} // namespace eelgrasscove
