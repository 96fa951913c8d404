#include "Platform/httpclient.h"

#include "Net/httpsyntax.h"
#include "Net/sendqueue.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace eelgrasscove {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::size_t connectionsPerAddress = 8;
constexpr std::size_t mostReplyBytes = 64ULL * 1024 * 1024;
constexpr std::size_t streamBufferBytes = 16ULL * 1024;
/// Bytes of an answer that are read and not yet parsed. Bounds a chunk's header and the trailer,
/// for which the parser has no limit.
constexpr std::size_t mostUnparsedBytes = 256ULL * 1024;
constexpr unsigned httpVersion = 11;

/// The parts of a URL that a call needs.
struct UrlParts
{
    /// "127.0.0.1:2379"
    std::string address_;
    Tcp::endpoint endpoint_;
    std::string target_ = "/";
};

std::optional<UrlParts> splitUrl(const std::string &url)
{
    constexpr std::string_view scheme = "http://";
    if (url.compare(0, scheme.size(), scheme) != 0)
        return std::nullopt;
    UrlParts parts;
    const std::size_t slash = std::min(url.find('/', scheme.size()), url.size());
    parts.address_ = url.substr(scheme.size(), slash - scheme.size());
    if (slash < url.size())
        parts.target_ = url.substr(slash);
    const std::size_t colon = std::min(parts.address_.rfind(':'), parts.address_.size());
    error_code error;
    const auto ip = asio::ip::make_address(parts.address_.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = parts.address_.data() + parts.address_.size();
    const char *begin = parts.address_.data() + std::min(colon + 1, parts.address_.size());
    const auto read = std::from_chars(begin, end, port);
    if (error || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    parts.endpoint_ = Tcp::endpoint(ip, port);
    return parts;
}

http::request<http::string_body> requestOf(const HttpCall &call, const UrlParts &parts)
{
    http::request<http::string_body> request;
    request.version(httpVersion);
    request.method_string(call.method_);
    request.target(parts.target_);
    request.set(http::field::host, parts.address_);
    if (!call.body_.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = call.body_;
    request.prepare_payload();
    return request;
}

/// Whether the other side has neither closed an idle connection nor written to it.
bool isStillOpen(beast::tcp_stream &stream)
{
    char byte = 0;
    const auto received =
        ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

HttpReply noFinalReply(unsigned status)
{
    return {HttpEnd::NoReply, 0, "", "no final response, but status " + std::to_string(status)};
}

} // namespace

struct HttpClient::Impl
{
    using Clock = std::chrono::steady_clock;

    /// One call under way.
    struct Exchange
    {
        HttpCall call_;
        UrlParts parts_;
        OnReply onReply_;
        Clock::time_point deadline_;
        std::unique_ptr<beast::tcp_stream> stream_;
        bool reused_ = false;
        http::request<http::string_body> request_;
        std::optional<http::request_serializer<http::string_body>> serializer_;
        /// Set where a part of the request was sent before the connection failed.
        error_code writeError_;
        beast::flat_buffer buffer_{mostUnparsedBytes};
        std::optional<http::response_parser<http::string_body>> parser_;
        int interimResponses_ = 0;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    /// One answer without an end.
    struct Stream
    {
        UrlParts parts_;
        OnPart onPart_;
        OnEnd onEnd_;
        Duration timeout_ = Duration(0);
        std::unique_ptr<beast::tcp_stream> stream_;
        http::request<http::string_body> request_;
        beast::flat_buffer buffer_{mostUnparsedBytes};
        http::response_parser<http::buffer_body> parser_;
        std::array<char, streamBufferBytes> part_ = {};
    };
    using StreamPtr = std::shared_ptr<Stream>;

    struct Address
    {
        std::vector<std::unique_ptr<beast::tcp_stream>> idle_;
        std::size_t inUse_ = 0;
        std::deque<ExchangePtr> waiting_;
    };

    asio::io_context io_{1};
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work_;
    std::thread thread_;
    std::map<std::string, Address> addresses_;
    std::map<std::uint64_t, StreamPtr> streams_;
    std::atomic<std::uint64_t> lastStream_ = 0;

    void begin(HttpCall call, OnReply onReply)
    {
        const std::optional<UrlParts> parts = splitUrl(call.url_);
        if (!parts) {
            onReply({HttpEnd::NotSent, 0, "", "not a URL with an IP number: " + call.url_});
            return;
        }
        auto exchange = std::make_shared<Exchange>();
        exchange->request_ = requestOf(call, *parts);
        exchange->deadline_ = Clock::now() + call.timeout_;
        exchange->call_ = std::move(call);
        exchange->parts_ = *parts;
        exchange->onReply_ = std::move(onReply);
        Address &address = addresses_[parts->address_];
        if (address.inUse_ < connectionsPerAddress) {
            run(exchange);
        } else {
            address.waiting_.push_back(exchange);
        }
    }

    void run(const ExchangePtr &exchange)
    {
        Address &address = addresses_[exchange->parts_.address_];
        address.inUse_ += 1;
        exchange->reused_ = false;
        while (!address.idle_.empty() && !exchange->reused_) {
            exchange->stream_ = std::move(address.idle_.back());
            address.idle_.pop_back();
            exchange->reused_ = isStillOpen(*exchange->stream_);
        }
        if (exchange->reused_) {
            write(exchange);
        } else {
            connect(exchange);
        }
    }

    void connect(const ExchangePtr &exchange)
    {
        exchange->stream_ = std::make_unique<beast::tcp_stream>(io_);
        exchange->stream_->expires_at(exchange->deadline_);
        exchange->stream_->async_connect(
            exchange->parts_.endpoint_, [this, exchange](const error_code &error) {
                if (error) {
                    finish(exchange, {HttpEnd::NotSent, 0, "", error.message()}, false);
                    return;
                }
                error_code ignored;
                exchange->stream_->socket().set_option(Tcp::no_delay(true), ignored);
                write(exchange);
            });
    }

    void write(const ExchangePtr &exchange)
    {
        exchange->serializer_.emplace(exchange->request_);
        exchange->writeError_ = {};
        exchange->stream_->expires_at(exchange->deadline_);
        http::async_write(*exchange->stream_, *exchange->serializer_,
                          [this, exchange](const error_code &error, std::size_t written) {
                              // A timeout can overtake the news that all bytes went out.
                              if (error == beast::error::timeout) {
                                  lose(exchange, error, HttpEnd::NoReply);
                              } else if (error && written == 0) {
                                  lose(exchange, error, HttpEnd::NotSent);
                              } else {
                                  // The server may have responded before it ended the connection.
                                  exchange->writeError_ = error;
                                  read(exchange);
                              }
                          });
    }

    void read(const ExchangePtr &exchange)
    {
        exchange->buffer_.clear();
        exchange->interimResponses_ = 0;
        readResponse(exchange);
    }

    /// Whether the response ended with its connection before the server had the whole request. A
    /// write that failed took the error of a reset from the socket, whose end then reads like an
    /// orderly one.
    static bool isCut(Exchange &exchange)
    {
        return exchange.parser_->get().need_eof()
            && (exchange.writeError_
                || unacknowledgedBytes(exchange.stream_->socket().native_handle()) > 0);
    }

    /// Reads the next response, an interim one or the final one.
    void readResponse(const ExchangePtr &exchange)
    {
        exchange->parser_.emplace();
        exchange->parser_->body_limit(mostReplyBytes);
        http::async_read(*exchange->stream_, exchange->buffer_, *exchange->parser_,
                         [this, exchange](const error_code &error, std::size_t) {
                             const error_code &writeError = exchange->writeError_;
                             if (error || isCut(*exchange)) {
                                 lose(exchange, writeError ? writeError : error, HttpEnd::NoReply);
                                 return;
                             }
                             auto &response = exchange->parser_->get();
                             const StatusKind kind = statusKindOf(response.result_int());
                             if (kind == StatusKind::Interim
                                 && ++exchange->interimResponses_ <= maxInterimResponses) {
                                 readResponse(exchange);
                                 return;
                             }
                             if (kind != StatusKind::Final) {
                                 finish(exchange, noFinalReply(response.result_int()), false);
                                 return;
                             }
                             HttpReply reply;
                             reply.end_ = HttpEnd::Replied;
                             reply.status_ = response.result_int();
                             reply.body_ = std::move(response.body());
                             finish(exchange, std::move(reply),
                                    response.keep_alive() && !writeError);
                         });
    }

    /// The connection broke. A kept one may have been closed while idle, so a call that may be
    /// repeated gets a second try.
    void lose(const ExchangePtr &exchange, const error_code &error, HttpEnd end)
    {
        const bool again = exchange->reused_ && Clock::now() < exchange->deadline_
            && (end == HttpEnd::NotSent || exchange->call_.repeatable_);
        if (again) {
            exchange->reused_ = false;
            connect(exchange);
            return;
        }
        const std::string reason =
            error ? error.message() : "closed before the request was received";
        finish(exchange, {end, 0, "", reason}, false);
    }

    void finish(const ExchangePtr &exchange, HttpReply reply, bool keep)
    {
        Address &address = addresses_[exchange->parts_.address_];
        address.inUse_ -= 1;
        if (keep)
            address.idle_.push_back(std::move(exchange->stream_));
        exchange->stream_.reset();
        runNextWaiting(address);
        exchange->onReply_(std::move(reply));
    }

    void runNextWaiting(Address &address)
    {
        while (!address.waiting_.empty() && address.inUse_ < connectionsPerAddress) {
            const ExchangePtr next = address.waiting_.front();
            address.waiting_.pop_front();
            if (Clock::now() < next->deadline_) {
                run(next);
                continue;
            }
            asio::post(io_, [next] {
                next->onReply_({HttpEnd::NotSent, 0, "", "no free connection in time"});
            });
        }
    }

    void open(std::uint64_t id, const HttpCall &call, OnPart onPart, OnEnd onEnd)
    {
        const std::optional<UrlParts> parts = splitUrl(call.url_);
        if (!parts) {
            onEnd("not a URL with an IP number: " + call.url_);
            return;
        }
        auto stream = std::make_shared<Stream>();
        stream->parts_ = *parts;
        stream->timeout_ = call.timeout_;
        stream->request_ = requestOf(call, *parts);
        stream->onPart_ = std::move(onPart);
        stream->onEnd_ = std::move(onEnd);
        stream->parser_.body_limit(boost::none);
        stream->stream_ = std::make_unique<beast::tcp_stream>(io_);
        streams_[id] = stream;
        connectStream(id, stream);
    }

    void connectStream(std::uint64_t id, const StreamPtr &stream)
    {
        stream->stream_->expires_after(stream->timeout_);
        stream->stream_->async_connect(stream->parts_.endpoint_,
                                       [this, id, stream](const error_code &error) {
                                           if (error) {
                                               endStream(id, stream, error);
                                           } else {
                                               writeStream(id, stream);
                                           }
                                       });
    }

    void writeStream(std::uint64_t id, const StreamPtr &stream)
    {
        http::async_write(*stream->stream_, stream->request_,
                          [this, id, stream](const error_code &error, std::size_t) {
                              if (error) {
                                  endStream(id, stream, error);
                              } else {
                                  readStreamHead(id, stream);
                              }
                          });
    }

    void readStreamHead(std::uint64_t id, const StreamPtr &stream)
    {
        http::async_read_header(*stream->stream_, stream->buffer_, stream->parser_,
                                [this, id, stream](const error_code &error, std::size_t) {
                                    if (error) {
                                        endStream(id, stream, error);
                                        return;
                                    }
                                    const unsigned status = stream->parser_.get().result_int();
                                    if (statusKindOf(status) != StatusKind::Final) {
                                        endStream(id, stream, http::error::bad_status);
                                        return;
                                    }
                                    stream->stream_->expires_never();
                                    readStreamPart(id, stream);
                                });
    }

    void readStreamPart(std::uint64_t id, const StreamPtr &stream)
    {
        auto &body = stream->parser_.get().body();
        body.data = stream->part_.data();
        body.size = stream->part_.size();
        body.more = true;
        http::async_read_some(*stream->stream_, stream->buffer_, stream->parser_,
                              [this, id, stream](const error_code &error, std::size_t) {
                                  takeStreamPart(id, stream, error);
                              });
    }

    void takeStreamPart(std::uint64_t id, const StreamPtr &stream, const error_code &error)
    {
        const std::size_t length = stream->part_.size() - stream->parser_.get().body().size;
        const bool failed = error && error != http::error::need_buffer;
        if (!failed && length > 0)
            stream->onPart_({stream->part_.data(), length});
        if (failed || stream->parser_.is_done()) {
            endStream(id, stream, error);
        } else {
            readStreamPart(id, stream);
        }
    }

    void endStream(std::uint64_t id, const StreamPtr &stream, const error_code &error)
    {
        if (streams_.erase(id) == 0)
            return;
        stream->stream_->close();
        stream->onEnd_(error ? error.message() : "the answer ended");
    }
};

HttpClient::HttpClient() : impl_(std::make_unique<Impl>()) { }

HttpClient::~HttpClient()
{
    stop();
}

void HttpClient::start()
{
    impl_->work_.emplace(impl_->io_.get_executor());
    impl_->thread_ = std::thread([impl = impl_.get()] { impl->io_.run(); });
}

void HttpClient::stop()
{
    impl_->work_.reset();
    impl_->io_.stop();
    if (impl_->thread_.joinable())
        impl_->thread_.join();
}

void HttpClient::call(HttpCall call, OnReply onReply)
{
    asio::post(
        impl_->io_,
        [impl = impl_.get(), call = std::move(call), onReply = std::move(onReply)]() mutable {
            impl->begin(std::move(call), std::move(onReply));
        });
}

std::uint64_t HttpClient::openStream(HttpCall call, OnPart onPart, OnEnd onEnd)
{
    const std::uint64_t id = ++impl_->lastStream_;
    asio::post(impl_->io_,
               [impl = impl_.get(), id, call = std::move(call), onPart = std::move(onPart),
                onEnd = std::move(onEnd)]() mutable {
                   impl->open(id, call, std::move(onPart), std::move(onEnd));
               });
    return id;
}

void HttpClient::closeStream(std::uint64_t stream)
{
    asio::post(impl_->io_, [impl = impl_.get(), stream] {
        const auto found = impl->streams_.find(stream);
        if (found == impl->streams_.end())
            return;
        // endStream() removes the pointer of the map while it still uses the stream.
        const Impl::StreamPtr ended = found->second;
        impl->endStream(stream, ended, asio::error::operation_aborted);
    });
}

void HttpClient::after(Duration wait, Action action)
{
    auto timer = std::make_shared<asio::steady_timer>(impl_->io_, wait);
    timer->async_wait([timer, action = std::move(action)](const error_code &error) {
        if (!error)
            action();
    });
}

} // namespace eelgrasscove
