/// The operator takes the tenants of a manifest away, one after the other. With TROUBLE=0 the
/// versions keep both tenants.

#include "deployment.hh"

using namespace deployment;

namespace {

constexpr Duration revoke = 5s;
constexpr Duration work = 60ms;
constexpr Duration requestPeriod = 500ms;
constexpr Duration betweenVersions = 8s;

constexpr const char *rules = R"({{"version":{},"routes":[
{{"name":"r-book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":2000,"target_latency_ms":300,"priority":0,"service":"records","max_attempts":1,
 "public":false}}],
"services":[{{"name":"records","health_path":"/healthz","max_connections":96}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}},
"tenants":[{}]}})";

std::string tenant(const std::string &name, const std::string &key)
{
    return fmt::format(R"({{"name":"{}","api_keys":["{}"],"priority":1,"unit":"token_count",)"
                       R"("plain_tokens":200,"rate_per_s":0,"burst":0}})",
                       name, key);
}

struct Key
{
    std::string name_;
    /// Time of the ack of the version that took the key away; empty while a version holds it.
    std::optional<Time> takenAt_;
    int runsAfter_ = 0;
};

int play(const std::string &edgeProgram, const std::string &folder, const std::string &recordFile)
{
    auto &loop = *new EventLoop;
    loop.onSignals([] {}, [] {});
    Record record(recordFile);
    const std::string storeAddress = freeAddress();
    auto &store = *new Store(loop, storeAddress);
    const std::string shed = tenant("shed", "key-of-shed");
    const std::string barn = tenant("barn", "key-of-barn");
    store.put("op/config", fmt::format(fmt::runtime(rules), 7, shed + "," + barn));

    std::map<std::string, Key> keys = {{"shed", {"key-of-shed", {}, 0}},
                                       {"barn", {"key-of-barn", {}, 0}}};
    // A key that no version ever held is tried beside them.
    const std::string stranger = "key-of-nobody";
    int strangerRuns = 0;
    struct Sent
    {
        std::string tenant_;
        Time at_;
    };
    std::map<std::string, Sent> sent;
    const auto run = [&](Runner &runner, const auto &from, SeenRequest &&request) {
        const std::string id(request.head_.header(requestIdName));
        loop.timers().once(work, [from, lines = Runner::headLines(request)] {
            from->answer(200, lines, std::string(800, 'x'));
        });
        if (sent[id].tenant_ == stranger) {
            ++strangerRuns;
            return;
        }
        Key &key = keys[sent[id].tenant_];
        if (key.takenAt_ && sent[id].at_ > *key.takenAt_ + revoke) {
            ++key.runsAfter_;
            record.note("runner {} runs {}, sent with {} {} ms after the ack that took it away, "
                        "tenant named to the runner: \"{}\"",
                        runner.id_, id, key.name_, (sent[id].at_ - *key.takenAt_).count() / 1000,
                        request.head_.header("X-Eelgrasscove-Tenant-Name"));
        }
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int number = 0; number < 2; ++number)
        runners.push_back(std::make_unique<Runner>(loop, store, number, 6, run));
    const EdgeAddresses addresses;
    const std::string settings = folder + "/settings.toml";
    std::ofstream(settings) << edgeSettings(addresses, storeAddress);
    Process edge(loop, edgeProgram, settings, folder + "/edge.log");
    edge.start();
    if (!awaitReady(loop, addresses.readiness_)) {
        record.note("the edge did not become ready");
        return exitNotRun;
    }
    record.note("edge ready; disruption: {}", hasTrouble() ? "tenants are taken away" : "none");

    int requests = 0;
    std::map<std::string, std::map<unsigned, int>> statuses;
    std::string phase = "both tenants";
    const auto send = [&](const std::string &tenantName, const std::string &key) {
        auto client = std::make_shared<Client>(loop, addresses.callers_);
        const std::string id = fmt::format("r{}", ++requests);
        sent[id] = {tenantName, bootNow()};
        client->send(fmt::format("POST /book/x HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n"
                                 "X-Eelgrasscove-Deadline-Remaining: 2000\r\n"
                                 "Authorization: Bearer {}\r\nContent-Length: 4\r\n\r\nbook",
                                 requestIdName, id, key));
        loop.timers().once(
            400ms, [&, client, at = phase + ", " + key] { ++statuses[at][client->status()]; });
    };
    loop.timers().every(requestPeriod, [&] {
        for (const auto &[name, key] : keys)
            send(name, key.name_);
        send(stranger, stranger);
    });
    const auto publish = [&](int version, const std::string &tenants, const std::string &what) {
        turnFor(loop, betweenVersions);
        store.put("op/config", fmt::format(fmt::runtime(rules), version, tenants));
        phase = what;
        record.note("version {} acknowledged: {}", version, what);
    };
    publish(8, hasTrouble() ? shed : shed + "," + barn, hasTrouble() ? "without barn" : "the same");
    if (hasTrouble())
        keys["barn"].takenAt_ = bootNow();
    publish(9, hasTrouble() ? "" : shed + "," + barn,
            hasTrouble() ? "without tenants" : "the same");
    if (hasTrouble())
        keys["shed"].takenAt_ = bootNow();
    turnFor(loop, betweenVersions + 2s);
    for (const auto &[at, counts] : statuses) {
        for (const auto &[status, count] : counts)
            record.note("{}: {} answers {}", at, count, status);
    }
    record.note("{} requests ran with a key that no version ever held", strangerRuns);
    int broken = 0;
    for (const auto &[name, key] : keys)
        broken += key.runsAfter_;
    record.note("CONFIG: {} requests ran that were sent later than {} ms after their key was taken "
                "away",
                broken, revoke.count() / 1000);
    edge.signal(SIGKILL);
    turnUntil(loop, 2s, [&] { return !edge.isRunning_; });
    return broken > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 4) {
        std::fputs("usage: lasttenant EDGE FOLDER RECORD\n", stderr);
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
