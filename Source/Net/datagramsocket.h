#pragma once

/// A UDP socket on the event loop.

#include "Net/tcpstream.h"

#include <vector>

namespace eelgrasscove {

class DatagramSocket
{
public:
    using Received = std::function<void(std::string_view bytes, const Endpoint &from)>;

    DatagramSocket() = default;
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// 0, or libuv's negative error. With a period, the socket is read that often and not at each
    /// arrival, which spares a wake-up for each datagram where there are many.
    int open(EventLoop &loop, const Endpoint &address, Received received,
             Duration readPeriod = Duration::zero());

    /// Sends before the loop next waits, together with whatever else is sent until then. What the
    /// socket doesn't take is dropped: whoever sends repeats what matters.
    void send(std::string bytes, const Endpoint &to);

private:
    struct Outgoing
    {
        std::string bytes_;
        Endpoint to_;
    };

    /// Takes one batch; how many datagrams it held.
    std::size_t receive();
    void flush();

    int descriptor_ = -1;
    uv_poll_t poll_{};
    uv_prepare_t beforeWait_{};
    Received received_;
    std::vector<Outgoing> outgoing_;
};

} // namespace eelgrasscove
