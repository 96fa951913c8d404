#pragma once

/// Answers GET requests with short texts, for readiness and metrics.

#include "Net/httpreader.h"
#include "Net/tcpstream.h"

#include <memory>

namespace eelgrasscove {

struct TextAnswer
{
    unsigned status_ = 404;
    std::string body_;
};

class TextServer
{
public:
    using Answer = std::function<TextAnswer(std::string_view path)>;

    /// 0, or libuv's negative error.
    int listen(EventLoop &loop, const Endpoint &address, Answer answer);

private:
    TcpListener listener_;
    Answer answer_;
};

} // namespace eelgrasscove
