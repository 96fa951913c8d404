/// Clients that send long bodies, and a burst of them. The platform of this script ends a process
/// that exceeds its memory, as the deploy page says. With TROUBLE=0 there is no burst.

#include "deployment.hh"

#include <fcntl.h>

using namespace deployment;

namespace {

/// The manifest's limit on a body.
constexpr std::size_t bodyBytes = 4194304;
constexpr std::size_t memoryLimit = 260UL * 1024 * 1024;
constexpr double usualPerSecond = 7;
constexpr double burstFactor = 2.4;
constexpr Duration beforeBurst = 6s;
constexpr Duration burstTime = 5s;
constexpr Duration afterBurst = 3s;
/// Time for which a runner works on a request, a quarter of the route's timeout.
constexpr Duration work = 3s;
constexpr int connections = 90;

constexpr const char *rules = R"({"version":7,"routes":[
{"name":"r-assess","host":"desk.example","path_prefix":"/assess/","kind":"non_idempotent",
 "timeout_ms":12000,"target_latency_ms":6000,"priority":0,"service":"records","max_attempts":1,
 "public":false}],
"services":[{"name":"records","health_path":"/healthz","max_connections":360}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["k1"],"priority":1,"unit":"token_count",
 "plain_tokens":200,"rate_per_s":0,"burst":0}]})";

const std::string longBody(bodyBytes, 'm');

/// A client with a kept connection, which sends one request after the other.
class Sender
{
public:
    Sender(EventLoop &loop, const std::string &address, int number)
        : number_(number), reader_(HttpKind::Response, 64 * 1024,
                                   {[this](HttpHead &&head) { status_ = head.status_; },
                                    [](std::string_view) {}, [] {}})
    {
        Endpoint endpoint;
        require(parseEndpoint(address, endpoint), "an address");
        sockaddr_in peer{};
        uv_ip4_addr(endpoint.host_.c_str(), endpoint.port_, &peer);
        socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        require(connect(socket_, reinterpret_cast<sockaddr *>(&peer), sizeof peer) == 0,
                "a connection to the edge");
        fcntl(socket_, F_SETFL, O_NONBLOCK);
        loop.timers().every(5ms, [this] { turn(); });
    }

    void send(std::size_t bytes)
    {
        ++requests_;
        isActive_ = true;
        isComplete_ = false;
        isReceived_ = false;
        status_ = 0;
        reader_.reset();
        unsent_ = fmt::format("POST /assess/x HTTP/1.1\r\nHost: desk.example\r\n{}: {}\r\n"
                              "X-Eelgrasscove-Deadline-Remaining: 12000\r\n"
                              "Authorization: Bearer k1\r\nContent-Length: {}\r\n\r\n",
                              requestIdName, id(), bytes);
        unsent_.append(longBody, 0, bytes);
        turn();
    }

    std::string id() const { return fmt::format("c{}-{}", number_, requests_); }

    bool isActive_ = false;
    bool isComplete_ = false;
    /// The client has received a part of the answer.
    bool isReceived_ = false;
    bool hasEnded_ = false;
    unsigned status_ = 0;
    int requests_ = 0;

private:
    void turn()
    {
        while (!hasEnded_ && !unsent_.empty()) {
            const ssize_t count = ::send(socket_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
            if (count < 0 && errno == EAGAIN)
                break;
            if (count < 0) {
                hasEnded_ = true;
                return;
            }
            unsent_.erase(0, static_cast<std::size_t>(count));
        }
        while (!hasEnded_) {
            std::array<char, 32 * 1024> bytes{};
            const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
            if (count < 0 && errno == EAGAIN)
                return;
            if (count <= 0) {
                hasEnded_ = true;
                return;
            }
            isReceived_ = true;
            reader_.feed({bytes.data(), static_cast<std::size_t>(count)});
            if (reader_.state() == HttpReadState::Complete) {
                isComplete_ = true;
                isActive_ = false;
                return;
            }
        }
    }

    int number_;
    HttpReader reader_;
    std::string unsent_;
    int socket_ = -1;
};

int play(const std::string &edgeProgram, const std::string &folder, const std::string &recordFile)
{
    auto &loop = *new EventLoop;
    loop.onSignals([] {}, [] {});
    Record record(recordFile);
    const std::string storeAddress = freeAddress();
    auto &store = *new Store(loop, storeAddress);
    store.put("op/config", rules);

    std::set<std::string> passedOn;
    const auto run = [&](Runner &, const auto &from, SeenRequest &&request) {
        passedOn.insert(std::string(request.head_.header(requestIdName)));
        loop.timers().once(work, [from, lines = Runner::headLines(request)] {
            if (!from->ended_)
                from->answer(200, lines, std::string(800, 'x'));
        });
    };
    std::vector<std::unique_ptr<Runner>> runners;
    for (int number = 0; number < 4; ++number)
        runners.push_back(std::make_unique<Runner>(loop, store, number, 64, run));
    const EdgeAddresses addresses;
    const std::string settings = folder + "/settings.toml";
    std::ofstream(settings) << edgeSettings(addresses, storeAddress);
    Process edge(loop, edgeProgram, settings, folder + "/edge.log");
    edge.start();
    if (!awaitReady(loop, addresses.readiness_)) {
        record.note("the edge did not become ready");
        return exitNotRun;
    }
    record.note("edge ready; disruption: {}",
                hasTrouble() ? fmt::format("burst, {} times the usual for {} s", burstFactor,
                                           burstTime.count() / 1000000)
                             : "none");

    // The platform ends a process that exceeds its memory.
    std::size_t highest = 0;
    bool isOverLimit = false;
    loop.timers().every(10ms, [&] {
        const std::size_t resident = edge.residentBytes();
        highest = std::max(highest, resident);
        if (resident <= memoryLimit || isOverLimit)
            return;
        isOverLimit = true;
        record.note("the edge has {} MB, over its memory of {} MB: the platform kills it",
                    resident / 1048576, memoryLimit / 1048576);
        edge.signal(SIGKILL);
    });

    std::vector<std::unique_ptr<Sender>> senders;
    for (int number = 0; number < connections; ++number) {
        senders.push_back(std::make_unique<Sender>(loop, addresses.callers_, number));
        senders.back()->send(100);
    }
    const auto allComplete = [&] {
        return std::all_of(senders.begin(), senders.end(),
                           [](const auto &each) { return each->isComplete_; });
    };
    if (!turnUntil(loop, 10s, allComplete)) {
        record.note("a first request was not answered");
        return exitNotRun;
    }
    record.note("{} clients have got a first short answer; their connections are kept",
                senders.size());
    const Time startedAt = bootNow();
    Time nextAt = startedAt;
    const Time end = startedAt + beforeBurst + burstTime + afterBurst;
    bool isBurst = false;
    std::size_t next = 0;
    int sent = 0;
    const auto loadTimer = loop.timers().every(10ms, [&] {
        const Time now = bootNow();
        const bool wasBurst = isBurst;
        isBurst = hasTrouble() && now >= startedAt + beforeBurst
            && now < startedAt + beforeBurst + burstTime;
        if (isBurst && !wasBurst)
            record.note("the burst begins; the edge has {} MB", edge.residentBytes() / 1048576);
        while (nextAt <= now && now < end && !isOverLimit) {
            const double perSecond = usualPerSecond * (isBurst ? burstFactor : 1);
            nextAt += Duration(static_cast<std::int64_t>(1e6 / perSecond));
            for (std::size_t tried = 0; tried < senders.size(); ++tried) {
                Sender &sender = *senders[next++ % senders.size()];
                if (sender.isActive_ || sender.hasEnded_)
                    continue;
                sender.send(bodyBytes);
                ++sent;
                break;
            }
        }
    });
    turnUntil(loop, end - bootNow(), [&] { return isOverLimit; });
    loop.timers().cancel(loadTimer);
    turnUntil(loop, 6s, [&] {
        return std::none_of(senders.begin(), senders.end(),
                            [](const auto &each) { return each->isActive_ && !each->hasEnded_; });
    });
    int without = 0;
    int refused = 0;
    for (const auto &sender : senders) {
        refused += sender->isComplete_ && sender->status_ != 200 ? 1 : 0;
        if (sender->requests_ < 2 || sender->isComplete_)
            continue;
        const bool isPassedOn = passedOn.contains(sender->id());
        record.note("{}: {}, {}", sender->id(),
                    isPassedOn ? "passed on to a runner" : "not passed on",
                    sender->isReceived_ ? "closed within its answer" : "closed without an answer");
        without += isPassedOn && !sender->isReceived_ ? 1 : 0;
    }
    record.note("{} requests of {} bytes sent; the edge had {} MB at most", sent, bodyBytes,
                highest / 1048576);
    record.note("last requests of their connections with another status than 200: {}", refused);
    const bool hasCrashed = isOverLimit || !edge.isRunning_;
    record.note("the edge {}", hasCrashed ? "ended by itself: it was over its memory" : "runs");
    record.note("LOST: {} requests on kept connections were passed on to a sound runner and their "
                "connections closed without an answer (3 are allowed)",
                without);
    edge.signal(SIGKILL);
    turnUntil(loop, 2s, [&] { return !edge.isRunning_; });
    return without > 3 ? exitBroken : exitHeld;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 4) {
        std::fputs("usage: uploads EDGE FOLDER RECORD\n", stderr);
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
