#include "calls.h"

#include "StandIns/completion.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;

namespace {

constexpr std::uint64_t mixSize = 10;
constexpr std::int64_t mixTokens = 4;
constexpr std::chrono::seconds answerTime{60};

std::string promptOf(const Call &call)
{
    return fmt::format("request {} of the load", call.number_);
}

std::string bookingOf(const Call &call)
{
    return fmt::format(R"({{"chair":{}}})", call.number_);
}

std::string completionBody(const Call &call)
{
    Json body = {{"model", call.route_}, {"max_tokens", call.tokens_}};
    if (call.kind_ == CallKind::Chat)
        body["messages"] = {{{"role", "user"}, {"content", promptOf(call)}}};
    else
        body["prompt"] = promptOf(call);
    if (call.kind_ == CallKind::Streamed)
        body["stream"] = true;
    return body.dump();
}

Request requestOf(const Call &call)
{
    Request request{http::verb::post, "/v1/completions", 11};
    request.set(http::field::host, "loopback");
    request.set(http::field::content_type, "application/json");
    if (call.kind_ == CallKind::Lookup) {
        request.method(http::verb::get);
        request.target(fmt::format("/certificates/{}", call.number_));
    } else if (call.kind_ == CallKind::Booking) {
        request.target("/certificates");
        request.set("Idempotency-Key", fmt::format("load-{}", call.number_));
        request.body() = bookingOf(call);
    } else {
        if (call.kind_ == CallKind::Chat)
            request.target("/v1/chat/completions");
        request.body() = completionBody(call);
    }
    request.prepare_payload();
    return request;
}

/// The texts of a stream's events, joined; empty unless the stream's end was there.
std::string streamedText(const std::string &body)
{
    constexpr std::string_view data = "data: ";
    std::string text;
    std::size_t at = 0;
    while ((at = body.find(data, at)) != std::string::npos) {
        const std::size_t end = body.find('\n', at);
        const std::string event = body.substr(at + data.size(), end - at - data.size());
        if (event == "[DONE]")
            return text;
        const Json json = Json::parse(event, nullptr, false);
        if (json.is_object() && json.contains("choices") && !json["choices"].empty())
            text += json["choices"][0].value("text", std::string());
        at += data.size();
    }
    return {};
}

std::string wholeText(const Call &call, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("choices") || json["choices"].empty())
        return {};
    const Json &choice = json["choices"][0];
    if (call.kind_ == CallKind::Chat)
        return choice.value("/message/content"_json_pointer, std::string());
    return choice.value("text", std::string());
}

bool matchesService(const Call &call, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return false;
    if (call.kind_ == CallKind::Lookup)
        return json.value("path", "") == fmt::format("/certificates/{}", call.number_);
    return json.value("body_digest", "") == standins::digestHex(bookingOf(call));
}

} // namespace

Call mixedCall(std::uint64_t number)
{
    Call call;
    call.number_ = number;
    call.tokens_ = mixTokens;
    const bool oak = number % 2 == 0;
    call.route_ = oak ? "oak" : "beech";
    call.model_ = oak ? "oak-legs@3" : "beech-legs@1";
    const std::uint64_t place = number % mixSize;
    if (place < 4)
        call.kind_ = CallKind::Streamed;
    else if (place < 6)
        call.kind_ = CallKind::Whole;
    else if (place < 8)
        call.kind_ = CallKind::Chat;
    else
        call.kind_ = place == 8 ? CallKind::Lookup : CallKind::Booking;
    return call;
}

bool matches(const Call &call, const Answer &answer)
{
    if (answer.status_ != 200)
        return false;
    if (call.kind_ == CallKind::Lookup || call.kind_ == CallKind::Booking)
        return matchesService(call, answer.body_);
    const std::string text = call.kind_ == CallKind::Streamed ? streamedText(answer.body_)
                                                              : wholeText(call, answer.body_);
    return text == standins::completionText(call.model_, promptOf(call), call.tokens_);
}

struct Connection::Impl
{
    std::string address_;
    std::string key_;
    asio::io_context context_;
    std::optional<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;

    bool open()
    {
        const std::size_t colon = address_.rfind(':');
        const auto port = static_cast<unsigned short>(std::stoi(address_.substr(colon + 1)));
        const tcp::endpoint endpoint(asio::ip::make_address(address_.substr(0, colon)), port);
        stream_.emplace(context_);
        buffer_.clear();
        beast::error_code error;
        stream_->socket().connect(endpoint, error);
        if (!error)
            stream_->socket().set_option(tcp::no_delay(true), error);
        if (error)
            stream_.reset();
        return !error;
    }
};

Connection::Connection(std::string address, std::string key) : impl_(std::make_unique<Impl>())
{
    impl_->address_ = std::move(address);
    impl_->key_ = std::move(key);
}

Connection::~Connection() = default;

Answer Connection::perform(const Call &call)
{
    if (!impl_->stream_ && !impl_->open())
        return {};
    Request request = requestOf(call);
    if (!impl_->key_.empty())
        request.set(http::field::authorization, "Bearer " + impl_->key_);
    beast::error_code error;
    impl_->stream_->expires_after(answerTime);
    http::write(*impl_->stream_, request, error);
    http::response<http::string_body> response;
    if (!error)
        http::read(*impl_->stream_, impl_->buffer_, response, error);
    if (error || !response.keep_alive())
        impl_->stream_.reset();
    if (error)
        return {};
    return {response.result_int(), response.body()};
}

} // namespace load
