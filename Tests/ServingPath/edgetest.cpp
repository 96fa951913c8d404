#define BOOST_TEST_MODULE ServingPath
#include "servingpath.h"

#include "../Shared/endlessserver.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <malloc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace standins;

namespace {

/// A client that takes its response slowly, some of it every 20 ms.
class SlowClient
{
public:
    /// bytesPerRead of 0 takes nothing.
    SlowClient(ServingPath &path, const std::string &headers, std::size_t bytesPerRead)
        : path_(path), bytesPerRead_(bytesPerRead)
    {
        constexpr int receiveBuffer = 16 * 1024;
        socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        sockaddr_in entry{};
        uv_ip4_addr("127.0.0.1", path.basePort_ + 4, &entry);
        BOOST_REQUIRE(connect(socket_, reinterpret_cast<const sockaddr *>(&entry), sizeof entry)
                      == 0);
        const std::string request =
            fmt::format("POST /look/a HTTP/1.1\r\nHost: desk.example\r\n"
                        "X-Eelgrasscove-Request-Id: slow\r\nAuthorization: Bearer k1\r\n"
                        "Content-Length: 0\r\n{}\r\n",
                        headers);
        BOOST_REQUIRE(write(socket_, request.data(), request.size()) > 0);
        timer_ = path.loop_.timers().every(20ms, [this] { take(); });
    }

    ~SlowClient()
    {
        path_.loop_.timers().cancel(timer_);
        close(socket_);
    }

    SlowClient(const SlowClient &) = delete;
    SlowClient &operator=(const SlowClient &) = delete;

    bool hasWhole(std::size_t bodyBytes) const
    {
        const std::size_t headEnd = received_.find("\r\n\r\n");
        return headEnd != std::string::npos && received_.size() == headEnd + 4 + bodyBytes;
    }

    void setBytesPerRead(std::size_t bytes) { bytesPerRead_ = bytes; }

    std::string received_;

private:
    void take()
    {
        std::string bytes(bytesPerRead_, 0);
        const ssize_t count =
            bytesPerRead_ == 0 ? -1 : recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count > 0)
            received_.append(bytes, 0, static_cast<std::size_t>(count));
    }

    ServingPath &path_;
    std::size_t bytesPerRead_;
    int socket_ = -1;
    TimerId timer_ = 0;
};

/// A body that the buffers of a connection don't hold.
constexpr std::size_t longBodyBytes = 7UL * 1024 * 1024;

/// Lets the targets respond with a long body.
void respondWithLongBodies(ServingPath &path)
{
    for (auto &handler : path.handlers_) {
        handler = [](const auto &from, SeenRequest &&request) {
            from->answer(200, ServingPath::requestIdHeader(request) + signatureHeader,
                         std::string(longBodyBytes, 'x'));
        };
    }
}

/// Lets the targets respond with these first lines of a head, the headers of a sound response and a
/// body.
void respondWith(ServingPath &path, const std::string &lines, const std::string &body,
                 bool endsWithConnection)
{
    for (auto &handler : path.handlers_) {
        handler = [=](const auto &from, SeenRequest &&request) {
            from->stream_->write(fmt::format("{}{}{}\r\n{}", lines,
                                             ServingPath::requestIdHeader(request), signatureHeader,
                                             body));
            if (endsWithConnection)
                from->breakOff();
        };
    }
}

/// Checks that what the targets send, on connections that stay open, is no response for any route:
/// the request fails before the timeout of its route, once it has been sent as often as it may be.
void checkResponseIsNone(ServingPath &path, const std::string &lines, const std::string &body)
{
    const std::vector<std::pair<const char *, std::size_t>> sends = {
        {"/book/a", 1}, {"/look/a", 2}, {"/ask/a", 1}, {"/tell/a", 2}};
    for (const auto &[target, expected] : sends) {
        BOOST_TEST_CONTEXT(target << " " << lines)
        {
            respondWith(path, lines, body, false);
            for (Server *each : path.targets_)
                each->seen_.clear();
            const Time sentAt = bootNow();
            const auto client = path.sendAndAwaitHead("POST", target);
            BOOST_TEST((bootNow() - sentAt < 900ms));
            BOOST_TEST(client->status() == 502);
            BOOST_TEST(client->received_.find(signatureHeader) == std::string::npos);
            BOOST_TEST(path.receivedRequests() == expected);
        }
    }
    // A sound target serves what may be repeated.
    path.handlers_[1] = [](const auto &from, SeenRequest &&request) {
        from->answer(200, ServingPath::requestIdHeader(request) + signatureHeader, "done");
    };
    for (int request = 0; request < 2; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/look/a")->received_.ends_with("done"), lines);
}

/// The memory that this process has in use.
std::size_t residentBytes()
{
    std::size_t pages = 0;
    std::ifstream("/proc/self/statm").ignore(64, ' ') >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Names of four entries that query the store on behalf of edge-1.
std::vector<std::string> leadersOfEdge1()
{
    std::vector<std::string> vms;
    for (int number = 2; vms.size() < 4; ++number) {
        const std::string vm = "edge-" + std::to_string(number);
        if (nameHash(vm) < nameHash("edge-1"))
            vms.push_back(vm);
    }
    return vms;
}

/// Waits until the entry has sent a watch of the operator's keys, then makes all of its connections
/// to the store silent.
void silenceStoreAtNewWatch(ServingPath &path, const std::string &part = "kv-watch?path_prefix=op/")
{
    const std::size_t before = path.store_.calls(part);
    BOOST_REQUIRE(turnUntil(path.loop_, 8s, [&] { return path.store_.calls(part) > before; }));
    path.store_.silenceConnections();
}

const std::string secondVersion = R"({"model":"m","adapter":"a1","version":2})";

/// A target's handler that gives the same response to every request.
ServerConnection::Handler respondingWith(unsigned status, const std::string &headers)
{
    return [status, headers](const auto &from, SeenRequest &&request) {
        from->answer(status, ServingPath::requestIdHeader(request) + signatureHeader + headers,
                     "data: done\n\n");
    };
}

const std::string leavingHeader = "Server-Leaving: 1\r\n";
const std::string notExecutedHeader = "X-Eelgrasscove-Not-Executed: 1\r\n";

/// Requests that a target has received and not responded to.
struct HeldRequests
{
    ServerConnection::Handler handler()
    {
        return [this](const auto &from, SeenRequest &&request) {
            held_.emplace_back(from, ServingPath::requestIdHeader(request));
        };
    }

    void respondToFirst(unsigned status, const std::string &headers)
    {
        BOOST_REQUIRE(!held_.empty());
        const auto [from, idHeader] = held_.front();
        held_.pop_front();
        from->answer(status, idHeader + signatureHeader + headers, "done");
    }

    std::deque<std::pair<std::shared_ptr<ServerConnection>, std::string>> held_;
};

/// Sends a request so that the entry reads it in the same pass of the event loop as a response of
/// the first target with these headers, and has not yet connected to the target for it.
std::shared_ptr<Client> sendWhileTargetResponds(ServingPath &path,
                                                std::array<HeldRequests, 2> &held, unsigned status,
                                                const std::string &headers)
{
    for (int target = 0; target < 2; ++target)
        path.handlers_[target] = held[target].handler();
    const auto first = path.sendRequest("POST", "/look/a");
    BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return path.receivedRequests() == 1; }));
    const auto second = path.sendRequest("POST", "/look/b");
    BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return path.receivedRequests() == 2; }));
    BOOST_REQUIRE(path.targets_[0]->seen_.size() == 1);
    auto client = std::make_shared<Client>(path.loop_, path.address(4));
    client->send("POST /look/c HTTP/1.1\r\nHost: desk.example\r\n");
    turnFor(path.loop_, 100ms);
    client->send("X-Eelgrasscove-Request-Id: pending\r\nAuthorization: Bearer k1\r\n"
                 "Content-Length: 0\r\n\r\n");
    held[0].respondToFirst(status, headers);
    turnFor(path.loop_, 200ms);
    return client;
}

} // namespace

BOOST_AUTO_TEST_CASE(forwarded_request_keeps_client_headers_and_drops_forged_system_headers)
{
    ServingPath path(0);
    path.waitUntilServing();
    const auto client =
        path.sendAndAwaitHead("POST", "/book/x?y=1",
                              "Authorization: Bearer k1\r\nX-Mine: 7\r\n"
                              "X-Eelgrasscove-Tenant-Name: other\r\n"
                              "X-Eelgrasscove-Hold-Request: 5\r\n"
                              "X-Eelgrasscove-Request-Priority: 0\r\n"
                              "Kv-From: 1.2.3.4:5/6\r\nConnection: X-Hop\r\nX-Hop: 1\r\n",
                              "payload");
    BOOST_TEST(client->status() == 200);
    BOOST_TEST(client->received_.find(signatureHeader) != std::string::npos);
    BOOST_TEST(client->received_.ends_with("\r\n\r\ndone"));
    BOOST_REQUIRE(path.receivedRequests() == 1);
    const SeenRequest &seen = path.targets_[path.targets_[0]->seen_.empty() ? 1 : 0]->seen_.front();
    BOOST_TEST(seen.head_.target_ == "/book/x?y=1");
    BOOST_TEST(seen.body_ == "payload");
    BOOST_TEST(seen.head_.header("X-Mine") == "7");
    BOOST_TEST(seen.head_.header("X-Eelgrasscove-Tenant-Name") == "shed");
    BOOST_TEST(seen.head_.header("X-Eelgrasscove-Expect-Instance").starts_with("i-"));
    for (const char *dropped : {"Authorization", "X-Eelgrasscove-Hold-Request", "Kv-From", "X-Hop",
                                "X-Eelgrasscove-Request-Priority"})
        BOOST_TEST(!seen.head_.hasHeader(dropped), dropped);
    const int left = std::stoi(std::string(seen.head_.header("X-Eelgrasscove-Deadline-Remaining")));
    BOOST_TEST(left <= 1000);
    BOOST_TEST(left > 800);
}

BOOST_AUTO_TEST_CASE(refusals_by_the_entry_have_the_status_of_their_cause)
{
    ServingPath path(1);
    // Without rules the entry cannot know whether a route exists, so it responds with 503, not 404.
    BOOST_TEST(path.sendAndAwaitHead("GET", "/none/")->status() == 503);
    path.waitUntilServing();
    BOOST_TEST(path.sendAndAwaitHead("GET", "/none/")->status() == 404);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", "Authorization: Bearer k9\r\n")->status()
               == 401);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", "")->status() == 401);
    BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a", "Authorization: Bearer k1\r\n",
                                     std::string(2000, 'x'))
                   ->status()
               == 413);
    BOOST_TEST(path.receivedRequests() == 0);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_is_refused_at_once_and_every_key_while_rules_are_unconfirmed)
{
    ServingPath path(2);
    path.waitUntilServing();
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
    path.publishRules(2, "\"k2\"", 0);
    turnFor(path.loop_, 100ms);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 401);
    const std::string newKey = "Authorization: Bearer k2\r\n";
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", newKey)->status() == 200);
    path.store_.fault_ = StoreFault::Silent;
    path.store_.cutWatches();
    turnFor(path.loop_, 1600ms);
    const auto refused = path.sendAndAwaitHead("GET", "/look/a", newKey);
    BOOST_TEST(refused->status() == 503);
    // Another entry may have confirmed rules; a kept-alive connection would lead back to this one.
    BOOST_TEST(refused->received_.find("Connection: close\r\n") != std::string::npos);
    BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return refused->ended_; }));
    BOOST_TEST(path.sendAndAwaitHead("GET", "/open/a", "")->status() == 200);
}

// Guards against rules whose last account was removed being taken for rules without accounts, under
// which requests with any key run.
BOOST_AUTO_TEST_CASE(no_key_is_accepted_once_the_last_account_is_removed)
{
    ServingPath path(140);
    path.waitUntilServing();
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
    int version = 1;
    for (const char *accounts : {"[]", "null", R"([{"name":"","api_keys":["k1"]}])",
                                 R"([{"name":"shed","api_keys":[""]}])"}) {
        path.publishAccounts(++version, accounts);
        turnFor(path.loop_, 200ms);
        for (const char *headers :
             {"Authorization: Bearer k1\r\n", "Authorization: Bearer k9\r\n", ""})
            BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", headers)->status() == 401, accounts);
        BOOST_TEST(path.sendAndAwaitHead("GET", "/open/a", "")->status() == 200);
    }
    // Rules whose age can't be told don't accept a request without a key either.
    path.store_.fault_ = StoreFault::Silent;
    path.store_.cutWatches();
    turnFor(path.loop_, 1600ms);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", "")->status() == 503);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/open/a", "")->status() == 200);
}

BOOST_AUTO_TEST_CASE(request_that_waits_is_refused_once_the_last_account_is_removed)
{
    for (const bool isListRemoved : {false, true}) {
        BOOST_TEST_CONTEXT((isListRemoved ? "without a list" : "with an empty list"))
        {
            ServingPath path(isListRemoved ? 151 : 141);
            path.waitUntilServing();
            std::vector<std::shared_ptr<ServerConnection>> held;
            for (auto &handler : path.handlers_)
                handler = [&held](const auto &from, SeenRequest &&) { held.push_back(from); };
            std::vector<std::shared_ptr<Client>> clients;
            // Each target serves six at a time.
            while (clients.size() < 20)
                clients.push_back(path.sendRequest("POST", "/book/a"));
            turnFor(path.loop_, 100ms);
            const std::size_t received = path.receivedRequests();
            BOOST_REQUIRE(received < clients.size());
            if (isListRemoved)
                path.publishWithoutAccounts(2);
            else
                path.publishAccounts(2, "[]");
            turnFor(path.loop_, 100ms);
            for (const auto &connection : held)
                connection->answer(200, signatureHeader, "done");
            turnFor(path.loop_, 500ms);
            BOOST_TEST(path.receivedRequests() == received);
        }
    }
}

BOOST_AUTO_TEST_CASE(rules_without_a_list_of_accounts_need_no_key)
{
    ServingPath path(142);
    path.waitUntilServing();
    path.publishWithoutAccounts(2);
    turnFor(path.loop_, 200ms);
    for (const char *headers : {"", "Authorization: Basic azE6\r\n", "Authorization: Bearer\r\n"})
        BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", headers)->status() == 200, headers);
}

// Guards against all keys being accepted once the last account is removed together with its list.
BOOST_AUTO_TEST_CASE(no_key_is_accepted_once_the_list_of_accounts_is_removed)
{
    ServingPath path(150);
    path.waitUntilServing();
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
    path.publishWithoutAccounts(2);
    turnFor(path.loop_, 200ms);
    const auto expectRefused = [&](unsigned status) {
        for (const char *headers : {"Authorization: Bearer k1\r\n", "authorization: bearer  k1\r\n",
                                    "Authorization: Bearer k9\r\n"}) {
            BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", headers)->status() == status,
                       headers);
        }
        BOOST_TEST(path.sendAndAwaitHead("GET", "/open/a")->status() == 200);
    };
    expectRefused(401);
    // An entry that starts after the change has not seen the list.
    path.startEntry(7);
    path.callersOffset_ = 7;
    path.waitUntilServing();
    expectRefused(401);
    // Rules that are not confirmed may lack a key that was added since.
    path.store_.fault_ = StoreFault::Silent;
    path.store_.cutWatches();
    turnFor(path.loop_, 1600ms);
    expectRefused(503);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", "")->status() == 200);
}

// Guards against keys staying valid without an end once the newest rules can't be decoded.
BOOST_AUTO_TEST_CASE(keys_expire_while_newer_rules_cannot_be_decoded)
{
    ServingPath path(156);
    path.waitUntilServing();
    const auto isReady = [&] {
        Client client(path.loop_, path.address(5));
        client.send("GET /eelgrasscove/readiness HTTP/1.1\r\nHost: edge\r\n\r\n");
        turnUntil(path.loop_, 1s, [&] { return client.status() != 0; });
        return client.status() == 200;
    };
    int version = 1;
    for (const char *rules : {"{", "[]", R"({"version":"9"})", R"({"version":9.5})", ""}) {
        BOOST_TEST_CONTEXT(rules)
        {
            path.store_.put("op/config", rules);
            turnFor(path.loop_, 200ms);
            BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
            BOOST_TEST(isReady());
            turnFor(path.loop_, 1500ms);
            BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 503);
            BOOST_TEST(path.sendAndAwaitHead("GET", "/open/a")->status() == 200);
            BOOST_TEST(!isReady());
            // A list after a loss of the store's history doesn't make the rules newer.
            path.store_.forgetHistory();
            path.store_.cutWatches();
            turnFor(path.loop_, 400ms);
            BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 503);
            path.publishRules(++version, "\"k1\"", 0);
            turnFor(path.loop_, 400ms);
            BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
            BOOST_TEST(isReady());
        }
    }
}

// Guards against a request that began with a key being sent once more after its withdrawal.
BOOST_AUTO_TEST_CASE(request_is_not_sent_again_once_its_account_is_removed)
{
    int number = 152;
    for (const bool isListRemoved : {false, true}) {
        for (const char *target : {"/look/a", "/tell/a"}) {
            BOOST_TEST_CONTEXT(target
                               << (isListRemoved ? " without a list" : " with an empty list"))
            {
                ServingPath path(number++);
                path.waitUntilServing();
                std::vector<std::shared_ptr<ServerConnection>> held;
                for (auto &handler : path.handlers_) {
                    handler = [&held](const auto &from, SeenRequest &&request) {
                        if (request.head_.target_ == "/tell/a") {
                            from->stream_->write("HTTP/1.1 200 OK\r\n"
                                                 + ServingPath::requestIdHeader(request)
                                                 + signatureHeader + "\r\nid: 1\n\n");
                        }
                        held.push_back(from);
                    };
                }
                const auto client = path.sendRequest("POST", target);
                BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return held.size() == 1; }));
                if (isListRemoved)
                    path.publishWithoutAccounts(2);
                else
                    path.publishAccounts(2, "[]");
                turnFor(path.loop_, 200ms);
                held.front()->stream_->close(true);
                BOOST_TEST(turnUntil(path.loop_, 1s,
                                     [&] { return client->ended_ || client->status() == 401; }));
                turnFor(path.loop_, 200ms);
                BOOST_TEST(held.size() == 1);
                BOOST_TEST(client->received_.find("\r\n0\r\n\r\n") == std::string::npos);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(non_idempotent_request_is_not_repeated_after_a_broken_connection)
{
    ServingPath path(3);
    path.waitUntilServing();
    for (auto &handler : path.handlers_) {
        handler = [](const auto &from, SeenRequest &&) { from->stream_->close(true); };
    }
    BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 502);
    BOOST_TEST(path.receivedRequests() == 1);
}

BOOST_AUTO_TEST_CASE(idempotent_request_is_repeated_at_another_target)
{
    ServingPath path(4);
    path.waitUntilServing();
    int sends = 0;
    for (auto &handler : path.handlers_) {
        const auto normalHandler = handler;
        handler = [&sends, normalHandler](const auto &from, SeenRequest &&request) {
            if (sends++ == 0)
                from->stream_->close(true);
            else
                normalHandler(from, std::move(request));
        };
    }
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
    BOOST_TEST(path.receivedRequests() == 2);
    BOOST_TEST(path.targets_[0]->seen_.size() == 1);
}

BOOST_AUTO_TEST_CASE(request_that_was_not_executed_is_sent_to_another_target)
{
    ServingPath path(5);
    path.waitUntilServing();
    path.handlers_[0] = [](const auto &from, SeenRequest &&request) {
        from->answer(
            503, ServingPath::requestIdHeader(request) + "X-Eelgrasscove-Not-Executed: 1\r\n", "");
    };
    for (int request = 0; request < 4; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
}

BOOST_AUTO_TEST_CASE(request_that_may_have_run_is_never_reported_as_not_executed)
{
    ServingPath path(15);
    path.waitUntilServing();
    int sends = 0;
    for (auto &handler : path.handlers_) {
        handler = [&sends](const auto &from, SeenRequest &&request) {
            if (sends++ == 0)
                from->stream_->close(true);
            else
                from->answer(503,
                             ServingPath::requestIdHeader(request)
                                 + "X-Eelgrasscove-Not-Executed: 1\r\n",
                             "");
        };
    }
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 502);
    BOOST_TEST(sends >= 2);
}

BOOST_AUTO_TEST_CASE(interrupted_stream_never_appears_complete)
{
    ServingPath path(6);
    path.waitUntilServing();
    for (auto &handler : path.handlers_) {
        handler = [](const auto &from, SeenRequest &&request) {
            from->stream_->write("HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                                 + signatureHeader
                                 + "Transfer-Encoding: chunked\r\n\r\n"
                                   "c\r\nid: 1\nd: a\n\n\r\n8\r\nid: 2\nd:\r\n");
            from->breakOff();
        };
    }
    const auto client = path.sendRequest("POST", "/ask/a");
    BOOST_TEST(turnUntil(path.loop_, 3s, [&] { return client->ended_; }));
    BOOST_TEST(client->received_.find("id: 1\nd: a\n\n") != std::string::npos);
    BOOST_TEST(client->received_.find("id: 2") == std::string::npos);
    BOOST_TEST(client->received_.find("\r\n0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(stream_is_forwarded_completely_and_in_order)
{
    ServingPath path(7);
    path.waitUntilServing();
    for (auto &handler : path.handlers_) {
        handler = [](const auto &from, SeenRequest &&request) {
            from->stream_->write("HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                                 + signatureHeader
                                 + "Transfer-Encoding: chunked\r\n\r\n"
                                   "5\r\nid: 1\r\n2\r\n\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n");
        };
    }
    const auto client = path.sendRequest("POST", "/ask/a");
    BOOST_TEST(turnUntil(path.loop_, 3s, [&] {
        return client->received_.find("\r\n0\r\n\r\n") != std::string::npos;
    }));
    const std::size_t first = client->received_.find("id: 1\n\n");
    BOOST_TEST(first != std::string::npos);
    BOOST_TEST(client->received_.find("id: 2\n\n") > first);
}

BOOST_AUTO_TEST_CASE(resumable_stream_continues_at_another_target)
{
    ServingPath path(14);
    path.waitUntilServing();
    int runs = 0;
    for (auto &handler : path.handlers_) {
        handler = [&runs](const auto &from, SeenRequest &&request) {
            const std::string head = "HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                + signatureHeader + "Transfer-Encoding: chunked\r\n\r\n";
            if (runs++ == 0) {
                from->stream_->write(head + "10\r\nid: 1\n\nid: 2\n\nid\r\n");
                from->loop_.timers().once(50ms, [from] { from->stream_->close(true); });
            } else {
                BOOST_TEST(request.head_.header("Last-Event-Id") == "2");
                from->stream_->write(head + "7\r\nid: 3\n\n\r\n0\r\n\r\n");
            }
        };
    }
    const auto client = path.sendRequest("POST", "/tell/a");
    BOOST_TEST(turnUntil(path.loop_, 3s, [&] {
        return client->received_.find("\r\n0\r\n\r\n") != std::string::npos;
    }));
    BOOST_TEST(runs == 2);
    for (const char *event : {"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"})
        BOOST_TEST(client->received_.find(event) != std::string::npos, event);
    // The incomplete event received from the first target is not forwarded.
    BOOST_TEST(client->received_.find("idid") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(stream_that_has_begun_is_not_given_up_at_the_limit_for_a_first_event)
{
    ServingPath path(25);
    path.waitUntilServing();
    int runs = 0;
    for (auto &handler : path.handlers_) {
        handler = [&runs](const auto &from, SeenRequest &&request) {
            const std::string head = "HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                + signatureHeader + "Transfer-Encoding: chunked\r\n\r\n";
            if (runs++ == 0) {
                from->stream_->write(head + "7\r\nid: 1\n\n\r\n");
                from->loop_.timers().once(1900ms, [from] { from->stream_->close(true); });
            } else {
                // Silent for longer than a target may be, while the stream is to be resumed.
                from->loop_.timers().once(1300ms, [from, head] {
                    from->stream_->write(head + "7\r\nid: 2\n\n\r\n0\r\n\r\n");
                });
            }
        };
    }
    const auto client = path.sendRequest("POST", "/tell/a");
    BOOST_TEST(turnUntil(path.loop_, 4s, [&] {
        return client->received_.find("\r\n0\r\n\r\n") != std::string::npos;
    }));
}

BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_never_appears_complete)
{
    ServingPath path(40);
    path.waitUntilServing();
    const std::vector<std::pair<std::string, std::string>> rows = {
        {"no_length", "\r\nid: 1\n\nid: 2\nd"},
        {"length", "Content-Length: 13\r\n\r\nid: 1\n\nid: 2\n"},
        {"chunks", "Transfer-Encoding: chunked\r\n\r\nc\r\nid: 1\n\nid: 2\r\n0\r\n\r\n"},
        {"line_ends", "\r\nid: 1\r\n\r\nid: 2\r\n"},
        {"first_event", "\r\nid: 2\nd"},
        {"no_event", "\r\n"},
    };
    for (const auto &[name, rest] : rows) {
        BOOST_TEST_CONTEXT(name)
        {
            for (auto &handler : path.handlers_) {
                handler = [&rest = rest](const auto &from, SeenRequest &&request) {
                    from->stream_->write(
                        fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}{}{}",
                                    ServingPath::requestIdHeader(request), signatureHeader, rest));
                    from->breakOff();
                };
            }
            const auto client = path.sendRequest("POST", "/ask/" + name);
            const bool hasEvent = rest.find("id: 1") != std::string::npos;
            BOOST_TEST(turnUntil(path.loop_, 3s,
                                 [&] { return client->ended_ || client->status() == 502; }));
            BOOST_TEST(client->status() == (hasEvent ? 200 : 502));
            BOOST_TEST((client->received_.find("id: 1") != std::string::npos) == hasEvent);
            BOOST_TEST(client->received_.find("id: 2") == std::string::npos);
            BOOST_TEST(client->received_.find("\r\n0\r\n\r\n") == std::string::npos);
            BOOST_TEST((client->received_.find(signatureHeader) != std::string::npos) == hasEvent);
        }
    }
}

BOOST_AUTO_TEST_CASE(resumable_stream_that_ends_inside_an_event_continues_at_another_target)
{
    ServingPath path(41);
    path.waitUntilServing();
    for (const std::string &events : {std::string("id: 1\n\nid"), std::string("id")}) {
        BOOST_TEST_CONTEXT(events)
        {
            int runs = 0;
            for (auto &handler : path.handlers_) {
                handler = [&runs, &events](const auto &from, SeenRequest &&request) {
                    const std::string head = "HTTP/1.1 200 OK\r\n"
                        + ServingPath::requestIdHeader(request) + signatureHeader;
                    if (runs++ == 0) {
                        from->stream_->write(fmt::format("{}\r\n{}", head, events));
                        from->breakOff();
                        return;
                    }
                    const bool resumes = request.head_.header("Last-Event-Id") == "1";
                    from->stream_->write(head + "\r\n"
                                         + (resumes ? "id: 2\n\n" : "id: 1\n\nid: 2\n\n"));
                    from->breakOff();
                };
            }
            const auto client = path.sendRequest("POST", "/tell/a");
            BOOST_TEST(turnUntil(path.loop_, 3s, [&] {
                return client->ended_
                    || client->received_.find("\r\n0\r\n\r\n") != std::string::npos;
            }));
            BOOST_TEST(runs == 2);
            const std::size_t first = client->received_.find("id: 1\n\n");
            BOOST_TEST(first != std::string::npos);
            BOOST_TEST(client->received_.find("id: 2\n\n") > first);
            BOOST_TEST(client->received_.find("idid") == std::string::npos);
            BOOST_TEST(client->received_.find("\r\n0\r\n\r\n") != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(plain_response_without_length_is_complete_unless_its_connection_is_reset)
{
    ServingPath path(42);
    path.waitUntilServing();
    for (const bool isReset : {false, true}) {
        for (auto &handler : path.handlers_) {
            handler = [isReset](const auto &from, SeenRequest &&request) {
                from->stream_->write("HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                                     + signatureHeader + "\r\nwhole");
                if (isReset)
                    from->loop_.timers().once(50ms, [from] { from->stream_->close(true); });
                else
                    from->breakOff();
            };
        }
        const auto client = path.sendAndAwaitHead("POST", "/book/a");
        BOOST_TEST(client->status() == (isReset ? 502 : 200));
        BOOST_TEST(client->received_.ends_with("\r\n\r\nwhole") == !isReset);
    }
}

BOOST_AUTO_TEST_CASE(error_of_the_next_target_is_not_joined_to_a_stream_that_has_begun)
{
    ServingPath path(43);
    path.waitUntilServing();
    const std::string signedOk = "200 OK\r\n" + signatureHeader;
    const std::string stream = "Content-Type: text/event-stream\r\n";
    const std::vector<std::pair<std::string, std::string>> rows = {
        {"length", "500 No\r\nContent-Length: 4\r\n\r\noops"},
        {"chunks", "500 No\r\nTransfer-Encoding: chunked\r\n\r\n6\r\noops\n\n\r\n0\r\n\r\n"},
        {"no_length", "500 No\r\n\r\noops\n\n"},
        {"signed", "500 No\r\n" + signatureHeader + "\r\nid: 2\ndata: oops\n\n"},
        {"events", "500 No\r\n" + stream + signatureHeader + "\r\nid: 2\ndata: oops\n\n"},
        {"client_error", "404 No\r\n" + signatureHeader + "Content-Length: 4\r\n\r\noops"},
        {"redirect", "302 No\r\nLocation: /oops\r\nContent-Length: 0\r\n\r\n"},
        {"busy", "503 No\r\nContent-Length: 4\r\n\r\noops"},
        {"unsigned", "200 OK\r\n" + stream + "\r\nid: 2\ndata: oops\n\n"},
        {"no_content", "204 No Content\r\n" + signatureHeader + "\r\n"},
        {"partial", "206 Some\r\n" + stream + signatureHeader + "\r\nid: 2\ndata: oops\n\n"},
        {"json", signedOk + "Content-Type: application/json\r\n\r\n{\"error\":\"oops\"}\n\n"},
        {"no_type", signedOk + "Content-Length: 6\r\n\r\noops\n\n"},
        {"no_id", signedOk + stream + "\r\ndata: oops\n\n"},
        {"earlier_id", signedOk + stream + "\r\nid: 1\ndata: oops\n\n"},
        {"half_event", signedOk + stream + "\r\ndata: oops"},
        // Sent again and again, which uses up the retry budget of the other rows.
        {"not_run", "503 No\r\nX-Eelgrasscove-Not-Executed: 1\r\nContent-Length: 4\r\n\r\noops"},
    };
    for (const auto &[name, answer] : rows) {
        BOOST_TEST_CONTEXT(name)
        {
            int runs = 0;
            for (auto &handler : path.handlers_) {
                handler = [&runs, &stream, &answer = answer](const auto &from,
                                                             SeenRequest &&request) {
                    const std::string id = ServingPath::requestIdHeader(request);
                    if (runs++ == 0) {
                        from->stream_->write(fmt::format("HTTP/1.1 200 OK\r\n{}{}{}\r\nid: 1\n\n",
                                                         id, stream, signatureHeader));
                        from->loop_.timers().once(20ms, [from] { from->stream_->close(true); });
                        return;
                    }
                    const std::size_t lineEnd = answer.find("\r\n") + 2;
                    from->stream_->write("HTTP/1.1 " + answer.substr(0, lineEnd) + id
                                         + answer.substr(lineEnd));
                    from->breakOff();
                };
            }
            const auto client = path.sendRequest("POST", "/tell/" + name);
            turnUntil(path.loop_, 3s, [&] {
                return client->ended_
                    || client->received_.find("\r\n0\r\n\r\n") != std::string::npos;
            });
            BOOST_TEST(runs >= 2);
            BOOST_TEST(client->ended_);
            BOOST_TEST(client->received_.ends_with("id: 1\n\n\r\n"), client->received_);
            BOOST_TEST(client->received_.rfind("HTTP/1.1") == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(refusal_that_a_target_repeats_is_not_taken_for_the_response_to_a_later_request)
{
    ServingPath path(44);
    path.waitUntilServing();
    path.registerTarget(1, "i-1", "draining");
    turnFor(path.loop_, 1200ms);
    const std::string refusal = "X-Eelgrasscove-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string otherId = "X-Eelgrasscove-Request-Id: older\r\n";
    const std::vector<std::pair<std::string, std::string>> rows = {
        {"busy", "HTTP/1.1 503 No\r\n" + refusal},
        {"many", "HTTP/1.1 429 No\r\n" + refusal},
        {"other_target", "HTTP/1.1 421 No\r\nX-Eelgrasscove-Instance-Id: i-7\r\n" + refusal},
        {"older_id", "HTTP/1.1 503 No\r\n" + otherId + refusal},
        {"older_id_421", "HTTP/1.1 421 No\r\n" + otherId + "Content-Length: 0\r\n\r\n"},
    };
    for (const auto &[name, repeated] : rows) {
        BOOST_TEST_CONTEXT(name)
        {
            // Leaves a connection that is kept.
            BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
            const auto normalHandler = path.handlers_[0];
            int runs = 0;
            path.handlers_[0] = [&runs, &repeated = repeated](const auto &from,
                                                              SeenRequest &&request) {
                ++runs;
                from->stream_->write(repeated);
                from->loop_.timers().once(50ms, [from, request] {
                    from->answer(200, ServingPath::requestIdHeader(request) + signatureHeader,
                                 "right");
                });
            };
            const auto client = path.sendAndAwaitHead("POST", "/book/" + name);
            BOOST_TEST(client->status() == 200);
            BOOST_TEST(client->received_.ends_with("right"));
            BOOST_TEST(runs == 1);
            path.handlers_[0] = normalHandler;
        }
    }
}

BOOST_AUTO_TEST_CASE(refusal_without_the_id_of_the_request_does_not_count_as_not_run)
{
    ServingPath path(45);
    path.waitUntilServing();
    const std::vector<std::pair<unsigned, std::string>> rows = {
        {503, "X-Eelgrasscove-Not-Executed: 1\r\n"},
        {429, "X-Eelgrasscove-Not-Executed: 1\r\n"},
        {421, ""},
    };
    for (const auto &[status, headers] : rows) {
        BOOST_TEST_CONTEXT(status)
        {
            std::size_t runs = 0;
            for (auto &handler : path.handlers_) {
                handler = [&runs, status = status, &headers = headers](const auto &from,
                                                                       SeenRequest &&) {
                    ++runs;
                    // On a connection that is not kept.
                    from->answer(status, headers + "Connection: close\r\n", "");
                };
            }
            // The connection that remains from before is used first.
            for (Server *target : path.targets_) {
                for (const auto &connection : target->connections_)
                    connection->stream_->close();
            }
            turnFor(path.loop_, 50ms);
            BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 502);
            BOOST_TEST(runs == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(status_that_promises_not_run_is_not_forwarded_without_the_targets_statement)
{
    ServingPath path(46);
    path.waitUntilServing();
    for (const unsigned status : {408U, 429U, 503U}) {
        for (auto &handler : path.handlers_) {
            handler = [status](const auto &from, SeenRequest &&request) {
                from->answer(status, ServingPath::requestIdHeader(request) + signatureHeader, "");
            };
        }
        const auto client = path.sendAndAwaitHead("POST", "/book/a");
        BOOST_TEST(client->status() == 502);
        BOOST_TEST(client->received_.find(signatureHeader) == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(refusal_repeated_on_its_connection_does_not_answer_the_same_request_sent_again)
{
    ServingPath path(47);
    path.waitUntilServing();
    path.registerTarget(1, "i-1", "draining");
    turnFor(path.loop_, 1200ms);
    std::shared_ptr<ServerConnection> refusedOn;
    int runs = 0;
    path.handlers_[0] = [&](const auto &from, SeenRequest &&request) {
        const std::string id = ServingPath::requestIdHeader(request);
        const std::string refusal = id + "X-Eelgrasscove-Not-Executed: 1\r\n";
        if (!refusedOn) {
            refusedOn = from;
            from->answer(503, refusal, "");
            return;
        }
        ++runs;
        if (from == refusedOn)
            from->answer(503, refusal, "");
        from->loop_.timers().once(100ms,
                                  [from, id] { from->answer(200, id + signatureHeader, "right"); });
    };
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
    BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_CASE(connection_with_unread_bytes_or_a_close_is_not_used_for_the_next_request)
{
    const std::string head = "X-Eelgrasscove-Request-Id: second\r\nContent-Length: 5\r\n\r\n";
    for (const std::string &late :
         {"HTTP/1.1 503 No\r\nX-Eelgrasscove-Not-Executed: 1\r\n" + head + "wrong",
          std::string()}) {
        BOOST_TEST_CONTEXT(late)
        {
            auto &loop = *new EventLoop;
            auto &target =
                *new Server(loop, late.empty() ? "127.0.0.1:17898" : "127.0.0.1:17897",
                            [](const auto &from, SeenRequest &&request) {
                                from->answer(200, ServingPath::requestIdHeader(request), "right");
                            });
            auto &pool = *new TargetPool(loop, target.address_);
            std::map<std::string, std::pair<ExchangeEnd, unsigned>> ends;
            std::map<std::string, unsigned> statuses;
            const auto send = [&](const std::string &id) {
                pool.send(
                    "GET / HTTP/1.1\r\nHost: a\r\nX-Eelgrasscove-Request-Id: " + id + "\r\n\r\n",
                    id,
                    {nullptr,
                     [&statuses, id](HttpHead &&received) { statuses[id] = received.status_; },
                     nullptr,
                     [&ends, &statuses, id](ExchangeEnd end, auto) {
                         ends[id] = {end, statuses[id]};
                     }});
            };
            send("first");
            BOOST_REQUIRE(turnUntil(loop, 2s, [&] { return ends.contains("first"); }));
            // Reaches the socket of the pool, which has no turn to read it before the next request.
            if (late.empty())
                target.connections_[0]->stream_->close();
            else
                target.connections_[0]->stream_->write(late);
            send("second");
            BOOST_REQUIRE(turnUntil(loop, 2s, [&] { return ends.contains("second"); }));
            BOOST_TEST((ends["second"].first == ExchangeEnd::Complete));
            BOOST_TEST(ends["second"].second == 200);
            BOOST_TEST(target.connections_.size() == 2);
        }
    }
}

BOOST_AUTO_TEST_CASE(unreadable_entry_in_the_target_list_leaves_the_others_in_use)
{
    const std::string deep(500'000, '[');
    const std::string begin = R"({"service":"ledger","zone":"here","state":"ready",)";
    const std::map<std::string, std::string> odd = {
        {"servers/a-nested", deep},
        {"servers/a-nested-object", R"({"service":)" + deep + std::string(500'000, ']') + "}"},
        {"servers/a-bytes", "\xff\xfe\x01"},
        {"servers/a-port", begin + R"("slots":6,"born":9,"address":"127.0.0.1:70000"})"},
        {"servers/a-host", begin + R"("slots":6,"born":9,"address":"127.0.0.1.9:80"})"},
        {"servers/a-number", begin + R"("slots":1e300,"born":9,"address":"127.0.0.1:1"})"},
        {"servers/a-slots", begin + R"("slots":4294967296,"born":9,"address":"127.0.0.1:1"})"},
        {"servers/a-type", begin + R"("slots":6,"born":"9","address":"127.0.0.1:1"})"},
    };
    ServingPath path(48, odd);
    path.waitUntilServing();
    for (const auto &[key, value] : odd) {
        path.store_.put(key + "-late", value);
        turnFor(path.loop_, 50ms);
    }
    turnFor(path.loop_, 1200ms);
    for (int request = 0; request < 6; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    // Later changes of the list are still adopted.
    path.registerTarget(0, "i-0", "draining");
    turnFor(path.loop_, 1200ms);
    path.targets_[0]->seen_.clear();
    for (int request = 0; request < 6; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(entry_of_an_unknown_service_does_not_replace_the_target_at_its_address)
{
    ServingPath path(49);
    path.waitUntilServing();
    for (int target = 0; target < 2; ++target) {
        path.store_.put("servers/x-" + std::to_string(target),
                        fmt::format(R"({{"service":"nowhere","address":"{}","zone":"here",)"
                                    R"("slots":6,"state":"ready","born":9}})",
                                    path.address(1 + target)));
    }
    turnFor(path.loop_, 1200ms);
    BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
}

BOOST_AUTO_TEST_CASE(response_to_another_request_is_not_forwarded)
{
    ServingPath path(8);
    path.waitUntilServing();
    for (auto &handler : path.handlers_) {
        handler = [](const auto &from, SeenRequest &&request) {
            from->answer(200, "X-Eelgrasscove-Request-Id: older\r\n" + signatureHeader, "wrong");
            from->answer(200, ServingPath::requestIdHeader(request) + signatureHeader, "right");
        };
    }
    BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->received_.ends_with("right"));
}

BOOST_AUTO_TEST_CASE(successful_response_without_signature_is_reported_as_502)
{
    ServingPath path(9);
    path.waitUntilServing();
    for (auto &handler : path.handlers_) {
        handler = [](const auto &from, SeenRequest &&request) {
            from->answer(200, ServingPath::requestIdHeader(request), "spoilt");
        };
    }
    BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 502);
}

BOOST_AUTO_TEST_CASE(response_with_an_invalid_status_is_ended_at_once_and_tried_elsewhere)
{
    ServingPath path(97);
    path.waitUntilServing();
    for (const std::string status : {"000", "0200", "20", "099", "600", "999"}) {
        checkResponseIsNone(path, "HTTP/1.1 " + status + " Note\r\n", "done");
    }
    for (const std::string version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.1"})
        checkResponseIsNone(path, version + " 200 OK\r\n", "done");
}

BOOST_AUTO_TEST_CASE(response_with_an_invalid_header_name_is_ended_at_once_and_tried_elsewhere)
{
    using namespace std::string_literals;
    ServingPath path(99);
    path.waitUntilServing();
    for (const std::string &line :
         {"X Note: a"s, "X-Note : a"s, " X-Note: a"s, "\tX-Note: a"s, "X\x01Note: a"s,
          "X\tNote: a"s, "X\0Note: a"s, "X\x7fNote: a"s, "Content-Length : 4"s,
          " Content-Length: 4"s, "Transfer Encoding: chunked"s}) {
        checkResponseIsNone(path, "HTTP/1.1 200 OK\r\n" + line + "\r\n", "done");
        checkResponseIsNone(
            path, "HTTP/1.1 200 OK\r\nServer: a\r\n" + line + "\r\nContent-Length: 4\r\n", "done");
    }
}

BOOST_AUTO_TEST_CASE(response_with_an_invalid_line_end_is_ended_at_once_and_tried_elsewhere)
{
    ServingPath path(101);
    path.waitUntilServing();
    checkResponseIsNone(path, "HTTP/1.1 404 Not\rFound\r\nContent-Length: 4\r\n", "done");
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    for (const std::string chunks : {"4\r\ndoneXY0\r\n\r\n", "4\r\ndone, more0\r\n\r\n",
                                     "4\rXdone\r\n0\r\n\r\n", "4\r\ndone\r\n0\r\n\rX"})
        checkResponseIsNone(path, chunked, chunks);
}

BOOST_AUTO_TEST_CASE(response_with_an_unknown_transfer_coding_is_ended_at_once_and_tried_elsewhere)
{
    ServingPath path(102);
    path.waitUntilServing();
    for (const std::string coding : {"gzip", "xchunked", "chunked, gzip", "gzip, chunked", ""}) {
        checkResponseIsNone(path, "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n",
                            "4\r\ndone\r\n0\r\n\r\n");
    }
}

BOOST_AUTO_TEST_CASE(sound_response_of_a_rare_form_is_forwarded)
{
    ServingPath path(98);
    path.waitUntilServing();
    const std::vector<std::pair<unsigned, std::string>> rows = {
        {200, "HTTP/1.1 200\r\n"},
        {200, "HTTP/1.1 200 \r\n"},
        {200, "HTTP/1.0 200 OK\r\n"},
        {200, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n"},
        {299, "HTTP/1.1 299 Note\r\n"},
        {404, "HTTP/1.1 404 Not \t\xfc\r\n"},
        {599, "HTTP/1.1 599 Note\r\n"},
        {200, "HTTP/1.1 200 OK\r\nX-Note:\t a\tb \xfc\x80 \r\nx!#$%&'*+-.^_`|~9:\r\n"},
    };
    for (const auto &[status, lines] : rows) {
        for (const std::string length : {"", "Content-Length: 4\r\n"}) {
            respondWith(path, lines + length, "done", length.empty());
            const auto client = path.sendAndAwaitHead("POST", "/book/a");
            BOOST_TEST(client->status() == status, lines);
            BOOST_TEST(client->received_.ends_with("done"), lines);
            BOOST_TEST(client->received_.find(signatureHeader) != std::string::npos, lines);
        }
        respondWith(path, lines + "Transfer-Encoding: chunked\r\n",
                    "2;a=b\r\n\r\n\r\n4\r\ndone\r\n0\r\nX-Note: a\r\n\r\n", false);
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->received_.ends_with("\r\ndone"),
                   lines);
    }
}

BOOST_AUTO_TEST_CASE(client_disconnect_cancels_the_request_at_the_target)
{
    ServingPath path(10);
    path.waitUntilServing();
    std::shared_ptr<ServerConnection> running;
    for (auto &handler : path.handlers_)
        handler = [&running](const auto &from, SeenRequest &&) { running = from; };
    const auto client = path.sendRequest("POST", "/book/a");
    BOOST_REQUIRE(turnUntil(path.loop_, 2s, [&] { return running != nullptr; }));
    client->stream_->close();
    BOOST_TEST(turnUntil(path.loop_, 400ms, [&] { return running->ended_; }));
}

BOOST_AUTO_TEST_CASE(target_does_not_work_on_for_a_client_that_is_disconnected_for_sending_too_much)
{
    ServingPath path(18);
    path.waitUntilServing();
    std::shared_ptr<ServerConnection> running;
    for (auto &handler : path.handlers_)
        handler = [&running](const auto &from, SeenRequest &&) { running = from; };
    const auto client = path.sendRequest("POST", "/book/a");
    BOOST_REQUIRE(turnUntil(path.loop_, 2s, [&] { return running != nullptr; }));
    client->stream_->write(std::string(2 * 1024 * 1024, 'x'));
    BOOST_TEST(turnUntil(path.loop_, 500ms, [&] { return running->ended_; }));
}

BOOST_AUTO_TEST_CASE(request_whose_client_has_left_is_not_sent_to_a_target)
{
    ServingPath path(17);
    path.waitUntilServing();
    const std::uint64_t sendsBefore = ServingPath::metric("eelgrasscove_sends_total");
    // The entry finds the connection, the request and the close together.
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in entry{};
    uv_ip4_addr("127.0.0.1", path.basePort_ + 4, &entry);
    BOOST_REQUIRE(connect(client, reinterpret_cast<const sockaddr *>(&entry), sizeof entry) == 0);
    const std::string request = "POST /book/a HTTP/1.1\r\nHost: desk.example\r\n"
                                "X-Eelgrasscove-Request-Id: left\r\n"
                                "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";
    BOOST_REQUIRE(send(client, request.data(), request.size(), 0)
                  == static_cast<ssize_t>(request.size()));
    close(client);
    turnFor(path.loop_, 300ms);
    BOOST_TEST(ServingPath::metric("eelgrasscove_sends_total") == sendsBefore);
    BOOST_TEST(path.receivedRequests() == 0);
}

BOOST_AUTO_TEST_CASE(unresponsive_target_leads_to_504_at_the_route_timeout)
{
    ServingPath path(11);
    path.waitUntilServing();
    for (auto &handler : path.handlers_)
        handler = [](const auto &, SeenRequest &&) {};
    const Time sentAt = bootNow();
    BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 504);
    BOOST_TEST((bootNow() - sentAt < 1500ms));
    BOOST_TEST((bootNow() - sentAt >= 1s));
}

BOOST_AUTO_TEST_CASE(stream_at_a_silent_target_is_answered_before_its_client_leaves)
{
    ServingPath path(22);
    path.waitUntilServing();
    std::shared_ptr<ServerConnection> running;
    for (auto &handler : path.handlers_)
        handler = [&running](const auto &from, SeenRequest &&) { running = from; };
    const Time sentAt = bootNow();
    BOOST_TEST(path.sendAndAwaitHead("POST", "/ask/a")->status() == 504);
    // Eight times the route's target_gap_ms, after which the client leaves.
    BOOST_TEST((bootNow() - sentAt < 2400ms));
    BOOST_TEST((bootNow() - sentAt > 2s));
    BOOST_TEST(turnUntil(path.loop_, 400ms, [&] { return running->ended_; }));
}

BOOST_AUTO_TEST_CASE(
    draining_target_gets_no_requests_and_a_newer_target_replaces_the_older_at_its_address)
{
    ServingPath path(12);
    path.waitUntilServing();
    path.registerTarget(0, "i-0", "draining");
    turnFor(path.loop_, 1200ms);
    for (int request = 0; request < 4; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_TEST(path.targets_[0]->seen_.empty());
    // A target with a later start time at the address of the second one, whose list entry has not
    // expired yet.
    path.targets_[1]->seen_.clear();
    path.registerTarget(1, "i-9", "ready", 5);
    turnFor(path.loop_, 1200ms);
    BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_REQUIRE(path.targets_[1]->seen_.size() == 1);
    BOOST_TEST(path.targets_[1]->seen_[0].head_.header("X-Eelgrasscove-Expect-Instance") == "i-9");
}

BOOST_AUTO_TEST_CASE(target_that_says_in_any_response_that_it_leaves_gets_no_more_requests)
{
    struct Row
    {
        const char *response_;
        unsigned status_;
        std::string headers_;
    };
    const std::vector<Row> rows = {
        {"success", 200, leavingHeader},
        {"refusal", 503, leavingHeader + notExecutedHeader},
        {"error", 500, leavingHeader},
    };
    int number = 60;
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.response_)
        {
            ServingPath path(number++);
            path.waitUntilServing();
            path.handlers_[0] = respondingWith(row.status_, row.headers_);
            path.sendUntilReceived(0);
            for (int request = 0; request < 6; ++request)
                BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
            BOOST_TEST(path.targets_[0]->seen_.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(target_that_leaves_while_it_streams_gets_no_more_requests)
{
    ServingPath path(63);
    path.waitUntilServing();
    path.handlers_[0] = [](const auto &from, SeenRequest &&request) {
        from->stream_->write("HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                             + signatureHeader + leavingHeader
                             + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
    };
    const auto client = path.sendRequest("POST", "/ask/a");
    BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return client->status() == 200; }));
    BOOST_REQUIRE(path.targets_[0]->seen_.size() == 1);
    BOOST_TEST(ServingPath::headerOf(*client, "Server-Leaving") == "");
    // The response says so also if its client leaves before its end.
    client->stream_->close();
    turnFor(path.loop_, 50ms);
    for (int request = 0; request < 6; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_TEST(path.targets_[0]->seen_.size() == 1);
}

BOOST_AUTO_TEST_CASE(queued_request_is_not_sent_to_a_target_that_leaves)
{
    ServingPath path(64);
    path.waitUntilServing();
    // The expected wait follows from the rate of responses.
    for (int request = 0; request < 40; ++request)
        path.sendAndAwaitHead("GET", "/open/a");
    std::array<HeldRequests, 2> held;
    for (int target = 0; target < 2; ++target) {
        path.targets_[target]->seen_.clear();
        path.handlers_[target] = held[target].handler();
    }
    std::vector<std::shared_ptr<Client>> clients;
    for (int request = 0; request < 18; ++request) {
        clients.push_back(path.sendRequest("POST", "/look/a"));
        turnFor(path.loop_, 5ms);
    }
    const std::size_t received = path.receivedRequests();
    BOOST_REQUIRE(received < clients.size());
    const std::size_t atLeaving = path.targets_[0]->seen_.size();
    held[0].respondToFirst(200, leavingHeader);
    turnFor(path.loop_, 150ms);
    BOOST_TEST(path.targets_[0]->seen_.size() == atLeaving);
    held[1].respondToFirst(200, "");
    BOOST_TEST(
        turnUntil(path.loop_, 300ms, [&] { return path.receivedRequests() == received + 1; }));
    BOOST_TEST(path.targets_[0]->seen_.size() == atLeaving);
}

BOOST_AUTO_TEST_CASE(request_is_not_repeated_at_a_target_that_leaves)
{
    ServingPath path(65);
    path.waitUntilServing();
    path.handlers_[0] = respondingWith(200, leavingHeader);
    path.sendUntilReceived(0);
    path.handlers_[1] = [](const auto &from, SeenRequest &&) { from->stream_->close(true); };
    BOOST_TEST(path.sendAndAwaitHead("POST", "/look/a")->status() == 502);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(stream_is_not_resumed_at_a_target_that_leaves)
{
    ServingPath path(66);
    path.waitUntilServing();
    path.handlers_[0] = respondingWith(200, leavingHeader);
    path.sendUntilReceived(0);
    path.handlers_[1] = [](const auto &from, SeenRequest &&request) {
        from->stream_->write("HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                             + signatureHeader
                             + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
        from->loop_.timers().once(50ms, [from] { from->stream_->close(true); });
    };
    const auto client = path.sendRequest("POST", "/tell/a");
    BOOST_TEST(turnUntil(path.loop_, 3s, [&] { return client->ended_; }));
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(request_on_a_connection_being_opened_does_not_go_out_to_a_target_that_leaves)
{
    ServingPath path(67);
    path.waitUntilServing();
    std::array<HeldRequests, 2> held;
    const auto client = sendWhileTargetResponds(path, held, 200, leavingHeader);
    BOOST_TEST(path.targets_[0]->seen_.size() == 1);
    BOOST_TEST(path.targets_[1]->seen_.size() == 2);
    while (!held[1].held_.empty())
        held[1].respondToFirst(200, "");
    BOOST_TEST(turnUntil(path.loop_, 1s, [&] { return client->status() == 200; }));
}

BOOST_AUTO_TEST_CASE(target_that_leaves_stays_so_when_listed_again_until_it_starts_anew)
{
    ServingPath path(68);
    path.waitUntilServing();
    path.handlers_[0] = respondingWith(200, leavingHeader);
    path.sendUntilReceived(0);
    path.registerTarget(0, "i-0");
    turnFor(path.loop_, 1200ms);
    for (int request = 0; request < 3; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_TEST(path.targets_[0]->seen_.empty());
    // The entry forgets the target when it is removed from the list of a store in contact.
    turnFor(path.loop_, 1200ms);
    path.store_.remove("servers/i-0");
    turnFor(path.loop_, 1200ms);
    path.registerTarget(0, "i-0");
    turnFor(path.loop_, 1200ms);
    for (int request = 0; request < 3; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_TEST(path.targets_[0]->seen_.empty());
    path.registerTarget(0, "i-0", "ready", 2);
    turnFor(path.loop_, 1200ms);
    BOOST_TEST(path.isFirstTargetUsed());
}

BOOST_AUTO_TEST_CASE(other_target_at_the_address_of_one_that_left_gets_requests)
{
    ServingPath path(69);
    path.waitUntilServing();
    path.handlers_[0] = respondingWith(200, leavingHeader);
    path.sendUntilReceived(0);
    path.registerTarget(0, "i-9", "ready", 5);
    turnFor(path.loop_, 1200ms);
    BOOST_TEST(path.isFirstTargetUsed());
}

BOOST_AUTO_TEST_CASE(target_listed_as_leaving_stays_so_when_a_later_list_does_not_say_it)
{
    ServingPath path(70);
    path.waitUntilServing();
    path.registerTarget(0, "i-0", "draining");
    turnFor(path.loop_, 1200ms);
    path.store_.forgetHistory();
    path.registerTarget(0, "i-0", "ready");
    path.store_.cutWatches();
    turnFor(path.loop_, 2s);
    for (int request = 0; request < 3; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(entry_that_starts_anew_learns_again_that_a_target_leaves)
{
    ServingPath path(71);
    path.waitUntilServing();
    path.handlers_[0] = respondingWith(200, leavingHeader);
    path.sendUntilReceived(0);
    path.startEntry(7);
    path.callersOffset_ = 7;
    path.waitUntilServing();
    path.sendAndAwaitHead("POST", "/book/a");
    path.targets_[0]->seen_.clear();
    for (int request = 0; request < 6; ++request)
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(engine_that_leaves_is_not_asked_to_load_adapters)
{
    ServingPath path(72);
    const std::string host = "127.0.0.2:";
    Agent agent(path.loop_, host + std::to_string(path.basePort_ + 6), path.address(6));
    Server engine(path.loop_, host + std::to_string(path.basePort_ + 1),
                  respondingWith(200, leavingHeader));
    Server other(path.loop_, host + std::to_string(path.basePort_ + 2), respondingWith(200, ""));
    for (const auto &[id, server] : {std::pair("e-0", &engine), std::pair("e-1", &other)}) {
        path.store_.put(std::string("servers/") + id,
                        fmt::format(R"({{"service":"mind","address":"{}","zone":"here","slots":8,)"
                                    R"("state":"ready","born":1,)"
                                    R"("models":[{{"name":"m","version":1}}]}})",
                                    server->address_.text()));
    }
    path.waitUntilServing();
    EngineStateMessage state;
    state.target_ = nameHash("e-0");
    state.startedAt_ = 1;
    state.isUp_ = true;
    state.residencyNumber_ = 1;
    state.hasLists_ = true;
    state.adapters_ = {{nameHash("m/a1"), 1}};
    state.models_ = {nameHash("m")};
    agent.report(state);
    // The agent of the other engine says that it leaves, and then no more.
    EngineStateMessage leaving = state;
    leaving.target_ = nameHash("e-1");
    leaving.adapters_ = {{nameHash("m/a9"), 1}};
    leaving.isDraining_ = true;
    agent.report(leaving);
    leaving.isDraining_ = false;
    agent.report(leaving);
    turnFor(path.loop_, 100ms);
    const auto sendFor = [&](const std::string &model) {
        return path.sendAndAwaitHead(
            "POST", "/advise/a",
            "Authorization: Bearer k1\r\nX-Eelgrasscove-Model-Name: " + model + "\r\n");
    };
    // Awaits an adapter that the engine does not have, while it learns that the engine leaves.
    const auto waiting = path.sendRequest(
        "POST", "/advise/a", "Authorization: Bearer k1\r\nX-Eelgrasscove-Model-Name: m/a2\r\n");
    BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return agent.loadRequests() > 0; }));
    BOOST_REQUIRE(sendFor("m/a1")->status() == 200);
    turnFor(path.loop_, 100ms);
    agent.messages_.clear();
    // A report that was made before the engine knew that it leaves.
    agent.report(state);
    agent.report(leaving);
    turnFor(path.loop_, 300ms);
    BOOST_TEST(sendFor("m/a3")->status() == 503);
    BOOST_TEST(sendFor("m/a9")->status() == 503);
    BOOST_TEST(other.seen_.empty());
    BOOST_TEST(agent.loadRequests() == 0);
    BOOST_TEST(engine.seen_.size() == 1);
}

BOOST_AUTO_TEST_CASE(target_that_names_a_pause_gets_no_requests_before_its_end)
{
    int number = 73;
    for (const std::string &headers : {notExecutedHeader, std::string()}) {
        BOOST_TEST_CONTEXT(headers)
        {
            ServingPath path(number++);
            path.waitUntilServing();
            path.handlers_[0] = respondingWith(503, headers + "Retry-After: 1.2\r\n");
            const auto client = path.sendAndAwaitHead("POST", "/book/a");
            const Time pausedAt = bootNow();
            BOOST_REQUIRE(path.targets_[0]->seen_.size() == 1);
            // Without the target's statement a 503 would promise that the request was not run.
            BOOST_TEST(client->status() == (headers.empty() ? 502 : 200));
            // Another target may take the client's next request at once.
            BOOST_TEST(ServingPath::headerOf(*client, "Retry-After") == "");
            // Neither a repeat nor a resumed stream goes to the target.
            path.handlers_[1] = [](const auto &from, SeenRequest &&) {
                from->stream_->close(true);
            };
            BOOST_TEST(path.sendAndAwaitHead("POST", "/look/a")->status() == 502);
            path.handlers_[1] = [](const auto &from, SeenRequest &&request) {
                from->stream_->write("HTTP/1.1 200 OK\r\n" + ServingPath::requestIdHeader(request)
                                     + signatureHeader
                                     + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n");
                from->loop_.timers().once(50ms, [from] { from->stream_->close(true); });
            };
            const auto stream = path.sendRequest("POST", "/tell/a");
            BOOST_TEST(turnUntil(path.loop_, 900ms, [&] { return stream->ended_; }));
            BOOST_TEST(path.targets_[0]->seen_.size() == 1);
            HeldRequests held;
            path.handlers_[1] = held.handler();
            std::vector<std::shared_ptr<Client>> clients;
            while (bootNow() - pausedAt < 1100ms) {
                if (clients.size() < 6)
                    clients.push_back(path.sendRequest("POST", "/look/a"));
                turnFor(path.loop_, 50ms);
            }
            BOOST_TEST(path.targets_[0]->seen_.size() == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(target_whose_pause_has_ended_gets_few_requests_until_it_responds)
{
    ServingPath path(75);
    path.waitUntilServing();
    path.handlers_[0] = respondingWith(503, notExecutedHeader + "Retry-After: 0.3\r\n");
    path.sendUntilReceived(0);
    std::array<HeldRequests, 2> held;
    for (int target = 0; target < 2; ++target)
        path.handlers_[target] = held[target].handler();
    turnFor(path.loop_, 500ms);
    std::vector<std::shared_ptr<Client>> clients;
    clients.reserve(11);
    for (int request = 0; request < 7; ++request)
        clients.push_back(path.sendRequest("POST", "/look/a"));
    turnFor(path.loop_, 200ms);
    BOOST_TEST(path.targets_[0]->seen_.size() == 2);
    held[0].respondToFirst(200, "");
    turnFor(path.loop_, 50ms);
    for (int request = 0; request < 4; ++request)
        clients.push_back(path.sendRequest("POST", "/look/a"));
    BOOST_TEST(turnUntil(path.loop_, 200ms, [&] { return path.targets_[0]->seen_.size() > 3; }));
}

BOOST_AUTO_TEST_CASE(request_is_refused_at_once_while_all_targets_pause)
{
    ServingPath path(76);
    path.waitUntilServing();
    for (auto &handler : path.handlers_)
        handler = respondingWith(503, notExecutedHeader + "Retry-After: 5\r\n");
    path.sendAndAwaitHead("POST", "/look/a");
    BOOST_REQUIRE(path.receivedRequests() == 2);
    for (const char *target : {"/look/a", "/book/a", "/ask/a"}) {
        BOOST_TEST_CONTEXT(target)
        {
            const Time sentAt = bootNow();
            const auto client = path.sendAndAwaitHead("POST", target);
            BOOST_TEST((bootNow() - sentAt < 200ms));
            BOOST_TEST(client->status() == 503);
            const std::string retryAfter = ServingPath::headerOf(*client, "Retry-After");
            BOOST_REQUIRE(!retryAfter.empty());
            BOOST_TEST(std::stod(retryAfter) > 4.5);
        }
    }
    BOOST_TEST(path.receivedRequests() == 2);
}

BOOST_AUTO_TEST_CASE(request_waits_for_a_target_that_pauses_for_a_short_time)
{
    ServingPath path(77);
    path.waitUntilServing();
    path.registerTarget(1, "i-1", "draining");
    turnFor(path.loop_, 1200ms);
    bool isFirst = true;
    path.handlers_[0] = [&isFirst](const auto &from, SeenRequest &&request) {
        const bool refuses = std::exchange(isFirst, false);
        respondingWith(refuses ? 503 : 200,
                       refuses ? notExecutedHeader + "Retry-After: 0.4\r\n"
                               : "")(from, std::move(request));
    };
    const Time sentAt = bootNow();
    BOOST_TEST(path.sendAndAwaitHead("POST", "/look/a")->status() == 200);
    BOOST_TEST((bootNow() - sentAt >= 400ms));
    BOOST_TEST(path.targets_[0]->seen_.size() == 2);
}

BOOST_AUTO_TEST_CASE(request_on_a_connection_being_opened_does_not_go_out_to_a_target_that_pauses)
{
    ServingPath path(78);
    path.waitUntilServing();
    std::array<HeldRequests, 2> held;
    const auto client =
        sendWhileTargetResponds(path, held, 503, notExecutedHeader + "Retry-After: 5\r\n");
    BOOST_TEST(path.targets_[0]->seen_.size() == 1);
    BOOST_TEST(path.targets_[1]->seen_.size() == 3);
    while (!held[1].held_.empty())
        held[1].respondToFirst(200, "");
    BOOST_TEST(turnUntil(path.loop_, 1s, [&] { return client->status() == 200; }));
}

BOOST_AUTO_TEST_CASE(queued_request_is_refused_at_once_when_all_targets_pause)
{
    ServingPath path(79);
    path.waitUntilServing();
    // The expected wait follows from the rate of responses.
    for (int request = 0; request < 40; ++request)
        path.sendAndAwaitHead("GET", "/open/a");
    std::array<HeldRequests, 2> held;
    for (int target = 0; target < 2; ++target) {
        path.targets_[target]->seen_.clear();
        path.handlers_[target] = held[target].handler();
    }
    std::vector<std::shared_ptr<Client>> clients;
    for (int request = 0; request < 18; ++request) {
        clients.push_back(path.sendRequest("POST", "/look/a"));
        turnFor(path.loop_, 5ms);
    }
    const std::size_t received = path.receivedRequests();
    BOOST_REQUIRE(received < clients.size());
    for (HeldRequests &each : held)
        each.respondToFirst(503, "Retry-After: 5\r\n");
    BOOST_TEST(turnUntil(path.loop_, 300ms, [&] {
        return std::all_of(clients.begin() + static_cast<std::ptrdiff_t>(received), clients.end(),
                           [](const auto &client) { return client->status() == 503; });
    }));
    BOOST_TEST(path.receivedRequests() == received);
    BOOST_TEST(std::stod(ServingPath::headerOf(*clients.back(), "Retry-After") + "0") > 4.5);
}

BOOST_AUTO_TEST_CASE(account_over_its_limit_is_refused_with_retry_after)
{
    ServingPath path(13);
    path.waitUntilServing();
    path.publishRules(2, "\"k1\"", 400);
    turnFor(path.loop_, 200ms);
    unsigned refused = 0;
    for (int request = 0; request < 20; ++request) {
        const auto client = path.sendAndAwaitHead("POST", "/book/a");
        if (client->status() == 429) {
            ++refused;
            BOOST_TEST(client->received_.find("Retry-After: ") != std::string::npos);
        }
    }
    BOOST_TEST(refused >= 10);
    BOOST_TEST(path.receivedRequests() + refused == 20);
}

BOOST_AUTO_TEST_CASE(exchange_ends_with_a_target_whose_answer_is_not_one_to_the_request)
{
    auto rows = endlessHeads();
    rows.push_back({"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"});
    rows.push_back({"responses to other requests", "",
                    "HTTP/1.1 200 OK\r\nX-Eelgrasscove-Request-Id: other\r\n"
                    "Content-Length: 4\r\n\r\nabcd"});
    rows.push_back({"body of a response to another request",
                    "HTTP/1.1 200 OK\r\nX-Eelgrasscove-Request-Id: other\r\n\r\n", "x"});
    for (const EndlessAnswer &row : rows) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            auto &loop = *new EventLoop;
            EndlessServer server(row.prefix_, row.filler_);
            TargetPool pool(loop, {"127.0.0.1", server.port()});
            std::optional<ExchangeEnd> ended;
            pool.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "own",
                      {nullptr, nullptr, nullptr, [&](ExchangeEnd end, auto) { ended = end; }});
            BOOST_TEST(turnUntil(loop, 2s, [&] { return ended && server.closed() == 1; }));
            BOOST_TEST((ended == ExchangeEnd::Garbled));
            BOOST_TEST(server.sentBytes() < 16ULL * 1024 * 1024);
        }
    }
}

BOOST_AUTO_TEST_CASE(answer_without_end_does_not_use_up_the_entrys_memory)
{
    // The largest answers are some ten kilobytes; the entry's VM has 160 MB.
    constexpr std::uint64_t mostTakenBytes = 32ULL * 1024 * 1024;
    const std::string event = "HTTP/1.1 200 OK\r\n" + signatureHeader + "\r\ndata: ";
    const std::vector<std::pair<const char *, EndlessAnswer>> rows = {
        {"/book/a", {"body", "HTTP/1.1 200 OK\r\n\r\n", "x"}},
        {"/look/a", {"body of a request that may be repeated", "HTTP/1.1 200 OK\r\n\r\n", "x"}},
        {"/ask/a", {"event of a stream", event.c_str(), "x"}},
    };
    int number = 19;
    for (const auto &[target, row] : rows) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            ServingPath path(number++);
            EndlessServer server(row.prefix_, row.filler_);
            path.waitUntilServing();
            path.store_.put("servers/i-0", path.targetItem(server.address(), "ready", 9));
            path.store_.put("servers/i-1", path.targetItem(server.address(), "draining", 9));
            turnFor(path.loop_, 1200ms);
            const Time sentAt = bootNow();
            BOOST_TEST(path.sendAndAwaitHead("POST", target)->status() == 502);
            BOOST_TEST((bootNow() - sentAt < 900ms));
            BOOST_TEST(turnUntil(path.loop_, 1s, [&] {
                return server.closed() > 0 && server.closed() == server.answers();
            }));
            BOOST_TEST(server.closed() == server.answers());
            BOOST_TEST(server.sentBytes() < mostTakenBytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(reports_of_other_adapters_do_not_place_every_queued_request)
{
    ServingPath path(16);
    path.store_.put(
        "servers/e-0",
        fmt::format(R"({{"service":"mind","address":"{}","zone":"here","slots":8,)"
                    R"("state":"ready","born":1,"models":[{{"name":"m","version":1}}]}})",
                    path.address(1)));
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/other");
    turnFor(path.loop_, 100ms);
    constexpr int queued = 30;
    std::vector<std::shared_ptr<Client>> clients;
    clients.reserve(queued);
    for (int request = 0; request < queued; ++request)
        clients.push_back(path.sendAdapterRequest());
    turnFor(path.loop_, 100ms);
    const std::uint64_t before = ServingPath::metric("eelgrasscove_placements_total");
    BOOST_REQUIRE(before >= queued);
    path.sendEngineStates(0, 100, "m/other");
    turnFor(path.loop_, 100ms);
    const std::uint64_t placements = ServingPath::metric("eelgrasscove_placements_total") - before;
    BOOST_TEST(placements <= 10 * queued);
    path.sendEngineStates(0, 1, "m/a1");
    BOOST_TEST(turnUntil(path.loop_, 1s, [&] { return !path.targets_[0]->seen_.empty(); }));
}

BOOST_AUTO_TEST_CASE(started_entry_does_not_use_an_adapter_version_replaced_before_its_start)
{
    ServingPath path(23, {{"op/version/m.a1", R"({"model":"m","adapter":"a1","version":2})"}});
    path.registerEngine();
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/a1");
    turnFor(path.loop_, 100ms);
    const auto client = path.sendAdapterRequest();
    turnFor(path.loop_, 300ms);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(older_adapter_version_is_used_for_a_while_after_a_newer_one_is_named)
{
    ServingPath path(24);
    path.registerEngine();
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/a1");
    path.store_.put("op/version/m.a1", R"({"model":"m","adapter":"a1","version":2})");
    turnFor(path.loop_, 400ms);
    const auto client = path.sendAdapterRequest();
    BOOST_TEST(turnUntil(path.loop_, 1s, [&] { return !path.targets_[0]->seen_.empty(); }));
}

BOOST_AUTO_TEST_CASE(
    adapter_version_replaced_long_ago_is_not_used_again_when_a_further_one_is_named)
{
    ServingPath path(26, {{"op/version/m.a1", R"({"model":"m","adapter":"a1","version":2})"}});
    path.registerEngine();
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/a1");
    path.store_.put("op/version/m.a1", R"({"model":"m","adapter":"a1","version":3})");
    turnFor(path.loop_, 400ms);
    const auto client = path.sendAdapterRequest();
    turnFor(path.loop_, 300ms);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(requests_that_share_a_prompt_part_do_not_crash_one_target_after_the_other)
{
    ServingPath path(27);
    path.registerEngine();
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/a1");
    turnFor(path.loop_, 100ms);
    int crashes = 0;
    path.handlers_[0] = [&](const auto &from, SeenRequest &&request) {
        if (request.head_.header("X-Eelgrasscove-Prompt-Prefix").find("dead")
            == std::string::npos) {
            from->answer(200, path.requestIdHeader(request) + signatureHeader, "data: a\n\n");
            return;
        }
        ++crashes;
        from->breakOff();
        path.registerEngine(1 + crashes);
        path.sendEngineStates(0, 1, "m/a1", 1 + crashes);
    };
    std::vector<std::shared_ptr<Client>> clients = {path.sendAdapterRequest("a1:9,b1:9,f:9")};
    BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return clients.front()->status() == 200; }));
    for (int request = 0; request < 4; ++request) {
        clients.push_back(path.sendAdapterRequest(fmt::format("a1:9,dead:9,{}:9", request)));
        turnFor(path.loop_, 1500ms);
    }
    BOOST_TEST(crashes == 2);
    BOOST_TEST(clients.back()->status() == 503);
    const auto sound = path.sendAdapterRequest("a1:9,b1:9,f:9");
    BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return sound->status() == 200; }));
}

namespace {

const std::string crashingBody = "crash";
const std::string bearerHeader = "Authorization: Bearer k1\r\n";

void endTarget(ServingPath &path, int target)
{
    path.targets_[target]->listener_->close();
    for (const auto &connection : path.targets_[target]->connections_)
        connection->stream_->close(true);
}

/// Makes the targets end at each request with the crashing body, and start again after downTime
/// under another id. Returns the number of these requests that reached them.
std::shared_ptr<int> crashTargets(ServingPath &path, Duration downTime)
{
    auto arrivals = std::make_shared<int>(0);
    for (int target = 0; target < 2; ++target) {
        const auto normalHandler = path.handlers_[target];
        path.handlers_[target] = [&path, target, downTime, arrivals,
                                  normalHandler](const auto &from, SeenRequest &&request) {
            if (request.body_ != crashingBody) {
                normalHandler(from, std::move(request));
                return;
            }
            ++*arrivals;
            path.loop_.timers().once(1ms, [&path, target] { endTarget(path, target); });
            path.loop_.timers().once(downTime, [&path, target, number = *arrivals] {
                path.targets_[target]->listen();
                path.registerTarget(target, fmt::format("i-{}-{}", target, number), "ready",
                                    number + 1);
            });
        };
    }
    return arrivals;
}

} // namespace

// Guards against crashes of targets without an agent being counted only if another request is
// refused by the target soon after.
BOOST_AUTO_TEST_CASE(request_that_crashes_targets_is_held_back_without_other_requests)
{
    int number = 143;
    for (const Duration downTime : {100ms, 700ms, 4000ms}) {
        ServingPath path(number++);
        path.waitUntilServing();
        const auto arrivals = crashTargets(path, downTime);
        for (int sent = 0; sent < 2; ++sent) {
            BOOST_TEST(
                path.sendAndAwaitHead("POST", "/book/a", bearerHeader, crashingBody)->status()
                == 502);
            turnFor(path.loop_, 1s);
        }
        turnFor(path.loop_, downTime);
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a", bearerHeader, crashingBody)->status()
                   == 503);
        BOOST_TEST(*arrivals == 2, downTime.count());
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 200);
    }
}

BOOST_AUTO_TEST_CASE(both_attempts_of_a_request_that_crashes_targets_are_counted)
{
    ServingPath path(146);
    path.waitUntilServing();
    const auto arrivals = crashTargets(path, 700ms);
    BOOST_TEST(path.sendAndAwaitHead("POST", "/look/a", bearerHeader, crashingBody)->status()
               == 502);
    turnFor(path.loop_, 1s);
    BOOST_TEST(path.sendAndAwaitHead("POST", "/look/a", bearerHeader, crashingBody)->status()
               == 503);
    BOOST_TEST(*arrivals == 2);
}

BOOST_AUTO_TEST_CASE(request_whose_connections_are_reset_by_a_target_that_lives_is_not_held_back)
{
    ServingPath path(147);
    path.waitUntilServing();
    int arrivals = 0;
    for (auto &handler : path.handlers_) {
        handler = [&arrivals](const auto &from, SeenRequest &&) {
            ++arrivals;
            from->stream_->close(true);
        };
    }
    for (int sent = 1; sent <= 6; ++sent) {
        BOOST_TEST(path.sendAndAwaitHead("POST", "/book/a")->status() == 502);
        BOOST_TEST(arrivals == sent);
        turnFor(path.loop_, 200ms);
    }
}

BOOST_AUTO_TEST_CASE(request_in_progress_at_planned_ends_of_targets_is_not_held_back)
{
    enum class Notice {
        Draining,
        Removed,
    };
    int number = 148;
    for (const Notice notice : {Notice::Draining, Notice::Removed}) {
        ServingPath path(number++);
        path.waitUntilServing();
        // Only then does a target that is missing in the list count as removed.
        turnFor(path.loop_, 3s);
        int arrivals = 0;
        for (int end = 0; end < 3; ++end) {
            int taker = -1;
            for (int target = 0; target < 2; ++target) {
                path.handlers_[target] = [&, target](const auto &, SeenRequest &&) {
                    taker = target;
                    ++arrivals;
                };
            }
            const auto client = path.sendRequest("POST", "/book/a");
            BOOST_REQUIRE(turnUntil(path.loop_, 500ms, [&] { return taker >= 0; }));
            const std::string id = std::string(
                path.targets_[taker]->seen_.back().head_.header("X-Eelgrasscove-Expect-Instance"));
            if (notice == Notice::Draining)
                path.registerTarget(taker, id, "draining", end + 1);
            else
                path.store_.remove("servers/" + id);
            turnFor(path.loop_, 100ms);
            endTarget(path, taker);
            path.store_.remove("servers/" + id);
            BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return client->status() == 502; }));
            turnFor(path.loop_, 200ms);
            path.targets_[taker]->listen();
            path.registerTarget(taker, fmt::format("i-{}-{}", taker, end), "ready", end + 2);
            turnFor(path.loop_, 100ms);
        }
        BOOST_TEST(arrivals == 3);
    }
}

BOOST_AUTO_TEST_CASE(
    entry_whose_watch_is_silent_does_not_use_a_replaced_version_that_its_peers_know)
{
    ServingPath path(50, {}, {.revoke_ = 5s, .version_ = 2s});
    PeerEntry peer(path);
    path.registerEngine();
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    silenceStoreAtNewWatch(path);
    path.store_.put("op/version/m.a1", secondVersion);
    peer.state_.operatorRevision_ = path.store_.revision_;
    turnFor(path.loop_, 2s);
    path.sendEngineStates(0, 1, "m/a1");
    turnFor(path.loop_, 50ms);
    const auto client = path.sendAdapterRequest();
    turnFor(path.loop_, 300ms);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(entry_whose_watch_is_silent_adopts_the_rules_that_its_peers_know)
{
    ServingPath path(51, {}, {.revoke_ = 5s});
    PeerEntry peer(path);
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    silenceStoreAtNewWatch(path);
    path.publishRules(2, "\"k2\"", 0);
    peer.state_.operatorRevision_ = path.store_.revision_;
    peer.state_.rulesVersion_ = 2;
    // The operator's bound on the adoption of new rules.
    turnFor(path.loop_, 2s);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 401);
}

BOOST_AUTO_TEST_CASE(entry_serves_and_uses_the_newest_version_when_the_watches_of_all_are_silent)
{
    std::map<std::string, std::string> peers;
    for (int peer = 2; peer <= 17; ++peer)
        peers["eelgrasscove/entry/edge-" + std::to_string(peer)] = "127.0.0.1:17927";
    ServingPath path(52, peers, {.revoke_ = 1500ms, .version_ = 2s});
    path.registerEngine();
    path.waitUntilServing();
    silenceStoreAtNewWatch(path, "wait_ms=2700");
    path.store_.put("op/version/m.a1", secondVersion);
    turnFor(path.loop_, 2s);
    path.sendEngineStates(0, 1, "m/a1");
    turnFor(path.loop_, 50ms);
    const auto client = path.sendAdapterRequest();
    turnFor(path.loop_, 300ms);
    BOOST_TEST(path.targets_[0]->seen_.empty());
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 200);
}

BOOST_AUTO_TEST_CASE(entry_makes_no_further_store_calls_while_its_watch_works)
{
    ServingPath path(53, {}, {.revoke_ = 5s});
    PeerEntry peer(path);
    path.waitUntilServing();
    // The peer confirms the target list as it does the rules.
    peer.state_.targetsAgeMicros_ = 0;
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    const std::string confirmations = "eelgrasscove_store_calls_total{call=\"confirm\"}";
    const std::uint64_t before = ServingPath::metric(confirmations);
    const std::size_t callsBefore = path.store_.calls("path_prefix=op/");
    for (int version = 2; version <= 4; ++version) {
        path.store_.put("op/version/m.a1",
                        fmt::format(R"({{"model":"m","adapter":"a1","version":{}}})", version));
        peer.state_.operatorRevision_ = path.store_.revision_;
        turnFor(path.loop_, 2s);
    }
    BOOST_TEST(ServingPath::metric(confirmations) == before);
    // One watch after each change and at most one at the end of a wait of 2.25 s.
    BOOST_TEST(path.store_.calls("path_prefix=op/") - callsBefore <= 6);
}

BOOST_AUTO_TEST_CASE(request_does_not_wait_at_its_target_past_the_bound_of_a_replaced_version)
{
    ServingPath path(32, {}, {.revoke_ = 5s, .version_ = 1500ms});
    path.registerEngine();
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/a1");
    turnFor(path.loop_, 100ms);
    // The engine has the request in its queue and does not begin it.
    path.handlers_[0] = [](const auto &, SeenRequest &&) {};
    const auto client = path.sendAdapterRequest();
    BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return !path.targets_[0]->seen_.empty(); }));
    path.store_.put("op/version/m.a1", R"({"model":"m","adapter":"a1","version":2})");
    const auto &connection = path.targets_[0]->connections_.back();
    turnFor(path.loop_, 500ms);
    BOOST_TEST(!connection->ended_);
    BOOST_TEST(turnUntil(path.loop_, 1s, [&] { return connection->ended_; }));
    BOOST_TEST(turnUntil(path.loop_, 500ms, [&] { return client->status() != 0; }));
    // It may have begun, and streams of this route can't be resumed.
    BOOST_TEST(client->status() == 502);
}

BOOST_AUTO_TEST_CASE(stopping_entry_sends_no_late_requests_and_answers_those_that_have_not_ended)
{
    ServingPath path(33, {}, {.revoke_ = 5s, .grace_ = 4s});
    path.waitUntilServing();
    const auto late = std::make_shared<Client>(path.loop_, path.address(4));
    late->send("POST /tell/late HTTP/1.1\r\nHost: desk.example\r\n");
    turnFor(path.loop_, 100ms);
    kill(getpid(), SIGTERM);
    turnFor(path.loop_, 1700ms);
    // In progress until the end of the grace time.
    for (auto &handler : path.handlers_)
        handler = [](const auto &, SeenRequest &&) {};
    const auto unanswered = path.sendRequest("POST", "/look/a");
    BOOST_REQUIRE(turnUntil(path.loop_, 500ms, [&] { return path.receivedRequests() == 1; }));
    turnFor(path.loop_, 900ms);
    late->send("Authorization: Bearer k1\r\nX-Eelgrasscove-Request-Id: late\r\n"
               "Content-Length: 0\r\n\r\n");
    BOOST_TEST(turnUntil(path.loop_, 500ms, [&] { return late->status() != 0; }));
    BOOST_TEST(late->status() == 503);
    BOOST_TEST(late->received_.find("Connection: close") != std::string::npos);
    turnUntil(path.loop_, 1500ms, [&] { return unanswered->ended_; });
    BOOST_TEST(unanswered->status() == 502);
    BOOST_TEST(path.receivedRequests() == 1);
}

BOOST_AUTO_TEST_CASE(response_that_ends_within_its_head_is_never_taken_for_a_complete_one)
{
    ServingPath path(34);
    path.waitUntilServing();
    const std::string head = "HTTP/1.1 200 OK\r\n" + signatureHeader
        + "X-Eelgrasscove-Request-Id: {}\r\nContent-Type: text/event-stream\r\n";
    for (const std::string route : {"/book/", "/ask/"}) {
        for (std::size_t size = 0; size < head.size(); size += 7) {
            for (auto &handler : path.handlers_) {
                handler = [&](const auto &from, SeenRequest &&request) {
                    const auto id = request.head_.header("X-Eelgrasscove-Request-Id");
                    from->stream_->write(fmt::format(fmt::runtime(head), id).substr(0, size));
                    from->breakOff();
                };
            }
            const auto client = path.sendAndAwaitHead("POST", route + "a");
            BOOST_TEST(client->status() == 502, route << " cut after " << size << " bytes");
        }
    }
}

BOOST_AUTO_TEST_CASE(message_to_be_relayed_reaches_the_peers_of_the_data_centre_once)
{
    ServingPath path(35);
    PeerEntry neighbour(path);
    neighbour.state_.dataCentre_ = nameHash("here");
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return neighbour.received_ > 1; }));
    EntryState distant;
    distant.vm_ = nameHash("edge-9");
    distant.dataCentre_ = nameHash("there");
    std::string bytes = encodePeerMessage(distant);
    for (const auto &[route, relayed] :
         {std::pair(DatagramRoute::ToRelay, 1), {DatagramRoute::Relayed, 0}}) {
        neighbour.relayedFrom_.clear();
        setRoute(bytes, route);
        path.sendDatagram(bytes);
        turnFor(path.loop_, 300ms);
        BOOST_TEST(
            std::count(neighbour.relayedFrom_.begin(), neighbour.relayedFrom_.end(), distant.vm_)
            == relayed);
    }
}

BOOST_AUTO_TEST_CASE(relayed_report_of_an_engine_is_attributed_by_its_id)
{
    ServingPath path(36);
    path.registerEngine();
    path.waitUntilServing();
    EngineStateMessage state;
    state.target_ = nameHash("e-0");
    state.number_ = 1;
    state.startedAt_ = 1;
    state.isUp_ = true;
    state.residencyNumber_ = 1;
    state.hasLists_ = true;
    state.adapters_ = {{nameHash("m/a1"), 1}};
    state.models_ = {nameHash("m")};
    std::string bytes = encodePeerMessage(state);
    setRoute(bytes, DatagramRoute::Relayed);
    path.sendDatagram(bytes, "127.0.0.3");
    turnFor(path.loop_, 100ms);
    const auto client = path.sendAdapterRequest();
    BOOST_TEST(turnUntil(path.loop_, 1s, [&] { return !path.targets_[0]->seen_.empty(); }));
}

BOOST_AUTO_TEST_CASE(
    entry_that_others_keep_informed_queries_the_target_list_for_changes_that_matter)
{
    ServingPath path(37, {}, {.revoke_ = 5s, .drain_ = 2s});
    path.registerEngine();
    PeerEntry leaders(path, leadersOfEdge1());
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/a1");
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return leaders.received_ > 8; }));
    leaders.state_.targetsAgeMicros_ = 0;
    leaders.state_.targetsRevision_ = path.store_.revision_;
    turnFor(path.loop_, 1500ms);
    const auto changeAdapters = [&](const std::string &adapter, const std::string &state) {
        path.store_.put("servers/e-0",
                        fmt::format(R"({{"service":"mind","address":"{}","zone":"here","slots":8,)"
                                    R"("state":"{}","born":1,"models":[{{"name":"m","version":1,)"
                                    R"("adapters":["{}"]}}]}})",
                                    path.address(1), state, adapter));
    };
    const std::size_t before = path.store_.calls("kv-watch?path_prefix=servers/");
    for (int change = 0; change < 20; ++change) {
        changeAdapters("a" + std::to_string(change), "ready");
        turnFor(path.loop_, 200ms);
    }
    // The waiting watch ends with the first change; without leaders, a watch follows every 1.1 s.
    BOOST_TEST(path.store_.calls("kv-watch?path_prefix=servers/") - before <= 1);
    // A leader has read that the engine leaves.
    changeAdapters("a1", "draining");
    leaders.state_.targetsRevision_ = path.store_.revision_;
    turnFor(path.loop_, 600ms);
    BOOST_TEST(path.sendAndAwaitHead("POST", "/advise/a",
                                     "Authorization: Bearer k1\r\n"
                                     "X-Eelgrasscove-Model-Name: m/a1\r\n")
                   ->status()
               == 503);
}

BOOST_AUTO_TEST_CASE(entry_that_others_no_longer_inform_queries_the_target_list_itself)
{
    ServingPath path(38, {}, {.revoke_ = 5s, .drain_ = 2s});
    PeerEntry leaders(path, leadersOfEdge1());
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return leaders.received_ > 8; }));
    leaders.state_.targetsAgeMicros_ = 0;
    leaders.state_.targetsRevision_ = path.store_.revision_;
    path.registerTarget(0, "i-0", "ready", 2);
    turnFor(path.loop_, 1500ms);
    // The leaders have lost the store; the target leaves.
    leaders.state_.targetsAgeMicros_ = -1;
    path.registerTarget(0, "i-0", "draining", 2);
    turnFor(path.loop_, 1900ms);
    BOOST_TEST(!path.isFirstTargetUsed());
}

BOOST_AUTO_TEST_CASE(
    entry_whose_target_watch_is_silent_learns_of_a_leaving_target_that_its_peers_know)
{
    ServingPath path(39, {}, {.revoke_ = 5s, .drain_ = 2s});
    PeerEntry peer(path);
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 2; }));
    peer.state_.targetsAgeMicros_ = 0;
    peer.state_.targetsRevision_ = path.store_.revision_;
    // Past the pause after the start, the watch waits for the next change.
    turnFor(path.loop_, 1500ms);
    path.store_.silenceConnections();
    path.registerTarget(0, "i-0", "draining");
    peer.state_.targetsRevision_ = path.store_.revision_;
    turnFor(path.loop_, 1s);
    BOOST_TEST(!path.isFirstTargetUsed());
}

BOOST_AUTO_TEST_CASE(entry_whose_target_watch_is_silent_learns_of_a_removed_target_without_peers)
{
    ServingPath path(54, {}, {.revoke_ = 5s, .drain_ = 2s});
    path.waitUntilServing();
    // Past the pause after the start, the watch waits for the next change.
    turnFor(path.loop_, 2500ms);
    path.store_.silenceConnections();
    path.store_.remove("servers/i-0");
    turnFor(path.loop_, 2s);
    BOOST_TEST(!path.isFirstTargetUsed());
}

BOOST_AUTO_TEST_CASE(entry_whose_member_watch_is_silent_learns_of_a_peer_that_sends_messages)
{
    ServingPath path(55, {}, {.revoke_ = 5s});
    PeerEntry peer(path);
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    path.store_.silenceConnections();
    path.store_.put("eelgrasscove/entry/edge-3", path.address(7));
    EntryState added;
    added.vm_ = nameHash("edge-3");
    const std::size_t listed = path.store_.calls("path_prefix=eelgrasscove/entry/");
    for (int message = 0; message < 30; ++message) {
        added.timestampMicros_ = bootNow().time_since_epoch().count();
        path.sendDatagram(encodePeerMessage(added));
        turnFor(path.loop_, 100ms);
    }
    BOOST_TEST(path.store_.calls("path_prefix=eelgrasscove/entry/") > listed);
    BOOST_TEST(peer.echoed_.contains(added.vm_));
}

BOOST_AUTO_TEST_CASE(removal_learned_from_a_list_is_a_change_that_the_entry_tells_its_peers)
{
    ServingPath path(56, {}, {.revoke_ = 5s, .drain_ = 2s});
    PeerEntry peer(path);
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    turnFor(path.loop_, 3s);
    // The change begins the pause before the next watch.
    path.registerTarget(0, "i-0", "ready", 2);
    turnFor(path.loop_, 100ms);
    path.store_.remove("servers/i-0");
    const std::uint64_t removal = path.store_.revision_;
    path.store_.forgetHistory();
    BOOST_REQUIRE(turnUntil(
        path.loop_, 3s, [&] { return path.store_.calls("kv-range?path_prefix=servers/") >= 2; }));
    turnFor(path.loop_, 500ms);
    BOOST_TEST(peer.last_.targetsRevision_ >= removal);
}

BOOST_AUTO_TEST_CASE(target_missing_from_a_list_after_lost_history_gets_no_requests)
{
    // A service whose only target is missing looks as after an outage in which entries expired.
    ServingPath path(57, {}, {.revoke_ = 5s, .drain_ = 2s});
    path.waitUntilServing();
    path.store_.remove("servers/i-1");
    turnFor(path.loop_, 4s);
    // The change begins the pause before the next watch.
    path.registerTarget(0, "i-0", "ready", 2);
    turnFor(path.loop_, 100ms);
    path.store_.remove("servers/i-0");
    path.store_.forgetHistory();
    turnFor(path.loop_, 1500ms);
    const auto client = path.sendRequest("POST", "/look/a");
    turnFor(path.loop_, 500ms);
    BOOST_TEST(path.receivedRequests() == 0);
}

BOOST_AUTO_TEST_CASE(many_answers_without_end_do_not_use_up_the_entrys_memory_together)
{
    // An entry that is set to 256 MB, the default, is killed when it uses more.
    constexpr std::size_t memoryBytes = 256UL * 1024 * 1024;
    constexpr int sent = 96;
    const std::string event = "HTTP/1.1 200 OK\r\n" + signatureHeader + "\r\ndata: ";
    const std::string chunked =
        "HTTP/1.1 200 OK\r\n" + signatureHeader + "Transfer-Encoding: chunked\r\n\r\n";
    const std::vector<std::pair<const char *, EndlessAnswer>> rows = {
        {"/look/a", {"body", "HTTP/1.1 200 OK\r\n\r\n", "x"}},
        {"/ask/a", {"event of a stream", event.c_str(), "x"}},
        {"/ask/a", {"events of a stream", chunked.c_str(), "8\r\ndata: a\n\r\n1\r\n\n\r\n"}},
        {"/look/a", {"header lines", "HTTP/1.1 200 OK\r\n", "a:\r\n"}},
        {"/look/a",
         {"trailer lines", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n"}},
        {"/look/a",
         {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"}},
        {"/look/a", {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"}},
    };
    int number = 80;
    for (const auto &[target, row] : rows) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            ServingPath path(number++);
            EndlessServer server(row.prefix_, row.filler_);
            path.waitUntilServing();
            path.store_.put("servers/i-0", path.targetItem(server.address(), "ready", 9, sent));
            path.store_.put("servers/i-1", path.targetItem(server.address(), "draining", 9));
            turnFor(path.loop_, 1200ms);
            // Memory that the rows before have used and freed would hide what this one uses.
            malloc_trim(0);
            const std::size_t before = residentBytes();
            std::size_t most = before;
            std::vector<std::shared_ptr<Client>> clients;
            clients.reserve(sent);
            for (int request = 0; request < sent; ++request)
                clients.push_back(path.sendRequest("POST", target));
            const Time end = bootNow() + 3s;
            while (bootNow() < end && !std::all_of(clients.begin(), clients.end(), [](auto &each) {
                       return each->ended_ || each->received_.find("\r\n\r\n") != std::string::npos;
                   })) {
                turnFor(path.loop_, 5ms);
                most = std::max(most, residentBytes());
                for (const auto &client : clients)
                    client->received_.resize(std::min<std::size_t>(client->received_.size(), 4096));
            }
            BOOST_TEST_MESSAGE(row.part_ << ": " << (most - before) / 1024 / 1024 << " MB");
            BOOST_TEST(most - before < memoryBytes);
            BOOST_TEST(server.answers() > 0);
            // A sound target is used at once.
            path.registerTarget(1, "i-2");
            BOOST_TEST(turnUntil(path.loop_, 5s, [&] {
                return path.sendAndAwaitHead("GET", "/open/a")->status() == 200;
            }));
        }
    }
}

BOOST_AUTO_TEST_CASE(tokens_that_are_no_number_are_refused_and_leave_the_allowance_unchanged)
{
    ServingPath path(58);
    path.waitUntilServing();
    path.publishRules(2, "\"k1\"", 1000);
    turnFor(path.loop_, 500ms);
    const std::string name = "X-Eelgrasscove-Token-Usage";
    const auto sendWithTokens = [&](const std::string &tokens) {
        return path.sendAndAwaitHead(
            "POST", "/look/a", fmt::format("Authorization: Bearer k1\r\n{}: {}\r\n", name, tokens));
    };
    for (const std::string tokens : {"nan,1", "-100000,1", "inf,1", "1e400,1", "many"}) {
        const auto client = sendWithTokens(tokens);
        BOOST_TEST(client->status() == 400, tokens);
        BOOST_TEST(client->received_.find(name) != std::string::npos);
    }
    BOOST_TEST(path.receivedRequests() == 0);
    BOOST_TEST(sendWithTokens("10,10")->status() == 200);
    BOOST_TEST(sendWithTokens("100000,10")->status() == 429);
}

BOOST_AUTO_TEST_CASE(header_name_with_a_blank_does_not_reach_a_target)
{
    ServingPath path(59);
    path.waitUntilServing();
    for (const std::string header :
         {"X-Eelgrasscove-Tenant-Name : barn\r\n", "Connection: X-Eelgrasscove-Request-Id\r\n",
          "X-Eelgrasscove-Tenant-Name: a\r\nX-Eelgrasscove-Tenant-Name: b\r\n"}) {
        const auto client =
            path.sendAndAwaitHead("POST", "/look/a", "Authorization: Bearer k1\r\n" + header);
        BOOST_TEST(client->status() == 400, header);
    }
    BOOST_TEST(path.receivedRequests() == 0);
}

BOOST_AUTO_TEST_CASE(malformed_request_is_refused_with_a_reason_and_reaches_no_target)
{
    ServingPath path(100);
    path.waitUntilServing();
    const std::vector<std::pair<unsigned, std::string>> rows = {
        {505, "GET /open/a HTTP/2.0\r\n"},
        {501, "POST /open/a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n"},
        {400, "GET /open/a HTTP/1.1\r\nX Note: a\r\n"},
        {400, "GET /open/a HTTP/1.1\r\nX-Note: a\r\n X-Other: b\r\n"},
        {400, "GET /open/a HTTP/1.1\r\nX\x01: a\r\n"},
        {431, "GET /open/a HTTP/1.1\r\nX-Note: " + std::string(8192, 'a') + "\r\n"},
    };
    for (const auto &[status, lines] : rows) {
        Client client(path.loop_, path.address(4));
        client.send(lines + "Host: desk.example\r\nX-Eelgrasscove-Request-Id: r\r\n\r\n");
        BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return client.ended_; }));
        BOOST_TEST(client.status() == status, lines.substr(0, 60));
        BOOST_TEST(!client.received_.ends_with("\r\n\r\n"), lines.substr(0, 60));
        BOOST_TEST(ServingPath::headerOf(client, "Connection") == "close");
    }
    BOOST_TEST(path.receivedRequests() == 0);
}

BOOST_AUTO_TEST_CASE(slow_client_that_asks_for_a_close_gets_its_whole_response)
{
    ServingPath path(87);
    path.waitUntilServing();
    respondWithLongBodies(path);
    SlowClient client(path, "Connection: close\r\n", 48UL * 1024);
    BOOST_TEST(turnUntil(path.loop_, 15s, [&] { return client.hasWhole(longBodyBytes); }));
}

BOOST_AUTO_TEST_CASE(slow_client_gets_its_whole_response_past_the_idle_limit)
{
    ServingPath path(88);
    std::string rules = path.store_.items_["op/config"].first;
    const std::string idle = "\"idle_timeout_ms\":15000";
    rules.replace(rules.find(idle), idle.size(), "\"idle_timeout_ms\":500");
    rules.replace(rules.find("\"version\":1"), 11, "\"version\":2");
    path.store_.put("op/config", rules);
    path.waitUntilServing();
    turnFor(path.loop_, 500ms);
    respondWithLongBodies(path);
    SlowClient client(path, "", 48UL * 1024);
    BOOST_TEST(turnUntil(path.loop_, 15s, [&] { return client.hasWhole(longBodyBytes); }));
}

BOOST_AUTO_TEST_CASE(stopping_entry_waits_for_a_slow_client_within_the_grace_time)
{
    ServingPath path(89, {}, {.revoke_ = 5s, .grace_ = 12s});
    path.waitUntilServing();
    respondWithLongBodies(path);
    SlowClient client(path, "", 48UL * 1024);
    BOOST_REQUIRE(turnUntil(path.loop_, 2s, [&] { return path.receivedRequests() == 1; }));
    kill(getpid(), SIGTERM);
    turnFor(path.loop_, 2700ms);
    BOOST_TEST(!client.hasWhole(longBodyBytes));
    BOOST_TEST(path.store_.calls("kv-lease-end") == 0);
    BOOST_TEST(turnUntil(path.loop_, 15s, [&] { return client.hasWhole(longBodyBytes); }));
    BOOST_TEST(turnUntil(path.loop_, 3s, [&] { return path.store_.calls("kv-lease-end") == 1; }));
}

BOOST_AUTO_TEST_CASE(client_that_takes_nothing_of_its_response_is_disconnected)
{
    ServingPath path(90);
    path.waitUntilServing();
    respondWithLongBodies(path);
    SlowClient client(path, "", 0);
    turnFor(path.loop_, TcpStream::stallTimeout + 2s);
    client.setBytesPerRead(256UL * 1024);
    turnFor(path.loop_, 2s);
    BOOST_TEST(!client.received_.empty());
    BOOST_TEST(!client.hasWhole(longBodyBytes));
}

/// Guards against what is known of a part that crashes targets being lost when all entries restart.
BOOST_AUTO_TEST_CASE(part_that_the_store_names_as_held_is_refused_from_the_start)
{
    const SuspectId part = sharedPartHashes("dead:9,f:9").front();
    ServingPath path(91,
                     {{suspectKey(part), "3 0 1 00000001 00000002 00000003"},
                      {suspectKey(part + 1), "3 0 1 00000001"}});
    path.handlers_[0] = [&](const auto &from, SeenRequest &&request) {
        from->answer(200, path.requestIdHeader(request) + signatureHeader, "data: a\n\n");
    };
    path.registerEngine();
    path.waitUntilServing();
    path.sendEngineStates(0, 1, "m/a1");
    turnFor(path.loop_, 100ms);
    const auto held = path.sendAdapterRequest("a1:9,dead:9,f:9");
    BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return held->status() == 503; }));
    BOOST_TEST(path.targets_[0]->seen_.empty());
    const auto sound = path.sendAdapterRequest("a1:9,b1:9,f:9");
    BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return sound->status() == 200; }));
    BOOST_TEST(metricsText().find("eelgrasscove_stored_suspects_ignored_total 1")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(event_intervals_reach_the_agent_and_its_pace_is_shown)
{
    // Guards against paces that are never learned, as neither end alone shows the whole exchange.
    ServingPath path(94);
    const std::string host = "127.0.0.2:";
    Agent agent(path.loop_, host + std::to_string(path.basePort_ + 6), path.address(6));
    std::string load = "3,0,8,250";
    // Of nine events, the time between two of which is the least that counts as a pace.
    constexpr int events = 9;
    Server engine(
        path.loop_, host + std::to_string(path.basePort_ + 1),
        [&](const auto &from, SeenRequest &&request) {
            const auto event = [](int id) { return fmt::format("id: {}\ndata: x\n\n", id); };
            from->stream_->write(
                fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}{}"
                            "X-Eelgrasscove-Instance-Load: {}\r\nContent-Length: {}\r\n\r\n{}",
                            ServingPath::requestIdHeader(request), signatureHeader, load,
                            event(1).size() * events, event(1)));
            for (int id = 2; id <= events; ++id) {
                path.loop_.timers().once(20ms * id,
                                         [from, text = event(id)] { from->stream_->write(text); });
            }
        });
    path.store_.put("servers/e-0",
                    fmt::format(R"({{"service":"mind","address":"{}","zone":"here","slots":8,)"
                                R"("state":"ready","born":1,)"
                                R"("models":[{{"name":"m","version":1}}]}})",
                                engine.address_.text()));
    path.waitUntilServing();
    EngineStateMessage state;
    state.target_ = nameHash("e-0");
    state.startedAt_ = 1;
    state.isUp_ = true;
    state.residencyNumber_ = 1;
    state.hasLists_ = true;
    state.adapters_ = {{nameHash("m/a1"), 1}};
    state.models_ = {nameHash("m")};
    state.pace_ = 145;
    agent.report(state);
    turnFor(path.loop_, 100ms);
    const auto send = [&] {
        return path.sendAndAwaitHead("POST", "/advise/a",
                                     "Authorization: Bearer k1\r\n"
                                     "X-Eelgrasscove-Model-Name: m/a1\r\n"
                                     "X-Eelgrasscove-Token-Usage: 1000,20\r\n");
    };
    const std::uint64_t ignored = ServingPath::metric("eelgrasscove_load_headers_ignored_total");
    // A client that leaves ends its stream.
    const auto client = send();
    BOOST_REQUIRE(client->status() == 200);
    BOOST_TEST(ServingPath::metric("eelgrasscove_load_headers_ignored_total") == ignored);
    const auto reported = [&] {
        EventIntervalSums sums;
        for (const EntryLoadRequests &message : agent.messages_) {
            if (message.eventIntervals_) {
                sums.streams_ += message.eventIntervals_->streams_;
                sums.millis_ += message.eventIntervals_->millis_;
            }
        }
        return sums;
    };
    BOOST_TEST(turnUntil(path.loop_, 3s, [&] { return reported().streams_ == 1; }));
    BOOST_TEST(reported().millis_ > 0);
    const auto isPaceShown = [] {
        return metricsText().find("eelgrasscove_target_relative_pace{target=\"e-0\"} 1")
            != std::string::npos;
    };
    BOOST_TEST(turnUntil(path.loop_, 2s, isPaceShown));
    load = "busy";
    BOOST_REQUIRE(send()->status() == 200);
    BOOST_TEST(ServingPath::metric("eelgrasscove_load_headers_ignored_total") == ignored + 1);
}

BOOST_AUTO_TEST_CASE(less_urgent_requests_wait_while_more_urgent_ones_wait_at_a_peer)
{
    ServingPath path(95);
    PeerEntry peer(path);
    std::string rules = fmt::format(fmt::runtime(rulesFormat), 2, "\"k1\"", 0, 0);
    const std::string look = "\"timeout_ms\":2000,";
    rules.replace(rules.find(look), look.size(), "\"timeout_ms\":4000,\"priority\":5,");
    path.store_.put("op/config", rules);
    peer.state_.rulesVersion_ = 2;
    constexpr int slots = 40;
    for (int target = 0; target < 2; ++target)
        path.store_.put("servers/i-" + std::to_string(target),
                        path.targetItem(path.address(1 + target), "ready", 1, slots));
    path.waitUntilServing();
    // The requests of this entry count as half of those of two entries.
    constexpr int filling = slots * 9 / 10;
    constexpr int more = 8;
    for (auto &handler : path.handlers_)
        handler = [](const auto &, SeenRequest &&) {};
    std::vector<std::shared_ptr<Client>> clients;
    clients.reserve(filling + more);
    for (int request = 0; request < filling; ++request)
        clients.push_back(path.sendRequest("POST", "/look/a"));
    BOOST_REQUIRE(turnUntil(path.loop_, 2s, [&] { return path.receivedRequests() == filling; }));
    peer.state_.waitingRows_ = {{nameHash("ledger"), 0, 5, 5, 300}};
    turnFor(path.loop_, 300ms);
    const std::uint64_t heldBefore = path.metric("eelgrasscove_held_for_urgent_total");
    for (int request = 0; request < more; ++request)
        clients.push_back(path.sendRequest("POST", "/look/a"));
    turnFor(path.loop_, 200ms);
    // One in ten is not held.
    BOOST_TEST(path.receivedRequests() < filling + more);
    BOOST_TEST(path.metric("eelgrasscove_held_for_urgent_total") > heldBefore);
    // Once nothing more urgent waits, all are sent, before the time limit of the hold.
    peer.state_.waitingRows_.clear();
    BOOST_TEST(
        turnUntil(path.loop_, 500ms, [&] { return path.receivedRequests() == filling + more; }));
    for (const auto &client : clients)
        BOOST_TEST(client->received_.empty());
}

BOOST_AUTO_TEST_CASE(requests_that_wait_for_room_are_reported_to_the_peers_while_they_wait)
{
    ServingPath path(96);
    PeerEntry peer(path);
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 2s, [&] { return peer.received_ > 0; }));
    BOOST_TEST(peer.last_.waitingRows_.empty());
    // After the window in which the entry counts completed requests, it expects no wait.
    turnFor(path.loop_, 2200ms);
    for (auto &handler : path.handlers_)
        handler = [](const auto &, SeenRequest &&) {};
    constexpr int sent = 20;
    std::vector<std::shared_ptr<Client>> clients;
    clients.reserve(sent);
    for (int request = 0; request < sent; ++request)
        clients.push_back(path.sendRequest("POST", "/look/a"));
    BOOST_REQUIRE(turnUntil(path.loop_, 900ms, [&] { return !peer.last_.waitingRows_.empty(); }));
    const WaitingRow row = peer.last_.waitingRows_.front();
    BOOST_TEST(row.service_ == nameHash("ledger"));
    BOOST_TEST(row.waiting_ == sent - path.receivedRequests());
    // They are refused after their maximum wait of half their timeout.
    BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return peer.last_.waitingRows_.empty(); }));
}
