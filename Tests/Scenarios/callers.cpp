#include "callers.h"

#include <nlohmann/json.hpp>

namespace scenarios {

using Json = nlohmann::json;
using standins::HttpRequest;

namespace {

constexpr standins::Micros callTimeout = std::chrono::seconds(120);
constexpr standins::Micros loopLife = std::chrono::hours(24);

std::string completionBody(const CallerRecord &caller)
{
    Json json = {
        {"model", caller.route_}, {"max_tokens", caller.maxTokens_}, {"stream", caller.stream_}};
    if (caller.chat_)
        json["messages"] = {{{"role", "user"}, {"content", caller.prompt_}}};
    else
        json["prompt"] = caller.prompt_;
    return json.dump();
}

HttpRequest requestOf(CallerRecord &caller)
{
    HttpRequest request;
    request.method_ = caller.method_.empty() ? "POST" : caller.method_;
    request.target_ = caller.path_;
    if (caller.method_.empty()) {
        request.target_ = caller.chat_ ? "/v1/chat/completions" : "/v1/completions";
        caller.body_ = completionBody(caller);
    }
    request.body_ = caller.body_;
    request.headers_ = {{"Content-Type", "application/json"},
                        {"traceparent", "00-" + caller.trace_ + "-0123456789abcdef-01"}};
    if (!caller.keyText_.empty())
        request.headers_.push_back({"Authorization", "Bearer " + caller.keyText_});
    if (!caller.idempotencyKey_.empty())
        request.headers_.push_back({"Idempotency-Key", caller.idempotencyKey_});
    return request;
}

bool isNamed(const CallerRecord &caller, const std::string &name)
{
    return caller.name_ == name || caller.name_.rfind(name + ".", 0) == 0;
}

CallerRecord readRecord(CallerRecord record)
{
    if (!record.raw_.empty())
        readAnswer(record);
    return record;
}

} // namespace

Callers::Callers()
{
    loop_.after(loopLife, [] {});
    thread_ = std::thread([this] { loop_.run(); });
}

Callers::~Callers()
{
    loop_.stop();
    thread_.join();
}

void Callers::send(const CallerRecord &request, const standins::HostPort &entry)
{
    const std::lock_guard guard(mutex_);
    Request &open = requests_.emplace_back();
    open.record_ = request;
    open.record_.sentAt_ = standins::monotonicMicros();
    loop_.post([this, &open, entry] { begin(open, entry); });
}

void Callers::begin(Request &request, const standins::HostPort &entry)
{
    const std::lock_guard guard(mutex_);
    const HttpRequest message = requestOf(request.record_);
    const auto onPart = [this, &request](std::string_view part) {
        const std::lock_guard partGuard(mutex_);
        request.record_.raw_ += part;
    };
    const auto onEnd = [this, &request](const standins::HttpResult &result) {
        end(request, result);
    };
    request.call_ = standins::HttpCall::start(loop_, entry, message, callTimeout, onPart, onEnd);
}

void Callers::end(Request &request, const standins::HttpResult &result)
{
    const std::lock_guard guard(mutex_);
    request.record_.ended_ = true;
    request.record_.end_ = result.end_;
    request.record_.endedAt_ = result.endedAtMicros_;
    request.record_.status_ = result.response_.status_;
    request.record_.raw_ = result.response_.body_;
    if (result.end_ == standins::CallEnd::Refused || result.end_ == standins::CallEnd::NoAnswer
        || result.end_ == standins::CallEnd::TimedOut)
        request.record_.status_ = 0;
}

void Callers::cancel(const std::string &name)
{
    loop_.post([this, name] {
        std::vector<std::shared_ptr<standins::HttpCall>> calls;
        {
            const std::lock_guard guard(mutex_);
            for (Request &request : requests_) {
                if (!isNamed(request.record_, name) || request.record_.ended_)
                    continue;
                request.record_.excused_ = true;
                calls.push_back(request.call_);
            }
        }
        for (const auto &call : calls)
            call->cancel();
    });
}

void Callers::excuseOpenAt(const std::string &entry)
{
    const std::lock_guard guard(mutex_);
    for (Request &request : requests_) {
        if (request.record_.entry_ == entry && !request.record_.ended_)
            request.record_.excused_ = true;
    }
}

std::vector<CallerRecord> Callers::named(const std::string &name) const
{
    std::vector<CallerRecord> found;
    const std::lock_guard guard(mutex_);
    for (const Request &request : requests_) {
        if (isNamed(request.record_, name))
            found.push_back(readRecord(request.record_));
    }
    return found;
}

std::vector<CallerRecord> Callers::all() const
{
    std::vector<CallerRecord> found;
    const std::lock_guard guard(mutex_);
    for (const Request &request : requests_)
        found.push_back(readRecord(request.record_));
    return found;
}

bool Callers::ended(const std::string &name) const
{
    for (const CallerRecord &caller : named(name)) {
        if (!caller.ended_)
            return false;
    }
    return true;
}

} // namespace scenarios
