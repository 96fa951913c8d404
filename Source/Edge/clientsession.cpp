#include "Edge/clientsession.h"

#include "Observe/eventlog.h"

#include <fmt/core.h>

namespace eelgrasscove {

namespace {

/// Limit on the bytes buffered from a client while its request is active; a client that sends more
/// is disconnected.
constexpr std::size_t maxBufferedBytes = 1024 * 1024;

/// Limit on the bytes of a stream that wait to be sent; a client that reads too slowly to stay
/// below it is disconnected.
constexpr std::size_t maxUnsentBytes = 4 * 1024 * 1024;

/// Delay before a request received right after a pause of the process is delivered: one iteration
/// of the event loop, which reads everything that arrived during the pause.
constexpr Duration deliveryDelayAfterPause = std::chrono::milliseconds(5);

/// Returns the status of the response to a malformed request.
unsigned statusOf(HttpFault fault)
{
    switch (fault) {
    case HttpFault::HeadTooLong:
        return 431;
    case HttpFault::TransferCoding:
        return 501;
    case HttpFault::Version:
        return 505;
    default:
        return 400;
    }
}

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
    const std::shared_ptr<ClientSession> self = shared_from_this();
    if (hasActiveRequest_) {
        if (bufferedBytes_.size() + bytes.size() > maxBufferedBytes)
            disconnect();
        else
            bufferedBytes_ += bytes;
        return;
    }
    const std::optional<Time> pausedSince = loop_.pausedSince();
    if (!reader_.hasBegun())
        request_.firstByteAt_ = pausedSince.value_or(bootNow());
    const std::size_t consumed = reader_.feed(bytes);
    if (isClosed_)
        return;
    if (isBodyTooLarge_) {
        refuse(413);
    } else if (reader_.state() == HttpReadState::Malformed) {
        refuseMalformed(reader_.fault());
    } else if (reader_.state() == HttpReadState::Complete) {
        bufferedBytes_ += bytes.substr(consumed);
        hasActiveRequest_ = true;
        if (pausedSince) {
            // The client may have disconnected while the process was frozen; the next iteration of
            // the event loop detects it.
            loop_.timers().once(deliveryDelayAfterPause, [self] { self->deliverRequest(); });
        } else {
            deliverRequest();
        }
    }
}

void ClientSession::deliverRequest()
{
    if (!isClosed_)
        callbacks_.onRequest_(shared_from_this(), std::move(request_));
}

void ClientSession::onHead(HttpHead &&head)
{
    clientAcceptsKeepAlive_ = head.keepAlive_;
    request_.head_ = std::move(head);
    request_.body_.clear();
    if (request_.head_.hasHeader("Expect"))
        stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ClientSession::onBody(std::string_view bytes)
{
    if (request_.body_.size() + bytes.size() > limits_.bodyBytes_)
        isBodyTooLarge_ = true;
    else
        request_.body_ += bytes;
}

void ClientSession::refuse(unsigned status, std::string_view headers, std::string_view body)
{
    hasActiveRequest_ = true;
    clientAcceptsKeepAlive_ = false;
    sendResponse(status, headers, body);
}

void ClientSession::refuseMalformed(HttpFault fault)
{
    const unsigned status = statusOf(fault);
    const std::string_view reason = nameOf(httpFaultNames, fault);
    eventLog().note("request.malformed", "status", status, "reason", reason);
    refuse(status, "Content-Type: text/plain\r\n", fmt::format("{}\n", reason));
}

void ClientSession::onEnd()
{
    const std::shared_ptr<ClientSession> self = shared_from_this();
    if (isClosed_)
        return;
    isClosed_ = true;
    if (hasActiveRequest_)
        callbacks_.onDisconnected_(*this);
    callbacks_.onClosed_(*this);
}

bool ClientSession::endIfClientLeft()
{
    if (!isClosed_ && stream_->hasPeerClosed()) {
        stream_->close();
        onEnd();
    }
    return isClosed_;
}

std::string ClientSession::formatHead(unsigned status, std::string_view headers) const
{
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", status, statusPhrase(status));
    text += headers;
    if (closesAfterResponse_ || !clientAcceptsKeepAlive_)
        text += "Connection: close\r\n";
    return text;
}

void ClientSession::sendResponse(unsigned status, std::string_view headers, std::string_view body)
{
    if (isClosed_ || !hasActiveRequest_)
        return;
    std::string text = formatHead(status, headers);
    text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    text += body;
    stream_->write(text);
    finishResponse();
}

void ClientSession::beginStream(unsigned status, std::string_view headers,
                                std::string_view firstBytes)
{
    if (isClosed_ || !hasActiveRequest_)
        return;
    isStreaming_ = true;
    std::string text = formatHead(status, headers);
    text += "Transfer-Encoding: chunked\r\n\r\n";
    if (!firstBytes.empty()) {
        text += fmt::format("{:x}\r\n", firstBytes.size());
        text += firstBytes;
        text += "\r\n";
    }
    stream_->write(text);
}

void ClientSession::sendStreamBytes(std::string_view bytes)
{
    if (isClosed_ || !isStreaming_ || bytes.empty())
        return;
    std::string text = fmt::format("{:x}\r\n", bytes.size());
    text += bytes;
    text += "\r\n";
    stream_->write(text);
    if (stream_->unsentBytes() > maxUnsentBytes)
        disconnect();
}

void ClientSession::endStream()
{
    if (isClosed_ || !isStreaming_)
        return;
    stream_->write("0\r\n\r\n");
    finishResponse();
}

void ClientSession::finishResponse()
{
    hasActiveRequest_ = false;
    isStreaming_ = false;
    attachment_.reset();
    if (closesAfterResponse_ || !clientAcceptsKeepAlive_) {
        closeNow(true);
        return;
    }
    idleSince_ = bootNow();
    reader_.reset();
    request_ = {};
    if (!bufferedBytes_.empty()) {
        // Deferred, because the response may have been sent from within onData() of the previous
        // request.
        loop_.timers().once(Duration::zero(),
                            [self = shared_from_this()] { self->readBufferedBytes(); });
    }
}

void ClientSession::readBufferedBytes()
{
    if (isClosed_ || hasActiveRequest_)
        return;
    const std::string bytes = std::move(bufferedBytes_);
    bufferedBytes_.clear();
    onData(bytes);
}

void ClientSession::disconnect()
{
    stream_->close(true);
    onEnd();
}

void ClientSession::abort()
{
    hasActiveRequest_ = false;
    attachment_.reset();
    // Also a closed session that still writes its last response.
    stream_->close(true);
    closeNow(false);
}

void ClientSession::closeNow(bool flushFirst)
{
    if (isClosed_)
        return;
    isClosed_ = true;
    if (flushFirst) {
        // The session ends when its last response is written.
        stream_->closeAfterWrite(
            [self = shared_from_this()] { self->callbacks_.onClosed_(*self); });
        return;
    }
    stream_->close();
    callbacks_.onClosed_(*this);
}

std::size_t ClientSession::bufferedBytes() const
{
    return request_.body_.capacity() + bufferedBytes_.capacity() + unsentBytes();
}

void ClientSession::closeIfIdle()
{
    if (!hasActiveRequest_ && !reader_.hasBegun() && bufferedBytes_.empty())
        closeNow(true);
}

void ClientSession::checkTimeouts(Time now)
{
    if (hasActiveRequest_ || isClosed_)
        return;
    // A client that still takes a response isn't idle.
    if (unsentBytes() > 0)
        idleSince_ = now;
    if (!reader_.hasBegun()) {
        if (now - idleSince_ > limits_.idleTime_)
            closeIfIdle();
        return;
    }
    // The body may take as long again as the head.
    const Duration timeout = reader_.isHeadRead() ? limits_.headTime_ * 2 : limits_.headTime_;
    if (now - request_.firstByteAt_ > timeout)
        refuse(408);
}

} // namespace eelgrasscove
