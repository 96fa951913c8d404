#pragma once

/// Incremental parsing of HTTP/1.1 messages and formatting of their headers. Does no I/O.

#include "Net/httpsyntax.h"

#include <cstdint>
#include <functional>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

struct HttpHeader
{
    std::string name_;
    std::string value_;
};

/// The first line and headers of a request or a response.
struct HttpHead
{
    /// Requests only.
    std::string method_;
    std::string target_;
    /// Responses only.
    unsigned status_ = 0;
    std::vector<HttpHeader> headers_;
    /// Whether the connection may carry another message after this one.
    bool keepAlive_ = true;

    /// Returns the value of the first header of this name, compared without regard to case; empty
    /// if there is none.
    std::string_view header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view left, std::string_view right);

/// Returns the value of a header without the blanks around it.
std::string_view trimmedValue(std::string_view text);

/// Returns whether a header applies only to its connection and must not be forwarded.
bool isConnectionHeader(std::string_view name);

/// Callbacks of a reader: the head, each piece of the body, and the end of the message.
struct HttpCallbacks
{
    std::function<void(HttpHead &&)> onHead_;
    std::function<void(std::string_view)> onBody_;
    std::function<void()> onComplete_;
};

enum class HttpReadState {
    /// Needs more bytes.
    Open,
    /// One message is complete; the bytes after it were not consumed.
    Complete,
    /// Not HTTP/1, or a head above the size limit; see fault().
    Malformed,
};

class HttpReader
{
public:
    HttpReader(HttpKind kind, std::size_t maxHeadBytes, HttpCallbacks callbacks);

    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /// Parses bytes up to the end of one message and returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes);

    /// Handles an orderly end of the connection, which completes a response of unknown length.
    void finish();

    /// Prepares for the next message on the same connection.
    void reset();

    HttpReadState state() const { return state_; }
    /// Returns whether any byte of the current message has been received.
    bool hasBegun() const { return hasBegun_; }
    bool isHeadRead() const { return isHeadRead_; }
    /// Returns why the message is malformed.
    HttpFault fault() const { return fault_; }

private:
    static http_parser_settings makeParserSettings();
    void appendHeaderText(const char *at, std::size_t length, bool isValue);
    bool addHeadBytes(std::size_t length);
    std::size_t parse(std::string_view bytes);
    bool endsLine(std::string_view bytes) const;
    void fail(HttpFault fault);

    HttpKind kind_;
    std::size_t maxHeadBytes_;
    HttpCallbacks callbacks_;
    http_parser parser_{};
    HttpHead head_;
    HeadScan scan_;
    /// The last byte that was fed before.
    char lastByte_ = 0;
    std::size_t headBytes_ = 0;
    HttpReadState state_ = HttpReadState::Open;
    HttpFault fault_ = HttpFault::None;
    bool wasLastValue_ = false;
    bool hasBegun_ = false;
    bool isHeadRead_ = false;
};

/// Appends "name: value" and a line end.
void appendHeader(std::string &text, std::string_view name, std::string_view value);

/// Returns the reason phrase of a status, for example "Not Found".
std::string_view statusPhrase(unsigned status);

} // namespace eelgrasscove
