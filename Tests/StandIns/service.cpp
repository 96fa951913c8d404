#include "StandIns/service.h"

#include "StandIns/completion.h"

#include <nlohmann/json.hpp>

namespace standins {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::size_t loggedBodyBytes = 256;

Json headersJson(const std::vector<HttpHeader> &headers)
{
    Json json = Json::array();
    for (const HttpHeader &header : headers)
        json.push_back({header.name_, header.value_});
    return json;
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

PlainService::PlainService(EventLoop &loop, ServiceOptions options)
    : loop_(loop), options_(std::move(options))
{ }

void PlainService::handle(const HttpRequest &request, const ExchangePtr &exchange)
{
    const std::string_view path = pathOf(request);
    if (path == "/log" && request.method_ == "GET") {
        exchange->send(recordLogResponse(log_));
    } else if (path == "/control" && request.method_ == "POST") {
        control(request, exchange);
    } else {
        call(request, exchange);
    }
}

void PlainService::control(const HttpRequest &request, const ExchangePtr &exchange)
{
    const Json call = Json::parse(request.body_, nullptr, false);
    try {
        failNext_ = call.value("fail_next", failNext_);
        closeNext_ = call.value("close_before_reply_next", closeNext_);
        options_.delayMillis_ = call.value("delay_ms", options_.delayMillis_);
        exchange->send({.body_ = R"({"ok":true})"});
    } catch (const Json::exception &error) {
        exchange->send({.status_ = 400, .body_ = dump({{"error", error.what()}})});
    }
}

void PlainService::call(const HttpRequest &request, const ExchangePtr &exchange)
{
    if (failNext_ > 0) {
        failNext_ -= 1;
        record(request, "failed");
        exchange->send({.status_ = 500, .body_ = R"({"error":"failed on command"})"});
        return;
    }
    const bool books = request.method_ == "POST";
    bookings_ += books ? 1 : 0;
    if (closeNext_ > 0) {
        closeNext_ -= 1;
        record(request, "closed");
        exchange->close();
        return;
    }
    record(request, "answered");
    const Json answer = {{"service", options_.name_},
                         {"path", request.target_},
                         {"body_digest", digestHex(request.body_)},
                         {"booking", books ? bookings_ : 0},
                         {"served_for", headerValue(request.headers_, "X-Client-Account")}};
    loop_.after(std::chrono::milliseconds(options_.delayMillis_),
                [exchange, text = dump(answer)] { exchange->send({.body_ = text}); });
}

void PlainService::record(const HttpRequest &request, const std::string &outcome)
{
    const bool books = request.method_ == "POST" && outcome != "failed";
    const Json line = {{"at_us", monotonicMicros()},
                       {"event", "call"},
                       {"service", options_.name_},
                       {"attempt", headerValue(request.headers_, "X-Attempt-Id")},
                       {"method", request.method_},
                       {"path", request.target_},
                       {"body_digest", digestHex(request.body_)},
                       {"body_head", request.body_.substr(0, loggedBodyBytes)},
                       {"booking", books ? bookings_ : 0},
                       {"outcome", outcome},
                       {"headers", headersJson(request.headers_)}};
    appendRecord(log_, dump(line));
}

} // namespace standins
