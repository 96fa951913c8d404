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

constexpr std::int64_t mostTokens = 1000LL * 1000 * 1000;
constexpr std::size_t mostNameLength = 64;
constexpr std::size_t mostPathLength = 256;
constexpr std::size_t digestLength = 64;
constexpr std::size_t mostErrors = 100;

/// Paths that an entry answers itself.
constexpr std::string_view ownPaths[] = {"/v1", "/healthz", "/readyz", "/metrics", "/status"};

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

/// One line being read, word by word.
struct Line
{
    std::uint32_t number_ = 0;
    std::vector<Word> words_;
    std::size_t next_ = 0;
    /// Where a missing word would stand.
    std::uint32_t endColumn_ = 1;
    std::string_view form_;
};

/// An account named by a key or a route, looked up once all lines are read.
struct AccountUse
{
    AccountName account_;
    std::uint32_t line_ = 0;
    std::uint32_t column_ = 0;
};

/// Where a name was first declared.
using DeclaredLines = std::map<std::string, std::uint32_t>;

struct Reading
{
    const std::string *file_ = nullptr;
    Rules rules_;
    std::vector<RuleError> errors_;
    std::vector<AccountUse> accountUses_;
    DeclaredLines accountLines_;
    DeclaredLines keyLines_;
    DeclaredLines routeLines_;
};

void addError(Reading &reading, std::uint32_t line, std::uint32_t column, std::string message,
              std::string remedy)
{
    reading.errors_.push_back(
        {*reading.file_, line, column, std::move(message), std::move(remedy)});
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
    return !text.empty() && text.size() <= mostNameLength
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isHexDigest(std::string_view text)
{
    return text.size() == digestLength
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// The word as an error may show it: a key written by mistake isn't repeated.
std::string_view shown(const Word &word)
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

/// The next word; reports that it is missing.
std::optional<Word> nextWord(Reading &reading, Line &line, std::string_view what)
{
    if (line.next_ < line.words_.size())
        return line.words_[line.next_++];
    addError(reading, line.number_, line.endColumn_, fmt::format("{} is missing", what),
             fmt::format("write {}", line.form_));
    return std::nullopt;
}

bool takeKeyword(Reading &reading, Line &line, std::string_view keyword)
{
    const std::optional<Word> word = nextWord(reading, line, fmt::format("\"{}\"", keyword));
    if (!word)
        return false;
    if (word->text_ == keyword)
        return true;
    addError(reading, line.number_, word->column_,
             fmt::format("\"{}\" stands where \"{}\" is wanted", shown(*word), keyword),
             fmt::format("write {}", line.form_));
    return false;
}

std::optional<Word> takeName(Reading &reading, Line &line, std::string_view what)
{
    const std::optional<Word> word = nextWord(reading, line, what);
    if (!word || isName(word->text_))
        return word;
    addError(reading, line.number_, word->column_,
             fmt::format("\"{}\" can't be {}", word->text_, what),
             "write 1 to 64 letters, digits, dots, hyphens or underscores");
    return std::nullopt;
}

std::optional<std::int64_t> takeTokens(Reading &reading, Line &line, std::string_view what)
{
    const std::optional<Word> word = nextWord(reading, line, what);
    if (!word)
        return std::nullopt;
    std::int64_t tokens = 0;
    const char *end = word->text_.data() + word->text_.size();
    const auto [stop, error] = std::from_chars(word->text_.data(), end, tokens);
    if (error == std::errc() && stop == end && tokens >= 1 && tokens <= mostTokens)
        return tokens;
    addError(reading, line.number_, word->column_,
             fmt::format("\"{}\" can't be {}", word->text_, what),
             fmt::format("write a whole number of tokens from 1 to {}", mostTokens));
    return std::nullopt;
}

bool takeEnd(Reading &reading, Line &line)
{
    if (line.next_ == line.words_.size())
        return true;
    const Word &word = line.words_[line.next_];
    addError(reading, line.number_, word.column_,
             fmt::format("\"{}\" is more than the rule takes", shown(word)),
             fmt::format("write {}", line.form_));
    return false;
}

/// Whether the name is declared for the first time; reports it otherwise.
bool declare(Reading &reading, const Line &line, DeclaredLines &declared, const Word &name,
             std::string_view kind)
{
    const auto [first, isFirst] = declared.emplace(name.text_, line.number_);
    if (isFirst)
        return true;
    addError(reading, line.number_, name.column_,
             fmt::format("{} \"{}\" stands already in line {}", kind, name.text_, first->second),
             "remove one of the two lines, or rename one");
    return false;
}

void readAccount(Reading &reading, Line &line)
{
    line.form_ = accountForm;
    const std::optional<Word> name = takeName(reading, line, "an account's name");
    if (!name || !takeKeyword(reading, line, "rate"))
        return;
    const std::optional<std::int64_t> rate = takeTokens(reading, line, "a rate");
    if (!rate || !takeKeyword(reading, line, "burst"))
        return;
    const std::optional<std::int64_t> burst = takeTokens(reading, line, "a burst");
    if (!burst || !takeEnd(reading, line)
        || !declare(reading, line, reading.accountLines_, *name, "account"))
        return;
    AccountRule rule;
    rule.account_.text_ = name->text_;
    rule.tokensPerSecond_ = *rate;
    rule.burstTokens_ = *burst;
    reading.rules_.accounts_.emplace(rule.account_, rule);
}

std::optional<std::string> takeDigest(Reading &reading, Line &line)
{
    const std::optional<Word> word = nextWord(reading, line, "a digest");
    if (!word)
        return std::nullopt;
    if (isHexDigest(word->text_))
        return std::string(word->text_);
    // The word isn't repeated: it could be a key written here by mistake.
    addError(reading, line.number_, word->column_, "the digest isn't 64 lower-case hex digits",
             "let \"eelgrasscove key issue\" write the line; never write the key itself");
    return std::nullopt;
}

void readKey(Reading &reading, Line &line)
{
    line.form_ = keyForm;
    const std::optional<Word> id = takeName(reading, line, "a key's id");
    if (!id || !takeKeyword(reading, line, "account"))
        return;
    const std::optional<Word> account = takeName(reading, line, "an account's name");
    if (!account || !takeKeyword(reading, line, "digest"))
        return;
    const std::optional<std::string> digest = takeDigest(reading, line);
    if (!digest || !takeEnd(reading, line)
        || !declare(reading, line, reading.keyLines_, *id, "key"))
        return;
    KeyRule rule;
    rule.id_.text_ = id->text_;
    rule.account_.text_ = account->text_;
    rule.digest_ = *digest;
    reading.accountUses_.push_back({rule.account_, line.number_, account->column_});
    const auto [first, isFirst] = reading.rules_.keyByDigest_.emplace(rule.digest_, rule.id_);
    if (!isFirst) {
        addError(reading, line.number_, id->column_,
                 fmt::format("key \"{}\" has the digest of key \"{}\"", rule.id_.text_,
                             first->second.text_),
                 "remove one of the two lines");
    }
    reading.rules_.keys_.emplace(rule.id_, rule);
}

bool takeAccountList(Reading &reading, Line &line, RouteRule &rule)
{
    const std::optional<Word> list = nextWord(reading, line, "a list of accounts");
    if (!list)
        return false;
    std::size_t begin = 0;
    while (begin <= list->text_.size()) {
        const std::size_t comma = std::min(list->text_.find(',', begin), list->text_.size());
        const std::string_view name = list->text_.substr(begin, comma - begin);
        const auto column = static_cast<std::uint32_t>(list->column_ + begin);
        const AccountName account{std::string(name)};
        if (!isName(name)) {
            addError(reading, line.number_, column,
                     fmt::format("\"{}\" can't be an account's name", name),
                     "write names joined by commas, without spaces, or \"open\"");
            return false;
        }
        if (mayUse(rule, account)) {
            addError(reading, line.number_, column,
                     fmt::format("account \"{}\" stands twice in the list", name),
                     "name each account once");
            return false;
        }
        rule.accounts_.push_back(account);
        reading.accountUses_.push_back({account, line.number_, column});
        begin = comma + 1;
    }
    return true;
}

/// "account A,B" or "open".
bool takeUsers(Reading &reading, Line &line, RouteRule &rule)
{
    const std::optional<Word> word = nextWord(reading, line, "\"account\" or \"open\"");
    if (!word)
        return false;
    if (word->text_ == "open") {
        rule.openToAll_ = true;
        return true;
    }
    if (word->text_ == "account")
        return takeAccountList(reading, line, rule);
    addError(reading, line.number_, word->column_,
             fmt::format("\"{}\" stands where \"account\" or \"open\" is wanted", word->text_),
             fmt::format("write {}", line.form_));
    return false;
}

bool takeAdapter(Reading &reading, Line &line, RouteRule &rule)
{
    rule.kind_ = RouteKind::Adapter;
    const std::optional<Word> adapter = takeName(reading, line, "an adapter's name");
    if (!adapter || !takeKeyword(reading, line, "version"))
        return false;
    const std::optional<Word> version = takeName(reading, line, "a version");
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
    if (text.empty() || text.front() != '/' || text.size() > mostPathLength)
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

bool isOwnPath(std::string_view prefix)
{
    return std::any_of(std::begin(ownPaths), std::end(ownPaths), [prefix](std::string_view own) {
        return prefix.substr(0, own.size()) == own
            && (prefix.size() == own.size() || prefix[own.size()] == '/');
    });
}

bool takeService(Reading &reading, Line &line, RouteRule &rule)
{
    rule.kind_ = RouteKind::Service;
    const std::optional<Word> method = nextWord(reading, line, "a method");
    if (!method)
        return false;
    if (!isMethod(method->text_)) {
        addError(reading, line.number_, method->column_,
                 fmt::format("\"{}\" isn't a method", method->text_),
                 "write an HTTP method in capitals, or * for any");
        return false;
    }
    const std::optional<Word> prefix = nextWord(reading, line, "a path prefix");
    if (!prefix)
        return false;
    if (!isPathPrefix(prefix->text_)) {
        addError(reading, line.number_, prefix->column_,
                 fmt::format("\"{}\" isn't a path prefix", prefix->text_),
                 "write a path from / with letters, digits and . - _ ~ in its segments");
        return false;
    }
    if (isOwnPath(prefix->text_)) {
        addError(reading, line.number_, prefix->column_,
                 fmt::format("entries answer \"{}\" themselves", prefix->text_),
                 "choose another prefix");
        return false;
    }
    rule.method_ = method->text_;
    rule.pathPrefix_ = prefix->text_;
    while (rule.pathPrefix_.size() > 1 && rule.pathPrefix_.back() == '/')
        rule.pathPrefix_.pop_back();
    return true;
}

/// "adapter NAME version V" or "service METHOD /prefix".
bool takeDestination(Reading &reading, Line &line, RouteRule &rule)
{
    const std::optional<Word> word = nextWord(reading, line, "\"adapter\" or \"service\"");
    if (!word)
        return false;
    if (word->text_ == "adapter")
        return takeAdapter(reading, line, rule);
    if (word->text_ == "service")
        return takeService(reading, line, rule);
    addError(reading, line.number_, word->column_,
             fmt::format("\"{}\" stands where \"adapter\" or \"service\" is wanted", word->text_),
             fmt::format("write {}", line.form_));
    return false;
}

bool takeTargets(Reading &reading, Line &line, RouteRule &rule)
{
    if (!takeKeyword(reading, line, "targets"))
        return false;
    const std::optional<Word> group = takeName(reading, line, "a group of targets");
    if (!group)
        return false;
    rule.targets_.text_ = group->text_;
    return true;
}

bool takeIdempotence(Reading &reading, Line &line, RouteRule &rule)
{
    const std::optional<Word> word =
        nextWord(reading, line, "\"idempotent\" or \"non-idempotent\"");
    if (!word)
        return false;
    rule.idempotent_ = word->text_ == "idempotent";
    if (!rule.idempotent_ && word->text_ != "non-idempotent") {
        addError(
            reading, line.number_, word->column_,
            fmt::format("\"{}\" is neither \"idempotent\" nor \"non-idempotent\"", word->text_),
            "say whether a call may be repeated");
        return false;
    }
    if (!rule.idempotent_ && rule.kind_ == RouteKind::Adapter) {
        addError(reading, line.number_, word->column_, "an adapter's route is always idempotent",
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
        if (mayUse(right, account))
            return fmt::format("account \"{}\"", account.text_);
    }
    return "";
}

/// Reports service routes between which a call couldn't choose.
void checkOverlap(Reading &reading, const Line &line, const Word &name, const RouteRule &rule)
{
    for (const RouteName &other : reading.rules_.servicesByPrefix_[rule.pathPrefix_]) {
        const RouteRule &earlier = reading.rules_.routes_.at(other);
        const std::string user = sharedUser(earlier, rule);
        if (earlier.method_ != rule.method_ || user.empty())
            continue;
        addError(reading, line.number_, name.column_,
                 fmt::format("routes \"{}\" (line {}) and \"{}\" both take {} {} of {}",
                             other.text_, reading.routeLines_.at(other.text_), rule.route_.text_,
                             rule.method_, rule.pathPrefix_, user),
                 "give them different methods, prefixes or accounts");
    }
}

void addRoute(Reading &reading, const Line &line, const Word &name, const RouteRule &rule)
{
    if (rule.kind_ == RouteKind::Service) {
        checkOverlap(reading, line, name, rule);
        reading.rules_.servicesByPrefix_[rule.pathPrefix_].push_back(rule.route_);
    }
    reading.rules_.routes_.emplace(rule.route_, rule);
}

void readRoute(Reading &reading, Line &line)
{
    line.form_ = routeForm;
    const std::optional<Word> name = takeName(reading, line, "a route's name");
    if (!name)
        return;
    RouteRule rule;
    rule.route_.text_ = name->text_;
    const bool whole = takeUsers(reading, line, rule) && takeDestination(reading, line, rule)
        && takeTargets(reading, line, rule) && takeIdempotence(reading, line, rule)
        && takeEnd(reading, line);
    if (whole && declare(reading, line, reading.routeLines_, *name, "route"))
        addRoute(reading, line, *name, rule);
}

void readRule(Reading &reading, Line &line)
{
    const Word kind = line.words_[0];
    line.next_ = 1;
    if (kind.text_ == "account") {
        readAccount(reading, line);
    } else if (kind.text_ == "key") {
        readKey(reading, line);
    } else if (kind.text_ == "route") {
        readRoute(reading, line);
    } else {
        addError(reading, line.number_, kind.column_,
                 fmt::format("\"{}\" begins no rule", kind.text_),
                 "begin the line with account, key or route");
    }
}

void readLine(Reading &reading, std::string_view text, std::uint32_t number)
{
    const std::size_t hash = text.find('#');
    Line line;
    line.number_ = number;
    line.words_ = splitWords(text.substr(0, hash));
    if (line.words_.empty())
        return;
    const Word &last = line.words_.back();
    line.endColumn_ = last.column_ + static_cast<std::uint32_t>(last.text_.size());
    readRule(reading, line);
    const bool commented =
        hash != std::string_view::npos && !splitWords(text.substr(hash + 1)).empty();
    if (!commented) {
        addError(reading, number, line.endColumn_, "the rule has no comment on who asked for it",
                 "end the line with \"# who asked, and when\"");
    }
}

void checkAccountUses(Reading &reading)
{
    for (const AccountUse &use : reading.accountUses_) {
        if (reading.accountLines_.contains(use.account_.text_))
            continue;
        addError(reading, use.line_, use.column_,
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
    if (errors.size() > mostErrors)
        errors.resize(mostErrors);
}

} // namespace

Result<Rules, std::vector<RuleError>> parseRules(const std::string &text, const std::string &file,
                                                 Revision revision)
{
    Reading reading;
    reading.file_ = &file;
    reading.rules_.revision_ = revision;
    std::uint32_t number = 0;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        readLine(reading, std::string_view(text).substr(begin, end - begin), ++number);
        begin = end + 1;
    }
    checkAccountUses(reading);
    if (reading.errors_.empty())
        return std::move(reading.rules_);
    sortErrors(reading.errors_);
    return std::move(reading.errors_);
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
