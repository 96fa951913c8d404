#pragma once

/// The thread that speaks with the platform: polls the VM list, watches the stored rules and makes
/// key-value calls. Everything it learns goes to one sink.
///
/// Keys are written without the settings' prefix. VMs that operators have drained (keys under
/// rules/drain/) are delivered as leaving, whatever the platform's list says. Revisions of the
/// rules are delivered in rising order only, though some may be left out.

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

    /// Whether this process reads and watches the rules and the drained VMs itself; it does unless
    /// told otherwise. Safe from any thread.
    void setWatching(bool watching);

    /// How often the list of VMs is read from the next reading on; first as the settings say. Safe
    /// from any thread.
    void setVmListPeriod(Duration period);

    /// Reads the rules once, whether it watches them or not. Safe from any thread.
    void readRules();

    /// Queues one call; its KvOutcome comes through the sink with the same tag. Calls under way
    /// together may take effect in any order. False where the queue is full; the call is then not
    /// made. Safe from any thread.
    bool submit(KvOperation operation);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
