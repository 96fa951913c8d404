#include "Caller/entryrequests.h"

#include "Caller/entryparts.h"

#include "Contract/rulequery.h"
#include "Observe/log.h"

#include <algorithm>
#include <fmt/core.h>
#include <optional>
#include <xxhash.h>

namespace eelgrasscove {

namespace {

constexpr std::int64_t microsPerSecond = 1'000'000;

Fingerprint fingerprintOf(const PendingRequest &request)
{
    const std::string text = request.account_.text_ + '\n' + request.route_.route_.text_ + '\n'
        + request.call_.path_ + '\n' + request.call_.body_;
    return {fmt::format("{:016x}", XXH64(text.data(), text.size(), 0))};
}

void replyError(const CallerRequest &call, const RequestId &id, const ApiError &error,
                EntryActions &actions)
{
    ReplyWhole reply;
    reply.handle_ = call.handle_;
    reply.status_ = apiErrorRow(error.code_).status_;
    reply.contentType_ = "application/json";
    reply.body_ = apiErrorBody(error);
    reply.retryAfter_ = error.retryAfter_;
    reply.requestId_ = replyId(call, id);
    actions.emplace_back(CallerReply{std::move(reply)});
}

/// The route a call names; empty where there is none.
const RouteRule *routeOf(const Rules &rules, const CallerRequest &call, const KeyRule *key)
{
    if (call.kind_ == CallKind::Completion)
        return findAdapterRoute(rules, call.completion_.route_);
    const AccountName account = key == nullptr ? AccountName() : key->account_;
    return findServiceRoute(rules, call.method_, call.path_, account);
}

/// Finds whose request it is and whether the rules let it run.
std::optional<ApiError> authorise(const Entry &entry, PendingRequest &request, Time now)
{
    const KeyRule *key = findKeyRule(entry.rules_, request.call_.keyDigest_);
    const RouteRule *route = routeOf(entry.rules_, request.call_, key);
    if (route != nullptr && route->openToAll_) {
        request.route_ = *route;
        request.rulesRevision_ = entry.rules_.revision_;
        return std::nullopt;
    }
    if (!canServeKeyedRoutes(entry.spread_, now))
        return ApiError{ApiErrorCode::RulesUnavailable, RunState::NotRun,
                        "this entry has been cut off from news of the rules for too long", 1};
    if (request.call_.keyDigest_.empty())
        return ApiError{ApiErrorCode::KeyMissing, RunState::NotRun,
                        "no key; send \"Authorization: Bearer KEY\"", 0};
    if (key == nullptr)
        return ApiError{ApiErrorCode::KeyUnknown, RunState::NotRun,
                        "the key isn't known or was withdrawn; ask the operators for one", 0};
    if (route == nullptr)
        return ApiError{ApiErrorCode::RouteNotFound, RunState::NotRun,
                        "no such route; see GET /v1/models", 0};
    if (!canUse(*route, key->account_))
        return ApiError{ApiErrorCode::RouteForbidden, RunState::NotRun,
                        "the key's account may not use this route", 0};
    request.route_ = *route;
    request.account_ = key->account_;
    request.keyId_ = key->id_;
    request.rulesRevision_ = entry.rules_.revision_;
    return std::nullopt;
}

std::optional<ApiError> gate(const Entry &entry)
{
    if (entry.leaving_)
        return ApiError{ApiErrorCode::Leaving, RunState::NotRun,
                        "this entry is stopping; send the request again", 1};
    if (!entry.haveRules_ || !areRulesSettled(entry.spread_))
        return ApiError{ApiErrorCode::RulesUnavailable, RunState::NotRun,
                        "this entry has no rules yet", 1};
    if (entry.requests_.size() >= entry.policy_.requests_)
        return ApiError{ApiErrorCode::Overloaded, RunState::NotRun,
                        "this entry has its fill of requests", 1};
    return std::nullopt;
}

bool struckOut(const Entry &entry, const Fingerprint &fingerprint, Time now)
{
    const auto found = entry.strikes_.find(fingerprint);
    return found != entry.strikes_.end() && found->second.count_ >= entry.policy_.strikes_
        && now - found->second.heardAt_ < entry.policy_.strikeMemory_;
}

void replyModels(const Entry &entry, const PendingRequest &request, EntryActions &actions)
{
    std::string rows;
    for (const auto &[name, route] : entry.rules_.routes_) {
        const bool usable = route.openToAll_ || canUse(route, request.account_);
        if (route.kind_ != RouteKind::Adapter || !usable)
            continue;
        rows += fmt::format(R"({}{{"id":"{}","object":"model","owned_by":"eelgrasscove"}})",
                            rows.empty() ? "" : ",", escapeJson(name.text_));
    }
    ReplyWhole reply;
    reply.handle_ = request.call_.handle_;
    reply.contentType_ = "application/json";
    reply.body_ = R"({"object":"list","data":[)" + rows + "]}";
    reply.requestId_ = replyId(request.call_, request.id_);
    actions.emplace_back(CallerReply{std::move(reply)});
}

/// The list of models needs a key, and no route.
void takeModels(const Entry &entry, PendingRequest request, EntryActions &actions)
{
    const KeyRule *key = findKeyRule(entry.rules_, request.call_.keyDigest_);
    if (key == nullptr && !request.call_.keyDigest_.empty()) {
        replyError(
            request.call_, request.id_,
            {ApiErrorCode::KeyUnknown, RunState::NotRun, "the key isn't known or was withdrawn", 0},
            actions);
        return;
    }
    if (key != nullptr)
        request.account_ = key->account_;
    replyModels(entry, request, actions);
}

RequestRecord errorRecord(const Entry &entry, const PendingRequest &request, const ApiError &error)
{
    RequestRecord record = recordOf(entry, request);
    record.status_ = apiErrorRow(error.code_).status_;
    record.code_ = apiErrorRow(error.code_).name_;
    record.run_ = error.run_;
    return record;
}

void refuseNew(const Entry &entry, const PendingRequest &request, const ApiError &error,
               EntryActions &actions)
{
    replyError(request.call_, request.id_, error, actions);
    actions.emplace_back(errorRecord(entry, request, error));
}

/// What a caller is told when no target ran its request in time.
ApiError placementError(const PendingRequest &request)
{
    const std::uint32_t retryAfter = std::max<std::uint32_t>(1, request.retryAfter_);
    switch (request.lastReason_) {
    case Reason::QueueFull:
        return {ApiErrorCode::TargetsBusy, RunState::NotRun, "all targets have full queues",
                retryAfter};
    case Reason::AdapterLoadFailed:
        return {ApiErrorCode::AdapterUnavailable, RunState::NotRun, "the adapter can't be loaded",
                retryAfter};
    default:
        return {ApiErrorCode::NoTarget, RunState::NotRun, "no target takes the request now",
                retryAfter};
    }
}

void refuseForTokens(Entry &entry, const PendingRequest &request, Duration wait, Time now,
                     EntryActions &actions)
{
    failRequest(entry, request.id_,
                {ApiErrorCode::AllowanceExhausted, RunState::NotRun,
                 "the account's tokens are spent for now", retrySeconds(wait)},
                now, actions);
}

/// The account's whole contract; nothing larger can ever be admitted.
std::int64_t burstOf(const Entry &entry, const AccountName &account)
{
    const auto found = entry.rules_.accounts_.find(account);
    return found == entry.rules_.accounts_.end() ? 0 : found->second.burstTokens_;
}

/// Whether the reservation stands. Where not, the request waits on or has been answered.
bool reserveTokens(Entry &entry, PendingRequest &request, Time now, EntryActions &actions)
{
    const std::int64_t tokens = tokensOf(request);
    if (tokens == 0 || request.account_.empty())
        return true;
    const std::int64_t contractBurst = burstOf(entry, request.account_);
    const Admission admission = admit(entry.allowance_, entry.loans_, request.account_,
                                      request.attempt_, tokens, contractBurst, now);
    if (std::holds_alternative<Admitted>(admission))
        return true;
    if (std::holds_alternative<ExceedsBurst>(admission)) {
        failRequest(
            entry, request.id_,
            {ApiErrorCode::RequestLargerThanBurst, RunState::NotRun,
             "prompt and max_tokens exceed what the account may use at once; lower max_tokens", 0},
            now, actions);
        return false;
    }
    sendLoans(entry, requestLoans(entry.allowance_, entry.loans_, request.account_, tokens, now),
              actions);
    const Duration wait = std::get<MustWait>(admission).wait_;
    if (now + wait > request.heldUntil_)
        refuseForTokens(entry, request, wait, now, actions);
    return false;
}

void awaitTokens(Entry &entry, PendingRequest &request, Time now, EntryActions &actions)
{
    if (!reserveTokens(entry, request, now, actions))
        return;
    request.stage_ = Stage::AwaitingTarget;
    request.heldUntil_ = std::min(request.deadline_, now + entry.policy_.placementHold_);
    request.nextTry_ = now;
    advance(entry, request, now, actions);
}

void awaitTarget(Entry &entry, PendingRequest &request, Time now, EntryActions &actions)
{
    if (now < request.nextTry_)
        return;
    if (offerRequest(entry, request, now, actions))
        return;
    request.nextTry_ = now + entry.policy_.retryPause_;
    // Every target has been tried: a little later any of them may take it.
    request.tried_.clear();
    if (now >= request.heldUntil_)
        failRequest(entry, request.id_, placementError(request), now, actions);
}

RequestId nextRequest(Entry &entry)
{
    ++entry.lastRequestNumber_;
    return {fmt::format("{}.{}.r{:012d}", entry.identity_.vm_.text_,
                        entry.identity_.incarnation_.value_, entry.lastRequestNumber_)};
}

/// A call that may not be repeated runs at most once for its key, whichever entry it comes through.
bool needsClaim(const PendingRequest &request)
{
    return !request.route_.idempotent_ && !request.call_.idempotencyKey_.empty();
}

std::vector<RequestId> waitingRequests(const Entry &entry)
{
    std::vector<RequestId> waiting;
    for (const auto &[id, request] : entry.requests_) {
        if (request.stage_ == Stage::AwaitingAllowance || request.stage_ == Stage::AwaitingTarget)
            waiting.push_back(id);
    }
    return waiting;
}

} // namespace

AttemptId nextAttempt(Entry &entry)
{
    ++entry.lastAttemptNumber_;
    return {fmt::format("{}.{}.{}", entry.identity_.vm_.text_, entry.identity_.incarnation_.value_,
                        entry.lastAttemptNumber_)};
}

std::uint32_t retrySeconds(Duration wait)
{
    const std::int64_t seconds = (wait.count() + microsPerSecond - 1) / microsPerSecond;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(1, seconds));
}

const std::string &replyId(const CallerRequest &call, const RequestId &id)
{
    return call.callerRequestId_.empty() ? id.text_ : call.callerRequestId_;
}

std::int64_t tokensOf(const PendingRequest &request)
{
    if (request.call_.kind_ != CallKind::Completion)
        return 0;
    return request.call_.completion_.promptTokens_ + request.call_.completion_.maxTokens_;
}

RequestRecord recordOf(const Entry &entry, const PendingRequest &request)
{
    RequestRecord record;
    record.id_ = request.id_;
    record.route_ = request.route_.route_;
    record.account_ = request.account_;
    const auto attempt = entry.attempts_.find(request.attempt_);
    if (attempt != entry.attempts_.end())
        record.target_ = attempt->second.vm_;
    record.trace_ = request.call_.trace_;
    record.parentSpanId_ = request.call_.parentSpanId_;
    record.arrivedAt_ = request.call_.arrivedAt_;
    return record;
}

void endRequest(Entry &entry, const RequestId &id, EntryActions &actions, RequestRecord record)
{
    const auto found = entry.requests_.find(id);
    if (found == entry.requests_.end())
        return;
    actions.emplace_back(std::move(record));
    entry.requestByHandle_.erase(found->second.call_.handle_);
    entry.requests_.erase(found);
}

void failRequest(Entry &entry, const RequestId &id, const ApiError &reason, Time now,
                 EntryActions &actions)
{
    const auto found = entry.requests_.find(id);
    if (found == entry.requests_.end())
        return;
    PendingRequest &request = found->second;
    ApiError error = reason;
    // The latest try wasn't run, but an earlier one may have been.
    if (request.reruns_ > 0 && error.run_ == RunState::NotRun)
        error.run_ = RunState::OutcomeUnknown;
    const bool streaming = request.headReceived_ && request.call_.completion_.stream_;
    if (streaming) {
        const std::string event = "data: " + apiErrorBody(error) + "\n\n";
        actions.emplace_back(CallerReply{ReplyAbort{request.call_.handle_, event}});
    } else if (!request.callerGone_) {
        replyError(request.call_, request.id_, error, actions);
    }
    // A reservation without an offer behind it goes back whole.
    if (!entry.attempts_.contains(request.attempt_))
        settleAttempt(entry.allowance_, entry.loans_, request.account_, request.attempt_, 0, now);
    RequestRecord record = errorRecord(entry, request, error);
    endRequestClaim(entry, request, error.run_, now, actions);
    endRequest(entry, id, actions, std::move(record));
}

void takeCallerRequest(Entry &entry, CallerRequest call, Time now, EntryActions &actions)
{
    PendingRequest request;
    request.id_ = nextRequest(entry);
    request.call_ = std::move(call);
    std::optional<ApiError> error = gate(entry);
    if (!error && request.call_.kind_ == CallKind::Models) {
        takeModels(entry, std::move(request), actions);
        return;
    }
    if (!error)
        error = authorise(entry, request, now);
    request.fingerprint_ = fingerprintOf(request);
    if (!error && struckOut(entry, request.fingerprint_, now))
        error =
            ApiError{ApiErrorCode::SuspectedKiller, RunState::NotRun,
                     "targets crashed while they ran this request; it isn't run again for now", 0};
    if (error) {
        refuseNew(entry, request, *error, actions);
        return;
    }
    request.attempt_ = nextAttempt(entry);
    request.deadline_ = now + entry.policy_.requestTimeout_;
    request.heldUntil_ = now + entry.policy_.allowanceHold_;
    entry.requestByHandle_[request.call_.handle_] = request.id_;
    const RequestId id = request.id_;
    PendingRequest &kept = entry.requests_.emplace(id, std::move(request)).first->second;
    if (needsClaim(kept)) {
        kept.stage_ = Stage::AwaitingClaim;
        beginRequestClaim(entry, kept, now, actions);
        return;
    }
    advance(entry, kept, now, actions);
}

void takeCallerGone(Entry &entry, const CallerGone &gone, Time now, EntryActions &actions)
{
    const auto handle = entry.requestByHandle_.find(gone.handle_);
    if (handle == entry.requestByHandle_.end())
        return;
    const RequestId id = handle->second;
    PendingRequest &request = entry.requests_.at(id);
    request.callerGone_ = true;
    // A call that may not be repeated is finished, so that what became of it stays known.
    const bool handedOver = request.stage_ == Stage::Offered || request.stage_ == Stage::Accepted;
    if (!request.route_.idempotent_ && handedOver)
        return;
    endRequestClaim(entry, request, RunState::NotRun, now, actions);
    abandonAttempt(entry, request.attempt_, actions);
    if (!entry.attempts_.contains(request.attempt_))
        settleAttempt(entry.allowance_, entry.loans_, request.account_, request.attempt_, 0, now);
    RequestRecord record = recordOf(entry, request);
    record.code_ = "caller_gone";
    record.run_ = RunState::OutcomeUnknown;
    endRequest(entry, id, actions, std::move(record));
}

void advance(Entry &entry, PendingRequest &request, Time now, EntryActions &actions)
{
    if (request.stage_ == Stage::AwaitingAllowance)
        awaitTokens(entry, request, now, actions);
    else if (request.stage_ == Stage::AwaitingTarget)
        awaitTarget(entry, request, now, actions);
}

void advanceWaiting(Entry &entry, Time now, EntryActions &actions)
{
    for (const RequestId &id : waitingRequests(entry)) {
        const auto found = entry.requests_.find(id);
        if (found != entry.requests_.end())
            advance(entry, found->second, now, actions);
    }
}

void recheckWaiting(Entry &entry, Time now, EntryActions &actions)
{
    for (const RequestId &id : waitingRequests(entry)) {
        const auto found = entry.requests_.find(id);
        if (found == entry.requests_.end())
            continue;
        const AccountName before = found->second.account_;
        std::optional<ApiError> error = authorise(entry, found->second, now);
        if (!error && found->second.account_ != before)
            error = ApiError{ApiErrorCode::KeyUnknown, RunState::NotRun,
                             "the key now belongs to another account", 0};
        found->second.account_ = before;
        if (error)
            failRequest(entry, id, *error, now, actions);
    }
}

} // namespace eelgrasscove
