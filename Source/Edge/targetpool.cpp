#include "Edge/targetpool.h"

#include "Observe/metrics.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <charconv>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Longest wait for a connection. A target takes 1 ms; a cut link or a full one takes seconds, in
/// which another target can serve.
constexpr Duration connectTimeout = 300ms;

/// Part of the stated keep-alive time in which a connection is used again: the rest covers the way
/// there and a target whose clock runs fast.
constexpr double usedPartOfKeepAlive = 0.75;

/// Targets state whole seconds only, so one that states none may close within a second.
constexpr Duration unstatedKeepAlive = 400ms;

constexpr std::size_t mostAnswerHeadBytes = 32 * 1024;

Duration keepAliveOf(const HttpHead &head)
{
    const std::string_view stated = head.header("Keep-Alive");
    const std::size_t at = stated.find("timeout=");
    if (at == std::string_view::npos)
        return unstatedKeepAlive;
    int seconds = 0;
    std::from_chars(stated.data() + at + 8, stated.data() + stated.size(), seconds);
    return std::chrono::duration_cast<Duration>(seconds * usedPartOfKeepAlive * 1s);
}

} // namespace

TargetConnection::TargetConnection(EventLoop &loop, TargetPool &pool)
    : loop_(loop), pool_(&pool), reader_(HttpKind::Answer, mostAnswerHeadBytes,
                                         {[this](HttpHead &&head) { onHead(std::move(head)); },
                                          [this](std::string_view bytes) {
                                              if (!skipping_ && callbacks_.body_)
                                                  callbacks_.body_(bytes);
                                          },
                                          [this] { messageDone_ = true; }})
{ }

void TargetConnection::connect(const Endpoint &peer)
{
    countMetric("eelgrasscove_target_connections_total");
    stream_ = TcpStream::connect(loop_, peer,
                                 {[this] { onConnected(); },
                                  [this](std::string_view bytes) { onData(bytes); },
                                  [this](int error) { onEnd(error); }});
    connectTimer_ = loop_.timers().once(connectTimeout, [this] {
        const auto keep = shared_from_this();
        finish(ExchangeEnd::NeverSent, "connect timeout");
    });
}

void TargetConnection::send(std::string bytes, std::string requestId, ExchangeCallbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    requestId_ = std::move(requestId);
    unsent_ = std::move(bytes);
    inUse_ = true;
    skipping_ = false;
    messageDone_ = false;
    ++uses_;
    reader_.reset();
    if (connected_)
        onConnected();
}

void TargetConnection::onConnected()
{
    loop_.timers().cancel(connectTimer_);
    connected_ = true;
    const std::string bytes = std::move(unsent_);
    unsent_.clear();
    stream_->write(bytes);
}

void TargetConnection::onHead(HttpHead &&head)
{
    keepAlive_ = head.keepAlive_;
    idleLimit_ = keepAliveOf(head);
    const std::string_view id = head.header(wire::requestIdHeader);
    // A second answer to an earlier request, or one before the final status.
    skipping_ = (!id.empty() && id != requestId_) || head.status_ < 200;
    if (!skipping_ && callbacks_.head_)
        callbacks_.head_(std::move(head));
}

void TargetConnection::onData(std::string_view bytes)
{
    const auto keep = shared_from_this();
    if (!inUse_) {
        // Bytes that belong to no request.
        discard();
        return;
    }
    while (inUse_ && !bytes.empty()) {
        const std::size_t taken = reader_.feed(bytes);
        bytes.remove_prefix(std::min(taken, bytes.size()));
        if (reader_.state() == HttpReadState::Malformed) {
            finish(ExchangeEnd::Garbled, "not an answer");
            return;
        }
        if (!messageDone_)
            return;
        messageDone_ = false;
        if (skipping_) {
            skipping_ = false;
            reader_.reset();
            continue;
        }
        if (!bytes.empty())
            keepAlive_ = false;
        onComplete();
        return;
    }
}

void TargetConnection::onComplete()
{
    const bool keep = keepAlive_ && stream_ && stream_->unsentBytes() == 0;
    const ExchangeCallbacks callbacks = std::move(callbacks_);
    callbacks_ = {};
    inUse_ = false;
    if (keep && pool_ != nullptr) {
        usableUntil_ = bootNow() + idleLimit_;
        pool_->idle_.push_back(shared_from_this());
    } else {
        discard();
    }
    if (callbacks.ended_)
        callbacks.ended_(ExchangeEnd::Complete, "");
}

void TargetConnection::onEnd(int error)
{
    const auto keep = shared_from_this();
    if (!inUse_) {
        discard();
        return;
    }
    if (!connected_) {
        finish(ExchangeEnd::NeverSent, uv_err_name(error));
        return;
    }
    if (error == 0 && reader_.headRead()) {
        keepAlive_ = false;
        reader_.finish();
        if (messageDone_ && !skipping_) {
            messageDone_ = false;
            onComplete();
            return;
        }
    }
    finish(ExchangeEnd::Broken, error == 0 ? "closed" : uv_err_name(error));
}

void TargetConnection::finish(ExchangeEnd end, std::string_view reason)
{
    const ExchangeCallbacks callbacks = std::move(callbacks_);
    callbacks_ = {};
    inUse_ = false;
    discard();
    if (callbacks.ended_)
        callbacks.ended_(end, reason);
}

void TargetConnection::cancel()
{
    // Kept, as it may be one of them that cancels.
    retired_ = std::move(callbacks_);
    callbacks_ = {};
    inUse_ = false;
    // With a reset, a target that stands still doesn't find the request when it goes on.
    if (stream_)
        stream_->close(true);
    discard();
}

void TargetConnection::discard()
{
    const auto keep = shared_from_this();
    loop_.timers().cancel(connectTimer_);
    if (stream_)
        stream_->close();
    stream_.reset();
    if (pool_ == nullptr)
        return;
    std::erase(pool_->idle_, keep);
    pool_->all_.erase(keep);
    pool_ = nullptr;
}

TargetPool::TargetPool(EventLoop &loop, Endpoint target) : loop_(loop), target_(std::move(target))
{ }

TargetPool::~TargetPool()
{
    // Runs go on without their pool; kept connections go.
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
    std::shared_ptr<TargetConnection> connection;
    if (idle_.empty()) {
        connection = std::make_shared<TargetConnection>(loop_, *this);
        all_.insert(connection);
        connection->connect(target_);
    } else {
        connection = idle_.back();
        idle_.pop_back();
    }
    connection->send(std::move(bytes), std::move(requestId), std::move(callbacks));
    return connection;
}

void TargetPool::closeExpired(Time now)
{
    const auto idle = idle_;
    for (const auto &connection : idle) {
        if (now >= connection->usableUntil_)
            connection->discard();
    }
}

} // namespace eelgrasscove
