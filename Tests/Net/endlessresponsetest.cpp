#include "../Shared/endlessserver.h"
#include "../Shared/servingstandins.h"
#include "Net/httpcaller.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

/// Bound on what a caller of the store or of an engine takes in: the longest answer of either is a
/// list of a few MB.
constexpr std::uint64_t mostTakenBytes = 64ULL * 1024 * 1024;

void checkAnswersEnd(const std::vector<EndlessAnswer> &rows)
{
    for (const EndlessAnswer &row : rows) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            auto &loop = *new EventLoop;
            EndlessServer server(row.prefix_, row.filler_);
            HttpCaller caller(loop, {"127.0.0.1", server.port()});
            bool hasEnded = false;
            std::optional<HttpResponse> answer;
            caller.call("GET", "/a", "", 10s, [&](std::optional<HttpResponse> response) {
                hasEnded = true;
                answer = std::move(response);
            });
            BOOST_TEST(turnUntil(loop, 5s, [&] { return hasEnded && server.closed() == 1; }));
            BOOST_TEST(!answer.has_value());
            BOOST_TEST(server.sentBytes() < mostTakenBytes);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(endlessresponse)

BOOST_AUTO_TEST_CASE(call_to_a_server_whose_head_has_no_end_fails_and_closes)
{
    checkAnswersEnd(endlessHeads());
}

BOOST_AUTO_TEST_CASE(call_to_a_server_whose_body_has_no_end_fails_and_closes)
{
    checkAnswersEnd(endlessBodies());
}

BOOST_AUTO_TEST_CASE(call_fails_at_the_limit_of_its_caller)
{
    constexpr std::size_t limit = 1024UL * 1024;
    auto &loop = *new EventLoop;
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "x");
    HttpCaller caller(loop, {"127.0.0.1", server.port()}, limit);
    bool hasEnded = false;
    caller.call("GET", "/a", "", 10s, [&](const auto &response) {
        hasEnded = true;
        BOOST_TEST(!response.has_value());
    });
    BOOST_TEST(turnUntil(loop, 5s, [&] { return hasEnded && server.closed() == 1; }));
    // The kernel's buffers hold some MB beside it.
    BOOST_TEST(server.sentBytes() < 16 * limit);
}

BOOST_AUTO_TEST_CASE(call_with_an_invalid_or_no_final_response_fails_and_closes)
{
    checkAnswersEnd({
        {"status 000", "HTTP/1.1 000 Note\r\nContent-Length: 2\r\n\r\n{}", "x"},
        {"status 600", "HTTP/1.1 600 Note\r\nContent-Length: 2\r\n\r\n{}", "x"},
        {"header name", "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 2\r\n\r\n{}", "x"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    });
}

BOOST_AUTO_TEST_CASE(call_is_answered_by_its_final_response_after_interim_ones)
{
    auto &loop = *new EventLoop;
    Server server(loop, "127.0.0.1:17305", [](const auto &from, SeenRequest &&request) {
        from->stream_->write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
        from->loop_.timers().once(20ms, [from, target = request.head_.target_] {
            from->stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
            from->answer(200, "", target);
        });
    });
    HttpCaller caller(loop, {"127.0.0.1", 17305});
    std::vector<std::string> answers;
    for (const char *target : {"/a", "/b"}) {
        caller.call("GET", target, "", 2s, [&](const std::optional<HttpResponse> &response) {
            answers.push_back(response ? std::to_string(response->status_) + response->body_
                                       : "none");
        });
    }
    BOOST_TEST(turnUntil(loop, 5s, [&] { return answers.size() == 2; }));
    const std::vector<std::string> expected = {"200/a", "200/b"};
    BOOST_TEST(answers == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
