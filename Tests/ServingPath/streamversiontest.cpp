#include "servingpath.h"

#include "Agent/agent.h"

using namespace standins;

namespace {

/// The hosts of two engines, beside which agents run.
constexpr std::array<const char *, 2> agentHosts = {"127.0.0.3", "127.0.0.4"};

/// A serving path whose targets have software versions, with the agents of two engines.
struct VersionedPath : ServingPath
{
    explicit VersionedPath(int number, const std::string &firstVersion = "v1",
                           const std::string &secondVersion = "v2")
        : ServingPath(number)
    {
        setVersion(0, firstVersion);
        setVersion(1, secondVersion);
        for (const char *host : agentHosts) {
            const std::string engine = fmt::format("{}:{}", host, basePort_ + 1);
            store_.put(fmt::format("servers/e-{}", host),
                       fmt::format(R"({{"service":"mind","address":"{}","zone":"here","slots":8,)"
                                   R"("state":"ready","born":1,"version":"v1"}})",
                                   engine));
            ServingSettings settings;
            settings.vm_ = host;
            settings.dataCentre_ = "here";
            settings.engine_ = engine;
            settings.engineService_ = "mind";
            settings.peersListen_ = fmt::format("{}:{}", host, basePort_ + 6);
            settings.store_ = address(0);
            BOOST_REQUIRE((new eelgrasscove::Agent(loop_, settings))->start());
        }
        for (int target = 0; target < 2; ++target) {
            handlers_[target] = [this, target](const auto &from, SeenRequest &&request) {
                respond(target, from, request);
            };
        }
        waitUntilListed();
    }

    void setVersion(int target, const std::string &version, int startedAt = 1)
    {
        store_.put("servers/i-" + std::to_string(target),
                   targetItem(address(1 + target), "ready", startedAt, 6, version));
    }

    void waitUntilListed()
    {
        waitUntilServing();
        turnFor(loop_, 1500ms);
        for (Server *target : targets_)
            target->seen_.clear();
    }

    /// Streams an event after the last one that the request names; then ends the stream, or breaks
    /// it off if the target is to do so.
    void respond(int target, const std::shared_ptr<ServerConnection> &from,
                 const SeenRequest &request)
    {
        if (!request.head_.target_.starts_with("/tell/")) {
            from->answer(200, requestIdHeader(request) + signatureHeader, "done");
            return;
        }
        const std::string last(request.head_.header("Last-Event-Id"));
        const std::string event =
            fmt::format("id: {}\ndata: x\n\n", last.empty() ? 1 : std::stoi(last) + 1);
        from->stream_->write("HTTP/1.1 200 OK\r\n" + requestIdHeader(request) + signatureHeader
                             + "Transfer-Encoding: chunked\r\n\r\n"
                             + fmt::format("{:x}\r\n{}\r\n", event.size(), event));
        if (breaksOff_.at(static_cast<std::size_t>(target)))
            loop_.timers().once(30ms, [from] { from->stream_->close(true); });
        else
            from->stream_->write("0\r\n\r\n");
    }

    /// Lets a stream begin at this target and break off; the other target refuses meanwhile.
    void beginStreamAt(int target)
    {
        setBreaksOff(target, true);
        setBreaksOff(1 - target, true);
        const auto handler = handlers_[1 - target];
        handlers_[1 - target] = [](const auto &from, SeenRequest &&request) {
            from->answer(503, requestIdHeader(request) + "X-Eelgrasscove-Not-Executed: 1\r\n", "");
        };
        firstRequest_ = fmt::format("r{}", requests_ + 1);
        const auto client = sendRequest("POST", "/tell/a");
        BOOST_REQUIRE(turnUntil(loop_, 3s, [&] { return client->ended_; }));
        BOOST_REQUIRE(client->received_.find("id: 1\n") != std::string::npos);
        BOOST_REQUIRE(client->received_.find("\r\n0\r\n\r\n") == std::string::npos);
        handlers_[1 - target] = handler;
        setBreaksOff(target, false);
        setBreaksOff(1 - target, false);
        for (Server *each : targets_)
            each->seen_.clear();
        turnFor(loop_, 100ms);
    }

    /// Starts an entry on another host, to which requests are sent from now on.
    void startOtherEntry()
    {
        ServingSettings settings;
        settings.vm_ = "edge-2";
        settings.dataCentre_ = "here";
        settings.callersListen_ = address(7);
        settings.readinessListen_ = address(8);
        settings.peersListen_ = fmt::format("127.0.0.5:{}", basePort_ + 6);
        settings.store_ = address(0);
        settings.bounds_ = bounds_;
        BOOST_REQUIRE((new Edge(loop_, settings, ""))->start());
        callersOffset_ = 7;
    }

    void setBreaksOff(int target, bool breaksOff)
    {
        breaksOff_.at(static_cast<std::size_t>(target)) = breaksOff;
    }

    std::shared_ptr<Client> takeUp(const std::string &firstRequest, const std::string &key = "k1")
    {
        return sendAndAwaitHead("POST", "/tell/a",
                                fmt::format("Authorization: Bearer {}\r\nLast-Event-Id: 1\r\n"
                                            "Resumes: {}\r\n",
                                            key, firstRequest));
    }

    std::array<bool, 2> breaksOff_{};
    /// Id of the request that received the first event of the last stream.
    std::string firstRequest_;
};

} // namespace

BOOST_AUTO_TEST_CASE(interrupted_stream_is_not_continued_by_another_software_version)
{
    VersionedPath path(119);
    for (int target = 0; target < 2; ++target)
        path.setBreaksOff(target, true);
    for (int stream = 0; stream < 6; ++stream) {
        for (Server *each : path.targets_)
            each->seen_.clear();
        const Time sentAt = bootNow();
        const auto client = path.sendRequest("POST", "/tell/a");
        BOOST_REQUIRE(turnUntil(path.loop_, 4s, [&] { return client->ended_; }));
        // Only the target that broke it off has the version.
        BOOST_TEST((path.targets_[0]->seen_.empty() || path.targets_[1]->seen_.empty()));
        BOOST_TEST((bootNow() - sentAt < 500ms));
        turnFor(path.loop_, 300ms);
    }
}

BOOST_AUTO_TEST_CASE(interrupted_stream_is_continued_by_the_same_software_version)
{
    VersionedPath path(111, "v7", "v7");
    path.setBreaksOff(0, true);
    path.setBreaksOff(1, true);
    const auto client = path.sendRequest("POST", "/tell/a");
    BOOST_TEST(turnUntil(path.loop_, 4s,
                         [&] { return client->received_.find("id: 2\n") != std::string::npos; }));
}

BOOST_AUTO_TEST_CASE(stream_taken_up_again_goes_on_at_the_version_that_began_it)
{
    VersionedPath path(112);
    for (const int target : {0, 1, 0}) {
        path.beginStreamAt(target);
        // Once more, as the client's connection may break again.
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto client = path.takeUp(path.firstRequest_);
            BOOST_TEST(client->status() == 200U);
            BOOST_TEST(client->received_.find("id: 2\n") != std::string::npos);
        }
        BOOST_TEST(path.targets_[target]->seen_.size() == 2U);
        BOOST_TEST(path.targets_[1 - target]->seen_.empty());
    }
}

BOOST_AUTO_TEST_CASE(entry_started_anew_continues_a_stream_at_the_version_that_began_it)
{
    VersionedPath path(113);
    path.beginStreamAt(1);
    path.startOtherEntry();
    path.waitUntilListed();
    const auto client = path.takeUp(path.firstRequest_);
    BOOST_TEST(client->status() == 200U);
    BOOST_TEST(path.targets_[1]->seen_.size() == 1U);
    BOOST_TEST(path.targets_[0]->seen_.empty());
}

BOOST_AUTO_TEST_CASE(stream_of_a_version_that_has_left_is_refused_at_once_and_not_run)
{
    VersionedPath path(114);
    path.beginStreamAt(0);
    path.setVersion(0, "v2", 2);
    turnFor(path.loop_, 2s);
    const Time sentAt = bootNow();
    const auto client = path.takeUp(path.firstRequest_);
    BOOST_TEST(client->status() == 503U);
    BOOST_TEST(!ServingPath::headerOf(*client, "Retry-After").empty());
    BOOST_TEST((bootNow() - sentAt < 200ms));
    BOOST_TEST(path.receivedRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(stream_that_nobody_knows_is_refused_and_not_run)
{
    VersionedPath path(115, "v1", "v1");
    path.beginStreamAt(0);
    const std::string otherRequest = "r-other";
    for (const std::string &firstRequest : {otherRequest, std::string()}) {
        const Time sentAt = bootNow();
        BOOST_TEST(path.takeUp(firstRequest)->status() == 503U);
        BOOST_TEST((bootNow() - sentAt < 500ms));
    }
    const auto unnamed = path.sendAndAwaitHead("POST", "/tell/a",
                                               "Authorization: Bearer k1\r\nLast-Event-Id: 1\r\n");
    BOOST_TEST(unnamed->status() == 503U);
    const auto repeated = path.sendAndAwaitHead("POST", "/tell/a",
                                                "Authorization: Bearer k1\r\nLast-Event-Id: 1\r\n"
                                                "Resumes: a\r\nResumes: b\r\n");
    BOOST_TEST(repeated->status() == 400U);
    BOOST_TEST(repeated->received_.find("Resumes") != std::string::npos);
    BOOST_TEST(path.receivedRequests() == 0U);
    BOOST_TEST(path.takeUp(path.firstRequest_)->status() == 200U);
}

BOOST_AUTO_TEST_CASE(stream_of_another_account_is_not_found)
{
    VersionedPath path(116, "v1", "v1");
    path.publishAccounts(
        2, R"([{"name":"shed","api_keys":["k1"]},{"name":"barn","api_keys":["k2"]}])");
    turnFor(path.loop_, 500ms);
    path.beginStreamAt(0);
    BOOST_TEST(path.takeUp(path.firstRequest_, "k2")->status() == 503U);
    BOOST_TEST(path.takeUp(path.firstRequest_, "unknown")->status() == 401U);
    BOOST_TEST(path.receivedRequests() == 0U);
    BOOST_TEST(path.takeUp(path.firstRequest_)->status() == 200U);
}

BOOST_AUTO_TEST_CASE(stream_begun_at_a_target_without_a_version_is_not_continued)
{
    VersionedPath path(117, "", "");
    path.setBreaksOff(0, true);
    path.setBreaksOff(1, true);
    const auto client = path.sendRequest("POST", "/tell/a");
    BOOST_REQUIRE(turnUntil(path.loop_, 4s, [&] { return client->ended_; }));
    BOOST_TEST(path.receivedRequests() == 1U);
    BOOST_TEST(path.takeUp("r1")->status() == 503U);
}

BOOST_AUTO_TEST_CASE(new_streams_begin_at_any_software_version)
{
    VersionedPath path(118);
    for (auto &handler : path.handlers_) {
        handler = [&path](const auto &from, SeenRequest &&request) {
            path.loop_.timers().once(50ms,
                                     [&path, from, request] { path.respond(0, from, request); });
        };
    }
    constexpr int streams = 10;
    std::vector<std::shared_ptr<Client>> clients;
    clients.reserve(streams);
    for (int stream = 0; stream < streams; ++stream)
        clients.push_back(path.sendRequest("POST", "/tell/a"));
    for (const auto &client : clients)
        BOOST_TEST(turnUntil(path.loop_, 2s, [&] { return client->status() == 200U; }));
    for (const Server *target : path.targets_)
        BOOST_TEST(!target->seen_.empty());
}
