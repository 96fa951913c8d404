#include "Observe/observeserver.h"

#include "../Caller/rawcaller.h"

#include <fmt/core.h>

using namespace eelgrasscove;

namespace {

struct Observed
{
    std::string_view request_;
    std::string_view status_;
    /// All that follows the head.
    std::string_view body_;
};

const Observed observed[] = {
    {"GET /healthz", "200", "ok\n"},
    {"GET /readyz?x=1", "503", "not ready\n"},
    {"GET /status", "200", R"({"vm":"entry-1"})"},
    {"HEAD /status", "200", ""},
    {"POST /healthz", "405", "use GET or HEAD\n"},
    {"GET /other", "404", "no such page; see /healthz, /readyz, /metrics, /status\n"},
};

} // namespace

BOOST_AUTO_TEST_CASE(eachPageIsAnsweredAndNothingElse)
{
    StatusBoard board;
    board.setStatus(R"({"vm":"entry-1"})");
    const std::uint16_t port = freePort();
    ObserveServer server(fmt::format("127.0.0.1:{}", port), board);
    BOOST_REQUIRE(ok(server.start()));
    for (const Observed &one : observed) {
        BOOST_TEST_CONTEXT(one.request_)
        {
            const RawCaller caller(port);
            caller.send(fmt::format("{} HTTP/1.1\r\nHost: e\r\n\r\n", one.request_));
            const std::string answer = caller.receive();
            BOOST_TEST(answer.rfind(fmt::format("HTTP/1.1 {} ", one.status_), 0) == 0U);
            BOOST_TEST(answer.substr(answer.find("\r\n\r\n") + 4) == one.body_);
            BOOST_TEST(!headerOf(answer, "Allow").empty() == (one.status_ == "405"));
        }
    }
}
