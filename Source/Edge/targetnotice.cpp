#include "Edge/targetnotice.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Time for which an instance that is not listed is remembered. A target that leaves ends within
/// minutes.
constexpr Duration noticeRetention = 1h;
/// Ids come from targets, and one in trouble may name any number of them.
constexpr std::size_t maxRemembered = 10'000;

bool isEmpty(const TargetNotice &notice)
{
    return !notice.leaving_;
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
