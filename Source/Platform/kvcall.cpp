#include "Platform/kvcall.h"

#include "Platform/etcdjson.h"

#include <future>
#include <utility>

namespace eelgrasscove {

namespace {

constexpr std::uint32_t httpOk = 200;

KvOutcome failedOutcome(const KvOperation &operation, KvStatus status, std::string error)
{
    KvOutcome outcome;
    outcome.tag_ = operation.tag_;
    outcome.status_ = status;
    outcome.error_ = std::move(error);
    return outcome;
}

} // namespace

HttpCall httpCallOf(const KvOperation &operation, const PlatformSettings &settings)
{
    const EtcdCall call = encodeOperation(operation, settings.prefix_);
    HttpCall http;
    http.url_ = settings.keyValueUrl_ + call.path_;
    http.body_ = call.body_;
    http.timeout_ = settings.callTimeout_;
    http.repeatable_ = operation.writes_.empty();
    return http;
}

KvOutcome outcomeOf(const KvOperation &operation, const std::string &prefix, const HttpReply &reply)
{
    if (reply.end_ == HttpEnd::NotSent)
        return failedOutcome(operation, KvStatus::NotSent, reply.error_);
    if (reply.end_ == HttpEnd::NoReply)
        return failedOutcome(operation, KvStatus::Unknown, reply.error_);
    if (reply.status_ != httpOk) {
        const EtcdRefusal refusal = decodeRefusal(reply.status_, reply.body_);
        const KvStatus status = refusal.nothingWritten_ ? KvStatus::NotSent : KvStatus::Unknown;
        return failedOutcome(operation, status, refusal.message_);
    }
    Result<KvOutcome, EtcdError> outcome = decodeOutcome(operation, prefix, reply.body_);
    if (!ok(outcome))
        return failedOutcome(operation, KvStatus::Unknown, errorOf(outcome).message_);
    return valueOf(std::move(outcome));
}

BlockingClient::BlockingClient(PlatformSettings settings) : settings_(std::move(settings))
{
    client_.start();
}

HttpReply BlockingClient::http(HttpCall call)
{
    std::promise<HttpReply> promise;
    client_.call(std::move(call),
                 [&promise](HttpReply reply) { promise.set_value(std::move(reply)); });
    return promise.get_future().get();
}

KvOutcome BlockingClient::keyValue(const KvOperation &operation)
{
    return outcomeOf(operation, settings_.prefix_, http(httpCallOf(operation, settings_)));
}

} // namespace eelgrasscove
