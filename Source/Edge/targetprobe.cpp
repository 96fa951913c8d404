#include "Edge/targetprobe.h"

#include <utility>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A target accepts a connection, or its host refuses it, within 1 ms. A lost packet is sent again
/// after a second, so that a longer wait would only delay the next probe.
constexpr Duration probeTimeout = 300ms;

} // namespace

TargetProbe::TargetProbe(EventLoop &loop, const Endpoint &target, Callback onDone)
    : loop_(loop), onDone_(std::move(onDone)), startedAt_(bootNow())
{
    timer_ = loop_.timers().once(probeTimeout, [this] { finish(ProbeResult::NoAnswer); });
    stream_ = TcpStream::connect(loop_, target,
                                 {[this] { finish(ProbeResult::Listening); },
                                  {},
                                  [this](int error) {
                                      finish(error == UV_ECONNREFUSED ? ProbeResult::Refused
                                                                      : ProbeResult::NoAnswer);
                                  }});
}

TargetProbe::~TargetProbe()
{
    loop_.timers().cancel(timer_);
    if (stream_)
        stream_->close();
}

void TargetProbe::finish(ProbeResult result)
{
    loop_.timers().cancel(timer_);
    stream_->close();
    const Callback onDone = std::move(onDone_);
    onDone(result);
}

} // namespace eelgrasscove
