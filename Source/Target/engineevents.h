#pragma once

/// What passes between the target process's decisions and the thread that speaks with its target.

#include <eelgrasscove/messages.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace eelgrasscove {

/// A run that an engine reports.
struct EngineRun
{
    AttemptId attempt_;
    AdapterKey adapter_;
};

/// What an engine says of itself.
struct EngineState
{
    Incarnation incarnation_;
    FencingNumber fencingNumber_;
    /// 0 where the engine doesn't say.
    std::uint32_t adapterSlots_ = 0;
    /// 0 where the engine doesn't say.
    std::uint32_t batchSlots_ = 0;
    std::vector<AdapterKey> adapters_;
    std::vector<EngineRun> running_;
};

/// The answer to the ReadEngineState of this number.
struct EngineStateRead
{
    std::uint64_t read_ = 0;
    EngineState state_;
};

/// The ReadEngineState of this number got no answer.
struct EngineUnreachable
{
    std::uint64_t read_ = 0;
};

/// Status and type of a run's answer.
struct RunHead
{
    AttemptId attempt_;
    std::uint32_t status_ = 0;
    std::string contentType_;
};

/// The next bytes of a run's answer.
struct RunBytes
{
    AttemptId attempt_;
    std::string bytes_;
    /// Tokens generated so far.
    std::int64_t generatedTokens_ = 0;
};

/// A run's answer is whole.
struct RunEnded
{
    AttemptId attempt_;
    /// By the target's own count; 0 for plain services.
    std::int64_t generatedTokens_ = 0;
};

/// A run broke off.
struct RunFailed
{
    AttemptId attempt_;
    /// Whether a byte of the request may have reached the target.
    bool sent_ = true;
};

enum class OrderKind {
    Load,
    Unload,
};

enum class OrderOutcome {
    Done,
    Failed,
    /// The engine has seen an order with a higher fencing number.
    Fenced,
    /// No reply; the order may have taken effect.
    Unknown,
};

/// The outcome of the AdapterOrder of this number.
struct OrderEnded
{
    std::uint64_t order_ = 0;
    OrderKind kind_ = OrderKind::Load;
    AdapterKey adapter_;
    OrderOutcome outcome_ = OrderOutcome::Unknown;
};

/// From the target's thread to the decisions.
using EngineEvent = std::variant<EngineStateRead, EngineUnreachable, RunHead, RunBytes, RunEnded,
                                 RunFailed, OrderEnded>;

/// Ask the engine for its state. Numbers grow, so that an answer can be told from an older one.
struct ReadEngineState
{
    std::uint64_t read_ = 0;
};

/// Send the request to the target. Ends in one RunEnded or RunFailed.
struct StartRun
{
    AttemptId attempt_;
    AccountName account_;
    /// Empty for a plain service.
    AdapterKey adapter_;
    std::string method_;
    std::string path_;
    std::string contentType_;
    std::string body_;
    bool stream_ = false;
    /// One that isn't goes over a connection of its own: a target that closes a kept connection in
    /// that moment would leave its outcome unknown.
    bool idempotent_ = true;
    Priority priority_ = Priority::Interactive;
    std::string traceparent_;
};

/// Stop the run, also one that this process didn't start. A run of this process still ends in
/// RunEnded or RunFailed, after a bounded time.
struct CancelRun
{
    AttemptId attempt_;
};

/// Load or unload an adapter. Ends in one OrderEnded with the same number.
struct AdapterOrder
{
    std::uint64_t order_ = 0;
    OrderKind kind_ = OrderKind::Load;
    AdapterKey adapter_;
    FencingNumber fencingNumber_;
};

/// From the decisions to the target's thread.
using EngineCommand = std::variant<ReadEngineState, StartRun, CancelRun, AdapterOrder>;

/// The adapter that an engine serves under this name; the inverse of engineModelName().
AdapterKey adapterOfModel(std::string_view model);

} // namespace eelgrasscove
