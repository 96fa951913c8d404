#include "Net/datagramsocket.h"

#include "Observe/metrics.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>

namespace eelgrasscove {

namespace {

/// Datagrams received or sent by one system call. libuv reads each datagram with a call of its own
/// and needs one more call to find that none is left, which is most of the cost of a small message.
constexpr std::size_t batchSize = 32;

/// Fraction of the read period after which no further batch is received. Datagrams may arrive as
/// fast as they are processed; the rest waits for the next period, so that connections and timers
/// are served in between.
constexpr double maxReadFraction = 0.5;

/// Datagrams that are kept while the socket takes no more: a relay passes each message on to some
/// ten others, so they come in bursts.
constexpr std::size_t maxUnsentDatagrams = 1024;

/// No message of the system is larger. A longer datagram is truncated and fails its checksum.
constexpr std::size_t maxDatagramBytes = 8 * 1024;

std::array<std::array<char, maxDatagramBytes>, batchSize> receiveBuffers;

Endpoint endpointOf(const sockaddr_in &address)
{
    std::array<char, 32> host{};
    uv_ip4_name(&address, host.data(), host.size());
    return {host.data(), ntohs(address.sin_port)};
}

} // namespace

int DatagramSocket::open(EventLoop &loop, const Endpoint &address, ReceiveHandler onReceive,
                         Duration readPeriod)
{
    onReceive_ = std::move(onReceive);
    sockaddr_in local{};
    uv_ip4_addr(address.host_.c_str(), address.port_, &local);
    descriptor_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor_ < 0
        || bind(descriptor_, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0)
        return uv_translate_sys_error(errno);
    if (readPeriod > Duration::zero()) {
        const auto maxReadTime = std::chrono::duration_cast<Duration>(readPeriod * maxReadFraction);
        loop.timers().every(readPeriod, [this, maxReadTime] {
            const Time began = bootNow();
            while (receive() == batchSize && bootNow() - began < maxReadTime) { }
        });
    } else {
        const int pollResult = uv_poll_init(&loop.uv(), &poll_, descriptor_);
        if (pollResult != 0)
            return pollResult;
        poll_.data = this;
        uv_poll_start(&poll_, UV_READABLE, [](uv_poll_t *poll, int, int) {
            static_cast<DatagramSocket *>(poll->data)->receive();
        });
    }
    uv_prepare_init(&loop.uv(), &flushBeforeWait_);
    flushBeforeWait_.data = this;
    return uv_prepare_start(&flushBeforeWait_, [](uv_prepare_t *prepare) {
        static_cast<DatagramSocket *>(prepare->data)->flush();
    });
}

std::size_t DatagramSocket::receive()
{
    std::array<iovec, batchSize> buffers{};
    std::array<sockaddr_in, batchSize> senders{};
    std::array<mmsghdr, batchSize> messages{};
    for (std::size_t index = 0; index < batchSize; ++index) {
        buffers[index] = {receiveBuffers[index].data(), receiveBuffers[index].size()};
        messages[index].msg_hdr.msg_name = &senders[index];
        messages[index].msg_hdr.msg_namelen = sizeof senders[index];
        messages[index].msg_hdr.msg_iov = &buffers[index];
        messages[index].msg_hdr.msg_iovlen = 1;
    }
    const int count = recvmmsg(descriptor_, messages.data(), batchSize, MSG_DONTWAIT, nullptr);
    for (int index = 0; index < count; ++index)
        onReceive_({receiveBuffers[index].data(), messages[index].msg_len},
                   endpointOf(senders[index]));
    return count < 0 ? 0 : static_cast<std::size_t>(count);
}

void DatagramSocket::send(std::string bytes, const Endpoint &to)
{
    outgoing_.push_back({std::move(bytes), to});
}

void DatagramSocket::flush()
{
    std::size_t first = 0;
    while (first < outgoing_.size()) {
        const int sent = sendBatch(first);
        if (sent > 0) {
            first += static_cast<std::size_t>(sent);
        } else if (errno == EAGAIN || errno == ENOBUFS) {
            break;
        } else {
            countMetric("eelgrasscove_datagrams_unsent_total", "cause=\"error\"");
            ++first;
        }
    }
    outgoing_.erase(outgoing_.begin(), outgoing_.begin() + static_cast<std::ptrdiff_t>(first));
    // The rest is sent when the socket has room again, the newest if there is too much.
    if (outgoing_.size() > maxUnsentDatagrams) {
        const std::size_t dropped = outgoing_.size() - maxUnsentDatagrams;
        countMetric("eelgrasscove_datagrams_unsent_total", "cause=\"full\"", dropped);
        outgoing_.erase(outgoing_.begin(),
                        outgoing_.begin() + static_cast<std::ptrdiff_t>(dropped));
    }
}

int DatagramSocket::sendBatch(std::size_t first)
{
    const std::size_t count = std::min(batchSize, outgoing_.size() - first);
    std::array<iovec, batchSize> buffers{};
    std::array<sockaddr_in, batchSize> receivers{};
    std::array<mmsghdr, batchSize> messages{};
    for (std::size_t index = 0; index < count; ++index) {
        Outgoing &outgoing = outgoing_[first + index];
        uv_ip4_addr(outgoing.to_.host_.c_str(), outgoing.to_.port_, &receivers[index]);
        buffers[index] = {outgoing.bytes_.data(), outgoing.bytes_.size()};
        messages[index].msg_hdr.msg_name = &receivers[index];
        messages[index].msg_hdr.msg_namelen = sizeof receivers[index];
        messages[index].msg_hdr.msg_iov = &buffers[index];
        messages[index].msg_hdr.msg_iovlen = 1;
    }
    return sendmmsg(descriptor_, messages.data(), static_cast<unsigned>(count), MSG_DONTWAIT);
}

} // namespace eelgrasscove
