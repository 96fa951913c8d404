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

/// Headers of a target's answer that are for the system alone.
constexpr std::array<std::string_view, 2> innerHeaders = {wire::loadHeader, wire::notRunHeader};

constexpr unsigned wrongTargetStatus = 421;

/// A failed answer speaks against its target; one that never came speaks more.
constexpr double errorWeight = 1.0;
constexpr double shedWeight = 0.5;
constexpr double brokenWeight = 1.0;

/// How long a broken run is remembered until its target shows whether it crashed.
constexpr Duration suspicionTime = 2s;

/// How long a stream that is to be resumed may wait for a target: its client leaves after two
/// seconds without an event.
constexpr Duration resumeTime = 1500ms;

/// The id of the last event that has one; empty where none has.
std::string lastIdOf(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t at = events.rfind(field);
    while (at != std::string_view::npos && at > 0 && events[at - 1] != '\n')
        at = events.rfind(field, at - 1);
    if (at == std::string_view::npos)
        return {};
    std::string_view id = events.substr(at + field.size());
    id = id.substr(0, id.find('\n'));
    while (!id.empty() && id.front() == ' ')
        id.remove_prefix(1);
    return std::string(id);
}

bool succeeded(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

void Edge::noteTargetLoad(EdgeRequest &request, const HttpHead &head, Time now)
{
    TargetBelief &belief = request.target_->belief_;
    const std::string_view text = head.header(wire::loadHeader);
    if (text.empty())
        return;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    const std::size_t comma = text.find(',');
    if (comma == std::string_view::npos)
        return;
    std::from_chars(text.data(), text.data() + comma, running);
    std::from_chars(text.data() + comma + 1, text.data() + text.size(), waiting);
    noteLoad(belief, running, waiting, now);
}

void Edge::onAnswerHead(const EdgeRequestPtr &request, HttpHead &&head)
{
    const Time now = bootNow();
    request->headCame_ = true;
    request->target_->belief_.aliveAt_ = now;
    noteTargetLoad(*request, head, now);
    request->answer_ = std::move(head);
}

std::string Edge::answerHeaders(const HttpHead &head) const
{
    std::string text;
    for (const HttpHeader &header : head.headers_) {
        const bool inner = std::any_of(innerHeaders.begin(), innerHeaders.end(), [&](auto each) {
            return equalIgnoringCase(each, header.name_);
        });
        if (!inner && !isConnectionHeader(header.name_))
            appendHeader(text, header.name_, header.value_);
    }
    return text;
}

void Edge::onAnswerBody(const EdgeRequestPtr &request, std::string_view bytes)
{
    const Time now = bootNow();
    request->answerBody_ += bytes;
    request->target_->belief_.aliveAt_ = now;
    const bool stream = request->route_.kind_ == RequestKind::Stream
        && succeeded(request->answer_.status_) && request->answer_.hasHeader(wire::signatureHeader);
    const auto session = request->session_.lock();
    if (stream && session)
        passEvents(*request, *session, false, now);
}

void Edge::passEvents(EdgeRequest &request, ClientSession &session, bool all, Time now)
{
    // A target may stop within an event, so only whole ones go on.
    std::string &bytes = request.answerBody_;
    const std::size_t end = bytes.rfind("\n\n");
    const std::size_t whole = all ? bytes.size() : (end == std::string::npos ? 0 : end + 2);
    if (whole == 0)
        return;
    const std::string_view events = std::string_view(bytes).substr(0, whole);
    if (std::string id = lastIdOf(events); !id.empty())
        request.lastEventId_ = std::move(id);
    request.stage_ = RequestStage::Streaming;
    if (request.firstEventPassed_) {
        request.longestPause_ = std::max(request.longestPause_, now - request.lastEventAt_);
        session.streamBytes(events);
    } else {
        request.firstEventPassed_ = true;
        request.firstEventAt_ = now;
        session.beginStream(request.answer_.status_, answerHeaders(request.answer_), events);
    }
    request.lastEventAt_ = now;
    bytes.erase(0, whole);
}

void Edge::onExchangeEnd(const EdgeRequestPtr &request, ExchangeEnd end, std::string_view reason)
{
    const Time now = bootNow();
    const std::shared_ptr<EdgeTarget> target = request->target_;
    request->connection_.reset();
    if (end == ExchangeEnd::Complete) {
        answersOf(request->service_).add(1, now);
        finishAnswer(request);
        return;
    }
    eventLog().note("send.failed", "id", request->id_, "target", target->belief_.listed_.id_, "end",
                    nameOf(exchangeEndNames, end), "reason", reason, "sent_ms_ago",
                    (now - request->sentAt_).count() / 1000);
    noteOutcome(target->belief_, brokenWeight);
    if (end == ExchangeEnd::NeverSent) {
        if (reason == "ECONNREFUSED")
            target->crashedAt_ = now;
        onNotRun(request, "not connected");
        return;
    }
    ++request->runs_;
    if (!request->firstEventPassed_)
        suspicions_.push_back({request->hash_, target, now});
    onFailed(request, 502, reason);
}

void Edge::noteStream(const EdgeRequest &request)
{
    EdgeTarget &target = *request.target_;
    const ServingRoute &route = request.route_;
    const bool begunLate = route.objective_ > Duration::zero()
        && request.firstEventAt_ - request.sentAt_ > route.objective_;
    const bool paused =
        route.pauseObjective_ > Duration::zero() && request.longestPause_ > route.pauseObjective_;
    ++target.streams_;
    target.lateStreams_ += begunLate || paused ? 1 : 0;
}

void Edge::finishAnswer(const EdgeRequestPtr &request)
{
    const auto session = request->session_.lock();
    const std::shared_ptr<EdgeTarget> target = request->target_;
    TargetBelief &belief = target->belief_;
    const unsigned status = request->answer_.status_;
    if (status == wrongTargetStatus || request->answer_.hasHeader(wire::notRunHeader)) {
        const std::string_view id = request->answer_.header(wire::targetIdHeader);
        if (status == wrongTargetStatus && !id.empty() && id != belief.listed_.id_)
            belief.replaced_ = true;
        else if (status == wrongTargetStatus && !request->adapter_.empty())
            belief.adapters_.erase(markOf(request->adapter_));
        else
            noteOutcome(belief, shedWeight);
        onNotRun(request, fmt::format("target answered {}", status));
        return;
    }
    ++request->runs_;
    if (succeeded(status) && !request->answer_.hasHeader(wire::signatureHeader)) {
        noteOutcome(belief, errorWeight);
        onFailed(request, 502, "answer without signature");
        return;
    }
    if (request->firstEventPassed_ && !succeeded(status)) {
        noteOutcome(belief, errorWeight);
        onFailed(request, 502, fmt::format("resumed run answered {}", status));
        return;
    }
    if (status >= 500) {
        noteOutcome(belief, errorWeight);
        if (request->route_.kind_ == RequestKind::Idempotent
            && request->runs_ < request->route_.mostTargets_) {
            onFailed(request, status, "error of the target");
            return;
        }
    } else {
        noteOutcome(belief, 0);
    }
    if (!session) {
        end(*request, status, "client gone");
        return;
    }
    if (request->firstEventPassed_) {
        passEvents(*request, *session, true, bootNow());
        if (request->runs_ == 1)
            noteStream(*request);
        end(*request, status, "served");
        session->endStream();
    } else {
        end(*request, status, succeeded(status) ? "served" : "target's answer");
        session->answer(status, answerHeaders(request->answer_), request->answerBody_);
    }
    placeWaitingAt(*target);
}

void Edge::onNotRun(const EdgeRequestPtr &request, std::string_view reason)
{
    leaveTarget(*request);
    eventLog().note("send.not_run", "id", request->id_, "target",
                    request->target_ ? request->target_->belief_.listed_.id_ : "", "reason",
                    reason);
    countMetric("eelgrasscove_sends_not_run_total");
    request->stage_ = RequestStage::Waiting;
    request->headCame_ = false;
    request->answerBody_.clear();
    place(request);
}

void Edge::onFailed(const EdgeRequestPtr &request, unsigned status, std::string_view reason)
{
    leaveTarget(*request);
    const auto session = request->session_.lock();
    const bool resumable =
        request->route_.kind_ == RequestKind::Stream && request->route_.resumable_;
    const bool repeatable = request->route_.kind_ == RequestKind::Idempotent || resumable;
    const bool again = repeatable && request->runs_ < request->route_.mostTargets_;
    if (request->firstEventPassed_) {
        if (!again || request->lastEventId_.empty()) {
            end(*request, 0, fmt::format("stream broken: {}", reason));
            if (session)
                session->abort();
            return;
        }
        request->waitUntil_ = bootNow() + resumeTime;
        eventLog().note("stream.resumes", "id", request->id_, "after", request->lastEventId_,
                        "reason", reason);
    }
    if (again) {
        request->stage_ = RequestStage::Waiting;
        request->headCame_ = false;
        request->answerBody_.clear();
        place(request);
        return;
    }
    if (status != 502 && session) {
        end(*request, status, reason);
        session->answer(status, answerHeaders(request->answer_), request->answerBody_);
        return;
    }
    refuse(*request, status, reason, {});
}

void Edge::leaveTarget(EdgeRequest &request)
{
    if (request.connection_) {
        request.connection_->cancel();
        request.connection_.reset();
    }
    if (request.stage_ != RequestStage::Sent && request.stage_ != RequestStage::Streaming)
        return;
    TargetBelief &belief = request.target_->belief_;
    noteSilence(belief, bootNow());
    if (belief.outstanding_ > 0)
        --belief.outstanding_;
    const auto running = request.target_->runningAdapters_.find(markOf(request.adapter_));
    if (running != request.target_->runningAdapters_.end() && --running->second == 0)
        request.target_->runningAdapters_.erase(running);
    request.stage_ = RequestStage::Waiting;
}

void Edge::onClientGone(ClientSession &session)
{
    const auto request = std::static_pointer_cast<EdgeRequest>(session.work_);
    session.work_.reset();
    if (!request || request->stage_ == RequestStage::Ended)
        return;
    if (request->charged_ && request->sends_ == 0)
        takeTokens(allowance_, request->account_, -request->tokens_);
    end(*request, 0, "client gone");
}

void Edge::countCrashes(Time now)
{
    std::erase_if(suspicions_, [&](const Suspicion &suspicion) {
        if (suspicion.target_->crashedAt_ >= suspicion.at_) {
            countCrash(suspects_, suspicion.hash_, now);
            eventLog().note("suspect.counted", "hash", suspicion.hash_, "target",
                            suspicion.target_->belief_.listed_.id_);
            return true;
        }
        return now - suspicion.at_ > suspicionTime;
    });
}

} // namespace eelgrasscove
