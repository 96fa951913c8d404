#include "Vm/timerservice.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

constexpr Duration idleWait = std::chrono::seconds(1);

} // namespace

TimerService::TimerService() : thread_([this] { run(); }) { }

TimerService::~TimerService()
{
    stop();
}

void TimerService::subscribe(Duration period, Callback callback)
{
    {
        const std::lock_guard guard(mutex_);
        subscriptions_.push_back({period, monotonicNow() + period, std::move(callback)});
    }
    changed_.notify_all();
}

void TimerService::stop()
{
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

Time TimerService::earliest() const
{
    Time next = monotonicNow() + idleWait;
    for (const Subscription &subscription : subscriptions_)
        next = std::min(next, subscription.next_);
    return next;
}

void TimerService::callDue(std::unique_lock<std::mutex> &lock)
{
    // Indexed, since a callback may subscribe and so move the vector.
    for (std::size_t index = 0; index < subscriptions_.size() && !stopping_; ++index) {
        const Time now = monotonicNow();
        if (subscriptions_[index].next_ > now)
            continue;
        subscriptions_[index].next_ = now + subscriptions_[index].period_;
        const Callback callback = subscriptions_[index].callback_;
        lock.unlock();
        callback(now);
        lock.lock();
    }
}

void TimerService::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        callDue(lock);
        if (!stopping_)
            changed_.wait_until(lock, earliest());
    }
}

} // namespace eelgrasscove
