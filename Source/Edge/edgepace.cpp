#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Peer/pacecode.h"
#include "platform/responsewire.h"
#include "platform/wirenames.h"

#include <utility>

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

void Edge::recordPaceSample(const EdgeRequest &request, Duration elapsed, Time now)
{
    EdgeTarget &target = *request.target_;
    const Duration usual = usualTime(elapsed, target.state_.workTime_, now);
    recordFirstEvent(target.state_.engineModel_, request.tokensAhead_, usual);
    recordFirstEvent(serviceModelOf(request.service_), request.tokensAhead_, usual);
}

void Edge::takeStreamFigures(EdgeTarget &target, EntryLoadRequests &message) const
{
    message.streams_ = std::exchange(target.streams_, 0);
    message.lateStreams_ = std::exchange(target.lateStreams_, 0);
    if (target.eventIntervals_.streams_ > 0)
        message.eventIntervals_ = std::exchange(target.eventIntervals_, {});
}

void Edge::applyPace(EdgeTarget &target, const EngineStateMessage &report, bool restarted)
{
    TargetState &state = target.state_;
    if (restarted) {
        target.eventIntervals_ = {};
        state.workTime_ = {};
    }
    if (report.pace_ == state.pace_)
        return;
    const double before = decodePace(state.pace_);
    state.pace_ = report.pace_;
    servicesWithNewPaces_.insert(state.listed_.service_);
    eventLog().note("target.pace", "target", state.listed_.id_, "event_micros",
                    decodePace(state.pace_), "before", before, "relative_before",
                    state.relativePace_);
}

void Edge::updateRelativePaces()
{
    for (const std::string &service : std::exchange(servicesWithNewPaces_, {}))
        updateRelativePaces(service);
}

void Edge::updateRelativePaces(const std::string &service)
{
    const std::vector<TargetState *> states = targetStates(service);
    std::vector<std::uint8_t> reported;
    reported.reserve(states.size());
    for (const TargetState *state : states)
        reported.push_back(state->pace_);
    const std::vector<double> relative = relativePaces(reported);
    for (std::size_t at = 0; at < states.size(); ++at) {
        TargetState &state = *states[at];
        const bool hasChanged = state.relativePace_ != relative[at] || !state.hasPaceMetric_;
        state.relativePace_ = relative[at];
        if (state.pace_ == 0 || !hasChanged)
            continue;
        state.hasPaceMetric_ = true;
        setGauge("eelgrasscove_target_relative_pace", metricLabel("target", state.listed_.id_),
                 relative[at]);
    }
}

} // namespace eelgrasscove
