#pragma once

/// The thread that speaks with the platform: polls the VM list, watches the stored rules and makes
/// key-value calls. Everything it learns goes to one sink.

#include "Vm/settings.h"

#include <eelgrasscove/platform.h>

#include <functional>
#include <memory>

namespace eelgrasscove {

class PlatformService
{
public:
    /// Called from the platform threads; must not block. False means that the receiver is full;
    /// the event is offered again.
    using Deliver = std::function<bool(PlatformEvent &&)>;

    PlatformService(PlatformSettings settings, Deliver deliver);
    ~PlatformService();

    PlatformService(const PlatformService &) = delete;
    PlatformService &operator=(const PlatformService &) = delete;

    void start();
    void stop();

    /// Queues one call; its KvOutcome comes through the sink with the same tag. False where the
    /// queue is full; the call is then not made.
    bool submit(KvOperation operation);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
