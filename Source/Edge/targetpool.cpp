#include "Edge/targetpool.h"

#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A target accepts a connection within 1 ms. A cut or congested link takes seconds, within which
/// another target can serve the request.
constexpr Duration connectTimeout = 300ms;

/// Fraction of the keep-alive time stated by the target within which a connection is reused. The
/// rest covers the network delay and a target whose clock runs fast.
constexpr double keepAliveFraction = 0.75;

/// Keep-alive time for targets that state none. Targets state whole seconds only, so such a target
/// may close the connection within a second.
constexpr Duration defaultKeepAlive = 400ms;

constexpr std::size_t maxResponseHeadBytes = 32 * 1024;

/// Bytes that a connection skips before the response to its request: interim responses, and a late
/// second response to an earlier request. A target in trouble may send them without end.
constexpr std::size_t maxSkippedBytes = 1024 * 1024;

/// Limit on the refused requests that a connection remembers; it is closed after one more.
constexpr std::size_t maxRefusedIds = 64;

constexpr unsigned wrongTargetStatus = 421;

Duration parseKeepAlive(const HttpHead &head)
{
    const std::string_view stated = head.header("Keep-Alive");
    const std::size_t at = stated.find("timeout=");
    if (at == std::string_view::npos)
        return defaultKeepAlive;
    int seconds = 0;
    std::from_chars(stated.data() + at + 8, stated.data() + stated.size(), seconds);
    return std::chrono::duration_cast<Duration>(seconds * keepAliveFraction * 1s);
}

} // namespace

TargetConnection::TargetConnection(EventLoop &loop, TargetPool &pool)
    : loop_(loop), pool_(&pool), reader_(HttpKind::Response, maxResponseHeadBytes,
                                         {[this](HttpHead &&head) { onHead(std::move(head)); },
                                          [this](std::string_view bytes) {
                                              if (!isSkipping_ && callbacks_.onBody_)
                                                  callbacks_.onBody_(bytes);
                                          },
                                          [this] { isMessageComplete_ = true; }})
{ }

void TargetConnection::connect(const Endpoint &peer)
{
    countMetric("eelgrasscove_target_connections_total");
    // After a pause of the process the connection may be read before the timer has fired. What was
    // checked before the send holds for the timeout only.
    const auto onStreamConnected = [this, startedAt = bootNow()] {
        if (bootNow() - startedAt < connectTimeout)
            onConnected();
        else
            onConnectTimeout();
    };
    stream_ =
        TcpStream::connect(loop_, peer,
                           {onStreamConnected, [this](std::string_view bytes) { onData(bytes); },
                            [this](int error) { onEnd(error); }});
    connectTimer_ = loop_.timers().once(connectTimeout, [this] { onConnectTimeout(); });
}

void TargetConnection::onConnectTimeout()
{
    const auto self = shared_from_this();
    finish(ExchangeEnd::NeverSent, "connect timeout");
}

void TargetConnection::send(std::string bytes, std::string requestId, ExchangeCallbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    requestId_ = std::move(requestId);
    pendingRequest_ = std::move(bytes);
    isInUse_ = true;
    isSkipping_ = false;
    skippedBytes_ = 0;
    isMessageComplete_ = false;
    ++useCount_;
    reader_.reset();
    if (isConnected_)
        onConnected();
}

void TargetConnection::onConnected()
{
    loop_.timers().cancel(connectTimer_);
    isConnected_ = true;
    const std::string bytes = std::move(pendingRequest_);
    pendingRequest_.clear();
    stream_->write(bytes);
}

void TargetConnection::onHead(HttpHead &&head)
{
    keepAlive_ = head.keepAlive_;
    idleTimeout_ = parseKeepAlive(head);
    const std::string_view id = head.header(wire::requestIdHeader);
    // A second response to an earlier request. Targets state the id, so that one without it can be
    // the response to this request only if there was no earlier one.
    const bool isOther = id.empty() ? isReused() : id != requestId_;
    const bool isInterim = statusKindOf(head.status_) == StatusKind::Interim;
    if (isOther && !isInterim && skippedBytes_ == 0) {
        eventLog().note("response.skipped", "target", pool_ != nullptr ? pool_->target_.text() : "",
                        "request", requestId_, "response", id, "status", head.status_);
    }
    isSkipping_ = isOther || isInterim;
    if (callbacks_.onAnyHead_)
        callbacks_.onAnyHead_(head);
    if (isSkipping_)
        return;
    if (head.status_ == wrongTargetStatus || head.hasHeader(wire::notRunHeader)) {
        keepAlive_ = keepAlive_ && refusedIds_.size() < maxRefusedIds;
        refusedIds_.insert(requestId_);
    }
    if (callbacks_.onHead_)
        callbacks_.onHead_(std::move(head));
}

void TargetConnection::onData(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!isInUse_) {
        // Bytes received without an outstanding request.
        discard();
        return;
    }
    while (isInUse_ && !bytes.empty()) {
        const std::size_t consumed = reader_.feed(bytes);
        bytes.remove_prefix(std::min(consumed, bytes.size()));
        if (reader_.state() == HttpReadState::Malformed) {
            finish(ExchangeEnd::Garbled,
                   fmt::format("invalid response: {}", nameOf(httpFaultNames, reader_.fault())));
            return;
        }
        if (isSkipping_) {
            skippedBytes_ += consumed;
            if (skippedBytes_ > maxSkippedBytes) {
                finish(ExchangeEnd::Garbled, "too many bytes before the response to the request");
                return;
            }
        }
        if (!isMessageComplete_)
            return;
        isMessageComplete_ = false;
        if (isSkipping_) {
            isSkipping_ = false;
            reader_.reset();
            continue;
        }
        if (!bytes.empty())
            keepAlive_ = false;
        onResponseComplete();
        return;
    }
}

void TargetConnection::onResponseComplete()
{
    const bool isReusable =
        keepAlive_ && stream_ && stream_->unsentBytes() == 0 && !stream_->hasWriteFailed();
    const ExchangeCallbacks callbacks = std::move(callbacks_);
    callbacks_ = {};
    isInUse_ = false;
    if (isReusable && pool_ != nullptr) {
        reusableUntil_ = bootNow() + idleTimeout_;
        pool_->idle_.push_back(shared_from_this());
    } else {
        discard();
    }
    if (callbacks.onEnded_)
        callbacks.onEnded_(ExchangeEnd::Complete, "");
}

void TargetConnection::onEnd(int error)
{
    const auto self = shared_from_this();
    if (!isInUse_) {
        discard();
        return;
    }
    if (!isConnected_) {
        finish(ExchangeEnd::NeverSent, uv_err_name(error));
        return;
    }
    if (error == 0 && !stream_->wasAllDelivered()) {
        // A process that ends with nothing left to read ends its connections in order, also in the
        // middle of a response whose end only the connection marks.
        finish(ExchangeEnd::Broken, "closed before the request was received");
        return;
    }
    if (error == 0 && reader_.isHeadRead()) {
        keepAlive_ = false;
        reader_.finish();
        if (isMessageComplete_ && !isSkipping_) {
            isMessageComplete_ = false;
            onResponseComplete();
            return;
        }
    }
    finish(ExchangeEnd::Broken, error == 0 ? "closed" : uv_err_name(error));
}

void TargetConnection::finish(ExchangeEnd end, std::string_view reason)
{
    const ExchangeCallbacks callbacks = std::move(callbacks_);
    callbacks_ = {};
    isInUse_ = false;
    discard();
    if (callbacks.onEnded_)
        callbacks.onEnded_(end, reason);
}

void TargetConnection::cancel()
{
    // Keeps the callbacks alive, as cancel() may be called from one of them.
    cancelledCallbacks_ = std::move(callbacks_);
    callbacks_ = {};
    isInUse_ = false;
    // A reset discards the request, so that a frozen target doesn't execute it when it resumes.
    if (stream_)
        stream_->close(true);
    discard();
}

void TargetConnection::discard()
{
    const auto self = shared_from_this();
    loop_.timers().cancel(connectTimer_);
    if (stream_)
        stream_->close();
    stream_.reset();
    if (pool_ == nullptr)
        return;
    std::erase(pool_->idle_, self);
    pool_->all_.erase(self);
    pool_ = nullptr;
}

TargetPool::TargetPool(EventLoop &loop, Endpoint target) : loop_(loop), target_(std::move(target))
{ }

TargetPool::~TargetPool()
{
    // Exchanges in progress continue without their pool; idle connections are closed.
    const auto idle = std::move(idle_);
    idle_.clear();
    for (const auto &connection : idle)
        connection->discard();
    for (const auto &connection : all_)
        connection->pool_ = nullptr;
}

std::shared_ptr<TargetConnection> TargetPool::send(std::string bytes, std::string requestId,
                                                   ExchangeCallbacks callbacks)
{
    const Time now = bootNow();
    closeExpired(now);
    std::shared_ptr<TargetConnection> connection = takeIdle(requestId);
    if (!connection) {
        connection = std::make_shared<TargetConnection>(loop_, *this);
        all_.insert(connection);
        connection->connect(target_);
    }
    connection->send(std::move(bytes), std::move(requestId), std::move(callbacks));
    return connection;
}

std::shared_ptr<TargetConnection> TargetPool::takeIdle(const std::string &requestId)
{
    const auto idle = idle_;
    for (auto each = idle.rbegin(); each != idle.rend(); ++each) {
        const std::shared_ptr<TargetConnection> &connection = *each;
        // Bytes that arrived before the request can't be the response to it.
        if (connection->stream_->hasInput()) {
            connection->discard();
        } else if (!connection->refusedIds_.contains(requestId)) {
            std::erase(idle_, connection);
            return connection;
        }
    }
    return nullptr;
}

std::size_t TargetPool::withdrawUnsent(std::string_view reason)
{
    std::size_t withdrawn = 0;
    const auto connections = all_;
    for (const auto &connection : connections) {
        if (!connection->isInUse_ || connection->isConnected_)
            continue;
        ++withdrawn;
        connection->finish(ExchangeEnd::Withdrawn, reason);
    }
    return withdrawn;
}

void TargetPool::closeExpired(Time now)
{
    const auto idle = idle_;
    for (const auto &connection : idle) {
        if (now >= connection->reusableUntil_)
            connection->discard();
    }
}

} // namespace eelgrasscove
