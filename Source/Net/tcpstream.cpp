#include "Net/tcpstream.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace eelgrasscove {

namespace {

/// Connections that the kernel holds until they are accepted; the kernel's usual limit.
constexpr int listenBacklog = 1024;

/// How long an ended connection waits for its peer's end before it is closed.
constexpr Duration lingerTime = std::chrono::seconds(1);

/// All connections read into one buffer, as each read is used before the next.
std::array<char, 64 * 1024> readBuffer;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    uv_ip4_addr(endpoint.host_.c_str(), endpoint.port_, &address);
    return address;
}

struct WriteRequest
{
    uv_write_t request_{};
    std::string bytes_;
};

int descriptorOf(const uv_tcp_t &handle)
{
    uv_os_fd_t descriptor = -1;
    return uv_fileno(reinterpret_cast<const uv_handle_t *>(&handle), &descriptor) == 0 ? descriptor
                                                                                       : -1;
}

/// The error behind an end that libuv reports as orderly: where data and a reset arrive together,
/// it reports an end of file.
int errorBehindEnd(const uv_tcp_t &handle)
{
    const int descriptor = descriptorOf(handle);
    if (descriptor < 0)
        return 0;
    char byte = 0;
    const ssize_t got = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && errno != EAGAIN ? uv_translate_sys_error(errno) : 0;
}

/// Makes a link that goes silent show, with data on its way and without.
void watchForSilence(uv_tcp_t &handle)
{
    const int descriptor = descriptorOf(handle);
    if (descriptor < 0)
        return;
    const auto set = [descriptor](int level, int name, int value) {
        setsockopt(descriptor, level, name, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_USER_TIMEOUT,
        static_cast<int>(
            std::chrono::duration_cast<std::chrono::milliseconds>(TcpStream::userTimeout).count()));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, TcpStream::probeAfterSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, TcpStream::probePauseSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, TcpStream::probes);
}

} // namespace

bool parseEndpoint(std::string_view text, Endpoint &endpoint)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const std::string_view digits = text.substr(colon + 1);
    int port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || port < 1 || port > 65535)
        return false;
    Endpoint read{std::string(text.substr(0, colon)), port};
    sockaddr_in address{};
    if (uv_ip4_addr(read.host_.c_str(), port, &address) != 0)
        return false;
    endpoint = std::move(read);
    return true;
}

TcpStream::TcpStream(EventLoop &loop) : loop_(loop)
{
    uv_tcp_init(&loop_.uv(), &handle_);
    handle_.data = this;
}

std::shared_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const Endpoint &peer,
                                              TcpCallbacks callbacks)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop));
    stream->self_ = stream;
    stream->callbacks_ = std::move(callbacks);
    const sockaddr_in address = addressOf(peer);
    auto *request = new uv_connect_t;
    request->data = stream.get();
    const int begun =
        uv_tcp_connect(request, &stream->handle_, reinterpret_cast<const sockaddr *>(&address),
                       [](uv_connect_t *done, int status) {
                           auto *connecting = static_cast<TcpStream *>(done->data);
                           delete done;
                           if (connecting->closed_)
                               return;
                           if (status != 0) {
                               connecting->fail(status);
                               return;
                           }
                           uv_tcp_nodelay(&connecting->handle_, 1);
                           watchForSilence(connecting->handle_);
                           connecting->beginRead();
                           if (connecting->callbacks_.connected_) {
                               const auto connected = connecting->callbacks_.connected_;
                               connected();
                           }
                       });
    if (begun != 0) {
        delete request;
        // Told from the loop, as the caller doesn't hold the connection yet.
        loop.timers().once(Duration::zero(), [stream, begun] {
            if (!stream->closed_)
                stream->fail(begun);
        });
    }
    return stream;
}

std::shared_ptr<TcpStream> TcpStream::accept(EventLoop &loop, uv_stream_t *listener)
{
    std::shared_ptr<TcpStream> stream(new TcpStream(loop));
    stream->self_ = stream;
    if (uv_accept(listener, reinterpret_cast<uv_stream_t *>(&stream->handle_)) != 0) {
        stream->close();
        return nullptr;
    }
    uv_tcp_nodelay(&stream->handle_, 1);
    watchForSilence(stream->handle_);
    return stream;
}

void TcpStream::start(TcpCallbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    beginRead();
}

void TcpStream::beginRead()
{
    uv_read_start(
        reinterpret_cast<uv_stream_t *>(&handle_),
        [](uv_handle_t *, std::size_t, uv_buf_t *buffer) {
            *buffer = uv_buf_init(readBuffer.data(), readBuffer.size());
        },
        [](uv_stream_t *handle, ssize_t count, const uv_buf_t *buffer) {
            const std::shared_ptr<TcpStream> stream =
                static_cast<TcpStream *>(handle->data)->shared_from_this();
            if (count > 0) {
                if (!stream->lingering_ && stream->callbacks_.data_)
                    stream->callbacks_.data_({buffer->base, static_cast<std::size_t>(count)});
            } else if (count < 0) {
                stream->fail(count == UV_EOF ? errorBehindEnd(stream->handle_)
                                             : static_cast<int>(count));
            }
        });
}

void TcpStream::fail(int error)
{
    const std::shared_ptr<TcpStream> keep = shared_from_this();
    const auto ended = std::move(callbacks_.ended_);
    const bool tell = !lingering_;
    close();
    if (tell && ended)
        ended(error);
}

int TcpStream::descriptor() const
{
    return descriptorOf(handle_);
}

void TcpStream::write(std::string_view bytes)
{
    if (closed_ || lingering_ || bytes.empty())
        return;
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_);
    if (uv_stream_get_write_queue_size(stream) == 0) {
        uv_buf_t now =
            uv_buf_init(const_cast<char *>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int taken = uv_try_write(stream, &now, 1);
        if (taken > 0)
            bytes.remove_prefix(static_cast<std::size_t>(taken));
        if (bytes.empty())
            return;
    }
    auto *later = new WriteRequest;
    later->bytes_ = bytes;
    later->request_.data = later;
    uv_buf_t rest = uv_buf_init(later->bytes_.data(), static_cast<unsigned>(later->bytes_.size()));
    // A failed write shows as an end of the connection when it is read.
    const int begun = uv_write(&later->request_, stream, &rest, 1, [](uv_write_t *done, int) {
        delete static_cast<WriteRequest *>(done->data);
    });
    if (begun != 0)
        delete later;
}

std::size_t TcpStream::unsentBytes() const
{
    return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t *>(&handle_));
}

void TcpStream::close(bool reset)
{
    if (closed_)
        return;
    closed_ = true;
    // Kept until the handle is closed, as it may be one of them that closes.
    retired_ = std::move(callbacks_);
    callbacks_ = {};
    loop_.timers().cancel(lingerTimer_);
    const auto onClosed = [](uv_handle_t *handle) {
        static_cast<TcpStream *>(handle->data)->finishClose();
    };
    if (reset && uv_tcp_close_reset(&handle_, onClosed) == 0)
        return;
    uv_close(reinterpret_cast<uv_handle_t *>(&handle_), onClosed);
}

void TcpStream::finishClose()
{
    const std::shared_ptr<TcpStream> last = std::move(self_);
    retired_ = {};
}

void TcpStream::closeAfterWrite()
{
    if (closed_ || lingering_)
        return;
    lingering_ = true;
    auto *request = new uv_shutdown_t;
    const int begun = uv_shutdown(request, reinterpret_cast<uv_stream_t *>(&handle_),
                                  [](uv_shutdown_t *done, int) { delete done; });
    if (begun != 0) {
        delete request;
        close();
        return;
    }
    lingerTimer_ =
        loop_.timers().once(lingerTime, [stream = shared_from_this()] { stream->close(); });
}

int TcpListener::listen(EventLoop &loop, const Endpoint &address,
                        std::function<void(std::shared_ptr<TcpStream>)> accepted)
{
    loop_ = &loop;
    accepted_ = std::move(accepted);
    uv_tcp_init(&loop.uv(), &handle_);
    handle_.data = this;
    const sockaddr_in local = addressOf(address);
    const int bound = uv_tcp_bind(&handle_, reinterpret_cast<const sockaddr *>(&local), 0);
    if (bound != 0)
        return bound;
    return uv_listen(reinterpret_cast<uv_stream_t *>(&handle_), listenBacklog,
                     [](uv_stream_t *handle, int status) {
                         auto *listener = static_cast<TcpListener *>(handle->data);
                         if (status != 0)
                             return;
                         if (auto stream = TcpStream::accept(*listener->loop_, handle))
                             listener->accepted_(std::move(stream));
                     });
}

void TcpListener::close()
{
    auto *handle = reinterpret_cast<uv_handle_t *>(&handle_);
    if (loop_ != nullptr && uv_is_closing(handle) == 0)
        uv_close(handle, nullptr);
}

} // namespace eelgrasscove
