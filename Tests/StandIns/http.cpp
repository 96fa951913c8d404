#include "StandIns/http.h"

#include "StandIns/asioloop.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <charconv>
#include <deque>
#include <fmt/core.h>
#include <set>
#include <sstream>
#include <sys/socket.h>

namespace standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::uint64_t bodyLimitBytes = 64ULL * 1024 * 1024;
constexpr std::uint32_t headerLimitBytes = 256 * 1024;

bool sameIgnoringCase(std::string_view left, std::string_view right)
{
    return beast::iequals(beast::string_view(left.data(), left.size()),
                          beast::string_view(right.data(), right.size()));
}

template <class Fields>
std::vector<HttpHeader> headersOf(const Fields &fields)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : fields)
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return headers;
}

template <class Message>
std::string serialize(const Message &message)
{
    std::ostringstream text;
    text << message;
    return text.str();
}

} // namespace

std::int64_t monotonicMicros()
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Micros>(sinceStart).count();
}

std::string headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (sameIgnoringCase(header.name_, name))
            return header.value_;
    }
    return {};
}

std::string_view pathOf(const HttpRequest &request)
{
    const std::string_view target = request.target_;
    return target.substr(0, target.find('?'));
}

std::optional<HostPort> parseHostPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    HostPort result;
    result.host_ = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const char *end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, result.port_);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return result;
}

// ---- EventLoop

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) { }
EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    impl_->context_.run();
}

void EventLoop::runUntilSignal()
{
    asio::signal_set signals(impl_->context_, SIGTERM, SIGINT);
    signals.async_wait([this](ErrorCode, int) { stop(); });
    impl_->context_.run();
}

void EventLoop::stop()
{
    impl_->context_.stop();
}

void EventLoop::post(std::function<void()> action)
{
    asio::post(impl_->context_, std::move(action));
}

void EventLoop::after(Micros wait, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(impl_->context_, wait);
    timer->async_wait([timer, action = std::move(action)](ErrorCode error) {
        if (!error)
            action();
    });
}

// ---- HttpServer

namespace {

class Session;

} // namespace

struct HttpServer::Impl
{
    Impl(EventLoop &loop, HttpHandler handler)
        : context_(loop.impl().context_), acceptor_(context_), handler_(std::move(handler))
    { }

    asio::io_context &context_;
    tcp::acceptor acceptor_;
    HttpHandler handler_;
    std::set<std::shared_ptr<Session>> sessions_;

    static void accept(const std::shared_ptr<Impl> &self);
};

namespace {

/// One connection. It outlives its exchanges, each of which knows its own number.
class Session : public std::enable_shared_from_this<Session>
{
public:
    using Ended = std::function<void(const std::shared_ptr<Session> &)>;

    Session(tcp::socket socket, HttpHandler handler, Ended ended)
        : socket_(std::move(socket)), handler_(std::move(handler)), ended_(std::move(ended))
    { }

    void readNext()
    {
        parser_.emplace();
        parser_->body_limit(bodyLimitBytes);
        parser_->header_limit(headerLimitBytes);
        http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](ErrorCode error, std::size_t) {
                             if (error) {
                                 self->close();
                             } else {
                                 self->handleRequest();
                             }
                         });
    }

    bool serves(std::uint64_t exchange) const { return open_ && exchange == exchange_ && busy_; }

    void queue(std::string bytes)
    {
        writes_.push_back(std::move(bytes));
        if (!writing_)
            writeNext();
    }

    void endExchange()
    {
        ending_ = true;
        if (!writing_)
            finishExchange();
    }

    void watchCaller(std::function<void()> action)
    {
        callerGone_ = std::move(action);
        watch();
    }

    void close()
    {
        if (!open_)
            return;
        open_ = false;
        ErrorCode ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        if (busy_ && callerGone_)
            std::exchange(callerGone_, nullptr)();
        if (ended_)
            std::exchange(ended_, nullptr)(shared_from_this());
    }

private:
    void handleRequest();

    void writeNext()
    {
        writing_ = true;
        asio::async_write(
            socket_, asio::buffer(writes_.front()),
            [self = shared_from_this()](ErrorCode error, std::size_t) { self->wrote(error); });
    }

    void wrote(ErrorCode error)
    {
        writing_ = false;
        if (error) {
            close();
            return;
        }
        writes_.pop_front();
        if (!writes_.empty()) {
            writeNext();
        } else if (ending_) {
            finishExchange();
        }
    }

    void finishExchange()
    {
        busy_ = false;
        ending_ = false;
        callerGone_ = nullptr;
        if (keepAlive_) {
            readNext();
        } else {
            close();
        }
    }

    /// Notices a caller that goes while its answer is being made.
    void watch()
    {
        if (watching_)
            return;
        watching_ = true;
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this()](ErrorCode error) { self->peek(error); });
    }

    void peek(ErrorCode error)
    {
        watching_ = false;
        if (error || !busy_ || !open_)
            return;
        char byte = 0;
        const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            close();
        } else if (received < 0) {
            watch();
        }
    }

    tcp::socket socket_;
    HttpHandler handler_;
    Ended ended_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<std::string> writes_;
    std::function<void()> callerGone_;
    std::uint64_t exchange_ = 0;
    bool open_ = true;
    bool busy_ = false;
    bool ending_ = false;
    bool writing_ = false;
    bool watching_ = false;
    bool keepAlive_ = true;
};

class SessionExchange : public Exchange
{
public:
    SessionExchange(std::shared_ptr<Session> session, std::uint64_t number, bool keepAlive)
        : session_(std::move(session)), number_(number), keepAlive_(keepAlive)
    { }

    void send(const HttpResponse &response) override
    {
        if (!isOpen())
            return;
        http::response<http::string_body> message(http::int_to_status(response.status_), 11);
        fillHead(message, response);
        message.body() = response.body_;
        message.prepare_payload();
        session_->queue(serialize(message));
        end();
    }

    void startStream(const HttpResponse &head) override
    {
        if (!isOpen())
            return;
        http::response<http::empty_body> message(http::int_to_status(head.status_), 11);
        fillHead(message, head);
        message.chunked(true);
        session_->queue(serialize(message.base()));
        write(head.body_);
    }

    void write(std::string_view part) override
    {
        if (isOpen() && !part.empty())
            session_->queue(fmt::format("{:x}\r\n{}\r\n", part.size(), part));
    }

    void finishStream() override
    {
        if (!isOpen())
            return;
        session_->queue("0\r\n\r\n");
        end();
    }

    void close() override
    {
        if (isOpen())
            session_->close();
    }

    bool isOpen() const override { return !ended_ && session_->serves(number_); }

    void onCallerGone(std::function<void()> action) override
    {
        if (isOpen())
            session_->watchCaller(std::move(action));
    }

    const std::shared_ptr<Session> &session() const { return session_; }

private:
    template <class Message>
    void fillHead(Message &message, const HttpResponse &response)
    {
        message.set(http::field::content_type, response.contentType_);
        for (const HttpHeader &header : response.headers_)
            message.set(header.name_, header.value_);
        message.keep_alive(keepAlive_);
    }

    void end()
    {
        ended_ = true;
        session_->endExchange();
    }

    std::shared_ptr<Session> session_;
    std::uint64_t number_;
    bool keepAlive_;
    bool ended_ = false;
};

void Session::handleRequest()
{
    const auto &message = parser_->get();
    HttpRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    request.headers_ = headersOf(message);
    request.body_ = message.body();
    keepAlive_ = message.keep_alive();
    busy_ = true;
    exchange_ += 1;
    const auto exchange =
        std::make_shared<SessionExchange>(shared_from_this(), exchange_, keepAlive_);
    if (handler_)
        handler_(request, exchange);
}

} // namespace

void HttpServer::Impl::accept(const std::shared_ptr<Impl> &self)
{
    self->acceptor_.async_accept([self](ErrorCode error, tcp::socket socket) {
        if (!self->acceptor_.is_open())
            return;
        if (!error) {
            ErrorCode ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const std::weak_ptr<Impl> server = self;
            const auto ended = [server](const std::shared_ptr<Session> &session) {
                if (const auto owner = server.lock())
                    owner->sessions_.erase(session);
            };
            auto session = std::make_shared<Session>(std::move(socket), self->handler_, ended);
            self->sessions_.insert(session);
            session->readNext();
        }
        accept(self);
    });
}

HttpServer::HttpServer(EventLoop &loop, HttpHandler handler)
    : impl_(std::make_shared<Impl>(loop, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    ErrorCode ignored;
    impl_->acceptor_.close(ignored);
    closeConnections(nullptr);
}

std::string HttpServer::listen(std::uint16_t port)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
    ErrorCode error;
    impl_->acceptor_.open(endpoint.protocol(), error);
    if (!error)
        impl_->acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        impl_->acceptor_.bind(endpoint, error);
    if (!error)
        impl_->acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return fmt::format("can't listen on 127.0.0.1:{}: {}", port, error.message());
    Impl::accept(impl_);
    return {};
}

std::uint16_t HttpServer::port() const
{
    ErrorCode ignored;
    return impl_->acceptor_.local_endpoint(ignored).port();
}

void HttpServer::closeConnections(const ExchangePtr &keep)
{
    const auto *kept = dynamic_cast<SessionExchange *>(keep.get());
    const auto sessions = impl_->sessions_;
    for (const auto &session : sessions) {
        if (kept == nullptr || session != kept->session())
            session->close();
    }
}

// ---- HttpCall

namespace {

class ClientCall : public HttpCall, public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(asio::io_context &context, OnPart onPart, OnEnd onEnd)
        : socket_(context), timer_(context), onPart_(std::move(onPart)), onEnd_(std::move(onEnd))
    {
        parser_.body_limit(bodyLimitBytes);
        parser_.header_limit(headerLimitBytes);
    }

    void begin(const HostPort &to, const HttpRequest &request, Micros timeout)
    {
        prepare(to, request);
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this()](ErrorCode error) {
            if (!error)
                self->end(CallEnd::TimedOut);
        });
        ErrorCode error;
        const auto address = asio::ip::make_address(to.host_, error);
        socket_.async_connect(tcp::endpoint(address, to.port_),
                              [self = shared_from_this()](ErrorCode failure) {
                                  if (failure) {
                                      self->end(CallEnd::Refused);
                                  } else {
                                      self->write();
                                  }
                              });
    }

    void cancel() override { end(CallEnd::Cancelled); }

private:
    void prepare(const HostPort &to, const HttpRequest &request)
    {
        message_.method_string(request.method_);
        message_.target(request.target_);
        message_.version(11);
        message_.set(http::field::host, fmt::format("{}:{}", to.host_, to.port_));
        message_.set(http::field::connection, "close");
        for (const HttpHeader &header : request.headers_)
            message_.set(header.name_, header.value_);
        message_.body() = request.body_;
        message_.prepare_payload();
        if (request.method_ == "HEAD")
            parser_.skip(true);
    }

    void write()
    {
        ErrorCode ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        http::async_write(socket_, message_,
                          [self = shared_from_this()](ErrorCode error, std::size_t) {
                              // A refusal may come before the whole body is sent.
                              self->writeFailed_ = static_cast<bool>(error);
                              self->read();
                          });
    }

    void read()
    {
        http::async_read_some(
            socket_, buffer_, parser_,
            [self = shared_from_this()](ErrorCode error, std::size_t) { self->tookSome(error); });
    }

    void tookSome(ErrorCode error)
    {
        if (ended_)
            return;
        const std::string &body = parser_.get().body();
        if (body.size() > seen_ && onPart_)
            onPart_(std::string_view(body).substr(seen_));
        seen_ = body.size();
        // A failed write takes the error of a reset from the socket. The end of the connection then
        // no longer marks the end of the answer.
        const bool isCut = writeFailed_ && parser_.is_header_done() && parser_.get().need_eof();
        if (parser_.is_done() && !isCut) {
            end(CallEnd::Whole);
        } else if (error || isCut) {
            end(parser_.is_header_done() ? CallEnd::Truncated : CallEnd::NoAnswer);
        } else {
            read();
        }
    }

    void end(CallEnd how)
    {
        if (ended_)
            return;
        ended_ = true;
        timer_.cancel();
        ErrorCode ignored;
        socket_.close(ignored);
        HttpResult result;
        result.end_ = how;
        result.endedAtMicros_ = monotonicMicros();
        if (parser_.is_header_done()) {
            result.response_.status_ = parser_.get().result_int();
            result.response_.headers_ = headersOf(parser_.get());
            result.response_.contentType_ = headerValue(result.response_.headers_, "Content-Type");
            result.response_.body_ = parser_.get().body();
        }
        std::exchange(onEnd_, nullptr)(result);
    }

    tcp::socket socket_;
    asio::steady_timer timer_;
    http::request<http::string_body> message_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    OnPart onPart_;
    OnEnd onEnd_;
    std::size_t seen_ = 0;
    bool writeFailed_ = false;
    bool ended_ = false;
};

} // namespace

std::shared_ptr<HttpCall> HttpCall::start(EventLoop &loop, const HostPort &to,
                                          const HttpRequest &request, Micros timeout, OnPart onPart,
                                          OnEnd onEnd)
{
    auto call =
        std::make_shared<ClientCall>(loop.impl().context_, std::move(onPart), std::move(onEnd));
    call->begin(to, request, timeout);
    return call;
}

HttpResult callAndWait(const HostPort &to, const HttpRequest &request, Micros timeout)
{
    EventLoop loop;
    HttpResult result;
    const auto call = HttpCall::start(loop, to, request, timeout, nullptr,
                                      [&](const HttpResult &ended) { result = ended; });
    loop.run();
    return result;
}

} // namespace standins
