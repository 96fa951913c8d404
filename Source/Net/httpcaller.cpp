#include "Net/httpcaller.h"

#include "Observe/eventlog.h"

#include <fmt/core.h>

namespace eelgrasscove {

namespace {

/// Responses of the store and of engines have few and short headers.
constexpr std::size_t maxResponseHeadBytes = 16 * 1024;

} // namespace

HttpCaller::HttpCaller(EventLoop &loop, Endpoint peer, std::size_t maxBodyBytes)
    : loop_(loop), peer_(std::move(peer)), maxBodyBytes_(maxBodyBytes),
      reader_(HttpKind::Response, maxResponseHeadBytes,
              {[this](HttpHead &&head) {
                   response_.status_ = head.status_;
                   keepAlive_ = head.keepAlive_;
                   response_.head_ = std::move(head);
               },
               [this](std::string_view bytes) { appendBody(bytes); }, [] {}})
{ }

HttpCaller::~HttpCaller()
{
    loop_.timers().cancel(timeoutTimer_);
    closeStream();
}

void HttpCaller::call(std::string method, std::string target, std::string body, Duration timeout,
                      ResponseHandler onResponse, std::string headers)
{
    calls_.push_back({std::move(method), std::move(target), std::move(body), timeout,
                      std::move(onResponse), std::move(headers)});
    if (calls_.size() == 1)
        sendNext();
}

void HttpCaller::sendNext()
{
    if (calls_.empty())
        return;
    isSent_ = false;
    if (!isRequestTarget(calls_.front().target_)) {
        eventLog().note("call.refused", "server", peer_.text(), "call", calls_.front().target_,
                        "reason", "target is not valid in a request line");
        // From a timer, as call() must not call the handler.
        timeoutTimer_ = loop_.timers().once(Duration::zero(), [this] { finish(std::nullopt); });
        return;
    }
    timeoutTimer_ = loop_.timers().once(calls_.front().timeout_, [this] {
        closeStream();
        finish(std::nullopt);
    });
    if (!stream_)
        connect();
    if (!isConnected_)
        return;
    const Call &call = calls_.front();
    std::string text =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method_, call.target_, peer_.text());
    if (!call.body_.empty())
        text += "Content-Type: application/json\r\n";
    if (call.method_ != "GET")
        text += fmt::format("Content-Length: {}\r\n", call.body_.size());
    text += call.headers_;
    text += "\r\n";
    text += call.body_;
    response_ = {};
    interimResponses_ = 0;
    isBodyTooLong_ = false;
    reader_.reset();
    isSent_ = true;
    stream_->write(text);
}

void HttpCaller::connect()
{
    isConnected_ = false;
    stream_ = TcpStream::connect(loop_, peer_,
                                 {[this] {
                                      isConnected_ = true;
                                      if (!calls_.empty() && !isSent_) {
                                          loop_.timers().cancel(timeoutTimer_);
                                          sendNext();
                                      }
                                  },
                                  [this](std::string_view bytes) { handleData(bytes); },
                                  [this](int) { handleEnd(); }});
}

void HttpCaller::appendBody(std::string_view bytes)
{
    isBodyTooLong_ = isBodyTooLong_ || response_.body_.size() + bytes.size() > maxBodyBytes_;
    if (!isBodyTooLong_)
        response_.body_ += bytes;
}

/// Reads up to the end of the final response, or to the limit on interim ones.
void HttpCaller::readResponse(std::string_view bytes)
{
    const auto isInterim = [this] {
        return reader_.state() == HttpReadState::Complete
            && statusKindOf(response_.status_) == StatusKind::Interim;
    };
    std::size_t consumed = reader_.feed(bytes);
    while (isInterim() && ++interimResponses_ <= maxInterimResponses) {
        bytes.remove_prefix(consumed);
        reader_.reset();
        consumed = reader_.feed(bytes);
    }
}

void HttpCaller::handleData(std::string_view bytes)
{
    if (!isSent_) {
        // Data without a request: it could be mistaken for the response to the next call.
        closeStream();
        return;
    }
    readResponse(bytes);
    if (isBodyTooLong_) {
        eventLog().note("response.too_long", "server", peer_.text(), "call", calls_.front().target_,
                        "limit_bytes", maxBodyBytes_);
    } else if (reader_.state() == HttpReadState::Open) {
        return;
    }
    const bool isComplete = !isBodyTooLong_ && reader_.state() == HttpReadState::Complete
        && statusKindOf(response_.status_) == StatusKind::Final;
    if (!isComplete && !isBodyTooLong_) {
        const std::string_view reason = reader_.state() == HttpReadState::Malformed
            ? nameOf(httpFaultNames, reader_.fault())
            : "too many interim responses";
        eventLog().note("response.malformed", "server", peer_.text(), "call",
                        calls_.front().target_, "reason", reason);
    }
    if (!isComplete || !keepAlive_ || stream_->hasWriteFailed())
        closeStream();
    finish(isComplete ? std::optional(std::move(response_)) : std::nullopt);
}

void HttpCaller::handleEnd()
{
    const bool hadPendingCall = !calls_.empty();
    closeStream();
    if (hadPendingCall)
        finish(std::nullopt);
}

void HttpCaller::finish(std::optional<HttpResponse> response)
{
    loop_.timers().cancel(timeoutTimer_);
    timeoutTimer_ = 0;
    isSent_ = false;
    const ResponseHandler onResponse = std::move(calls_.front().onResponse_);
    calls_.pop_front();
    // Sent before the callback, which may add a call and start it.
    if (!calls_.empty())
        sendNext();
    onResponse(std::move(response));
}

void HttpCaller::dropCalls()
{
    loop_.timers().cancel(timeoutTimer_);
    timeoutTimer_ = 0;
    isSent_ = false;
    calls_.clear();
    closeStream();
}

void HttpCaller::closeStream()
{
    isConnected_ = false;
    if (stream_)
        stream_->close();
    stream_.reset();
}

} // namespace eelgrasscove
