#include "Net/httpcaller.h"

#include <fmt/core.h>

namespace eelgrasscove {

namespace {

/// Answers of the store and of engines have few and short headers.
constexpr std::size_t mostAnswerHeadBytes = 16 * 1024;

} // namespace

HttpCaller::HttpCaller(EventLoop &loop, Endpoint peer)
    : loop_(loop), peer_(std::move(peer)),
      reader_(HttpKind::Answer, mostAnswerHeadBytes,
              {[this](HttpHead &&head) {
                   answer_.status_ = head.status_;
                   keepAlive_ = head.keepAlive_;
               },
               [this](std::string_view bytes) { answer_.body_ += bytes; }, [] {}})
{ }

HttpCaller::~HttpCaller()
{
    loop_.timers().cancel(timeoutTimer_);
    drop();
}

void HttpCaller::call(std::string method, std::string target, std::string body, Duration timeout,
                      Answered answered, std::string headers)
{
    calls_.push_back({std::move(method), std::move(target), std::move(body), timeout,
                      std::move(answered), std::move(headers)});
    if (calls_.size() == 1)
        sendNext();
}

void HttpCaller::sendNext()
{
    if (calls_.empty())
        return;
    sent_ = false;
    timeoutTimer_ = loop_.timers().once(calls_.front().timeout_, [this] {
        drop();
        finish(std::nullopt);
    });
    if (!stream_)
        connect();
    if (!connected_)
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
    answer_ = {};
    reader_.reset();
    sent_ = true;
    stream_->write(text);
}

void HttpCaller::connect()
{
    connected_ = false;
    stream_ = TcpStream::connect(loop_, peer_,
                                 {[this] {
                                      connected_ = true;
                                      if (!calls_.empty() && !sent_) {
                                          loop_.timers().cancel(timeoutTimer_);
                                          sendNext();
                                      }
                                  },
                                  [this](std::string_view bytes) { onData(bytes); },
                                  [this](int) { onEnd(); }});
}

void HttpCaller::onData(std::string_view bytes)
{
    if (!sent_) {
        // Nothing was asked: the connection can't be trusted with the next answer.
        drop();
        return;
    }
    reader_.feed(bytes);
    if (reader_.state() == HttpReadState::Open)
        return;
    const bool complete = reader_.state() == HttpReadState::Complete;
    if (!complete || !keepAlive_)
        drop();
    finish(complete ? std::optional(std::move(answer_)) : std::nullopt);
}

void HttpCaller::onEnd()
{
    const bool waited = !calls_.empty();
    drop();
    if (waited)
        finish(std::nullopt);
}

void HttpCaller::finish(std::optional<HttpAnswer> answer)
{
    loop_.timers().cancel(timeoutTimer_);
    timeoutTimer_ = 0;
    sent_ = false;
    const Answered answered = std::move(calls_.front().answered_);
    calls_.pop_front();
    // Before the callback, which may add a call and start it.
    if (!calls_.empty())
        sendNext();
    answered(std::move(answer));
}

void HttpCaller::drop()
{
    connected_ = false;
    if (stream_)
        stream_->close();
    stream_.reset();
}

} // namespace eelgrasscove
