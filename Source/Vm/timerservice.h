#pragma once

/// One thread that calls its subscribers when their time has come.

#include <eelgrasscove/time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace eelgrasscove {

class TimerService
{
public:
    /// Called from the timer's thread; must not block.
    using Callback = std::function<void(Time now)>;

    TimerService();
    ~TimerService();

    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Calls back every period until the service is stopped. A late call isn't made up for.
    void subscribe(Duration period, Callback callback);

    /// No callback runs after it returns.
    void stop();

private:
    struct Subscription
    {
        Duration period_;
        Time next_;
        Callback callback_;
    };

    void run();
    Time earliest() const;
    void callDue(std::unique_lock<std::mutex> &lock);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Subscription> subscriptions_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace eelgrasscove
