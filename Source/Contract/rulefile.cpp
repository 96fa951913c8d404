#include "Contract/rulefile.h"

#include "Contract/keydigest.h"
#include "Contract/rulequery.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>
#include <optional>
#include <string_view>
#include <tuple>

namespace eelgrasscove {

namespace {

constexpr std::int64_t maxTokens = 1000LL * 1000 * 1000;
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxPathLength = 256;
constexpr std::size_t digestLength = 64;
constexpr std::size_t maxErrors = 100;

/// Path prefixes that entries serve themselves.
constexpr std::string_view entryPaths[] = {"/v1", "/healthz", "/readyz", "/metrics", "/status"};

constexpr std::string_view accountForm = "account NAME rate TOKENS_PER_SECOND burst TOKENS  # who";
constexpr std::string_view keyForm = "key ID account NAME digest HEX64  # who";
constexpr std::string_view routeForm =
    "route NAME (account A[,B...] | open) (adapter NAME version V | service METHOD /prefix) "
    "targets GROUP (idempotent | non-idempotent)  # who";

struct Word
{
    std::string_view text_;
    /// Counted from 1.
    std::uint32_t column_ = 1;
};

/// The state of parsing one line word by word.
struct Line
{
    std::uint32_t number_ = 0;
    std::vector<Word> words_;
    std::size_t next_ = 0;
    /// Column at which a missing word is reported.
    std::uint32_t endColumn_ = 1;
    std::string_view form_;
};

/// A reference to an account in a key or a route, resolved after all lines are read.
struct AccountUse
{
    AccountName account_;
    std::uint32_t line_ = 0;
    std::uint32_t column_ = 0;
};

/// Number of the line in which each name was first declared.
using DeclaredLines = std::map<std::string, std::uint32_t>;

/// The state of parsing one file.
struct ParseState
{
    const std::string *file_ = nullptr;
    Rules rules_;
    std::vector<RuleError> errors_;
    std::vector<AccountUse> accountUses_;
    DeclaredLines accountLines_;
    DeclaredLines keyLines_;
    DeclaredLines routeLines_;
};

void addError(ParseState &state, std::uint32_t line, std::uint32_t column, std::string message,
              std::string remedy)
{
    state.errors_.push_back({*state.file_, line, column, std::move(message), std::move(remedy)});
}

bool isSpace(char character)
{
    return character == ' ' || character == '\t' || character == '\r';
}

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '.' || character == '-'
        || character == '_';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isHexDigest(std::string_view text)
{
    return text.size() == digestLength
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// Returns the word for use in an error; a key written by mistake is not disclosed.
std::string_view redactKey(const Word &word)
{
    return word.text_.substr(0, keyPrefix.size()) == keyPrefix ? "(a key)" : word.text_;
}

std::vector<Word> splitWords(std::string_view text)
{
    std::vector<Word> words;
    std::size_t position = 0;
    while (position < text.size()) {
        if (isSpace(text[position])) {
            ++position;
            continue;
        }
        const std::size_t begin = position;
        while (position < text.size() && !isSpace(text[position]))
            ++position;
        words.push_back(
            {text.substr(begin, position - begin), static_cast<std::uint32_t>(begin + 1)});
    }
    return words;
}

/// Returns the next word, or reports an error that it is missing.
std::optional<Word> nextWord(ParseState &state, Line &line, std::string_view what)
{
    if (line.next_ < line.words_.size())
        return line.words_[line.next_++];
    addError(state, line.number_, line.endColumn_, fmt::format("{} is missing", what),
             fmt::format("write {}", line.form_));
    return std::nullopt;
}

bool parseKeyword(ParseState &state, Line &line, std::string_view keyword)
{
    const std::optional<Word> word = nextWord(state, line, fmt::format("\"{}\"", keyword));
    if (!word)
        return false;
    if (word->text_ == keyword)
        return true;
    addError(state, line.number_, word->column_,
             fmt::format("found \"{}\" where \"{}\" is expected", redactKey(*word), keyword),
             fmt::format("write {}", line.form_));
    return false;
}

std::optional<Word> parseName(ParseState &state, Line &line, std::string_view what)
{
    const std::optional<Word> word = nextWord(state, line, what);
    if (!word || isName(word->text_))
        return word;
    addError(state, line.number_, word->column_,
             fmt::format("\"{}\" is not valid as {}", word->text_, what),
             "write 1 to 64 letters, digits, dots, hyphens or underscores");
    return std::nullopt;
}

std::optional<std::int64_t> parseTokens(ParseState &state, Line &line, std::string_view what)
{
    const std::optional<Word> word = nextWord(state, line, what);
    if (!word)
        return std::nullopt;
    std::int64_t tokens = 0;
    const char *end = word->text_.data() + word->text_.size();
    const auto [stop, error] = std::from_chars(word->text_.data(), end, tokens);
    if (error == std::errc() && stop == end && tokens >= 1 && tokens <= maxTokens)
        return tokens;
    addError(state, line.number_, word->column_,
             fmt::format("\"{}\" is not valid as {}", word->text_, what),
             fmt::format("write a whole number of tokens from 1 to {}", maxTokens));
    return std::nullopt;
}

bool parseEnd(ParseState &state, Line &line)
{
    if (line.next_ == line.words_.size())
        return true;
    const Word &word = line.words_[line.next_];
    addError(state, line.number_, word.column_,
             fmt::format("unexpected \"{}\" after the end of the rule", redactKey(word)),
             fmt::format("write {}", line.form_));
    return false;
}

/// Records the declaration of a name. Returns false and reports an error where it is a duplicate.
bool declareName(ParseState &state, const Line &line, DeclaredLines &declared, const Word &name,
                 std::string_view kind)
{
    const auto [first, isFirst] = declared.emplace(name.text_, line.number_);
    if (isFirst)
        return true;
    addError(
        state, line.number_, name.column_,
        fmt::format("{} \"{}\" is already declared in line {}", kind, name.text_, first->second),
        "remove one of the two lines, or rename one");
    return false;
}

void parseAccount(ParseState &state, Line &line)
{
    line.form_ = accountForm;
    const std::optional<Word> name = parseName(state, line, "an account's name");
    if (!name || !parseKeyword(state, line, "rate"))
        return;
    const std::optional<std::int64_t> rate = parseTokens(state, line, "a rate");
    if (!rate || !parseKeyword(state, line, "burst"))
        return;
    const std::optional<std::int64_t> burst = parseTokens(state, line, "a burst");
    if (!burst || !parseEnd(state, line)
        || !declareName(state, line, state.accountLines_, *name, "account"))
        return;
    AccountRule rule;
    rule.account_.text_ = name->text_;
    rule.tokensPerSecond_ = *rate;
    rule.burstTokens_ = *burst;
    state.rules_.accounts_.emplace(rule.account_, rule);
}

std::optional<std::string> parseDigest(ParseState &state, Line &line)
{
    const std::optional<Word> word = nextWord(state, line, "a digest");
    if (!word)
        return std::nullopt;
    if (isHexDigest(word->text_))
        return std::string(word->text_);
    // The error does not include the word, which could be a key written here by mistake.
    addError(state, line.number_, word->column_, "the digest is not 64 lower-case hex digits",
             "use the line that \"eelgrasscove key issue\" prints; never write the key itself");
    return std::nullopt;
}

void parseKey(ParseState &state, Line &line)
{
    line.form_ = keyForm;
    const std::optional<Word> id = parseName(state, line, "a key's id");
    if (!id || !parseKeyword(state, line, "account"))
        return;
    const std::optional<Word> account = parseName(state, line, "an account's name");
    if (!account || !parseKeyword(state, line, "digest"))
        return;
    const std::optional<std::string> digest = parseDigest(state, line);
    if (!digest || !parseEnd(state, line) || !declareName(state, line, state.keyLines_, *id, "key"))
        return;
    KeyRule rule;
    rule.id_.text_ = id->text_;
    rule.account_.text_ = account->text_;
    rule.digest_ = *digest;
    state.accountUses_.push_back({rule.account_, line.number_, account->column_});
    const auto [first, isFirst] = state.rules_.keyByDigest_.emplace(rule.digest_, rule.id_);
    if (!isFirst) {
        addError(state, line.number_, id->column_,
                 fmt::format("key \"{}\" has the digest of key \"{}\"", rule.id_.text_,
                             first->second.text_),
                 "remove one of the two lines");
    }
    state.rules_.keys_.emplace(rule.id_, rule);
}

bool parseAccountList(ParseState &state, Line &line, RouteRule &rule)
{
    const std::optional<Word> list = nextWord(state, line, "a list of accounts");
    if (!list)
        return false;
    std::size_t begin = 0;
    while (begin <= list->text_.size()) {
        const std::size_t comma = std::min(list->text_.find(',', begin), list->text_.size());
        const std::string_view name = list->text_.substr(begin, comma - begin);
        const auto column = static_cast<std::uint32_t>(list->column_ + begin);
        const AccountName account{std::string(name)};
        if (!isName(name)) {
            addError(state, line.number_, column,
                     fmt::format("\"{}\" is not valid as an account's name", name),
                     "write names joined by commas, without spaces, or \"open\"");
            return false;
        }
        if (canUse(rule, account)) {
            addError(state, line.number_, column,
                     fmt::format("account \"{}\" is listed twice", name), "name each account once");
            return false;
        }
        rule.accounts_.push_back(account);
        state.accountUses_.push_back({account, line.number_, column});
        begin = comma + 1;
    }
    return true;
}

/// Parses "account A,B" or "open".
bool parseUsers(ParseState &state, Line &line, RouteRule &rule)
{
    const std::optional<Word> word = nextWord(state, line, "\"account\" or \"open\"");
    if (!word)
        return false;
    if (word->text_ == "open") {
        rule.openToAll_ = true;
        return true;
    }
    if (word->text_ == "account")
        return parseAccountList(state, line, rule);
    addError(state, line.number_, word->column_,
             fmt::format("found \"{}\" where \"account\" or \"open\" is expected", word->text_),
             fmt::format("write {}", line.form_));
    return false;
}

bool parseAdapter(ParseState &state, Line &line, RouteRule &rule)
{
    rule.kind_ = RouteKind::Adapter;
    const std::optional<Word> adapter = parseName(state, line, "an adapter's name");
    if (!adapter || !parseKeyword(state, line, "version"))
        return false;
    const std::optional<Word> version = parseName(state, line, "a version");
    if (!version)
        return false;
    rule.adapter_.adapter_.text_ = adapter->text_;
    rule.adapter_.version_.text_ = version->text_;
    return true;
}

bool isMethod(std::string_view text)
{
    constexpr std::string_view capitals = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
    return text == "*"
        || (!text.empty() && text.size() <= 16
            && text.find_first_not_of(capitals) == std::string_view::npos);
}

bool isPathPrefix(std::string_view text)
{
    if (text.empty() || text.front() != '/' || text.size() > maxPathLength)
        return false;
    const auto allowed = [](char character) {
        return isNameCharacter(character) || character == '/' || character == '~';
    };
    const std::string closed = std::string(text) + "/";
    return std::all_of(text.begin(), text.end(), allowed)
        && (text == "/" || closed.find("//") == closed.size() - 2
            || closed.find("//") == std::string::npos)
        && closed.find("/./") == std::string::npos && closed.find("/../") == std::string::npos;
}

bool isEntryPath(std::string_view prefix)
{
    return std::any_of(std::begin(entryPaths), std::end(entryPaths),
                       [prefix](std::string_view own) {
                           return prefix.substr(0, own.size()) == own
                               && (prefix.size() == own.size() || prefix[own.size()] == '/');
                       });
}

bool parseService(ParseState &state, Line &line, RouteRule &rule)
{
    rule.kind_ = RouteKind::Service;
    const std::optional<Word> method = nextWord(state, line, "a method");
    if (!method)
        return false;
    if (!isMethod(method->text_)) {
        addError(state, line.number_, method->column_,
                 fmt::format("\"{}\" is not a valid method", method->text_),
                 "write an HTTP method in capitals, or * for any");
        return false;
    }
    const std::optional<Word> prefix = nextWord(state, line, "a path prefix");
    if (!prefix)
        return false;
    if (!isPathPrefix(prefix->text_)) {
        addError(
            state, line.number_, prefix->column_,
            fmt::format("\"{}\" is not a valid path prefix", prefix->text_),
            "write a path that begins with / and has letters, digits and . - _ ~ in its segments");
        return false;
    }
    if (isEntryPath(prefix->text_)) {
        addError(state, line.number_, prefix->column_,
                 fmt::format("entries serve \"{}\" themselves", prefix->text_),
                 "choose another prefix");
        return false;
    }
    rule.method_ = method->text_;
    rule.pathPrefix_ = prefix->text_;
    while (rule.pathPrefix_.size() > 1 && rule.pathPrefix_.back() == '/')
        rule.pathPrefix_.pop_back();
    return true;
}

/// Parses "adapter NAME version V" or "service METHOD /prefix".
bool parseDestination(ParseState &state, Line &line, RouteRule &rule)
{
    const std::optional<Word> word = nextWord(state, line, "\"adapter\" or \"service\"");
    if (!word)
        return false;
    if (word->text_ == "adapter")
        return parseAdapter(state, line, rule);
    if (word->text_ == "service")
        return parseService(state, line, rule);
    addError(state, line.number_, word->column_,
             fmt::format("found \"{}\" where \"adapter\" or \"service\" is expected", word->text_),
             fmt::format("write {}", line.form_));
    return false;
}

bool parseTargets(ParseState &state, Line &line, RouteRule &rule)
{
    if (!parseKeyword(state, line, "targets"))
        return false;
    const std::optional<Word> group = parseName(state, line, "a group of targets");
    if (!group)
        return false;
    rule.targets_.text_ = group->text_;
    return true;
}

bool parseIdempotence(ParseState &state, Line &line, RouteRule &rule)
{
    const std::optional<Word> word = nextWord(state, line, "\"idempotent\" or \"non-idempotent\"");
    if (!word)
        return false;
    rule.idempotent_ = word->text_ == "idempotent";
    if (!rule.idempotent_ && word->text_ != "non-idempotent") {
        addError(
            state, line.number_, word->column_,
            fmt::format("\"{}\" is neither \"idempotent\" nor \"non-idempotent\"", word->text_),
            "state whether a call may be repeated");
        return false;
    }
    if (!rule.idempotent_ && rule.kind_ == RouteKind::Adapter) {
        addError(state, line.number_, word->column_, "an adapter's route is always idempotent",
                 "write idempotent");
        return false;
    }
    return true;
}

std::string sharedUser(const RouteRule &left, const RouteRule &right)
{
    if (left.openToAll_ || right.openToAll_)
        return "every account";
    for (const AccountName &account : left.accounts_) {
        if (canUse(right, account))
            return fmt::format("account \"{}\"", account.text_);
    }
    return "";
}

/// Reports earlier service routes with the same method, prefix and account, between which the
/// choice would be ambiguous.
void checkOverlap(ParseState &state, const Line &line, const Word &name, const RouteRule &rule)
{
    for (const RouteName &other : state.rules_.servicesByPrefix_[rule.pathPrefix_]) {
        const RouteRule &earlier = state.rules_.routes_.at(other);
        const std::string user = sharedUser(earlier, rule);
        if (earlier.method_ != rule.method_ || user.empty())
            continue;
        addError(state, line.number_, name.column_,
                 fmt::format("routes \"{}\" (line {}) and \"{}\" both match {} {} for {}",
                             other.text_, state.routeLines_.at(other.text_), rule.route_.text_,
                             rule.method_, rule.pathPrefix_, user),
                 "give them different methods, prefixes or accounts");
    }
}

void addRoute(ParseState &state, const Line &line, const Word &name, const RouteRule &rule)
{
    if (rule.kind_ == RouteKind::Service) {
        checkOverlap(state, line, name, rule);
        state.rules_.servicesByPrefix_[rule.pathPrefix_].push_back(rule.route_);
    }
    state.rules_.routes_.emplace(rule.route_, rule);
}

void parseRoute(ParseState &state, Line &line)
{
    line.form_ = routeForm;
    const std::optional<Word> name = parseName(state, line, "a route's name");
    if (!name)
        return;
    RouteRule rule;
    rule.route_.text_ = name->text_;
    const bool isValid = parseUsers(state, line, rule) && parseDestination(state, line, rule)
        && parseTargets(state, line, rule) && parseIdempotence(state, line, rule)
        && parseEnd(state, line);
    if (isValid && declareName(state, line, state.routeLines_, *name, "route"))
        addRoute(state, line, *name, rule);
}

void parseRule(ParseState &state, Line &line)
{
    const Word kind = line.words_[0];
    line.next_ = 1;
    if (kind.text_ == "account") {
        parseAccount(state, line);
    } else if (kind.text_ == "key") {
        parseKey(state, line);
    } else if (kind.text_ == "route") {
        parseRoute(state, line);
    } else {
        addError(state, line.number_, kind.column_,
                 fmt::format("\"{}\" is not a kind of rule", kind.text_),
                 "begin the line with account, key or route");
    }
}

void parseLine(ParseState &state, std::string_view text, std::uint32_t number)
{
    const std::size_t hash = text.find('#');
    Line line;
    line.number_ = number;
    line.words_ = splitWords(text.substr(0, hash));
    if (line.words_.empty())
        return;
    const Word &last = line.words_.back();
    line.endColumn_ = last.column_ + static_cast<std::uint32_t>(last.text_.size());
    parseRule(state, line);
    const bool hasComment =
        hash != std::string_view::npos && !splitWords(text.substr(hash + 1)).empty();
    if (!hasComment) {
        addError(state, number, line.endColumn_, "the rule has no comment on who asked for it",
                 "end the line with \"# who asked, and when\"");
    }
}

void checkAccountUses(ParseState &state)
{
    for (const AccountUse &use : state.accountUses_) {
        if (state.accountLines_.contains(use.account_.text_))
            continue;
        addError(state, use.line_, use.column_,
                 fmt::format("there is no account \"{}\"", use.account_.text_),
                 fmt::format("add \"account {} rate ... burst ...\", or correct the name",
                             use.account_.text_));
    }
}

void sortErrors(std::vector<RuleError> &errors)
{
    std::stable_sort(
        errors.begin(), errors.end(), [](const RuleError &left, const RuleError &right) {
            return std::tie(left.line_, left.column_) < std::tie(right.line_, right.column_);
        });
    if (errors.size() > maxErrors)
        errors.resize(maxErrors);
}

} // namespace

Result<Rules, std::vector<RuleError>> parseRules(const std::string &text, const std::string &file,
                                                 Revision revision)
{
    ParseState state;
    state.file_ = &file;
    state.rules_.revision_ = revision;
    std::uint32_t number = 0;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        parseLine(state, std::string_view(text).substr(begin, end - begin), ++number);
        begin = end + 1;
    }
    checkAccountUses(state);
    if (state.errors_.empty())
        return std::move(state.rules_);
    sortErrors(state.errors_);
    return std::move(state.errors_);
}

std::string describeRuleErrors(const std::vector<RuleError> &errors)
{
    std::string text;
    for (const RuleError &error : errors) {
        text += fmt::format("{}:{}:{}: {}; {}\n", error.file_, error.line_, error.column_,
                            error.message_, error.remedy_);
    }
    return text;
}

} // namespace eelgrasscove
