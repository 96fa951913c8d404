#include "Edge/targetnotice.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Random part added to a pause, as a fraction of the pause and at most.
constexpr double pauseSpreadFraction = 0.2;
constexpr Duration maxPauseSpread = 1s;

/// Requests that try whether a target wants some again after its pause, until it responds to one.
constexpr std::uint32_t maxTrialRequests = 2;
/// Time after which another request is tried if the target has not responded.
constexpr Duration trialRepeatPeriod = 1s;

/// Time for which an instance that is not listed is remembered. A target that leaves ends within
/// minutes, and a pause lasts an hour at most.
constexpr Duration noticeRetention = 2h;
/// Ids come from targets, and one in trouble may name any number of them.
constexpr std::size_t maxRemembered = 10'000;

bool isEmpty(const TargetNotice &notice)
{
    return !notice.leaving_ && !notice.isOnTrial_;
}

void removeOldest(RememberedNotices &notices)
{
    const auto oldest =
        std::min_element(notices.instances_.begin(), notices.instances_.end(),
                         [](const auto &left, const auto &right) {
                             return left.second.rememberedAt_ < right.second.rememberedAt_;
                         });
    notices.instances_.erase(oldest);
}

} // namespace

void mergeNotice(TargetNotice &notice, const TargetNotice &other)
{
    if (!notice.leaving_)
        notice.leaving_ = other.leaving_;
    notice.pausedUntil_ = std::max(notice.pausedUntil_, other.pausedUntil_);
    notice.isOnTrial_ = notice.isOnTrial_ || other.isOnTrial_;
    notice.isFaultLogged_ = notice.isFaultLogged_ || other.isFaultLogged_;
}

bool isSameStart(std::uint64_t left, std::uint64_t right)
{
    return left == right || left == 0 || right == 0;
}

bool recordLeaving(TargetNotice &notice, LeavingSource source)
{
    if (notice.leaving_)
        return false;
    notice.leaving_ = source;
    return true;
}

bool recordPause(TargetNotice &notice, Duration pause, double draw, Time now)
{
    const Duration spread =
        std::min(std::chrono::duration_cast<Duration>(pause * pauseSpreadFraction), maxPauseSpread);
    const Time until = now + pause + std::chrono::duration_cast<Duration>(spread * draw);
    if (pause <= Duration::zero() || until <= notice.pausedUntil_)
        return false;
    notice.pausedUntil_ = until;
    notice.isOnTrial_ = true;
    notice.trialSends_ = 0;
    return true;
}

bool isPaused(const TargetNotice &notice, Time now)
{
    return now < notice.pausedUntil_;
}

bool isTrialPending(const TargetNotice &notice, Time now)
{
    return notice.isOnTrial_ && notice.trialSends_ >= maxTrialRequests
        && now - notice.lastTrialAt_ < trialRepeatPeriod;
}

void recordSend(TargetNotice &notice, Time now)
{
    if (!notice.isOnTrial_)
        return;
    ++notice.trialSends_;
    notice.lastTrialAt_ = now;
}

void recordAccepted(TargetNotice &notice, Time sentAt)
{
    if (sentAt < notice.pausedUntil_)
        return;
    notice.isOnTrial_ = false;
    notice.trialSends_ = 0;
}

void rememberNotice(RememberedNotices &notices, const TargetInstance &instance,
                    const TargetNotice &notice, Time now)
{
    if (isEmpty(notice))
        return;
    if (notices.instances_.size() >= maxRemembered && !notices.instances_.contains(instance))
        removeOldest(notices);
    RememberedNotices::Remembered &remembered = notices.instances_[instance];
    mergeNotice(remembered.notice_, notice);
    remembered.rememberedAt_ = now;
}

TargetNotice takeRemembered(RememberedNotices &notices, const TargetInstance &instance)
{
    TargetNotice notice;
    auto each = notices.instances_.lower_bound({instance.id_, 0});
    while (each != notices.instances_.end() && each->first.id_ == instance.id_) {
        if (isSameStart(each->first.startedAt_, instance.startedAt_)) {
            mergeNotice(notice, each->second.notice_);
            each = notices.instances_.erase(each);
        } else {
            ++each;
        }
    }
    return notice;
}

void removeExpiredNotices(RememberedNotices &notices, Time now)
{
    std::erase_if(notices.instances_, [now](const auto &each) {
        return now - each.second.rememberedAt_ > noticeRetention;
    });
}

} // namespace eelgrasscove
