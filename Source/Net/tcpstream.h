#pragma once

/// Non-blocking TCP connections and listeners on the event loop.

#include "Net/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasscove {

/// An IPv4 address with its port, "A.B.C.D:PORT".
struct Endpoint
{
    std::string host_;
    int port_ = 0;

    std::string text() const { return host_ + ":" + std::to_string(port_); }
    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Parses "A.B.C.D:PORT". Returns false, and leaves endpoint unchanged, if the text is invalid.
bool parseEndpoint(std::string_view text, Endpoint &endpoint);

/// Callbacks of a connection. None is called after close().
struct TcpCallbacks
{
    std::function<void()> onConnected_;
    std::function<void(std::string_view)> onData_;
    /// The connection ended: error is 0 for an orderly end by the peer, else libuv's negative
    /// error.
    std::function<void(int error)> onEnded_;
};

/// A TCP connection. Held by shared_ptr, since libuv closes the handle after its owner has released
/// it.
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    /// Time without an acknowledgement of sent data after which a connection counts as lost. A
    /// network link that is lost without a reset is detected only by this.
    static constexpr Duration userTimeout = std::chrono::milliseconds(2500);

    /// Keep-alive probes, which do the same while no data is unacknowledged, as on a waiting watch.
    /// They begin after one second, the shortest time that the kernel supports; one of two probes
    /// may be lost.
    static constexpr int probeAfterSeconds = 1;
    static constexpr int probePauseSeconds = 1;
    static constexpr int probes = 2;

    /// Time for which a peer may take no byte of what is written.
    static constexpr Duration stallTimeout = std::chrono::seconds(5);

    static std::shared_ptr<TcpStream> connect(EventLoop &loop, const Endpoint &peer,
                                              TcpCallbacks callbacks);
    static std::shared_ptr<TcpStream> accept(EventLoop &loop, uv_stream_t *listener);

    ~TcpStream() = default;
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /// Sets the callbacks of an accepted connection and starts to read.
    void start(TcpCallbacks callbacks);

    /// Sends as much as the socket accepts at once and queues the rest. An error is reported as the
    /// end of the connection, after all data that the peer sent before has been read.
    void write(std::string_view bytes);

    /// Returns the number of queued bytes that the socket hasn't accepted yet.
    std::size_t unsentBytes() const;

    /// Closes the connection at once. With reset, the peer can't mistake it for an orderly end.
    void close(bool reset = false);

    /// Returns the number of written bytes that the peer has acknowledged. If the length of the
    /// socket's send queue can't be read, these are the bytes that the socket has accepted.
    std::uint64_t deliveredBytes() const;

    /// Whether a write has failed, which ends the connection.
    bool hasWriteFailed() const { return writeError_ != 0; }

    /// Returns whether the peer had acknowledged all that was written when the connection ended.
    /// Valid from onEnded_ on.
    bool wasAllDelivered() const { return wasAllDelivered_; }

    /// Closes the connection after the socket has accepted all written data, and then the peer has
    /// closed or a second has passed; also if the peer takes no byte for stallTimeout. onWritten is
    /// called when the data is accepted or given up.
    void closeAfterWrite(std::function<void()> onWritten = {});

    bool isClosed() const { return isClosed_; }

    /// Returns whether the peer has closed the connection, though its data and the close may still
    /// be unread. False after close().
    bool hasPeerClosed() const;

    /// Returns whether data, the peer's close or an error is still unread. False after close().
    bool hasInput() const;

    /// Returns the socket, for reading its options; -1 after it is closed.
    int descriptor() const;

private:
    explicit TcpStream(EventLoop &loop);

    void startReading();
    int endOfFileError() const;
    void recordWriteError(int error);
    void fail(int error);
    void finishClose();
    void checkLinger();
    void finishWriting();

    EventLoop &loop_;
    uv_tcp_t handle_{};
    TcpCallbacks callbacks_;
    TcpCallbacks closedCallbacks_;
    std::shared_ptr<TcpStream> self_;
    std::function<void()> onWritten_;
    std::uint64_t writtenBytes_ = 0;
    /// First error of a write, or 0. The write takes the error from the socket, whose end then
    /// reads like an orderly one.
    int writeError_ = 0;
    TimerId lingerTimer_ = 0;
    /// While lingering: the bytes delivered at the last progress, and its time.
    std::uint64_t lingerDeliveredBytes_ = 0;
    Time lingerProgressAt_;
    bool isClosed_ = false;
    bool isLingering_ = false;
    bool isAllWritten_ = false;
    bool wasAllDelivered_ = false;
};

/// A listening socket that passes accepted connections to a callback.
class TcpListener
{
public:
    TcpListener() = default;
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// Starts to listen. Returns 0, or libuv's negative error.
    int listen(EventLoop &loop, const Endpoint &address,
               std::function<void(std::shared_ptr<TcpStream>)> onAccepted);
    void close();

private:
    EventLoop *loop_ = nullptr;
    uv_tcp_t handle_{};
    std::function<void(std::shared_ptr<TcpStream>)> onAccepted_;
};

} // namespace eelgrasscove
