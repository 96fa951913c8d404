#include "Target/engineclient.h"

#include "Net/httpsyntax.h"
#include "Net/sendqueue.h"
#include "Target/enginecodec.h"
#include "Target/responsetokencounter.h"
#include "Vm/boundedring.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <thread>
#include <unordered_map>
#include <vector>

namespace eelgrasscove {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t commandCapacity = 4096;
constexpr std::size_t readBufferBytes = std::size_t(16) * 1024;
constexpr std::size_t maxReplyBytes = std::size_t(8) * 1024 * 1024;
/// Bytes of a response that are read and not yet parsed. Bounds a chunk's header and the trailer,
/// for which the parser has no limit.
constexpr std::size_t maxUnparsedBytes = std::size_t(256) * 1024;
constexpr Duration connectTimeout = std::chrono::seconds(2);
constexpr Duration stateTimeout = std::chrono::seconds(1);
constexpr Duration cancelTimeout = std::chrono::seconds(2);
constexpr Duration loadTimeout = std::chrono::seconds(60);
constexpr Duration unloadTimeout = std::chrono::seconds(10);
constexpr Duration deliverRetryPeriod = std::chrono::milliseconds(1);
constexpr std::size_t maxIdleConnections = 64;
/// Maximum number of events that a run collects before they are delivered.
constexpr std::size_t maxPendingEvents = 4;

using Request = http::request<http::string_body>;

using StreamPtr = std::unique_ptr<beast::tcp_stream>;

/// A run in progress.
struct Run
{
    /// Null until the run has a connection.
    StreamPtr stream_;
    /// The connection was used for another run before.
    bool isReused_ = false;
    /// The response is complete and the connection can be used for another run.
    bool isReusable_ = false;
    bool isCancelled_ = false;
    /// Events not delivered yet, because more of the response can be read without waiting.
    std::vector<EngineEvent> pendingEvents_;
};

/// A connection that is kept open after a complete response.
struct IdleConnection
{
    StreamPtr stream_;
    Time idleSince_;
};

using RunPtr = std::shared_ptr<Run>;

/// A completely received reply; status 0 if none was received.
struct Reply
{
    unsigned status_ = 0;
    std::string body_;
};

auto redirectTo(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

bool isSet(const std::string &text)
{
    return !text.empty();
}

/// Whether the connection is open and has nothing to read. It can't be reused for a run after the
/// target has closed it or has sent data that no request is waiting for.
bool isReusableSocket(tcp::socket &socket)
{
    char byte = 0;
    error_code error;
    socket.non_blocking(true, error);
    if (error)
        return false;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

Result<TargetAddress, TargetUrlError> parseTargetUrl(const std::string &url)
{
    constexpr std::string_view scheme = "http://";
    const TargetUrlError malformed{"invalid target URL \"" + url + "\": expected http://IP:PORT"};
    if (!url.starts_with(scheme))
        return malformed;
    std::string_view rest = std::string_view(url).substr(scheme.size());
    if (rest.ends_with('/'))
        rest.remove_suffix(1);
    const std::size_t colon = rest.rfind(':');
    if (colon == std::string_view::npos)
        return malformed;
    TargetAddress address{.host_ = std::string(rest.substr(0, colon))};
    const std::string_view port = rest.substr(colon + 1);
    const auto result = std::from_chars(port.data(), port.data() + port.size(), address.port_);
    error_code invalid;
    asio::ip::make_address(address.host_, invalid);
    if (invalid || result.ec != std::errc() || result.ptr != port.data() + port.size())
        return malformed;
    return address;
}

struct EngineClient::Impl
{
    Impl(EngineClientSettings settings, Deliver deliver)
        : settings_(std::move(settings)), deliver_(std::move(deliver)), commands_(commandCapacity)
    { }

    tcp::endpoint endpoint() const
    {
        return {asio::ip::make_address(settings_.address_.host_), settings_.address_.port_};
    }

    Request makeRequest(http::verb verb, const std::string &path) const
    {
        Request request(verb, path, 11);
        request.set(http::field::host, settings_.address_.host_);
        request.keep_alive(false);
        return request;
    }

    /// Delivers an event, and retries without a limit while the receiver is full. Callers pass a
    /// moved variable: GCC 12 destroys a braced temporary in a co_await expression twice.
    asio::awaitable<void> deliverEvent(EngineEvent event)
    {
        asio::steady_timer timer(context_);
        // A refused event is unchanged. NOLINTNEXTLINE(bugprone-use-after-move)
        while (!deliver_(std::move(event))) {
            error_code ignored;
            timer.expires_after(deliverRetryPeriod);
            co_await timer.async_wait(redirectTo(ignored));
        }
    }

    /// Delivers a run's pending events in direct succession, so that the receiver can combine them
    /// into one message.
    asio::awaitable<void> deliverPendingEvents(RunPtr run)
    {
        for (EngineEvent &pending : run->pendingEvents_) {
            EngineEvent event = std::move(pending);
            co_await deliverEvent(std::move(event));
        }
        run->pendingEvents_.clear();
    }

    /// Reads the head of the final response, after those of interim ones. Returns false if there is
    /// none.
    template <class Body>
    static asio::awaitable<bool>
    readFinalHead(beast::tcp_stream &stream, beast::flat_buffer &buffer,
                  std::optional<http::response_parser<Body>> &parser,
                  boost::optional<std::uint64_t> bodyLimit, bool skipsBody)
    {
        for (int responses = 0; responses <= maxInterimResponses; ++responses) {
            parser.emplace();
            parser->body_limit(bodyLimit);
            parser->skip(skipsBody);
            error_code error;
            co_await http::async_read_header(stream, buffer, *parser, redirectTo(error));
            if (error)
                co_return false;
            const StatusKind kind = statusKindOf(parser->get().result_int());
            if (kind != StatusKind::Interim)
                co_return kind == StatusKind::Final;
        }
        co_return false;
    }

    /// Sends one request with a short reply on a new connection. The timeout covers the whole call.
    asio::awaitable<Reply> call(Request request, Duration timeout)
    {
        Reply reply;
        beast::tcp_stream stream(context_);
        beast::flat_buffer buffer(maxUnparsedBytes);
        error_code error;
        stream.expires_after(timeout);
        co_await stream.async_connect(endpoint(), redirectTo(error));
        if (error)
            co_return reply;
        request.prepare_payload();
        co_await http::async_write(stream, request, redirectTo(error));
        if (error)
            co_return reply;
        std::optional<http::response_parser<http::string_body>> parser;
        const bool hasHead = co_await readFinalHead(stream, buffer, parser, maxReplyBytes, false);
        if (!hasHead)
            co_return reply;
        co_await http::async_read(stream, buffer, *parser, redirectTo(error));
        const bool isCut =
            parser->get().need_eof() && unacknowledgedBytes(stream.socket().native_handle()) > 0;
        if (error || isCut)
            co_return reply;
        reply.status_ = parser->get().result_int();
        reply.body_ = std::move(parser->get().body());
        co_return reply;
    }

    asio::awaitable<void> perform(ReadEngineState read)
    {
        Request request = makeRequest(http::verb::get, "/state");
        const Reply reply = co_await call(std::move(request), stateTimeout);
        const std::optional<EngineState> state =
            reply.status_ == 200 ? parseEngineState(reply.body_) : std::nullopt;
        EngineEvent event = EngineUnreachable{read.readNumber_};
        if (state)
            event = EngineStateReceived{read.readNumber_, *state};
        co_await deliverEvent(std::move(event));
    }

    static OrderOutcome orderOutcome(const Reply &reply)
    {
        switch (reply.status_) {
        case 0:
            return OrderOutcome::Unknown;
        case 200:
            return OrderOutcome::Done;
        case 409:
            return OrderOutcome::Fenced;
        default:
            return OrderOutcome::Failed;
        }
    }

    asio::awaitable<void> perform(AdapterOrder order)
    {
        const bool load = order.kind_ == OrderKind::Load;
        Request request = makeRequest(http::verb::post,
                                      load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter");
        request.set(http::field::content_type, "application/json");
        request.body() = adapterOrderBody(order);
        const Reply reply = co_await call(std::move(request), load ? loadTimeout : unloadTimeout);
        EngineEvent event =
            OrderEnded{order.orderNumber_, order.kind_, order.adapter_, orderOutcome(reply)};
        co_await deliverEvent(std::move(event));
    }

    /// Closes the run's connection, which stops the run on a target that has no cancel call.
    void closeRun(const AttemptId &attempt, const RunPtr &run)
    {
        const auto found = runs_.find(attempt);
        if (found != runs_.end() && found->second == run && run->stream_)
            run->stream_->close();
    }

    asio::awaitable<void> perform(CancelRun cancel)
    {
        const auto found = runs_.find(cancel.attempt_);
        const RunPtr run = found == runs_.end() ? nullptr : found->second;
        if (run)
            run->isCancelled_ = true;
        if (settings_.isModelEngine_) {
            Request request = makeRequest(http::verb::post, "/cancel");
            request.set(http::field::content_type, "application/json");
            request.body() = cancelBody(cancel.attempt_);
            co_await call(std::move(request), cancelTimeout);
        }
        if (run)
            closeRun(cancel.attempt_, run);
    }

    /// Returns the HTTP request of a run, or nullopt if its body is not a JSON object, which an
    /// engine requires.
    std::optional<Request> makeRunRequest(StartRun &start) const
    {
        Request request = makeRequest(http::verb::get, start.path_);
        request.keep_alive(true);
        request.method_string(start.method_);
        request.set("X-Attempt-Id", start.attempt_.text_);
        request.set(http::field::accept, start.stream_ ? "text/event-stream" : "*/*");
        if (isSet(start.contentType_))
            request.set(http::field::content_type, start.contentType_);
        if (isSet(start.traceparent_))
            request.set("traceparent", start.traceparent_);
        if (start.adapter_.empty()) {
            if (!start.account_.empty())
                request.set("X-Client-Account", start.account_.text_);
            request.body() = std::move(start.body_);
        } else {
            std::optional<std::string> body = runBody(start);
            if (!body)
                return std::nullopt;
            request.body() = std::move(*body);
        }
        request.prepare_payload();
        return request;
    }

    /// Removes and returns the most recently used idle connection that can be reused, or null if
    /// there is none. Connections that can't be reused are closed.
    StreamPtr acquireIdleConnection()
    {
        while (!idleConnections_.empty()) {
            StreamPtr stream = std::move(idleConnections_.back().stream_);
            idleConnections_.pop_back();
            if (isReusableSocket(stream->socket()))
                return stream;
        }
        return nullptr;
    }

    void keepIdleConnection(StreamPtr stream)
    {
        if (idleConnections_.size() >= maxIdleConnections)
            return;
        idleConnections_.push_back({std::move(stream), monotonicNow()});
        if (!std::exchange(isClosingExpired_, true))
            asio::co_spawn(context_, closeExpiredConnections(), asio::detached);
    }

    /// Closes each connection at its idle timeout; returns when none is left.
    asio::awaitable<void> closeExpiredConnections()
    {
        asio::steady_timer timer(context_);
        while (!idleConnections_.empty()) {
            error_code ignored;
            timer.expires_at(idleConnections_.front().idleSince_ + settings_.idleTimeout_);
            co_await timer.async_wait(redirectTo(ignored));
            const Time now = monotonicNow();
            std::erase_if(idleConnections_, [&](const IdleConnection &connection) {
                return now - connection.idleSince_ >= settings_.idleTimeout_;
            });
        }
        isClosingExpired_ = false;
    }

    asio::awaitable<bool> connect(RunPtr run)
    {
        run->isReused_ = false;
        run->stream_ = std::make_unique<beast::tcp_stream>(context_);
        run->stream_->expires_after(connectTimeout);
        error_code error;
        co_await run->stream_->async_connect(endpoint(), redirectTo(error));
        if (error)
            co_return false;
        error_code ignored;
        run->stream_->socket().set_option(tcp::no_delay(true), ignored);
        // The target scheduler enforces the run's deadline and cancels the run.
        run->stream_->expires_never();
        co_return true;
    }

    /// How much of a run's request the operating system accepted for sending.
    enum class SentAmount {
        Nothing,
        Part,
        All,
    };

    asio::awaitable<SentAmount> writeRequest(const Request &request, RunPtr run)
    {
        error_code error;
        const std::size_t written =
            co_await http::async_write(*run->stream_, request, redirectTo(error));
        if (!error)
            co_return SentAmount::All;
        co_return written == 0 ? SentAmount::Nothing : SentAmount::Part;
    }

    /// Sends a run's request, on an idle connection if it is idempotent and there is one. It is
    /// sent again on a new connection only if the operating system accepted no byte of it, because
    /// the target can't have received it then.
    asio::awaitable<SentAmount> send(const Request &request, RunPtr run, bool idempotent)
    {
        if (idempotent)
            run->stream_ = acquireIdleConnection();
        run->isReused_ = run->stream_ != nullptr;
        if (run->isReused_) {
            const SentAmount sent = co_await writeRequest(request, run);
            if (sent != SentAmount::Nothing || run->isCancelled_)
                co_return sent;
        }
        const bool connected = co_await connect(run);
        if (!connected || run->isCancelled_)
            co_return SentAmount::Nothing;
        co_return co_await writeRequest(request, run);
    }

    /// Whether a response announces that the target closes an idle connection: servers may send 408
    /// (Request Timeout) unasked before they do. On a reused connection it is not the run's
    /// response.
    static bool isIdleCloseNotice(const Run &run, http::status status)
    {
        return run.isReused_ && status == http::status::request_timeout;
    }

    /// Whether to deliver the pending events before the next read: nothing can be read without
    /// waiting, or the maximum number is pending.
    static bool mustDeliverPending(Run &run, const beast::flat_buffer &buffer)
    {
        error_code error;
        const bool more = buffer.size() > 0 || run.stream_->socket().available(error) > 0;
        return !more || run.pendingEvents_.size() >= maxPendingEvents;
    }

    /// Forwards the response as it is received. Returns false if it ended before it was complete.
    asio::awaitable<bool> forwardResponse(const AttemptId &attempt, const RunPtr &run,
                                          http::verb method, ResponseTokenCounter &counter)
    {
        beast::flat_buffer buffer(maxUnparsedBytes);
        buffer.reserve(readBufferBytes);
        std::optional<http::response_parser<http::buffer_body>> parser;
        const bool hasHead = co_await readFinalHead(*run->stream_, buffer, parser, boost::none,
                                                    method == http::verb::head);
        if (!hasHead || isIdleCloseNotice(*run, parser->get().result()))
            co_return false;
        const auto type = parser->get()[http::field::content_type];
        counter.format_ = settings_.isModelEngine_ ? responseFormat({type.data(), type.size()})
                                                   : ResponseFormat::Opaque;
        run->pendingEvents_.emplace_back(
            RunResponseHead{attempt, parser->get().result_int(), std::string(type)});
        std::array<char, readBufferBytes> bytes;
        error_code error;
        while (!parser->is_done()) {
            if (mustDeliverPending(*run, buffer))
                co_await deliverPendingEvents(run);
            parser->get().body().data = bytes.data();
            parser->get().body().size = bytes.size();
            co_await http::async_read_some(*run->stream_, buffer, *parser, redirectTo(error));
            if (error && error != http::error::need_buffer)
                co_return false;
            const std::size_t count = bytes.size() - parser->get().body().size;
            if (count == 0)
                continue;
            const std::string_view read(bytes.data(), count);
            countTokens(counter, read);
            run->pendingEvents_.emplace_back(
                RunResponseBytes{attempt, std::string(read), generatedTokens(counter)});
        }
        if (parser->get().need_eof()
            && unacknowledgedBytes(run->stream_->socket().native_handle()) > 0)
            co_return false;
        run->isReusable_ = parser->keep_alive() && buffer.size() == 0 && !run->isCancelled_;
        co_return true;
    }

    static EngineEvent runFailure(const AttemptId &attempt, bool sent)
    {
        return RunFailed{attempt, sent};
    }

    asio::awaitable<EngineEvent> executeRun(StartRun start, RunPtr run)
    {
        const AttemptId attempt = start.attempt_;
        const std::optional<Request> request = makeRunRequest(start);
        if (!request)
            co_return runFailure(attempt, false);
        const SentAmount sent = co_await send(*request, run, start.idempotent_);
        if (sent != SentAmount::All)
            co_return runFailure(attempt, sent == SentAmount::Part);
        ResponseTokenCounter counter;
        const bool isComplete = co_await forwardResponse(attempt, run, request->method(), counter);
        if (!isComplete)
            co_return runFailure(attempt, true);
        finishTokenCount(counter);
        EngineEvent ended = RunEnded{attempt, generatedTokens(counter)};
        co_return ended;
    }

    asio::awaitable<void> perform(StartRun start)
    {
        const AttemptId attempt = start.attempt_;
        const RunPtr run = std::make_shared<Run>();
        runs_[attempt] = run;
        EngineEvent end = co_await executeRun(std::move(start), run);
        runs_.erase(attempt);
        // The run is no longer in runs_, so a concurrent cancellation can't close a pooled
        // connection.
        if (run->isReusable_ && !run->isCancelled_)
            keepIdleConnection(std::move(run->stream_));
        co_await deliverPendingEvents(run);
        co_await deliverEvent(std::move(end));
    }

    void startCommands()
    {
        while (std::optional<EngineCommand> command = commands_.pop(Duration(0))) {
            const auto spawn = [this](auto &&next) {
                asio::co_spawn(context_, perform(std::forward<decltype(next)>(next)),
                               asio::detached);
            };
            std::visit(spawn, std::move(*command));
        }
    }

    EngineClientSettings settings_;
    Deliver deliver_;
    BoundedRing<EngineCommand> commands_;
    asio::io_context context_{1};
    std::unordered_map<AttemptId, RunPtr> runs_;
    /// Pool of connections between runs; the one idle for longest is first.
    std::vector<IdleConnection> idleConnections_;
    bool isClosingExpired_ = false;
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> workGuard_;
    std::thread thread_;
};

EngineClient::EngineClient(EngineClientSettings settings, Deliver deliver)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(deliver)))
{ }

EngineClient::~EngineClient()
{
    stop();
}

void EngineClient::start()
{
    impl_->workGuard_.emplace(impl_->context_.get_executor());
    impl_->thread_ = std::thread([this] { impl_->context_.run(); });
}

void EngineClient::stop()
{
    impl_->commands_.close();
    impl_->workGuard_.reset();
    impl_->context_.stop();
    if (impl_->thread_.joinable())
        impl_->thread_.join();
}

bool EngineClient::submit(EngineCommand command)
{
    if (!impl_->commands_.tryPush(std::move(command)))
        return false;
    asio::post(impl_->context_, [this] { impl_->startCommands(); });
    return true;
}

} // namespace eelgrasscove
