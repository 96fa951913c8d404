#pragma once

/// A runner leaves and its entry is removed from the list, beside a disruption of the store. Does
/// the runner still get requests later than the bound for leaving runners?

#include "world.hh"

namespace review {

enum class StoreTrouble {
    None,
    /// Right after the removal the store drops its history.
    ForgetsHistory,
    /// The store takes calls and answers none for a while. The removal comes when all machines are
    /// in touch again.
    FallsSilent,
};

constexpr int runnerCount = 8;
/// Bounds of the site nvsn-werkbank-grown.
constexpr Bounds bounds{5000, 3000, 8, 4000, 88};
/// Time for which the store is silent; the site's largest dose is 4.5 s.
constexpr Duration silentTime = 2s;
/// Time for which the runner that leaves goes on serving: 4 s beyond drain_ms. A stream takes 1.8
/// s.
constexpr Duration serveAfterRemoval = 7s;

constexpr const char *rulesText = R"({"version":7,"routes":[
{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":1500,"target_latency_ms":100,"service":"ledger","max_attempts":1,"priority":2},
{"name":"ask","host":"desk.example","path_prefix":"/ask/","kind":"streaming",
 "timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":300,"service":"ledger",
 "max_attempts":1,"priority":1}],
"services":[{"name":"ledger","max_connections":200}],
"tenants":[{"name":"shed","api_keys":["k1"]}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,
 "idle_timeout_ms":30000}})";

class LeavingCase
{
public:
    LeavingCase(EventLoop &loop, const Options &options, int edgeCount)
        : loop_(loop), record_(options.record_), edgeCount_(edgeCount)
    {
        std::vector<std::string> hosts = {"127.83.0.250"};
        for (int edge = 0; edge < edgeCount_; ++edge)
            hosts.push_back(hostOf(edge));
        for (int runner = 0; runner < runnerCount; ++runner)
            hosts.push_back(runnerHost(runner));
        const int port = freePort(hosts);
        store_ = std::make_unique<Store>(loop, fmt::format("127.83.0.250:{}", port));
        store_->onQuery_ = [this](const auto &from, const auto &call, const auto &prefix) {
            if (isNoted_ && prefix == "servers/")
                record_.note("{} of servers/, from {}", call, from);
        };
        for (int number = 0; number < runnerCount; ++number) {
            auto runner = std::make_unique<Runner>(
                loop, fmt::format("{}:{}", runnerHost(number), port), fmt::format("r{}", number));
            runner->zone_ = zoneOf(number);
            runner->onRun_ = [this](Runner &at, const Request &request) {
                return run(at, request);
            };
            runners_.push_back(std::move(runner));
            list(number);
        }
        store_->put("op/config", rulesText);
        for (int edge = 0; edge < edgeCount_; ++edge) {
            const std::string name = fmt::format("edge-{}-{}", zoneOf(edge), edge);
            edges_.push_back(std::make_unique<EdgeProcess>(
                loop, options.edge_, options.folder_,
                edgeSettings(name, zoneOf(edge), hostOf(edge), port, store_->address(), bounds),
                name, hostOf(edge), port));
        }
    }

    int play(StoreTrouble trouble)
    {
        // As after a rolling restart, so that the edges don't query the list in step.
        for (const auto &edge : edges_) {
            edge->start();
            turnFor(loop_, 430ms);
        }
        if (!waitUntilReady(loop_, edges_, 15s)) {
            record_.say("an edge did not become ready");
            endAll(loop_, edges_);
            return exitNotRun;
        }
        // Runners that started lately tell with each heartbeat how long they stay slow.
        for (int number = 1; number < runnerCount; ++number)
            loop_.timers().once(Duration(number * 160'000), [this, number] { warm(number); });
        loop_.timers().every(25ms, [this] { send(); });
        turnFor(loop_, 14s);
        isNoted_ = true;
        if (trouble == StoreTrouble::FallsSilent) {
            record_.note("the store takes calls and answers none");
            store_->setSilent(true);
            turnFor(loop_, silentTime);
            store_->setSilent(false);
            disturbedUntil_ = bootNow();
            record_.note("the store answers again, on new connections");
            turnFor(loop_, std::chrono::milliseconds(bounds.stableMs_) + 200ms);
        }
        removedAt_ = bootNow();
        leaving_ = runners_[0]->id();
        store_->remove("servers/" + leaving_);
        record_.note("the store removes the entry of {}, which leaves; revision {}", leaving_,
                     store_->revision_);
        if (trouble == StoreTrouble::ForgetsHistory) {
            turnFor(loop_, 50ms);
            store_->forgetHistory();
            disturbedUntil_ = bootNow();
            record_.note("the store drops its history");
        }
        turnFor(loop_, removedAt_ + serveAfterRemoval - bootNow());
        record_.note("{} ends, {} requests run there", leaving_, runners_[0]->runs_.size());
        for (const auto &[id, run] : runners_[0]->runs_)
            lost_.insert(id);
        runners_[0]->crash();
        turnFor(loop_, 4s);
        isSending_ = false;
        turnFor(loop_, 3s);
        endAll(loop_, edges_);
        return judge();
    }

private:
    static std::string zoneOf(int number) { return number % 2 == 0 ? "utrecht" : "leiden"; }
    static std::string hostOf(int edge) { return fmt::format("127.83.1.{}", edge + 1); }
    static std::string runnerHost(int runner) { return fmt::format("127.83.2.{}", runner + 1); }

    void list(int number, int coldMillis = 0)
    {
        const Runner &runner = *runners_[static_cast<std::size_t>(number)];
        store_->put("servers/" + runner.id(),
                    fmt::format(R"({{"service":"ledger","address":"{}","zone":"{}","version":1,)"
                                R"("slots":{},"state":"ready","cold_left_ms":{},"sequence":0,)"
                                R"("born":1700000000000}})",
                                runner.server_.address_.text(), runner.zone_, runner.slots_,
                                coldMillis));
    }

    void warm(int number)
    {
        constexpr int heartbeatMillis = 1200;
        constexpr int coldMillis = 60'000;
        int &left = coldLeft_.try_emplace(number, coldMillis).first->second;
        left = std::max(left - heartbeatMillis, 0);
        if (!store_->isSilent())
            list(number, left);
        loop_.timers().once(std::chrono::milliseconds(heartbeatMillis),
                            [this, number] { warm(number); });
    }

    /// Every other request is a stream.
    void send()
    {
        if (!isSending_)
            return;
        const bool isStream = ++asked_ % 2 == 0;
        const std::string id = fmt::format("{}{:05}", isStream ? 's' : 'b', asked_);
        EdgeProcess &edge = *edges_[static_cast<std::size_t>(asked_ / 2 % edgeCount_)];
        sentAt_[id] = bootNow();
        sentTo_[id] = edge.name_;
        const int millis = isStream ? 12'000 : 1500;
        ask(loop_, edge.callers(),
            requestText("POST", (isStream ? "/ask/" : "/book/") + id, id, "k1", "text " + id,
                        millis),
            std::chrono::milliseconds(millis + 500), [this, id](const Answer &answer) {
                const bool isServed = answer.status_ == 200 && answer.isComplete_;
                ++(isServed ? served_ : unserved_);
                if (!isServed || lost_.contains(id))
                    record_.note("{} ends: status {}, {}, {} bytes, {}", id, answer.status_,
                                 answer.isComplete_ ? "whole" : "not whole", answer.body_.size(),
                                 answer.error_);
            });
    }

    std::optional<std::string> run(Runner &at, const Request &request)
    {
        const std::string id = request.id();
        ++ran_;
        if (at.id() == leaving_) {
            const Time now = bootNow();
            const Time sent = sentAt_.at(id);
            const Duration bound = std::chrono::milliseconds(bounds.drainMs_);
            const Duration stable = std::chrono::milliseconds(bounds.stableMs_);
            // In touch: no disturbance of the store in the last stable_ms, from the client's
            // sending on.
            const bool isLate = sent > removedAt_ + bound;
            const bool isInTouch = disturbedUntil_ == Time{} || sent > disturbedUntil_ + stable;
            if (isLate)
                ++(isInTouch ? late_ : lateOutOfTouch_);
            record_.note("{} from {} reaches {} {:.0f} ms after its removal{}", id, sentTo_[id],
                         leaving_, seconds(now - removedAt_) * 1000,
                         isLate ? (isInTouch ? ": too late" : ": late, out of touch") : "");
            if (isLate && isInTouch)
                lateFrom_.insert(sentTo_[id]);
        }
        return "text " + id;
    }

    int judge()
    {
        record_.say(fmt::format("{} requests, {} runs, {} served, {} not served", asked_, ran_,
                                served_, unserved_));
        record_.say(fmt::format(
            "requests at {} later than drain_ms ({} ms) after the acknowledged removal, from edges "
            "in touch: {} (from {} of {} edges); from edges out of touch: {}; runs cut off when it "
            "ended: {}",
            leaving_, bounds.drainMs_, late_, lateFrom_.size(), edgeCount_, lateOutOfTouch_,
            lost_.size()));
        record_.say(late_ > 0 ? "DRAIN is broken" : "DRAIN holds");
        return late_ > 0 ? exitBroken : exitHeld;
    }

    EventLoop &loop_;
    Record record_;
    std::unique_ptr<Store> store_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::vector<std::unique_ptr<EdgeProcess>> edges_;
    std::map<int, int> coldLeft_;
    std::map<std::string, Time> sentAt_;
    std::map<std::string, std::string> sentTo_;
    std::set<std::string> lost_;
    std::set<std::string> lateFrom_;
    std::string leaving_;
    Time removedAt_;
    Time disturbedUntil_;
    int edgeCount_;
    int asked_ = 0;
    int ran_ = 0;
    int late_ = 0;
    int lateOutOfTouch_ = 0;
    int served_ = 0;
    int unserved_ = 0;
    bool isSending_ = true;
    bool isNoted_ = false;
};

} // namespace review
