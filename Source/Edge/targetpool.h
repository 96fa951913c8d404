#pragma once

/// Kept connections to one target and the requests that run on them.

#include "Net/httpreader.h"
#include "Net/tcpstream.h"

#include <eelgrasscove/nametable.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace eelgrasscove {

/// How a request's run on a connection ended.
enum class ExchangeEnd {
    /// The answer came whole.
    Complete,
    /// The connection could not be made; no byte was sent.
    NeverSent,
    /// The connection ended before the answer did.
    Broken,
    /// What came is no answer in the protocol.
    Garbled,
};

constexpr NameTable<ExchangeEnd, 4> exchangeEndNames = {{
    {ExchangeEnd::Complete, "complete"},
    {ExchangeEnd::NeverSent, "never_sent"},
    {ExchangeEnd::Broken, "broken"},
    {ExchangeEnd::Garbled, "garbled"},
}};

struct ExchangeCallbacks
{
    std::function<void(HttpHead &&)> head_;
    std::function<void(std::string_view)> body_;
    std::function<void(ExchangeEnd end, std::string_view reason)> ended_;
};

class TargetPool;

/// One connection to a target.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    TargetConnection(EventLoop &loop, TargetPool &pool);

    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /// Sends a request; requestId is the id that its answer has to repeat.
    void send(std::string bytes, std::string requestId, ExchangeCallbacks callbacks);

    /// Ends the run without telling its owner; the target sees the connection close.
    void cancel();

    bool reused() const { return uses_ > 1; }

private:
    friend class TargetPool;

    void connect(const Endpoint &peer);
    void onConnected();
    void onData(std::string_view bytes);
    void onEnd(int error);
    void onHead(HttpHead &&head);
    void onComplete();
    void finish(ExchangeEnd end, std::string_view reason);
    void discard();

    EventLoop &loop_;
    TargetPool *pool_;
    std::shared_ptr<TcpStream> stream_;
    HttpReader reader_;
    ExchangeCallbacks callbacks_;
    ExchangeCallbacks retired_;
    std::string unsent_;
    std::string requestId_;
    TimerId connectTimer_ = 0;
    Time usableUntil_;
    Duration idleLimit_{};
    std::uint32_t uses_ = 0;
    bool connected_ = false;
    bool inUse_ = false;
    bool skipping_ = false;
    bool keepAlive_ = true;
    bool messageDone_ = false;
};

class TargetPool
{
public:
    TargetPool(EventLoop &loop, Endpoint target);
    ~TargetPool();

    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    std::shared_ptr<TargetConnection> send(std::string bytes, std::string requestId,
                                           ExchangeCallbacks callbacks);

    /// Closes kept connections that are past their time.
    void closeExpired(Time now);

    const Endpoint &target() const { return target_; }
    std::size_t size() const { return all_.size(); }

private:
    friend class TargetConnection;

    EventLoop &loop_;
    Endpoint target_;
    std::set<std::shared_ptr<TargetConnection>> all_;
    /// The most recently used last.
    std::vector<std::shared_ptr<TargetConnection>> idle_;
};

} // namespace eelgrasscove
