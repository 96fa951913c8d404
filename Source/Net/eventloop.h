#pragma once

/// The event loop of a process, with its timers and signal handlers.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <uv.h>

namespace eelgrasscove {

/// Returns the time of CLOCK_BOOTTIME. Unlike the monotonic clock it advances while a VM is
/// suspended, so an age computed from it is never too small.
Time bootNow();

using TimerId = std::uint64_t;

/// One-shot and periodic timers, called on the loop's thread. A timer that is due is called after
/// the data that has arrived by then has been read, so that a process that was held up doesn't take
/// its own delay for the silence of a peer.
class LoopTimers
{
public:
    explicit LoopTimers(uv_loop_t &loop);

    LoopTimers(const LoopTimers &) = delete;
    LoopTimers &operator=(const LoopTimers &) = delete;

    /// Calls the callback once after the delay. The id stays valid until then or until cancel().
    TimerId once(Duration delay, std::function<void()> callback);

    /// Calls the callback once per period; missed calls are not repeated.
    TimerId every(Duration period, std::function<void()> callback);

    /// Cancels a timer; ignores an id that is no longer valid.
    void cancel(TimerId id);

private:
    struct Entry
    {
        TimerId id_ = 0;
        Duration period_{};
        std::function<void()> callback_;
    };

    TimerId add(Duration delay, Duration period, std::function<void()> callback);
    void startTimer();
    void callDueTimersAfterPoll();
    void callDueTimers();

    uv_loop_t &loop_;
    uv_timer_t timer_{};
    /// Active from the time at which a timer is due until the loop has polled once, without
    /// waiting.
    uv_idle_t pollWithoutWait_{};
    uv_check_t afterPoll_{};
    std::multimap<Time, Entry> entries_;
    std::map<TimerId, Time> dueOf_;
    TimerId nextId_ = 1;
};

/// Owns libuv's loop, the timers and the process's signals.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    uv_loop_t &uv() { return loop_; }
    LoopTimers &timers() { return timers_; }

    /// Calls terminate on each SIGTERM or SIGINT, and hangUp on each SIGHUP. Ignores SIGPIPE.
    void onSignals(std::function<void()> terminate, std::function<void()> hangUp);

    /// Starts to detect pauses of the process, such as a suspended VM. onDelay, if set, is called
    /// with the delay of the loop: the time by which a check that is due every 50 ms is late, and
    /// by which received data waits to be read.
    void startPauseDetection(std::function<void(Duration delay)> onDelay = {});

    /// Returns the time at which the process last ran before a pause that has just ended; empty if
    /// there was none. Data read in this iteration of the loop may have arrived at any time since.
    std::optional<Time> pausedSince() const;

    /// Runs until stop().
    void run();
    void stop();

private:
    uv_loop_t loop_{};
    LoopTimers timers_;
    /// Empty until startPauseDetection().
    std::optional<Time> lastActiveAt_;
    uv_signal_t terminate_{};
    uv_signal_t interrupt_{};
    uv_signal_t hangUp_{};
    std::function<void()> onTerminate_;
    std::function<void()> onHangUp_;
};

} // namespace eelgrasscove
