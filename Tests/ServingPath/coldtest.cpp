#include "Edge/edge.h"

#include "../Shared/servingstandins.h"
#include "Observe/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace standins;

namespace {

constexpr double coldPerSecond = 6;

constexpr const char *rulesText = R"({"version":1,"routes":[
{"name":"look","host":"desk.example","path_prefix":"/look/","kind":"idempotent",
 "timeout_ms":20000,"target_latency_ms":300,"service":"ledger","max_attempts":2,"public":true}],
"services":[{"name":"ledger","max_connections":96,"cold_start_s":1.5,"cold_per_s":6}]})";

/// An entry with one target, which states its remaining cold time.
struct ColdPath
{
    explicit ColdPath(int basePort)
        : loop_(*new EventLoop), basePort_(basePort), store_(*new Store(loop_, address(0))),
          target_(*new Server(loop_, address(1), [this](const auto &from, SeenRequest &&request) {
              arrivals_.push_back(bootNow());
              const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::max(coldUntil_ - bootNow(), Duration::zero()));
              from->answer(200,
                           fmt::format("X-Eelgrasscove-Request-Id: {}\r\n"
                                       "X-Eelgrasscove-Response-Seal: 1.2.3\r\n"
                                       "X-Eelgrasscove-Cold-Remaining: {}\r\n",
                                       request.head_.header("X-Eelgrasscove-Request-Id"),
                                       left.count()),
                           "done");
          }))
    {
        store_.put("op/config", rulesText);
        list(1, 0);
        ServingSettings settings;
        settings.vm_ = "edge-1";
        settings.dataCentre_ = "here";
        settings.callersListen_ = address(4);
        settings.readinessListen_ = address(5);
        settings.peersListen_ = address(6);
        settings.store_ = address(0);
        auto *edge = new Edge(loop_, settings, "");
        BOOST_REQUIRE(edge->start());
    }

    std::string address(int offset) const
    {
        return "127.0.0.1:" + std::to_string(basePort_ + offset);
    }

    void list(int startedAt, int coldLeftMillis)
    {
        store_.put("servers/i-0",
                   fmt::format(R"({{"service":"ledger","address":"{}","zone":"here","slots":64,)"
                               R"("state":"ready","born":{},"cold_left_ms":{}}})",
                               address(1), startedAt, coldLeftMillis));
    }

    std::shared_ptr<Client> send()
    {
        auto client = std::make_shared<Client>(loop_, address(4));
        client->send(fmt::format("GET /look/a HTTP/1.1\r\nHost: desk.example\r\n"
                                 "X-Eelgrasscove-Request-Id: c{}\r\n"
                                 "X-Eelgrasscove-Deadline-Remaining: 20000\r\n\r\n",
                                 ++requests_));
        return client;
    }

    /// Most arrivals at the target within a second.
    std::size_t mostPerSecond() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < arrivals_.size(); ++first) {
            const auto end = std::find_if(arrivals_.begin() + static_cast<std::ptrdiff_t>(first),
                                          arrivals_.end(),
                                          [&](Time time) { return time - arrivals_[first] >= 1s; });
            most = std::max(most, static_cast<std::size_t>(end - arrivals_.begin()) - first);
        }
        return most;
    }

    EventLoop &loop_;
    int basePort_;
    Store &store_;
    Time coldUntil_;
    std::vector<Time> arrivals_;
    Server &target_;
    int requests_ = 0;
};

} // namespace

// Guards against queued requests that all go to the only target when it returns, and crash it.
BOOST_AUTO_TEST_CASE(queued_requests_go_to_a_returned_cold_target_within_the_limit)
{
    ColdPath path(18500);
    BOOST_REQUIRE(turnUntil(path.loop_, 5s, [&] {
        const auto client = path.send();
        return turnUntil(path.loop_, 200ms, [&] { return client->status() == 200; });
    }));
    // The target is warm: more than its quota would allow go out at once.
    std::vector<std::shared_ptr<Client>> clients;
    const auto sendMany = [&](int count) {
        clients.clear();
        for (int request = 0; request < count; ++request)
            clients.push_back(path.send());
    };
    const auto areAnswered = [&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto &client) { return client->status() == 200; });
    };
    sendMany(20);
    BOOST_REQUIRE(turnUntil(path.loop_, 500ms, areAnswered));
    turnFor(path.loop_, 1300ms);
    // The target's process ends; requests are refused and wait.
    path.target_.listener_->close();
    for (const auto &connection : path.target_.connections_)
        connection->stream_->close(true);
    sendMany(30);
    turnFor(path.loop_, 700ms);
    BOOST_TEST(!areAnswered());
    path.arrivals_.clear();
    // It returns cold. Its list entry arrives later.
    path.coldUntil_ = bootNow() + 1500ms;
    path.target_.listen();
    const Time returnedAt = bootNow();
    turnFor(path.loop_, 500ms);
    path.list(2, 1000);
    turnUntil(path.loop_, 10s, areAnswered);
    BOOST_TEST(areAnswered());
    const auto firstWarm = std::find_if(path.arrivals_.begin(), path.arrivals_.end(),
                                        [&](Time time) { return time >= path.coldUntil_; });
    // Requests withdrawn from connections being opened have not used up the quota.
    BOOST_REQUIRE((firstWarm != path.arrivals_.begin()));
    BOOST_TEST((path.arrivals_.front() - returnedAt < quotaWindow));
    BOOST_TEST(std::distance(path.arrivals_.begin(), firstWarm) <= 2 * coldPerSecond);
    path.arrivals_.erase(firstWarm, path.arrivals_.end());
    BOOST_TEST(static_cast<double>(path.mostPerSecond()) <= coldPerSecond);
    BOOST_TEST((bootNow() - returnedAt < 6s));
    BOOST_TEST(metricsText().find("\neelgrasscove_cold_sends_total ") != std::string::npos);
    BOOST_TEST(metricsText().find("\neelgrasscove_cold_limited_total ") != std::string::npos);
    // The header about the target's cold time is not forwarded to clients.
    BOOST_TEST(clients[0]->received_.find("Cold-Remaining") == std::string::npos);
}
