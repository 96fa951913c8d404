/// A request that crashes each runner that begins to run it comes again every 3 s, beside a light
/// load of sound requests. With TROUBLE=0 the same request is sound.

#include "deployment.hh"

using namespace deployment;

namespace {

constexpr int runnerCount = 4;
constexpr Duration runnerDown = 4s;
constexpr Duration reportPeriod = 1200ms;
constexpr Duration crashPeriod = 3s;
constexpr Duration soundPeriod = 120ms;
constexpr Duration work = 60ms;
constexpr Duration playTime = 45s;
/// stable_ms, and the retries that the rule allows later than it after the third crash.
constexpr Duration stable = 3s;
constexpr int allowedRetries = 3;

constexpr const char *rules = R"({"version":7,"routes":[
{"name":"r-book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":2000,"target_latency_ms":300,"priority":0,"service":"records","max_attempts":1,
 "public":false}],
"services":[{"name":"records","health_path":"/healthz","max_connections":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["k1"],"priority":1,"unit":"token_count",
 "plain_tokens":200,"rate_per_s":0,"burst":0}]})";

/// A runner that can crash: it resets its connections, refuses new ones, and comes back under
/// another id. Its entry in the store lapses after three periods without a report.
class CrashingRunner
{
public:
    using Handler = std::function<void(CrashingRunner &, const std::shared_ptr<ServerConnection> &,
                                       SeenRequest &&)>;

    CrashingRunner(EventLoop &loop, Store &store, int number, Handler handler)
        : loop_(loop), store_(store), number_(number), address_(freeAddress()),
          handler_(std::move(handler))
    {
        require(parseEndpoint(address_, endpoint_), "an address");
        start();
        loop.timers().every(reportPeriod, [this] { report(); });
    }

    void start()
    {
        isUp_ = true;
        id_ = fmt::format("i-{}-{}", number_, ++starts_);
        listeners_.push_back(std::make_unique<TcpListener>());
        const int listening = listeners_.back()->listen(loop_, endpoint_, [this](auto stream) {
            auto connection = std::make_shared<ServerConnection>(
                loop_, stream, [this](const auto &from, SeenRequest &&request) {
                    take(from, std::move(request));
                });
            connections_.push_back(connection);
            connection->start();
        });
        require(listening == 0, "the address to be free");
        report();
    }

    void crash()
    {
        isUp_ = false;
        listeners_.back()->close();
        for (const auto &connection : connections_)
            connection->stream_->close(true);
        connections_.clear();
        loop_.timers().once(reportPeriod * 3,
                            [this, lapsed = "servers/" + id_] { store_.remove(lapsed); });
        loop_.timers().once(runnerDown, [this] { start(); });
    }

    std::string id_;
    bool isUp_ = false;

private:
    void report()
    {
        if (!isUp_)
            return;
        store_.put("servers/" + id_,
                   fmt::format(R"({{"service":"records","address":"{}","zone":"utrecht",)"
                               R"("version":"v1","slots":6,"state":"ready","cold_left_ms":0,)"
                               R"("sequence":{},"born":{}}})",
                               address_, ++reports_, 1700000000000 + starts_ * 1000));
    }

    void take(const std::shared_ptr<ServerConnection> &from, SeenRequest &&request)
    {
        if (request.head_.header("X-Eelgrasscove-Expect-Instance") == id_)
            handler_(*this, from, std::move(request));
        else
            from->answer(
                421, Runner::idLine(request) + "X-Eelgrasscove-Instance-Id: " + id_ + "\r\n", "");
    }

    EventLoop &loop_;
    Store &store_;
    int number_;
    std::string address_;
    Endpoint endpoint_;
    Handler handler_;
    std::vector<std::unique_ptr<TcpListener>> listeners_;
    std::vector<std::shared_ptr<ServerConnection>> connections_;
    int starts_ = 0;
    int reports_ = 0;
};

int play(const std::string &edgeProgram, const std::string &folder, const std::string &recordFile)
{
    auto &loop = *new EventLoop;
    loop.onSignals([] {}, [] {});
    Record record(recordFile);
    const std::string storeAddress = freeAddress();
    auto &store = *new Store(loop, storeAddress);
    store.put("op/config", rules);

    int crashes = 0;
    int arrivals = 0;
    std::optional<Time> thirdCrashAt;
    int lateRetries = 0;
    int soundRuns = 0;
    const auto run = [&](CrashingRunner &runner, const auto &from, SeenRequest &&request) {
        const bool crashesRunner = request.body_ == "certificate 77";
        if (!crashesRunner) {
            ++soundRuns;
            loop.timers().once(work, [from, lines = Runner::headLines(request)] {
                from->answer(200, lines, std::string(800, 'x'));
            });
            return;
        }
        ++arrivals;
        lateRetries += thirdCrashAt && bootNow() > *thirdCrashAt + stable ? 1 : 0;
        record.note("{} reaches runner {}", request.head_.header(requestIdName), runner.id_);
        if (!hasTrouble()) {
            from->answer(200, Runner::headLines(request), std::string(800, 'x'));
            return;
        }
        loop.timers().once(work, [&] {
            ++crashes;
            if (crashes == 3)
                thirdCrashAt = bootNow();
            record.note("runner {} crashes, crash {}", runner.id_, crashes);
            runner.crash();
        });
    };
    std::vector<std::unique_ptr<CrashingRunner>> runners;
    for (int number = 0; number < runnerCount; ++number)
        runners.push_back(std::make_unique<CrashingRunner>(loop, store, number, run));
    const EdgeAddresses addresses;
    const std::string settings = folder + "/settings.toml";
    std::ofstream(settings) << edgeSettings(addresses, storeAddress);
    Process edge(loop, edgeProgram, settings, folder + "/edge.log");
    edge.start();
    if (!awaitReady(loop, addresses.readiness_)) {
        record.note("the edge did not become ready");
        return exitNotRun;
    }
    record.note("edge ready; the repeated request {}",
                hasTrouble() ? "crashes its runners" : "is sound");
    turnFor(loop, 3500ms);

    int requests = 0;
    int answered = 0;
    int failed = 0;
    std::vector<std::shared_ptr<Client>> clients;
    const auto send = [&](const std::string &body) {
        auto client = std::make_shared<Client>(loop, addresses.callers_);
        const std::string id = fmt::format("r{}", ++requests);
        client->send(fmt::format("POST /book/x HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n"
                                 "X-Eelgrasscove-Deadline-Remaining: 2000\r\n"
                                 "Authorization: Bearer k1\r\nContent-Length: {}\r\n\r\n{}",
                                 requestIdName, id, body.size(), body));
        const bool isRepeated = body == "certificate 77";
        loop.timers().once(2500ms, [&, client, id, isRepeated] {
            if (isRepeated)
                record.note("the client got {} for {}", client->status(), id);
            ++(client->status() == 200 ? answered : failed);
        });
    };
    int sound = 0;
    loop.timers().every(soundPeriod, [&] { send(fmt::format("sound {}", ++sound)); });
    loop.timers().every(crashPeriod, [&] { send("certificate 77"); });
    turnFor(loop, playTime);
    record.note("{} sound requests ran; {} requests answered 200, {} otherwise", soundRuns,
                answered, failed);
    record.note("BUDGET: the request reached runners {} times, {} times later than {} ms after the "
                "third crash ({} are allowed); {} crashes",
                arrivals, lateRetries, stable.count() / 1000, allowedRetries, crashes);
    edge.signal(SIGKILL);
    turnUntil(loop, 2s, [&] { return !edge.isRunning_; });
    return lateRetries > allowedRetries ? exitBroken : exitHeld;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 4) {
        std::fputs("usage: crashing EDGE FOLDER RECORD\n", stderr);
        return exitNotRun;
    }
    try {
        const int result = play(arguments[1], arguments[2], arguments[3]);
        std::fflush(nullptr);
        _exit(result);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exitNotRun;
    }
}
