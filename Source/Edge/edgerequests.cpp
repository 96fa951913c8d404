#include "Edge/edge.h"
#include "Observe/eventlog.h"
#include "Observe/metrics.h"
#include "platform/wirenames.h"

#include <algorithm>
#include <charconv>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// A target that was asked to answer by the route's timeout answers about then itself.
constexpr Duration answerSlack = 150ms;

/// An adapter is loaded in about this time where its engine is not loading others; then each four
/// that are asked for before it add as much.
constexpr Duration adapterLoadTime = 300ms;

/// A target that crashed, or is avoided, is back in about this time; an engine that started also
/// loads its model from its disk first.
constexpr Duration targetReturnTime = 500ms;
constexpr Duration modelLoadTime = 1500ms;

/// Part of its time that a request may wait for room: what is left has to suffice for its run.
constexpr double waitingPart = 0.5;

/// Clients leave a stream that gave no event for this time, four objectives or eight pauses,
/// whichever is longest; so the platform's page says. The second is what a run takes to its first.
constexpr Duration leastStreamPatience = 2s;
constexpr Duration firstEventTime = 250ms;

/// What a client is told to wait at least, and by how much more clients are spread.
constexpr Duration leastRetryAfter = 200ms;
constexpr double retryAfterSpread = 0.5;

/// Span over which answers are counted to predict when there is room.
constexpr Duration completionSpan = 2s;

/// An older version of an adapter may be used until this part of the operator's bound.
constexpr double olderVersionPart = 0.7;

/// A timeout speaks against its target like a failure.
constexpr double timeoutWeight = 1.0;

/// Requests that wait are tried in passes of at most so many, and in shorter ones after an answer,
/// which makes room for one.
constexpr std::size_t triedInOnePass = 64;
constexpr std::size_t triedAfterAnswer = 4;

/// Bounds of the priority header towards targets.
constexpr int leastPriority = 0;
constexpr int mostPriority = 9;

Duration timeLeftOf(const HttpHead &head, Duration otherwise)
{
    const std::string_view text = head.header(wire::timeLeftHeader);
    std::int64_t millis = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), millis);
    if (text.empty() || error != std::errc{} || millis < 0)
        return otherwise;
    return std::chrono::milliseconds(std::min<std::int64_t>(millis, 24 * 3600 * 1000));
}

double tokensOf(const HttpHead &head, double otherwise)
{
    const std::string_view text = head.header(wire::tokensHeader);
    const std::size_t comma = text.find(',');
    double prompt = 0;
    double most = 0;
    if (comma == std::string_view::npos)
        return otherwise;
    std::from_chars(text.data(), text.data() + comma, prompt);
    std::from_chars(text.data() + comma + 1, text.data() + text.size(), most);
    return prompt + most;
}

bool isSystemHeader(std::string_view name)
{
    return std::any_of(wire::systemHeaders.begin(), wire::systemHeaders.end(),
                       [&](std::string_view each) { return equalIgnoringCase(each, name); });
}

/// Whether the request's Connection header names this one as the connection's own.
bool namedByConnection(const HttpHead &head, std::string_view name)
{
    std::string_view list = head.header("Connection");
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view each = list.substr(0, comma);
        while (!each.empty() && each.front() == ' ')
            each.remove_prefix(1);
        while (!each.empty() && each.back() == ' ')
            each.remove_suffix(1);
        if (equalIgnoringCase(each, name))
            return true;
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return false;
}

} // namespace

/// How long a request may wait here for room or an adapter.
Duration patienceFor(const EdgeRequest &request)
{
    const Duration allowed =
        std::min(request.clientDeadline_, request.routeDeadline_) - request.arrivedAt_;
    if (request.route_.kind_ != RequestKind::Stream)
        return std::chrono::duration_cast<Duration>(allowed * waitingPart);
    const Duration leaves = std::max(
        {leastStreamPatience, request.route_.objective_ * 4, request.route_.pauseObjective_ * 8});
    return std::min(allowed * 3 / 4, leaves - firstEventTime);
}

void Edge::onRequest(const std::shared_ptr<ClientSession> &session, ClientRequest &&client)
{
    const Time now = bootNow();
    const auto request = std::make_shared<EdgeRequest>();
    request->session_ = session;
    request->head_ = std::move(client.head_);
    request->body_ = std::move(client.body_);
    request->id_ = request->head_.header(wire::requestIdHeader);
    request->arrivedAt_ = client.begunAt_;
    request->draw_ = std::uniform_real_distribution<double>(0, 1)(random_);
    session->work_ = request;
    requests_.insert(request);
    if (request->id_.empty()) {
        refuse(*request, 400, "no request id", {});
        return;
    }
    if (!resolve(*request))
        return;
    const Duration left = timeLeftOf(request->head_, request->route_.timeout_);
    request->clientDeadline_ = request->arrivedAt_ + left;
    request->routeDeadline_ = request->arrivedAt_ + request->route_.timeout_;
    request->objectiveAt_ = request->arrivedAt_ + request->route_.objective_;
    request->waitUntil_ = request->arrivedAt_ + patienceFor(*request);
    if (now >= std::min(request->clientDeadline_, request->routeDeadline_)) {
        refuse(*request, 503, "came too late", leastRetryAfter);
        return;
    }
    request->hash_ = suspectHash(request->head_.target_, request->key_, request->body_);
    if (isCrasher(suspects_, request->hash_)) {
        refuse(*request, 503, "crashes targets", 30s);
        return;
    }
    if (!checkAllowance(*request, now))
        return;
    countRequest(retryBudget_, request->service_, now);
    if (!request->adapter_.empty())
        noteAsked(demand_, markOf(request->adapter_), now);
    place(request);
}

bool Edge::resolve(EdgeRequest &request)
{
    if (!rules_) {
        refuseHere(request, "no rules yet");
        return false;
    }
    const ServingRoute *route =
        rules_->routeOf(request.head_.header("Host"), request.head_.target_);
    if (route == nullptr) {
        refuse(request, rulesAreFresh(bootNow()) ? 404 : 503, "no route", leastRetryAfter);
        return false;
    }
    request.rulesVersion_ = rules_->rules().version_;
    request.route_ = *route;
    request.service_ = serviceFor(*route, request.draw_);
    request.priority_ = route->priority_;
    request.model_.clear();
    request.adapter_.clear();
    const std::string model(request.head_.header(wire::modelHeader));
    const ServedService *service = rules_->service(request.service_);
    if (service != nullptr && service->engine_ && !model.empty()) {
        const std::size_t slash = model.find('/');
        request.model_ = model.substr(0, slash);
        if (slash != std::string::npos)
            request.adapter_ = model;
    }
    return checkKey(request, bootNow());
}

bool Edge::checkKey(EdgeRequest &request, Time now)
{
    if (request.route_.open_ || rules_->rules().accounts_.empty())
        return true;
    if (!rulesAreFresh(now)) {
        refuseHere(request, "rules not confirmed");
        return false;
    }
    const std::string_view authorization = request.head_.header(wire::authorizationHeader);
    if (authorization.starts_with(wire::keyScheme))
        request.key_ = authorization.substr(wire::keyScheme.size());
    const ServingAccount *account = rules_->accountOfKey(request.key_);
    if (account == nullptr) {
        refuse(request, 401, "unknown key", {});
        return false;
    }
    request.account_ = account->name_;
    if (account->priority_)
        request.priority_ = *account->priority_;
    return true;
}

bool Edge::checkAllowance(EdgeRequest &request, Time now)
{
    if (request.account_.empty())
        return true;
    const ServingAccount *account = rules_->accountOfKey(request.key_);
    request.tokens_ = tokensOf(request.head_, account->plainTokens_);
    if (!peerFeed_->confirmedAt()) {
        refuseHere(request, "other entries not known yet");
        return false;
    }
    if (!mayTake(allowance_, *account, request.tokens_, now)) {
        eventLog().note("allowance.used", "id", request.id_, "account", account->name_, "tokens",
                        request.tokens_, "level", allowance_.buckets_[account->name_].level_,
                        "per_second", account->tokensPerSecond_, "burst", account->burstTokens_,
                        "rules", request.rulesVersion_);
        refuse(request, 429, "allowance used",
               leastRetryAfter + timeUntil(allowance_, *account, request.tokens_));
        return false;
    }
    takeTokens(allowance_, request.account_, request.tokens_);
    request.charged_ = true;
    return true;
}

PlaceQuery Edge::placeQuery(const EdgeRequest &request, Time now) const
{
    PlaceQuery query;
    query.dataCentre_ = settings_.dataCentre_;
    query.model_ = request.model_;
    query.adapter_ = request.adapter_;
    query.tried_ = request.tried_;
    query.entries_ = peers_.size() + 1;
    if (!request.adapter_.empty())
        query.askedPerSecond_ = askedPerSecond(demand_, markOf(request.adapter_), now);
    const auto version = versions_.find(request.adapter_);
    if (version != versions_.end()) {
        query.newestVersion_ = version->second;
        const Duration age = now - versionHeardAt_.at(request.adapter_);
        if (age > settings_.bounds_.version_ * olderVersionPart)
            query.leastVersion_ = version->second;
    }
    return query;
}

std::vector<TargetBelief *> Edge::beliefsOf(const std::string &service)
{
    std::vector<TargetBelief *> beliefs;
    const auto targets = targetsOfService_.find(service);
    if (targets == targetsOfService_.end())
        return beliefs;
    for (const auto &target : targets->second)
        beliefs.push_back(&target->belief_);
    return beliefs;
}

std::shared_ptr<EdgeTarget> Edge::targetOf(const TargetBelief *belief)
{
    const auto found = targets_.find(belief->listed_.id_);
    return found == targets_.end() ? nullptr : found->second;
}

void Edge::place(const EdgeRequestPtr &request)
{
    const auto session = request->session_.lock();
    if (!session || request->stage_ == RequestStage::Ended)
        return;
    const Time now = bootNow();
    // The rules may have changed, and the key may have been withdrawn, while the request waited.
    const bool outdated = request->rulesVersion_ != rules_->rules().version_;
    if (outdated) {
        // It may go to another service now, and waits in the queue of the one before.
        unwait(*request);
    }
    if (outdated ? !resolve(*request) : !checkKey(*request, now))
        return;
    const Place place = choosePlace(beliefsOf(request->service_), placeQuery(*request, now), now);
    if (place.copyAt_ != nullptr) {
        if (const auto copyAt = targetOf(place.copyAt_)) {
            copyAt->copyWishes_[request->adapter_] = now + 500ms;
            wish(*copyAt, request->adapter_, now);
        }
    }
    if (place.kind_ == PlaceKind::Send) {
        send(request, targetOf(place.target_));
        return;
    }
    if (place.kind_ == PlaceKind::None) {
        refuse(*request, 503, request->tried_.empty() ? "no target" : "no other target",
               leastRetryAfter);
        return;
    }
    // What was tried may be tried again once it has recovered.
    if (place.kind_ == PlaceKind::AwaitTarget)
        request->tried_.clear();
    await(request, place);
}

WindowSum &Edge::answersOf(const std::string &service)
{
    return completions_.try_emplace(service, WindowSum(completionSpan)).first->second;
}

double Edge::answersPerSecond(const std::string &service, Time now)
{
    return answersOf(service).sum(now) / std::chrono::duration<double>(completionSpan).count();
}

WaitingRequest waitingOf(const EdgeRequest &request)
{
    return {request.priority_, request.objectiveAt_, request.waitUntil_};
}

void Edge::await(const EdgeRequestPtr &request, const Place &place)
{
    const Time now = bootNow();
    std::list<EdgeRequestPtr> &queue = waiting_[request->service_];
    const bool fresh = std::find(queue.begin(), queue.end(), request) == queue.end();
    Duration wait{};
    if (place.kind_ == PlaceKind::AwaitAdapter) {
        wait = adapterLoadTime * (1 + place.target_->loadsWaiting_ / adapterLoadsAtOnce);
        if (const auto target = targetOf(place.target_)) {
            request->awaitedTarget_ = place.target_->listed_.id_;
            wish(*target, request->adapter_, now);
        }
    } else if (place.kind_ == PlaceKind::AwaitTarget) {
        wait = request->model_.empty() ? targetReturnTime : modelLoadTime;
    } else {
        const WaitingRequest own = waitingOf(*request);
        const auto ahead = std::count_if(queue.begin(), queue.end(), [&](const auto &other) {
            return other->awaits_ == PlaceKind::AwaitRoom
                && isTriedBefore(waitingOf(*other), own, now);
        });
        wait =
            expectedWait(static_cast<std::size_t>(ahead), answersPerSecond(request->service_, now));
    }
    request->awaits_ = place.kind_;
    if (!fresh)
        return;
    if (now + wait > request->waitUntil_) {
        refuse(*request, 503, nameOf(placeKindNames, place.kind_), wait);
        return;
    }
    queue.push_back(request);
    eventLog().note("request.waits", "id", request->id_, "for", nameOf(placeKindNames, place.kind_),
                    "target", place.target_ != nullptr ? place.target_->listed_.id_ : "", "adapter",
                    request->adapter_, "ahead", queue.size() - 1, "expected_ms",
                    wait.count() / 1000);
}

void Edge::unwait(const EdgeRequest &request)
{
    const auto queue = waiting_.find(request.service_);
    if (queue != waiting_.end())
        queue->second.remove_if([&](const auto &other) { return other.get() == &request; });
}

void Edge::send(const EdgeRequestPtr &request, const std::shared_ptr<EdgeTarget> &target)
{
    const Time now = bootNow();
    if (request->sends_ > 0 && !takeRepeat(retryBudget_, request->service_, now)) {
        refuse(*request, request->runs_ > 0 ? 502 : 503, "retry budget used", leastRetryAfter);
        return;
    }
    unwait(*request);
    TargetBelief &belief = target->belief_;
    request->target_ = target;
    request->stage_ = RequestStage::Sent;
    request->sentAt_ = now;
    request->tried_.insert(belief.listed_.id_);
    request->headCame_ = false;
    request->answerBody_.clear();
    ++request->sends_;
    // Without an agent, silence begins with the first request that waits for an answer.
    if (belief.outstanding_ == 0 && !belief.agentHeard_)
        belief.aliveAt_ = now;
    ++belief.outstanding_;
    belief.lastSentAt_ = now;
    if (!request->adapter_.empty()) {
        target->usedAdapters_.insert(markOf(request->adapter_));
        ++target->runningAdapters_[markOf(request->adapter_)];
    }
    countMetric("eelgrasscove_sends_total");
    request->connection_ = target->pool_.send(
        requestText(*request, belief, now), request->id_,
        {[this, request](HttpHead &&head) { onAnswerHead(request, std::move(head)); },
         [this, request](std::string_view bytes) { onAnswerBody(request, bytes); },
         [this, request](ExchangeEnd end, std::string_view reason) {
             onExchangeEnd(request, end, reason);
         }});
}

std::string Edge::requestText(const EdgeRequest &request, const TargetBelief &target,
                              Time now) const
{
    const Time deadline = std::min(request.clientDeadline_, request.routeDeadline_);
    const auto left = std::max<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count(), 1);
    std::string text = request.head_.method_ + " " + request.head_.target_ + " HTTP/1.1\r\n";
    bool idWritten = false;
    for (const HttpHeader &header : request.head_.headers_) {
        const bool ours = header.name_.size() > wire::headerPrefix.size()
            && equalIgnoringCase(header.name_.substr(0, wire::headerPrefix.size()),
                                 wire::headerPrefix);
        const bool older =
            !request.lastEventId_.empty() && equalIgnoringCase(header.name_, wire::lastEventHeader);
        if (isConnectionHeader(header.name_) || isSystemHeader(header.name_) || older
            || equalIgnoringCase(header.name_, "Expect")
            || (!ours && namedByConnection(request.head_, header.name_)))
            continue;
        if (equalIgnoringCase(header.name_, wire::requestIdHeader)) {
            if (idWritten)
                continue;
            idWritten = true;
        }
        appendHeader(text, header.name_, header.value_);
    }
    appendHeader(text, wire::timeLeftHeader, std::to_string(left));
    if (!request.lastEventId_.empty())
        appendHeader(text, wire::lastEventHeader, request.lastEventId_);
    appendHeader(text, wire::expectTargetHeader, target.listed_.id_);
    if (!request.account_.empty())
        appendHeader(text, wire::accountHeader, request.account_);
    if (!request.model_.empty()) {
        appendHeader(text, wire::priorityHeader,
                     std::to_string(std::clamp(request.priority_, leastPriority, mostPriority)));
    }
    const auto held = target.adapters_.find(markOf(request.adapter_));
    if (!request.adapter_.empty() && held != target.adapters_.end()
        && versions_.contains(request.adapter_)) {
        // Guards against a replacement, or a late order, between this belief and the run.
        appendHeader(text, wire::expectVersionHeader, std::to_string(held->second));
    }
    if (!request.body_.empty() || request.head_.method_ != "GET")
        appendHeader(text, "Content-Length", std::to_string(request.body_.size()));
    text += "\r\n";
    text += request.body_;
    return text;
}

std::vector<EdgeRequestPtr> Edge::waitingInOrder(const std::string &service, Time now)
{
    const auto queue = waiting_.find(service);
    if (queue == waiting_.end())
        return {};
    std::vector<EdgeRequestPtr> inOrder(queue->second.begin(), queue->second.end());
    std::stable_sort(inOrder.begin(), inOrder.end(), [&](const auto &left, const auto &right) {
        return isTriedBefore(waitingOf(*left), waitingOf(*right), now);
    });
    return inOrder;
}

void Edge::placeWaiting(const std::string &service, std::size_t most)
{
    if (placing_)
        return;
    placing_ = true;
    std::vector<EdgeRequestPtr> next = waitingInOrder(service, bootNow());
    next.resize(std::min(next.size(), most));
    for (const EdgeRequestPtr &request : next) {
        if (request->stage_ == RequestStage::Waiting)
            place(request);
    }
    placing_ = false;
}

void Edge::placeWaitingAt(const EdgeTarget &target)
{
    if (placing_)
        return;
    placing_ = true;
    const TargetBelief &belief = target.belief_;
    std::size_t tried = 0;
    for (const EdgeRequestPtr &request : waitingInOrder(belief.listed_.service_, bootNow())) {
        const bool fits =
            request->adapter_.empty() || belief.adapters_.contains(markOf(request->adapter_));
        if (!fits || request->stage_ != RequestStage::Waiting)
            continue;
        place(request);
        if (++tried == triedAfterAnswer)
            break;
    }
    placing_ = false;
}

void Edge::refuseVain(const std::string &service, Time now)
{
    std::vector<EdgeRequestPtr> waiting;
    std::vector<WaitingRequest> inOrder;
    for (const EdgeRequestPtr &request : waitingInOrder(service, now)) {
        if (request->awaits_ != PlaceKind::AwaitRoom || request->runs_ > 0)
            continue;
        waiting.push_back(request);
        inOrder.push_back(waitingOf(*request));
    }
    const double perSecond = answersPerSecond(service, now);
    const std::vector<bool> vain = waitInVain(inOrder, perSecond, now);
    for (std::size_t at = 0; at < waiting.size(); ++at) {
        if (vain[at] && waiting[at]->stage_ == RequestStage::Waiting)
            refuse(*waiting[at], 503, "no room in its time",
                   expectedWait(waiting.size(), perSecond));
    }
}

void Edge::checkRequests(Time now)
{
    for (const auto &[service, queue] : waiting_) {
        if (queue.empty())
            continue;
        placeWaiting(service, triedInOnePass);
        refuseVain(service, now);
    }
    const auto requests = requests_;
    for (const EdgeRequestPtr &request : requests) {
        const Time deadline = std::min(request->clientDeadline_, request->routeDeadline_);
        if (request->stage_ == RequestStage::Waiting) {
            if (now > request->waitUntil_)
                refuse(*request, request->runs_ > 0 ? 504 : 503, "waited too long",
                       leastRetryAfter);
        } else if (now > deadline + answerSlack) {
            const auto session = request->session_.lock();
            const bool streaming = request->stage_ == RequestStage::Streaming;
            if (!streaming)
                noteOutcome(request->target_->belief_, timeoutWeight);
            if (streaming && session) {
                end(*request, 0, "timeout in stream");
                session->abort();
            } else {
                refuse(*request, 504, "timeout", {});
            }
        }
    }
    countCrashes(now);
}

void Edge::refuseHere(EdgeRequest &request, std::string_view reason)
{
    // A connection stays with its entry, so its client would come here again.
    if (const auto session = request.session_.lock())
        session->leave();
    refuse(request, 503, reason, leastRetryAfter);
}

void Edge::refuse(EdgeRequest &request, unsigned status, std::string_view reason,
                  Duration retryAfter)
{
    const auto session = request.session_.lock();
    // These statuses promise that the request has not run.
    if ((status == 503 || status == 429) && request.runs_ > 0)
        status = 502;
    const bool notRun = status == 503 || status == 429;
    if (notRun && request.charged_) {
        takeTokens(allowance_, request.account_, -request.tokens_);
        request.charged_ = false;
    }
    end(request, request.firstEventPassed_ ? 0 : status, reason);
    if (!session)
        return;
    if (request.firstEventPassed_) {
        // The answer has begun, so there is only one way left to say that it isn't whole.
        session->abort();
        return;
    }
    std::string headers;
    if (!request.id_.empty())
        appendHeader(headers, wire::requestIdHeader, request.id_);
    if (notRun) {
        // Spread, so that clients that were refused together don't return together.
        const double spread =
            std::uniform_real_distribution<double>(1, 1 + retryAfterSpread)(random_);
        const double seconds =
            spread * std::chrono::duration<double>(std::max(retryAfter, leastRetryAfter)).count();
        appendHeader(headers, wire::retryAfterHeader, fmt::format("{:.3f}", seconds));
    }
    session->answer(status, headers, "");
}

void Edge::end(EdgeRequest &request, unsigned status, std::string_view outcome)
{
    const EdgeRequestPtr keep = request.shared_from_this();
    if (requests_.erase(keep) == 0)
        return;
    const Time now = bootNow();
    leaveTarget(request);
    unwait(request);
    request.stage_ = RequestStage::Ended;
    const Duration total = now - request.arrivedAt_;
    const std::string_view target =
        request.target_ ? std::string_view(request.target_->belief_.listed_.id_) : "";
    const Duration first =
        request.firstEventPassed_ ? request.firstEventAt_ - request.arrivedAt_ : total;
    eventLog().note("request.ended", "id", request.id_, "route", request.route_.name_, "account",
                    request.account_, "adapter", request.adapter_, "status", status, "outcome",
                    outcome, "target", target, "sends", request.sends_, "runs", request.runs_,
                    "first_ms", first.count() / 1000, "pause_ms",
                    request.longestPause_.count() / 1000, "total_ms", total.count() / 1000, "rules",
                    request.rulesVersion_, "rules_age_ms",
                    (now - rulesConfirmedAt()).count() / 1000);
    countMetric("eelgrasscove_requests_total", fmt::format("status=\"{}\"", status));
    observeDuration("eelgrasscove_request_seconds", "", total);
    if (request.firstEventPassed_)
        observeDuration("eelgrasscove_first_event_seconds", "", first);
}

} // namespace eelgrasscove
