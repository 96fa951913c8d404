#include "Edge/buffers.h"
#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Headers of a target's response that are not forwarded to the client.
constexpr std::array<std::string_view, 4> internalHeaders = {
    wire::loadHeader, wire::notRunHeader, wire::leavingHeader, wire::coldRemainingHeader};

constexpr unsigned wrongTargetStatus = 421;

/// Statuses that promise to a client that its request was not and won't be executed.
constexpr std::array<unsigned, 4> notRunStatuses = {408, wrongTargetStatus, 429, 503};

constexpr std::string_view eventStreamType = "text/event-stream";

/// Weights of outcomes in the target's failure ratio. A request that the target did not execute
/// counts less than an error or a broken connection.
constexpr double errorWeight = 1.0;
constexpr double notExecutedWeight = 0.5;
constexpr double brokenWeight = 1.0;

/// A target that still writes events this long after the first one has not been crashed by the
/// request.
constexpr Duration soundStreamTime = 300ms;

/// Maximum time for which a stream to be resumed may wait for a target: its client disconnects
/// after two seconds without an event.
constexpr Duration maxResumeWait = 1500ms;

/// Limits on the bytes of a response that are kept in memory: a whole body, which is forwarded when
/// it is complete, and a single event of a stream. A target in trouble may send bytes without end.
constexpr std::size_t maxBodyBytes = 8UL * 1024 * 1024;
constexpr std::size_t maxEventBytes = 1024UL * 1024;

/// Parts of the limit on all buffers after each of which they are added up.
constexpr std::size_t bufferChecksPerLimit = 16;

/// Intervals between events that are kept of a stream to learn the pace of its target.
constexpr std::size_t maxEventIntervals = 48;

/// Maximum number of queued requests tried after a response, which frees room for one request.
constexpr std::size_t maxTriedAfterResponse = 4;

/// Clears the text; clear() alone keeps its memory.
void releaseMemory(std::string &text)
{
    std::string().swap(text);
}

/// Returns the id of the last event that has one, or an empty string.
std::string lastEventIdOf(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t at = events.rfind(field);
    while (at != std::string_view::npos && at > 0 && events[at - 1] != '\n')
        at = events.rfind(field, at - 1);
    if (at == std::string_view::npos)
        return {};
    std::string_view id = events.substr(at + field.size());
    id = id.substr(0, id.find_first_of("\r\n"));
    while (!id.empty() && id.front() == ' ')
        id.remove_prefix(1);
    return std::string(id);
}

/// Returns the id of the first event, empty if it has none; nullopt if there are only comments.
std::optional<std::string_view> firstEventIdOf(std::string_view events)
{
    constexpr std::string_view field = "id:";
    bool isInEvent = false;
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size() - 1);
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with(field)) {
            line.remove_prefix(std::min(line.find_first_not_of(' ', field.size()), line.size()));
            return line;
        }
        if (line.empty() && isInEvent)
            return "";
        isInEvent = isInEvent || (!line.empty() && line.front() != ':');
    }
    return isInEvent ? std::optional<std::string_view>("") : std::nullopt;
}

/// Returns whether an event with this id may follow the event with the id lastId in a stream.
bool isLaterEventId(std::string_view id, std::string_view lastId)
{
    const auto numberOf = [](std::string_view text) -> std::optional<std::uint64_t> {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool isNumber = error == std::errc{} && end == text.data() + text.size();
        return isNumber ? std::optional(number) : std::nullopt;
    };
    const auto number = numberOf(id);
    const auto lastNumber = numberOf(lastId);
    return number && lastNumber ? *number > *lastNumber : !id.empty() && id != lastId;
}

bool isSuccess(unsigned status)
{
    return status >= 200 && status < 300;
}

/// Returns whether the response proves that the target didn't execute the request. Without the id
/// of the request it may be a repetition of the response to an earlier one.
bool provesNotRun(const HttpHead &response, std::string_view requestId)
{
    return !isSuccess(response.status_)
        && (response.status_ == wrongTargetStatus || response.hasHeader(wire::notRunHeader))
        && response.header(wire::requestIdHeader) == requestId;
}

/// Returns whether the response promises, also to a client, that the request was not executed.
bool claimsNotRun(const HttpHead &response)
{
    return response.hasHeader(wire::notRunHeader)
        || std::find(notRunStatuses.begin(), notRunStatuses.end(), response.status_)
        != notRunStatuses.end();
}

/// Returns the size of the events that are complete, that is, followed by an empty line.
std::size_t completeEventsSize(std::string_view bytes)
{
    const auto endAfter = [bytes](std::string_view lineEnds) {
        const std::size_t at = bytes.rfind(lineEnds);
        return at == std::string_view::npos ? 0 : at + lineEnds.size();
    };
    return std::max(endAfter("\n\n"), endAfter("\n\r\n"));
}

/// Returns whether the response of a target is forwarded event by event.
bool isEventStream(const EdgeRequest &request)
{
    const std::string_view type = request.response_.header("Content-Type");
    return request.route_.kind_ == RequestKind::Stream && request.response_.status_ == 200
        && request.response_.hasHeader(wire::signatureHeader)
        && (type.empty()
            || equalIgnoringCase(type.substr(0, eventStreamType.size()), eventStreamType));
}

/// Returns false if the events received from the target can't follow those that an earlier target
/// of the same stream has sent.
bool continuesStream(const EdgeRequest &request)
{
    if (!request.firstEventForwarded_ || request.stage_ != RequestStage::Sent)
        return true;
    const std::string_view bytes = request.responseBody_;
    const auto id = firstEventIdOf(bytes.substr(0, completeEventsSize(bytes)));
    return !id || isLaterEventId(*id, request.lastEventId_);
}

/// Returns whether the response states where it ends. Otherwise a crash can't be distinguished
/// from its end.
bool isFramed(const HttpHead &response)
{
    return response.hasHeader("Content-Length") || response.hasHeader("Transfer-Encoding");
}

/// Returns whether a stream whose connection or framing ended in order was broken off all the same:
/// inside an event, or before the first one where only the end of the connection marks its end.
bool isBrokenOff(const EdgeRequest &request)
{
    if (!isEventStream(request))
        return false;
    if (request.responseBody_.find_first_not_of("\r\n") != std::string::npos)
        return true;
    return request.stage_ == RequestStage::Sent && !isFramed(request.response_);
}

} // namespace

void Edge::onResponseHead(const EdgeRequestPtr &request, HttpHead &&head)
{
    const Time now = bootNow();
    request->responseHeadReceived_ = true;
    request->target_->state_.lastContactAt_ = now;
    recordTargetLoad(*request->target_, head, now);
    request->response_ = std::move(head);
}

std::string Edge::formatResponseHeaders(const HttpHead &head) const
{
    std::string text;
    for (const HttpHeader &header : head.headers_) {
        const bool isInternal =
            std::any_of(internalHeaders.begin(), internalHeaders.end(),
                        [&](auto each) { return equalIgnoringCase(each, header.name_); });
        // A target's pause concerns this entry; another target may take the client's next request.
        const bool isPause =
            head.status_ == 503 && equalIgnoringCase(header.name_, wire::retryAfterHeader);
        if (!isInternal && !isPause && !isConnectionHeader(header.name_))
            appendHeader(text, header.name_, header.value_);
    }
    return text;
}

void Edge::onResponseBody(const EdgeRequestPtr &request, std::string_view bytes)
{
    const Time now = bootNow();
    request->responseBody_ += bytes;
    request->target_->state_.lastContactAt_ = now;
    const bool stream = isEventStream(*request);
    const auto session = request->session_.lock();
    std::string_view fault;
    if (stream && !continuesStream(*request))
        fault = "events don't continue the stream after the last event";
    else if (stream && !continuesAtSameVersion(*request))
        fault = "target started with another software version";
    else if (stream && session)
        forwardEvents(*request, *session, false, now);
    if (request->stage_ == RequestStage::Streaming && request->sendFirstEventAt_ == now
        && !request->model_.empty())
        placeWaitingRequestsAt(request->service_, {request->target_}, maxTriedAfterResponse);
    if (fault.empty() && request->responseBody_.size() > (stream ? maxEventBytes : maxBodyBytes))
        fault = "response exceeds the size limit";
    if (!fault.empty() && request->connection_) {
        request->connection_->cancel();
        onExchangeEnd(request, ExchangeEnd::Garbled, fault);
    }
    uncheckedResponseBytes_ += bytes.size();
    if (uncheckedResponseBytes_ > bufferLimit(settings_.memoryMb_) / bufferChecksPerLimit)
        limitBuffers();
}

void Edge::limitBuffers()
{
    uncheckedResponseBytes_ = 0;
    std::vector<Buffer> buffers;
    std::vector<EdgeRequestPtr> requests;
    std::vector<std::shared_ptr<ClientSession>> sessions;
    for (const EdgeRequestPtr &request : requests_) {
        buffers.push_back({BufferKind::Response, request->responseBody_.capacity()});
        requests.push_back(request);
    }
    for (const auto &session : sessions_) {
        buffers.push_back({BufferKind::Client, session->bufferedBytes()});
        sessions.push_back(session);
    }
    const std::size_t total = totalBytes(buffers);
    const std::size_t limit = bufferLimit(settings_.memoryMb_);
    setGauge("eelgrasscove_buffered_bytes", "", static_cast<double>(total));
    for (const std::size_t index : buffersToGiveUp(buffers, limit)) {
        const Buffer &buffer = buffers[index];
        const bool isResponse = buffer.kind_ == BufferKind::Response;
        const std::string id =
            isResponse ? requests[index]->id_ : sessions[index - requests.size()]->lastRequestId_;
        countMetric("eelgrasscove_buffers_given_up_total",
                    fmt::format("kind=\"{}\"", nameOf(bufferKindNames, buffer.kind_)));
        eventLog().note("buffer.given_up", "kind", nameOf(bufferKindNames, buffer.kind_), "bytes",
                        buffer.bytes_, "total_bytes", total, "limit_bytes", limit, "id", id);
        if (isResponse)
            giveUpResponse(requests[index]);
        else
            giveUpSession(sessions[index - requests.size()]);
    }
}

void Edge::giveUpResponse(const EdgeRequestPtr &request)
{
    if (!request->connection_)
        return;
    request->connection_->cancel();
    onExchangeEnd(request, ExchangeEnd::Garbled, "buffers exceed the memory limit");
}

void Edge::giveUpSession(const std::shared_ptr<ClientSession> &session)
{
    const auto request = std::static_pointer_cast<EdgeRequest>(session->attachment_);
    if (request && request->stage_ != RequestStage::Ended)
        endRequest(*request, 0, "buffers exceed the memory limit");
    session->abort();
}

void Edge::forwardEvents(EdgeRequest &request, ClientSession &session, bool all, Time now)
{
    // A target may stop in the middle of an event, so only complete events are forwarded.
    std::string &bytes = request.responseBody_;
    const std::size_t completeSize = all ? bytes.size() : completeEventsSize(bytes);
    if (completeSize == 0)
        return;
    const std::string_view events = std::string_view(bytes).substr(0, completeSize);
    if (std::string id = lastEventIdOf(events); !id.empty())
        request.lastEventId_ = std::move(id);
    if (request.stage_ == RequestStage::Sent)
        recordBegin(request, now);
    request.stage_ = RequestStage::Streaming;
    if (request.firstEventForwarded_) {
        const Duration interval = now - request.lastEventAt_;
        request.longestPause_ = std::max(request.longestPause_, interval);
        if (request.eventIntervals_.size() < maxEventIntervals)
            request.eventIntervals_.push_back(
                std::chrono::duration<float, std::milli>(interval).count());
        session.sendStreamBytes(events);
    } else {
        recordStreamBegin(request, now);
        request.firstEventForwarded_ = true;
        request.firstEventAt_ = now;
        session.beginStream(request.response_.status_, formatResponseHeaders(request.response_),
                            events);
    }
    request.lastEventAt_ = now;
    if (now - request.sendFirstEventAt_ >= soundStreamTime)
        recordSoundRequest(request, now);
    bytes.erase(0, completeSize);
}

void Edge::onExchangeEnd(const EdgeRequestPtr &request, ExchangeEnd end, std::string_view reason)
{
    const Time now = bootNow();
    const std::shared_ptr<EdgeTarget> target = request->target_;
    request->connection_.reset();
    if (end == ExchangeEnd::Complete && isBrokenOff(*request)) {
        end = ExchangeEnd::Broken;
        reason = "stream ended inside or before an event";
    }
    if (end == ExchangeEnd::Complete) {
        completionsOf(request->service_).add(1, now);
        finishResponse(request);
        return;
    }
    if (end == ExchangeEnd::Withdrawn) {
        // No repeat in the retry budget, as the target has not seen it.
        removeColdSend(*request);
        --request->sends_;
        request->triedTargets_.erase(target->state_.listed_.id_);
        countMetric("eelgrasscove_sends_withdrawn_total");
        onRequestNotRun(request, reason);
        return;
    }
    eventLog().note("send.failed", "id", request->id_, "target", target->state_.listed_.id_, "end",
                    nameOf(exchangeEndNames, end), "reason", reason, "sent_ms_ago",
                    (now - request->sentAt_).count() / 1000);
    recordOutcome(target->state_, brokenWeight);
    if (end == ExchangeEnd::NeverSent) {
        if (reason == "ECONNREFUSED")
            recordRefusal(*target, now);
        onRequestNotRun(request, "connection to the target failed");
        return;
    }
    ++request->runs_;
    request->isTrial_ = false;
    suspectCrash(*request, reason, now);
    onRequestFailed(request, 502, reason);
}

void Edge::recordStream(const EdgeRequest &request)
{
    EdgeTarget &target = *request.target_;
    const ServingRoute &route = request.route_;
    const bool firstEventLate = route.objective_ > Duration::zero()
        && request.firstEventAt_ - request.sentAt_ > route.objective_;
    const bool paused =
        route.pauseObjective_ > Duration::zero() && request.longestPause_ > route.pauseObjective_;
    addStream(target.eventIntervals_, request.eventIntervals_);
    ++target.streams_;
    target.lateStreams_ += firstEventLate || paused ? 1 : 0;
}

void Edge::finishResponse(const EdgeRequestPtr &request)
{
    const auto session = request->session_.lock();
    const std::shared_ptr<EdgeTarget> target = request->target_;
    TargetState &state = target->state_;
    const unsigned status = request->response_.status_;
    if (provesNotRun(request->response_, request->id_)) {
        const std::string_view id = request->response_.header(wire::targetIdHeader);
        if (status == wrongTargetStatus && !id.empty() && id != state.listed_.id_)
            state.isReplaced_ = true;
        else if (status == wrongTargetStatus && !request->adapter_.empty())
            state.adapters_.erase(nameHash(request->adapter_));
        else
            recordOutcome(state, notExecutedWeight);
        onRequestNotRun(request, fmt::format("target responded with status {}", status));
        return;
    }
    ++request->runs_;
    request->isTrial_ = false;
    if (claimsNotRun(request->response_)) {
        recordOutcome(state, errorWeight);
        onRequestFailed(
            request, 502,
            fmt::format("status {} claims, without proof, that the request was not run", status));
        return;
    }
    if (isSuccess(status) && !request->response_.hasHeader(wire::signatureHeader)) {
        recordOutcome(state, errorWeight);
        onRequestFailed(request, 502, "successful response without signature");
        return;
    }
    if (request->firstEventForwarded_ && !isEventStream(*request)) {
        recordOutcome(state, errorWeight);
        onRequestFailed(request, 502,
                        fmt::format("no stream but a response with status {}", status));
        return;
    }
    if (status >= 500) {
        recordOutcome(state, errorWeight);
        if (request->route_.kind_ == RequestKind::Idempotent
            && request->runs_ < request->route_.mostTargets_) {
            onRequestFailed(request, status, "target reported an error");
            return;
        }
    } else {
        recordOutcome(state, 0);
        if (isSuccess(status) && isFramed(request->response_))
            recordSoundRequest(*request, bootNow());
    }
    if (!session) {
        endRequest(*request, status, "client disconnected");
        return;
    }
    if (request->firstEventForwarded_) {
        forwardEvents(*request, *session, true, bootNow());
        if (request->runs_ == 1)
            recordStream(*request);
        endRequest(*request, status, "served");
        session->endStream();
    } else {
        endRequest(*request, status,
                   isSuccess(status) ? "served" : "error response of the target forwarded");
        session->sendResponse(status, formatResponseHeaders(request->response_),
                              request->responseBody_);
    }
    placeWaitingRequestsAt(state.listed_.service_, {target}, maxTriedAfterResponse);
}

void Edge::onRequestNotRun(const EdgeRequestPtr &request, std::string_view reason)
{
    detachFromTarget(*request);
    eventLog().note("send.not_run", "id", request->id_, "target",
                    request->target_ ? request->target_->state_.listed_.id_ : "", "reason", reason);
    countMetric("eelgrasscove_sends_not_run_total");
    request->stage_ = RequestStage::Waiting;
    request->responseHeadReceived_ = false;
    releaseMemory(request->responseBody_);
    placeRequest(request);
}

void Edge::onRequestFailed(const EdgeRequestPtr &request, unsigned status, std::string_view reason)
{
    detachFromTarget(*request);
    const auto session = request->session_.lock();
    const bool resumable =
        request->route_.kind_ == RequestKind::Stream && request->route_.resumable_;
    const bool repeatable = request->route_.kind_ == RequestKind::Idempotent || resumable;
    const bool canRetry = repeatable && request->runs_ < request->route_.mostTargets_;
    if (request->firstEventForwarded_) {
        const bool isVersionKnown = request->streamVersion_ != 0;
        if (!canRetry || request->lastEventId_.empty() || !isVersionKnown) {
            endRequest(*request, 0,
                       fmt::format("stream interrupted{}: {}",
                                   isVersionKnown ? "" : ", its software version is not known",
                                   reason));
            if (session)
                session->abort();
            return;
        }
        request->waitUntil_ = bootNow() + maxResumeWait;
        eventLog().note("stream.resumes", "id", request->id_, "after", request->lastEventId_,
                        "reason", reason);
    }
    if (canRetry) {
        request->stage_ = RequestStage::Waiting;
        request->responseHeadReceived_ = false;
        releaseMemory(request->responseBody_);
        placeRequest(request);
        return;
    }
    if (status != 502 && session) {
        endRequest(*request, status, reason);
        session->sendResponse(status, formatResponseHeaders(request->response_),
                              request->responseBody_);
        return;
    }
    refuse(*request, status, reason, {});
}

void Edge::recordBegin(EdgeRequest &request, Time now)
{
    request.sendFirstEventAt_ = now;
    if (!request.isInBacklog_)
        return;
    const Duration elapsed = now - request.sentAt_;
    recordPaceSample(request, elapsed, now);
    if (request.predictedFirstEvent_ > Duration::zero()) {
        const Duration error = elapsed - request.predictedFirstEvent_;
        observeDuration("eelgrasscove_first_event_prediction_error_seconds", "",
                        std::max(error, -error));
    }
    removeFromBacklog(request);
}

void Edge::detachFromTarget(EdgeRequest &request)
{
    if (request.connection_) {
        request.connection_->cancel();
        request.connection_.reset();
    }
    if (request.stage_ != RequestStage::Sent && request.stage_ != RequestStage::Streaming)
        return;
    TargetState &state = request.target_->state_;
    removeFromBacklog(request);
    recordSilence(state, bootNow());
    if (state.outstanding_ > 0)
        --state.outstanding_;
    const auto running = request.target_->runningAdapters_.find(nameHash(request.adapter_));
    if (running != request.target_->runningAdapters_.end() && --running->second == 0)
        request.target_->runningAdapters_.erase(running);
    request.stage_ = RequestStage::Waiting;
}

void Edge::onClientDisconnected(ClientSession &session)
{
    const auto request = std::static_pointer_cast<EdgeRequest>(session.attachment_);
    session.attachment_.reset();
    if (!request || request->stage_ == RequestStage::Ended)
        return;
    if (request->tokensCharged_ && request->sends_ == 0)
        returnTokens(allowance_, request->account_, request->tokens_);
    const Duration silence =
        request->target_ ? bootNow() - request->target_->state_.lastContactAt_ : Duration::zero();
    eventLog().note("client.left", "id", request->id_, "stage",
                    nameOf(requestStageNames, request->stage_), "target",
                    request->target_ ? request->target_->state_.listed_.id_ : "",
                    "target_silent_ms", silence.count() / 1000);
    countMetric("eelgrasscove_clients_left_total",
                fmt::format("stage=\"{}\"", nameOf(requestStageNames, request->stage_)));
    endRequest(*request, 0, "client disconnected");
}

} // namespace eelgrasscove
