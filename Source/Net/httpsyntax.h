#pragma once

/// Rules of HTTP/1 (RFC 9110, RFC 9112) that the parsers of the libraries don't check: Debian
/// builds http_parser without its strict checks, and Beast accepts any status of three digits.

#include <eelgrasscove/nametable.h>

#include <cstddef>
#include <string_view>

namespace eelgrasscove {

enum class HttpKind {
    Request,
    Response,
};

/// Why a message is malformed.
enum class HttpFault {
    None,
    /// Refused by the parser.
    Syntax,
    HeadTooLong,
    /// Requests: the major version isn't 1.
    Version,
    /// Responses: the version isn't 1.x, or the status code isn't a number from 100 to 599.
    StatusLine,
    /// A header name has a character that is not allowed there, a blank for example.
    HeaderName,
    /// A line begins with a blank. It could continue the value of the header before it, which is
    /// obsolete, or be a header with an invalid name.
    FoldedLine,
    /// A carriage return without a line feed, or chunk data that is not followed by a line end.
    LineEnd,
    /// The coding isn't chunked, applied once. No other may be sent, as no TE header asks for one.
    TransferCoding,
};

constexpr NameTable<HttpFault, 9> httpFaultNames = {{
    {HttpFault::None, "none"},
    {HttpFault::Syntax, "invalid syntax"},
    {HttpFault::HeadTooLong, "head exceeds the size limit"},
    {HttpFault::Version, "version is not HTTP/1"},
    {HttpFault::StatusLine, "status line is not HTTP/1 with a status code from 100 to 599"},
    {HttpFault::HeaderName, "header name has a character that is not allowed there"},
    {HttpFault::FoldedLine, "line of the head begins with a blank"},
    {HttpFault::LineEnd, "line of the head or of a chunk has no valid end"},
    {HttpFault::TransferCoding, "transfer coding is not chunked"},
}};

enum class HeadPosition {
    /// Before the first line or in it.
    StartLine,
    LineStart,
    Line,
    /// After the empty line.
    End,
};

/// Progress of the scan of one head.
struct HeadScan
{
    HeadPosition position_ = HeadPosition::StartLine;
    /// Bytes of the start line so far; repeated blanks before a status code don't count.
    std::size_t column_ = 0;
    bool isAfterReturn_ = false;
};

/// Scans the next bytes of a message for an invalid status line, folded line or line end; bytes
/// after its head are ignored.
HttpFault scanHead(HeadScan &scan, HttpKind kind, std::string_view bytes);

/// Classes of status codes (RFC 9110, section 15).
enum class StatusKind {
    /// Outside 100 to 599.
    Invalid,
    /// 1xx; the response to the request follows.
    Interim,
    Final,
};

constexpr StatusKind statusKindOf(unsigned status)
{
    constexpr unsigned firstInterim = 100;
    constexpr unsigned firstFinal = 200;
    constexpr unsigned last = 599;
    if (status < firstInterim || status > last)
        return StatusKind::Invalid;
    return status < firstFinal ? StatusKind::Interim : StatusKind::Final;
}

/// Interim responses to one request after which a client of the store or of an engine gives the
/// connection up. Servers send one or two; one in trouble may send them without end.
constexpr int maxInterimResponses = 16;

/// Returns whether a header may have this name: a token as in RFC 9110, section 5.6.2.
bool isHeaderName(std::string_view name);

/// Returns whether a request may have this target: a path with an optional query as in RFC 9112,
/// section 3.2.1. Any other could end the request line or begin another request.
bool isRequestTarget(std::string_view target);

} // namespace eelgrasscove
