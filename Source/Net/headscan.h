#pragma once

/// Checks the bytes of a message's head for what http_parser accepts although it is not HTTP/1
/// (RFC 9112): Debian builds that library without its strict checks.

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
};

constexpr NameTable<HttpFault, 5> httpFaultNames = {{
    {HttpFault::None, "none"},
    {HttpFault::Syntax, "invalid syntax"},
    {HttpFault::HeadTooLong, "head exceeds the size limit"},
    {HttpFault::Version, "version is not HTTP/1"},
    {HttpFault::StatusLine, "status line is not HTTP/1 with a status code from 100 to 599"},
}};

/// Progress of the scan of one head.
struct HeadScan
{
    /// Bytes of the status line so far, up to the byte after the code; repeated blanks don't count.
    std::size_t column_ = 0;
};

/// Scans the next bytes of a response; those after its status code are ignored.
HttpFault scanHead(HeadScan &scan, std::string_view bytes);

} // namespace eelgrasscove
