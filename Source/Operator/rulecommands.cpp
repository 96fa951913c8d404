#include "Operator/commands.h"

#include "Contract/keydigest.h"
#include "Contract/rulefile.h"
#include "Operator/rulediff.h"

#include <fmt/chrono.h>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

constexpr Duration retryStep = std::chrono::milliseconds(250);

ReportRow errorRow(const RuleError &error)
{
    return {{{"file", error.file_},
             {"line", static_cast<std::int64_t>(error.line_)},
             {"column", static_cast<std::int64_t>(error.column_)},
             {"message", error.message_},
             {"remedy", error.remedy_}}};
}

/// Says what is wrong with the rules, if anything is.
std::optional<Report> refuseRules(const RuleInput &input)
{
    const auto rules = parseRules(input.text_, input.file_, Revision{});
    if (ok(rules))
        return std::nullopt;
    Report report = failedReport(ExitCode::Refused, describeRuleErrors(errorOf(rules)));
    report.textOnly_ = true;
    for (const RuleError &error : errorOf(rules))
        report.rows_.push_back(errorRow(error));
    return report;
}

std::vector<ReportRow> diffRows(const std::vector<DiffLine> &diff)
{
    std::vector<ReportRow> rows;
    for (const DiffLine &line : diff) {
        const std::string side = line.side_ == DiffSide::Removed ? "removed" : "added";
        rows.push_back({{{"change", side},
                         {"line", static_cast<std::int64_t>(line.line_)},
                         {"text", line.text_}}});
    }
    return rows;
}

std::uint64_t newestRevision(const StoredHead &stored)
{
    const RuleRecord *newest = newestRecord(stored.head_);
    return newest == nullptr ? 0 : newest->revision_.value_;
}

/// The newest text; empty before the first revision.
Result<std::string, RuleStoreError> newestText(const Desk &desk, const StoredHead &stored)
{
    const RuleRecord *newest = newestRecord(stored.head_);
    if (newest == nullptr)
        return std::string();
    return readRuleText(desk.keyValue_, *newest);
}

/// Whether the newest revision is this text already.
bool isInForce(const StoredHead &stored, const std::string &text)
{
    const RuleRecord *newest = newestRecord(stored.head_);
    return newest != nullptr && newest->digest_ == textDigest(text);
}

/// Another revision is in force than the one that the file was made from.
Report conflictReport(const Desk &desk, const StoredHead &stored, const std::string &text,
                      const std::string &message)
{
    Report report = failedReport(ExitCode::Conflict, message);
    report.textOnly_ = true;
    const Result<std::string, RuleStoreError> inForce = newestText(desk, stored);
    if (!ok(inForce))
        return report;
    const std::vector<DiffLine> diff = diffRules(valueOf(inForce), text);
    report.rows_ = diffRows(diff);
    report.text_ = fmt::format("--- revision {}\n+++ your file\n{}", newestRevision(stored),
                               describeDiff(diff));
    return report;
}

/// Refuses a file that was not made from the revision in force.
std::optional<Report> refuseBase(const Desk &desk, const StoredHead &stored, const RuleInput &input,
                                 const ApplyOptions &options)
{
    const std::uint64_t inForce = newestRevision(stored);
    const std::uint64_t stated = options.base_.value_or(baseRevisionOf(input.text_));
    if (options.onLatest_ || inForce == 0 || stated == inForce)
        return std::nullopt;
    const std::string text = withoutBaseLine(input.text_);
    if (stated == 0) {
        return conflictReport(desk, stored, text,
                              fmt::format("{}:1:1: the file doesn't say which revision it was made "
                                          "from, and revision {} is in force; check the "
                                          "differences, then add --base={}",
                                          input.file_, inForce, inForce));
    }
    return conflictReport(desk, stored, text,
                          fmt::format("{}:1:1: the file was made from revision {}, but revision {} "
                                      "is in force; take the differences in, then add --base={}",
                                      input.file_, stated, inForce, inForce));
}

Report storedReport(const Desk &desk, Revision revision, Duration wait)
{
    if (wait > Duration(0))
        return awaitInForce(desk, revision, wait);
    Report report;
    report.text_ = fmt::format("revision {} is accepted\n", revision.value_);
    report.rows_.push_back({{{"revision", static_cast<std::int64_t>(revision.value_)}}});
    report.textOnly_ = true;
    return report;
}

RetryWait retryWaitOf(const Desk &desk)
{
    return [&desk](int retry) { desk.wait_(retryStep * retry); };
}

Result<RuleChange, Report> changeOf(const Desk &desk, StoredHead stored, std::string text)
{
    const Result<std::string, KeyError> writeId = generateId();
    if (!ok(writeId))
        return failedReport(ExitCode::Unreachable, errorOf(writeId).message_);
    RuleChange change;
    change.base_ = std::move(stored);
    change.text_ = std::move(text);
    change.who_ = desk.who_;
    change.atSeconds_ = desk.nowSeconds_;
    change.writeId_ = valueOf(writeId);
    return change;
}

} // namespace

Report rulesCheck(const RuleInput &input)
{
    if (std::optional<Report> refused = refuseRules(input))
        return *refused;
    const auto rules = parseRules(input.text_, input.file_, Revision{});
    Report report;
    report.rows_.push_back(
        {{{"accounts", static_cast<std::int64_t>(valueOf(rules).accounts_.size())},
          {"keys", static_cast<std::int64_t>(valueOf(rules).keys_.size())},
          {"routes", static_cast<std::int64_t>(valueOf(rules).routes_.size())}}});
    return report;
}

Report rulesApply(const Desk &desk, const RuleInput &input, const ApplyOptions &options)
{
    if (std::optional<Report> refused = refuseRules(input))
        return *refused;
    if (options.wait_ > Duration(0)) {
        const Result<std::vector<std::string>, Report> urls = statusUrls(desk);
        if (!ok(urls))
            return errorOf(urls);
    }
    const Result<StoredHead, RuleStoreError> stored = readRuleHead(desk.keyValue_);
    if (!ok(stored))
        return storeFailure(errorOf(stored));
    const std::string text = withoutBaseLine(input.text_);
    if (isInForce(valueOf(stored), text))
        return storedReport(desk, newestRecord(valueOf(stored).head_)->revision_, options.wait_);
    if (std::optional<Report> refused = refuseBase(desk, valueOf(stored), input, options))
        return *refused;
    const Result<RuleChange, Report> change = changeOf(desk, valueOf(stored), text);
    if (!ok(change))
        return errorOf(change);
    const Result<RuleRecord, RuleStoreError> record =
        storeRules(desk.keyValue_, valueOf(change), retryWaitOf(desk));
    if (ok(record))
        return storedReport(desk, valueOf(record).revision_, options.wait_);
    if (errorOf(record).failure_ != RuleStoreFailure::Conflict)
        return storeFailure(errorOf(record));
    const Result<StoredHead, RuleStoreError> newer = readRuleHead(desk.keyValue_);
    return ok(newer) ? conflictReport(desk, valueOf(newer), text,
                                      errorOf(record).message_ + "; nothing was changed")
                     : storeFailure(errorOf(record));
}

Report rulesDiff(const Desk &desk, const RuleInput &input)
{
    const Result<StoredHead, RuleStoreError> stored = readRuleHead(desk.keyValue_);
    if (!ok(stored))
        return storeFailure(errorOf(stored));
    const Result<std::string, RuleStoreError> text = newestText(desk, valueOf(stored));
    if (!ok(text))
        return storeFailure(errorOf(text));
    const std::vector<DiffLine> diff = diffRules(valueOf(text), withoutBaseLine(input.text_));
    Report report;
    report.textOnly_ = true;
    if (diff.empty())
        return report;
    report.code_ = ExitCode::Differs;
    report.text_ = fmt::format("--- revision {}\n+++ {}\n{}", newestRevision(valueOf(stored)),
                               input.file_, describeDiff(diff));
    report.rows_ = diffRows(diff);
    return report;
}

Report rulesShow(const Desk &desk, std::optional<std::uint64_t> revision)
{
    const Result<StoredHead, RuleStoreError> stored = readRuleHead(desk.keyValue_);
    if (!ok(stored))
        return storeFailure(errorOf(stored));
    const RuleHead &head = valueOf(stored).head_;
    const RuleRecord *record = revision ? recordOf(head, {*revision}) : newestRecord(head);
    if (record == nullptr) {
        return failedReport(ExitCode::NotFound,
                            revision ? fmt::format("revision {} isn't kept; see \"eelgrasscove "
                                                   "rules history\"",
                                                   *revision)
                                     : "there is no revision yet; apply a first one");
    }
    const Result<std::string, RuleStoreError> text = readRuleText(desk.keyValue_, *record);
    if (!ok(text))
        return storeFailure(errorOf(text));
    Report report;
    report.textOnly_ = true;
    report.text_ = withBaseLine(valueOf(text), record->revision_.value_);
    report.rows_.push_back({{{"revision", static_cast<std::int64_t>(record->revision_.value_)},
                             {"text", valueOf(text)}}});
    return report;
}

Report rulesHistory(const Desk &desk)
{
    const Result<StoredHead, RuleStoreError> stored = readRuleHead(desk.keyValue_);
    if (!ok(stored))
        return storeFailure(errorOf(stored));
    Report report;
    for (const RuleRecord &record : valueOf(stored).head_.records_) {
        const std::time_t at = static_cast<std::time_t>(record.atSeconds_);
        const std::string when = fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(at));
        report.rows_.push_back({{{"revision", static_cast<std::int64_t>(record.revision_.value_)},
                                 {"when", when},
                                 {"bytes", static_cast<std::int64_t>(record.bytes_)},
                                 {"digest", record.digest_.substr(0, 12)},
                                 {"who", record.who_}}});
    }
    return report;
}

} // namespace eelgrasscove
