#pragma once

/// The one event loop of a process, and the timer service that its parts subscribe to.

#include <eelgrasscove/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <uv.h>

namespace eelgrasscove {

/// CLOCK_BOOTTIME. Unlike the monotonic clock it goes on while a VM is suspended, so an age taken
/// from it is never too small.
Time bootNow();

using TimerId = std::uint64_t;

/// Calls back from the loop's thread, once or again and again.
class LoopTimers
{
public:
    explicit LoopTimers(uv_loop_t &loop);

    LoopTimers(const LoopTimers &) = delete;
    LoopTimers &operator=(const LoopTimers &) = delete;

    /// Calls back once after the delay. The id stays valid until then or until cancel().
    TimerId once(Duration delay, std::function<void()> callback);

    /// Calls back every period; a late call isn't made up for.
    TimerId every(Duration period, std::function<void()> callback);

    /// Does nothing for an id that is no longer valid.
    void cancel(TimerId id);

private:
    struct Entry
    {
        TimerId id_ = 0;
        Duration period_{};
        std::function<void()> callback_;
    };

    TimerId add(Duration delay, Duration period, std::function<void()> callback);
    void arm();
    void fire();

    uv_loop_t &loop_;
    uv_timer_t timer_{};
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

    /// Calls back on each SIGTERM or SIGINT, and on each SIGHUP. SIGPIPE is ignored.
    void onSignals(std::function<void()> terminate, std::function<void()> hangUp);

    /// Begins to look for standstills of the process, such as a suspended VM.
    void watchStandstills();

    /// When the process was last awake before a standstill that ended just now; empty where there
    /// was none. What is read in this round of the loop may have come at any moment since.
    std::optional<Time> asleepSince() const;

    /// Runs until stop().
    void run();
    void stop();

private:
    uv_loop_t loop_{};
    LoopTimers timers_;
    Time awakeAt_;
    uv_signal_t terminate_{};
    uv_signal_t interrupt_{};
    uv_signal_t hangUp_{};
    std::function<void()> onTerminate_;
    std::function<void()> onHangUp_;
};

} // namespace eelgrasscove
