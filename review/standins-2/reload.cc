/// The settings of a running edge change to a shorter bound on draining runners, with a SIGHUP, and
/// a runner leaves later. With TROUBLE=0 the edge has the shorter bound from its start.

#include "deployment.hh"

using namespace deployment;

namespace {

constexpr int runnerCount = 4;
/// The bound after the change, and before it.
constexpr Duration drain = 2s;
constexpr std::string_view earlierDrain = "drain = 10000ms";
constexpr std::string_view laterDrain = "drain = 2000ms";
/// A runner that leaves serves for drain and this much longer.
constexpr Duration linger = 1s;
constexpr Duration work = 250ms;
constexpr Duration requestPeriod = 25ms;
constexpr Duration reloadToLeave = 12s;

constexpr const char *rules = R"({"version":7,"routes":[
{"name":"r-book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":2000,"target_latency_ms":300,"priority":0,"service":"records","max_attempts":1,
 "public":false}],
"services":[{"name":"records","health_path":"/healthz","max_connections":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["k1"],"priority":1,"unit":"token_count",
 "plain_tokens":200,"rate_per_s":0,"burst":0}]})";

int play(const std::string &edgeProgram, const std::string &folder, const std::string &recordFile)
{
    auto &loop = *new EventLoop;
    loop.onSignals([] {}, [] {});
    Record record(recordFile);
    const std::string storeAddress = freeAddress();
    auto &store = *new Store(loop, storeAddress);
    store.put("op/config", rules);

    std::string leaver;
    std::optional<Time> drainingAt;
    std::map<std::string, Time> sentAt;
    int late = 0;
    std::int64_t latest = 0;
    const auto run = [&](Runner &runner, const auto &from, SeenRequest &&request) {
        const std::string id(request.head_.header(requestIdName));
        const Time now = bootNow();
        if (runner.id_ == leaver && now > *drainingAt + drain && sentAt[id] > *drainingAt + drain) {
            ++late;
            latest = (now - *drainingAt).count() / 1000;
            record.note("{} reaches {}, which is draining for {} ms", id, runner.id_, latest);
        }
        loop.timers().once(work, [from, lines = Runner::headLines(request)] {
            from->answer(200, lines, std::string(800, 'x'));
        });
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int number = 0; number < runnerCount; ++number)
        runners.push_back(std::make_unique<Runner>(loop, store, number, 6, run));
    const EdgeAddresses addresses;
    const std::string settings = folder + "/settings.toml";
    const std::string changed = edgeSettings(addresses, storeAddress);
    std::string before = changed;
    before.replace(before.find(laterDrain), laterDrain.size(), earlierDrain);
    std::ofstream(settings) << (hasTrouble() ? before : changed);
    Process edge(loop, edgeProgram, settings, folder + "/edge.log");
    edge.start();
    if (!awaitReady(loop, addresses.readiness_)) {
        record.note("the edge did not become ready");
        return exitNotRun;
    }
    record.note("edge ready with {}", hasTrouble() ? earlierDrain : laterDrain);

    int requests = 0;
    int served = 0;
    int others = 0;
    loop.timers().every(requestPeriod, [&] {
        auto client = std::make_shared<Client>(loop, addresses.callers_);
        const std::string id = fmt::format("r{}", ++requests);
        sentAt[id] = bootNow();
        client->send(fmt::format("POST /book/x HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n"
                                 "X-Eelgrasscove-Deadline-Remaining: 2000\r\n"
                                 "Authorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbook",
                                 requestIdName, id));
        loop.timers().once(2300ms, [&, client] { ++(client->status() == 200 ? served : others); });
    });
    turnFor(loop, 2s);
    std::ofstream(settings) << changed;
    edge.signal(SIGHUP);
    record.note("settings with {}, SIGHUP", laterDrain);
    turnFor(loop, reloadToLeave);
    // The runner leaves when the watch of the list has just been answered, as it mostly has.
    const auto watches = [&] { return store.calls("kv-watch?path_prefix=servers/"); };
    const std::size_t answered = watches();
    turnUntil(loop, 12s, [&] { return watches() > answered; });
    turnFor(loop, 420ms);
    leaver = runners.front()->id_;
    drainingAt = bootNow();
    runners.front()->drain();
    record.note("the store acknowledges that {} is draining; it serves for {} ms more", leaver,
                (drain + linger).count() / 1000);
    turnFor(loop, drain + linger);
    record.note("the runner ends");
    runners.front()->end();
    turnFor(loop, 4s);
    record.note("{} requests answered 200, {} otherwise (cut by the runner's end)", served, others);
    record.note("DRAIN: {} requests, sent and received later than {} ms after the ack, reached "
                "the runner that is draining; the last one {} ms after it",
                late, drain.count() / 1000, latest);
    edge.signal(SIGKILL);
    turnUntil(loop, 2s, [&] { return !edge.isRunning_; });
    return late > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 4) {
        std::fputs("usage: reload EDGE FOLDER RECORD\n", stderr);
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
