#include "Edge/suspectstore.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>
#include <fmt/ranges.h>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Crashes from which a held suspect is stored: from the third on, the operator bounds the requests
/// that may reach targets.
constexpr std::size_t minStoredCrashes = 3;
/// Crashes after which no further one changes whether a trial is made.
constexpr std::size_t maxDecisiveCrashes = 6;
/// Keys in the store, as the platform's operator allows.
constexpr std::size_t maxStoredSuspects = 32;

/// Age at which a record is written again while its suspect is held: half of the lifetime, so that
/// failed writes can be repeated.
constexpr Duration rewriteAge = suspectLifetime / 2;
/// The age of a listed record is unknown. It is written again after this time, when the entries
/// that have restarted together are in contact and one of them writes.
constexpr Duration listedRewriteDelay = 30s;

constexpr std::size_t keyDigits = 16;

template <class Number>
std::optional<Number> parseNumber(std::string_view text, int base)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    const bool isNumber = error == std::errc{} && end == text.data() + text.size();
    return isNumber ? std::optional(number) : std::nullopt;
}

/// Returns the text up to the next space and removes it and the space.
std::string_view nextField(std::string_view &text)
{
    const std::size_t space = std::min(text.find(' '), text.size());
    const std::string_view field = text.substr(0, space);
    text.remove_prefix(std::min(space + 1, text.size()));
    return field;
}

bool isStoredKind(const CrashSuspects &suspects, SuspectId id, const CrashRecord &record)
{
    return record.crashes_.size() >= minStoredCrashes
        && isHeld(suspects, record, kindOf(suspects, id));
}

bool isWriteDue(const StoredSuspect &copy, const CrashRecord &record, const std::string &value,
                Time now)
{
    if (!copy.isWritten_ || now - copy.writtenAt_ >= rewriteAge)
        return true;
    if (copy.value_ == value)
        return false;
    const auto stored = decodeSuspect(suspectKey(0), copy.value_);
    return !stored || stored->crashes_.size() < maxDecisiveCrashes
        || stored->trials_ != record.trials_ || stored->clearances_ != record.clearances_;
}

} // namespace

std::string suspectKey(SuspectId suspect)
{
    return fmt::format("{}{:0{}x}", suspectPrefix, suspect, keyDigits);
}

std::string encodeSuspect(const CrashRecord &record)
{
    return fmt::format("{} {} {} {:08x}", record.crashes_.size(), record.clearances_,
                       record.trials_, fmt::join(record.crashes_, " "));
}

std::optional<ReportedCrashRecord> decodeSuspect(std::string_view key, std::string_view value)
{
    if (!key.starts_with(suspectPrefix))
        return std::nullopt;
    const auto suspect = parseNumber<SuspectId>(key.substr(suspectPrefix.size()), 16);
    std::string_view rest = value;
    const auto count = parseNumber<std::size_t>(nextField(rest), 10);
    const auto clearances = parseNumber<std::uint32_t>(nextField(rest), 10);
    const auto trials = parseNumber<std::uint32_t>(nextField(rest), 10);
    if (!suspect || !count || !clearances || !trials || *count < minStoredCrashes
        || *count > maxCrashesPerRecord)
        return std::nullopt;
    CrashRecord record{*clearances, *trials, {}, {}, {}, {}};
    for (std::size_t each = 0; each < *count; ++each) {
        const auto crash = parseNumber<CrashId>(nextField(rest), 16);
        if (!crash || (!record.crashes_.empty() && *crash <= record.crashes_.back()))
            return std::nullopt;
        record.crashes_.push_back(*crash);
    }
    // Rejects other spellings of the same numbers and any text that follows.
    if (suspectKey(*suspect) != key || encodeSuspect(record) != value)
        return std::nullopt;
    return ReportedCrashRecord{*suspect, *clearances, *trials, 0, record.crashes_};
}

void recordListed(StoredSuspects &stored, SuspectId suspect, std::string value, Time now)
{
    if (stored.size() < maxStoredSuspects)
        stored[suspect] = {std::move(value), now - rewriteAge + listedRewriteDelay, true};
}

SuspectWrites planSuspectWrites(const CrashSuspects &suspects, StoredSuspects &stored,
                                bool isWriter, Time now)
{
    SuspectWrites plan;
    std::erase_if(stored, [&](const auto &each) {
        const auto record = suspects.records_.find(each.first);
        if (record != suspects.records_.end() && isStoredKind(suspects, each.first, record->second))
            return false;
        if (isWriter)
            plan.removals_.push_back(each.first);
        return true;
    });
    for (const auto &[id, record] : suspects.records_) {
        if (!isStoredKind(suspects, id, record)
            || (!stored.contains(id) && stored.size() >= maxStoredSuspects))
            continue;
        StoredSuspect &copy = stored[id];
        std::string value = encodeSuspect(record);
        if (!isWriter || !isWriteDue(copy, record, value, now))
            continue;
        copy = {value, now, true};
        plan.writes_.emplace_back(id, std::move(value));
    }
    return plan;
}

void recordRestoredSuspects(StoredSuspects &stored)
{
    for (auto &[suspect, copy] : stored)
        copy.isWritten_ = false;
}

void recordWriteFailed(StoredSuspects &stored, SuspectId suspect)
{
    if (const auto copy = stored.find(suspect); copy != stored.end())
        copy->second.isWritten_ = false;
}

} // namespace eelgrasscove
