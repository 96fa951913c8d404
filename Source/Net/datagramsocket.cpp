#include "Net/datagramsocket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>

namespace eelgrasscove {

namespace {

/// Datagrams taken or given by one system call. libuv reads each with a call of its own and one
/// more to see that there is none left, which is most of what a small message costs.
constexpr std::size_t batchSize = 32;

/// No message of the system is larger; a longer one is cut and fails its check sum.
constexpr std::size_t mostBytes = 8 * 1024;

std::array<std::array<char, mostBytes>, batchSize> receiveBuffers;

Endpoint endpointOf(const sockaddr_in &address)
{
    std::array<char, 32> host{};
    uv_ip4_name(&address, host.data(), host.size());
    return {host.data(), ntohs(address.sin_port)};
}

} // namespace

int DatagramSocket::open(EventLoop &loop, const Endpoint &address, Received received,
                         Duration readPeriod)
{
    received_ = std::move(received);
    sockaddr_in local{};
    uv_ip4_addr(address.host_.c_str(), address.port_, &local);
    descriptor_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0
        || bind(descriptor_, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0)
        return uv_translate_sys_error(errno);
    if (readPeriod > Duration::zero()) {
        loop.timers().every(readPeriod, [this] {
            while (receive() == batchSize) { }
        });
    } else {
        const int polled = uv_poll_init(&loop.uv(), &poll_, descriptor_);
        if (polled != 0)
            return polled;
        poll_.data = this;
        uv_poll_start(&poll_, UV_READABLE, [](uv_poll_t *poll, int, int) {
            static_cast<DatagramSocket *>(poll->data)->receive();
        });
    }
    uv_prepare_init(&loop.uv(), &beforeWait_);
    beforeWait_.data = this;
    return uv_prepare_start(&beforeWait_, [](uv_prepare_t *prepare) {
        static_cast<DatagramSocket *>(prepare->data)->flush();
    });
}

std::size_t DatagramSocket::receive()
{
    std::array<iovec, batchSize> places{};
    std::array<sockaddr_in, batchSize> senders{};
    std::array<mmsghdr, batchSize> messages{};
    for (std::size_t at = 0; at < batchSize; ++at) {
        places[at] = {receiveBuffers[at].data(), receiveBuffers[at].size()};
        messages[at].msg_hdr.msg_name = &senders[at];
        messages[at].msg_hdr.msg_namelen = sizeof senders[at];
        messages[at].msg_hdr.msg_iov = &places[at];
        messages[at].msg_hdr.msg_iovlen = 1;
    }
    const int count = recvmmsg(descriptor_, messages.data(), batchSize, MSG_DONTWAIT, nullptr);
    for (int at = 0; at < count; ++at)
        received_({receiveBuffers[at].data(), messages[at].msg_len}, endpointOf(senders[at]));
    return count < 0 ? 0 : static_cast<std::size_t>(count);
}

void DatagramSocket::send(std::string bytes, const Endpoint &to)
{
    outgoing_.push_back({std::move(bytes), to});
}

void DatagramSocket::flush()
{
    for (std::size_t first = 0; first < outgoing_.size(); first += batchSize) {
        const std::size_t count = std::min(batchSize, outgoing_.size() - first);
        std::array<iovec, batchSize> places{};
        std::array<sockaddr_in, batchSize> receivers{};
        std::array<mmsghdr, batchSize> messages{};
        for (std::size_t at = 0; at < count; ++at) {
            Outgoing &outgoing = outgoing_[first + at];
            uv_ip4_addr(outgoing.to_.host_.c_str(), outgoing.to_.port_, &receivers[at]);
            places[at] = {outgoing.bytes_.data(), outgoing.bytes_.size()};
            messages[at].msg_hdr.msg_name = &receivers[at];
            messages[at].msg_hdr.msg_namelen = sizeof receivers[at];
            messages[at].msg_hdr.msg_iov = &places[at];
            messages[at].msg_hdr.msg_iovlen = 1;
        }
        sendmmsg(descriptor_, messages.data(), static_cast<unsigned>(count), MSG_DONTWAIT);
    }
    outgoing_.clear();
}

} // namespace eelgrasscove
