#pragma once

/// A small HTTP/1.1 server and client for the stand-ins and the test runner. One EventLoop is one
/// thread; everything that belongs to a loop is called from its thread only, unless it says
/// otherwise. Beast and Asio stay in http.cpp.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

using Micros = std::chrono::microseconds;

/// The machine's monotonic clock in microseconds; the same for all processes.
std::int64_t monotonicMicros();

struct HttpHeader
{
    std::string name_;
    std::string value_;
};

struct HttpRequest
{
    std::string method_;
    /// Path and query.
    std::string target_;
    std::vector<HttpHeader> headers_;
    std::string body_;
};

struct HttpResponse
{
    unsigned status_ = 200;
    std::string contentType_ = "application/json";
    std::vector<HttpHeader> headers_;
    std::string body_;
};

/// The value of a header, without regard to case; empty where it is absent.
std::string headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/// The request's path without its query.
std::string_view pathOf(const HttpRequest &request);

/// A timer loop on the calling thread.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop(); with an idle loop also until nothing is left to do.
    void run();
    /// Runs until SIGTERM or SIGINT.
    void runUntilSignal();
    /// Safe from any thread.
    void stop();
    /// Safe from any thread.
    void post(std::function<void()> action);
    void after(Micros wait, std::function<void()> action);

    struct Impl;
    Impl &impl() { return *impl_; }

private:
    std::unique_ptr<Impl> impl_;
};

/// One request in the server's hands. Calls after the connection has gone do nothing.
class Exchange
{
public:
    virtual ~Exchange() = default;
    virtual void send(const HttpResponse &response) = 0;
    /// Begins a chunked answer; its body_ is the first part where not empty.
    virtual void startStream(const HttpResponse &head) = 0;
    virtual void write(std::string_view part) = 0;
    virtual void finishStream() = 0;
    /// Closes the connection at once.
    virtual void close() = 0;
    virtual bool isOpen() const = 0;
    /// Called once if the caller goes before the answer is finished.
    virtual void onCallerGone(std::function<void()> action) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using HttpHandler = std::function<void(const HttpRequest &, const ExchangePtr &)>;

/// Listens on 127.0.0.1.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Port 0 takes any free one. Empty on success, else what went wrong.
    std::string listen(std::uint16_t port);
    std::uint16_t port() const;
    /// Closes every connection but the one of the exchange given.
    void closeConnections(const ExchangePtr &keep);

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/// How far a call of the client came.
enum class CallEnd {
    /// A whole answer.
    Whole,
    /// The connection was refused.
    Refused,
    /// The connection ended before the answer's head.
    NoAnswer,
    /// The connection ended within the answer's body.
    Truncated,
    TimedOut,
    Cancelled,
};

struct HttpResult
{
    CallEnd end_ = CallEnd::NoAnswer;
    HttpResponse response_;
    /// When the last byte came.
    std::int64_t endedAtMicros_ = 0;
};

/// Where a call goes.
struct HostPort
{
    std::string host_ = "127.0.0.1";
    std::uint16_t port_ = 0;
};

/// "HOST:PORT"; empty where the text isn't one.
std::optional<HostPort> parseHostPort(std::string_view text);

/// Makes one call on a connection of its own.
class HttpCall
{
public:
    using OnPart = std::function<void(std::string_view part)>;
    using OnEnd = std::function<void(const HttpResult &)>;

    /// onPart may be empty.
    static std::shared_ptr<HttpCall> start(EventLoop &loop, const HostPort &to,
                                           const HttpRequest &request, Micros timeout,
                                           OnPart onPart, OnEnd onEnd);
    virtual ~HttpCall() = default;
    /// Closes the connection; onEnd says Cancelled. From the loop's thread.
    virtual void cancel() = 0;
};

/// Makes one call and waits for its end, on a loop of its own.
HttpResult callAndWait(const HostPort &to, const HttpRequest &request, Micros timeout);

} // namespace standins
