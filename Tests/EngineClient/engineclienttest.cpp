#define BOOST_TEST_MODULE EngineClient
#include "Target/engineclient.h"

#include "Vm/boundedring.h"
#include "localtarget.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>
#include <ostream>
#include <random>
#include <thread>
#include <vector>

using namespace eelgrasscove;

namespace {

constexpr Duration generous = std::chrono::seconds(30);
constexpr Duration shortIdleTime = std::chrono::milliseconds(50);
/// Longer than any test takes.
constexpr Duration longIdleTime = std::chrono::minutes(10);

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
const std::string wholeInChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
const std::string wholeThenClosed =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";
const std::string cutOff = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone";
const std::string cutOffInChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n";
const std::string outOfTurn = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";

/// How a run ended.
enum class End {
    Whole,
    Sent,
    NotSent,
    /// The event did not come.
    None,
};

std::ostream &operator<<(std::ostream &out, End end)
{
    constexpr std::array names = {"whole", "failed, sent", "failed, not sent", "none"};
    return out << names.at(static_cast<std::size_t>(end));
}

struct Client
{
    BoundedRing<EngineEvent> events_{1000};
    EngineClient client_;

    explicit Client(std::uint16_t port, bool engine = false, Duration idleTime = longIdleTime)
        : client_({.address_ = {"127.0.0.1", port}, .engine_ = engine, .idleTime_ = idleTime},
                  [this](EngineEvent &&event) { return events_.tryPush(std::move(event)); })
    {
        client_.start();
    }

    void start(const std::string &attempt, const std::string &method = "POST",
               bool idempotent = true)
    {
        StartRun run;
        run.attempt_ = {attempt};
        run.method_ = method;
        run.path_ = "/records";
        run.idempotent_ = idempotent;
        run.body_ = method == "POST" ? "chair" : "";
        BOOST_REQUIRE(client_.submit(run));
    }

    /// The next event of this kind; others are passed over.
    template <class T>
    std::optional<T> await()
    {
        while (auto event = events_.pop(generous)) {
            if (T *wanted = std::get_if<T>(&*event))
                return std::move(*wanted);
        }
        return std::nullopt;
    }

    End awaitEnd(const std::string &attempt)
    {
        while (auto event = events_.pop(generous)) {
            if (const auto *ended = std::get_if<RunEnded>(&*event)) {
                BOOST_TEST(ended->attempt_.text_ == attempt);
                return End::Whole;
            }
            if (const auto *failed = std::get_if<RunFailed>(&*event)) {
                BOOST_TEST(failed->attempt_.text_ == attempt);
                return failed->sent_ ? End::Sent : End::NotSent;
            }
        }
        return End::None;
    }
};

/// Two runs, one after the other.
struct TwoRuns
{
    const char *name_;
    Exchange first_;
    Exchange second_;
    End firstEnd_;
    End secondEnd_;
    std::size_t connections_;
};

const std::vector<TwoRuns> twoRuns = {
    {"kept", {whole}, {whole}, End::Whole, End::Whole, 1},
    {"kept, chunks", {wholeInChunks}, {wholeInChunks}, End::Whole, End::Whole, 1},
    {"not to be kept", {wholeThenClosed}, {whole}, End::Whole, End::Whole, 2},
    {"closed while idle", {whole, true}, {whole}, End::Whole, End::Whole, 2},
    {"says more than its answer", {whole + outOfTurn}, {whole}, End::Whole, End::Whole, 2},
    {"closed at the second request", {whole}, {"", true}, End::Whole, End::Sent, 1},
    {"second answered out of turn", {whole}, {outOfTurn}, End::Whole, End::Sent, 1},
    {"no answer", {"", true}, {whole}, End::Sent, End::Whole, 2},
    {"truncated", {cutOff, true}, {whole}, End::Sent, End::Whole, 2},
    {"truncated chunks", {cutOffInChunks, true}, {whole}, End::Sent, End::Whole, 2},
    {"second truncated", {whole}, {cutOff, true}, End::Whole, End::Sent, 1},
    {"first may be told so", {outOfTurn}, {whole}, End::Whole, End::Whole, 1},
};

} // namespace

BOOST_AUTO_TEST_CASE(connectionsAreKeptWhereTheyAreFit)
{
    for (const TwoRuns &row : twoRuns) {
        BOOST_TEST_CONTEXT(row.name_)
        {
            LocalTarget target(
                [&](std::size_t number) { return number ? row.second_ : row.first_; });
            Client client(target.port());
            client.start("a");
            BOOST_TEST(client.awaitEnd("a") == row.firstEnd_);
            BOOST_TEST(target.awaitServed(1));
            client.start("b");
            BOOST_TEST(client.awaitEnd("b") == row.secondEnd_);
            BOOST_TEST(target.connections() == row.connections_);
            const std::vector<Received> received = target.received();
            BOOST_REQUIRE(received.size() == 2);
            BOOST_TEST(received.at(0).attempt_ == "a");
            BOOST_TEST(received.at(1).attempt_ == "b");
        }
    }
}

BOOST_AUTO_TEST_CASE(answerWithoutBodyLeavesTheConnectionFit)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
    LocalTarget target([&](std::size_t) { return Exchange{head}; });
    Client client(target.port());
    for (const char *attempt : {"a", "b"}) {
        client.start(attempt, "HEAD");
        BOOST_TEST(client.awaitEnd(attempt) == End::Whole);
    }
    BOOST_TEST(target.connections() == 1);
}

BOOST_AUTO_TEST_CASE(aRunThatMayHappenOnceOnlyHasItsOwnConnection)
{
    LocalTarget target([](std::size_t) { return Exchange{whole}; });
    Client client(target.port());
    client.start("a");
    BOOST_TEST(client.awaitEnd("a") == End::Whole);
    client.start("b", "POST", false);
    BOOST_TEST(client.awaitEnd("b") == End::Whole);
    BOOST_TEST(target.connections() == 2);
}

BOOST_AUTO_TEST_CASE(idleConnectionIsClosedInTime)
{
    LocalTarget target([](std::size_t) { return Exchange{whole}; });
    Client client(target.port(), false, shortIdleTime);
    client.start("a");
    BOOST_TEST(client.awaitEnd("a") == End::Whole);
    BOOST_TEST(target.awaitEnded(1));
    client.start("b");
    BOOST_TEST(client.awaitEnd("b") == End::Whole);
    BOOST_TEST(target.connections() == 2);
}

// The target closes each connection around the time at which the next run takes it: whatever the
// order, no run comes twice, none is lost in silence, and what is told as not sent did not come.
BOOST_AUTO_TEST_CASE(closingRaceNeitherLosesNorDoubles)
{
    constexpr std::uint32_t seed = 20261204;
    constexpr int runs = 400;
    constexpr int longestMicros = 150;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    std::vector<std::chrono::microseconds> waits;
    waits.reserve(runs);
    std::uniform_int_distribution<int> micros(0, longestMicros);
    for (int run = 0; run < runs; ++run)
        waits.emplace_back(micros(random));
    LocalTarget target([&](std::size_t number) {
        return Exchange{whole, true, waits.at(number % waits.size())};
    });
    Client client(target.port());
    std::map<std::string, End> ends;
    for (int run = 0; run < runs; ++run) {
        const std::string attempt = std::to_string(run);
        client.start(attempt);
        ends[attempt] = client.awaitEnd(attempt);
        std::this_thread::sleep_for(std::chrono::microseconds(micros(random)));
    }
    std::map<std::string, int> came;
    for (const Received &received : target.received())
        ++came[received.attempt_];
    std::map<End, int> tally;
    for (const auto &[attempt, end] : ends) {
        ++tally[end];
        const int least = end == End::Whole ? 1 : 0;
        const int most = end == End::NotSent ? 0 : 1;
        BOOST_TEST(came[attempt] >= least);
        BOOST_TEST(came[attempt] <= most);
        BOOST_TEST(end != End::None);
    }
    BOOST_TEST_MESSAGE("whole " << tally[End::Whole] << ", unknown " << tally[End::Sent]
                                << ", not sent " << tally[End::NotSent] << ", connections "
                                << target.connections());
}

BOOST_AUTO_TEST_CASE(cancelEndsARunOnce)
{
    for (const bool engine : {false, true}) {
        BOOST_TEST_CONTEXT("engine " << engine)
        {
            LocalTarget target([](std::size_t number) {
                return number == 0 ? Exchange{cutOff} : Exchange{wholeThenClosed, true};
            });
            Client client(target.port(), engine);
            client.start("a");
            BOOST_TEST(client.await<RunHead>().has_value());
            BOOST_TEST(client.client_.submit(CancelRun{AttemptId{"a"}}));
            BOOST_TEST(client.awaitEnd("a") == End::Sent);
            const std::vector<Received> received = target.received();
            BOOST_TEST(received.size() == (engine ? 2 : 1));
            if (engine) {
                BOOST_TEST(received.back().path_ == "/cancel");
                BOOST_TEST(received.back().body_.find("\"a\"") != std::string::npos);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(absentTargetHasGotNothing)
{
    std::uint16_t port = 0;
    {
        const LocalTarget target([](std::size_t) { return Exchange{}; });
        port = target.port();
    }
    Client client(port, true);
    client.start("a");
    BOOST_TEST(client.awaitEnd("a") == End::NotSent);
    BOOST_TEST(client.client_.submit(ReadEngineState{7}));
    const std::optional<EngineUnreachable> unreachable = client.await<EngineUnreachable>();
    BOOST_REQUIRE(unreachable.has_value());
    BOOST_TEST(unreachable->read_ == 7);
}
