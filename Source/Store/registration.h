#pragma once

/// Registers a process in the store: writes one key under a lease and renews the lease while the
/// process runs.

#include "Store/storeclient.h"

namespace eelgrasscove {

class Registration
{
public:
    Registration(EventLoop &loop, const Endpoint &store, StoreEra &era, std::string key,
                 std::string value);

    void start();

    /// Revokes the lease, so that the store removes the key at once. Calls onEnded when the store
    /// has responded or the call has failed.
    void revoke(std::function<void()> onEnded);

private:
    void onEraChanged();
    void acquireLease();
    void write();
    void renew();
    void scheduleNext(Duration pause);

    EventLoop &loop_;
    StoreClient client_;
    std::string key_;
    std::string value_;
    std::uint64_t lease_ = 0;
    bool isWritten_ = false;
    bool isStarted_ = false;
    bool isEnding_ = false;
    TimerId nextCallTimer_ = 0;
};

} // namespace eelgrasscove
