#pragma once

/// Connects to a target, without sending anything, to find out whether its process listens.

#include "Edge/brokenconnection.h"
#include "Net/tcpstream.h"

#include <functional>
#include <memory>

namespace eelgrasscove {

class TargetProbe
{
public:
    using Callback = std::function<void(ProbeResult result)>;

    /// Starts to connect. The callback is called once from the loop, and may destroy the probe.
    TargetProbe(EventLoop &loop, const Endpoint &target, Callback onDone);
    ~TargetProbe();

    TargetProbe(const TargetProbe &) = delete;
    TargetProbe &operator=(const TargetProbe &) = delete;

    Time startedAt() const { return startedAt_; }

private:
    void finish(ProbeResult result);

    EventLoop &loop_;
    Callback onDone_;
    Time startedAt_;
    TimerId timer_ = 0;
    std::shared_ptr<TcpStream> stream_;
};

} // namespace eelgrasscove
