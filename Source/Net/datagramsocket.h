#pragma once

/// A UDP socket on the event loop that receives and sends datagrams in batches.

#include "Net/tcpstream.h"

#include <vector>

namespace eelgrasscove {

class DatagramSocket
{
public:
    using ReceiveHandler = std::function<void(std::string_view bytes, const Endpoint &from)>;

    DatagramSocket() = default;
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// Binds the socket and starts to receive. Returns 0, or libuv's negative error. With a read
    /// period, the socket is read once per period and not at each arrival, which avoids one wake-up
    /// per datagram under a high message rate; reading takes up to half of the period.
    int open(EventLoop &loop, const Endpoint &address, ReceiveHandler onReceive,
             Duration readPeriod = Duration::zero());

    /// Queues a datagram; all queued datagrams are sent together before the loop next waits. Those
    /// that the socket has no room for are sent later, the oldest are dropped if there are too
    /// many: senders repeat all essential messages.
    void send(std::string bytes, const Endpoint &to);

private:
    struct Outgoing
    {
        std::string bytes_;
        Endpoint to_;
    };

    /// Receives one batch and returns the number of datagrams in it.
    std::size_t receive();
    void flush();
    /// Sends a batch of the queued datagrams from the given one on. Returns the number sent, or -1
    /// with errno.
    int sendBatch(std::size_t first);

    int descriptor_ = -1;
    uv_poll_t poll_{};
    uv_prepare_t flushBeforeWait_{};
    ReceiveHandler onReceive_;
    std::vector<Outgoing> outgoing_;
};

} // namespace eelgrasscove
