#include "Caller/callerserver.h"

#include "Contract/keydigest.h"
#include "Observe/log.h"
#include "Observe/metrics.h"
#include "Vm/boundedring.h"
#include "Vm/tcplisten.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <thread>

namespace eelgrasscove {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t replyRingReplies = 65536;
/// Bytes of answers that a caller may leave unread before its connection is cut.
constexpr std::size_t unreadBytes = 4 * 1024 * 1024;
/// A key shorter than this could stand in a request by chance.
constexpr std::size_t shortestKeyBytes = 16;
constexpr std::size_t longestIdBytes = 128;
constexpr Duration ringWait = std::chrono::milliseconds(1);
constexpr Duration closeWait = std::chrono::seconds(2);
/// Time for a refused caller to read its answer; bytes that it still sends are thrown away.
constexpr Duration lingerTime = std::chrono::seconds(2);
constexpr std::size_t lingerBytes = 4096;
/// A caller over the limit of connections has this part of the usual time to send its header.
constexpr int refusalHaste = 10;
constexpr std::uint32_t refusalRetrySeconds = 1;
constexpr std::string_view requestIdHeader = "X-Request-Id";
constexpr std::string_view bearer = "Bearer ";

using RequestParser = http::request_parser<http::string_body>;
using HttpRequest = http::request<http::string_body>;

std::string text(beast::string_view view)
{
    return {view.data(), view.size()};
}

/// The key a request carries; empty where there is none.
std::string keyOfRequest(const HttpRequest &request)
{
    const std::string authorization = text(request[http::field::authorization]);
    const bool isBearer = authorization.size() > bearer.size()
        && beast::iequals(authorization.substr(0, bearer.size()), bearer);
    return isBearer ? authorization.substr(bearer.size()) : std::string();
}

/// Whether the key also stands where it could reach a target, a trace or a log.
bool keyElsewhere(const HttpRequest &request, const std::string &key)
{
    if (key.size() < shortestKeyBytes)
        return false;
    if (request.target().find(key) != beast::string_view::npos
        || request.body().find(key) != std::string::npos)
        return true;
    return std::any_of(request.begin(), request.end(), [&](const auto &field) {
        return field.name() != http::field::authorization
            && field.value().find(key) != beast::string_view::npos;
    });
}

bool plainId(const std::string &id)
{
    return id.size() <= longestIdBytes && std::all_of(id.begin(), id.end(), [](char letter) {
               return letter > ' ' && letter < '\x7f' && letter != '"' && letter != '\\';
           });
}

/// An id for a request that the deciding thread never sees.
std::string newRequestId()
{
    return childOf({}).traceId_;
}

/// The caller's own id of its request where it may be sent back.
std::string requestIdOf(const HttpRequest &request)
{
    const std::string given = text(request[requestIdHeader]);
    const std::string key = keyOfRequest(request);
    const bool holdsKey = !key.empty() && given.find(key) != std::string::npos;
    return given.empty() || holdsKey || !plainId(given) ? newRequestId() : given;
}

/// GET, or HEAD, which asks for the same without its body.
bool isReading(const HttpRequest &request)
{
    return request.method() == http::verb::get || request.method() == http::verb::head;
}

ApiError wrongMethod(std::string_view allowed)
{
    return {ApiErrorCode::MethodNotAllowed, RunState::NotRun, "use " + std::string(allowed), 0,
            allowed};
}

/// Counts and logs the refusal, which no other thread hears of.
ReplyWhole errorReply(const std::string &requestId, const ApiError &error,
                      LogLevel level = LogLevel::Info)
{
    const std::string code(apiErrorRow(error.code_).name_);
    countMetric("eelgrasscove_callers_refused_total", "code=\"" + code + "\"");
    logEvent(level, "caller_refused", {{"request", requestId}, {"code", code}});
    ReplyWhole reply;
    reply.status_ = apiErrorRow(error.code_).status_;
    reply.contentType_ = "application/json";
    reply.body_ = apiErrorBody(error);
    reply.retryAfter_ = error.retryAfter_;
    reply.allow_ = error.allow_;
    reply.requestId_ = requestId;
    return reply;
}

http::response<http::string_body> wholeResponse(const ReplyWhole &reply, bool keepAlive)
{
    http::response<http::string_body> response{http::int_to_status(reply.status_), 11};
    response.result(reply.status_);
    response.set(http::field::content_type, reply.contentType_);
    if (reply.retryAfter_ > 0)
        response.set(http::field::retry_after, std::to_string(reply.retryAfter_));
    if (!reply.requestId_.empty())
        response.set(requestIdHeader, reply.requestId_);
    if (!reply.allow_.empty())
        response.set(http::field::allow, reply.allow_);
    response.keep_alive(keepAlive);
    response.body() = reply.body_;
    response.prepare_payload();
    return response;
}

std::string headText(const ReplyHead &reply, bool keepAlive)
{
    http::response<http::empty_body> response{http::int_to_status(reply.status_), 11};
    response.result(reply.status_);
    response.set(http::field::content_type, reply.contentType_);
    response.set(requestIdHeader, reply.requestId_);
    response.keep_alive(keepAlive);
    response.chunked(true);
    std::ostringstream out;
    out << response.base();
    return out.str();
}

std::string chunkText(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

} // namespace

struct CallerServer::Impl
{
    class Session;

    CallerSettings settings_;
    KeySettings keys_;
    const StatusBoard &board_;
    Deliver deliver_;
    asio::io_context context_{1};
    tcp::acceptor acceptor_{context_};
    BoundedRing<CallerReply> replies_{replyRingReplies};
    std::atomic<bool> drainPosted_ = false;
    std::thread thread_;
    std::uint64_t lastHandle_ = 0;
    std::set<std::shared_ptr<Session>> sessions_;
    /// Those of the sessions that are over the limit and only being told so.
    std::size_t refusals_ = 0;
    std::map<CallerHandle, Session *> byHandle_;
    std::atomic<bool> leaving_ = false;

    Impl(CallerSettings settings, KeySettings keys, const StatusBoard &board, Deliver deliver)
        : settings_(std::move(settings)), keys_(std::move(keys)), board_(board),
          deliver_(std::move(deliver))
    { }

    Result<Done, CallerServerError> listen();
    void accept();
    void admit(tcp::socket socket);
    void drainReplies();
    void takeReply(CallerReply &reply);
    std::variant<CallerRequest, ApiError> readCall(const HttpRequest &request) const;
    std::optional<ApiError> readKind(const HttpRequest &request, CallerRequest &call) const;
};

/// One connection of a caller: a request at a time, read, handed on, answered.
class CallerServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Impl &server, tcp::socket socket)
        : server_(server), stream_(std::move(socket)), readTimer_(server.context_)
    { }

    void readNext()
    {
        beginRead(server_.settings_.callerTimeout_);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             self->afterRead(error);
                         });
    }

    /// Reads only what is needed for the caller to be able to take a refusal.
    void readToRefuse()
    {
        overLimit_ = true;
        server_.refusals_ += 1;
        beginRead(server_.settings_.callerTimeout_ / refusalHaste);
        http::async_read_header(stream_, buffer_, *parser_,
                                [self = shared_from_this()](beast::error_code error, std::size_t) {
                                    self->afterRead(error);
                                });
    }

    void write(const std::string &bytes, bool last)
    {
        outgoing_ += bytes;
        lastQueued_ = lastQueued_ || last;
        if (outgoing_.size() > unreadBytes) {
            logEvent(LogLevel::Warning, "caller_too_slow");
            close();
            return;
        }
        writeMore();
    }

    void replyWhole(const ReplyWhole &reply)
    {
        keepAlive_ = keepAlive_ && !server_.leaving_;
        const http::response<http::string_body> response = wholeResponse(reply, keepAlive_);
        std::ostringstream out;
        if (headOnly_)
            out << response.base();
        else
            out << response;
        write(out.str(), true);
    }

    void replyHead(const ReplyHead &reply)
    {
        keepAlive_ = keepAlive_ && !server_.leaving_;
        write(headText(reply, keepAlive_), false);
    }

    void replyPart(const std::string &bytes)
    {
        if (!bytes.empty() && !headOnly_)
            write(chunkText(bytes), false);
    }

    void replyEnd() { write(headOnly_ ? "" : "0\r\n\r\n", true); }

    /// The stream's end is never written, so that the caller can't take the answer for whole.
    void replyAbort(const std::string &lastBytes)
    {
        keepAlive_ = false;
        write(lastBytes.empty() || headOnly_ ? std::string() : chunkText(lastBytes), true);
    }

    void close()
    {
        if (closed_)
            return;
        closed_ = true;
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.socket().close(ignored);
        readTimer_.cancel();
        loseCaller();
        if (overLimit_)
            server_.refusals_ -= 1;
        server_.sessions_.erase(shared_from_this());
    }

    bool busy() const { return handle_.value_ != 0; }

private:
    /// The stream's own timeout would close the connection before the caller could be told.
    void beginRead(Duration time)
    {
        parser_.emplace();
        parser_->header_limit(server_.settings_.headerBytes_);
        parser_->body_limit(server_.settings_.bodyBytes_);
        stream_.expires_never();
        reading_ = true;
        tooSlow_ = false;
        readTimer_.expires_after(time);
        readTimer_.async_wait(
            [self = shared_from_this(), read = ++reads_](beast::error_code error) {
                if (!error && self->reading_ && read == self->reads_)
                    self->endSlowRead();
            });
    }

    void endSlowRead()
    {
        tooSlow_ = true;
        stream_.cancel();
    }

    void expireIn(Duration time)
    {
        stream_.expires_after(std::chrono::duration_cast<std::chrono::nanoseconds>(time));
    }

    void loseCaller()
    {
        if (!busy())
            return;
        server_.byHandle_.erase(handle_);
        gone_ = CallerGone{handle_};
        handle_ = {};
        tellGone();
    }

    /// Tried until the ring takes it: a lost notice would leave the request running for nobody.
    void tellGone()
    {
        CallerEvent event = gone_;
        if (server_.deliver_(std::move(event)))
            return;
        asio::post(server_.context_, [self = shared_from_this()] {
            std::this_thread::sleep_for(ringWait);
            self->tellGone();
        });
    }

    void afterRead(beast::error_code error)
    {
        reading_ = false;
        readTimer_.cancel();
        if (closed_)
            return;
        if (overLimit_) {
            refuse({ApiErrorCode::TooManyConnections, RunState::NotRun,
                    "this entry has its fill of connections", refusalRetrySeconds});
        } else if (!error) {
            takeRequest();
        } else if (error == http::error::header_limit) {
            refuse({ApiErrorCode::HeaderTooLarge, RunState::NotRun, "the header is too large", 0});
        } else if (error == http::error::body_limit) {
            refuse({ApiErrorCode::BodyTooLarge, RunState::NotRun, "the body is too large", 0});
        } else if (tooSlow_ && parser_->got_some()) {
            refuse(
                {ApiErrorCode::CallerTooSlow, RunState::NotRun, "the request came too slowly", 0});
        } else if (error == http::error::end_of_stream || error.category() != badInput()) {
            close();
        } else {
            refuse({ApiErrorCode::BadRequest, RunState::NotRun,
                    "the request is not HTTP/1.1: " + error.message(), 0});
        }
    }

    static const boost::system::error_category &badInput()
    {
        static const beast::error_code example = http::error::bad_method;
        return example.category();
    }

    /// Answers without asking anyone, then closes: what follows on the connection can't be trusted.
    void refuse(const ApiError &error)
    {
        keepAlive_ = false;
        linger_ = true;
        // There may be as many as callers like, so they aren't logged as a rule.
        replyWhole(errorReply(newRequestId(), error, LogLevel::Debug));
    }

    void takeRequest()
    {
        const HttpRequest request = parser_->release();
        keepAlive_ = request.keep_alive() && !server_.leaving_;
        headOnly_ = request.method() == http::verb::head;
        const std::string path = text(request.target()).substr(0, request.target().find('?'));
        if (isObservePath(path)) {
            replyWhole(observeReply(request, path));
            return;
        }
        std::variant<CallerRequest, ApiError> call = server_.readCall(request);
        if (const ApiError *error = std::get_if<ApiError>(&call)) {
            replyWhole(errorReply(requestIdOf(request), *error));
            return;
        }
        hand(std::get<CallerRequest>(std::move(call)), requestIdOf(request));
    }

    ReplyWhole observeReply(const HttpRequest &request, const std::string &path) const
    {
        if (!isReading(request))
            return errorReply(requestIdOf(request), wrongMethod("GET, HEAD"));
        const ObserveAnswer answer = answerObserve(server_.board_, path);
        ReplyWhole reply;
        reply.status_ = answer.status_;
        reply.contentType_ = answer.contentType_;
        reply.body_ = answer.body_;
        return reply;
    }

    void hand(CallerRequest call, const std::string &requestId)
    {
        handle_ = {++server_.lastHandle_};
        call.handle_ = handle_;
        server_.byHandle_[handle_] = this;
        stream_.expires_never();
        if (server_.deliver_(CallerEvent{std::move(call)})) {
            watchCaller();
            return;
        }
        server_.byHandle_.erase(handle_);
        handle_ = {};
        replyWhole(errorReply(requestId,
                              {ApiErrorCode::Overloaded, RunState::NotRun,
                               "this entry has its fill of requests", refusalRetrySeconds}));
    }

    /// A caller that goes away shows as a readable socket without bytes.
    void watchCaller()
    {
        if (watching_)
            return;
        watching_ = true;
        stream_.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this()](beast::error_code error) { self->afterWait(error); });
    }

    void afterWait(beast::error_code error)
    {
        watching_ = false;
        if (closed_ || !busy())
            return;
        beast::error_code failed;
        const bool nothing = stream_.socket().available(failed) == 0;
        if (error || failed || nothing)
            close();
    }

    void writeMore()
    {
        if (writing_ || closed_)
            return;
        if (outgoing_.empty()) {
            if (lastQueued_)
                finish();
            return;
        }
        writing_ = true;
        inFlight_.swap(outgoing_);
        outgoing_.clear();
        expireIn(server_.settings_.callerTimeout_);
        asio::async_write(stream_, asio::buffer(inFlight_),
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              self->afterWrite(error);
                          });
    }

    void afterWrite(beast::error_code error)
    {
        writing_ = false;
        if (closed_)
            return;
        if (error) {
            close();
            return;
        }
        stream_.expires_never();
        writeMore();
    }

    void finish()
    {
        lastQueued_ = false;
        server_.byHandle_.erase(handle_);
        handle_ = {};
        if (!keepAlive_) {
            linger_ ? endWriting() : close();
            return;
        }
        if (watching_)
            stream_.socket().cancel();
        readNext();
    }

    /// Closing at once would reset the connection, and the caller could lose its answer.
    void endWriting()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        expireIn(lingerTime);
        discardRest();
    }

    void discardRest()
    {
        buffer_.clear();
        stream_.async_read_some(buffer_.prepare(lingerBytes),
                                [self = shared_from_this()](beast::error_code error, std::size_t) {
                                    error ? self->close() : self->discardRest();
                                });
    }

    Impl &server_;
    beast::tcp_stream stream_;
    asio::steady_timer readTimer_;
    std::uint64_t reads_ = 0;
    beast::flat_buffer buffer_;
    std::optional<RequestParser> parser_;
    CallerHandle handle_;
    CallerGone gone_;
    std::string outgoing_;
    std::string inFlight_;
    bool keepAlive_ = true;
    bool headOnly_ = false;
    bool linger_ = false;
    bool overLimit_ = false;
    bool reading_ = false;
    bool tooSlow_ = false;
    bool writing_ = false;
    bool watching_ = false;
    bool lastQueued_ = false;
    bool closed_ = false;
};

Result<Done, CallerServerError> CallerServer::Impl::listen()
{
    const Result<Done, ListenError> listening = listenOn(acceptor_, settings_.listen_);
    if (!ok(listening))
        return CallerServerError{errorOf(listening).message_};
    accept();
    return Done{};
}

void CallerServer::Impl::accept()
{
    acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
        if (!acceptor_.is_open())
            return;
        if (!error)
            admit(std::move(socket));
        accept();
    });
}

void CallerServer::Impl::admit(tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const bool overLimit = sessions_.size() - refusals_ >= settings_.connections_;
    if (overLimit && refusals_ >= refusalsAtOnce) {
        countMetric("eelgrasscove_callers_cut_total");
        return;
    }
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    overLimit ? session->readToRefuse() : session->readNext();
}

std::optional<ApiError> CallerServer::Impl::readKind(const HttpRequest &request,
                                                     CallerRequest &call) const
{
    const std::string path = call.path_.substr(0, call.path_.find('?'));
    const bool chat = path == "/v1/chat/completions";
    if (chat || path == "/v1/completions") {
        if (request.method() != http::verb::post)
            return wrongMethod("POST");
        call.kind_ = CallKind::Completion;
        Result<Completion, ApiError> completion =
            parseCompletion(request.body(), chat, settings_.defaultMaxTokens_);
        if (!ok(completion))
            return errorOf(completion);
        call.completion_ = valueOf(std::move(completion));
    } else if (path == "/v1/models") {
        if (!isReading(request))
            return wrongMethod("GET, HEAD");
        call.kind_ = CallKind::Models;
    }
    return std::nullopt;
}

std::variant<CallerRequest, ApiError> CallerServer::Impl::readCall(const HttpRequest &request) const
{
    const std::string key = keyOfRequest(request);
    if (keyElsewhere(request, key))
        return ApiError{ApiErrorCode::KeyInRequest, RunState::NotRun,
                        "the key stands outside the Authorization header; take it out", 0};
    CallerRequest call;
    if (!key.empty())
        call.keyDigest_ = keyDigest(keys_.digestSecret_, key);
    call.method_ = text(request.method_string());
    call.path_ = text(request.target());
    call.contentType_ = text(request[http::field::content_type]);
    call.body_ = request.body();
    call.idempotencyKey_ = text(request["Idempotency-Key"]);
    call.callerRequestId_ = text(request[requestIdHeader]);
    if (!plainId(call.idempotencyKey_) || !plainId(call.callerRequestId_))
        return ApiError{ApiErrorCode::BadRequest, RunState::NotRun,
                        "Idempotency-Key and X-Request-Id take up to 128 printable characters", 0};
    if (beast::iequals(request["X-Priority"], "batch"))
        call.priority_ = Priority::Batch;
    const TraceContext parent = parseTraceparent(text(request["traceparent"]));
    call.parentSpanId_ = parent.spanId_;
    call.trace_ = childOf(parent);
    call.arrivedAt_ = monotonicNow();
    if (std::optional<ApiError> error = readKind(request, call))
        return *error;
    return call;
}

void CallerServer::Impl::takeReply(CallerReply &reply)
{
    const CallerHandle handle = std::visit([](const auto &body) { return body.handle_; }, reply);
    const auto found = byHandle_.find(handle);
    if (found == byHandle_.end())
        return;
    const auto session = found->second->shared_from_this();
    if (const auto *whole = std::get_if<ReplyWhole>(&reply))
        session->replyWhole(*whole);
    else if (const auto *head = std::get_if<ReplyHead>(&reply))
        session->replyHead(*head);
    else if (const auto *part = std::get_if<ReplyPart>(&reply))
        session->replyPart(part->bytes_);
    else if (const auto *abort = std::get_if<ReplyAbort>(&reply))
        session->replyAbort(abort->lastBytes_);
    else
        session->replyEnd();
}

void CallerServer::Impl::drainReplies()
{
    drainPosted_ = false;
    while (std::optional<CallerReply> reply = replies_.pop(Duration(0)))
        takeReply(*reply);
}

CallerServer::CallerServer(CallerSettings settings, KeySettings keys, const StatusBoard &board,
                           Deliver deliver)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(keys), board, std::move(deliver)))
{ }

CallerServer::~CallerServer()
{
    stop();
}

Result<Done, CallerServerError> CallerServer::start()
{
    Result<Done, CallerServerError> listening = impl_->listen();
    if (!ok(listening))
        return listening;
    impl_->thread_ = std::thread([this] { impl_->context_.run(); });
    return Done{};
}

void CallerServer::beginLeaving()
{
    impl_->leaving_ = true;
}

void CallerServer::stopListening()
{
    beginLeaving();
    asio::post(impl_->context_, [this] {
        beast::error_code ignored;
        impl_->acceptor_.close(ignored);
    });
}

void CallerServer::stop()
{
    if (!impl_->thread_.joinable())
        return;
    stopListening();
    const Time deadline = monotonicNow() + closeWait;
    std::atomic<bool> busy = true;
    while (busy && monotonicNow() < deadline) {
        asio::post(impl_->context_, [this, &busy] { busy = !impl_->byHandle_.empty(); });
        std::this_thread::sleep_for(10 * ringWait);
    }
    asio::post(impl_->context_, [this] {
        const std::set<std::shared_ptr<Impl::Session>> sessions = impl_->sessions_;
        for (const auto &session : sessions)
            session->close();
        impl_->context_.stop();
    });
    impl_->thread_.join();
}

void CallerServer::reply(CallerReply reply)
{
    // A refusal leaves the reply untouched. NOLINTNEXTLINE(bugprone-use-after-move)
    while (!impl_->replies_.tryPush(std::move(reply)))
        std::this_thread::sleep_for(ringWait);
    if (!impl_->drainPosted_.exchange(true))
        asio::post(impl_->context_, [this] { impl_->drainReplies(); });
}

} // namespace eelgrasscove
