#pragma once

/// An HTTP server that answers each request once it has read a part of it, and then ends the
/// connection. Runs on a thread of its own with a blocking socket, so that its reset can overtake
/// the client's writes.

#include "loopbacklistener.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace standins {

enum class ConnectionEnd {
    /// The connection is reset.
    Reset,
    /// The sending side is closed in order, and nothing more is read.
    Closed,
    /// The rest of the request is read before the sending side is closed in order.
    ClosedAfterRequest,
};

class CuttingServer
{
public:
    struct Answer
    {
        std::string bytes_;
        ConnectionEnd end_ = ConnectionEnd::Reset;
        /// Bytes of the request, with its head, that are read before the answer.
        std::size_t requestBytes_ = 0;
    };

    /// Gives the answer to a request of which the head, and perhaps more, has been read.
    using Answerer = std::function<Answer(const std::string &request)>;

    explicit CuttingServer(Answerer answerer) : answerer_(std::move(answerer))
    {
        thread_ = std::thread([this] { serve(); });
    }

    ~CuttingServer()
    {
        isStopping_ = true;
        thread_.join();
    }

    CuttingServer(const CuttingServer &) = delete;
    CuttingServer &operator=(const CuttingServer &) = delete;

    std::string address() const { return listener_.address(); }
    std::uint16_t port() const { return listener_.port(); }
    std::size_t answers() const { return answers_; }
    std::size_t connections() const { return connections_; }

private:
    void serve()
    {
        while (!isStopping_) {
            const int connection = listener_.accept();
            if (connection < 0)
                continue;
            ++connections_;
            setSocketTimeout(connection, SO_RCVTIMEO, std::chrono::seconds(1));
            answer(connection);
            close(connection);
        }
    }

    /// Returns false at the end of the connection.
    static bool readMore(int connection, std::string &request)
    {
        char bytes[16 * 1024];
        const ssize_t count = recv(connection, bytes, sizeof bytes, 0);
        if (count > 0)
            request.append(bytes, static_cast<std::size_t>(count));
        return count > 0;
    }

    void answer(int connection)
    {
        std::string request;
        while (request.find("\r\n\r\n") == std::string::npos) {
            if (!readMore(connection, request))
                return;
        }
        const Answer answer = answerer_(request);
        while (request.size() < answer.requestBytes_ && readMore(connection, request))
            continue;
        ++answers_;
        send(connection, answer.bytes_.data(), answer.bytes_.size(), MSG_NOSIGNAL);
        if (answer.end_ == ConnectionEnd::Reset) {
            const linger noLinger{1, 0};
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
            return;
        }
        if (answer.end_ == ConnectionEnd::ClosedAfterRequest) {
            const std::size_t body = request.find("\r\n\r\n") + 4;
            const std::string length = "Content-Length: ";
            const std::size_t whole =
                body + std::stoul(request.substr(request.find(length) + length.size()));
            while (request.size() < whole && readMore(connection, request))
                continue;
        }
        shutdown(connection, SHUT_WR);
        // Closing a socket with unread bytes would reset the connection.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }

    Answerer answerer_;
    LoopbackListener listener_{std::chrono::milliseconds(20)};
    std::atomic<bool> isStopping_ = false;
    std::atomic<std::size_t> answers_ = 0;
    std::atomic<std::size_t> connections_ = 0;
    std::thread thread_;
};

} // namespace standins
