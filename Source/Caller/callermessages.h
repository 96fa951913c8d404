#pragma once

/// What passes between the callers' thread and the thread that decides.

#include "Caller/completion.h"
#include "Observe/trace.h"

#include <eelgrasscove/messages.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace eelgrasscove {

/// Names one request of one connection towards the callers' thread.
using CallerHandle = Number<struct CallerHandleTag>;

/// What a caller's request asks for.
enum class CallKind {
    /// A completion on a model engine.
    Completion,
    /// The list of routes that the key may use.
    Models,
    /// A call of a plain service.
    Service,
};

/// A request as read from a caller. The key itself stays behind in the callers' thread.
struct CallerRequest
{
    CallerHandle handle_;
    CallKind kind_ = CallKind::Service;
    /// Digest of the key; empty where none came.
    std::string keyDigest_;
    std::string method_;
    /// Path and query.
    std::string path_;
    std::string contentType_;
    std::string body_;
    /// Set for CallKind::Completion.
    Completion completion_;
    /// Empty where the caller gave none.
    std::string idempotencyKey_;
    Priority priority_ = Priority::Interactive;
    /// The caller's own id of the request, or empty.
    std::string callerRequestId_;
    /// Span of this hop and the span before it.
    TraceContext trace_;
    std::string parentSpanId_;
    Time arrivedAt_;
};

/// The caller closed its connection before its answer was whole.
struct CallerGone
{
    CallerHandle handle_;
};

/// An answer of known length.
struct ReplyWhole
{
    CallerHandle handle_;
    std::uint32_t status_ = 200;
    std::string contentType_;
    std::string body_;
    /// Seconds; 0 leaves the header out.
    std::uint32_t retryAfter_ = 0;
    std::string requestId_;
    /// Methods for the Allow header; empty leaves it out.
    std::string allow_;
};

/// The start of a streamed answer.
struct ReplyHead
{
    CallerHandle handle_;
    std::uint32_t status_ = 200;
    std::string contentType_;
    std::string requestId_;
};

/// The next part of a streamed answer.
struct ReplyPart
{
    CallerHandle handle_;
    std::string bytes_;
};

/// The streamed answer is whole.
struct ReplyEnd
{
    CallerHandle handle_;
};

/// The streamed answer can't be completed: the connection is closed without the stream's end.
struct ReplyAbort
{
    CallerHandle handle_;
    /// A last event for the caller to see before the cut.
    std::string lastBytes_;
};

using CallerReply = std::variant<ReplyWhole, ReplyHead, ReplyPart, ReplyEnd, ReplyAbort>;

} // namespace eelgrasscove
