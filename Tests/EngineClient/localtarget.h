#pragma once

/// A small HTTP server for tests, with one thread per connection, whose responses are set by a
/// script.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// The server's reaction to one request.
struct Exchange
{
    /// The response, written to the socket unchanged; empty for none.
    std::string response_;
    /// Whether the connection is closed afterwards.
    bool isClosing_ = false;
    /// Delay between the response and closing the connection.
    std::chrono::microseconds closeDelay_{};
};

/// The parts of a received request that tests check.
struct ReceivedRequest
{
    std::string path_;
    std::string attempt_;
    std::string body_;
};

class LocalTarget
{
public:
    /// Returns the reaction to the request with this number, counted from 0 over all connections.
    using Script = std::function<Exchange(std::size_t number)>;

    explicit LocalTarget(Script script);
    /// Clients must have closed their connections before, because the destructor joins the
    /// connection threads.
    ~LocalTarget();

    LocalTarget(const LocalTarget &) = delete;
    LocalTarget &operator=(const LocalTarget &) = delete;

    std::uint16_t port() const;
    std::vector<ReceivedRequest> received() const;
    /// Number of connections accepted so far.
    std::size_t connections() const;
    /// Waits until this many exchanges are complete, including the close. Returns false after 30 s.
    bool awaitExchanges(std::size_t exchanges) const;
    /// Waits until this many connections have ended. Returns false after 30 s.
    bool awaitEnded(std::size_t connections) const;

private:
    using tcp = boost::asio::ip::tcp;

    void acceptConnections();
    void serveConnection(tcp::socket socket);
    bool serveRequest(tcp::socket &socket);
    bool awaitCount(const std::size_t &count, std::size_t minimum) const;

    Script script_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    std::vector<ReceivedRequest> received_;
    std::size_t completedExchanges_ = 0;
    std::size_t endedConnections_ = 0;
    std::vector<std::thread> connections_;
    std::thread thread_;
};
