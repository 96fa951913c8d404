#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "Peer/datagrammetrics.h"
#include "platform/requestwire.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

/// Time beyond the client's deadline for which the origin of its stream is kept.
constexpr Duration originSlack = std::chrono::seconds(1);

} // namespace

std::vector<std::string> Edge::agentHosts() const
{
    std::vector<std::string> hosts;
    for (const auto &[id, target] : targets_) {
        const TargetState &state = target->state_;
        const ServedService *service =
            rules_ ? rules_->findService(state.listed_.service_) : nullptr;
        // The agent of a target that leaves may end before the origin is asked for.
        if (service != nullptr && service->engine_ && !state.isReplaced_ && !state.notice_.leaving_)
            hosts.push_back(state.endpoint_.host_);
    }
    return hosts;
}

void Edge::sendToAgent(const std::string &host, std::string_view kind, const PeerMessage &message)
{
    std::string bytes = encodePeerMessage(message);
    countDatagrams(kind, false, 1, bytes.size());
    peersSocket_.send(std::move(bytes), {host, peersAddress_.port_});
}

void Edge::recordStreamBegin(EdgeRequest &request, Time now)
{
    const NameHash version = softwareVersionOf(request.target_->state_);
    // A request that takes a stream up has its version already.
    if (request.streamVersion_ != 0 || version == 0 || version != request.sentVersion_)
        return;
    request.streamVersion_ = version;
    if (!request.route_.resumable_)
        return;
    const Duration valid = std::max(request.clientDeadline_ - now, Duration::zero()) + originSlack;
    const StreamOriginReport report{
        streamHash(request.account_, request.id_), version,
        static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(valid).count())};
    for (const std::string &host : originKeepers(agentHosts(), report.stream_, originCopies))
        sendToAgent(host, "stream_origin", report);
}

bool Edge::continuesAtSameVersion(const EdgeRequest &request) const
{
    return request.streamVersion_ == 0 || request.stage_ != RequestStage::Sent
        || softwareVersionOf(request.target_->state_) == request.streamVersion_;
}

std::vector<TargetState *> Edge::targetStatesFor(const EdgeRequest &request)
{
    std::vector<TargetState *> states = targetStates(request.service_);
    if (request.streamVersion_ != 0) {
        std::erase_if(states, [&](const TargetState *state) {
            return softwareVersionOf(*state) != request.streamVersion_;
        });
    }
    return states;
}

bool Edge::isOriginNeeded(EdgeRequest &request, Time now)
{
    if (request.route_.kind_ != RequestKind::Stream || !request.route_.resumable_)
        return false;
    const std::optional<wire::StreamResumption> resumption = wire::decodeResumption(request.head_);
    if (!resumption)
        return false;
    request.stream_ = streamHash(request.account_, resumption->firstRequestId_);
    request.originLookup_ = OriginLookup{};
    if (!resumption->firstRequestId_.empty())
        request.originLookup_->unanswered_ =
            originKeepers(agentHosts(), request.stream_, queriedKeepers);
    request.originLookup_->startedAt_ = now;
    return true;
}

void Edge::placeNewRequest(const EdgeRequestPtr &request, Time now)
{
    if (!isOriginNeeded(*request, now)) {
        placeRequest(request);
        return;
    }
    queryOrigin(*request, now);
    checkOriginLookup(request, now);
}

void Edge::queryOrigin(EdgeRequest &request, Time now)
{
    request.originLookup_->queriedAt_ = now;
    for (const std::string &host : request.originLookup_->unanswered_)
        sendToAgent(host, "origin_query", StreamOriginQuery{request.stream_});
}

void Edge::checkOriginLookup(const EdgeRequestPtr &request, Time now)
{
    switch (progressOf(*request->originLookup_, now)) {
    case LookupProgress::Open:
        return;
    case LookupProgress::QueryDue:
        queryOrigin(*request, now);
        return;
    case LookupProgress::Unknown:
        break;
    }
    endOriginLookup(*request, "unknown", now);
    // No version may be assumed: the last target of the one that began it may have just left.
    refuse(*request, 503, "software version that began the stream is not known", {});
}

void Edge::endOriginLookup(EdgeRequest &request, std::string_view result, Time now)
{
    const std::optional<wire::StreamResumption> resumption = wire::decodeResumption(request.head_);
    eventLog().note("stream.resumption", "id", request.id_, "first_request",
                    resumption ? resumption->firstRequestId_ : "", "after",
                    resumption ? resumption->lastEventId_ : "", "origin", result, "version",
                    request.streamVersion_, "unanswered", request.originLookup_->unanswered_.size(),
                    "took_ms", (now - request.originLookup_->startedAt_).count() / 1000);
    countMetric("eelgrasscove_stream_resumptions_total", fmt::format("origin=\"{}\"", result));
    request.originLookup_.reset();
}

void Edge::applyOriginResponse(const StreamOriginResponse &response, const Endpoint &from)
{
    const Time now = bootNow();
    const auto requests = requests_;
    for (const EdgeRequestPtr &request : requests) {
        if (!request->originLookup_ || request->stream_ != response.stream_)
            continue;
        if (response.version_ == 0) {
            recordUnknownAt(*request->originLookup_, from.host_);
            checkOriginLookup(request, now);
            continue;
        }
        request->streamVersion_ = response.version_;
        selectServiceOfStream(*request);
        endOriginLookup(*request, "known", now);
        placeRequest(request);
    }
}

void Edge::selectServiceOfStream(EdgeRequest &request)
{
    for (const ServiceShare &share : request.route_.services_) {
        const std::vector<TargetState *> states = targetStates(share.service_);
        const bool hasVersion =
            std::any_of(states.begin(), states.end(), [&](const TargetState *state) {
                return softwareVersionOf(*state) == request.streamVersion_;
            });
        if (hasVersion) {
            request.service_ = share.service_;
            return;
        }
    }
}

} // namespace eelgrasscove
