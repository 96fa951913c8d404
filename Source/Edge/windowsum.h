#pragma once

/// Keeps a sum of amounts over a sliding time window, divided into slots.

#include <eelgrasscove/time.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace eelgrasscove {

class WindowSum
{
public:
    explicit WindowSum(Duration span) : slotLength_(span / slotCount) { }

    void add(double amount, Time now)
    {
        advance(now);
        slots_[index(slotOf(now))] += amount;
    }

    /// Returns the sum of the amounts added within the span and up to one slot length before it.
    double sum(Time now)
    {
        advance(now);
        double total = 0;
        for (const double slot : slots_)
            total += slot;
        return total;
    }

private:
    /// Number of slots in the span. One more slot is kept, of which a part is still within the
    /// span, so that a sum is never too small.
    static constexpr std::int64_t slotCount = 40;

    std::int64_t slotOf(Time now) const { return now.time_since_epoch() / slotLength_; }
    static std::size_t index(std::int64_t slot)
    {
        return static_cast<std::size_t>(slot % (slotCount + 1));
    }

    void advance(Time now)
    {
        const std::int64_t current = slotOf(now);
        const std::int64_t oldest = current - slotCount;
        for (std::int64_t slot = std::max(newest_ + 1, oldest); slot <= current; ++slot)
            slots_[index(slot)] = 0;
        newest_ = std::max(newest_, current);
    }

    Duration slotLength_;
    std::int64_t newest_ = 0;
    std::array<double, slotCount + 1> slots_{};
};

} // namespace eelgrasscove
