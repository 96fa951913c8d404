#define BOOST_TEST_MODULE EngineClient
#include "Target/engineclient.h"

#include "../Shared/cuttingserver.h"
#include "../Shared/endlessserver.h"
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

/// Maximum wait for an event.
constexpr Duration eventTimeout = std::chrono::seconds(30);
constexpr Duration shortIdleTimeout = std::chrono::milliseconds(50);
/// Longer than the whole test, so that no connection is closed for being idle.
constexpr Duration longIdleTimeout = std::chrono::minutes(10);

const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
const std::string completeChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
const std::string completeResponseThenClose =
    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone";
const std::string truncatedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone";
const std::string truncatedChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n";
const std::string requestTimeoutResponse =
    "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";

/// Time within which the client ends an exchange with a target that sends bytes without end.
constexpr Duration endlessTimeout = std::chrono::seconds(5);
/// The limit of a reply, 8 MiB, in small chunks of twice its size, and what the sockets hold.
constexpr std::uint64_t mostTakenBytes = 32ULL * 1024 * 1024;

bool awaitClosed(const standins::EndlessServer &server)
{
    const auto end = std::chrono::steady_clock::now() + endlessTimeout;
    while (server.closed() == 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return server.closed() == 1;
}

/// How a run ended.
enum class RunResult {
    Complete,
    /// Failed; the request may have reached the target.
    FailedSent,
    /// Failed; the request did not reach the target.
    FailedNotSent,
    /// No event within the timeout.
    NoEvent,
};

std::ostream &operator<<(std::ostream &out, RunResult result)
{
    constexpr std::array names = {"whole", "failed, sent", "failed, not sent", "none"};
    return out << names.at(static_cast<std::size_t>(result));
}

struct Client
{
    BoundedRing<EngineEvent> events_{1000};
    EngineClient client_;

    explicit Client(std::uint16_t port, bool engine = false, Duration idleTimeout = longIdleTimeout)
        : client_({.address_ = {"127.0.0.1", port},
                   .isModelEngine_ = engine,
                   .idleTimeout_ = idleTimeout},
                  [this](EngineEvent &&event) { return events_.tryPush(std::move(event)); })
    {
        client_.start();
    }

    void start(const std::string &attempt, const std::string &method = "POST",
               bool idempotent = true, std::size_t bodyBytes = 0)
    {
        StartRun run;
        run.attempt_ = {attempt};
        run.method_ = method;
        run.path_ = "/records";
        run.idempotent_ = idempotent;
        run.body_ = method == "POST" ? "chair" : "";
        run.body_.append(bodyBytes, 'u');
        BOOST_REQUIRE(client_.submit(run));
    }

    /// Returns the next event of this type and discards others; empty after the timeout.
    template <class T>
    std::optional<T> await()
    {
        while (auto event = events_.pop(eventTimeout)) {
            if (T *found = std::get_if<T>(&*event))
                return std::move(*found);
        }
        return std::nullopt;
    }

    RunResult awaitResult(const std::string &attempt, Duration timeout = eventTimeout)
    {
        while (auto event = events_.pop(timeout)) {
            if (const auto *ended = std::get_if<RunEnded>(&*event)) {
                BOOST_TEST(ended->attempt_.text_ == attempt);
                return RunResult::Complete;
            }
            if (const auto *failed = std::get_if<RunFailed>(&*event)) {
                BOOST_TEST(failed->attempt_.text_ == attempt);
                return failed->mayHaveBeenSent_ ? RunResult::FailedSent : RunResult::FailedNotSent;
            }
        }
        return RunResult::NoEvent;
    }
};

/// Two consecutive runs, the server's reactions and the expected results.
struct ConsecutiveRuns
{
    const char *name_;
    Exchange first_;
    Exchange second_;
    RunResult firstResult_;
    RunResult secondResult_;
    std::size_t expectedConnections_;
};

const std::vector<ConsecutiveRuns> consecutiveRuns = {
    {"kept", {completeResponse}, {completeResponse}, RunResult::Complete, RunResult::Complete, 1},
    {"kept, chunks",
     {completeChunkedResponse},
     {completeChunkedResponse},
     RunResult::Complete,
     RunResult::Complete,
     1},
    {"response asks to close",
     {completeResponseThenClose},
     {completeResponse},
     RunResult::Complete,
     RunResult::Complete,
     2},
    {"closed while idle",
     {completeResponse, true},
     {completeResponse},
     RunResult::Complete,
     RunResult::Complete,
     2},
    {"unrequested response after the first",
     {completeResponse + requestTimeoutResponse},
     {completeResponse},
     RunResult::Complete,
     RunResult::Complete,
     2},
    {"closed at the second request",
     {completeResponse},
     {"", true},
     RunResult::Complete,
     RunResult::FailedSent,
     1},
    {"408 on a reused connection",
     {completeResponse},
     {requestTimeoutResponse},
     RunResult::Complete,
     RunResult::FailedSent,
     1},
    {"no answer", {"", true}, {completeResponse}, RunResult::FailedSent, RunResult::Complete, 2},
    {"truncated",
     {truncatedResponse, true},
     {completeResponse},
     RunResult::FailedSent,
     RunResult::Complete,
     2},
    {"truncated chunks",
     {truncatedChunkedResponse, true},
     {completeResponse},
     RunResult::FailedSent,
     RunResult::Complete,
     2},
    {"second truncated",
     {completeResponse},
     {truncatedResponse, true},
     RunResult::Complete,
     RunResult::FailedSent,
     1},
    {"408 on a new connection",
     {requestTimeoutResponse},
     {completeResponse},
     RunResult::Complete,
     RunResult::Complete,
     1},
};

} // namespace

BOOST_AUTO_TEST_CASE(connection_is_reused_only_after_a_complete_response)
{
    for (const ConsecutiveRuns &row : consecutiveRuns) {
        BOOST_TEST_CONTEXT(row.name_)
        {
            LocalTarget target(
                [&](std::size_t number) { return number ? row.second_ : row.first_; });
            Client client(target.port());
            client.start("a");
            BOOST_TEST(client.awaitResult("a") == row.firstResult_);
            BOOST_TEST(target.awaitExchanges(1));
            client.start("b");
            BOOST_TEST(client.awaitResult("b") == row.secondResult_);
            BOOST_TEST(target.connections() == row.expectedConnections_);
            const std::vector<ReceivedRequest> received = target.received();
            BOOST_REQUIRE(received.size() == 2);
            BOOST_TEST(received.at(0).attempt_ == "a");
            BOOST_TEST(received.at(1).attempt_ == "b");
        }
    }
}

BOOST_AUTO_TEST_CASE(connection_is_reused_after_a_head_request)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
    LocalTarget target([&](std::size_t) { return Exchange{head}; });
    Client client(target.port());
    for (const char *attempt : {"a", "b"}) {
        client.start(attempt, "HEAD");
        BOOST_TEST(client.awaitResult(attempt) == RunResult::Complete);
    }
    BOOST_TEST(target.connections() == 1);
}

BOOST_AUTO_TEST_CASE(non_idempotent_run_uses_a_new_connection)
{
    LocalTarget target([](std::size_t) { return Exchange{completeResponse}; });
    Client client(target.port());
    client.start("a");
    BOOST_TEST(client.awaitResult("a") == RunResult::Complete);
    client.start("b", "POST", false);
    BOOST_TEST(client.awaitResult("b") == RunResult::Complete);
    BOOST_TEST(target.connections() == 2);
}

BOOST_AUTO_TEST_CASE(idle_connection_is_closed_at_its_idle_timeout)
{
    LocalTarget target([](std::size_t) { return Exchange{completeResponse}; });
    Client client(target.port(), false, shortIdleTimeout);
    client.start("a");
    BOOST_TEST(client.awaitResult("a") == RunResult::Complete);
    BOOST_TEST(target.awaitEnded(1));
    client.start("b");
    BOOST_TEST(client.awaitResult("b") == RunResult::Complete);
    BOOST_TEST(target.connections() == 2);
}

// The target closes each connection at about the time at which the next run reuses it. In whichever
// order the two happen, no run is received twice, each run results in an event, and a run reported
// as not sent was not received.
BOOST_AUTO_TEST_CASE(run_racing_with_a_close_is_neither_lost_nor_sent_twice)
{
    constexpr std::uint32_t seed = 20261204;
    constexpr int runs = 400;
    constexpr int maxDelayMicros = 150;
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    std::vector<std::chrono::microseconds> closeDelays;
    closeDelays.reserve(runs);
    std::uniform_int_distribution<int> delayMicros(0, maxDelayMicros);
    for (int run = 0; run < runs; ++run)
        closeDelays.emplace_back(delayMicros(random));
    LocalTarget target([&](std::size_t number) {
        return Exchange{completeResponse, true, closeDelays.at(number % closeDelays.size())};
    });
    Client client(target.port());
    std::map<std::string, RunResult> results;
    for (int run = 0; run < runs; ++run) {
        const std::string attempt = std::to_string(run);
        client.start(attempt);
        results[attempt] = client.awaitResult(attempt);
        std::this_thread::sleep_for(std::chrono::microseconds(delayMicros(random)));
    }
    std::map<std::string, int> receivedCount;
    for (const ReceivedRequest &received : target.received())
        ++receivedCount[received.attempt_];
    std::map<RunResult, int> resultCounts;
    for (const auto &[attempt, result] : results) {
        ++resultCounts[result];
        const int minimum = result == RunResult::Complete ? 1 : 0;
        const int maximum = result == RunResult::FailedNotSent ? 0 : 1;
        BOOST_TEST(receivedCount[attempt] >= minimum);
        BOOST_TEST(receivedCount[attempt] <= maximum);
        BOOST_TEST(result != RunResult::NoEvent);
    }
    BOOST_TEST_MESSAGE("whole " << resultCounts[RunResult::Complete] << ", unknown "
                                << resultCounts[RunResult::FailedSent] << ", not sent "
                                << resultCounts[RunResult::FailedNotSent] << ", connections "
                                << target.connections());
}

BOOST_AUTO_TEST_CASE(cancelled_run_fails_and_an_engine_gets_one_cancel_call)
{
    for (const bool engine : {false, true}) {
        BOOST_TEST_CONTEXT("engine " << engine)
        {
            LocalTarget target([](std::size_t number) {
                return number == 0 ? Exchange{truncatedResponse}
                                   : Exchange{completeResponseThenClose, true};
            });
            Client client(target.port(), engine);
            client.start("a");
            BOOST_TEST(client.await<RunResponseHead>().has_value());
            BOOST_TEST(client.client_.submit(CancelRun{AttemptId{"a"}}));
            BOOST_TEST(client.awaitResult("a") == RunResult::FailedSent);
            const std::vector<ReceivedRequest> received = target.received();
            BOOST_TEST(received.size() == (engine ? 2 : 1));
            if (engine) {
                BOOST_TEST(received.back().path_ == "/cancel");
                BOOST_TEST(received.back().body_.find("\"a\"") != std::string::npos);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(run_fails_at_a_target_whose_response_has_no_end_outside_its_body)
{
    std::vector<standins::EndlessAnswer> rows = standins::endlessHeads();
    for (const standins::EndlessAnswer &row : standins::endlessBodies()) {
        const std::string part = row.part_;
        if (part.starts_with("chunk ") || part.starts_with("trailer"))
            rows.push_back(row);
    }
    for (const standins::EndlessAnswer &row : rows) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            standins::EndlessServer server(row.prefix_, row.filler_);
            Client client(server.port());
            client.start("a");
            BOOST_TEST(client.awaitResult("a", endlessTimeout) == RunResult::FailedSent);
            BOOST_TEST(awaitClosed(server));
            BOOST_TEST(server.sentBytes() < mostTakenBytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(response_with_an_invalid_status_fails_the_run_and_closes_the_connection)
{
    for (const std::string status : {"000", "099", "0200", "600", "999"}) {
        const std::string response =
            "HTTP/1.1 " + status + " Note\r\nContent-Length: 4\r\n\r\ndone";
        LocalTarget target([&](std::size_t) { return Exchange{response}; });
        Client client(target.port(), true);
        for (const char *attempt : {"a", "b"}) {
            client.start(attempt);
            BOOST_TEST(client.awaitResult(attempt) == RunResult::FailedSent, status);
        }
        BOOST_TEST(target.connections() == 2);
        BOOST_REQUIRE(client.client_.submit(ReadEngineState{7}));
        BOOST_TEST(client.await<EngineUnreachable>().has_value(), status);
        BOOST_REQUIRE(client.client_.submit(AdapterOrder{.adapter_ = {"ledger"}}));
        const auto order = client.await<OrderEnded>();
        BOOST_TEST((order && order->outcome_ == OrderOutcome::Unknown), status);
    }
}

BOOST_AUTO_TEST_CASE(run_is_answered_by_its_final_response_after_interim_ones)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    LocalTarget target([&](std::size_t) { return Exchange{interim + interim + completeResponse}; });
    Client client(target.port(), true);
    for (const char *attempt : {"a", "b"}) {
        client.start(attempt);
        const auto head = client.await<RunResponseHead>();
        BOOST_TEST((head && head->status_ == 200));
        BOOST_TEST(client.awaitResult(attempt) == RunResult::Complete);
    }
    BOOST_TEST(target.connections() == 1);
    BOOST_REQUIRE(client.client_.submit(AdapterOrder{.adapter_ = {"ledger"}}));
    const auto order = client.await<OrderEnded>();
    BOOST_TEST((order && order->outcome_ == OrderOutcome::Done));
}

BOOST_AUTO_TEST_CASE(run_fails_at_a_target_that_sends_interim_responses_without_end)
{
    standins::EndlessServer server("", "HTTP/1.1 103 Early Hints\r\n\r\n");
    Client client(server.port());
    client.start("a");
    BOOST_TEST(client.awaitResult("a", endlessTimeout) == RunResult::FailedSent);
    BOOST_TEST(awaitClosed(server));
}

BOOST_AUTO_TEST_CASE(cancelled_run_is_not_read_on_where_its_body_has_no_end)
{
    standins::EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "x");
    Client client(server.port());
    client.start("a");
    BOOST_TEST(client.await<RunResponseBytes>().has_value());
    BOOST_REQUIRE(client.client_.submit(CancelRun{{"a"}}));
    BOOST_TEST(client.awaitResult("a") == RunResult::FailedSent);
    BOOST_TEST(awaitClosed(server));
}

BOOST_AUTO_TEST_CASE(state_of_an_engine_whose_answer_has_no_end_is_unreachable)
{
    std::vector<standins::EndlessAnswer> rows = standins::endlessHeads();
    rows.insert(rows.end(), standins::endlessBodies().begin(), standins::endlessBodies().end());
    for (const standins::EndlessAnswer &row : rows) {
        BOOST_TEST_CONTEXT(row.part_)
        {
            standins::EndlessServer server(row.prefix_, row.filler_);
            Client client(server.port(), true);
            BOOST_REQUIRE(client.client_.submit(ReadEngineState{7}));
            BOOST_TEST(client.await<EngineUnreachable>().has_value());
            BOOST_TEST(awaitClosed(server));
            BOOST_TEST(server.sentBytes() < mostTakenBytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(unreachable_target_fails_the_run_as_not_sent)
{
    std::uint16_t port = 0;
    {
        const LocalTarget target([](std::size_t) { return Exchange{}; });
        port = target.port();
    }
    Client client(port, true);
    client.start("a");
    BOOST_TEST(client.awaitResult("a") == RunResult::FailedNotSent);
    BOOST_TEST(client.client_.submit(ReadEngineState{7}));
    const std::optional<EngineUnreachable> unreachable = client.await<EngineUnreachable>();
    BOOST_REQUIRE(unreachable.has_value());
    BOOST_TEST(unreachable->readNumber_ == 7);
}

// Guards against a part of a response without a length being forwarded as complete when the target
// ends while the request is still being sent.
BOOST_AUTO_TEST_CASE(
    response_without_length_that_ends_before_the_request_is_received_is_not_complete)
{
    using standins::ConnectionEnd;
    constexpr std::size_t smallBytes = 500UL * 1024;
    constexpr std::size_t largeBytes = 48UL * 1024 * 1024;
    for (const ConnectionEnd end :
         {ConnectionEnd::Reset, ConnectionEnd::Closed, ConnectionEnd::ClosedAfterRequest}) {
        standins::CuttingServer server([end](const std::string &) {
            return standins::CuttingServer::Answer{"HTTP/1.1 200 OK\r\n\r\npart", end};
        });
        for (const std::size_t bytes : {smallBytes, largeBytes}) {
            Client client(server.port());
            client.start("a", "POST", false, bytes);
            BOOST_TEST(client.awaitResult("a")
                       == (end == ConnectionEnd::ClosedAfterRequest ? RunResult::Complete
                                                                    : RunResult::FailedSent));
        }
    }
}
