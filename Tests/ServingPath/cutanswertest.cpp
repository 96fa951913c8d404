#include "../Shared/cuttingserver.h"
#include "../Shared/servingstandins.h"
#include "Edge/edge.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

constexpr const char *rules = R"({"version":1,"routes":[
{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":4000,"service":"ledger","max_attempts":1,"public":true},
{"name":"look","host":"desk.example","path_prefix":"/look/","kind":"idempotent",
 "timeout_ms":4000,"service":"ledger","max_attempts":2,"public":true},
{"name":"tell","host":"desk.example","path_prefix":"/tell/","kind":"streaming",
 "timeout_ms":4000,"service":"ledger","max_attempts":1,"public":true}],
"services":[{"name":"ledger","max_connections":96}],
"limits":{"max_header_bytes":4096,"max_body_bytes":8000000}})";

constexpr std::size_t uploadBytes = 4UL * 1024 * 1024;
/// A reset overtakes the upload in some half of the plays.
constexpr int plays = 12;

/// An entry whose targets are one server under two ids.
struct CutPath
{
    CutPath(int number, const CuttingServer &server)
        : loop_(*new EventLoop), basePort_(22500 + number * 10), store_(*new Store(loop_, at(0)))
    {
        store_.put("op/config", rules);
        store_.put("servers/i-0",
                   fmt::format(R"({{"service":"ledger","address":"{}","zone":"here","slots":6,)"
                               R"("state":"ready","born":1}})",
                               server.address()));
        ServingSettings settings;
        settings.vm_ = "edge-1";
        settings.dataCentre_ = "here";
        settings.callersListen_ = at(1);
        settings.readinessListen_ = at(2);
        settings.peersListen_ = at(3);
        settings.store_ = at(0);
        settings.bounds_ = {.revoke_ = 1500ms};
        auto *entry = new Edge(loop_, settings, "");
        BOOST_REQUIRE(entry->start());
        BOOST_REQUIRE(turnUntil(loop_, 5s, [&] { return upload("/none/", 1)->status() == 404; }));
        turnFor(loop_, 200ms);
    }

    std::string at(int offset) const { return "127.0.0.1:" + std::to_string(basePort_ + offset); }

    std::shared_ptr<Client> upload(const std::string &path, std::size_t bytes = uploadBytes)
    {
        auto client = std::make_shared<Client>(loop_, at(1));
        client->send(fmt::format("POST {} HTTP/1.1\r\nHost: desk.example\r\n"
                                 "X-Eelgrasscove-Request-Id: r{}\r\n"
                                 "X-Eelgrasscove-Deadline-Remaining: 4000\r\n"
                                 "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                                 path, ++requests_, bytes, std::string(bytes, 'u')));
        turnUntil(loop_, 5s, [&] { return client->ended_; });
        return client;
    }

    EventLoop &loop_;
    int basePort_;
    Store &store_;
    int requests_ = 0;
};

std::string headOf(const std::string &request, const std::string &lines = "")
{
    const std::string name = "X-Eelgrasscove-Request-Id: ";
    const std::size_t at = request.find(name);
    return "HTTP/1.1 200 OK\r\nX-Eelgrasscove-Response-Seal: 1.2.3\r\n"
        + request.substr(at, request.find("\r\n", at) + 2 - at) + lines + "\r\n";
}

/// Whether a client takes what it has received for a complete answer.
bool isComplete(const Client &client)
{
    HttpReader reader(HttpKind::Response, 64 * 1024,
                      {[](HttpHead &&) {}, [](std::string_view) {}, [] {}});
    reader.feed(client.received_);
    if (client.error_ == 0)
        reader.finish();
    return reader.state() == HttpReadState::Complete;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cutanswer)

// Guards against a write that takes the error of a reset from the socket, after which the end of
// the part that was received reads like the end of the answer.
BOOST_AUTO_TEST_CASE(answer_without_length_that_is_reset_during_the_upload_is_not_complete)
{
    CuttingServer server([](const std::string &request) {
        return CuttingServer::Answer{headOf(request) + std::string(700, 'p')};
    });
    CutPath path(0, server);
    for (const char *target : {"/book/a", "/look/a"}) {
        for (int play = 0; play < plays; ++play)
            BOOST_TEST(path.upload(target)->status() == 502, target);
    }
    BOOST_TEST(server.answers() >= 2 * plays);
}

BOOST_AUTO_TEST_CASE(stream_without_length_that_is_reset_during_the_upload_is_not_complete)
{
    CuttingServer server([](const std::string &request) {
        return CuttingServer::Answer{headOf(request, "Content-Type: text/event-stream\r\n")
                                     + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"};
    });
    CutPath path(1, server);
    for (int play = 0; play < plays; ++play) {
        const auto client = path.upload("/tell/a");
        BOOST_TEST((client->status() == 502 || !isComplete(*client)));
    }
    BOOST_TEST(server.answers() == plays);
}

// Guards against the end of a process that has nothing left to read, which is in order, being taken
// for the end of its answer although the request is still being sent.
BOOST_AUTO_TEST_CASE(answer_without_length_that_ends_before_the_request_is_received_is_not_complete)
{
    CuttingServer server([](const std::string &request) {
        return CuttingServer::Answer{headOf(request) + std::string(700, 'p'),
                                     ConnectionEnd::Closed};
    });
    CutPath path(2, server);
    BOOST_TEST(path.upload("/book/a")->status() == 502);
    BOOST_TEST(server.answers() == 1);
}

BOOST_AUTO_TEST_CASE(sound_answers_to_uploads_are_forwarded)
{
    const std::string body(700, 'b');
    CuttingServer server([&body](const std::string &request) {
        if (request.find(" /book/early ") != std::string::npos)
            return CuttingServer::Answer{headOf(request) + body, ConnectionEnd::ClosedAfterRequest};
        if (request.find(" /book/refused ") != std::string::npos) {
            return CuttingServer::Answer{"HTTP/1.1 413 Payload Too Large\r\nContent-Length: 700\r\n"
                                         + headOf(request).substr(17) + body};
        }
        const std::size_t whole = request.find("\r\n\r\n") + 4 + uploadBytes;
        return CuttingServer::Answer{headOf(request) + body, ConnectionEnd::Closed, whole};
    });
    CutPath path(3, server);
    for (const char *target : {"/book/whole", "/look/whole", "/book/early"}) {
        const auto client = path.upload(target);
        BOOST_TEST(client->status() == 200, target);
        BOOST_TEST(isComplete(*client), target);
        BOOST_TEST(client->received_.ends_with(body), target);
    }
    const auto refused = path.upload("/book/refused");
    BOOST_TEST(refused->status() == 413);
    BOOST_TEST(refused->received_.ends_with(body));
}

BOOST_AUTO_TEST_SUITE_END()
