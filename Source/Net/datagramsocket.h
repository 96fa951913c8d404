#pragma once

/// A UDP socket on the event loop.

#include "Net/tcpstream.h"

namespace eelgrasscove {

class DatagramSocket
{
public:
    using Received = std::function<void(std::string_view bytes, const Endpoint &from)>;

    DatagramSocket() = default;
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// 0, or libuv's negative error.
    int open(EventLoop &loop, const Endpoint &address, Received received);

    /// Sends at once or drops: whoever sends repeats what matters.
    void send(std::string_view bytes, const Endpoint &to);

private:
    uv_udp_t handle_{};
    Received received_;
};

} // namespace eelgrasscove
