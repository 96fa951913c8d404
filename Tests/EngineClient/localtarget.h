#pragma once

/// A small HTTP server with a thread for each connection, which answers by a script.

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

/// What the target does with a request.
struct Exchange
{
    /// Written as it stands.
    std::string answer_;
    bool close_ = false;
    /// The connection waits for so long before it is closed.
    std::chrono::microseconds closeAfter_{};
};

/// A request that came.
struct Received
{
    std::string path_;
    std::string attempt_;
    std::string body_;
};

class LocalTarget
{
public:
    /// Chooses by the request's number, from 0.
    using Script = std::function<Exchange(std::size_t number)>;

    explicit LocalTarget(Script script);
    /// Whoever calls it has to close its connections first.
    ~LocalTarget();

    LocalTarget(const LocalTarget &) = delete;
    LocalTarget &operator=(const LocalTarget &) = delete;

    std::uint16_t port() const;
    std::vector<Received> received() const;
    /// Connections so far.
    std::size_t connections() const;
    /// Waits until this many exchanges are over, closing included. False after too long.
    bool awaitServed(std::size_t exchanges) const;
    /// Waits until this many connections have ended. False after too long.
    bool awaitEnded(std::size_t connections) const;

private:
    using tcp = boost::asio::ip::tcp;

    void accept();
    void serve(tcp::socket socket);
    bool serveOne(tcp::socket &socket);
    bool awaitCount(const std::size_t &count, std::size_t least) const;

    Script script_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    mutable std::mutex mutex_;
    std::vector<Received> received_;
    std::size_t served_ = 0;
    std::size_t ended_ = 0;
    std::vector<std::thread> connections_;
    std::thread thread_;
};
