#pragma once

/// Stand-ins for the platform around the edges: its store, runners and clients, on one event loop,
/// and the edges as processes of their own. They speak the published protocol.

#include "Net/eventloop.h"
#include "Net/httpreader.h"
#include "Net/tcpstream.h"
#include "Platform/base64.h"

#include <fmt/core.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace review {

using namespace eelgrasscove;
using namespace std::chrono_literals;

/// Exit codes of a case.
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// What was sent, answered and run, with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &file) : out_(file), startedAt_(bootNow()) { }

    template <class... Parts>
    void note(fmt::format_string<Parts...> format, Parts &&...parts)
    {
        out_ << fmt::format("{:9.3f} ", seconds(bootNow() - startedAt_))
             << fmt::format(format, std::forward<Parts>(parts)...) << '\n';
    }

    void say(const std::string &line)
    {
        out_ << line << '\n';
        out_.flush();
        fmt::print("{}\n", line);
        std::fflush(stdout);
    }

    double at(Time time) const { return seconds(time - startedAt_); }

private:
    std::ofstream out_;
    Time startedAt_;
};

inline void turnFor(EventLoop &loop, Duration span)
{
    const Time end = bootNow() + span;
    while (bootNow() < end) {
        loop.timers().once(std::min<Duration>(end - bootNow(), 20ms), [] {});
        uv_run(&loop.uv(), UV_RUN_ONCE);
    }
}

inline bool turnUntil(EventLoop &loop, Duration most, const std::function<bool()> &condition)
{
    const Time end = bootNow() + most;
    while (!condition()) {
        if (bootNow() > end)
            return false;
        loop.timers().once(2ms, [] {});
        uv_run(&loop.uv(), UV_RUN_ONCE);
    }
    return true;
}

inline bool isFree(const std::string &host, int port)
{
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int descriptor = socket(AF_INET, type, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        const bool isBound =
            bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        close(descriptor);
        if (!isBound)
            return false;
    }
    return true;
}

/// Returns the first of four ports that are free on all these loopback addresses.
inline int freePort(const std::vector<std::string> &hosts)
{
    std::random_device device;
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int first = 20000 + static_cast<int>(device() % 10000);
        const bool areFree = std::all_of(hosts.begin(), hosts.end(), [first](const auto &host) {
            return isFree(host, first) && isFree(host, first + 1) && isFree(host, first + 2)
                && isFree(host, first + 3);
        });
        if (areFree)
            return first;
    }
    fmt::print("no free port\n");
    std::exit(exitNotRun);
}

struct Request
{
    HttpHead head_;
    std::string body_;

    std::string id() const { return std::string(head_.header("X-Eelgrasscove-Request-Id")); }
};

/// One connection of a server.
struct Connection : std::enable_shared_from_this<Connection>
{
    using Handler = std::function<void(const std::shared_ptr<Connection> &, Request &&)>;

    Connection(std::shared_ptr<TcpStream> stream, const Handler &handler)
        : stream_(std::move(stream)), handler_(handler),
          reader_(HttpKind::Request, 64 * 1024,
                  {[this](HttpHead &&head) { request_.head_ = std::move(head); },
                   [this](std::string_view bytes) { request_.body_ += bytes; }, [] {}})
    { }

    void start()
    {
        stream_->start({nullptr, [keep = shared_from_this()](auto bytes) { keep->read(bytes); },
                        [this](int) { hasEnded_ = true; }});
    }

    void read(std::string_view bytes)
    {
        const auto keep = shared_from_this();
        held_ += bytes;
        while (!held_.empty() && !stream_->isClosed()) {
            held_.erase(0, reader_.feed(held_));
            if (reader_.state() != HttpReadState::Complete)
                return;
            Request request = std::move(request_);
            request_ = {};
            reader_.reset();
            handler_(keep, std::move(request));
        }
    }

    void answer(unsigned status, const std::string &headers, const std::string &body)
    {
        if (hasEnded_)
            return;
        stream_->write(fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}", status,
                                   statusPhrase(status), headers, body.size(), body));
    }

    std::shared_ptr<TcpStream> stream_;
    Handler handler_;
    HttpReader reader_;
    Request request_;
    std::string held_;
    bool hasEnded_ = false;
};

class Server
{
public:
    Server(EventLoop &loop, const std::string &address, Connection::Handler handler)
        : loop_(loop), handler_(std::move(handler))
    {
        if (!parseEndpoint(address, address_))
            std::exit(exitNotRun);
        listen();
    }

    void listen()
    {
        listener_ = std::make_unique<TcpListener>();
        const int result = listener_->listen(loop_, address_, [this](auto stream) {
            std::erase_if(connections_, [](const auto &each) { return each->hasEnded_; });
            auto connection = std::make_shared<Connection>(std::move(stream), handler_);
            connections_.push_back(connection);
            connection->start();
        });
        if (result != 0) {
            fmt::print("{} is taken\n", address_.text());
            std::exit(exitNotRun);
        }
    }

    /// Stops listening and resets all connections, as a process that crashes does.
    void crash()
    {
        listener_->close();
        // libuv still needs the closing handle.
        closed_.push_back(std::move(listener_));
        for (const auto &connection : connections_) {
            connection->hasEnded_ = true;
            connection->stream_->close(true);
        }
        connections_.clear();
    }

    EventLoop &loop_;
    Endpoint address_;
    Connection::Handler handler_;
    std::unique_ptr<TcpListener> listener_;
    std::vector<std::unique_ptr<TcpListener>> closed_;
    std::vector<std::shared_ptr<Connection>> connections_;
};

/// The platform's store.
class Store
{
public:
    Store(EventLoop &loop, const std::string &address)
        : loop_(loop), server_(loop, address, [this](const auto &from, Request &&request) {
              // "4 ms an answer"
              loop_.timers().once(4ms, [this, from, request = std::move(request)] {
                  if (isSilent_)
                      dead_.insert(from);
                  if (!from->hasEnded_ && !dead_.contains(from))
                      handle(from, request);
              });
          })
    {
        loop_.timers().every(50ms, [this] { endLeases(); });
    }

    std::string address() const { return server_.address_.text(); }

    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0)
    {
        Item &item = items_[key];
        ++revision_;
        if (item.created_ == 0)
            item.created_ = revision_;
        item.value_ = value;
        item.revision_ = revision_;
        item.lease_ = lease;
        history_.push_back({key, item, false});
        wake();
    }

    void remove(const std::string &key)
    {
        if (items_.erase(key) == 0)
            return;
        history_.push_back({key, {"", ++revision_, 0, 0}, true});
        wake();
    }

    /// Drops the history: a watch from an earlier revision gets 410.
    void forgetHistory()
    {
        history_.clear();
        forgottenUpTo_ = revision_;
    }

    /// While it is silent, the store takes calls and answers none. "A connection on which a
    /// response is lost returns nothing further."
    void setSilent(bool isSilent) { isSilent_ = isSilent; }
    bool isSilent() const { return isSilent_; }

    /// Called with the address of the sender for each range and watch of a prefix.
    std::function<void(const std::string &from, const std::string &call, const std::string &prefix)>
        onQuery_;
    std::uint64_t revision_ = 10;

private:
    struct Item
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct Event
    {
        std::string key_;
        Item item_;
        bool isDeleted_ = false;
    };

    struct Lease
    {
        Duration ttl_;
        Time endsAt_;
    };

    struct Waiting
    {
        std::shared_ptr<Connection> from_;
        std::string prefix_;
        std::uint64_t after_ = 0;
        Time until_;
    };

    static std::string queryOf(const std::string &target, const std::string &name)
    {
        for (std::size_t at = target.find('?'); at != std::string::npos;
             at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + "=") != 0)
                continue;
            const std::size_t begin = at + 2 + name.size();
            return target.substr(begin, target.find('&', begin) - begin);
        }
        return "";
    }

    static std::string textOf(const std::string &key, const Item &item)
    {
        return fmt::format(R"({{"key":"{}","value":"{}","revision":{},"created":{},"lease":{}}})",
                           key, encodeBase64(item.value_), item.revision_, item.created_,
                           item.lease_);
    }

    void handle(const std::shared_ptr<Connection> &from, const Request &request)
    {
        const std::string &target = request.head_.target_;
        const std::string path = target.substr(0, target.find('?'));
        const std::string last = path.substr(path.rfind('/') + 1);
        const std::string prefix = queryOf(target, "path_prefix");
        if (path == "/eelgrasscove/kv-key") {
            const auto item = items_.find(queryOf(target, "key"));
            if (item == items_.end())
                from->answer(404, "", "");
            else
                from->answer(200, "", textOf(item->first, item->second));
        } else if (path == "/eelgrasscove/kv-range") {
            noteQuery(from, "range", prefix);
            range(from, prefix, queryOf(target, "after"));
        } else if (path == "/eelgrasscove/kv-watch") {
            noteQuery(from, "watch", prefix);
            watch(from, target, prefix);
        } else if (path == "/eelgrasscove/kv-txn") {
            write(from, request.body_);
        } else if (path == "/eelgrasscove/kv-lease") {
            rapidjson::Document document;
            document.Parse(request.body_.data(), request.body_.size());
            const Duration ttl = std::chrono::milliseconds(document["ttl_ms"].GetInt64());
            leases_[++lastLease_] = {ttl, bootNow() + ttl};
            from->answer(
                200, "",
                fmt::format(R"({{"lease":{},"ttl_ms":{}}})", lastLease_, ttl.count() / 1000));
        } else if (path.find("/kv-keep/") != std::string::npos) {
            const auto lease = leases_.find(std::stoull(last));
            if (lease == leases_.end()) {
                from->answer(404, "", "");
                return;
            }
            lease->second.endsAt_ = bootNow() + lease->second.ttl_;
            from->answer(200, "", fmt::format(R"({{"lease":{}}})", lease->first));
        } else if (path.find("/kv-lease-end/") != std::string::npos) {
            endLease(std::stoull(last));
            from->answer(200, "", "{}");
        } else {
            from->answer(404, "", "");
        }
    }

    void noteQuery(const std::shared_ptr<Connection> &from, const std::string &call,
                   const std::string &prefix)
    {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        if (!onQuery_
            || getpeername(from->stream_->descriptor(), reinterpret_cast<sockaddr *>(&peer), &size)
                != 0)
            return;
        char host[32] = {};
        inet_ntop(AF_INET, &peer.sin_addr, host, sizeof host);
        onQuery_(fmt::format("{}:{}", host, ntohs(peer.sin_port)), call, prefix);
    }

    void range(const std::shared_ptr<Connection> &from, const std::string &prefix,
               const std::string &after)
    {
        constexpr int mostItems = 500;
        std::string list;
        int count = 0;
        bool hasMore = false;
        for (const auto &[key, item] : items_) {
            if (!key.starts_with(prefix) || (!after.empty() && key <= after))
                continue;
            if (count == mostItems) {
                hasMore = true;
                break;
            }
            list += (count++ == 0 ? "" : ",") + textOf(key, item);
        }
        from->answer(
            200, "",
            fmt::format(R"({{"items":[{}],"has_more":{},"at":{}}})", list, hasMore, revision_));
    }

    void watch(const std::shared_ptr<Connection> &from, const std::string &target,
               const std::string &prefix)
    {
        const std::uint64_t after = std::stoull(queryOf(target, "after"));
        if (after < forgottenUpTo_) {
            from->answer(410, "", "");
            return;
        }
        const Duration wait = std::chrono::milliseconds(std::stoll(queryOf(target, "wait_ms")));
        waiting_.push_back({from, prefix, after, bootNow() + wait});
        loop_.timers().once(wait, [this] { wake(); });
        wake();
    }

    void write(const std::shared_ptr<Connection> &from, const std::string &body)
    {
        rapidjson::Document document;
        document.Parse(body.data(), body.size());
        for (const auto &row : document["precondition"].GetArray()) {
            const auto item = items_.find(row["key"].GetString());
            const std::uint64_t revision = item == items_.end() ? 0 : item->second.revision_;
            if (revision != row["revision"].GetUint64()) {
                from->answer(412, "", R"({"items":[]})");
                return;
            }
        }
        for (const auto &item : document["write"].GetArray()) {
            const std::uint64_t lease = item.HasMember("lease") ? item["lease"].GetUint64() : 0;
            if (lease != 0 && !leases_.contains(lease)) {
                from->answer(404, "", "");
                return;
            }
        }
        for (const auto &item : document["write"].GetArray())
            put(item["key"].GetString(), *decodeBase64(item["value"].GetString()),
                item.HasMember("lease") ? item["lease"].GetUint64() : 0);
        for (const auto &key : document["remove"].GetArray())
            remove(key.GetString());
        from->answer(200, "", fmt::format(R"({{"revision":{}}})", revision_));
    }

    void endLease(std::uint64_t lease)
    {
        leases_.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease_ == lease)
                keys.push_back(key);
        }
        for (const std::string &key : keys)
            remove(key);
    }

    void endLeases()
    {
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : leases_) {
            if (bootNow() > lease.endsAt_)
                ended.push_back(id);
        }
        for (const std::uint64_t lease : ended)
            endLease(lease);
    }

    void wake()
    {
        const Time now = bootNow();
        waiting_.remove_if([&](const Waiting &waiting) {
            if (waiting.from_->hasEnded_ || dead_.contains(waiting.from_))
                return true;
            std::string list;
            for (const Event &event : history_) {
                if (event.item_.revision_ <= waiting.after_
                    || !event.key_.starts_with(waiting.prefix_))
                    continue;
                list += list.empty() ? "" : ",";
                list += event.isDeleted_
                    ? fmt::format(R"({{"key":"{}","revision":{},"deleted":true}})", event.key_,
                                  event.item_.revision_)
                    : textOf(event.key_, event.item_);
            }
            if (list.empty() && now < waiting.until_)
                return false;
            if (isSilent_) {
                dead_.insert(waiting.from_);
                return true;
            }
            waiting.from_->answer(200, "",
                                  fmt::format(R"({{"events":[{}],"at":{}}})", list, revision_));
            return true;
        });
    }

    EventLoop &loop_;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::list<Waiting> waiting_;
    /// Connections on which a response was lost.
    std::set<std::shared_ptr<Connection>> dead_;
    bool isSilent_ = false;
    std::uint64_t lastLease_ = 70;
    std::uint64_t forgottenUpTo_ = 0;
    Server server_;
};

/// A runner of a plain service. Each start is a new incarnation with a new id.
class Runner
{
public:
    struct Run
    {
        std::string request_;
        std::shared_ptr<Connection> from_;
    };

    Runner(EventLoop &loop, const std::string &address, std::string name)
        : loop_(loop), name_(std::move(name)),
          server_(loop, address,
                  [this](const auto &from, Request &&request) { onRequest(from, request); })
    { }

    std::string id() const { return fmt::format("i-{}-{}", name_, incarnation_); }

    void crash()
    {
        isUp_ = false;
        runs_.clear();
        server_.crash();
    }

    void restart()
    {
        ++incarnation_;
        isUp_ = true;
        server_.listen();
    }

    /// Requests of this path get a stream of events instead of a body.
    std::string streamPath_ = "/ask/";
    int events_ = 10;
    Duration eventPause_ = 200ms;
    /// Called when a request begins to run. Returns the answer's body, or nothing if it gets none.
    std::function<std::optional<std::string>(Runner &, const Request &)> onRun_;
    std::function<void(Runner &, const Request &)> onArrival_;

    EventLoop &loop_;
    std::string name_;
    std::string service_ = "ledger";
    std::string zone_ = "utrecht";
    int slots_ = 6;
    int incarnation_ = 1;
    Duration work_ = 60ms;
    bool isUp_ = true;
    std::map<std::string, Run> runs_;
    Server server_;

private:
    void sendEvent(const std::string &id, int number)
    {
        const auto run = runs_.find(id);
        if (run == runs_.end() || run->second.from_->hasEnded_)
            return;
        const std::string event = fmt::format("id: {}\ndata: {}\n\n", number, id);
        run->second.from_->stream_->write(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
        if (number == events_) {
            run->second.from_->stream_->write("0\r\n\r\n");
            runs_.erase(run);
            return;
        }
        loop_.timers().once(eventPause_, [this, id, number] { sendEvent(id, number + 1); });
    }

    void onRequest(const std::shared_ptr<Connection> &from, const Request &request)
    {
        const std::string id = request.id();
        const std::string head = fmt::format("X-Eelgrasscove-Request-Id: {}\r\n", id);
        if (request.head_.header("X-Eelgrasscove-Expect-Instance") != this->id()) {
            from->answer(421,
                         head + "X-Eelgrasscove-Not-Executed: 1\r\nX-Eelgrasscove-Instance-Id: "
                             + this->id() + "\r\n",
                         "");
            return;
        }
        if (onArrival_)
            onArrival_(*this, request);
        std::erase_if(runs_, [](const auto &run) { return run.second.from_->hasEnded_; });
        constexpr std::size_t queue = 24;
        if (runs_.size() >= static_cast<std::size_t>(slots_) + queue) {
            from->answer(503, head + "X-Eelgrasscove-Not-Executed: 1\r\n", "");
            return;
        }
        runs_[id] = {id, from};
        const std::optional<std::string> body = onRun_(*this, request);
        if (!body)
            return;
        if (request.head_.target_.starts_with(streamPath_)) {
            from->stream_->write("HTTP/1.1 200 OK\r\n" + head
                                 + "X-Eelgrasscove-Response-Seal: 3e1b.07.1\r\n"
                                   "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
            sendEvent(id, 1);
            return;
        }
        loop_.timers().once(work_, [this, id, head, body, incarnation = incarnation_] {
            const auto run = runs_.find(id);
            if (incarnation != incarnation_ || run == runs_.end())
                return;
            const std::shared_ptr<Connection> to = run->second.from_;
            runs_.erase(run);
            to->answer(200,
                       head
                           + fmt::format("X-Eelgrasscove-Response-Seal: 3e1b.07.{:x}\r\n"
                                         "X-Eelgrasscove-Instance-Load: {},0,{}\r\n"
                                         "Keep-Alive: timeout=5\r\n",
                                         body->size(), runs_.size(), slots_),
                       *body);
        });
    }
};

/// One edge as a process of its own, started with the command of the deploy file.
class EdgeProcess
{
public:
    EdgeProcess(EventLoop &loop, std::string program, std::string folder, std::string settings,
                std::string name, std::string host, int port)
        : loop_(loop), program_(std::move(program)), folder_(std::move(folder)),
          settings_(std::move(settings)), name_(std::move(name)), host_(std::move(host)),
          port_(port)
    { }

    std::string callers() const { return fmt::format("{}:{}", host_, port_); }
    std::string readiness() const { return fmt::format("{}:{}", host_, port_ + 1); }

    void start()
    {
        const std::string file = fmt::format("{}/{}.ini", folder_, name_);
        std::ofstream(file) << settings_;
        const std::string log = fmt::format("{}/{}.log", folder_, name_);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        uv_stdio_container_t streams[3] = {};
        streams[0].flags = UV_IGNORE;
        for (int at = 1; at < 3; ++at) {
            streams[at].flags = UV_INHERIT_FD;
            streams[at].data.fd = out;
        }
        char *arguments[] = {program_.data(), const_cast<char *>(file.c_str()), nullptr};
        uv_process_options_t options{};
        options.file = program_.c_str();
        options.args = arguments;
        options.stdio = streams;
        options.stdio_count = 3;
        options.exit_cb = [](uv_process_t *process, std::int64_t status, int signal) {
            auto *edge = static_cast<EdgeProcess *>(process->data);
            edge->isRunning_ = false;
            edge->exitStatus_ = status;
            edge->exitSignal_ = signal;
        };
        process_ = new uv_process_t{};
        process_->data = this;
        if (uv_spawn(&loop_.uv(), process_, &options) != 0)
            std::exit(exitNotRun);
        close(out);
        isRunning_ = true;
        // For the script, which ends what is left if this program is killed.
        std::ofstream(folder_ + "/pids", std::ios::app) << process_->pid << '\n';
    }

    void signal(int number)
    {
        if (isRunning_)
            uv_process_kill(process_, number);
    }

    EventLoop &loop_;
    std::string program_;
    std::string folder_;
    std::string settings_;
    std::string name_;
    std::string host_;
    int port_;
    uv_process_t *process_ = nullptr;
    std::int64_t exitStatus_ = 0;
    int exitSignal_ = 0;
    bool isRunning_ = false;
};

/// The bounds of a site, in the words of the edges' settings.
struct Bounds
{
    int revokeMs_ = 5000;
    int drainMs_ = 2000;
    int graceS_ = 8;
    int stableMs_ = 3000;
    int retrySlack_ = 52;
};

/// The settings that the template of the deploy file gives for an edge.
inline std::string edgeSettings(const std::string &name, const std::string &zone,
                                const std::string &host, int port, const std::string &store,
                                const Bounds &bounds)
{
    return fmt::format("[vm]\nname = {0}\ndata_centre = {1}\nip = {2}\n"
                       "[listen]\ncallers = {2}:{3}\nreadiness = {2}:{4}\npeers = {2}:{5}\n"
                       "metrics = {2}:{6}\n[platform]\nstore = {7}\n"
                       "[bounds]\nrevoke = {8}ms\ndrain = {9}ms\ngrace = {10}s\n"
                       "adapter_version = 5000ms\nretry_share = 0.2\nretry_window = 10s\n"
                       "retry_slack = {11}\nallowance_window = 8s\nallowance_slack = 17000\n",
                       name, zone, host, port, port + 1, port + 2, port + 3, store,
                       bounds.revokeMs_, bounds.drainMs_, bounds.graceS_, bounds.retrySlack_);
}

/// What a client got.
struct Answer
{
    /// 0 where no head was received.
    unsigned status_ = 0;
    bool isComplete_ = false;
    bool isSealed_ = false;
    std::string body_;
    std::string error_;
};

/// A client with a new connection for one request.
inline void ask(EventLoop &loop, const std::string &address, const std::string &bytes,
                Duration patience, std::function<void(const Answer &)> onAnswer)
{
    struct Asking
    {
        Asking()
            : reader_(HttpKind::Response, 64 * 1024,
                      {[this](HttpHead &&head) {
                           answer_.status_ = head.status_;
                           answer_.isSealed_ = head.hasHeader("X-Eelgrasscove-Response-Seal");
                       },
                       [this](std::string_view more) { answer_.body_ += more; }, [] {}})
        { }
        Answer answer_;
        HttpReader reader_;
        std::shared_ptr<TcpStream> stream_;
        std::function<void(const Answer &)> onAnswer_;
        TimerId timer_ = 0;
    };
    auto asking = std::make_shared<Asking>();
    asking->onAnswer_ = std::move(onAnswer);
    const auto finish = [&loop, asking](const std::string &error) {
        if (!asking->onAnswer_)
            return;
        loop.timers().cancel(asking->timer_);
        asking->answer_.error_ = error;
        asking->answer_.isComplete_ = asking->reader_.state() == HttpReadState::Complete;
        const auto onAnswer = std::move(asking->onAnswer_);
        asking->onAnswer_ = nullptr;
        asking->stream_->close();
        onAnswer(asking->answer_);
    };
    Endpoint endpoint;
    parseEndpoint(address, endpoint);
    asking->stream_ = TcpStream::connect(loop, endpoint,
                                         {[asking, bytes] { asking->stream_->write(bytes); },
                                          [asking, finish](std::string_view more) {
                                              asking->reader_.feed(more);
                                              if (asking->reader_.state() != HttpReadState::Open)
                                                  finish("");
                                          },
                                          [asking, finish](int error) {
                                              if (error == 0)
                                                  asking->reader_.finish();
                                              finish(error == 0 ? "closed" : uv_err_name(error));
                                          }});
    asking->timer_ = loop.timers().once(patience, [finish] { finish("client's time is over"); });
}

inline std::string requestText(const std::string &method, const std::string &path,
                               const std::string &id, const std::string &key,
                               const std::string &body, int millis, bool isKept = false)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Eelgrasscove-Request-Id: {}\r\n"
                       "X-Eelgrasscove-Deadline-Remaining: {}\r\nAuthorization: Bearer {}\r\n"
                       "{}Content-Length: {}\r\n\r\n{}",
                       method, path, id, millis, key, isKept ? "" : "Connection: close\r\n",
                       body.size(), body);
}

/// Waits until all edges say that they are ready.
inline bool waitUntilReady(EventLoop &loop, std::vector<std::unique_ptr<EdgeProcess>> &edges,
                           Duration most)
{
    const Time end = bootNow() + most;
    for (const auto &edge : edges) {
        bool isReady = false;
        while (!isReady) {
            if (bootNow() > end)
                return false;
            bool isAnswered = false;
            ask(loop, edge->readiness(),
                "GET /eelgrasscove/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1s,
                [&](const Answer &answer) {
                    isAnswered = true;
                    isReady = answer.status_ == 200;
                });
            turnUntil(loop, 2s, [&] { return isAnswered; });
            if (!isReady)
                turnFor(loop, 50ms);
        }
    }
    return true;
}

inline void endAll(EventLoop &loop, std::vector<std::unique_ptr<EdgeProcess>> &edges)
{
    for (const auto &edge : edges)
        edge->signal(SIGKILL);
    turnUntil(loop, 3s, [&] {
        for (const auto &edge : edges) {
            if (edge->isRunning_)
                return false;
        }
        return true;
    });
}

/// Command line of a case: PROGRAM EDGE FOLDER RECORD TROUBLE.
struct Options
{
    std::string edge_;
    std::string folder_;
    std::string record_;
    bool hasTrouble_ = true;
};

inline Options parseOptions(int argc, char **argv)
{
    if (argc != 5)
        std::exit(exitNotRun);
    std::signal(SIGPIPE, SIG_IGN);
    return {argv[1], argv[2], argv[3], std::string(argv[4]) != "0"};
}

} // namespace review
