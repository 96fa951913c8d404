#include "Observe/observeserver.h"

#include "Vm/tcplisten.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <thread>

namespace eelgrasscove {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds observerTime{5};
constexpr std::size_t largestHeaderBytes = 8 * 1024;
constexpr std::size_t largestBodyBytes = 1024;
constexpr unsigned wrongMethod = 405;

/// One request of an observer.
class Observation : public std::enable_shared_from_this<Observation>
{
public:
    Observation(tcp::socket socket, const StatusBoard &board)
        : stream_(std::move(socket)), board_(board)
    {
        parser_.header_limit(largestHeaderBytes);
        parser_.body_limit(largestBodyBytes);
    }

    void run()
    {
        stream_.expires_after(observerTime);
        http::async_read(stream_, buffer_, parser_,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (!error)
                                 self->answer();
                         });
    }

private:
    ObserveAnswer find() const
    {
        const http::verb method = parser_.get().method();
        if (method != http::verb::get && method != http::verb::head)
            return {wrongMethod, "text/plain", "use GET or HEAD\n"};
        const beast::string_view target = parser_.get().target();
        const std::string path(target.data(), target.size());
        return answerObserve(board_, path.substr(0, path.find('?')));
    }

    void answer()
    {
        const ObserveAnswer found = find();
        response_.result(found.status_);
        if (found.status_ == wrongMethod)
            response_.set(http::field::allow, "GET, HEAD");
        response_.set(http::field::content_type, found.contentType_);
        response_.keep_alive(false);
        response_.body() = found.body_;
        response_.prepare_payload();
        if (parser_.get().method() == http::verb::head)
            http::async_write_header(
                stream_, serializer_,
                [self = shared_from_this()](beast::error_code, std::size_t) { self->end(); });
        else
            http::async_write(
                stream_, serializer_,
                [self = shared_from_this()](beast::error_code, std::size_t) { self->end(); });
    }

    void end()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream stream_;
    const StatusBoard &board_;
    beast::flat_buffer buffer_;
    http::request_parser<http::string_body> parser_;
    http::response<http::string_body> response_;
    http::response_serializer<http::string_body> serializer_{response_};
};

} // namespace

struct ObserveServer::Impl
{
    std::string listen_;
    const StatusBoard &board_;
    asio::io_context context_{1};
    tcp::acceptor acceptor_{context_};
    std::thread thread_;

    Impl(std::string listen, const StatusBoard &board) : listen_(std::move(listen)), board_(board)
    { }

    Result<Done, ObserveError> listen();
    void accept();
};

Result<Done, ObserveError> ObserveServer::Impl::listen()
{
    const Result<Done, ListenError> listening = listenOn(acceptor_, listen_);
    if (!ok(listening))
        return ObserveError{errorOf(listening).message_};
    accept();
    return Done{};
}

void ObserveServer::Impl::accept()
{
    acceptor_.async_accept([this](beast::error_code error, tcp::socket socket) {
        if (!acceptor_.is_open())
            return;
        if (!error)
            std::make_shared<Observation>(std::move(socket), board_)->run();
        accept();
    });
}

ObserveServer::ObserveServer(std::string listen, const StatusBoard &board)
    : impl_(std::make_unique<Impl>(std::move(listen), board))
{ }

ObserveServer::~ObserveServer()
{
    stop();
}

Result<Done, ObserveError> ObserveServer::start()
{
    if (impl_->listen_.empty())
        return Done{};
    Result<Done, ObserveError> listening = impl_->listen();
    if (ok(listening))
        impl_->thread_ = std::thread([this] { impl_->context_.run(); });
    return listening;
}

void ObserveServer::stop()
{
    impl_->context_.stop();
    if (impl_->thread_.joinable())
        impl_->thread_.join();
}

} // namespace eelgrasscove
