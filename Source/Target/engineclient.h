#pragma once

/// The thread that speaks HTTP with the target: runs, adapter orders, cancels and state readings,
/// many at once.

#include "Target/engineevents.h"

#include <eelgrasscove/result.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace eelgrasscove {

/// The target's address, by IP number.
struct TargetAddress
{
    std::string host_;
    std::uint16_t port_ = 0;
};

/// The engine layer's own errors.
struct EngineError
{
    std::string message_;
};

/// Reads "http://IP:PORT".
Result<TargetAddress, EngineError> parseTargetUrl(const std::string &url);

struct EngineClientSettings
{
    TargetAddress address_;
    /// True for a model engine, false for a plain service.
    bool engine_ = true;
    /// How long a connection is kept between runs. A target may close one that is kept longer.
    Duration idleTime_ = std::chrono::seconds(2);
};

class EngineClient
{
public:
    /// Called from the engine thread; must not block. False means that the receiver is full: the
    /// event is untouched, and is offered again before more is read.
    using Deliver = std::function<bool(EngineEvent &&)>;

    EngineClient(EngineClientSettings settings, Deliver deliver);
    ~EngineClient();

    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    void start();

    /// Breaks off whatever is under way.
    void stop();

    /// Queues a command. False where the queue is full; nothing is then sent. Safe from any thread.
    bool submit(EngineCommand command);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
