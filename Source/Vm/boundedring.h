#pragma once

/// The only way in which threads hand work to each other.

#include <eelgrasscove/time.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace eelgrasscove {

/// A queue of bounded length for any number of writers and one reader. A full ring refuses; it
/// neither blocks its writer nor drops what it holds.
template <class T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity) : capacity_(capacity) { }

    /// False where the ring is full or closed; item is then untouched.
    bool tryPush(T &&item)
    {
        {
            const std::lock_guard guard(mutex_);
            if (closed_ || items_.size() >= capacity_)
                return false;
            items_.push_back(std::move(item));
        }
        filled_.notify_one();
        return true;
    }

    /// The oldest item; empty once the ring is closed and drained, or after the wait.
    std::optional<T> pop(Duration wait)
    {
        std::unique_lock lock(mutex_);
        filled_.wait_for(lock, wait, [this] { return closed_ || !items_.empty(); });
        if (items_.empty())
            return std::nullopt;
        std::optional<T> item(std::move(items_.front()));
        items_.pop_front();
        return item;
    }

    void close()
    {
        {
            const std::lock_guard guard(mutex_);
            closed_ = true;
        }
        filled_.notify_all();
    }

    bool closed() const
    {
        const std::lock_guard guard(mutex_);
        return closed_;
    }

    std::size_t size() const
    {
        const std::lock_guard guard(mutex_);
        return items_.size();
    }

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable filled_;
    std::deque<T> items_;
    bool closed_ = false;
};

} // namespace eelgrasscove
