#pragma once

/// Keeps one key of the store in being as long as the process lives.

#include "Net/httpcaller.h"

namespace eelgrasscove {

class Registration
{
public:
    Registration(EventLoop &loop, const Endpoint &store, std::string key, std::string value);

    void start();

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
    bool written_ = false;
    bool ending_ = false;
};

} // namespace eelgrasscove
