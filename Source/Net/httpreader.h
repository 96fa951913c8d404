#pragma once

/// HTTP/1.1 messages read piece by piece, and their heads written. Does no I/O.

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

/// The first line and headers of a request or an answer.
struct HttpHead
{
    /// Requests only.
    std::string method_;
    std::string target_;
    /// Answers only.
    unsigned status_ = 0;
    std::vector<HttpHeader> headers_;
    /// Whether the connection may carry another message after this one.
    bool keepAlive_ = true;

    /// The first header of this name in any case; empty where there is none.
    std::string_view header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;
};

bool equalIgnoringCase(std::string_view left, std::string_view right);

/// Whether a header concerns only the connection that it came on.
bool isConnectionHeader(std::string_view name);

enum class HttpKind {
    Request,
    Answer,
};

/// What a reader tells of the message that it reads.
struct HttpCallbacks
{
    std::function<void(HttpHead &&)> head_;
    std::function<void(std::string_view)> body_;
    std::function<void()> complete_;
};

enum class HttpReadState {
    /// Needs more bytes.
    Open,
    /// One message is complete; the bytes after it weren't taken.
    Complete,
    /// Not HTTP, or a head over its limit.
    Malformed,
};

class HttpReader
{
public:
    HttpReader(HttpKind kind, std::size_t mostHeadBytes, HttpCallbacks callbacks);

    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    /// Takes bytes up to the end of one message and returns how many it took.
    std::size_t feed(std::string_view bytes);

    /// The connection ended in order: completes an answer that has no stated length.
    void finish();

    /// Makes ready for the next message on the same connection.
    void reset();

    HttpReadState state() const { return state_; }
    /// Whether any byte of the present message has come.
    bool begun() const { return begun_; }
    bool headRead() const { return headRead_; }
    /// The head was longer than allowed.
    bool headTooLong() const { return headTooLong_; }

private:
    static http_parser_settings makeSettings();
    void takeHeaderByte(const char *at, std::size_t length, bool ofValue);
    bool countHead(std::size_t length);

    HttpKind kind_;
    std::size_t mostHeadBytes_;
    HttpCallbacks callbacks_;
    http_parser parser_{};
    HttpHead head_;
    std::size_t headBytes_ = 0;
    HttpReadState state_ = HttpReadState::Open;
    bool lastWasValue_ = false;
    bool begun_ = false;
    bool headRead_ = false;
    bool headTooLong_ = false;
};

/// Appends "name: value" and a line end.
void appendHeader(std::string &text, std::string_view name, std::string_view value);

/// The usual phrase of a status, for example "Not Found".
std::string_view statusPhrase(unsigned status);

} // namespace eelgrasscove
