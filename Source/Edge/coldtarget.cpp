#include "Edge/coldtarget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// After the cold time the limit doubles at each end of this period, until it exceeds the maximum
/// factor. Entries that learn of the end at different times then don't all send at full load.
constexpr Duration rampStep = 500ms;
constexpr int rampSteps = 5;
constexpr double maxRampFactor = 16;
static_assert((1 << rampSteps) > maxRampFactor && (1 << (rampSteps - 1)) <= maxRampFactor);

/// Maximum time from the writing of a list entry until it is applied, as the platform states it
/// (two seconds), and the delivery by a watch.
constexpr Duration maxListDelay = 3s;

double limitInStep(const ColdTarget &cold, std::int64_t step)
{
    return std::ldexp(cold.limits_.perSecond_, static_cast<int>(step));
}

/// Sets the mark unless the cold time known ends later.
void extend(ColdTarget &cold, const ColdMark &mark)
{
    const Duration left = mark.left_.value_or(cold.limits_.time_);
    if (!cold.mark_ || mark.markedAt_ + left >= coldUntil(cold))
        cold.mark_ = mark;
}

/// Ends the cold time now, so that the ramp-up begins.
void endColdTime(ColdTarget &cold, Time now)
{
    if (cold.mark_ && coldUntil(cold) > now)
        cold.mark_->left_ = now - cold.mark_->markedAt_;
}

void adoptStart(ColdTarget &cold, std::uint64_t startedAt)
{
    if (startedAt <= cold.startedAt_)
        return;
    cold.startedAt_ = startedAt;
    cold.hasInvalidStatement_ = false;
}

/// The target counts as cold once for each start: it may state invalid values all the time.
void applyInvalidStatement(ColdTarget &cold, ColdSource source, Time now)
{
    if (std::exchange(cold.hasInvalidStatement_, true))
        return;
    extend(cold, {source, now, std::nullopt});
}

/// Applies a stated time. canShorten is false if the target may have become cold after it stated
/// the time.
void applyStatedTime(ColdTarget &cold, ColdSource source, Duration left, bool canShorten, Time now)
{
    if (left == Duration::zero()) {
        if (canShorten)
            endColdTime(cold, now);
        return;
    }
    if (canShorten)
        cold.mark_ = {source, now, left};
    else
        extend(cold, {source, now, left});
}

/// Whether a list entry that is read now was written after the mark. Entries of the start that is
/// known are written after that start.
bool isWrittenSince(const ColdMark &mark, bool isKnownStart, Time now)
{
    switch (mark.source_) {
    case ColdSource::Start:
        return isKnownStart || now - mark.markedAt_ >= maxListDelay;
    case ColdSource::Refusal:
        // The start that follows is not known yet. The entry of the previous one may stay in the
        // list until its lease ends.
        return false;
    case ColdSource::List:
    case ColdSource::Response:
    case ColdSource::Up:
    case ColdSource::Evacuation:
        return now - mark.markedAt_ >= maxListDelay;
    }
    return false;
}

} // namespace

Time coldUntil(const ColdTarget &cold)
{
    if (!cold.mark_)
        return {};
    return cold.mark_->markedAt_ + cold.mark_->left_.value_or(cold.limits_.time_);
}

bool isCold(const ColdTarget &cold, Time now)
{
    return cold.limits_.perSecond_ > 0 && now < coldUntil(cold);
}

std::optional<double> coldLimitAt(const ColdTarget &cold, Time now)
{
    if (cold.limits_.perSecond_ <= 0 || !cold.mark_)
        return std::nullopt;
    const Duration past = now - coldUntil(cold);
    if (past < Duration::zero())
        return cold.limits_.perSecond_;
    const std::int64_t step = past / rampStep;
    return step < rampSteps ? std::optional(limitInStep(cold, step)) : std::nullopt;
}

Time coldSendAt(const ColdTarget &cold, Time now)
{
    const std::optional<double> limit = coldLimitAt(cold, now);
    if (!limit)
        return now;
    const Time until = coldUntil(cold);
    const Time unlimitedFrom = until + rampSteps * rampStep;
    if (const std::size_t quota = quotaOf(cold.share_, *limit); quota > 0) {
        const Time next = nextSendAt(cold.sends_, quota, std::max(now, cold.quotaFrom_));
        return std::min(next, unlimitedFrom);
    }
    for (int step = 1; step < rampSteps; ++step) {
        const Time begin = until + step * rampStep;
        if (begin > now && quotaOf(cold.share_, limitInStep(cold, step)) > 0)
            return begin;
    }
    return unlimitedFrom;
}

void recordColdSend(ColdTarget &cold, Time now)
{
    recordRecentSend(cold.sends_, now);
}

void markCold(ColdTarget &cold, ColdSource source, Time now)
{
    extend(cold, {source, now, std::nullopt});
}

void applyListedCold(ColdTarget &cold, const ListedTarget &listed, std::uint64_t revision, Time now)
{
    // The list is read again after an outage of the store; the time is left from the writing on.
    if (revision == cold.listRevision_)
        return;
    cold.listRevision_ = revision;
    const std::uint64_t startedAt = listed.startedAt_;
    const bool isKnownStart = startedAt != 0 && startedAt == cold.startedAt_;
    const bool isNewStart = cold.startedAt_ != 0 && startedAt > cold.startedAt_;
    // Without a start, or with an earlier one, the entry may have been written before a restart.
    const bool isOfThisStart = startedAt != 0 && startedAt >= cold.startedAt_;
    const bool isWrittenSinceMark = cold.mark_ && isWrittenSince(*cold.mark_, isKnownStart, now);
    adoptStart(cold, startedAt);
    switch (listed.cold_.form_) {
    case ColdForm::Absent:
        if (isNewStart)
            extend(cold, {ColdSource::List, now, std::nullopt});
        break;
    case ColdForm::Invalid:
        applyInvalidStatement(cold, ColdSource::List, now);
        break;
    case ColdForm::Stated:
        applyStatedTime(cold, ColdSource::List, listed.cold_.left_,
                        isOfThisStart && (isNewStart || !cold.mark_ || isWrittenSinceMark), now);
        break;
    }
}

void applyStatedCold(ColdTarget &cold, const ColdStatement &statement, Time sentAt, Time now)
{
    // The response to a request sent before the mark may come from before the restart.
    const bool canShorten = !cold.mark_ || sentAt >= cold.mark_->markedAt_;
    if (statement.form_ == ColdForm::Stated)
        applyStatedTime(cold, ColdSource::Response, statement.left_, canShorten, now);
    else if (statement.form_ == ColdForm::Invalid)
        applyInvalidStatement(cold, ColdSource::Response, now);
}

void applyReportedStart(ColdTarget &cold, const std::optional<ReportedStart> &before,
                        const ReportedStart &report, Time now)
{
    const bool isKnownStart = report.startedAt_ == cold.startedAt_ || report.startedAt_ == 0;
    const bool hasRestarted = !isKnownStart
        && (before ? report.startedAt_ != before->startedAt_
                   : cold.startedAt_ != 0 && report.startedAt_ > cold.startedAt_);
    const bool isUpAgain = before && !before->isUp_ && report.isUp_;
    adoptStart(cold, report.startedAt_);
    if (hasRestarted)
        markCold(cold, ColdSource::Start, now);
    else if (isUpAgain)
        markCold(cold, ColdSource::Up, now);
}

} // namespace eelgrasscove
