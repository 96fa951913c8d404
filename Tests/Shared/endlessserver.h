#pragma once

/// An HTTP server in trouble: answers each request with bytes that have no end until its caller
/// closes the connection. Runs on threads of its own, so that it serves clients of any kind.

#include "loopbacklistener.h"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standins {

class EndlessServer
{
public:
    /// Sent in place of an endless answer, so that a client without a limit doesn't use up the
    /// machine's memory. No limit of a client is as high.
    static constexpr std::uint64_t mostBytes = 256ULL * 1024 * 1024;

    /// Answers with the prefix and then the filler again and again.
    EndlessServer(std::string prefix, const std::string &filler) : prefix_(std::move(prefix))
    {
        constexpr std::size_t blockBytes = 64ULL * 1024;
        while (block_.size() < blockBytes)
            block_ += filler;
        acceptor_ = std::thread([this] { accept(); });
    }

    ~EndlessServer()
    {
        isStopping_ = true;
        acceptor_.join();
        for (std::thread &connection : connections_)
            connection.join();
    }

    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    std::uint16_t port() const { return listener_.port(); }
    std::string address() const { return listener_.address(); }

    /// Answers that were begun, and those of them whose connection the caller has closed.
    std::size_t answers() const { return answers_; }
    std::size_t closed() const { return closed_; }
    /// Bytes sent on all connections.
    std::uint64_t sentBytes() const { return sentBytes_; }

private:
    /// Time after which blocking calls return, to see whether the server is stopping.
    static constexpr std::chrono::milliseconds pollTime{50};

    static bool isTimeout() { return errno == EAGAIN || errno == EWOULDBLOCK; }

    void accept()
    {
        while (!isStopping_) {
            const int connection = listener_.accept();
            if (connection < 0)
                continue;
            connections_.emplace_back([this, connection] {
                setSocketTimeout(connection, SO_RCVTIMEO, pollTime);
                setSocketTimeout(connection, SO_SNDTIMEO, pollTime);
                if (readRequest(connection) && answer(connection))
                    ++closed_;
                close(connection);
            });
        }
    }

    bool readRequest(int connection) const
    {
        std::string request;
        char byte = 0;
        while (!isStopping_ && !request.ends_with("\r\n\r\n")) {
            const ssize_t count = recv(connection, &byte, 1, 0);
            if (count == 0 || (count < 0 && !isTimeout()))
                return false;
            request.append(&byte, count > 0 ? 1 : 0);
        }
        return true;
    }

    /// Returns true if the caller has closed the connection.
    bool answer(int connection)
    {
        ++answers_;
        bool isOpen = sendAll(connection, prefix_);
        std::uint64_t sent = prefix_.size();
        while (isOpen && sent < mostBytes && !isStopping_) {
            isOpen = sendAll(connection, block_);
            sent += block_.size();
        }
        char byte = 0;
        while (isOpen && !isStopping_) {
            const ssize_t count = recv(connection, &byte, 1, 0);
            isOpen = count > 0 || (count < 0 && isTimeout());
        }
        return !isOpen;
    }

    bool sendAll(int connection, std::string_view bytes)
    {
        while (!bytes.empty() && !isStopping_) {
            const ssize_t count = send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0 && !isTimeout())
                return false;
            if (count > 0) {
                bytes.remove_prefix(static_cast<std::size_t>(count));
                sentBytes_ += static_cast<std::uint64_t>(count);
            }
        }
        return true;
    }

    std::string prefix_;
    std::string block_;
    LoopbackListener listener_{pollTime};
    std::atomic<bool> isStopping_ = false;
    std::atomic<std::size_t> answers_ = 0;
    std::atomic<std::size_t> closed_ = 0;
    std::atomic<std::uint64_t> sentBytes_ = 0;
    std::vector<std::thread> connections_;
    std::thread acceptor_;
};

/// An answer without an end, by the part that has none.
struct EndlessAnswer
{
    const char *part_;
    const char *prefix_;
    const char *filler_;
};

/// Answers without an end within the head.
inline const std::vector<EndlessAnswer> &endlessHeads()
{
    static const std::vector<EndlessAnswer> rows = {
        {"blank lines", "", "\r\n"},
        {"no protocol", "", "x"},
        {"reason phrase", "HTTP/1.1 200 ", "x"},
        {"header name", "HTTP/1.1 200 OK\r\n", "x"},
        {"header value", "HTTP/1.1 200 OK\r\nX-A: ", "x"},
        {"header lines", "HTTP/1.1 200 OK\r\n", "X-A: x\r\n"},
    };
    return rows;
}

/// Answers without an end after the head.
inline const std::vector<EndlessAnswer> &endlessBodies()
{
    static const std::vector<EndlessAnswer> rows = {
        {"body until the end of the connection", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"body of a length beyond any", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
         "x"},
        {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "10\r\n0123456789abcdef\r\n"},
        {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
        {"chunk length", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
        {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: x\r\n"},
        {"trailer value", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "x"},
    };
    return rows;
}

} // namespace standins
