#pragma once

/// The serving path over loopback connections for the tests of the entry: a store, two targets of
/// one service and an entry, and other entries.

#include "Edge/edge.h"

#include "../Shared/servingstandins.h"
#include "Observe/metrics.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standins {

inline constexpr const char *rulesFormat = R"({{"version":{},"routes":[
{{"name":"look","host":"desk.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":2000,
 "target_latency_ms":300,"service":"ledger","max_attempts":2}},
{{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"non_idempotent",
 "timeout_ms":1000,"target_latency_ms":300,"service":"ledger","max_attempts":1}},
{{"name":"open","host":"desk.example","path_prefix":"/open/","kind":"idempotent","timeout_ms":2000,
 "service":"ledger","max_attempts":1,"public":true}},
{{"name":"tell","host":"desk.example","path_prefix":"/tell/","kind":"streaming",
 "timeout_ms":4000,"target_latency_ms":500,"service":"ledger","max_attempts":2,"resumable":true}},
{{"name":"ask","host":"desk.example","path_prefix":"/ask/","kind":"streaming","timeout_ms":4000,
 "target_latency_ms":500,"service":"ledger","max_attempts":1,"target_gap_ms":300}},
{{"name":"advise","host":"desk.example","path_prefix":"/advise/","kind":"streaming",
 "timeout_ms":12000,"target_latency_ms":500,"service":"mind","max_attempts":1}}],
"services":[{{"name":"ledger","max_connections":96}},
{{"name":"mind","engine":{{"weights_mb":1000,"adapter_slots":20,
 "models":[{{"name":"m","weights_mb":500,"adapters":100,"adapter_mb":1}}]}}}}],
"limits":{{"max_header_bytes":4096,"max_body_bytes":1000,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}},
"tenants":[{{"name":"shed","api_keys":[{}],"plain_tokens":200,"rate_per_s":{},"burst":{}}}]}})";

inline const std::string signatureHeader = "X-Eelgrasscove-Response-Seal: 1.2.3\r\n";

struct ServingPath
{
    /// items are in the store before the entry starts.
    explicit ServingPath(int number, const std::map<std::string, std::string> &items = {},
                         const ServingBounds &bounds = {.revoke_ = 1500ms})
        : loop_(*new EventLoop), basePort_(17400 + number * 10), bounds_(bounds),
          store_(*new Store(loop_, address(0)))
    {
        for (int target = 0; target < 2; ++target) {
            targets_.push_back(new Server(loop_, address(1 + target),
                                          [this, target](const auto &from, SeenRequest &&request) {
                                              handlers_[target](from, std::move(request));
                                          }));
            handlers_.push_back([this](const auto &from, SeenRequest &&request) {
                from->answer(200, requestIdHeader(request) + signatureHeader, "done");
            });
            registerTarget(target, "i-" + std::to_string(target));
        }
        publishRules(1, "\"k1\"", 0);
        for (const auto &[key, value] : items)
            store_.put(key, value);
        edge_ = startEntry(4);
    }

    /// Starts an entry with three addresses from the offset on, the first for clients.
    Edge *startEntry(int offset)
    {
        ServingSettings settings;
        settings.vm_ = "edge-1";
        settings.dataCentre_ = "here";
        settings.callersListen_ = address(offset);
        settings.readinessListen_ = address(offset + 1);
        settings.peersListen_ = address(offset + 2);
        settings.store_ = address(0);
        settings.bounds_ = bounds_;
        auto *entry = new Edge(loop_, settings, "");
        BOOST_REQUIRE(entry->start());
        return entry;
    }

    std::string address(int offset) const
    {
        return "127.0.0.1:" + std::to_string(basePort_ + offset);
    }

    void registerTarget(int target, const std::string &id, const std::string &state = "ready",
                        int startedAt = 1)
    {
        store_.put("servers/" + id, targetItem(address(1 + target), state, startedAt));
    }

    /// Registers the first target as engine e-0 with the model m.
    void registerEngine(int startedAt = 1)
    {
        store_.put(
            "servers/e-0",
            fmt::format(R"({{"service":"mind","address":"{}","zone":"here","slots":8,)"
                        R"("state":"ready","born":{},"models":[{{"name":"m","version":1}}]}})",
                        address(1), startedAt));
    }

    std::shared_ptr<Client> sendAdapterRequest(const std::string &promptParts = "1:10")
    {
        return sendRequest("POST", fmt::format("/advise/{}", requests_),
                           "Authorization: Bearer k1\r\nX-Eelgrasscove-Model-Name: m/a1\r\n"
                           "X-Eelgrasscove-Prompt-Prefix: "
                               + promptParts + "\r\n");
    }

    static std::string targetItem(const std::string &address, const std::string &state,
                                  int startedAt, int slots = 6, const std::string &version = "v1")
    {
        return fmt::format(R"({{"service":"ledger","address":"{}","zone":"here","slots":{},)"
                           R"("state":"{}","born":{},"version":"{}"}})",
                           address, slots, state, startedAt, version);
    }

    void publishRules(int version, const std::string &keys, int limit)
    {
        store_.put("op/config",
                   fmt::format(fmt::runtime(rulesFormat), version, keys, limit, limit));
    }

    /// Publishes the same rules with another value for the list of accounts.
    void publishAccounts(int version, const std::string &accounts)
    {
        std::string rules = fmt::format(fmt::runtime(rulesFormat), version, "", 0, 0);
        const std::string name = "\"tenants\":";
        rules.resize(rules.find(name) + name.size());
        store_.put("op/config", rules + accounts + "}");
    }

    /// Publishes the same rules without a list of accounts.
    void publishWithoutAccounts(int version)
    {
        std::string rules = fmt::format(fmt::runtime(rulesFormat), version, "", 0, 0);
        rules.resize(rules.rfind(",\n\"tenants\":"));
        store_.put("op/config", rules + "}");
    }

    /// Waits until the entry serves requests, then clears the requests recorded at the targets.
    void waitUntilServing()
    {
        BOOST_REQUIRE(turnUntil(
            loop_, 5s, [&] { return sendAndAwaitHead("GET", "/open/a")->status() == 200; }));
        for (Server *target : targets_)
            target->seen_.clear();
    }

    static std::string requestIdHeader(const SeenRequest &request)
    {
        return "X-Eelgrasscove-Request-Id: "
            + std::string(request.head_.header("X-Eelgrasscove-Request-Id")) + "\r\n";
    }

    std::shared_ptr<Client> sendRequest(const std::string &method, const std::string &target,
                                        const std::string &headers = "Authorization: Bearer k1\r\n",
                                        const std::string &body = "")
    {
        auto client = std::make_shared<Client>(loop_, address(callersOffset_));
        client->send(fmt::format("{} {} HTTP/1.1\r\nHost: desk.example\r\n"
                                 "X-Eelgrasscove-Request-Id: r{}\r\n"
                                 "X-Eelgrasscove-Deadline-Remaining: 4000\r\n{}"
                                 "Content-Length: {}\r\n\r\n{}",
                                 method, target, ++requests_, headers, body.size(), body));
        return client;
    }

    std::shared_ptr<Client>
    sendAndAwaitHead(const std::string &method, const std::string &target,
                     const std::string &headers = "Authorization: Bearer k1\r\n",
                     const std::string &body = "")
    {
        auto client = sendRequest(method, target, headers, body);
        turnUntil(loop_, 5s, [&] {
            return client->ended_ || client->received_.find("\r\n\r\n") != std::string::npos;
        });
        return client;
    }

    /// Sends the entry reports of an engine's agent, from the engine's address.
    void sendEngineStates(int engineNumber, int reports, const std::string &residentAdapter,
                          std::uint64_t startedAt = 1)
    {
        const int sender = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in entry{};
        uv_ip4_addr("127.0.0.1", basePort_ + 6, &entry);
        for (int report = 0; report < reports; ++report) {
            EngineStateMessage state;
            state.target_ = nameHash("e-" + std::to_string(engineNumber));
            state.number_ = ++reports_;
            state.startedAt_ = startedAt;
            state.isUp_ = true;
            state.residencyNumber_ = reports_;
            state.hasLists_ = true;
            state.adapters_ = {{nameHash(residentAdapter), 1}};
            state.models_ = {nameHash("m")};
            const std::string bytes = encodePeerMessage(state);
            sendto(sender, bytes.data(), bytes.size(), 0,
                   reinterpret_cast<const sockaddr *>(&entry), sizeof entry);
        }
        close(sender);
    }

    /// Sends a datagram to the entry from another address.
    void sendDatagram(const std::string &bytes, const char *host = "127.0.0.1") const
    {
        const int sender = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in own{};
        uv_ip4_addr(host, 0, &own);
        BOOST_REQUIRE(bind(sender, reinterpret_cast<const sockaddr *>(&own), sizeof own) == 0);
        sockaddr_in entry{};
        uv_ip4_addr("127.0.0.1", basePort_ + 6, &entry);
        sendto(sender, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&entry),
               sizeof entry);
        close(sender);
    }

    static std::uint64_t metric(const std::string &name)
    {
        const std::string text = metricsText();
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
    }

    /// Sends requests one after the other until the target has received one.
    void sendUntilReceived(int target, const std::string &path = "/look/a")
    {
        targets_[target]->seen_.clear();
        for (int request = 0; request < 10 && targets_[target]->seen_.empty(); ++request)
            sendAndAwaitHead("POST", path);
        BOOST_REQUIRE(!targets_[target]->seen_.empty());
        for (Server *each : targets_)
            each->seen_.clear();
    }

    /// Whether the first target gets requests while the second has some and does not respond.
    bool isFirstTargetUsed()
    {
        handlers_[1] = [](const auto &, SeenRequest &&) {};
        constexpr int sent = 3;
        std::vector<std::shared_ptr<Client>> clients;
        clients.reserve(sent);
        for (int request = 0; request < sent; ++request)
            clients.push_back(sendRequest("POST", "/look/a"));
        return turnUntil(loop_, 500ms, [&] { return !targets_[0]->seen_.empty(); });
    }

    std::size_t receivedRequests() const
    {
        return targets_[0]->seen_.size() + targets_[1]->seen_.size();
    }

    /// The value of a header in the response that the client received, or an empty string.
    static std::string headerOf(const Client &client, const std::string &name)
    {
        const std::string field = "\r\n" + name + ": ";
        const std::size_t at = client.received_.find(field);
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + field.size();
        return client.received_.substr(begin, client.received_.find("\r\n", begin) - begin);
    }

    EventLoop &loop_;
    int basePort_;
    ServingBounds bounds_;
    Store &store_;
    std::vector<Server *> targets_;
    std::vector<ServerConnection::Handler> handlers_;
    Edge *edge_ = nullptr;
    /// Offset of the entry's address that requests are sent to.
    int callersOffset_ = 4;
    int requests_ = 0;
    std::uint64_t reports_ = 0;
};

/// Other entries, edge-2 or those named, which answer each state message of the entry with their
/// own and confirm the rules in it.
class PeerEntry
{
public:
    explicit PeerEntry(ServingPath &path, std::vector<std::string> vms = {"edge-2"})
        : path_(path), vms_(std::move(vms))
    {
        socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in own = loopback(7);
        BOOST_REQUIRE(bind(socket_, reinterpret_cast<const sockaddr *>(&own), sizeof own) == 0);
        state_.vm_ = nameHash("edge-2");
        state_.startedAtMicros_ = bootNow().time_since_epoch().count();
        state_.rulesVersion_ = 1;
        state_.rulesAgeMicros_ = 0;
        for (const std::string &vm : vms_)
            path.store_.put("eelgrasscove/entry/" + vm, path.address(7));
        timer_ = path.loop_.timers().every(50ms, [this] { answer(); });
    }

    ~PeerEntry()
    {
        path_.loop_.timers().cancel(timer_);
        close(socket_);
    }

    PeerEntry(const PeerEntry &) = delete;
    PeerEntry &operator=(const PeerEntry &) = delete;

    EntryState state_;
    int received_ = 0;
    /// The last message received.
    EntryState last_;
    /// Peers whose messages the entry has echoed.
    std::set<NameHash> echoed_;
    /// Senders of the messages that came by a relay.
    std::vector<NameHash> relayedFrom_;

private:
    sockaddr_in loopback(int offset) const
    {
        sockaddr_in address{};
        uv_ip4_addr("127.0.0.1", path_.basePort_ + offset, &address);
        return address;
    }

    void answer()
    {
        std::array<char, 65536> bytes{};
        for (ssize_t size = 0; (size = recv(socket_, bytes.data(), bytes.size(), 0)) > 0;) {
            const auto message =
                decodePeerMessage(std::string_view(bytes.data(), static_cast<std::size_t>(size)));
            const auto *received = message ? std::get_if<EntryState>(&*message) : nullptr;
            if (received == nullptr)
                continue;
            const std::string_view view(bytes.data(), static_cast<std::size_t>(size));
            if (routeOf(view) == DatagramRoute::Relayed) {
                relayedFrom_.push_back(received->vm_);
                continue;
            }
            ++received_;
            last_ = *received;
            for (const PeerEcho &echo : received->echoes_)
                echoed_.insert(echo.vm_);
            state_.timestampMicros_ = bootNow().time_since_epoch().count();
            state_.echoes_ = {{received->vm_, received->timestampMicros_, 0}};
            for (const std::string &vm : vms_) {
                state_.vm_ = nameHash(vm);
                const std::string reply = encodePeerMessage(state_);
                const sockaddr_in entry = loopback(6);
                sendto(socket_, reply.data(), reply.size(), 0,
                       reinterpret_cast<const sockaddr *>(&entry), sizeof entry);
            }
        }
    }

    ServingPath &path_;
    std::vector<std::string> vms_;
    int socket_ = -1;
    TimerId timer_ = 0;
};

} // namespace standins
