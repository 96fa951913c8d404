#pragma once

/// HTTP client of the target: one thread that carries out runs, adapter orders, cancellations and
/// state readings concurrently.

#include "Target/engineevents.h"

#include <eelgrasscove/result.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace eelgrasscove {

/// The target's IP address and port.
struct TargetAddress
{
    std::string host_;
    std::uint16_t port_ = 0;
};

/// States why a target URL is invalid.
struct TargetUrlError
{
    std::string message_;
};

/// Parses "http://IP:PORT", with an optional trailing slash.
Result<TargetAddress, TargetUrlError> parseTargetUrl(const std::string &url);

struct EngineClientSettings
{
    TargetAddress address_;
    /// True for a model engine, false for a plain service.
    bool isModelEngine_ = true;
    /// Maximum time that a connection stays open between runs. It should be shorter than the
    /// target's own keep-alive timeout: a target may close a connection that is idle for longer.
    Duration idleTimeout_ = std::chrono::seconds(2);
};

class EngineClient
{
public:
    /// Called on the engine client's thread; must not block. Returns false if the receiver is full:
    /// the event is then unchanged, and is passed again before more of that response is read.
    using Deliver = std::function<bool(EngineEvent &&)>;

    EngineClient(EngineClientSettings settings, Deliver deliver);
    ~EngineClient();

    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    void start();

    /// Aborts all calls in progress and joins the thread.
    void stop();

    /// Queues a command. Returns false if the queue is full; nothing is sent then. May be called
    /// from any thread.
    bool submit(EngineCommand command);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
