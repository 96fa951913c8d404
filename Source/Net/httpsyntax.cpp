#include "Net/httpsyntax.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// A status line up to its code, with any minor version.
constexpr std::string_view statusLineStart = "HTTP/1.1 ";
constexpr std::size_t minorVersionColumn = 7;
constexpr std::size_t statusCodeColumn = statusLineStart.size();
constexpr std::size_t statusCodeEnd = statusCodeColumn + 3;

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

bool isLineEnd(char byte)
{
    return byte == '\r' || byte == '\n';
}

/// Returns whether a status line may have this byte at this column.
bool fitsStatusLine(std::size_t column, char byte)
{
    if (column == minorVersionColumn)
        return isDigit(byte);
    if (column < statusCodeColumn)
        return byte == statusLineStart[column];
    if (column == statusCodeColumn)
        return byte >= '1' && byte <= '5';
    if (column < statusCodeEnd)
        return isDigit(byte);
    return column > statusCodeEnd || byte == ' ' || isLineEnd(byte);
}

bool isAlphanumeric(char character)
{
    return isDigit(character) || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z');
}

bool isNameCharacter(char character)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return isAlphanumeric(character) || others.find(character) != std::string_view::npos;
}

bool isHexDigit(char character)
{
    return isDigit(character) || (character >= 'a' && character <= 'f')
        || (character >= 'A' && character <= 'F');
}

/// Returns whether a path or a query may have this character, apart from an encoded byte.
bool isTargetCharacter(char character)
{
    constexpr std::string_view others = "-._~!$&'()*+,;=:@/?";
    return isAlphanumeric(character) || others.find(character) != std::string_view::npos;
}

HttpFault scanStartLine(HeadScan &scan, HttpKind kind, char byte)
{
    const bool isEmptyLine = scan.column_ == 0 && isLineEnd(byte);
    // RFC 9112, section 4, allows a reader to accept more than one blank here.
    const bool isRepeatedBlank = scan.column_ == statusCodeColumn && byte == ' ';
    if (isEmptyLine || isRepeatedBlank)
        return HttpFault::None;
    if (kind == HttpKind::Response && !fitsStatusLine(scan.column_, byte))
        return HttpFault::StatusLine;
    ++scan.column_;
    if (byte == '\n')
        scan.position_ = HeadPosition::LineStart;
    return HttpFault::None;
}

} // namespace

bool isHeaderName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isNameCharacter);
}

bool isRequestTarget(std::string_view target)
{
    if (!target.starts_with('/'))
        return false;
    constexpr std::size_t encodedLength = 3;
    for (std::size_t at = 0; at < target.size(); ++at) {
        if (isTargetCharacter(target[at]))
            continue;
        const std::string_view encoded = target.substr(at, encodedLength);
        if (encoded.size() < encodedLength || encoded[0] != '%' || !isHexDigit(encoded[1])
            || !isHexDigit(encoded[2]))
            return false;
        at += encodedLength - 1;
    }
    return true;
}

HttpFault scanHead(HeadScan &scan, HttpKind kind, std::string_view bytes)
{
    for (const char byte : bytes) {
        if (scan.position_ == HeadPosition::End)
            break;
        if (scan.isAfterReturn_ && byte != '\n')
            return HttpFault::LineEnd;
        scan.isAfterReturn_ = byte == '\r';
        HttpFault fault = HttpFault::None;
        switch (scan.position_) {
        case HeadPosition::StartLine:
            fault = scanStartLine(scan, kind, byte);
            break;
        case HeadPosition::LineStart:
            if (byte == ' ' || byte == '\t')
                fault = HttpFault::FoldedLine;
            else if (byte == '\n')
                scan.position_ = HeadPosition::End;
            else if (byte != '\r')
                scan.position_ = HeadPosition::Line;
            break;
        case HeadPosition::Line:
            if (byte == '\n')
                scan.position_ = HeadPosition::LineStart;
            break;
        case HeadPosition::End:
            break;
        }
        if (fault != HttpFault::None)
            return fault;
    }
    return HttpFault::None;
}

} // namespace eelgrasscove
