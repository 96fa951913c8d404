#pragma once

/// Defines the commands from the target scheduler to the engine client's thread, and the events
/// that come back.

#include <eelgrasscove/messages.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// A run listed in an engine's state.
struct EngineRun
{
    AttemptId attempt_;
    AdapterKey adapter_;
};

/// The state that an engine reports.
struct EngineState
{
    Incarnation incarnation_;
    FencingNumber fencingNumber_;
    /// 0 if the engine does not report it.
    std::uint32_t adapterSlots_ = 0;
    /// 0 if the engine does not report it.
    std::uint32_t batchSlots_ = 0;
    std::vector<AdapterKey> adapters_;
    std::vector<EngineRun> running_;
};

/// The reply to the ReadEngineState with the same number.
struct EngineStateReceived
{
    std::uint64_t readNumber_ = 0;
    EngineState state_;
};

/// The ReadEngineState with the same number failed: no reply, a status other than 200 or a body
/// that could not be parsed.
struct EngineUnreachable
{
    std::uint64_t readNumber_ = 0;
};

/// Status and content type of a run's response.
struct RunResponseHead
{
    AttemptId attempt_;
    std::uint32_t status_ = 0;
    std::string contentType_;
};

/// The next bytes of a run's response body.
struct RunResponseBytes
{
    AttemptId attempt_;
    std::string bytes_;
    /// Total generated so far, these bytes included.
    std::int64_t generatedTokens_ = 0;
};

/// A run's response was received completely.
struct RunEnded
{
    AttemptId attempt_;
    /// As reported by the engine, or else the events counted; 0 for plain services.
    std::int64_t generatedTokens_ = 0;
};

/// A run ended before its response was complete.
struct RunFailed
{
    AttemptId attempt_;
    /// Whether the target may have received any byte of the request.
    bool mayHaveBeenSent_ = true;
};

enum class OrderKind {
    Load,
    Unload,
};

enum class OrderOutcome {
    Done,
    Failed,
    /// Rejected: the engine has seen an order with a higher fencing number.
    Fenced,
    /// No reply was received; the order may have taken effect.
    Unknown,
};

/// The outcome of the AdapterOrder with the same number.
struct OrderEnded
{
    std::uint64_t orderNumber_ = 0;
    OrderKind kind_ = OrderKind::Load;
    AdapterKey adapter_;
    OrderOutcome outcome_ = OrderOutcome::Unknown;
};

/// Sent by the engine client's thread to the target scheduler.
using EngineEvent = std::variant<EngineStateReceived, EngineUnreachable, RunResponseHead,
                                 RunResponseBytes, RunEnded, RunFailed, OrderEnded>;

/// Requests the engine's state. Numbers increase, so that a reply can be distinguished from the
/// reply to an earlier request.
struct ReadEngineState
{
    std::uint64_t readNumber_ = 0;
};

/// Sends the request to the target. Results in exactly one RunEnded or RunFailed.
struct StartRun
{
    AttemptId attempt_;
    AccountName account_;
    /// Empty if the target is a plain service.
    AdapterKey adapter_;
    std::string method_;
    std::string path_;
    std::string contentType_;
    std::string body_;
    bool stream_ = false;
    /// A request that is not idempotent is sent on a new connection: if the target closed a reused
    /// one at that moment, the outcome would be unknown and the request could not be repeated.
    bool idempotent_ = true;
    Priority priority_ = Priority::Interactive;
    std::string traceparent_;
};

/// Stops a run, including one that this process did not start. A run of this process still results
/// in RunEnded or RunFailed, after a bounded time.
struct CancelRun
{
    AttemptId attempt_;
};

/// Loads or unloads an adapter. Results in exactly one OrderEnded with the same number.
struct AdapterOrder
{
    std::uint64_t orderNumber_ = 0;
    OrderKind kind_ = OrderKind::Load;
    AdapterKey adapter_;
    FencingNumber fencingNumber_;
};

/// Sent by the target scheduler to the engine client's thread.
using EngineCommand = std::variant<ReadEngineState, StartRun, CancelRun, AdapterOrder>;

/// Returns the adapter that an engine serves under this model name; the inverse of
/// engineModelName().
AdapterKey adapterFromModelName(std::string_view model);

} // namespace eelgrasscove
