#pragma once

/// Reads the requests of one client connection, one at a time, and writes the responses.

#include "Net/httpreader.h"
#include "Net/tcpstream.h"

#include <eelgrasscove/serving.h>

#include <memory>

namespace eelgrasscove {

/// A complete client request.
struct ClientRequest
{
    HttpHead head_;
    std::string body_;
    /// Time at which the first byte was received.
    Time firstByteAt_;
};

class ClientSession;

struct SessionCallbacks
{
    std::function<void(const std::shared_ptr<ClientSession> &, ClientRequest &&)> onRequest_;
    /// The client closed the connection while its request was being processed.
    std::function<void(ClientSession &)> onDisconnected_;
    std::function<void(ClientSession &)> onClosed_;
};

class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(EventLoop &loop, std::shared_ptr<TcpStream> stream, ClientLimits limits,
                  const SessionCallbacks &callbacks);

    ClientSession(const ClientSession &) = delete;
    ClientSession &operator=(const ClientSession &) = delete;

    void start();

    /// Sends a complete response. headers consists of complete header lines, each with its line
    /// end.
    void sendResponse(unsigned status, std::string_view headers, std::string_view body);

    /// Begins a response of unknown length, which the client sees as complete only after
    /// endStream().
    void beginStream(unsigned status, std::string_view headers, std::string_view firstBytes);
    void sendStreamBytes(std::string_view bytes);
    void endStream();

    /// Resets the connection, so that the client does not see a partial response as complete.
    void abort();

    /// Closes the connection after the current request, whose response states this in its
    /// Connection header.
    void closeAfterResponse() { closesAfterResponse_ = true; }

    /// Ends the session if the client has closed the connection and the close has not been read
    /// yet. Returns whether the session has ended.
    bool endIfClientLeft();

    /// Closes the connection if no byte of a request has been received.
    void closeIfIdle();

    /// Closes the connection if it has been idle for too long, or responds with 408 if a request
    /// takes too long to arrive.
    void checkTimeouts(Time now);

    bool hasActiveRequest() const { return hasActiveRequest_; }

    /// Returns the bytes of requests being read and of responses that the client has not taken yet.
    std::size_t bufferedBytes() const;

    /// Returns the bytes of responses that the client's connection has not taken yet.
    std::size_t unsentBytes() const { return stream_->unsentBytes(); }

    /// Id of the last request, for log lines.
    std::string lastRequestId_;

    /// Object that the edge attaches to the active request.
    std::shared_ptr<void> attachment_;

private:
    void onData(std::string_view bytes);
    void onEnd();
    /// Resets the connection. The active request ends as if the client had closed it.
    void disconnect();
    void readBufferedBytes();
    void deliverRequest();
    void onHead(HttpHead &&head);
    void onBody(std::string_view bytes);
    /// Responds and closes the connection, as the end of the request is unknown.
    void refuse(unsigned status, std::string_view headers = {}, std::string_view body = {});
    void refuseMalformed(HttpFault fault);
    void finishResponse();
    void closeNow(bool flushFirst);
    std::string formatHead(unsigned status, std::string_view headers) const;

    EventLoop &loop_;
    std::shared_ptr<TcpStream> stream_;
    ClientLimits limits_;
    const SessionCallbacks &callbacks_;
    HttpReader reader_;
    ClientRequest request_;
    /// Bytes received while a request was active.
    std::string bufferedBytes_;
    Time idleSince_;
    bool hasActiveRequest_ = false;
    bool isStreaming_ = false;
    bool clientAcceptsKeepAlive_ = true;
    bool isBodyTooLarge_ = false;
    bool closesAfterResponse_ = false;
    bool isClosed_ = false;
};

} // namespace eelgrasscove
