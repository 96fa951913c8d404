#include "../Shared/endlessserver.h"
#include "Platform/httpclient.h"

#include "Vm/boundedring.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace standins;
using namespace std::chrono_literals;

namespace {

/// A reply may have 64 MiB; in small chunks it takes up to twice as much on the wire.
constexpr std::uint64_t mostTakenBytes = 128ULL * 1024 * 1024;

bool awaitClosed(const EndlessServer &server, Duration timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (server.closed() == 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(5ms);
    return server.closed() == 1;
}

HttpCall callOf(const EndlessServer &server)
{
    HttpCall call;
    call.url_ = "http://" + server.address() + "/v3/kv/range";
    call.timeout_ = 10s;
    return call;
}

std::vector<EndlessAnswer> allAnswers()
{
    std::vector<EndlessAnswer> rows = endlessHeads();
    rows.insert(rows.end(), endlessBodies().begin(), endlessBodies().end());
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endlessresponse)

BOOST_AUTO_TEST_CASE(call_to_a_server_whose_answer_has_no_end_fails_and_closes)
{
    for (const EndlessAnswer &row : allAnswers()) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            EndlessServer server(row.prefix_, row.filler_);
            BoundedRing<HttpReply> replies(1);
            HttpClient client;
            client.start();
            client.call(callOf(server),
                        [&](HttpReply reply) { replies.tryPush(std::move(reply)); });
            const std::optional<HttpReply> reply = replies.pop(5s);
            BOOST_TEST((reply && reply->end_ == HttpEnd::NoReply));
            BOOST_TEST(awaitClosed(server, 2s));
            BOOST_TEST(server.sentBytes() < mostTakenBytes);
            client.stop();
        }
    }
}

BOOST_AUTO_TEST_CASE(stream_from_a_server_whose_head_has_no_end_fails_and_closes)
{
    for (const EndlessAnswer &row : endlessHeads()) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            EndlessServer server(row.prefix_, row.filler_);
            BoundedRing<std::string> ends(1);
            HttpClient client;
            client.start();
            client.openStream(
                callOf(server), [](std::string_view) {},
                [&](const std::string &error) { ends.tryPush(std::string(error)); });
            BOOST_TEST(ends.pop(5s).has_value());
            BOOST_TEST(awaitClosed(server, 2s));
            BOOST_TEST(server.sentBytes() < mostTakenBytes);
            client.stop();
        }
    }
}

BOOST_AUTO_TEST_CASE(call_answered_with_an_invalid_status_has_no_reply)
{
    for (const std::string status : {"000", "099", "600", "999"}) {
        // The bytes after the answer keep the connection in use until the client closes it.
        EndlessServer server("HTTP/1.1 " + status + " Note\r\nContent-Length: 2\r\n\r\n{}", "x");
        BoundedRing<HttpReply> replies(1);
        BoundedRing<std::string> ends(1);
        std::atomic<std::uint64_t> received = 0;
        HttpClient client;
        client.start();
        client.call(callOf(server), [&](HttpReply reply) { replies.tryPush(std::move(reply)); });
        const std::optional<HttpReply> reply = replies.pop(5s);
        BOOST_TEST((reply && reply->end_ == HttpEnd::NoReply), status);
        BOOST_TEST(awaitClosed(server, 2s));
        client.openStream(
            callOf(server), [&](std::string_view part) { received += part.size(); },
            [&](const std::string &error) { ends.tryPush(std::string(error)); });
        BOOST_TEST(ends.pop(5s).has_value(), status);
        BOOST_TEST(received == 0);
        client.stop();
    }
}

BOOST_AUTO_TEST_CASE(call_is_answered_by_its_final_response_after_interim_ones)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::string responses =
        interim + interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    for (const std::string &prefix : {responses, std::string()}) {
        EndlessServer server(prefix, prefix.empty() ? interim : "x");
        BoundedRing<HttpReply> replies(1);
        HttpClient client;
        client.start();
        client.call(callOf(server), [&](HttpReply reply) { replies.tryPush(std::move(reply)); });
        const std::optional<HttpReply> reply = replies.pop(5s);
        BOOST_REQUIRE(reply.has_value());
        BOOST_TEST((reply->end_ == (prefix.empty() ? HttpEnd::NoReply : HttpEnd::Replied)));
        BOOST_TEST(reply->status_ == (prefix.empty() ? 0 : 200));
        BOOST_TEST(reply->body_ == (prefix.empty() ? "" : "{}"));
        client.stop();
    }
}

BOOST_AUTO_TEST_CASE(stream_that_its_reader_closes_is_not_read_on)
{
    EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "x");
    HttpClient client;
    client.start();
    std::atomic<std::uint64_t> stream = 0;
    std::atomic<std::uint64_t> received = 0;
    BoundedRing<std::string> ends(1);
    stream = client.openStream(
        callOf(server),
        [&](std::string_view part) {
            received += part.size();
            if (received > 1024ULL * 1024 && stream != 0)
                client.closeStream(stream);
        },
        [&](const std::string &error) { ends.tryPush(std::string(error)); });
    BOOST_TEST(ends.pop(5s).has_value());
    BOOST_TEST(awaitClosed(server, 2s));
    BOOST_TEST(server.sentBytes() < mostTakenBytes);
    client.stop();
}

BOOST_AUTO_TEST_SUITE_END()
