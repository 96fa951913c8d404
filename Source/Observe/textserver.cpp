#include "Observe/textserver.h"

#include <fmt/core.h>

namespace eelgrasscove {

namespace {

constexpr std::size_t mostHeadBytes = 8 * 1024;

/// One connection; the callbacks of its stream hold it.
struct TextConnection : std::enable_shared_from_this<TextConnection>
{
    TextConnection(std::shared_ptr<TcpStream> stream, const TextServer::Answer &answer)
        : stream_(std::move(stream)), answer_(answer),
          reader_(HttpKind::Request, mostHeadBytes,
                  {[this](HttpHead &&head) { head_ = std::move(head); }, [](std::string_view) {},
                   [] {}})
    { }

    void take(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const std::size_t taken = reader_.feed(bytes);
            bytes.remove_prefix(std::min(taken, bytes.size()));
            if (reader_.state() == HttpReadState::Malformed) {
                stream_->close();
                return;
            }
            if (reader_.state() != HttpReadState::Complete)
                return;
            const TextAnswer answer = answer_(head_.target_);
            stream_->write(
                fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\n"
                            "Content-Length: {}\r\n{}\r\n{}",
                            answer.status_, statusPhrase(answer.status_), answer.body_.size(),
                            head_.keepAlive_ ? "" : "Connection: close\r\n", answer.body_));
            if (!head_.keepAlive_) {
                stream_->closeAfterWrite();
                return;
            }
            reader_.reset();
        }
    }

    std::shared_ptr<TcpStream> stream_;
    const TextServer::Answer &answer_;
    HttpReader reader_;
    HttpHead head_;
};

} // namespace

int TextServer::listen(EventLoop &loop, const Endpoint &address, Answer answer)
{
    answer_ = std::move(answer);
    return listener_.listen(loop, address, [this](const std::shared_ptr<TcpStream> &stream) {
        const auto connection = std::make_shared<TextConnection>(stream, answer_);
        stream->start({nullptr, [connection](std::string_view bytes) { connection->take(bytes); },
                       [connection](int) { connection->stream_.reset(); }});
    });
}

} // namespace eelgrasscove
