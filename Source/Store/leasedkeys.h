#pragma once

/// Lists the keys under one prefix of the platform's store, and writes keys that the store removes
/// after a lifetime.

#include "Net/httpcaller.h"
#include "platform/storewire.h"

#include <string>
#include <vector>

namespace eelgrasscove {

class LeasedKeys
{
public:
    /// Receives whether the store has confirmed the call.
    using DoneHandler = std::function<void(bool)>;

    LeasedKeys(EventLoop &loop, const Endpoint &store, std::string prefix, Duration lifetime);

    /// Lists the keys once; repeats calls that fail until all pages have been received.
    void list(std::function<void(const std::vector<wire::StoreItem> &)> onListed);

    /// Writes the key under a lease of its own, so that it expires a lifetime after the last write.
    void write(const std::string &key, const std::string &value, DoneHandler onDone);
    void remove(const std::string &key, DoneHandler onDone);

    /// Whether calls are sent or queued.
    bool isBusy() const { return client_.pending() > 0; }

private:
    void requestPage(const std::string &afterKey);

    EventLoop &loop_;
    HttpCaller client_;
    std::string prefix_;
    Duration lifetime_;
    std::vector<wire::StoreItem> listedItems_;
    std::function<void(const std::vector<wire::StoreItem> &)> onListed_;
};

} // namespace eelgrasscove
