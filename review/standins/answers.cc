/// Case: an edge gets SIGTERM while answers are on their way to clients over a link of 10 Mbit/s.
/// Do the clients get the whole answers?

#include "world.hh"

#include <netinet/tcp.h>
#include <poll.h>

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr int edgeCount = 2;
constexpr int runnerCount = 2;
constexpr int clientCount = 4;
/// The answer of a run: a scanned record. All of them together take 8 s on the link.
constexpr std::size_t answerBytes = 2'500'000;
/// The smallest link of an edge on the site nvsn-werkbank-grown: 10 Mbit/s.
constexpr double linkBytesPerSecond = 1.25e6;
/// Segment size and receive buffer of a client on an Ethernet, also on loopback.
constexpr int segmentBytes = 1460;
constexpr int receiveBufferBytes = 64 * 1024;
/// The client's time budget and the route's timeout.
constexpr int budgetMillis = 12'000;
/// Bounds of the site nvsn-werkbank-grown.
constexpr Bounds bounds{5000, 3000, 8, 4000, 88};

constexpr const char *rulesText = R"({"version":7,"routes":[
{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":12000,"target_latency_ms":4000,"service":"ledger","max_attempts":1,"priority":2}],
"services":[{"name":"ledger","max_connections":200}],
"tenants":[{"name":"shed","api_keys":["k1"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
 "idle_timeout_ms":30000}})";

/// The link of the edge's machine, which all its clients share.
class Link
{
public:
    /// Takes up to most bytes that may pass now.
    std::size_t take(std::size_t most)
    {
        const std::lock_guard lock(mutex_);
        const Time now = bootNow();
        budget_ = std::min(budget_ + seconds(now - filledAt_) * linkBytesPerSecond,
                           linkBytesPerSecond * 0.02);
        filledAt_ = now;
        const auto taken = std::min(most, static_cast<std::size_t>(std::max(budget_, 0.0)));
        budget_ -= static_cast<double>(taken);
        return taken;
    }

private:
    std::mutex mutex_;
    double budget_ = 0;
    Time filledAt_ = bootNow();
};

/// A client on a thread of its own, which reads as fast as the link lets it.
struct Client
{
    std::string id_;
    int descriptor_ = -1;
    Answer answer_;
    Time endedAt_;

    bool connectTo(const std::string &host, int port)
    {
        descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(int));
        setsockopt(descriptor_, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof(int));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return connect(descriptor_, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    }

    void send(const std::string &text) const
    {
        if (::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL) < 0)
            std::perror("send");
    }

    void read(Link &link)
    {
        HttpReader reader(HttpKind::Response, 64 * 1024,
                          {[this](HttpHead &&head) {
                               answer_.status_ = head.status_;
                               answer_.isSealed_ = head.hasHeader("X-Eelgrasscove-Response-Seal");
                           },
                           [this](std::string_view more) { answer_.body_ += more; }, [] {}});
        const Time end = bootNow() + std::chrono::milliseconds(budgetMillis);
        std::vector<char> buffer(16 * 1024);
        while (reader.state() == HttpReadState::Open && bootNow() < end) {
            pollfd state{descriptor_, POLLIN, 0};
            if (poll(&state, 1, 20) <= 0)
                continue;
            const std::size_t allowed = link.take(buffer.size());
            if (allowed == 0) {
                std::this_thread::sleep_for(2ms);
                continue;
            }
            const ssize_t count = recv(descriptor_, buffer.data(), allowed, 0);
            if (count <= 0) {
                answer_.error_ = count == 0 ? "closed" : "reset";
                break;
            }
            reader.feed({buffer.data(), static_cast<std::size_t>(count)});
        }
        answer_.isComplete_ = reader.state() == HttpReadState::Complete;
        endedAt_ = bootNow();
        close(descriptor_);
    }
};

class Case
{
public:
    Case(EventLoop &loop, const Options &options) : loop_(loop), record_(options.record_)
    {
        std::vector<std::string> hosts = {"127.84.0.250"};
        for (int each = 1; each <= runnerCount; ++each)
            hosts.push_back(fmt::format("127.84.2.{}", each));
        for (int each = 1; each <= edgeCount; ++each)
            hosts.push_back(fmt::format("127.84.1.{}", each));
        const int port = freePort(hosts);
        store_ = std::make_unique<Store>(loop, fmt::format("127.84.0.250:{}", port));
        for (int number = 1; number <= runnerCount; ++number) {
            auto runner = std::make_unique<Runner>(
                loop, fmt::format("127.84.2.{}:{}", number, port), fmt::format("r{}", number));
            runner->onRun_ = [this](Runner &at, const Request &request) {
                record_.note("{} runs {}", at.id(), request.id());
                ++runs_[request.id()];
                return std::string(answerBytes, 'x');
            };
            store_->put("servers/" + runner->id(),
                        fmt::format(R"({{"service":"ledger","address":"127.84.2.{}:{}",)"
                                    R"("zone":"utrecht","version":1,"slots":6,"state":"ready",)"
                                    R"("cold_left_ms":0,"sequence":0,"born":1700000000000}})",
                                    number, port));
            runners_.push_back(std::move(runner));
        }
        store_->put("op/config", rulesText);
        for (int edge = 1; edge <= edgeCount; ++edge) {
            const std::string name = fmt::format("edge-utrecht-{}", edge);
            const std::string host = fmt::format("127.84.1.{}", edge);
            edges_.push_back(std::make_unique<EdgeProcess>(
                loop, options.edge_, options.folder_,
                edgeSettings(name, "utrecht", host, port, store_->address(), bounds), name, host,
                port));
        }
    }

    int play(bool hasTrouble)
    {
        for (const auto &edge : edges_)
            edge->start();
        if (!waitUntilReady(loop_, edges_, 15s)) {
            record_.say("an edge did not become ready");
            endAll(loop_, edges_);
            return exitNotRun;
        }
        // Calm for stable_ms and longer.
        turnFor(loop_, 5s);
        Link link;
        std::vector<std::unique_ptr<Client>> clients;
        std::vector<std::thread> threads;
        std::atomic<int> reading = clientCount;
        for (int number = 1; number <= clientCount; ++number) {
            auto client = std::make_unique<Client>();
            client->id_ = fmt::format("book-{}", number);
            if (!client->connectTo(edges_[0]->host_, edges_[0]->port_)) {
                endAll(loop_, edges_);
                return exitNotRun;
            }
            clients.push_back(std::move(client));
        }
        turnFor(loop_, 200ms);
        for (const auto &client : clients) {
            record_.note("{} is sent to {}", client->id_, edges_[0]->name_);
            client->send(requestText("POST", "/book/" + client->id_, client->id_, "k1",
                                     "certificate " + client->id_, budgetMillis, true));
            threads.emplace_back([&link, &reading, each = client.get()] {
                each->read(link);
                --reading;
            });
        }
        turnFor(loop_, 20ms);
        if (hasTrouble) {
            record_.note("SIGTERM to {}", edges_[0]->name_);
            edges_[0]->signal(SIGTERM);
        }
        turnUntil(loop_, std::chrono::milliseconds(budgetMillis + 1000), [&] {
            if (!edges_[0]->isRunning_ && !endedAt_) {
                endedAt_ = bootNow();
                record_.note("{} has ended, exit code {}", edges_[0]->name_,
                             edges_[0]->exitStatus_);
            }
            return reading == 0;
        });
        for (std::thread &thread : threads)
            thread.join();
        turnFor(loop_, 500ms);
        endAll(loop_, edges_);
        return judge(clients);
    }

private:
    int judge(const std::vector<std::unique_ptr<Client>> &clients)
    {
        int lost = 0;
        for (const auto &client : clients) {
            const Answer &answer = client->answer_;
            const bool isWhole = answer.isComplete_ && answer.body_.size() == answerBytes;
            const bool isLost = !isWhole && runs_[client->id_] > 0;
            lost += isLost ? 1 : 0;
            record_.say(fmt::format("{}: ran {} times; status {}, {} of {} bytes, {} at {:.3f} s{}",
                                    client->id_, runs_[client->id_], answer.status_,
                                    answer.body_.size(), answerBytes,
                                    isWhole ? "whole" : answer.error_, record_.at(client->endedAt_),
                                    isLost ? ": lost" : ""));
        }
        record_.say(fmt::format("{} of {} answers lost; LOST {}", lost, clients.size(),
                                lost > 0 ? "is broken" : "holds"));
        return lost > 0 ? exitBroken : exitHeld;
    }

    EventLoop &loop_;
    Record record_;
    std::unique_ptr<Store> store_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<EdgeProcess>> edges_;
    std::map<std::string, int> runs_;
    std::optional<Time> endedAt_;
};

} // namespace

int main(int argc, char **argv)
{
    const Options options = parseOptions(argc, argv);
    EventLoop loop;
    Case played(loop, options);
    const int result = played.play(options.hasTrouble_);
    std::fflush(stdout);
    std::_Exit(result);
}
