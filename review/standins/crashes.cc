/// Case: a request crashes each runner that runs it and comes again, and in between all edges are
/// killed at once. How many more runners get it after it has crashed the third?

#include "world.hh"

using namespace review;

namespace {

constexpr int edgeCount = 4;
constexpr int runnerCount = 8;
/// Bounds of the site nvsn-werkbank-grown.
constexpr Bounds bounds{5000, 3000, 8, 4000, 88};
/// Retries after the third crash that the rule allows.
constexpr int allowedRetries = 3;
constexpr Duration runnerRestartTime = 2500ms;
constexpr Duration edgeRestartTime = 700ms;
/// The caller's pause before it asks again.
constexpr Duration repeatPeriod = 2s;

constexpr const char *rulesText = R"({"version":7,"routes":[
{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":4000,"target_latency_ms":300,"service":"ledger","max_attempts":1,"priority":2},
{"name":"ask","host":"desk.example","path_prefix":"/ask/","kind":"streaming",
 "timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":300,"service":"ledger",
 "max_attempts":1,"priority":1}],
"services":[{"name":"ledger","max_connections":200}],
"tenants":[{"name":"shed","api_keys":["k1"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
 "idle_timeout_ms":30000}})";

class Case
{
public:
    Case(EventLoop &loop, const Options &options) : loop_(loop), record_(options.record_)
    {
        std::vector<std::string> hosts = {"127.85.0.250"};
        for (int each = 1; each <= runnerCount; ++each)
            hosts.push_back(fmt::format("127.85.2.{}", each));
        for (int each = 1; each <= edgeCount; ++each)
            hosts.push_back(fmt::format("127.85.1.{}", each));
        const int port = freePort(hosts);
        store_ = std::make_unique<Store>(loop, fmt::format("127.85.0.250:{}", port));
        for (int number = 1; number <= runnerCount; ++number) {
            auto runner = std::make_unique<Runner>(
                loop, fmt::format("127.85.2.{}:{}", number, port), fmt::format("r{}", number));
            runner->onRun_ = [this](Runner &at, const Request &request) {
                return run(at, request);
            };
            runners_.push_back(std::move(runner));
            list(*runners_.back());
        }
        store_->put("op/config", rulesText);
        for (int edge = 1; edge <= edgeCount; ++edge) {
            const std::string name = fmt::format("edge-utrecht-{}", edge);
            const std::string host = fmt::format("127.85.1.{}", edge);
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
        loop_.timers().every(30ms, [this] { sendSound(); });
        turnFor(loop_, std::chrono::milliseconds(bounds.stableMs_) + 1s);
        isAsking_ = true;
        askAgain();
        // Until it has crashed the third runner, and the runner is back.
        turnUntil(loop_, 30s, [this] { return crashes_.size() >= 3; });
        turnFor(loop_, std::chrono::milliseconds(bounds.stableMs_) + 500ms);
        if (hasTrouble) {
            isAsking_ = false;
            record_.note("all edges are killed");
            for (const auto &edge : edges_)
                edge->signal(SIGKILL);
            killedAt_ = bootNow();
            turnFor(loop_, edgeRestartTime);
            for (const auto &edge : edges_)
                edge->start();
            waitUntilReady(loop_, edges_, 15s);
            record_.note("the edges are back");
            backAt_ = bootNow();
            turnFor(loop_, std::chrono::milliseconds(bounds.stableMs_) + 500ms);
            isAsking_ = true;
        }
        turnFor(loop_, 45s);
        isSending_ = isAsking_ = false;
        turnFor(loop_, 3s);
        endAll(loop_, edges_);
        return judge();
    }

private:
    void list(const Runner &runner)
    {
        store_->put("servers/" + runner.id(),
                    fmt::format(R"({{"service":"ledger","address":"{}","zone":"utrecht",)"
                                R"("version":1,"slots":6,"state":"ready","cold_left_ms":0,)"
                                R"("sequence":0,"born":{}}})",
                                runner.server_.address_.text(),
                                1700000000000 + runner.incarnation_));
    }

    /// Other clients' streams.
    void sendSound()
    {
        if (!isSending_)
            return;
        const std::string id = fmt::format("s{:05}", ++sent_);
        ask(loop_, edges_[static_cast<std::size_t>(sent_ % edgeCount)]->callers(),
            requestText("POST", "/ask/" + id, id, "k1", "text " + id, 12'000), 12s,
            [this, id](const Answer &answer) {
                const bool isServed = answer.status_ == 200 && answer.isComplete_;
                ++(isServed ? served_ : unserved_);
            });
    }

    /// The same path, caller and body each time, at the next edge.
    void askAgain()
    {
        loop_.timers().once(repeatPeriod, [this] { askAgain(); });
        if (!isAsking_)
            return;
        const std::string id = fmt::format("bad-{}", ++asked_);
        const auto &edge = edges_[static_cast<std::size_t>(asked_ % edgeCount)];
        record_.note("{} is sent to {}", id, edge->name_);
        ask(loop_, edge->callers(),
            requestText("POST", "/book/chair", id, "k1", "the text that crashes runners", 4000),
            4500ms, [this, id](const Answer &answer) {
                record_.note("{} is answered {} {}", id, answer.status_, answer.error_);
            });
    }

    std::optional<std::string> run(Runner &at, const Request &request)
    {
        if (request.body_ != "the text that crashes runners")
            return "text";
        const std::size_t cut = at.runs_.size() - 1;
        cut_ += cut;
        const Time now = bootNow();
        const Duration stable = std::chrono::milliseconds(bounds.stableMs_);
        std::string verdict;
        if (crashes_.size() >= 3 && now > crashes_[2] + stable) {
            // In touch: the edge's process ran for all of stable_ms.
            const bool isInTouch = killedAt_ == Time{} || now < killedAt_ || now > backAt_ + stable;
            ++(isInTouch ? retries_ : retriesOutOfTouch_);
            verdict = isInTouch ? fmt::format(": retry {} after the third crash", retries_)
                                : ": retry by an edge out of touch";
        }
        crashes_.push_back(now);
        record_.note("{} crashes {}, crash {}, with {} other requests running{}", request.id(),
                     at.id(), crashes_.size(), cut, verdict);
        // After the connection's handler has returned.
        loop_.timers().once(Duration::zero(), [this, &at] {
            const std::string old = at.id();
            at.crash();
            loop_.timers().once(runnerRestartTime, [this, &at, old] {
                at.restart();
                list(at);
                store_->remove("servers/" + old);
                record_.note("{} starts in the place of {}", at.id(), old);
            });
        });
        return std::nullopt;
    }

    int judge()
    {
        record_.say(fmt::format("{} requests that crash runners, {} crashes, {} other runs cut "
                                "off by them; {} streams served, {} not",
                                asked_, crashes_.size(), cut_, served_, unserved_));
        const bool isBroken = retries_ > allowedRetries;
        record_.say(fmt::format("retries later than stable_ms after the third crash: {} by edges "
                                "in touch ({} are allowed), {} by others; BUDGET {}",
                                retries_, allowedRetries, retriesOutOfTouch_,
                                isBroken ? "is broken" : "holds"));
        if (crashes_.size() < 3)
            return exitNotRun;
        return isBroken ? exitBroken : exitHeld;
    }

    EventLoop &loop_;
    Record record_;
    std::unique_ptr<Store> store_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<EdgeProcess>> edges_;
    std::vector<Time> crashes_;
    Time killedAt_;
    Time backAt_;
    std::size_t cut_ = 0;
    int sent_ = 0;
    int asked_ = 0;
    int served_ = 0;
    int unserved_ = 0;
    int retries_ = 0;
    int retriesOutOfTouch_ = 0;
    bool isSending_ = true;
    bool isAsking_ = false;
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
