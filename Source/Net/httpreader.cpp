#include "Net/httpreader.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace eelgrasscove {

namespace {

/// Bytes of a header line besides its name and value: colon and line end.
constexpr std::size_t headerLineBytes = 3;

/// Limit on the headers of a response. A header takes far more memory than its bytes on the
/// connection if it is short.
constexpr std::size_t maxResponseHeaders = 256;

/// Makes the parser fail; 1 and 2 stand for a message without a body.
constexpr int headRefused = -1;

constexpr std::array<std::string_view, 9> connectionHeaders = {
    "connection", "keep-alive", "proxy-connection", "transfer-encoding",   "content-length",
    "te",         "trailer",    "upgrade",          "proxy-authorization",
};

/// Returns whether the body has no transfer coding or is chunked.
bool hasKnownCoding(const HttpHead &head)
{
    constexpr std::string_view codingHeader = "Transfer-Encoding";
    const auto isCoding = [&](const HttpHeader &header) {
        return equalIgnoringCase(header.name_, codingHeader);
    };
    const auto count = std::count_if(head.headers_.begin(), head.headers_.end(), isCoding);
    return count == 0
        || (count == 1 && equalIgnoringCase(trimmedValue(head.header(codingHeader)), "chunked"));
}

} // namespace

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    const auto same = [](char one, char other) {
        return std::tolower(static_cast<unsigned char>(one))
            == std::tolower(static_cast<unsigned char>(other));
    };
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), same);
}

std::string_view trimmedValue(std::string_view text)
{
    constexpr std::string_view space = " \t";
    const std::size_t begin = text.find_first_not_of(space);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(space) - begin + 1);
}

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(connectionHeaders.begin(), connectionHeaders.end(),
                       [&](std::string_view each) { return equalIgnoringCase(each, name); });
}

std::string_view HttpHead::header(std::string_view name) const
{
    for (const HttpHeader &header : headers_) {
        if (equalIgnoringCase(header.name_, name))
            return header.value_;
    }
    return {};
}

bool HttpHead::hasHeader(std::string_view name) const
{
    return std::any_of(headers_.begin(), headers_.end(), [&](const HttpHeader &header) {
        return equalIgnoringCase(header.name_, name);
    });
}

HttpReader::HttpReader(HttpKind kind, std::size_t maxHeadBytes, HttpCallbacks callbacks)
    : kind_(kind), maxHeadBytes_(maxHeadBytes), callbacks_(std::move(callbacks))
{
    reset();
}

void HttpReader::reset()
{
    http_parser_init(&parser_, kind_ == HttpKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    scan_ = {};
    lastByte_ = 0;
    headBytes_ = 0;
    state_ = HttpReadState::Open;
    fault_ = HttpFault::None;
    wasLastValue_ = false;
    hasBegun_ = false;
    isHeadRead_ = false;
}

bool HttpReader::addHeadBytes(std::size_t length)
{
    headBytes_ += length;
    const bool isTooLong = headBytes_ + head_.headers_.size() * headerLineBytes > maxHeadBytes_
        || (kind_ == HttpKind::Response && head_.headers_.size() > maxResponseHeaders);
    if (isTooLong)
        fault_ = HttpFault::HeadTooLong;
    return !isTooLong;
}

void HttpReader::fail(HttpFault fault)
{
    state_ = HttpReadState::Malformed;
    if (fault_ == HttpFault::None)
        fault_ = fault;
}

void HttpReader::appendHeaderText(const char *at, std::size_t length, bool isValue)
{
    if (!isValue && (wasLastValue_ || head_.headers_.empty()))
        head_.headers_.emplace_back();
    std::string &text = isValue ? head_.headers_.back().value_ : head_.headers_.back().name_;
    text.append(at, length);
    wasLastValue_ = isValue;
}

http_parser_settings HttpReader::makeParserSettings()
{
    http_parser_settings settings{};
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser *parser, const char *at, std::size_t length) {
        auto *reader = static_cast<HttpReader *>(parser->data);
        reader->head_.target_.append(at, length);
        return reader->addHeadBytes(length) ? 0 : 1;
    };
    settings.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
        auto *reader = static_cast<HttpReader *>(parser->data);
        // A piece of the name of a header or of a trailer field.
        if (length > 0 && !isHeaderName({at, length})) {
            reader->fault_ = HttpFault::HeaderName;
            return 1;
        }
        reader->appendHeaderText(at, length, false);
        return reader->addHeadBytes(length) ? 0 : 1;
    };
    settings.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
        auto *reader = static_cast<HttpReader *>(parser->data);
        // Trailer fields after the body don't belong to the head.
        if (reader->isHeadRead_)
            return 0;
        reader->appendHeaderText(at, length, true);
        return reader->addHeadBytes(length) ? 0 : 1;
    };
    settings.on_headers_complete = [](http_parser *parser) {
        auto *reader = static_cast<HttpReader *>(parser->data);
        if (parser->http_major != 1)
            reader->fault_ = HttpFault::Version;
        else if (!hasKnownCoding(reader->head_))
            reader->fault_ = HttpFault::TransferCoding;
        if (reader->fault_ != HttpFault::None)
            return headRefused;
        reader->isHeadRead_ = true;
        HttpHead head = std::move(reader->head_);
        reader->head_ = {};
        head.status_ = parser->status_code;
        if (reader->kind_ == HttpKind::Request)
            head.method_ = http_method_str(static_cast<http_method>(parser->method));
        head.keepAlive_ = http_should_keep_alive(parser) != 0;
        reader->callbacks_.onHead_(std::move(head));
        return 0;
    };
    settings.on_body = [](http_parser *parser, const char *at, std::size_t length) {
        auto *reader = static_cast<HttpReader *>(parser->data);
        reader->callbacks_.onBody_({at, length});
        return 0;
    };
    // Without its strict checks the parser skips the ends of these lines whatever they are. Paused,
    // it returns after them.
    settings.on_chunk_header = [](http_parser *parser) {
        http_parser_pause(parser, 1);
        return 0;
    };
    settings.on_chunk_complete = [](http_parser *parser) {
        // The last chunk is complete before the line end of the message.
        if ((parser->flags & F_TRAILING) == 0)
            http_parser_pause(parser, 1);
        return 0;
    };
    settings.on_message_complete = [](http_parser *parser) {
        auto *reader = static_cast<HttpReader *>(parser->data);
        reader->state_ = HttpReadState::Complete;
        http_parser_pause(parser, 1);
        return 0;
    };
    return settings;
}

/// Returns whether bytes that follow those fed before end with a line end.
bool HttpReader::endsLine(std::string_view bytes) const
{
    if (!bytes.ends_with('\n'))
        return false;
    return bytes.size() > 1 ? bytes[bytes.size() - 2] == '\r' : lastByte_ == '\r';
}

/// Parses up to the end of the message, and checks the line ends of the chunked coding on the way.
std::size_t HttpReader::parse(std::string_view bytes)
{
    static const http_parser_settings settings = makeParserSettings();
    std::size_t consumed = 0;
    bool isPaused = true;
    while (isPaused && consumed < bytes.size()) {
        consumed += http_parser_execute(&parser_, &settings, bytes.data() + consumed,
                                        bytes.size() - consumed);
        isPaused = HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED && state_ == HttpReadState::Open;
        if (!isPaused)
            break;
        if (!endsLine(bytes.substr(0, consumed))) {
            fail(HttpFault::LineEnd);
            return consumed;
        }
        http_parser_pause(&parser_, 0);
    }
    return consumed;
}

std::size_t HttpReader::feed(std::string_view bytes)
{
    if (state_ != HttpReadState::Open || bytes.empty())
        return 0;
    hasBegun_ = true;
    const HttpFault headFault = scanHead(scan_, kind_, bytes);
    if (headFault != HttpFault::None) {
        fail(headFault);
        return 0;
    }
    const std::size_t consumed = parse(bytes);
    if (state_ == HttpReadState::Malformed)
        return consumed;
    if (state_ == HttpReadState::Complete) {
        const bool isChunked = (parser_.flags & F_CHUNKED) != 0;
        if (isChunked && bytes[consumed - 1] != '\n')
            fail(HttpFault::LineEnd);
        else
            callbacks_.onComplete_();
        return consumed;
    }
    lastByte_ = bytes.back();
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0)
        fail(HttpFault::Syntax);
    return consumed;
}

void HttpReader::finish()
{
    static const http_parser_settings settings = makeParserSettings();
    if (state_ != HttpReadState::Open || !isHeadRead_)
        return;
    http_parser_execute(&parser_, &settings, nullptr, 0);
    if (state_ == HttpReadState::Complete)
        callbacks_.onComplete_();
    else
        fail(HttpFault::Syntax);
}

void appendHeader(std::string &text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

std::string_view statusPhrase(unsigned status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace eelgrasscove
