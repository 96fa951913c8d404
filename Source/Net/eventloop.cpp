#include "Net/eventloop.h"

#include <algorithm>
#include <csignal>
#include <ctime>

namespace eelgrasscove {

namespace {

/// The loop records that it runs once per period. A process whose latest record is older than the
/// threshold has been paused.
constexpr Duration awakeUpdatePeriod = std::chrono::milliseconds(50);
constexpr Duration minPause = std::chrono::milliseconds(400);

uv_loop_t &initialized(uv_loop_t &loop)
{
    uv_loop_init(&loop);
    return loop;
}

} // namespace

Time bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Time(std::chrono::seconds(now.tv_sec)
                + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

LoopTimers::LoopTimers(uv_loop_t &loop) : loop_(loop)
{
    uv_timer_init(&loop_, &timer_);
    timer_.data = this;
    uv_idle_init(&loop_, &pollWithoutWait_);
    uv_check_init(&loop_, &afterPoll_);
    afterPoll_.data = this;
}

TimerId LoopTimers::once(Duration delay, std::function<void()> callback)
{
    return add(delay, Duration::zero(), std::move(callback));
}

TimerId LoopTimers::every(Duration period, std::function<void()> callback)
{
    return add(period, period, std::move(callback));
}

void LoopTimers::cancel(TimerId id)
{
    const auto due = dueOf_.find(id);
    if (due == dueOf_.end())
        return;
    const auto [first, last] = entries_.equal_range(due->second);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second.id_ == id) {
            entries_.erase(entry);
            break;
        }
    }
    dueOf_.erase(due);
}

TimerId LoopTimers::add(Duration delay, Duration period, std::function<void()> callback)
{
    const TimerId id = nextId_++;
    const Time due = bootNow() + delay;
    const bool earliest = entries_.empty() || due < entries_.begin()->first;
    entries_.emplace(due, Entry{id, period, std::move(callback)});
    dueOf_[id] = due;
    if (earliest)
        startTimer();
    return id;
}

void LoopTimers::startTimer()
{
    if (entries_.empty())
        return;
    const Duration remaining = std::max(entries_.begin()->first - bootNow(), Duration::zero());
    // Rounded up, so that the timer doesn't fire just before the due time and again at once.
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
    uv_timer_start(
        &timer_,
        [](uv_timer_t *timer) { static_cast<LoopTimers *>(timer->data)->callDueTimersAfterPoll(); },
        static_cast<std::uint64_t>(millis), 0);
}

void LoopTimers::callDueTimersAfterPoll()
{
    uv_idle_start(&pollWithoutWait_, [](uv_idle_t *) {});
    uv_check_start(&afterPoll_, [](uv_check_t *check) {
        auto *timers = static_cast<LoopTimers *>(check->data);
        uv_idle_stop(&timers->pollWithoutWait_);
        uv_check_stop(check);
        timers->callDueTimers();
    });
}

void LoopTimers::callDueTimers()
{
    const Time now = bootNow();
    while (!entries_.empty() && entries_.begin()->first <= now) {
        Entry entry = std::move(entries_.begin()->second);
        entries_.erase(entries_.begin());
        dueOf_.erase(entry.id_);
        const std::function<void()> callback = entry.callback_;
        if (entry.period_ > Duration::zero()) {
            const Time due = now + entry.period_;
            dueOf_[entry.id_] = due;
            entries_.emplace(due, std::move(entry));
        }
        callback();
    }
    startTimer();
}

EventLoop::EventLoop() : timers_(initialized(loop_)) { }

// The process ends with its loop, which releases the handles that are still open.
EventLoop::~EventLoop() = default;

void EventLoop::onSignals(std::function<void()> terminate, std::function<void()> hangUp)
{
    std::signal(SIGPIPE, SIG_IGN);
    onTerminate_ = std::move(terminate);
    onHangUp_ = std::move(hangUp);
    const auto terminated = [](uv_signal_t *handle, int) {
        static_cast<EventLoop *>(handle->data)->onTerminate_();
    };
    const auto hungUp = [](uv_signal_t *handle, int) {
        static_cast<EventLoop *>(handle->data)->onHangUp_();
    };
    for (uv_signal_t *handle : {&terminate_, &interrupt_, &hangUp_}) {
        uv_signal_init(&loop_, handle);
        handle->data = this;
    }
    uv_signal_start(&terminate_, terminated, SIGTERM);
    uv_signal_start(&interrupt_, terminated, SIGINT);
    uv_signal_start(&hangUp_, hungUp, SIGHUP);
}

void EventLoop::run()
{
    uv_run(&loop_, UV_RUN_DEFAULT);
}

void EventLoop::startPauseDetection(std::function<void(Duration delay)> onDelay)
{
    lastActiveAt_ = bootNow();
    timers_.every(awakeUpdatePeriod, [this, onDelay = std::move(onDelay)] {
        const Time now = bootNow();
        const Duration delay = now - *lastActiveAt_ - awakeUpdatePeriod;
        lastActiveAt_ = now;
        if (onDelay)
            onDelay(std::max(delay, Duration::zero()));
    });
}

std::optional<Time> EventLoop::pausedSince() const
{
    // The loop reads before it calls timers, so lastActiveAt_ still has the time before the pause.
    if (!lastActiveAt_ || bootNow() - *lastActiveAt_ < minPause)
        return std::nullopt;
    return lastActiveAt_;
}

void EventLoop::stop()
{
    uv_stop(&loop_);
}

} // namespace eelgrasscove
