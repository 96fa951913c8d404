#include "localtarget.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <sys/socket.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds pollPeriod{1};
constexpr int maxPolls = 30000;

} // namespace

LocalTarget::LocalTarget(Script script)
    : script_(std::move(script)),
      acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    thread_ = std::thread([this] { acceptConnections(); });
}

LocalTarget::~LocalTarget()
{
    // Closing the socket would not wake the blocked accept(); a shutdown does.
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    for (std::thread &connection : connections_)
        connection.join();
}

std::uint16_t LocalTarget::port() const
{
    return acceptor_.local_endpoint().port();
}

std::vector<ReceivedRequest> LocalTarget::received() const
{
    const std::lock_guard guard(mutex_);
    return received_;
}

std::size_t LocalTarget::connections() const
{
    const std::lock_guard guard(mutex_);
    return connections_.size();
}

bool LocalTarget::awaitExchanges(std::size_t exchanges) const
{
    return awaitCount(completedExchanges_, exchanges);
}

bool LocalTarget::awaitEnded(std::size_t connections) const
{
    return awaitCount(endedConnections_, connections);
}

bool LocalTarget::awaitCount(const std::size_t &count, std::size_t minimum) const
{
    for (int polls = 0; polls < maxPolls; ++polls) {
        {
            const std::lock_guard guard(mutex_);
            if (count >= minimum)
                return true;
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return false;
}

void LocalTarget::acceptConnections()
{
    while (true) {
        error_code error;
        tcp::socket socket = acceptor_.accept(error);
        if (error)
            return;
        const std::lock_guard guard(mutex_);
        connections_.emplace_back([this, connection = std::move(socket)]() mutable {
            serveConnection(std::move(connection));
        });
    }
}

void LocalTarget::serveConnection(tcp::socket socket)
{
    while (serveRequest(socket)) { }
    const std::lock_guard guard(mutex_);
    ++endedConnections_;
}

bool LocalTarget::serveRequest(tcp::socket &socket)
{
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    error_code error;
    http::read(socket, buffer, request, error);
    if (error)
        return false;
    std::size_t number = 0;
    {
        const std::lock_guard guard(mutex_);
        number = received_.size();
        received_.push_back(
            {std::string(request.target()), std::string(request["X-Attempt-Id"]), request.body()});
    }
    const Exchange exchange = script_(number);
    asio::write(socket, asio::buffer(exchange.response_), error);
    if (exchange.isClosing_) {
        std::this_thread::sleep_for(exchange.closeDelay_);
        socket.close(error);
    }
    const std::lock_guard guard(mutex_);
    ++completedExchanges_;
    return !exchange.isClosing_;
}
