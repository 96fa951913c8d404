#pragma once

/// TCP connections and listeners on the event loop.

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

/// Reads "A.B.C.D:PORT"; false where it isn't one.
bool parseEndpoint(std::string_view text, Endpoint &endpoint);

/// What a connection tells its owner. Nothing is called after close().
struct TcpCallbacks
{
    std::function<void()> connected_;
    std::function<void(std::string_view)> data_;
    /// The peer ended its side: error is 0 for an orderly end, else libuv's negative error.
    std::function<void(int error)> ended_;
};

/// One connection. Held by shared_ptr, since libuv closes it later than its owner does.
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    /// Silence of the peer's network stack after which a connection counts as lost. A link that
    /// goes silent without a reset shows only by this.
    static constexpr Duration userTimeout = std::chrono::milliseconds(2500);

    /// The same where nothing is on its way to the peer, as on a watch that waits: probes begin
    /// after a second, the shortest that the kernel knows, and one of two may be lost.
    static constexpr int probeAfterSeconds = 1;
    static constexpr int probePauseSeconds = 1;
    static constexpr int probes = 2;

    static std::shared_ptr<TcpStream> connect(EventLoop &loop, const Endpoint &peer,
                                              TcpCallbacks callbacks);
    static std::shared_ptr<TcpStream> accept(EventLoop &loop, uv_stream_t *listener);

    ~TcpStream() = default;
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    /// For accepted connections: sets the callbacks and begins to read.
    void start(TcpCallbacks callbacks);

    /// Sends now what the socket takes and the rest later.
    void write(std::string_view bytes);

    /// Bytes that the socket hasn't taken yet.
    std::size_t unsentBytes() const;

    /// Ends the connection at once. With reset, the peer can't take it for an orderly end.
    void close(bool reset = false);

    /// Ends it after what was written has gone and the peer has closed, or after a second.
    void closeAfterWrite();

    bool closed() const { return closed_; }

    /// The socket, to read its options; -1 once it is closed.
    int descriptor() const;

private:
    explicit TcpStream(EventLoop &loop);

    void beginRead();
    void fail(int error);
    void finishClose();

    EventLoop &loop_;
    uv_tcp_t handle_{};
    TcpCallbacks callbacks_;
    TcpCallbacks retired_;
    std::shared_ptr<TcpStream> self_;
    TimerId lingerTimer_ = 0;
    bool closed_ = false;
    bool lingering_ = false;
};

/// A listening socket that hands over accepted connections.
class TcpListener
{
public:
    TcpListener() = default;
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

    /// 0, or libuv's negative error.
    int listen(EventLoop &loop, const Endpoint &address,
               std::function<void(std::shared_ptr<TcpStream>)> accepted);
    void close();

private:
    EventLoop *loop_ = nullptr;
    uv_tcp_t handle_{};
    std::function<void(std::shared_ptr<TcpStream>)> accepted_;
};

} // namespace eelgrasscove
