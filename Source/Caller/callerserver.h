#pragma once

/// The HTTP front: one thread that reads callers' requests, strips their keys, and writes answers.

#include "Caller/callermessages.h"
#include "Observe/statusboard.h"
#include "Vm/settings.h"

#include <eelgrasscove/result.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// Callers over the limit of connections that are told so at a time; more are cut off.
constexpr std::size_t refusalsAtOnce = 64;

/// What the callers' thread hands to the thread that decides.
using CallerEvent = std::variant<CallerRequest, CallerGone>;

/// The caller layer's own errors.
struct CallerServerError
{
    std::string message_;
};

class CallerServer
{
public:
    /// Called from the callers' thread; must not block. False means that the receiver's ring is
    /// full: the caller is then refused.
    using Deliver = std::function<bool(CallerEvent &&)>;

    CallerServer(CallerSettings settings, KeySettings keys, const StatusBoard &board,
                 Deliver deliver);
    ~CallerServer();

    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    Result<Done, CallerServerError> start();

    /// Still serves, but closes each connection after its answer, so that callers go elsewhere.
    void beginLeaving();

    /// Takes no new connections; those open stay until their answers are out.
    void stopListening();

    /// Waits until what was replied is written, for a bounded time, then closes.
    void stop();

    /// Queues a reply for the callers' thread. Safe from any thread; waits where its ring is full.
    void reply(CallerReply reply);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
