#pragma once

/// Keeps one key of the store in being as long as the process lives.

#include "Net/httpcaller.h"

namespace eelgrasscove {

class Registration
{
public:
    Registration(EventLoop &loop, const Endpoint &store, std::string key, std::string value);

    void start();

    /// Whether the key is certain to be there still: others can't have seen it lapse.
    bool isHeld(Time now) const;

    /// Ends the lease, so that the key goes at once; calls back when it has, or has failed.
    void end(std::function<void()> ended);

private:
    void acquire();
    void write();
    void renew();
    void again(Duration pause);

    EventLoop &loop_;
    HttpCaller caller_;
    std::string key_;
    std::string value_;
    std::uint64_t lease_ = 0;
    /// When the newest call was sent that the store answered by a whole life of the lease.
    Time renewedAt_;
    bool written_ = false;
    bool ending_ = false;
};

} // namespace eelgrasscove
