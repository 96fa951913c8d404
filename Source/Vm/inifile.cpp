#include "Vm/inifile.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <fmt/core.h>
#include <ini.h>
#include <mutex>

namespace eelgrasscove {

namespace {

constexpr std::size_t mostMalformedLines = 50;
constexpr std::size_t mostIdentifierLength = 64;
constexpr std::size_t leastSecretLength = 16;

/// Bytes that the library adds to a line: CR, LF and the terminating zero.
constexpr int lineOverhead = 3;

/// The text as the library reads it, line by line.
struct LineSource
{
    std::vector<std::string> lines_;
    std::size_t next_ = 0;
    std::vector<IniEntry> entries_;
};

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        lines.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return lines;
}

char *readLine(char *buffer, int capacity, void *stream)
{
    auto &source = *static_cast<LineSource *>(stream);
    if (source.next_ == source.lines_.size())
        return nullptr;
    const std::string &line = source.lines_[source.next_];
    ++source.next_;
    const std::size_t length = std::min(line.size(), static_cast<std::size_t>(capacity) - 1);
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\0';
    return buffer;
}

int takeEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &source = *static_cast<LineSource *>(user);
    IniEntry entry;
    entry.section_ = section;
    entry.key_ = key;
    entry.value_ = value;
    entry.line_ = static_cast<std::uint32_t>(source.next_);
    source.entries_.push_back(std::move(entry));
    return 1;
}

/// The library's limits are process-wide variables.
void configureLibrary()
{
    static std::once_flag configured;
    std::call_once(configured, [] {
        ini_allow_multiline = false;
        ini_use_stack = false;
        ini_max_line = static_cast<int>(iniLineBytes) + lineOverhead;
        ini_initial_alloc = ini_max_line;
    });
}

/// Blanks lines that the library must not see, and lists them.
void removeUnreadableLines(std::vector<std::string> &lines, std::vector<IniFault> &faults)
{
    std::uint32_t number = 0;
    for (std::string &line : lines) {
        ++number;
        if (line.size() > iniLineBytes) {
            faults.push_back({number, fmt::format("the line is over {} bytes", iniLineBytes)});
            line.clear();
        } else if (line.find('\0') != std::string::npos) {
            faults.push_back({number, "the line holds a zero byte"});
            line.clear();
        }
    }
}

template <class Number>
std::optional<Number> wholeNumber(std::string_view text)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// A number in front of its unit.
struct Measured
{
    std::uint64_t number_ = 0;
    std::string_view unit_;
};

std::optional<Measured> splitUnit(std::string_view text)
{
    const std::size_t digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = wholeNumber<std::uint64_t>(text.substr(0, digits));
    if (!number)
        return std::nullopt;
    text.remove_prefix(digits);
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    return Measured{*number, text};
}

/// A unit's name and how many base units it holds.
struct Unit
{
    std::string_view name_;
    std::uint64_t size_ = 1;
};

constexpr std::array<Unit, 5> durationUnits = {{
    {"us", 1},
    {"ms", 1000ULL},
    {"s", 1000ULL * 1000},
    {"m", 60ULL * 1000 * 1000},
    {"h", 3600ULL * 1000 * 1000},
}};

constexpr std::array<Unit, 3> sizeUnits = {{{"", 1}, {"KB", 1024ULL}, {"MB", 1024ULL * 1024}}};

template <std::size_t Size>
std::optional<std::uint64_t> inBaseUnits(const Measured &measured,
                                         const std::array<Unit, Size> &units)
{
    for (const Unit &unit : units) {
        if (unit.name_ != measured.unit_)
            continue;
        if (measured.number_ > UINT64_MAX / unit.size_)
            return UINT64_MAX;
        return measured.number_ * unit.size_;
    }
    return std::nullopt;
}

std::string durationText(Duration duration)
{
    const auto micros = static_cast<std::uint64_t>(duration.count());
    for (auto unit = durationUnits.rbegin(); unit != durationUnits.rend(); ++unit) {
        if (micros % unit->size_ == 0)
            return fmt::format("{}{}", micros / unit->size_, unit->name_);
    }
    return fmt::format("{}us", micros);
}

ValueFault fault(const std::string &value, std::string_view problem, std::string remedy)
{
    return ValueFault{fmt::format("\"{}\" {}", value, problem), std::move(remedy)};
}

bool isEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr address = {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address) != 1)
        return false;
    const auto port = wholeNumber<std::uint16_t>(std::string_view(text).substr(colon + 1));
    return port && *port != 0;
}

bool isIdentifierCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '.' || character == '-'
        || character == '_';
}

} // namespace

IniFile parseIni(const std::string &text)
{
    configureLibrary();
    IniFile file;
    LineSource source;
    source.lines_ = splitLines(text);
    removeUnreadableLines(source.lines_, file.faults_);
    // The library names only the first malformed line, so each is blanked and the rest read again.
    for (std::size_t reading = 0; reading <= mostMalformedLines; ++reading) {
        source.next_ = 0;
        source.entries_.clear();
        const int malformed = ini_parse_stream(readLine, &source, takeEntry, &source);
        if (malformed <= 0)
            break;
        const auto line = static_cast<std::uint32_t>(malformed);
        file.faults_.push_back({line, "the line is neither [section] nor key = value"});
        source.lines_[line - 1].clear();
    }
    file.entries_ = std::move(source.entries_);
    return file;
}

ValueResult readNumber(const std::string &value, std::uint32_t least, std::uint32_t most,
                       std::uint32_t &number)
{
    const auto read = wholeNumber<std::uint64_t>(value);
    const std::string remedy = fmt::format("write a whole number from {} to {}", least, most);
    if (!read)
        return fault(value, "isn't a whole number", remedy);
    if (*read < least || *read > most)
        return fault(value, "is out of range", remedy);
    number = static_cast<std::uint32_t>(*read);
    return std::nullopt;
}

ValueResult readSize(const std::string &value, std::uint32_t least, std::uint32_t most,
                     std::uint32_t &bytes)
{
    const std::string remedy =
        fmt::format("write {} to {} bytes, as a number, or one with KB or MB", least, most);
    const std::optional<Measured> measured = splitUnit(value);
    if (!measured)
        return fault(value, "isn't a size", remedy);
    const std::optional<std::uint64_t> read = inBaseUnits(*measured, sizeUnits);
    if (!read)
        return fault(value, "has a wrong unit", remedy);
    if (*read < least || *read > most)
        return fault(value, "is out of range", remedy);
    bytes = static_cast<std::uint32_t>(*read);
    return std::nullopt;
}

ValueResult readDuration(const std::string &value, Duration least, Duration most,
                         Duration &duration)
{
    const std::string remedy = fmt::format("write {} to {}, with a unit us, ms, s, m or h",
                                           durationText(least), durationText(most));
    const std::optional<Measured> measured = splitUnit(value);
    if (!measured)
        return fault(value, "isn't a duration", remedy);
    if (measured->unit_.empty())
        return fault(value, "lacks its unit", remedy);
    const std::optional<std::uint64_t> read = inBaseUnits(*measured, durationUnits);
    if (!read)
        return fault(value, "has a wrong unit", remedy);
    if (*read < static_cast<std::uint64_t>(least.count())
        || *read > static_cast<std::uint64_t>(most.count()))
        return fault(value, "is out of range", remedy);
    duration = Duration(static_cast<std::int64_t>(*read));
    return std::nullopt;
}

ValueResult readDecimal(const std::string &value, double least, double most, double &number)
{
    const std::string remedy = fmt::format("write a number from {} to {}", least, most);
    double read = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), read);
    if (value.empty() || error != std::errc() || end != value.data() + value.size())
        return fault(value, "isn't a number", remedy);
    if (!std::isfinite(read) || read < least || read > most)
        return fault(value, "is out of range", remedy);
    number = read;
    return std::nullopt;
}

ValueResult readBool(const std::string &value, bool &flag)
{
    if (value != "true" && value != "false")
        return fault(value, "is neither true nor false", "write true or false");
    flag = value == "true";
    return std::nullopt;
}

ValueResult readIdentifier(const std::string &value, std::string &identifier)
{
    const bool allowed = std::all_of(value.begin(), value.end(), isIdentifierCharacter);
    if (value.empty() || value.size() > mostIdentifierLength || !allowed) {
        return fault(value, "isn't a name",
                     "write 1 to 64 letters, digits, dots, hyphens or underscores");
    }
    identifier = value;
    return std::nullopt;
}

ValueResult readEndpoint(const std::string &value, std::string &endpoint)
{
    if (!isEndpoint(value))
        return fault(value, "isn't an address", "write IP:PORT, for example 127.0.0.1:8080");
    endpoint = value;
    return std::nullopt;
}

ValueResult readUrl(const std::string &value, std::string_view scheme, bool pathAllowed,
                    std::string &url)
{
    const std::string remedy =
        fmt::format("write {}IP:PORT{}", scheme, pathAllowed ? ", with a path if need be" : "");
    if (value.compare(0, scheme.size(), scheme) != 0)
        return fault(value, fmt::format("doesn't begin with {}", scheme), remedy);
    const std::string rest = value.substr(scheme.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    if (!isEndpoint(rest.substr(0, slash)))
        return fault(value, "lacks an IP number and port", remedy);
    if (slash < rest.size() && !pathAllowed)
        return fault(value, "may not have a path", remedy);
    url = value;
    return std::nullopt;
}

ValueResult readKeyPrefix(const std::string &value, std::string &prefix)
{
    if (value.size() < 3 || value.front() != '/' || value.back() != '/')
        return fault(value, "isn't a key prefix", "write /name/");
    prefix = value;
    return std::nullopt;
}

ValueResult readSecret(const std::string &value, std::string &secret)
{
    if (value.size() < leastSecretLength) {
        return ValueFault{"the secret is too short",
                          fmt::format("write at least {} characters", leastSecretLength)};
    }
    secret = value;
    return std::nullopt;
}

} // namespace eelgrasscove
