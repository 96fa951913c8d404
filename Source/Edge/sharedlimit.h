#pragma once

/// Divides a limit on the requests of all entries together into quotas of single entries. Each
/// entry computes its quota from the list of entries, so no messages are needed and no entry sends
/// more while it is out of contact. Pure functions: no clock, I/O or threads.

#include <eelgrasscove/time.h>

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasscove {

/// Length of the sliding window in which an entry may use its quota once. Sends within any second
/// at the target are at most 1.2 s apart at their entries if their ways to it differ by less than
/// 200 ms; a way between data centres takes up to 150 ms.
constexpr Duration quotaWindow = std::chrono::milliseconds(1200);

/// Position of this entry among those that share the limit on one resource.
struct LimitShare
{
    /// Number of entries ranked before this one.
    std::size_t rank_ = 0;
    /// Number of known entries, including this one; 0 without a list of entries.
    std::size_t entries_ = 0;

    bool operator==(const LimitShare &) const = default;
};

/// Ranks this entry by rendezvous hashing. The order differs from resource to resource and is the
/// same at all entries. entries contains self, or is empty if the list is not known.
LimitShare limitShareOf(std::string_view self, const std::vector<std::string> &entries,
                        std::string_view resource);

/// Returns the number of sends that the entry may make in each window if the limit on the sends of
/// all entries is perSecond.
std::size_t quotaOf(const LimitShare &share, double perSecond);

/// Times of this entry's sends to one resource within the last window, in order.
using RecentSends = std::deque<Time>;

/// Adds a send and removes those that have left the window.
void recordRecentSend(RecentSends &sends, Time now);

/// Removes one send that was recorded with this time and that the resource has not received.
void removeRecentSend(RecentSends &sends, Time sentAt);

/// Returns the earliest time from now on at which one more send stays within a quota above 0.
Time nextSendAt(const RecentSends &sends, std::size_t quota, Time now);

} // namespace eelgrasscove
