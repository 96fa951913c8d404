#include "Edge/clientsession.h"

#include <fmt/core.h>

namespace eelgrasscove {

namespace {

/// A client that sends on while its request is in work is read no further than this.
constexpr std::size_t mostHeldBytes = 1024 * 1024;

/// Unsent bytes of a stream beyond which a client that doesn't read is given up.
constexpr std::size_t mostUnsentBytes = 4 * 1024 * 1024;

/// One round of the loop after a standstill, in which all that had arrived is read.
constexpr Duration afterStandstill = std::chrono::milliseconds(5);

} // namespace

ClientSession::ClientSession(EventLoop &loop, std::shared_ptr<TcpStream> stream,
                             ClientLimits limits, const SessionCallbacks &callbacks)
    : loop_(loop), stream_(std::move(stream)), limits_(limits), callbacks_(callbacks),
      reader_(HttpKind::Request, limits.headBytes_,
              {[this](HttpHead &&head) { onHead(std::move(head)); },
               [this](std::string_view bytes) { onBody(bytes); }, [] {}}),
      idleSince_(bootNow())
{ }

void ClientSession::start()
{
    stream_->start(
        {nullptr, [this](std::string_view bytes) { onData(bytes); }, [this](int) { onEnd(); }});
}

void ClientSession::onData(std::string_view bytes)
{
    const std::shared_ptr<ClientSession> keep = shared_from_this();
    if (inWork_) {
        if (held_.size() + bytes.size() > mostHeldBytes)
            abort();
        else
            held_ += bytes;
        return;
    }
    const std::optional<Time> asleepSince = loop_.asleepSince();
    if (!reader_.begun())
        request_.begunAt_ = asleepSince.value_or(bootNow());
    const std::size_t taken = reader_.feed(bytes);
    if (closed_)
        return;
    if (tooLarge_) {
        refuse(413);
    } else if (reader_.state() == HttpReadState::Malformed) {
        refuse(reader_.headTooLong() ? 431 : 400);
    } else if (reader_.state() == HttpReadState::Complete) {
        held_ += bytes.substr(taken);
        inWork_ = true;
        if (asleepSince) {
            // The client may have left meanwhile, which shows in the next round of the loop.
            loop_.timers().once(afterStandstill, [keep] { keep->handOver(); });
        } else {
            handOver();
        }
    }
}

void ClientSession::handOver()
{
    if (!closed_)
        callbacks_.request_(shared_from_this(), std::move(request_));
}

void ClientSession::onHead(HttpHead &&head)
{
    clientKeepsAlive_ = head.keepAlive_;
    request_.head_ = std::move(head);
    request_.body_.clear();
    if (request_.head_.hasHeader("Expect"))
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientSession::onBody(std::string_view bytes)
{
    if (request_.body_.size() + bytes.size() > limits_.bodyBytes_)
        tooLarge_ = true;
    else
        request_.body_ += bytes;
}

void ClientSession::refuse(unsigned status)
{
    inWork_ = true;
    clientKeepsAlive_ = false;
    answer(status, "", "");
}

void ClientSession::onEnd()
{
    const std::shared_ptr<ClientSession> keep = shared_from_this();
    if (closed_)
        return;
    closed_ = true;
    if (inWork_)
        callbacks_.gone_(*this);
    callbacks_.closed_(*this);
}

std::string ClientSession::headText(unsigned status, std::string_view headers) const
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, statusPhrase(status));
    text += headers;
    if (leaving_ || !clientKeepsAlive_)
        text += "Connection: close\r\n";
    return text;
}

void ClientSession::answer(unsigned status, std::string_view headers, std::string_view body)
{
    if (closed_ || !inWork_)
        return;
    std::string text = headText(status, headers);
    text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    text += body;
    stream_->write(text);
    finishAnswer();
}

void ClientSession::beginStream(unsigned status, std::string_view headers,
                                std::string_view firstBytes)
{
    if (closed_ || !inWork_)
        return;
    streaming_ = true;
    std::string text = headText(status, headers);
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!firstBytes.empty()) {
        text += fmt::format("{:x}\r\n", firstBytes.size());
        text += firstBytes;
        text += "\r\n";
    }
    stream_->write(text);
}

void ClientSession::streamBytes(std::string_view bytes)
{
    if (closed_ || !streaming_ || bytes.empty())
        return;
    std::string text = fmt::format("{:x}\r\n", bytes.size());
    text += bytes;
    text += "\r\n";
    stream_->write(text);
    if (stream_->unsentBytes() > mostUnsentBytes) {
        stream_->close(true);
        onEnd();
    }
}

void ClientSession::endStream()
{
    if (closed_ || !streaming_)
        return;
    stream_->write("0\r\n\r\n");
    finishAnswer();
}

void ClientSession::finishAnswer()
{
    inWork_ = false;
    streaming_ = false;
    work_.reset();
    if (leaving_ || !clientKeepsAlive_) {
        closeNow(true);
        return;
    }
    idleSince_ = bootNow();
    reader_.reset();
    request_ = {};
    if (!held_.empty()) {
        // Not from here: the answer may have been given while the last request was being read.
        loop_.timers().once(Duration::zero(), [keep = shared_from_this()] { keep->readHeld(); });
    }
}

void ClientSession::readHeld()
{
    if (closed_ || inWork_)
        return;
    const std::string bytes = std::move(held_);
    held_.clear();
    onData(bytes);
}

void ClientSession::abort()
{
    inWork_ = false;
    work_.reset();
    if (closed_)
        return;
    stream_->close(true);
    closeNow(false);
}

void ClientSession::closeNow(bool afterWrite)
{
    if (closed_)
        return;
    closed_ = true;
    if (afterWrite)
        stream_->closeAfterWrite();
    else
        stream_->close();
    callbacks_.closed_(*this);
}

void ClientSession::closeIfIdle()
{
    if (!inWork_ && !reader_.begun() && held_.empty())
        closeNow(true);
}

void ClientSession::checkTimes(Time now)
{
    if (inWork_ || closed_)
        return;
    if (!reader_.begun()) {
        if (now - idleSince_ > limits_.idleTime_)
            closeIfIdle();
        return;
    }
    // The body may take as long again as the head.
    const Duration allowed = reader_.headRead() ? limits_.headTime_ * 2 : limits_.headTime_;
    if (now - request_.begunAt_ > allowed)
        refuse(408);
}

} // namespace eelgrasscove
