#pragma once

/// The words of one line of a scenario, taken one after the other. The first thing that doesn't
/// fit is kept as the fault; what is taken after it is empty.

#include "scenario.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace scenarios {

struct WordFault
{
    std::string message_;
    std::string remedy_;
};

struct Words
{
    std::vector<std::string> words_;
    std::size_t next_ = 0;
    std::optional<WordFault> fault_;
};

/// Splits at blanks; "double quotes" hold blanks together; "#" begins a comment.
Words splitWords(std::string_view line);

void fail(Words &words, std::string message, std::string remedy);
bool atEnd(const Words &words);
/// The word that comes next, without taking it; empty at the end.
std::string peek(const Words &words);
/// Takes the next word where it is this one.
bool takeIf(Words &words, std::string_view word);
/// what names the word that is wanted, for the fault.
std::string takeWord(Words &words, std::string_view what);
std::int64_t takeNumber(Words &words, std::string_view what);
Micros takeTime(Words &words, std::string_view what);
/// The words up to the end; at least one.
std::vector<std::string> takeRest(Words &words, std::string_view what);
/// Splits one word at a separator.
std::vector<std::string> splitAt(const std::string &word, char separator);
void expectEnd(Words &words);

/// Takes a word of a name table.
template <class Enum, std::size_t Size>
Enum takeNamed(Words &words, const eelgrasscove::NameTable<Enum, Size> &table,
               std::string_view what)
{
    const std::string word = takeWord(words, what);
    if (const auto value = eelgrasscove::valueNamed(table, word))
        return *value;
    std::string names;
    for (const auto &row : table)
        names += (names.empty() ? "" : ", ") + std::string(row.name_);
    fail(words, "\"" + word + "\" isn't " + std::string(what), "write one of " + names);
    return table.front().value_;
}

} // namespace scenarios
