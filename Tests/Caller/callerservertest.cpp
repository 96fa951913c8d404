#include "Caller/callerserver.h"

#include "Observe/statusboard.h"
#include "rawcaller.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fmt/core.h>
#include <memory>
#include <nlohmann/json.hpp>

using namespace eelgrasscove;

namespace {

const std::string callerKey = "egc_0123456789abcdef";
constexpr std::uint32_t headerBytes = 1024;
constexpr std::uint32_t bodyBytes = 4096;
/// So many that closed connections which the server has yet to notice leave room; and few.
constexpr std::uint32_t manyConnections = 1000;
constexpr std::uint32_t fewConnections = 2;
/// Where a deadline must fire, and where none may.
constexpr Duration shortTime = std::chrono::milliseconds(100);
constexpr Duration longTime = std::chrono::minutes(2);

/// The server with a deciding thread that takes all it is given, and answers all but "/hold".
class Front
{
public:
    explicit Front(Duration callerTimeout, std::uint32_t connections = manyConnections,
                   bool takes = true)
        : takes_(takes)
    {
        CallerSettings settings;
        settings.connections_ = connections;
        settings.headerBytes_ = headerBytes;
        settings.bodyBytes_ = bodyBytes;
        settings.callerTimeout_ = callerTimeout;
        port_ = freePort();
        settings.listen_ = fmt::format("127.0.0.1:{}", port_);
        server_ = std::make_unique<CallerServer>(
            settings, KeySettings{"0123456789abcdef"}, board_,
            [this](CallerEvent &&event) { return take(std::move(event)); });
        BOOST_REQUIRE(ok(server_->start()));
    }

    /// One request on a connection of its own, and everything that came back.
    std::string exchange(const std::string &request) const
    {
        const RawCaller caller(port_);
        caller.send(request);
        return caller.receive();
    }

    std::uint16_t port_ = 0;

private:
    bool take(CallerEvent &&event)
    {
        if (!takes_)
            return false;
        const auto *request = std::get_if<CallerRequest>(&event);
        if (request == nullptr || request->path_ == "/hold")
            return true;
        if (request->path_ == "/stream") {
            server_->reply(ReplyHead{request->handle_, 200, "text/plain", "r1"});
            server_->reply(ReplyPart{request->handle_, "part"});
            server_->reply(ReplyEnd{request->handle_});
            return true;
        }
        ReplyWhole reply;
        reply.handle_ = request->handle_;
        reply.contentType_ = "text/plain";
        reply.body_ = "answer to " + request->path_;
        server_->reply(std::move(reply));
        return true;
    }

    bool takes_;
    StatusBoard board_;
    std::unique_ptr<CallerServer> server_;
};

/// A clear error: status, code, run field, an id to ask about, and when to come again.
void checkError(const std::string &answer, unsigned status, std::string_view code)
{
    BOOST_TEST(answer.rfind(fmt::format("HTTP/1.1 {} ", status), 0) == 0U, answer);
    BOOST_TEST(headerOf(answer, "Content-Type") == "application/json");
    BOOST_TEST(!headerOf(answer, "X-Request-Id").empty());
    const bool comeAgain = status == 429 || status == 503;
    BOOST_TEST(!headerOf(answer, "Retry-After").empty() == comeAgain);
    BOOST_TEST(!headerOf(answer, "Allow").empty() == (status == 405));
    const std::size_t end = answer.find("\r\n\r\n");
    BOOST_REQUIRE(end != std::string::npos);
    const auto body = nlohmann::json::parse(answer.substr(end + 4), nullptr, false);
    BOOST_REQUIRE(body.is_object());
    BOOST_TEST(body["error"]["code"] == code);
    BOOST_TEST(body["error"]["run"] == "not_run");
    BOOST_TEST(!body["error"]["message"].get<std::string>().empty());
    BOOST_TEST(answer.find(callerKey) == std::string::npos);
}

std::string post(const std::string &path, const std::string &headers, const std::string &body)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: e\r\nConnection: close\r\nContent-Length: {}\r\n"
                       "{}\r\n{}",
                       path, body.size(), headers, body);
}

std::string plain(const std::string &method, const std::string &path)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n", method, path);
}

struct Refusal
{
    std::string name_;
    std::string request_;
    unsigned status_;
    std::string code_;
};

void checkRefusals(const Front &front, const std::vector<Refusal> &refusals)
{
    for (const Refusal &refusal : refusals) {
        BOOST_TEST_CONTEXT(refusal.name_)
        checkError(front.exchange(refusal.request_), refusal.status_, refusal.code_);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(whatCannotBeServedGetsAClearError)
{
    const std::string large(256 * 1024, 'x');
    const std::string bearer = "Authorization: Bearer " + callerKey + "\r\n";
    checkRefusals(
        Front(longTime),
        {{"a large header", "GET / HTTP/1.1\r\nX: " + large, 431, "header_too_large"},
         {"a large body, sent whole", post("/a", "", large), 413, "body_too_large"},
         {"a large body in chunks",
          "POST /a HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n" + large, 413,
          "body_too_large"},
         {"not HTTP", "good morning\r\n\r\n", 400, "bad_request"},
         {"a bad length", "POST /a HTTP/1.1\r\nContent-Length: two\r\n\r\n", 400, "bad_request"},
         {"completions, read", plain("GET", "/v1/completions"), 405, "method_not_allowed"},
         {"chats, replaced", plain("PUT", "/v1/chat/completions"), 405, "method_not_allowed"},
         {"models, sent", post("/v1/models", "", "{}"), 405, "method_not_allowed"},
         {"health, deleted", plain("DELETE", "/healthz"), 405, "method_not_allowed"},
         {"no JSON", post("/v1/completions", bearer, "{"), 400, "bad_request"},
         {"the key in the path", post("/a?key=" + callerKey, bearer, "{}"), 400, "key_in_request"},
         {"the key as the request's id",
          post("/a", bearer + "X-Request-Id: " + callerKey + "\r\n", "{}"), 400, "key_in_request"},
         {"a bad Idempotency-Key", post("/a", "Idempotency-Key: a b\r\n", ""), 400,
          "bad_request"}});
}

BOOST_AUTO_TEST_CASE(aSlowCallerIsToldSoAndAnIdleOneIsClosed)
{
    const Front front(shortTime);
    checkRefusals(front,
                  {{"within the first line", "GET /a", 408, "caller_too_slow"},
                   {"within the header", "GET /a HTTP/1.1\r\nHost:", 408, "caller_too_slow"},
                   {"within the body", "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc", 408,
                    "caller_too_slow"}});
    BOOST_TEST(front.exchange("") == "");
}

BOOST_AUTO_TEST_CASE(aFullRingOfRequestsIsToldWithTheCallersOwnId)
{
    const Front front(longTime, manyConnections, false);
    const std::string answer = front.exchange(post("/a", "X-Request-Id: chair-7\r\n", "{}"));
    checkError(answer, 503, "overloaded");
    BOOST_TEST(headerOf(answer, "X-Request-Id") == "chair-7");
}

BOOST_AUTO_TEST_CASE(aCallerOverTheLimitIsToldSoAndServedOnceThereIsRoom)
{
    const Front front(longTime, fewConnections);
    const std::string keep = "GET /a HTTP/1.1\r\nHost: e\r\n\r\n";
    auto first = std::make_unique<RawCaller>(front.port_);
    const RawCaller second(front.port_);
    const std::array<const RawCaller *, 2> connected = {first.get(), &second};
    for (const RawCaller *caller : connected) {
        caller->send(keep);
        BOOST_TEST(headerOf(caller->receive("answer to /a"), "Content-Type") == "text/plain");
    }
    checkError(front.exchange(plain("GET", "/a")), 503, "too_many_connections");
    checkError(front.exchange(post("/a", "", std::string(256 * 1024, 'x'))), 503,
               "too_many_connections");
    // The refused leave no trace: those that are connected are served on.
    second.send(keep);
    BOOST_TEST(second.receive("answer to /a").rfind("HTTP/1.1 200", 0) == 0U);
    first.reset();
    std::string answer;
    while (answer.rfind("HTTP/1.1 200", 0) != 0)
        answer = front.exchange(plain("GET", "/a"));
}

BOOST_AUTO_TEST_CASE(refusalsInProgressAreBounded)
{
    const Front front(longTime, fewConnections);
    std::vector<std::unique_ptr<RawCaller>> silent;
    for (std::size_t one = 0; one < fewConnections + refusalsAtOnce; ++one)
        silent.push_back(std::make_unique<RawCaller>(front.port_));
    BOOST_TEST(front.exchange("") == "");
    // A caller that is being refused still gets its answer.
    silent.back()->send(plain("GET", "/a"));
    checkError(silent.back()->receive("}}"), 503, "too_many_connections");
}

BOOST_AUTO_TEST_CASE(headAsksForTheSameWithoutABody)
{
    const Front front(longTime);
    for (const char *path : {"/healthz", "/a", "/stream"}) {
        BOOST_TEST_CONTEXT(path)
        {
            const RawCaller caller(front.port_);
            caller.send(fmt::format("HEAD {} HTTP/1.1\r\nHost: e\r\n\r\n", path));
            const std::string head = caller.receive("\r\n\r\n");
            BOOST_TEST(head.rfind("HTTP/1.1 200", 0) == 0U);
            // Whatever followed the head would stand before the next answer.
            caller.send(plain("GET", "/next"));
            const std::string next = caller.receive();
            BOOST_TEST(next.rfind("HTTP/1.1 200", 0) == 0U, next);
            BOOST_TEST(next.find("answer to /next") != std::string::npos);
        }
    }
}
