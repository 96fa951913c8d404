#include "Net/tcpstream.h"

#include "Net/sendqueue.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace eelgrasscove {

namespace {

/// Connections that the kernel queues until they are accepted; equals the kernel's usual limit.
constexpr int listenBacklog = 1024;

/// Maximum time for which closeAfterWrite() waits, after all is written, for the peer to close, and
/// period at which it checks before that whether the peer takes bytes.
constexpr Duration lingerTimeout = std::chrono::seconds(1);

/// Shared by all connections, as the data of each read is processed before the next read.
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
    TcpStream *stream_ = nullptr;
    std::string bytes_;
};

int descriptorOf(const uv_tcp_t &handle)
{
    uv_os_fd_t descriptor = -1;
    return uv_fileno(reinterpret_cast<const uv_handle_t *>(&handle), &descriptor) == 0 ? descriptor
                                                                                       : -1;
}

/// Returns the socket error behind an end of file that libuv reports, or 0 for an orderly end.
/// libuv also reports an end of file when data and a reset arrive together.
int pendingSocketError(const uv_tcp_t &handle)
{
    const int descriptor = descriptorOf(handle);
    if (descriptor < 0)
        return 0;
    char byte = 0;
    const ssize_t peeked = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && errno != EAGAIN ? uv_translate_sys_error(errno) : 0;
}

/// Sets socket options that detect a network link that is lost without a reset, both with and
/// without unacknowledged data.
void enableLossDetection(uv_tcp_t &handle)
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
    Endpoint parsed{std::string(text.substr(0, colon)), port};
    sockaddr_in address{};
    if (parsed.host_.find('\0') != std::string::npos
        || uv_ip4_addr(parsed.host_.c_str(), port, &address) != 0)
        return false;
    endpoint = std::move(parsed);
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
    const int startResult =
        uv_tcp_connect(request, &stream->handle_, reinterpret_cast<const sockaddr *>(&address),
                       [](uv_connect_t *done, int status) {
                           auto *connecting = static_cast<TcpStream *>(done->data);
                           delete done;
                           if (connecting->isClosed_)
                               return;
                           if (status != 0) {
                               connecting->fail(status);
                               return;
                           }
                           uv_tcp_nodelay(&connecting->handle_, 1);
                           enableLossDetection(connecting->handle_);
                           connecting->startReading();
                           if (connecting->callbacks_.onConnected_) {
                               const auto onConnected = connecting->callbacks_.onConnected_;
                               onConnected();
                           }
                       });
    if (startResult != 0) {
        delete request;
        // Reported from the loop, as the caller doesn't have the connection yet.
        loop.timers().once(Duration::zero(), [stream, startResult] {
            if (!stream->isClosed_)
                stream->fail(startResult);
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
    enableLossDetection(stream->handle_);
    return stream;
}

void TcpStream::start(TcpCallbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    startReading();
}

void TcpStream::startReading()
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
                if (!stream->isLingering_ && stream->callbacks_.onData_)
                    stream->callbacks_.onData_({buffer->base, static_cast<std::size_t>(count)});
            } else if (count < 0) {
                stream->fail(count == UV_EOF ? stream->endOfFileError() : static_cast<int>(count));
            }
        });
}

/// Returns the error behind an end of file, or 0 for an orderly end.
int TcpStream::endOfFileError() const
{
    return writeError_ != 0 ? writeError_ : pendingSocketError(handle_);
}

void TcpStream::fail(int error)
{
    const std::shared_ptr<TcpStream> self = shared_from_this();
    wasAllDelivered_ = deliveredBytes() == writtenBytes_;
    const auto onEnded = std::move(callbacks_.onEnded_);
    const bool shouldReport = !isLingering_;
    close();
    if (shouldReport && onEnded)
        onEnded(error);
}

int TcpStream::descriptor() const
{
    return descriptorOf(handle_);
}

bool TcpStream::hasPeerClosed() const
{
    if (isClosed_)
        return false;
    pollfd state{descriptor(), POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool TcpStream::hasInput() const
{
    if (isClosed_)
        return false;
    pollfd state{descriptor(), POLLIN | POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 && state.revents != 0;
}

void TcpStream::write(std::string_view bytes)
{
    if (isClosed_ || isLingering_ || bytes.empty())
        return;
    writtenBytes_ += bytes.size();
    auto *stream = reinterpret_cast<uv_stream_t *>(&handle_);
    if (uv_stream_get_write_queue_size(stream) == 0) {
        uv_buf_t unsent =
            uv_buf_init(const_cast<char *>(bytes.data()), static_cast<unsigned>(bytes.size()));
        const int sentBytes = uv_try_write(stream, &unsent, 1);
        if (sentBytes > 0)
            bytes.remove_prefix(static_cast<std::size_t>(sentBytes));
        else if (sentBytes != UV_EAGAIN)
            recordWriteError(sentBytes);
        if (bytes.empty() || writeError_ != 0)
            return;
    }
    auto *pendingWrite = new WriteRequest;
    pendingWrite->bytes_ = bytes;
    pendingWrite->stream_ = this;
    pendingWrite->request_.data = pendingWrite;
    uv_buf_t remaining = uv_buf_init(pendingWrite->bytes_.data(),
                                     static_cast<unsigned>(pendingWrite->bytes_.size()));
    const int startResult =
        uv_write(&pendingWrite->request_, stream, &remaining, 1, [](uv_write_t *done, int status) {
            auto *write = static_cast<WriteRequest *>(done->data);
            write->stream_->recordWriteError(status);
            delete write;
        });
    if (startResult != 0) {
        recordWriteError(startResult);
        delete pendingWrite;
    }
}

void TcpStream::recordWriteError(int error)
{
    if (writeError_ == 0 && error < 0 && error != UV_ECANCELED)
        writeError_ = error;
}

std::size_t TcpStream::unsentBytes() const
{
    return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t *>(&handle_));
}

void TcpStream::close(bool reset)
{
    if (isClosed_)
        return;
    isClosed_ = true;
    // Kept until the handle is closed, as close() may be called by one of these callbacks.
    closedCallbacks_ = std::move(callbacks_);
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
    const std::shared_ptr<TcpStream> released = std::move(self_);
    closedCallbacks_ = {};
}

std::uint64_t TcpStream::deliveredBytes() const
{
    const std::uint64_t pending =
        unsentBytes() + (isClosed_ ? 0 : unacknowledgedBytes(descriptor()));
    return writtenBytes_ - std::min(pending, writtenBytes_);
}

void TcpStream::closeAfterWrite(std::function<void()> onWritten)
{
    if (isClosed_ || isLingering_)
        return;
    isLingering_ = true;
    onWritten_ = std::move(onWritten);
    lingerDeliveredBytes_ = deliveredBytes();
    lingerProgressAt_ = bootNow();
    auto *request = new uv_shutdown_t;
    request->data = this;
    // Also called, with an error, when the connection is closed before.
    const int startResult = uv_shutdown(request, reinterpret_cast<uv_stream_t *>(&handle_),
                                        [](uv_shutdown_t *done, int) {
                                            static_cast<TcpStream *>(done->data)->finishWriting();
                                            delete done;
                                        });
    if (startResult != 0) {
        delete request;
        loop_.timers().once(Duration::zero(),
                            [stream = shared_from_this()] { stream->finishWriting(); });
        close();
        return;
    }
    lingerTimer_ = loop_.timers().once(lingerTimeout,
                                       [stream = shared_from_this()] { stream->checkLinger(); });
}

void TcpStream::finishWriting()
{
    isAllWritten_ = true;
    if (const auto onWritten = std::exchange(onWritten_, nullptr))
        onWritten();
    if (isClosed_)
        return;
    loop_.timers().cancel(lingerTimer_);
    lingerTimer_ =
        loop_.timers().once(lingerTimeout, [stream = shared_from_this()] { stream->close(); });
}

void TcpStream::checkLinger()
{
    if (isClosed_ || isAllWritten_)
        return;
    const Time now = bootNow();
    if (const std::uint64_t delivered = deliveredBytes(); delivered != lingerDeliveredBytes_) {
        lingerDeliveredBytes_ = delivered;
        lingerProgressAt_ = now;
    } else if (now - lingerProgressAt_ >= stallTimeout) {
        close(true);
        return;
    }
    lingerTimer_ = loop_.timers().once(lingerTimeout,
                                       [stream = shared_from_this()] { stream->checkLinger(); });
}

int TcpListener::listen(EventLoop &loop, const Endpoint &address,
                        std::function<void(std::shared_ptr<TcpStream>)> onAccepted)
{
    loop_ = &loop;
    onAccepted_ = std::move(onAccepted);
    uv_tcp_init(&loop.uv(), &handle_);
    handle_.data = this;
    const sockaddr_in local = addressOf(address);
    const int bindResult = uv_tcp_bind(&handle_, reinterpret_cast<const sockaddr *>(&local), 0);
    if (bindResult != 0)
        return bindResult;
    return uv_listen(reinterpret_cast<uv_stream_t *>(&handle_), listenBacklog,
                     [](uv_stream_t *handle, int status) {
                         auto *listener = static_cast<TcpListener *>(handle->data);
                         if (status != 0)
                             return;
                         if (auto stream = TcpStream::accept(*listener->loop_, handle))
                             listener->onAccepted_(std::move(stream));
                     });
}

void TcpListener::close()
{
    auto *handle = reinterpret_cast<uv_handle_t *>(&handle_);
    if (loop_ != nullptr && uv_is_closing(handle) == 0)
        uv_close(handle, nullptr);
}

} // namespace eelgrasscove
