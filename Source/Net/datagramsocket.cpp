#include "Net/datagramsocket.h"

#include <array>
#include <netinet/in.h>

namespace eelgrasscove {

namespace {

std::array<char, 64 * 1024> datagramBuffer;

Endpoint endpointOf(const sockaddr *address)
{
    const auto *from = reinterpret_cast<const sockaddr_in *>(address);
    std::array<char, 32> host{};
    uv_ip4_name(from, host.data(), host.size());
    return {host.data(), ntohs(from->sin_port)};
}

} // namespace

int DatagramSocket::open(EventLoop &loop, const Endpoint &address, Received received)
{
    received_ = std::move(received);
    uv_udp_init(&loop.uv(), &handle_);
    handle_.data = this;
    sockaddr_in local{};
    uv_ip4_addr(address.host_.c_str(), address.port_, &local);
    const int bound = uv_udp_bind(&handle_, reinterpret_cast<const sockaddr *>(&local), 0);
    if (bound != 0)
        return bound;
    return uv_udp_recv_start(
        &handle_,
        [](uv_handle_t *, std::size_t, uv_buf_t *buffer) {
            *buffer = uv_buf_init(datagramBuffer.data(), datagramBuffer.size());
        },
        [](uv_udp_t *handle, ssize_t count, const uv_buf_t *buffer, const sockaddr *from,
           unsigned) {
            if (count <= 0 || from == nullptr)
                return;
            auto *socket = static_cast<DatagramSocket *>(handle->data);
            socket->received_({buffer->base, static_cast<std::size_t>(count)}, endpointOf(from));
        });
}

void DatagramSocket::send(std::string_view bytes, const Endpoint &to)
{
    sockaddr_in address{};
    if (uv_ip4_addr(to.host_.c_str(), to.port_, &address) != 0)
        return;
    const uv_buf_t buffer =
        uv_buf_init(const_cast<char *>(bytes.data()), static_cast<unsigned>(bytes.size()));
    uv_udp_try_send(&handle_, &buffer, 1, reinterpret_cast<const sockaddr *>(&address));
}

} // namespace eelgrasscove
