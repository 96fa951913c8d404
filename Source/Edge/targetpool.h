#pragma once

/// Pool of keep-alive connections to one target, and the requests that are sent over them.

#include "Net/httpreader.h"
#include "Net/tcpstream.h"

#include <eelgrasscove/nametable.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace eelgrasscove {

/// How the exchange of a request and its response over a connection ended.
enum class ExchangeEnd {
    /// The complete response was received.
    Complete,
    /// The connection could not be established; no byte was sent.
    NeverSent,
    /// The connection was lost before the response was complete.
    Broken,
    /// The received bytes are not a valid HTTP response to the request.
    Garbled,
    /// Ended by withdrawUnsent(); no byte was sent.
    Withdrawn,
};

constexpr NameTable<ExchangeEnd, 5> exchangeEndNames = {{
    {ExchangeEnd::Complete, "complete"},
    {ExchangeEnd::NeverSent, "never_sent"},
    {ExchangeEnd::Broken, "broken"},
    {ExchangeEnd::Garbled, "garbled"},
    {ExchangeEnd::Withdrawn, "withdrawn"},
}};

struct ExchangeCallbacks
{
    /// Receives each head on the connection, also one that is skipped, before onHead_ does.
    std::function<void(const HttpHead &)> onAnyHead_;
    std::function<void(HttpHead &&)> onHead_;
    std::function<void(std::string_view)> onBody_;
    std::function<void(ExchangeEnd end, std::string_view reason)> onEnded_;
};

class TargetPool;

/// One connection to a target.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    TargetConnection(EventLoop &loop, TargetPool &pool);

    TargetConnection(const TargetConnection &) = delete;
    TargetConnection &operator=(const TargetConnection &) = delete;

    /// Sends a request. Responses that state an id other than requestId are skipped, and on a
    /// reused connection also those without an id.
    void send(std::string bytes, std::string requestId, ExchangeCallbacks callbacks);

    /// Ends the exchange without calling its callbacks. The connection is reset, by which the
    /// target detects the cancellation.
    void cancel();

    bool isReused() const { return useCount_ > 1; }

private:
    friend class TargetPool;

    void connect(const Endpoint &peer);
    void onConnected();
    void onConnectTimeout();
    void onData(std::string_view bytes);
    void onEnd(int error);
    void onHead(HttpHead &&head);
    void onResponseComplete();
    void finish(ExchangeEnd end, std::string_view reason);
    void discard();

    EventLoop &loop_;
    TargetPool *pool_;
    std::shared_ptr<TcpStream> stream_;
    HttpReader reader_;
    ExchangeCallbacks callbacks_;
    ExchangeCallbacks cancelledCallbacks_;
    std::string pendingRequest_;
    std::string requestId_;
    /// Requests that the target refused on this connection. A repetition of such a refusal would be
    /// taken for the response if the request were sent again on it.
    std::set<std::string> refusedIds_;
    TimerId connectTimer_ = 0;
    Time reusableUntil_;
    Duration idleTimeout_{};
    std::size_t skippedBytes_ = 0;
    std::uint32_t useCount_ = 0;
    bool isConnected_ = false;
    bool isInUse_ = false;
    bool isSkipping_ = false;
    bool keepAlive_ = true;
    bool isMessageComplete_ = false;
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

    /// Ends the exchanges whose connections are still being opened, and returns their number.
    std::size_t withdrawUnsent(std::string_view reason);

    /// Closes idle connections that are past their keep-alive time.
    void closeExpired(Time now);

    const Endpoint &target() const { return target_; }
    std::size_t size() const { return all_.size(); }

private:
    friend class TargetConnection;

    /// Takes the most recently used idle connection that is fit for the request; null if there is
    /// none.
    std::shared_ptr<TargetConnection> takeIdle(const std::string &requestId);

    EventLoop &loop_;
    Endpoint target_;
    std::set<std::shared_ptr<TargetConnection>> all_;
    /// In order of last use, the most recently used last.
    std::vector<std::shared_ptr<TargetConnection>> idle_;
};

} // namespace eelgrasscove
