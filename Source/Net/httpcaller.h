#pragma once

/// An HTTP client that sends calls one after the other over one keep-alive connection.

#include "Net/httpreader.h"
#include "Net/tcpstream.h"

#include <deque>
#include <memory>
#include <optional>

namespace eelgrasscove {

struct HttpResponse
{
    unsigned status_ = 0;
    std::string body_;
    HttpHead head_;
};

class HttpCaller
{
public:
    /// Receives the response; empty if none arrived or its body is longer than the limit, in which
    /// case the server may have carried out the call or may still do so. It is also empty if the
    /// target is not valid in a request line; such a call is not sent.
    using ResponseHandler = std::function<void(std::optional<HttpResponse>)>;

    /// Responses of the store are pages of 1 MB, or all changes since the last watch.
    static constexpr std::size_t maxStoreBodyBytes = 32UL * 1024 * 1024;

    HttpCaller(EventLoop &loop, Endpoint peer, std::size_t maxBodyBytes = maxStoreBodyBytes);
    ~HttpCaller();

    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Queues the call. The timeout starts when the call is sent, so a call that is queued for
    /// longer than its timeout is still sent. headers is the text of complete header lines.
    void call(std::string method, std::string target, std::string body, Duration timeout,
              ResponseHandler onResponse, std::string headers = {});

    /// Drops all calls without calling their handlers, and the connection; the next call uses a new
    /// one. A handler may call it.
    void dropCalls();

    /// Returns the number of calls that are sent or queued.
    std::size_t pending() const { return calls_.size(); }

private:
    struct Call
    {
        std::string method_;
        std::string target_;
        std::string body_;
        Duration timeout_{};
        ResponseHandler onResponse_;
        std::string headers_;
    };

    void sendNext();
    void connect();
    void appendBody(std::string_view bytes);
    void readResponse(std::string_view bytes);
    void handleData(std::string_view bytes);
    void handleEnd();
    void finish(std::optional<HttpResponse> response);
    void closeStream();

    EventLoop &loop_;
    Endpoint peer_;
    std::size_t maxBodyBytes_;
    std::shared_ptr<TcpStream> stream_;
    HttpReader reader_;
    std::deque<Call> calls_;
    HttpResponse response_;
    TimerId timeoutTimer_ = 0;
    int interimResponses_ = 0;
    bool isConnected_ = false;
    bool isSent_ = false;
    bool keepAlive_ = true;
    bool isBodyTooLong_ = false;
};

} // namespace eelgrasscove
