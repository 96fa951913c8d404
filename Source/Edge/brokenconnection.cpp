#include "Edge/brokenconnection.h"

#include <algorithm>
#include <array>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Errors of a connection whose link was lost, by libuv's names.
constexpr std::array<std::string_view, 3> linkErrors = {"ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH"};

/// Time within which a crash of the target is attributed to a request whose connection broke.
constexpr Duration crashSuspicionTimeout = 2s;
/// Time by which a sign of a crash may be read before the broken connection is.
constexpr Duration crashReportLead = 500ms;

/// Probes that must find the target listening. One may be accepted by the kernel on behalf of a
/// process that is ending, which closes its connections one after the other.
constexpr std::uint32_t sufficientProbes = 2;
/// Pause between two probes. A process that ends takes less, and one that crashed is back after
/// some seconds.
constexpr Duration probePause = 100ms;

} // namespace

bool mayBeCrash(std::string_view reason)
{
    return std::find(linkErrors.begin(), linkErrors.end(), reason) == linkErrors.end();
}

bool hasAnnouncedEnd(const TargetState &target)
{
    return target.listed_.draining_ || target.isDraining_ || target.notice_.leaving_.has_value();
}

bool isProbeDue(const BrokenConnection &broken, const TargetState &target, Time now)
{
    return now >= broken.probeAfter_ && isAgentSilent(target, now);
}

void recordProbe(BrokenConnection &broken, ProbeResult result, Time startedAt, Time now)
{
    // The target may have ended after an earlier probe was accepted.
    if (startedAt < broken.brokenAt_)
        return;
    if (result == ProbeResult::Listening)
        ++broken.answeredProbes_;
    broken.probeAfter_ = now + probePause;
}

BreakCause judgeBreak(const BrokenConnection &broken, const TargetState &target, Time crashedAt,
                      Time now)
{
    if (hasAnnouncedEnd(target))
        return BreakCause::PlannedEnd;
    if (crashedAt + crashReportLead >= broken.brokenAt_)
        return BreakCause::Crash;
    if (broken.answeredProbes_ >= sufficientProbes)
        return BreakCause::ConnectionOnly;
    return now - broken.brokenAt_ > crashSuspicionTimeout ? BreakCause::NoEvidence
                                                          : BreakCause::Unknown;
}

} // namespace eelgrasscove
