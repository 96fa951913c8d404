#include "../Shared/cuttingserver.h"
#include "Platform/httpclient.h"

#include "Vm/boundedring.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace standins;
using namespace std::chrono_literals;

namespace {

/// More than the sockets of both ends hold, so that the write is in progress when the server ends
/// the connection.
constexpr std::size_t bodyBytes = 48UL * 1024 * 1024;

HttpReply callAndWait(const CuttingServer &server, std::size_t bytes = bodyBytes)
{
    BoundedRing<HttpReply> replies(1);
    HttpClient client;
    client.start();
    HttpCall call;
    call.url_ = "http://" + server.address() + "/v3/kv/txn";
    call.body_.assign(bytes, 'u');
    call.timeout_ = 10s;
    call.repeatable_ = true;
    client.call(call, [&](HttpReply reply) { replies.tryPush(std::move(reply)); });
    const std::optional<HttpReply> reply = replies.pop(15s);
    client.stop();
    BOOST_REQUIRE(reply.has_value());
    return *reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cutresponse)

// Guards against a call being repeated as one that was never sent, although the server has received
// a part of it.
BOOST_AUTO_TEST_CASE(call_that_was_sent_in_part_is_not_reported_as_not_sent)
{
    CuttingServer server([](const std::string &) { return CuttingServer::Answer{""}; });
    BOOST_TEST((callAndWait(server).end_ == HttpEnd::NoReply));
    BOOST_TEST(server.connections() == 1);
}

BOOST_AUTO_TEST_CASE(response_that_comes_before_the_connection_fails_is_read)
{
    CuttingServer server([](const std::string &) {
        return CuttingServer::Answer{
            "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 4\r\n\r\nlong"};
    });
    const HttpReply reply = callAndWait(server);
    BOOST_TEST((reply.end_ == HttpEnd::Replied));
    BOOST_TEST(reply.status_ == 413);
    BOOST_TEST(reply.body_ == "long");
}

BOOST_AUTO_TEST_CASE(response_without_length_is_not_complete_if_the_request_was_not_received)
{
    for (const ConnectionEnd end : {ConnectionEnd::Reset, ConnectionEnd::Closed}) {
        CuttingServer server([end](const std::string &) {
            return CuttingServer::Answer{"HTTP/1.1 200 OK\r\n\r\npart", end};
        });
        // Smaller bodies are still in the sockets when the connection ends.
        for (const std::size_t bytes :
             {std::size_t(500) * 1024, std::size_t(2) * 1024 * 1024, bodyBytes})
            BOOST_TEST((callAndWait(server, bytes).end_ == HttpEnd::NoReply), bytes);
    }
}

BOOST_AUTO_TEST_CASE(response_without_length_to_a_received_request_is_complete)
{
    CuttingServer server([](const std::string &) {
        return CuttingServer::Answer{"HTTP/1.1 200 OK\r\n\r\nwhole",
                                     ConnectionEnd::ClosedAfterRequest};
    });
    for (const std::size_t bytes : {std::size_t(1), std::size_t(2) * 1024 * 1024, bodyBytes}) {
        const HttpReply reply = callAndWait(server, bytes);
        BOOST_TEST((reply.end_ == HttpEnd::Replied), bytes);
        BOOST_TEST(reply.body_ == "whole");
    }
}

BOOST_AUTO_TEST_SUITE_END()
