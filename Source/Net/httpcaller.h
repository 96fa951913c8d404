#pragma once

/// Calls over one kept HTTP connection, one after the other.

#include "Net/httpreader.h"
#include "Net/tcpstream.h"

#include <deque>
#include <memory>
#include <optional>

namespace eelgrasscove {

struct HttpAnswer
{
    unsigned status_ = 0;
    std::string body_;
};

class HttpCaller
{
public:
    /// Empty where no answer came: the call may have been carried out, now or later.
    using Answered = std::function<void(std::optional<HttpAnswer>)>;

    HttpCaller(EventLoop &loop, Endpoint peer);
    ~HttpCaller();

    HttpCaller(const HttpCaller &) = delete;
    HttpCaller &operator=(const HttpCaller &) = delete;

    /// Queues the call. Its time runs from when it is sent; a call that is still queued after its
    /// timeout is sent nevertheless.
    /// headers is text of whole header lines.
    void call(std::string method, std::string target, std::string body, Duration timeout,
              Answered answered, std::string headers = {});

    /// Calls sent or queued.
    std::size_t pending() const { return calls_.size(); }

private:
    struct Call
    {
        std::string method_;
        std::string target_;
        std::string body_;
        Duration timeout_{};
        Answered answered_;
        std::string headers_;
    };

    void sendNext();
    void connect();
    void onData(std::string_view bytes);
    void onEnd();
    void finish(std::optional<HttpAnswer> answer);
    void drop();

    EventLoop &loop_;
    Endpoint peer_;
    std::shared_ptr<TcpStream> stream_;
    HttpReader reader_;
    std::deque<Call> calls_;
    HttpAnswer answer_;
    TimerId timeoutTimer_ = 0;
    bool connected_ = false;
    bool sent_ = false;
    bool keepAlive_ = true;
};

} // namespace eelgrasscove
