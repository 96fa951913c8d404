#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/responsewire.h"
#include "platform/wirenames.h"

namespace eelgrasscove {

namespace {

/// Maximum length of a header's value in the log.
constexpr std::size_t maxLoggedValue = 64;

} // namespace

void Edge::recordTargetLoad(EdgeTarget &target, const HttpHead &head, Time now)
{
    const wire::LoadHeader header = wire::decodeLoad(head);
    if (!header.isPresent_)
        return;
    TargetState &state = target.state_;
    if (!header.load_) {
        countMetric("eelgrasscove_load_headers_ignored_total");
        if (!target.isLoadFaultLogged_) {
            const std::string value(head.header(wire::loadHeader));
            eventLog().note("target.load_ignored", "target", state.listed_.id_, "value",
                            value.substr(0, maxLoggedValue));
        }
        target.isLoadFaultLogged_ = true;
        return;
    }
    recordLoad(state, header.load_->running_, header.load_->waiting_, now);
    if (header.load_->workTimePercent_)
        state.workTime_ = {*header.load_->workTimePercent_, now};
}

} // namespace eelgrasscove
