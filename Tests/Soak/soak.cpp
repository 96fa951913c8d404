/// A randomized run of the real programs as separate processes on this machine, with faults from
/// outside. Ends only the processes that it started.

#include "../Shared/oddnames.h"
#include "../Shared/servingstandins.h"
#include "record.h"

#include <docopt/docopt.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>

using namespace standins;
using soak::Record;

namespace {

constexpr const char *usage =
    R"(Runs edges against stand-ins of the platform and checks the promises.

Usage:
  soak --edge PROGRAM --seed N [--seconds S] [--processes P] [--logs FOLDER]

Options:
  --edge PROGRAM   eelgrasscove-edge.
  --seed N         Seed of all that is random.
  --seconds S      Time with faults; a calm end follows [default: 20].
  --processes P    Edges [default: 3].
  --logs FOLDER    Where the processes' logs go [default: /tmp/eelgrasscove-soak].
)";

constexpr Duration calmTime = 12s;
/// Time without accounts at the end; longer than the bound on withdrawn keys.
constexpr Duration timeWithoutAccounts = 5s;
/// Period at which the rules may become unreadable, once in so many periods on average.
constexpr Duration unreadableRulesPeriod = 4s;
constexpr int periodsPerUnreadableRules = 3;
/// Period at which the store may be restored, once in so many periods on average.
constexpr Duration restorePeriod = 5s;
constexpr int periodsPerRestore = 2;
/// Copies that the store may be restored from, one every half second.
constexpr Duration copyPeriod = 500ms;
constexpr std::size_t copyCount = 8;
/// Time within which what a restored store has lost is written again.
constexpr int writeAgainMillis = 2000;
constexpr int targetCount = 4;
constexpr int clientsPerEdge = 4;

constexpr const char *rulesText = R"({{"version":{},"routes":[
{{"name":"look","host":"desk.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":3000,
 "target_latency_ms":300,"service":"ledger","max_attempts":2}},
{{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":3000,"target_latency_ms":300,"service":"ledger","max_attempts":1}},
{{"name":"ask","host":"desk.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":3000,
 "target_latency_ms":500,"service":"ledger","max_attempts":1,"target_gap_ms":300}}],
"services":[{{"name":"ledger","max_connections":96}}]{}}})";

constexpr const char *accountsText =
    R"(,"tenants":[{{"name":"shed","api_keys":[{}]}},{{"name":"barn","api_keys":["k2"]}}])";

/// Ways to list no account, as different writers do.
constexpr std::array noAccountsTexts = {"", R"(,"tenants":[])", R"(,"tenants":null)",
                                        R"(,"tenants":[{"name":"shed"},{"name":"barn"}])"};

/// Values in which no version of the rules can be read.
constexpr std::array unreadableTexts = {"", "{", R"({"version":"9"})", "[]"};

enum class LinkFault {
    None,
    Delayed,
    /// Nothing passes either way.
    Silent,
    /// What the edge sends doesn't arrive.
    OneWay,
};

/// A loopback proxy in front of one server.
class Proxy
{
public:
    Proxy(EventLoop &loop, const std::string &address, const std::string &server) : loop_(loop)
    {
        Endpoint own;
        require(parseEndpoint(address, own) && parseEndpoint(server, server_), "an address");
        require(listener_.listen(loop, own, [this](auto stream) { join(std::move(stream)); }) == 0,
                "the address to be free");
    }

    void resetAll()
    {
        for (const auto &[near, far] : pairs_) {
            near->close(true);
            far->close(true);
        }
        pairs_.clear();
    }

    LinkFault fault_ = LinkFault::None;

private:
    void join(const std::shared_ptr<TcpStream> &near)
    {
        auto unsent = std::make_shared<std::string>();
        auto connected = std::make_shared<bool>(false);
        std::weak_ptr<TcpStream> back = near;
        const std::shared_ptr<TcpStream> far = TcpStream::connect(
            loop_, server_,
            {[this, unsent, connected, at = pairs_.size()] {
                 *connected = true;
                 if (at < pairs_.size())
                     pairs_[at].second->write(*unsent);
             },
             [this, back](std::string_view bytes) { pass(back, bytes, false); },
             [back](int error) {
                 if (const auto stream = back.lock())
                     error == 0 ? stream->closeAfterWrite() : stream->close(true);
             }});
        pairs_.emplace_back(near, far);
        std::weak_ptr<TcpStream> forth = far;
        near->start({nullptr,
                     [this, forth, unsent, connected](std::string_view bytes) {
                         if (*connected)
                             pass(forth, bytes, true);
                         else
                             *unsent += bytes;
                     },
                     [forth](int) {
                         if (const auto stream = forth.lock())
                             stream->close(true);
                     }});
    }

    void pass(const std::weak_ptr<TcpStream> &to, std::string_view bytes, bool fromEdge)
    {
        const auto stream = to.lock();
        if (!stream || fault_ == LinkFault::Silent || (fault_ == LinkFault::OneWay && fromEdge))
            return;
        if (fault_ != LinkFault::Delayed) {
            stream->write(bytes);
            return;
        }
        loop_.timers().once(150ms, [stream, copy = std::string(bytes)] { stream->write(copy); });
    }

    EventLoop &loop_;
    Endpoint server_;
    TcpListener listener_;
    std::vector<std::pair<std::shared_ptr<TcpStream>, std::shared_ptr<TcpStream>>> pairs_;
};

/// One edge as a process of its own.
class EdgeProcess
{
public:
    EdgeProcess(EventLoop &loop, std::string program, std::string folder, int number)
        : loop_(loop), program_(std::move(program)), folder_(std::move(folder)), number_(number)
    { }

    std::string callers() const { return fmt::format("127.0.2.{}:18440", number_ + 1); }

    void start()
    {
        const std::string settings = fmt::format("{}/edge-{}.ini", folder_, number_);
        std::ofstream(settings) << fmt::format(
            "[vm]\nname = edge-{0}\ndata_centre = here\nip = 127.0.2.{1}\n"
            "[listen]\ncallers = 127.0.2.{1}:18440\nreadiness = 127.0.2.{1}:18441\n"
            "peers = 127.0.2.{1}:18442\n[platform]\nstore = 127.0.2.250:18450\n"
            "[bounds]\nrevoke = 2s\ndrain = 2s\ngrace = 4s\n",
            number_, number_ + 1);
        const std::string log = fmt::format("{}/edge-{}.log", folder_, number_);
        log_ = openLog(log);
        uv_stdio_container_t streams[3] = {};
        streams[0].flags = UV_IGNORE;
        for (int out = 1; out < 3; ++out) {
            streams[out].flags = UV_INHERIT_FD;
            streams[out].data.fd = log_;
        }
        char *arguments[] = {program_.data(), const_cast<char *>(settings.c_str()), nullptr};
        uv_process_options_t options{};
        options.file = program_.c_str();
        options.args = arguments;
        options.stdio = streams;
        options.stdio_count = 3;
        options.exit_cb = [](uv_process_t *process, std::int64_t status, int) {
            auto *edge = static_cast<EdgeProcess *>(process->data);
            edge->running_ = false;
            edge->endedThemselves_ += status != 0 ? 1 : 0;
        };
        process_ = new uv_process_t{};
        process_->data = this;
        require(uv_spawn(&loop_.uv(), process_, &options) == 0, "the program");
        running_ = true;
    }

    void signal(int number)
    {
        if (running_)
            uv_process_kill(process_, number);
    }

    bool running() const { return running_; }
    /// How often it ended with an error of its own.
    int endedThemselves() const { return endedThemselves_; }

private:
    static int openLog(const std::string &file)
    {
        uv_fs_t request;
        const int opened = uv_fs_open(nullptr, &request, file.c_str(),
                                      O_WRONLY | O_CREAT | O_APPEND, 0644, nullptr);
        uv_fs_req_cleanup(&request);
        return opened;
    }

    EventLoop &loop_;
    std::string program_;
    std::string folder_;
    int number_;
    int log_ = -1;
    uv_process_t *process_ = nullptr;
    int endedThemselves_ = 0;
    bool running_ = false;
};

class Soak
{
public:
    Soak(EventLoop &loop, const std::string &program, const std::string &folder, unsigned seed,
         int edges)
        : loop_(loop), random_(seed), rulesRandom_(seed), restoreRandom_(seed),
          store_(loop, "127.0.2.250:18451"),
          storeLink_(loop, "127.0.2.250:18450", "127.0.2.250:18451")
    {
        record_.accountOfKey_ = {{"k1", "shed"}, {"k2", "barn"}, {"k3", "shed"}};
        for (int target = 0; target < targetCount; ++target) {
            targets_.push_back(
                std::make_unique<Server>(loop, fmt::format("127.0.2.251:{}", 18460 + target),
                                         [this, target](const auto &from, SeenRequest &&request) {
                                             run(target, from, std::move(request));
                                         }));
            links_.push_back(
                std::make_unique<Proxy>(loop, fmt::format("127.0.2.252:{}", 18460 + target),
                                        fmt::format("127.0.2.251:{}", 18460 + target)));
            list(target);
        }
        store_.era_ = 1;
        putRules();
        putForeignItems();
        for (int edge = 0; edge < edges; ++edge) {
            edges_.push_back(std::make_unique<EdgeProcess>(loop, program, folder, edge));
            edges_.back()->start();
        }
    }

    std::vector<std::string> play(Duration withFaults)
    {
        turnFor(loop_, 1500ms);
        loop_.timers().every(40ms, [this] { ask(); });
        loop_.timers().every(unreadableRulesPeriod, [this] { writeUnreadableRules(); });
        loop_.timers().every(copyPeriod, [this] {
            copies_.push_back(store_.copy());
            if (copies_.size() > copyCount)
                copies_.pop_front();
        });
        loop_.timers().every(restorePeriod, [this] { restoreStore(); });
        const Time end = bootNow() + withFaults;
        while (bootNow() < end) {
            fault();
            turnFor(loop_, Duration(below(900) * 1000));
        }
        calm();
        record_.calmAt_ = bootNow();
        turnFor(loop_, calmTime);
        removeAccounts();
        turnFor(loop_, timeWithoutAccounts);
        asking_ = false;
        turnFor(loop_, 4s);
        endProcesses();
        for (const auto &edge : edges_)
            record_.endedThemselves_ += edge->endedThemselves();
        return soak::brokenPromises(record_);
    }

    const Record &record() const { return record_; }

    void endProcesses()
    {
        for (const auto &edge : edges_)
            edge->signal(SIGKILL);
        turnUntil(loop_, 3s, [this] {
            return std::none_of(edges_.begin(), edges_.end(),
                                [](const auto &edge) { return edge->running(); });
        });
    }

private:
    int below(int most) { return std::uniform_int_distribution<int>(0, most - 1)(random_); }

    std::string idOf(int target) const
    {
        return fmt::format("i-{}-{}", target, starts_.count(target) ? starts_.at(target) : 0);
    }

    void list(int target, const std::string &state = "ready")
    {
        store_.put("servers/" + idOf(target),
                   fmt::format(R"({{"service":"ledger","address":"127.0.2.252:{}","zone":"here",)"
                               R"("slots":6,"state":"{}","born":{}}})",
                               18460 + target, state,
                               1 + (starts_.count(target) ? starts_.at(target) : 0)));
    }

    /// Puts entries of another writer under all prefixes, so that many pages end with one.
    void putForeignItems()
    {
        store_.pageItems_ = 2;
        for (const char *prefix :
             {"servers/", "op/", "op/version/", "eelgrasscove/entry/", "eelgrasscove/suspect/"}) {
            for (const OddName &odd : oddNames())
                store_.put(prefix + odd.name_, "{}");
        }
    }

    void putRules()
    {
        putRules(
            fmt::format(fmt::runtime(accountsText), keyWithdrawn_ ? R"("k1")" : R"("k1","k3")"));
    }

    void putRules(const std::string &accounts)
    {
        rules_ = fmt::format(fmt::runtime(rulesText), ++version_, accounts);
        store_.put("op/config", rules_);
    }

    /// The store goes away for a moment and comes back from a copy some seconds old. The operator
    /// and the targets write again what it has lost, some time later.
    void restoreStore()
    {
        const auto below = [this](int most) {
            return std::uniform_int_distribution<int>(0, most - 1)(restoreRandom_);
        };
        if (!troubled_ || copies_.empty() || below(periodsPerRestore) > 0)
            return;
        store_.fault_ = below(2) == 0 ? StoreFault::Silent : StoreFault::Reset;
        if (below(2) == 0)
            store_.cutWatches();
        const Duration away = Duration(below(1500) * 1000);
        const auto copy = static_cast<std::size_t>(below(static_cast<int>(copies_.size())));
        const Duration writtenAfter = Duration(below(writeAgainMillis) * 1000);
        const int beats = below(60);
        loop_.timers().once(away, [this, copy, writtenAfter, beats] {
            if (!troubled_)
                return;
            store_.restore(copies_.at(std::min(copy, copies_.size() - 1)));
            copies_.clear();
            store_.fault_ = StoreFault::None;
            // Other keys may take the store past the revisions that the edges know.
            for (int beat = 0; beat < beats; ++beat)
                store_.put("other/x", "beat");
            loop_.timers().once(writtenAfter, [this] { writeAgain(); });
        });
    }

    void writeAgain()
    {
        store_.put("op/config", rules_);
        std::set<std::string> listed;
        for (int target = 0; target < targetCount; ++target) {
            listed.insert("servers/" + idOf(target));
            list(target, leaving_.contains(idOf(target)) ? "draining" : "ready");
            // The leaving may have been acknowledged and lost.
            const auto left = record_.leftAt_.find(idOf(target));
            if (left != record_.leftAt_.end())
                left->second = std::max(left->second, bootNow() + 1s);
        }
        const auto items = store_.items_;
        for (const auto &[key, item] : items) {
            if (key.starts_with("servers/i-") && !listed.contains(key))
                store_.remove(key);
        }
    }

    /// Writes rules that can't be decoded, and sound ones some time later.
    void writeUnreadableRules()
    {
        const auto below = [this](int most) {
            return std::uniform_int_distribution<int>(0, most - 1)(rulesRandom_);
        };
        if (!troubled_ || below(periodsPerUnreadableRules) > 0)
            return;
        store_.put("op/config", unreadableTexts.at(static_cast<std::size_t>(below(4))));
        loop_.timers().once(Duration((200 + below(3500)) * 1000), [this] {
            if (troubled_)
                putRules();
        });
    }

    /// Takes all keys away, and restarts an entry that has to learn it from the store.
    void removeAccounts()
    {
        const int form = below(static_cast<int>(noAccountsTexts.size()));
        putRules(noAccountsTexts.at(static_cast<std::size_t>(form)));
        for (const char *key : {"k1", "k2", "k3"})
            record_.withdrawnAt_.try_emplace(key, bootNow());
        EdgeProcess &edge =
            *edges_[static_cast<std::size_t>(below(static_cast<int>(edges_.size())))];
        edge.signal(SIGKILL);
        restartLater(edge);
    }

    /// A target's answer: often sound, at times lost, broken off, refused or late.
    void run(int target, const std::shared_ptr<ServerConnection> &from, SeenRequest &&request)
    {
        const std::string id(request.head_.header("X-Eelgrasscove-Request-Id"));
        const std::string head = fmt::format("X-Eelgrasscove-Request-Id: {}\r\n", id);
        if (request.head_.header("X-Eelgrasscove-Expect-Instance") != idOf(target)) {
            from->answer(421, head + "X-Eelgrasscove-Instance-Id: " + idOf(target) + "\r\n", "");
            return;
        }
        const int chance = troubled_ ? below(40) : 40;
        if (chance == 0) {
            from->answer(503, head + "X-Eelgrasscove-Not-Executed: 1\r\n", "");
            return;
        }
        const bool stream = request.head_.target_.starts_with("/ask/");
        const std::string body = stream
            ? fmt::format("id: 1\ndata: {0}\n\nid: 2\ndata: {0}\n\n", id)
            : "answer to " + id;
        record_.ran_[id].push_back({idOf(target),
                                    std::string(request.head_.header("X-Eelgrasscove-Tenant-Name")),
                                    request.head_.hasHeader("Authorization"), bootNow(), body});
        const std::string sealed = head + "X-Eelgrasscove-Response-Seal: 1.2.3\r\n";
        const Duration work = chance == 1 ? 2500ms : Duration((5 + below(40)) * 1000);
        loop_.timers().once(work, [from, sealed, body, chance, stream] {
            if (chance == 2) {
                from->stream_->close(true);
            } else if (stream || chance == 3) {
                const std::size_t cut = chance == 4 ? body.size() / 2 : body.size();
                from->stream_->write(fmt::format("HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked"
                                                 "\r\n\r\n{:x}\r\n{}\r\n",
                                                 sealed, cut, body.substr(0, cut)));
                if (chance == 4)
                    from->stream_->close(true);
                else
                    from->stream_->write("0\r\n\r\n");
            } else {
                from->answer(200, sealed, body);
            }
        });
    }

    void ask()
    {
        if (!asking_)
            return;
        const int edge = below(static_cast<int>(edges_.size()));
        const int kind = below(3);
        const char *key = below(4) == 0 ? "k3" : (below(2) == 0 ? "k1" : "k2");
        const std::string id = fmt::format("r{}", ++asked_);
        soak::Asked &asked = record_.asked_[id];
        asked.key_ = key;
        asked.once_ = kind > 0;
        asked.stream_ = kind == 2;
        asked.sentAt_ = bootNow();
        const char *path = kind == 0 ? "/look/" : (kind == 1 ? "/book/" : "/ask/");
        auto client =
            std::make_shared<Client>(loop_, edges_[static_cast<std::size_t>(edge)]->callers());
        client->send(
            fmt::format("{} {}{} HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer {}"
                        "\r\nX-Eelgrasscove-Request-Id: {}\r\n"
                        "X-Eelgrasscove-Deadline-Remaining: 4000\r\n"
                        "Connection: close\r\nContent-Length: 0\r\n\r\n",
                        kind == 0 ? "GET" : "POST", path, id, key, id));
        follow(id, client);
    }

    /// Reads the answer as a client does, until its connection ends.
    void follow(const std::string &id, const std::shared_ptr<Client> &client)
    {
        loop_.timers().once(20ms, [this, id, client] {
            soak::Asked &asked = record_.asked_[id];
            if (!client->ended_ && bootNow() - asked.sentAt_ < 6s) {
                follow(id, client);
                return;
            }
            client->stream_->close();
            asked.endedAt_ = bootNow();
            asked.status_ = client->status();
            asked.signed_ = client->received_.find("Response-Seal") != std::string::npos;
            HttpReader reader(
                HttpKind::Response, 64 * 1024,
                {[](HttpHead &&) {}, [&](std::string_view bytes) { asked.body_ += bytes; }, [] {}});
            reader.feed(client->received_);
            // Only an orderly end completes an answer without a length.
            if (client->ended_ && client->error_ == 0)
                reader.finish();
            asked.complete_ = reader.state() == HttpReadState::Complete;
        });
    }

    void fault()
    {
        EdgeProcess &edge =
            *edges_[static_cast<std::size_t>(below(static_cast<int>(edges_.size())))];
        Proxy &link = *links_[static_cast<std::size_t>(below(targetCount))];
        const int target = below(targetCount);
        switch (below(13)) {
        case 0:
            edge.signal(SIGKILL);
            restartLater(edge);
            break;
        case 1:
            edge.signal(SIGTERM);
            restartLater(edge);
            break;
        case 2:
            edge.signal(SIGSTOP);
            loop_.timers().once(Duration((200 + below(4000)) * 1000),
                                [&edge] { edge.signal(SIGCONT); });
            break;
        case 3:
            edge.signal(SIGHUP);
            break;
        case 4:
            store_.fault_ = static_cast<StoreFault>(1 + below(4));
            store_.cutWatches();
            loop_.timers().once(Duration((300 + below(4000)) * 1000),
                                [this] { store_.fault_ = StoreFault::None; });
            break;
        case 5:
            store_.delay_ = Duration(below(600) * 1000);
            break;
        case 6:
            store_.forgetHistory();
            store_.cutWatches();
            break;
        case 7:
            storeLink_.resetAll();
            break;
        case 8:
            link.fault_ = static_cast<LinkFault>(below(4));
            break;
        case 9:
            link.resetAll();
            break;
        case 10:
            putRules();
            break;
        case 11:
            withdraw();
            break;
        default:
            restartTarget(target);
            break;
        }
    }

    void restartLater(EdgeProcess &edge)
    {
        loop_.timers().once(Duration((300 + below(1500)) * 1000), [this, &edge] {
            if (edge.running())
                restartLater(edge);
            else
                edge.start();
        });
    }

    void withdraw()
    {
        if (keyWithdrawn_)
            return;
        keyWithdrawn_ = true;
        putRules();
        record_.withdrawnAt_["k3"] = bootNow();
    }

    /// The target leaves and another one starts at its address.
    void restartTarget(int target)
    {
        if (store_.fault_ == StoreFault::None && store_.delay_ == Duration::zero())
            record_.leftAt_[idOf(target)] = bootNow() + 1s;
        list(target, "draining");
        const std::string old = idOf(target);
        leaving_.insert(old);
        loop_.timers().once(2s, [this, target, old] {
            if (idOf(target) != old)
                return;
            ++starts_[target];
            list(target);
            store_.remove("servers/" + old);
        });
    }

    void calm()
    {
        store_.fault_ = StoreFault::None;
        store_.delay_ = Duration::zero();
        troubled_ = false;
        putRules();
        writeAgain();
        for (const auto &link : links_)
            link->fault_ = LinkFault::None;
        for (const auto &edge : edges_)
            edge->signal(SIGCONT);
    }

    EventLoop &loop_;
    std::minstd_rand random_;
    /// Of its own, so that each seed keeps its series of the other faults.
    std::minstd_rand rulesRandom_;
    std::minstd_rand restoreRandom_;
    Record record_;
    Store store_;
    Proxy storeLink_;
    std::vector<std::unique_ptr<Server>> targets_;
    std::vector<std::unique_ptr<Proxy>> links_;
    std::vector<std::unique_ptr<EdgeProcess>> edges_;
    std::map<int, int> starts_;
    std::set<std::string> leaving_;
    std::deque<Store::Copy> copies_;
    /// The operator's newest rules.
    std::string rules_;
    int version_ = 0;
    int asked_ = 0;
    bool keyWithdrawn_ = false;
    bool troubled_ = true;
    bool asking_ = true;
};

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usage, {argv + 1, argv + argc}, true, "soak 0.1.0");
    const std::string folder = options["--logs"].asString();
    std::filesystem::create_directories(folder);
    EventLoop loop;
    std::signal(SIGPIPE, SIG_IGN);
    const auto seed = static_cast<unsigned>(options["--seed"].asLong());
    Soak run(loop, options["--edge"].asString(), folder, seed,
             static_cast<int>(options["--processes"].asLong()));
    // Processes left behind would keep the addresses that all seeds use.
    loop.onSignals(
        [&run] {
            run.endProcesses();
            std::_Exit(2);
        },
        [] {});
    const auto broken = run.play(std::chrono::seconds(options["--seconds"].asLong()));
    std::size_t served = 0;
    for (const auto &[id, asked] : run.record().asked_)
        served += asked.status_ == 200 ? 1 : 0;
    fmt::print("seed {}: {} requests, {} served, {} promises broken\n", seed,
               run.record().asked_.size(), served, broken.size());
    for (const std::string &line : broken)
        fmt::print("  {}\n", line);
    std::fflush(stdout);
    std::_Exit(broken.empty() ? 0 : 1);
}
