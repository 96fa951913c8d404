#include "Operator/commands.h"

#include "Contract/keydigest.h"
#include "Contract/rulefile.h"

#include <fmt/chrono.h>
#include <fmt/core.h>
#include <functional>

namespace eelgrasscove {

namespace {

/// Changes of other operators that are taken in before giving up.
constexpr int mostConflicts = 10;
constexpr Duration retryStep = std::chrono::milliseconds(250);

/// A change of the rule file that can be made again on a newer revision.
using TextEdit = std::function<Result<std::string, Report>(const std::string &text)>;

std::string today(const Desk &desk)
{
    const std::time_t at = static_cast<std::time_t>(desk.nowSeconds_);
    return fmt::format("{:%Y-%m-%d}", fmt::gmtime(at));
}

/// The line that is split into words, up to its comment.
std::vector<std::string> wordsOf(const std::string &line)
{
    std::vector<std::string> words;
    std::string word;
    for (const char character : line.substr(0, line.find('#')) + " ") {
        if (character != ' ' && character != '\t' && character != '\r') {
            word += character;
        } else if (!word.empty()) {
            words.push_back(word);
            word.clear();
        }
    }
    return words;
}

bool isKeyLine(const std::string &line, const KeyId &key)
{
    const std::vector<std::string> words = wordsOf(line);
    return words.size() >= 2 && words[0] == "key" && words[1] == key.text_;
}

Result<std::string, Report> withoutKey(const std::string &text, const KeyId &key)
{
    std::string kept;
    bool found = false;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string line = text.substr(begin, end - begin);
        if (isKeyLine(line, key))
            found = true;
        else
            kept += line + "\n";
        begin = end + 1;
    }
    if (!found) {
        return failedReport(
            ExitCode::NotFound,
            fmt::format("there is no key \"{}\"; see \"eelgrasscove rules show\"", key.text_));
    }
    return kept;
}

Result<std::string, Report> withKey(const std::string &text, const std::string &line)
{
    const bool closed = text.empty() || text.back() == '\n';
    std::string edited = text + (closed ? "" : "\n") + line;
    const auto rules = parseRules(edited, "rules in force", Revision{});
    if (!ok(rules))
        return failedReport(ExitCode::Refused, describeRuleErrors(errorOf(rules)));
    return edited;
}

Result<std::string, Report> textInForce(const Desk &desk, const StoredHead &stored)
{
    const RuleRecord *newest = newestRecord(stored.head_);
    if (newest == nullptr)
        return failedReport(ExitCode::NotFound, "there is no revision yet; apply a first one");
    const Result<std::string, RuleStoreError> text = readRuleText(desk.keyValue_, *newest);
    if (!ok(text))
        return storeFailure(errorOf(text));
    return valueOf(text);
}

/// Makes the edit on the revision in force, again where another operator's change came first.
Result<RuleRecord, Report> editRules(const Desk &desk, const TextEdit &edit)
{
    RuleStoreError conflict;
    for (int attempt = 0; attempt < mostConflicts; ++attempt) {
        const Result<StoredHead, RuleStoreError> stored = readRuleHead(desk.keyValue_);
        if (!ok(stored))
            return storeFailure(errorOf(stored));
        const Result<std::string, Report> text = textInForce(desk, valueOf(stored));
        if (!ok(text))
            return errorOf(text);
        const Result<std::string, Report> edited = edit(valueOf(text));
        if (!ok(edited))
            return errorOf(edited);
        const Result<std::string, KeyError> writeId = generateId();
        if (!ok(writeId))
            return failedReport(ExitCode::Unreachable, errorOf(writeId).message_);
        const RuleChange change{valueOf(stored), valueOf(edited), desk.who_, desk.nowSeconds_,
                                valueOf(writeId)};
        const auto wait = [&desk](int retry) { desk.wait_(retryStep * retry); };
        const Result<RuleRecord, RuleStoreError> record = storeRules(desk.keyValue_, change, wait);
        if (ok(record))
            return valueOf(record);
        conflict = errorOf(record);
        if (conflict.failure_ != RuleStoreFailure::Conflict)
            return storeFailure(conflict);
    }
    return storeFailure(conflict);
}

Report inForce(const Desk &desk, const RuleRecord &record, Duration wait)
{
    if (wait > Duration(0))
        return awaitInForce(desk, record.revision_, wait);
    Report report;
    report.text_ = fmt::format("revision {} is accepted\n", record.revision_.value_);
    return report;
}

} // namespace

Report keyIssue(const Desk &desk, const AccountName &account, Duration wait)
{
    if (desk.settings_.keys_.digestSecret_.empty()) {
        return failedReport(ExitCode::Usage,
                            "the settings lack the secret of the key digests; add digest_secret "
                            "under [keys], the same as the entries'");
    }
    const Result<std::string, KeyError> key = generateKey();
    const Result<std::string, KeyError> suffix = generateId();
    if (!ok(key) || !ok(suffix))
        return failedReport(ExitCode::Unreachable, "the system's random source gave nothing");
    const std::string id = account.text_ + "-" + valueOf(suffix);
    const std::string digest = keyDigest(desk.settings_.keys_.digestSecret_, valueOf(key));
    const std::string line = fmt::format("key {} account {} digest {}  # {}, {}\n", id,
                                         account.text_, digest, desk.who_, today(desk));
    const Result<RuleRecord, Report> record =
        editRules(desk, [&line](const std::string &text) { return withKey(text, line); });
    if (!ok(record)) {
        Report report = errorOf(record);
        if (report.code_ == ExitCode::Unknown)
            report.error_ += "if key " + id + " appears there, withdraw it and issue another\n";
        return report;
    }
    Report report = inForce(desk, valueOf(record), wait);
    // The key is lost unless it is shown now, in force everywhere or not.
    report.text_ = fmt::format("id  {}\nkey {}\n", id, valueOf(key)) + report.text_;
    report.rows_ = {{{{"id", id},
                      {"key", valueOf(key)},
                      {"account", account.text_},
                      {"revision", static_cast<std::int64_t>(valueOf(record).revision_.value_)}}}};
    report.textOnly_ = true;
    return report;
}

Report keyWithdraw(const Desk &desk, const KeyId &key, Duration wait)
{
    const Result<RuleRecord, Report> record =
        editRules(desk, [&key](const std::string &text) { return withoutKey(text, key); });
    if (!ok(record))
        return errorOf(record);
    Report report = inForce(desk, valueOf(record), wait);
    report.text_ = fmt::format("key {} is withdrawn\n", key.text_) + report.text_;
    return report;
}

} // namespace eelgrasscove
