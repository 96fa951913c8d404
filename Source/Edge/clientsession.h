#pragma once

/// One client's connection: reads its requests one at a time and writes the answers.

#include "Net/httpreader.h"
#include "Net/tcpstream.h"

#include <eelgrasscove/serving.h>

#include <memory>

namespace eelgrasscove {

/// A whole request of a client.
struct ClientRequest
{
    HttpHead head_;
    std::string body_;
    /// When its first byte came.
    Time begunAt_;
};

class ClientSession;

struct SessionCallbacks
{
    std::function<void(const std::shared_ptr<ClientSession> &, ClientRequest &&)> request_;
    /// The client ended the connection while its request was in work.
    std::function<void(ClientSession &)> gone_;
    std::function<void(ClientSession &)> closed_;
};

class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
    ClientSession(EventLoop &loop, std::shared_ptr<TcpStream> stream, ClientLimits limits,
                  const SessionCallbacks &callbacks);

    ClientSession(const ClientSession &) = delete;
    ClientSession &operator=(const ClientSession &) = delete;

    void start();

    /// A whole answer. headers is text of whole header lines.
    void answer(unsigned status, std::string_view headers, std::string_view body);

    /// An answer of unknown length; it looks complete only after endStream().
    void beginStream(unsigned status, std::string_view headers, std::string_view firstBytes);
    void streamBytes(std::string_view bytes);
    void endStream();

    /// Ends the connection so that no answer looks complete.
    void abort();

    /// No request is taken after the present one, whose answer says so.
    void leave() { leaving_ = true; }

    /// Closes the connection where no byte of a request has come.
    void closeIfIdle();

    /// Closes connections that are idle or slow for longer than the limits.
    void checkTimes(Time now);

    bool busy() const { return inWork_; }

    /// What the edge has attached to the request in work.
    std::shared_ptr<void> work_;

private:
    void onData(std::string_view bytes);
    void onEnd();
    void readHeld();
    void handOver();
    void onHead(HttpHead &&head);
    void onBody(std::string_view bytes);
    void refuse(unsigned status);
    void finishAnswer();
    void closeNow(bool afterWrite);
    std::string headText(unsigned status, std::string_view headers) const;

    EventLoop &loop_;
    std::shared_ptr<TcpStream> stream_;
    ClientLimits limits_;
    const SessionCallbacks &callbacks_;
    HttpReader reader_;
    ClientRequest request_;
    /// Bytes that came while a request was in work.
    std::string held_;
    Time idleSince_;
    bool inWork_ = false;
    bool streaming_ = false;
    bool clientKeepsAlive_ = true;
    bool tooLarge_ = false;
    bool leaving_ = false;
    bool closed_ = false;
};

} // namespace eelgrasscove
