#include "../Shared/cuttingserver.h"
#include "../Shared/servingstandins.h"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

using namespace standins;

BOOST_AUTO_TEST_SUITE(tcpstream)

BOOST_AUTO_TEST_CASE(reset_received_with_data_is_reported_as_error)
{
    auto &loop = *new EventLoop;
    Server server(loop, "127.0.0.1:17301", [&](const auto &connection, SeenRequest &&) {
        connection->stream_->write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        connection->stream_->close(true);
    });
    Client client(loop, "127.0.0.1:17301");
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(turnUntil(loop, 2s, [&] { return client.ended_; }));
    BOOST_TEST(client.error_ != 0);
}

// Guards against a failed write that takes the error of a reset from the socket, whose end then
// reads like an orderly one.
BOOST_AUTO_TEST_CASE(reset_that_a_write_meets_first_is_reported_as_error)
{
    // The second amount exceeds what the socket accepts, so that the rest is queued.
    for (const std::size_t bytes : {std::size_t(1), std::size_t(64) * 1024 * 1024}) {
        auto &loop = *new EventLoop;
        CuttingServer server([](const std::string &) { return CuttingServer::Answer{"part"}; });
        Client client(loop, server.address());
        bool isConnected = false;
        loop.timers().every(1ms, [&] { isConnected = client.stream_->descriptor() >= 0; });
        client.send("GET / HTTP/1.1\r\n");
        BOOST_REQUIRE(
            turnUntil(loop, 2s, [&] { return isConnected && server.connections() == 1; }));
        const bool isQueued = bytes > 1;
        if (isQueued)
            client.stream_->write("\r\n" + std::string(bytes, 'u'));
        else
            client.stream_->write("\r\n");
        // Until the reset has arrived nothing is read.
        for (int wait = 0; wait < 200 && !client.stream_->hasPeerClosed(); ++wait)
            std::this_thread::sleep_for(10ms);
        BOOST_REQUIRE(client.stream_->hasPeerClosed());
        BOOST_TEST((client.stream_->unsentBytes() > 0) == isQueued);
        client.stream_->write("u");
        BOOST_TEST(turnUntil(loop, 2s, [&] { return client.ended_; }));
        BOOST_TEST(client.received_ == "part");
        BOOST_TEST(client.error_ != 0);
        BOOST_TEST(client.stream_->hasWriteFailed());
    }
}

BOOST_AUTO_TEST_CASE(end_of_the_peer_tells_whether_it_had_received_all)
{
    for (const ConnectionEnd end : {ConnectionEnd::Closed, ConnectionEnd::ClosedAfterRequest}) {
        auto &loop = *new EventLoop;
        CuttingServer server([end](const std::string &) {
            return CuttingServer::Answer{"all", end};
        });
        Client client(loop, server.address());
        constexpr std::size_t bytes = 16UL * 1024 * 1024;
        client.send(fmt::format("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{}", bytes,
                                std::string(bytes, 'u')));
        BOOST_TEST(turnUntil(loop, 2s, [&] { return client.ended_; }));
        BOOST_TEST(client.error_ == 0);
        BOOST_TEST(client.received_ == "all");
        BOOST_TEST(client.stream_->wasAllDelivered() == (end == ConnectionEnd::ClosedAfterRequest));
    }
}

BOOST_AUTO_TEST_CASE(close_after_write_is_reported_as_orderly_end)
{
    auto &loop = *new EventLoop;
    Server server(loop, "127.0.0.1:17302", [&](const auto &connection, SeenRequest &&) {
        connection->stream_->write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
        connection->stream_->closeAfterWrite();
    });
    Client client(loop, "127.0.0.1:17302");
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(turnUntil(loop, 2s, [&] { return client.ended_; }));
    BOOST_TEST(client.error_ == 0);
    BOOST_TEST(client.received_.ends_with("whole"));
}

BOOST_AUTO_TEST_CASE(lost_connection_without_data_is_detected_within_three_seconds)
{
    auto &loop = *new EventLoop;
    Server server(loop, "127.0.0.1:17303", [](const auto &, SeenRequest &&) {});
    Client client(loop, "127.0.0.1:17303");
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(turnUntil(loop, 2s, [&] { return !server.connections_.empty(); }));
    for (const std::shared_ptr<TcpStream> &stream :
         {client.stream_, server.connections_.front()->stream_}) {
        const auto option = [&](int level, int name) {
            int value = 0;
            socklen_t size = sizeof value;
            BOOST_TEST(getsockopt(stream->descriptor(), level, name, &value, &size) == 0);
            return value;
        };
        BOOST_TEST(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
        const int detectionSeconds = option(IPPROTO_TCP, TCP_KEEPIDLE)
            + option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT);
        BOOST_TEST(detectionSeconds <= 3);
    }
}

BOOST_AUTO_TEST_CASE(timers_fire_in_order_and_not_after_cancel)
{
    auto &loop = *new EventLoop;
    std::string order;
    loop.timers().once(30ms, [&] { order += 'c'; });
    loop.timers().once(10ms, [&] { order += 'a'; });
    const TimerId cancelled = loop.timers().once(20ms, [&] { order += 'b'; });
    loop.timers().cancel(cancelled);
    loop.timers().every(15ms, [&] { order += '.'; });
    BOOST_TEST(
        turnUntil(loop, 2s, [&] { return std::count(order.begin(), order.end(), '.') >= 3; }));
    order.erase(std::remove(order.begin(), order.end(), '.'), order.end());
    BOOST_TEST(order == "ac");
}

BOOST_AUTO_TEST_CASE(time_limit_does_not_expire_before_an_answer_that_has_arrived_is_read)
{
    auto &loop = *new EventLoop;
    std::shared_ptr<ServerConnection> server;
    Server listener(loop, "127.0.0.1:17304",
                    [&](const auto &connection, SeenRequest &&) { server = connection; });
    Client client(loop, "127.0.0.1:17304");
    client.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(turnUntil(loop, 2s, [&] { return server != nullptr; }));
    bool hasExpired = false;
    std::string receivedAtExpiry;
    loop.timers().once(30ms, [&] {
        hasExpired = true;
        receivedAtExpiry = client.received_;
    });
    // The answer arrives at once, and the loop is held up beyond the time limit.
    loop.timers().once(5ms, [&] {
        server->answer(200, "", "whole");
        std::this_thread::sleep_for(100ms);
    });
    BOOST_TEST(turnUntil(loop, 2s, [&] { return hasExpired; }));
    BOOST_TEST(receivedAtExpiry.ends_with("whole"));
}

BOOST_AUTO_TEST_CASE(invalid_endpoints_are_rejected)
{
    Endpoint endpoint;
    BOOST_TEST(parseEndpoint("10.1.0.9:8080", endpoint));
    BOOST_TEST(endpoint.text() == "10.1.0.9:8080");
    for (const char *text : {"", "10.1.0.9", "10.1.0.9:", "10.1.0.9:0", "10.1.0.9:70000", "host:80",
                             "10.1.0.9:80x", ":80", "10.1.0.9:-1", "10.1.0.9:99999999999999999999"})
        BOOST_TEST(!parseEndpoint(text, endpoint), text);
    BOOST_TEST(!parseEndpoint(std::string_view("10.1.0.9\0x:80", 13), endpoint));
}

BOOST_AUTO_TEST_SUITE_END()
