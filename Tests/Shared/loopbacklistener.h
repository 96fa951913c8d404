#pragma once

/// A listening socket on the loopback interface, for test servers that use blocking sockets on
/// threads of their own.

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace standins {

/// Sets the time after which a blocking receive, or with SO_SNDTIMEO a send, gives up.
inline void setSocketTimeout(int descriptor, int option, std::chrono::microseconds time)
{
    timeval timeout{};
    timeout.tv_sec = time.count() / 1'000'000;
    timeout.tv_usec = time.count() % 1'000'000;
    setsockopt(descriptor, SOL_SOCKET, option, &timeout, sizeof timeout);
}

class LoopbackListener
{
public:
    /// Listens at a free port. accept() gives up after the time, so that its thread can be stopped.
    explicit LoopbackListener(std::chrono::microseconds acceptTimeout)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        setSocketTimeout(descriptor_, SO_RCVTIMEO, acceptTimeout);
        if (bind(descriptor_, generic, sizeof address) != 0 || listen(descriptor_, 16) != 0
            || getsockname(descriptor_, generic, &size) != 0) {
            close(descriptor_);
            throw std::runtime_error("a test server can't listen on loopback");
        }
        port_ = ntohs(address.sin_port);
    }

    ~LoopbackListener() { close(descriptor_); }

    LoopbackListener(const LoopbackListener &) = delete;
    LoopbackListener &operator=(const LoopbackListener &) = delete;

    /// Returns the descriptor of the connection, or a negative number after the timeout.
    int accept() const { return accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC); }

    std::uint16_t port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace standins
