#include "../Shared/servingstandins.h"
#include "Edge/edge.h"
#include "Observe/metrics.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace standins;

namespace {

constexpr const char *rules = R"({"version":1,"routes":[
{"name":"any","host":"desk.example","path_prefix":"/any/","kind":"idempotent","timeout_ms":3000,
 "service":"ledger","max_attempts":2,"public":true},
{"name":"kept","host":"desk.example","path_prefix":"/kept/","kind":"idempotent","timeout_ms":3000,
 "service":"ledger","max_attempts":2,"public":true,"allowed_regions":["west"]},
{"name":"advise","host":"desk.example","path_prefix":"/advise/","kind":"streaming",
 "timeout_ms":9000,"target_latency_ms":500,"service":"mind","max_attempts":1,"public":true}],
"services":[{"name":"ledger","max_connections":96},
{"name":"mind","engine":{"weights_mb":1000,"adapter_slots":20,
 "models":[{"name":"m","weights_mb":500,"adapters":100,"adapter_mb":1}]}}]})";

constexpr const char *evacuateEast = "op/evacuate/east-1";

/// A store, a target in each of the data centres east-1 and west-1, and an entry in east-1, which
/// prefers the target there.
struct TwoDataCentres
{
    explicit TwoDataCentres(int number, const std::vector<std::string> &keys = {},
                            bool isEastListening = true)
        : loop_(*new EventLoop), basePort_(18600 + number * 10), store_(*new Store(loop_, at(0)))
    {
        for (std::size_t target = isEastListening ? 0 : 1; target < servers_.size(); ++target) {
            servers_[target] = new Server(loop_, at(1 + static_cast<int>(target)),
                                          [this, target](const auto &from, SeenRequest &&request) {
                                              if (isHolding_[target])
                                                  held_[target].emplace_back(from, request);
                                              else
                                                  respond(from, request);
                                          });
        }
        listTarget("i-0", at(1), "east-1");
        listTarget("i-1", at(2), "west-1");
        store_.put("op/config", rules);
        for (const std::string &key : keys)
            store_.put(key, "");
        ServingSettings settings;
        settings.vm_ = "edge-1";
        settings.dataCentre_ = "east-1";
        settings.regions_ = {{"east-1", "east"}, {"west-1", "west"}};
        settings.callersListen_ = at(4);
        settings.readinessListen_ = at(5);
        settings.peersListen_ = at(6);
        settings.store_ = at(0);
        settings.bounds_ = {.revoke_ = 5s, .evacuation_ = 1500ms};
        BOOST_REQUIRE((new Edge(loop_, settings, ""))->start());
    }

    std::string at(int offset) const { return "127.0.0.1:" + std::to_string(basePort_ + offset); }

    void listTarget(const std::string &id, const std::string &address,
                    const std::string &dataCentre, const std::string &service = "ledger")
    {
        store_.put("servers/" + id,
                   fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","slots":2,)"
                               R"("state":"ready","born":1,"models":[{{"name":"m"}}]}})",
                               service, address, dataCentre));
    }

    static void respond(const std::shared_ptr<ServerConnection> &from, const SeenRequest &request)
    {
        from->answer(200,
                     "X-Eelgrasscove-Response-Seal: 1.2.3\r\nX-Eelgrasscove-Request-Id: "
                         + std::string(request.head_.header("X-Eelgrasscove-Request-Id")) + "\r\n",
                     "data: done\n\n");
    }

    void respondToHeld(int target)
    {
        for (const auto &[from, request] : held_[target])
            respond(from, request);
        held_[target].clear();
    }

    std::shared_ptr<Client> send(const std::string &path, const std::string &headers = "")
    {
        auto client = std::make_shared<Client>(loop_, at(4));
        client->send(fmt::format("POST {} HTTP/1.1\r\nHost: desk.example\r\n"
                                 "X-Eelgrasscove-Request-Id: r{}\r\n{}Content-Length: 0\r\n\r\n",
                                 path, ++requests_, headers));
        return client;
    }

    unsigned sendAndAwait(const std::string &path)
    {
        const auto client = send(path);
        turnUntil(loop_, 5s, [&] { return client->status() != 0 || client->ended_; });
        return client->status();
    }

    void waitUntilServing(const std::string &path = "/any/")
    {
        BOOST_REQUIRE(turnUntil(loop_, 5s, [&] { return sendAndAwait(path) == 200; }));
        for (Server *server : servers_) {
            if (server != nullptr)
                server->seen_.clear();
        }
    }

    std::size_t seen(int target) const { return servers_[target]->seen_.size(); }

    EventLoop &loop_;
    int basePort_;
    Store &store_;
    std::array<Server *, 2> servers_{};
    std::array<bool, 2> isHolding_{};
    std::array<std::vector<std::pair<std::shared_ptr<ServerConnection>, SeenRequest>>, 2> held_;
    int requests_ = 0;
};

std::uint64_t metric(const std::string &name)
{
    const std::string text = metricsText();
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
}

/// A listening socket whose queue of connections is full, so that further ones are not established.
struct FullListener
{
    explicit FullListener(int port)
    {
        sockaddr_in own{};
        uv_ip4_addr("127.0.0.1", port, &own);
        const auto *address = reinterpret_cast<const sockaddr *>(&own);
        sockets_[0] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        constexpr int reuse = 1;
        setsockopt(sockets_[0], SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        BOOST_REQUIRE(bind(sockets_[0], address, sizeof own) == 0);
        BOOST_REQUIRE(listen(sockets_[0], 0) == 0);
        for (std::size_t client = 1; client < sockets_.size(); ++client) {
            sockets_[client] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            BOOST_REQUIRE(connect(sockets_[client], address, sizeof own) == 0
                          || errno == EINPROGRESS);
        }
    }
    ~FullListener()
    {
        for (const int each : sockets_)
            close(each);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    std::array<int, 4> sockets_{};
};

} // namespace

BOOST_AUTO_TEST_CASE(evacuated_target_completes_its_requests_and_gets_none_that_waited)
{
    TwoDataCentres path(0);
    path.waitUntilServing();
    // The expected wait follows from the rate of responses.
    for (int request = 0; request < 40; ++request)
        path.sendAndAwait("/any/");
    path.servers_[0]->seen_.clear();
    path.servers_[1]->seen_.clear();
    path.isHolding_ = {true, true};
    std::vector<std::shared_ptr<Client>> clients;
    for (int request = 0; request < 8; ++request) {
        clients.push_back(path.send("/any/"));
        turnFor(path.loop_, 10ms);
    }
    const std::size_t atEast = path.seen(0);
    BOOST_REQUIRE(atEast > 0);
    BOOST_REQUIRE(atEast + path.seen(1) < clients.size());
    path.store_.put(evacuateEast, "");
    turnFor(path.loop_, 100ms);
    path.respondToHeld(0);
    turnFor(path.loop_, 200ms);
    BOOST_TEST(path.seen(0) == atEast);
    path.isHolding_[1] = false;
    path.respondToHeld(1);
    turnFor(path.loop_, 500ms);
    for (const auto &client : clients)
        BOOST_TEST(client->status() == 200);
    BOOST_TEST(path.seen(0) == atEast);
}

BOOST_AUTO_TEST_CASE(request_on_a_connection_being_opened_to_an_evacuated_target_goes_elsewhere)
{
    TwoDataCentres path(1, {evacuateEast}, false);
    const FullListener east(path.basePort_ + 1);
    path.waitUntilServing();
    path.store_.remove(evacuateEast);
    turnFor(path.loop_, 400ms);
    const std::uint64_t moved = metric("eelgrasscove_sends_moved_by_evacuation_total");
    const auto client = path.send("/any/");
    turnFor(path.loop_, 50ms);
    BOOST_REQUIRE(path.seen(1) == 0);
    path.store_.put(evacuateEast, "");
    // The connection would be given up after 300 ms.
    BOOST_TEST(turnUntil(path.loop_, 100ms, [&] { return client->status() == 200; }));
    BOOST_TEST(metric("eelgrasscove_sends_moved_by_evacuation_total") == moved + 1);
}

BOOST_AUTO_TEST_CASE(started_entry_knows_the_evacuation_and_a_list_without_the_key_ends_it)
{
    TwoDataCentres path(2, {evacuateEast, "op/evacuate/", "op/evacuate/nowhere"});
    path.waitUntilServing();
    for (int request = 0; request < 10; ++request)
        BOOST_TEST(path.sendAndAwait("/any/") == 200);
    BOOST_TEST(path.seen(0) == 0);
    BOOST_TEST(metric("eelgrasscove_evacuated_data_centres") == 3);
    // The removal is made while the store can't be watched, and its history is lost.
    path.store_.fault_ = StoreFault::Reset;
    path.store_.cutWatches();
    path.store_.remove(evacuateEast);
    path.store_.forgetHistory();
    turnFor(path.loop_, 200ms);
    path.store_.fault_ = StoreFault::None;
    BOOST_TEST(turnUntil(path.loop_, 3s, [&] {
        path.sendAndAwait("/any/");
        return path.seen(0) > 0;
    }));
}

BOOST_AUTO_TEST_CASE(request_without_a_key_is_refused_once_an_evacuation_could_be_unknown)
{
    // The connections to the store fall silent, as in a partition, and then a key is written.
    TwoDataCentres path(3);
    path.waitUntilServing();
    path.store_.fault_ = StoreFault::Silent;
    path.store_.silenceConnections();
    path.store_.put(evacuateEast, "");
    const Time acknowledgedAt = bootNow();
    while (bootNow() < acknowledgedAt + 1500ms)
        path.sendAndAwait("/any/");
    path.servers_[0]->seen_.clear();
    BOOST_TEST(path.sendAndAwait("/any/") == 503);
    turnFor(path.loop_, 500ms);
    BOOST_TEST(path.seen(0) == 0);
    path.store_.fault_ = StoreFault::None;
    BOOST_TEST(turnUntil(path.loop_, 5s, [&] { return path.sendAndAwait("/any/") == 200; }));
    BOOST_TEST(path.seen(0) == 0);
}

BOOST_AUTO_TEST_CASE(engine_in_an_evacuated_data_centre_is_not_asked_to_load_adapters)
{
    TwoDataCentres path(4);
    const std::string host = "127.0.0.2:";
    Agent agent(path.loop_, host + std::to_string(path.basePort_ + 6), path.at(6));
    Server engine(path.loop_, host + std::to_string(path.basePort_ + 1),
                  [](const auto &, SeenRequest &&) {});
    path.listTarget("e-0", engine.address_.text(), "east-1", "mind");
    path.waitUntilServing();
    EngineStateMessage state;
    state.target_ = nameHash("e-0");
    state.startedAt_ = 1;
    state.isUp_ = true;
    state.residencyNumber_ = 1;
    state.hasLists_ = true;
    state.adapters_ = {{nameHash("m/a1"), 1}};
    state.models_ = {nameHash("m")};
    path.loop_.timers().every(100ms, [&] { agent.report(state); });
    turnFor(path.loop_, 200ms);
    // A running request has the entry send messages to the agent all the time.
    const auto running = path.send("/advise/", "X-Eelgrasscove-Model-Name: m/a1\r\n");
    const auto waiting = path.send("/advise/", "X-Eelgrasscove-Model-Name: m/a2\r\n");
    BOOST_REQUIRE(turnUntil(path.loop_, 1s,
                            [&] { return agent.loadRequests() > 0 && !engine.seen_.empty(); }));
    path.store_.put(evacuateEast, "");
    BOOST_TEST(turnUntil(path.loop_, 500ms, [&] { return waiting->status() == 503; }));
    agent.messages_.clear();
    const auto next = path.send("/advise/", "X-Eelgrasscove-Model-Name: m/a3\r\n");
    turnFor(path.loop_, 1200ms);
    BOOST_TEST(next->status() == 503);
    BOOST_TEST(!agent.messages_.empty());
    BOOST_TEST(agent.loadRequests() == 0);
    BOOST_TEST(running->status() == 0);
}

BOOST_AUTO_TEST_CASE(request_is_neither_sent_nor_repeated_outside_its_homes)
{
    TwoDataCentres path(5);
    path.waitUntilServing();
    for (int request = 0; request < 10; ++request)
        BOOST_TEST(path.sendAndAwait("/kept/") == 200);
    BOOST_TEST(path.seen(1) == 10);
    path.servers_[1]->handler_ = [](const auto &from, SeenRequest &&) {
        from->stream_->close(true);
    };
    path.servers_[1]->connections_.back()->stream_->close(true);
    BOOST_TEST(path.sendAndAwait("/kept/") == 502);
    path.store_.remove("servers/i-1");
    turnFor(path.loop_, 300ms);
    const Time sentAt = bootNow();
    const auto client = path.send("/kept/");
    BOOST_REQUIRE(turnUntil(path.loop_, 1s, [&] { return client->status() == 503; }));
    BOOST_TEST((bootNow() - sentAt < 200ms));
    BOOST_TEST(client->received_.find("Retry-After: 0.") != std::string::npos);
    BOOST_TEST(path.seen(0) == 0);
}
