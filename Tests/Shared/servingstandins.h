#pragma once

/// Stand-ins for the users' platform, on the event loop of the test: its store, a target, an engine
/// and a client. They use the published protocol and make its faults.

#include "Net/datagramsocket.h"
#include "Net/httpreader.h"
#include "Net/tcpstream.h"
#include "Peer/peermessages.h"
#include "Platform/base64.h"

#include <fmt/core.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace standins {

using namespace eelgrasscove;
using namespace std::chrono_literals;

/// libuv's writes raise the signal after a reset; the programs ignore it too
/// (EventLoop::onSignals).
inline const auto replacedPipeHandler = std::signal(SIGPIPE, SIG_IGN);

inline void require(bool condition, const char *what)
{
    if (!condition)
        throw std::runtime_error(std::string("the stand-in needs ") + what);
}

/// Turns the loop until the condition holds; false after the time.
inline bool turnUntil(EventLoop &loop, Duration most, const std::function<bool()> &condition)
{
    const Time end = bootNow() + most;
    loop.timers().every(5ms, [] {});
    while (!condition()) {
        if (bootNow() > end)
            return false;
        uv_run(&loop.uv(), UV_RUN_ONCE);
    }
    return true;
}

inline void turnFor(EventLoop &loop, Duration span)
{
    turnUntil(loop, span, [] { return false; });
}

struct SeenRequest
{
    HttpHead head_;
    std::string body_;
};

/// One connection of a stand-in server.
struct ServerConnection : std::enable_shared_from_this<ServerConnection>
{
    using Handler = std::function<void(const std::shared_ptr<ServerConnection> &, SeenRequest &&)>;

    ServerConnection(EventLoop &loop, std::shared_ptr<TcpStream> stream, const Handler &handler)
        : loop_(loop), stream_(std::move(stream)), handler_(handler),
          reader_(HttpKind::Request, 64 * 1024,
                  {[this](HttpHead &&head) { request_.head_ = std::move(head); },
                   [this](std::string_view bytes) { request_.body_ += bytes; }, [] {}})
    { }

    void start()
    {
        stream_->start({nullptr, [keep = shared_from_this()](auto bytes) { keep->take(bytes); },
                        [this](int) { ended_ = true; }});
    }

    void take(std::string_view bytes)
    {
        const auto keep = shared_from_this();
        held_ += bytes;
        while (!held_.empty() && !stream_->isClosed()) {
            held_.erase(0, reader_.feed(held_));
            if (reader_.state() == HttpReadState::Malformed) {
                answer(400, "", "");
                breakOff();
                return;
            }
            if (reader_.state() != HttpReadState::Complete)
                return;
            SeenRequest request = std::move(request_);
            request_ = {};
            reader_.reset();
            handler_(keep, std::move(request));
        }
    }

    void answer(unsigned status, const std::string &headers, const std::string &body)
    {
        stream_->write(fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n{}", status,
                                   statusPhrase(status), headers, body.size(), body));
    }

    /// Ends the connection without a reset, in the middle of whatever was written.
    void breakOff() { stream_->closeAfterWrite(); }

    EventLoop &loop_;
    std::shared_ptr<TcpStream> stream_;
    Handler handler_;
    HttpReader reader_;
    SeenRequest request_;
    std::string held_;
    bool ended_ = false;
};

/// A server that hands every request to a handler and keeps what it saw.
class Server
{
public:
    Server(EventLoop &loop, const std::string &address, ServerConnection::Handler handler)
        : loop_(loop), handler_(std::move(handler))
    {
        require(parseEndpoint(address, address_), "an address");
        listen();
    }

    void listen()
    {
        listener_ = std::make_unique<TcpListener>();
        const int listening = listener_->listen(loop_, address_, [this](auto stream) {
            auto connection = std::make_shared<ServerConnection>(
                loop_, stream, [this](const auto &from, SeenRequest &&request) {
                    seen_.push_back(request);
                    handler_(from, std::move(request));
                });
            connections_.push_back(connection);
            connection->start();
        });
        require(listening == 0, "the address to be free");
    }

    EventLoop &loop_;
    Endpoint address_;
    ServerConnection::Handler handler_;
    std::unique_ptr<TcpListener> listener_;
    std::vector<std::shared_ptr<ServerConnection>> connections_;
    std::vector<SeenRequest> seen_;
};

enum class StoreFault {
    None,
    /// Takes calls and never answers.
    Silent,
    /// 503 to every call.
    Busy,
    /// Resets every connection.
    Reset,
    /// 429 to every call.
    Many,
};

using Query = std::map<std::string, std::string>;

/// Decodes a value of a form: '+' is a blank, "%XX" a byte. Empty if a '%' isn't followed by two
/// hexadecimal digits.
inline std::optional<std::string> decodeFormValue(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded += text[at] == '+' ? ' ' : text[at];
            continue;
        }
        const std::string_view digits = text.substr(at + 1, 2);
        unsigned byte = 0;
        const auto [end, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), byte, 16);
        if (digits.size() != 2 || error != std::errc{} || end != digits.data() + digits.size())
            return std::nullopt;
        decoded += static_cast<char>(byte);
        at += digits.size();
    }
    return decoded;
}

/// Decodes the query of a request as a form, whose parts may be empty. Returns an empty value for
/// what a strict server refuses: bytes that a request line can't have, a fragment, and parts that
/// are repeated or have none of the names.
inline std::optional<Query> decodeQuery(std::string_view target, const std::set<std::string> &names)
{
    const auto isForbidden = [](char byte) { return byte <= ' ' || byte > '~' || byte == '#'; };
    if (std::any_of(target.begin(), target.end(), isForbidden))
        return std::nullopt;
    Query query;
    std::string_view rest = target.substr(std::min(target.find('?'), target.size() - 1) + 1);
    while (!rest.empty()) {
        const std::string_view part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(part.size() + 1, rest.size()));
        if (part.empty())
            continue;
        const std::size_t equals = std::min(part.find('='), part.size());
        const std::string name(part.substr(0, equals));
        const auto value = decodeFormValue(part.substr(std::min(equals + 1, part.size())));
        if (!value || !names.contains(name) || !query.emplace(name, *value).second)
            return std::nullopt;
    }
    return query;
}

inline std::string jsonText(std::string_view text)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return {buffer.GetString(), buffer.GetSize()};
}

/// The platform's store. Its lists come in pages.
class Store
{
public:
    Store(EventLoop &loop, const std::string &address)
        : loop_(loop), server_(loop, address, [this](const auto &from, SeenRequest &&request) {
              handle(from, std::move(request));
          })
    { }

    void put(const std::string &key, const std::string &value)
    {
        items_[key] = {value, ++revision_};
        history_.push_back({key, revision_});
        wake();
    }

    void remove(const std::string &key)
    {
        items_.erase(key);
        history_.push_back({key, ++revision_});
        wake();
    }

    /// Watches that ask for what came before now get 410.
    void forgetHistory() { forgottenUpTo_ = revision_; }

    struct Copy
    {
        std::map<std::string, std::pair<std::string, std::uint64_t>> items_;
        std::deque<std::pair<std::string, std::uint64_t>> history_;
        std::set<std::uint64_t> leases_;
        std::uint64_t revision_ = 0;
        std::uint64_t lastLease_ = 0;
    };

    Copy copy() const { return {items_, history_, leases_, revision_, lastLease_}; }

    /// Comes back from the copy, in the next era. Waiting watches go on.
    void restore(const Copy &copy)
    {
        items_ = copy.items_;
        history_ = copy.history_;
        leases_ = copy.leases_;
        revision_ = copy.revision_;
        lastLease_ = copy.lastLease_;
        era_ = era_.value_or(0) + 1;
    }

    /// Ends every waiting watch without an answer.
    void cutWatches()
    {
        for (const Waiting &waiting : waiting_)
            waiting.from_->stream_->close(true);
        waiting_.clear();
    }

    /// Makes all present connections silent: they stay open and get no answer any more.
    void silenceConnections()
    {
        for (const auto &connection : server_.connections_)
            silent_.insert(connection.get());
        waiting_.clear();
    }

    std::size_t calls(const std::string &part) const
    {
        return static_cast<std::size_t>(
            std::count_if(server_.seen_.begin(), server_.seen_.end(), [&](const auto &seen) {
                return seen.head_.target_.find(part) != std::string::npos;
            }));
    }

    /// Answers a call instead of the store; false leaves it to the store.
    using CallHandler =
        std::function<bool(const std::shared_ptr<ServerConnection> &, const Query &)>;

    static std::string itemText(const std::string &key, const std::string &value,
                                std::uint64_t revision)
    {
        return fmt::format(R"({{"key":{},"value":"{}","revision":{},"created":{},"lease":0}})",
                           jsonText(key), encodeBase64(value), revision, revision);
    }

    StoreFault fault_ = StoreFault::None;
    /// Added before each answer.
    Duration delay_{};
    /// Limits of a page of a list. An item that is longer comes alone.
    std::size_t pageItems_ = 500;
    std::size_t pageBytes_ = 1'000'000;
    CallHandler listHandler_;
    CallHandler watchHandler_;
    std::map<std::string, std::pair<std::string, std::uint64_t>> items_;
    std::uint64_t revision_ = 10;
    /// Stated in each answer if set.
    std::optional<std::uint64_t> era_;

private:
    struct Waiting
    {
        std::shared_ptr<ServerConnection> from_;
        std::string prefix_;
        std::uint64_t after_ = 0;
        Time until_;
    };

    void answer(const std::shared_ptr<ServerConnection> &to, unsigned status,
                const std::string &body)
    {
        const std::string headers = era_ ? fmt::format("Store-Era: {}\r\n", *era_) : "";
        if (delay_ == Duration::zero()) {
            to->answer(status, headers, body);
            return;
        }
        loop_.timers().once(delay_,
                            [to, status, headers, body] { to->answer(status, headers, body); });
    }

    void handle(const std::shared_ptr<ServerConnection> &from, SeenRequest &&request)
    {
        const std::string &target = request.head_.target_;
        if (fault_ == StoreFault::Silent || silent_.contains(from.get()))
            return;
        if (fault_ == StoreFault::Reset) {
            from->stream_->close(true);
            return;
        }
        if (fault_ != StoreFault::None) {
            answer(from, fault_ == StoreFault::Busy ? 503 : 429, "");
            return;
        }
        const auto query =
            decodeQuery(target, {"key", "path_prefix", "after", "wait_ms", "stale_ok"});
        if (!query)
            answer(from, 400, "");
        else if (target.find("kv-watch") != std::string::npos)
            watch(from, *query);
        else if (target.find("kv-range") != std::string::npos)
            range(from, *query);
        else if (target.find("kv-key") != std::string::npos)
            read(from, parameterOf(*query, "key"));
        else if (target.find("kv-txn") != std::string::npos)
            write(from, request.body_);
        else if (target.find("kv-keep") != std::string::npos)
            answer(from, isLease(target) ? 200 : 404, R"({"ttl_ms":6000})");
        else if (target.find("kv-lease-end") != std::string::npos)
            answer(from, 200, "");
        else
            grantLease(from);
    }

    void grantLease(const std::shared_ptr<ServerConnection> &from)
    {
        leases_.insert(++lastLease_);
        answer(from, 200, fmt::format(R"({{"lease":{},"ttl_ms":6000}})", lastLease_));
    }

    /// Whether the path ends with the number of a lease.
    bool isLease(const std::string &path) const
    {
        return leases_.contains(std::stoull(path.substr(path.rfind('/') + 1)));
    }

    static std::string parameterOf(const Query &query, const std::string &name)
    {
        const auto found = query.find(name);
        return found == query.end() ? "" : found->second;
    }

    void read(const std::shared_ptr<ServerConnection> &from, const std::string &key)
    {
        const auto item = items_.find(key);
        if (item == items_.end())
            answer(from, 404, "");
        else
            answer(from, 200, itemText(item->first, item->second.first, item->second.second));
    }

    void range(const std::shared_ptr<ServerConnection> &from, const Query &query)
    {
        if (listHandler_ && listHandler_(from, query))
            return;
        const std::string prefix = parameterOf(query, "path_prefix");
        const std::string after = parameterOf(query, "after");
        std::string list;
        std::size_t items = 0;
        bool hasMore = false;
        for (auto item = after < prefix ? items_.lower_bound(prefix) : items_.upper_bound(after);
             item != items_.end() && item->first.starts_with(prefix); ++item) {
            const std::string text = itemText(item->first, item->second.first, item->second.second);
            hasMore = items == pageItems_ || (items > 0 && list.size() + text.size() > pageBytes_);
            if (hasMore)
                break;
            list += (list.empty() ? "" : ",") + text;
            ++items;
        }
        answer(from, 200,
               fmt::format(R"({{"items":[{}],"has_more":{},"at":{}}})", list, hasMore, revision_));
    }

    void watch(const std::shared_ptr<ServerConnection> &from, const Query &query)
    {
        if (watchHandler_ && watchHandler_(from, query))
            return;
        const std::uint64_t after = std::stoull(parameterOf(query, "after"));
        if (after < forgottenUpTo_ || after > revision_) {
            answer(from, 410, "");
            return;
        }
        const Duration wait = std::chrono::milliseconds(std::stoll(parameterOf(query, "wait_ms")));
        waiting_.push_back({from, parameterOf(query, "path_prefix"), after, bootNow() + wait});
        loop_.timers().once(wait, [this] { wake(); });
        wake();
    }

    void write(const std::shared_ptr<ServerConnection> &from, const std::string &body)
    {
        rapidjson::Document document;
        document.Parse(body.data(), body.size());
        for (const auto &item : document["write"].GetArray()) {
            const std::uint64_t lease = item["lease"].GetUint64();
            if (lease != 0 && !leases_.contains(lease)) {
                answer(from, 404, "");
                return;
            }
        }
        for (const auto &item : document["write"].GetArray())
            put(item["key"].GetString(), *decodeBase64(item["value"].GetString()));
        for (const auto &key : document["remove"].GetArray())
            remove(key.GetString());
        answer(from, 200, fmt::format(R"({{"revision":{}}})", revision_));
    }

    void wake()
    {
        const Time now = bootNow();
        waiting_.remove_if([&](const Waiting &waiting) {
            std::string list;
            for (const auto &[key, revision] : history_) {
                if (revision <= waiting.after_ || !key.starts_with(waiting.prefix_))
                    continue;
                const auto item = items_.find(key);
                list += list.empty() ? "" : ",";
                list += item == items_.end()
                    ? fmt::format(R"({{"key":{},"revision":{},"deleted":true}})", jsonText(key),
                                  revision)
                    : itemText(key, item->second.first, item->second.second);
            }
            if (list.empty() && now < waiting.until_)
                return false;
            answer(waiting.from_, 200,
                   fmt::format(R"({{"events":[{}],"at":{}}})", list, revision_));
            return true;
        });
    }

    EventLoop &loop_;
    std::deque<std::pair<std::string, std::uint64_t>> history_;
    std::list<Waiting> waiting_;
    std::set<const ServerConnection *> silent_;
    std::set<std::uint64_t> leases_;
    std::uint64_t lastLease_ = 76;
    std::uint64_t forgottenUpTo_ = 0;
    Server server_;
};

/// The agent of an engine: sends an entry reports and keeps what the entry sends.
class Agent
{
public:
    /// The entry sends to the engine's host at its own port for datagrams.
    Agent(EventLoop &loop, const std::string &address, const std::string &entry)
    {
        Endpoint own;
        require(parseEndpoint(address, own) && parseEndpoint(entry, entry_), "addresses");
        const int opened = socket_.open(loop, own, [this](auto bytes, const auto &) {
            const auto message = decodePeerMessage(bytes);
            if (message && std::holds_alternative<EntryLoadRequests>(*message))
                messages_.push_back(std::get<EntryLoadRequests>(*message));
        });
        require(opened == 0, "the agent's address to be free");
    }

    void report(EngineStateMessage state)
    {
        state.number_ = ++reports_;
        socket_.send(encodePeerMessage(state), entry_);
    }

    std::size_t loadRequests() const
    {
        std::size_t requests = 0;
        for (const EntryLoadRequests &message : messages_)
            requests += message.loadRequests_.size();
        return requests;
    }

    std::vector<EntryLoadRequests> messages_;

private:
    DatagramSocket socket_;
    Endpoint entry_;
    std::uint64_t reports_ = 0;
};

/// A client with one connection.
class Client
{
public:
    Client(EventLoop &loop, const std::string &address)
    {
        Endpoint endpoint;
        require(parseEndpoint(address, endpoint), "an address");
        stream_ = TcpStream::connect(loop, endpoint,
                                     {[this] { stream_->write(unsent_); },
                                      [this](std::string_view bytes) { received_ += bytes; },
                                      [this](int error) {
                                          ended_ = true;
                                          error_ = error;
                                      }});
    }

    ~Client() { stream_->close(); }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    void send(const std::string &bytes)
    {
        if (received_.empty() && unsent_.empty())
            unsent_ = bytes;
        else
            stream_->write(bytes);
    }

    unsigned status() const
    {
        return received_.size() < 12 ? 0
                                     : static_cast<unsigned>(std::stoul(received_.substr(9, 3)));
    }

    std::shared_ptr<TcpStream> stream_;
    std::string unsent_;
    std::string received_;
    bool ended_ = false;
    int error_ = 0;
};

} // namespace standins
