#include "Net/headscan.h"

namespace eelgrasscove {

namespace {

/// A status line up to its code, with any minor version.
constexpr std::string_view statusLineStart = "HTTP/1.1 ";
constexpr std::size_t minorVersionColumn = 7;
constexpr std::size_t statusCodeColumn = statusLineStart.size();
constexpr std::size_t statusCodeEnd = statusCodeColumn + 3;
/// The columns that are checked, the byte after the code among them.
constexpr std::size_t statusLineColumns = statusCodeEnd + 1;

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
    return byte == ' ' || isLineEnd(byte);
}

} // namespace

HttpFault scanHead(HeadScan &scan, std::string_view bytes)
{
    for (const char byte : bytes) {
        if (scan.column_ == statusLineColumns)
            break;
        const bool isEmptyLine = scan.column_ == 0 && isLineEnd(byte);
        // RFC 9112, section 4, allows a reader to accept more than one blank here.
        const bool isRepeatedBlank = scan.column_ == statusCodeColumn && byte == ' ';
        if (isEmptyLine || isRepeatedBlank)
            continue;
        if (!fitsStatusLine(scan.column_, byte))
            return HttpFault::StatusLine;
        ++scan.column_;
    }
    return HttpFault::None;
}

} // namespace eelgrasscove
