#include "words.h"

#include <charconv>

namespace scenarios {

namespace {

std::optional<std::int64_t> parseNumber(std::string_view digits)
{
    std::int64_t number = 0;
    const char *end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, number);
    if (error != std::errc() || stop != end || number < 0)
        return std::nullopt;
    return number;
}

bool isBlank(char character)
{
    return character == ' ' || character == '\t' || character == '\r';
}

} // namespace

Words splitWords(std::string_view line)
{
    Words words;
    std::string word;
    bool quoted = false;
    bool begun = false;
    const auto finish = [&] {
        if (begun)
            words.words_.push_back(std::exchange(word, {}));
        begun = false;
    };
    for (const char character : line) {
        if (character == '"') {
            quoted = !quoted;
            begun = true;
        } else if (!quoted && character == '#') {
            break;
        } else if (!quoted && isBlank(character)) {
            finish();
        } else {
            word += character;
            begun = true;
        }
    }
    finish();
    if (quoted)
        fail(words, "a quote isn't closed", "write \" at the end of the text");
    return words;
}

void fail(Words &words, std::string message, std::string remedy)
{
    if (!words.fault_)
        words.fault_ = WordFault{std::move(message), std::move(remedy)};
}

bool atEnd(const Words &words)
{
    return words.fault_ || words.next_ >= words.words_.size();
}

std::string peek(const Words &words)
{
    return atEnd(words) ? std::string() : words.words_[words.next_];
}

bool takeIf(Words &words, std::string_view word)
{
    if (atEnd(words) || words.words_[words.next_] != word)
        return false;
    words.next_ += 1;
    return true;
}

std::string takeWord(Words &words, std::string_view what)
{
    if (atEnd(words)) {
        fail(words, std::string(what) + " is missing", "add it at the end of the line");
        return {};
    }
    return words.words_[words.next_++];
}

std::int64_t takeNumber(Words &words, std::string_view what)
{
    const std::string word = takeWord(words, what);
    const auto number = parseNumber(word);
    if (!number)
        fail(words, "\"" + word + "\" isn't " + std::string(what), "write a whole number");
    return number.value_or(0);
}

Micros takeTime(Words &words, std::string_view what)
{
    const std::string word = takeWord(words, what);
    const std::size_t unitAt = word.find_first_not_of("0123456789");
    const auto number = parseNumber(std::string_view(word).substr(0, unitAt));
    const std::string unit = unitAt == std::string::npos ? "" : word.substr(unitAt);
    if (number && unit == "us")
        return Micros(*number);
    if (number && unit == "ms")
        return std::chrono::milliseconds(*number);
    if (number && unit == "s")
        return std::chrono::seconds(*number);
    fail(words, "\"" + word + "\" isn't " + std::string(what), "write a number with us, ms or s");
    return Micros(0);
}

std::vector<std::string> takeRest(Words &words, std::string_view what)
{
    std::vector<std::string> rest;
    do
        rest.push_back(takeWord(words, what));
    while (!atEnd(words));
    return rest;
}

std::vector<std::string> splitAt(const std::string &word, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = word.find(separator, begin);
        parts.push_back(word.substr(begin, end - begin));
        if (end == std::string::npos)
            return parts;
        begin = end + 1;
    }
}

void expectEnd(Words &words)
{
    if (!atEnd(words))
        fail(words, "\"" + peek(words) + "\" is too much",
             "take it away or correct the word before");
}

} // namespace scenarios
