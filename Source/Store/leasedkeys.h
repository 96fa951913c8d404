#pragma once

/// Lists the keys under one prefix of the platform's store, and writes keys that the store removes
/// after a lifetime.

#include "Store/keylist.h"

#include <string>
#include <vector>

namespace eelgrasscove {

class LeasedKeys
{
public:
    /// Receives whether the store has confirmed the call.
    using DoneHandler = std::function<void(bool)>;

    LeasedKeys(EventLoop &loop, const Endpoint &store, StoreEra &era, const std::string &prefix,
               Duration lifetime);

    /// Lists the keys once; repeats calls that fail until all pages of one era have been received.
    void list(std::function<void(const std::vector<wire::StoreItem> &)> onListed);

    /// Writes the key under a lease of its own, so that it expires a lifetime after the last write.
    void write(const std::string &key, const std::string &value, DoneHandler onDone);
    void remove(const std::string &key, DoneHandler onDone);

    /// Whether calls are sent or queued.
    bool isBusy() const { return client_.pending() > 0; }

private:
    EventLoop &loop_;
    void onEraChanged();

    StoreClient client_;
    Duration lifetime_;
    KeyList list_;
    std::function<void(const std::vector<wire::StoreItem> &)> onListed_;
    bool isListing_ = false;
    TimerId retryTimer_ = 0;
};

} // namespace eelgrasscove
