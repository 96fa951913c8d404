#pragma once

/// A small deployment for the scripts of the cases: the project's own stand-in of the platform's
/// store, runners of one service, and one real edge as a process of its own.

#include "../../Tests/Shared/servingstandins.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace deployment {

using namespace standins;

constexpr const char *requestIdName = "X-Eelgrasscove-Request-Id";
constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

/// Whether the case plays its disruption.
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// An address on loopback whose port is free at the time of the call.
inline std::string freeAddress(int type = SOCK_STREAM)
{
    const int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    uv_ip4_addr("127.0.0.1", 0, &address);
    socklen_t size = sizeof address;
    require(probe >= 0 && bind(probe, reinterpret_cast<sockaddr *>(&address), size) == 0
                && getsockname(probe, reinterpret_cast<sockaddr *>(&address), &size) == 0,
            "a free port");
    close(probe);
    return fmt::format("127.0.0.1:{}", ntohs(address.sin_port));
}

/// Lines of record.txt, with the time since the start in ms.
class Record
{
public:
    explicit Record(const std::string &file) : out_(file), startedAt_(bootNow()) { }

    template <class... Values>
    void note(fmt::format_string<Values...> format, Values &&...values)
    {
        out_ << fmt::format("{:6} ", (bootNow() - startedAt_).count() / 1000)
             << fmt::format(format, std::forward<Values>(values)...) << std::endl;
    }

private:
    std::ofstream out_;
    Time startedAt_;
};

struct EdgeAddresses
{
    std::string callers_ = freeAddress();
    std::string readiness_ = freeAddress();
    std::string peers_ = freeAddress(SOCK_DGRAM);
    std::string metrics_ = freeAddress();
};

/// The settings that the template of the edge gives for the example of the deploy page.
inline std::string edgeSettings(const EdgeAddresses &addresses, const std::string &store)
{
    return fmt::format("[vm]\nname = edge-utrecht-1\ndata_centre = utrecht\nip = 127.0.0.1\n"
                       "regions = utrecht:randstad\nmemory_mb = 260\n"
                       "[listen]\ncallers = {}\nreadiness = {}\npeers = {}\nmetrics = {}\n"
                       "[platform]\nstore = {}\n"
                       "[bounds]\nrevoke = 5000ms\ndrain = 2000ms\ngrace = 8s\n"
                       "adapter_version = 5000ms\nretry_share = 0.2\nretry_window = 10s\n"
                       "retry_slack = 52\nallowance_window = 8s\nallowance_slack = 17000\n",
                       addresses.callers_, addresses.readiness_, addresses.peers_,
                       addresses.metrics_, store);
}

/// One program of the deploy file as a process.
class Process
{
public:
    Process(EventLoop &loop, std::string program, std::string settings, std::string log)
        : loop_(loop), program_(std::move(program)), settings_(std::move(settings)),
          log_(std::move(log))
    { }

    ~Process() { signal(SIGKILL); }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start()
    {
        uv_fs_t request;
        const int log = uv_fs_open(nullptr, &request, log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0644, nullptr);
        uv_fs_req_cleanup(&request);
        uv_stdio_container_t streams[3] = {};
        streams[0].flags = UV_IGNORE;
        for (int out = 1; out < 3; ++out) {
            streams[out].flags = UV_INHERIT_FD;
            streams[out].data.fd = log;
        }
        char *arguments[] = {program_.data(), settings_.data(), nullptr};
        uv_process_options_t options{};
        options.file = program_.c_str();
        options.args = arguments;
        options.stdio = streams;
        options.stdio_count = 3;
        options.exit_cb = [](uv_process_t *process, std::int64_t status, int signal) {
            auto *self = static_cast<Process *>(process->data);
            self->isRunning_ = false;
            self->endedAt_ = bootNow();
            self->status_ = status;
            self->endSignal_ = signal;
        };
        handle_ = new uv_process_t{};
        handle_->data = this;
        require(uv_spawn(&loop_.uv(), handle_, &options) == 0, "the program of the deploy file");
        isRunning_ = true;
        close(log);
        // The script ends the process by it, should this program be ended before.
        std::ofstream(log_ + ".pid") << handle_->pid << std::endl;
    }

    void signal(int number)
    {
        if (isRunning_)
            uv_process_kill(handle_, number);
    }

    /// Resident bytes of the process.
    std::size_t residentBytes() const
    {
        if (!isRunning_)
            return 0;
        std::ifstream file(fmt::format("/proc/{}/statm", handle_->pid));
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

    bool isRunning_ = false;
    Time endedAt_;
    std::int64_t status_ = 0;
    int endSignal_ = 0;

private:
    EventLoop &loop_;
    std::string program_;
    std::string settings_;
    std::string log_;
    uv_process_t *handle_ = nullptr;
};

/// A runner of the service "records": it is listed in the store, writes its liveness report,
/// rejects requests for other runners, and hands the others to a handler.
class Runner
{
public:
    using Handler =
        std::function<void(Runner &, const std::shared_ptr<ServerConnection> &, SeenRequest &&)>;

    Runner(EventLoop &loop, Store &store, int number, int slots, Handler handler)
        : id_(fmt::format("i-{}", number)), address_(freeAddress()), handler_(std::move(handler)),
          server_(
              loop, address_,
              [this](const auto &from, SeenRequest &&request) { take(from, std::move(request)); }),
          store_(store), slots_(slots)
    {
        report();
        loop.timers().every(1200ms, [this] { report(); });
    }

    void report()
    {
        store_.put("servers/" + id_,
                   fmt::format(R"({{"service":"records","address":"{}","zone":"utrecht",)"
                               R"("version":"v1","slots":{},"state":"{}","cold_left_ms":0,)"
                               R"("sequence":{},"born":1700000000000}})",
                               address_, slots_, state_, ++reports_));
    }

    /// Reports that it leaves, and goes on serving.
    void drain()
    {
        state_ = "draining";
        report();
    }

    /// Ends: it resets its connections and refuses new ones.
    void end()
    {
        server_.listener_->close();
        for (const auto &connection : server_.connections_)
            connection->stream_->close(true);
    }

    static std::string idLine(const SeenRequest &request)
    {
        return fmt::format("{}: {}\r\n", requestIdName, request.head_.header(requestIdName));
    }

    static std::string headLines(const SeenRequest &request)
    {
        return idLine(request) + "X-Eelgrasscove-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    }

    std::string id_;
    std::string address_;

private:
    void take(const std::shared_ptr<ServerConnection> &from, SeenRequest &&request)
    {
        // The stand-in keeps what it saw, with bodies.
        server_.seen_.clear();
        if (request.head_.header("X-Eelgrasscove-Expect-Instance") != id_) {
            from->answer(421, idLine(request) + "X-Eelgrasscove-Instance-Id: " + id_ + "\r\n", "");
            return;
        }
        handler_(*this, from, std::move(request));
    }

    Handler handler_;
    Server server_;
    Store &store_;
    int slots_;
    std::string state_ = "ready";
    int reports_ = 0;
};

/// Waits until the edge says that it is ready.
inline bool awaitReady(EventLoop &loop, const std::string &readiness)
{
    const Time end = bootNow() + 10s;
    while (bootNow() < end) {
        Client client(loop, readiness);
        client.send("GET /eelgrasscove/readiness HTTP/1.1\r\nHost: edge\r\n\r\n");
        turnUntil(loop, 300ms, [&] { return client.ended_ || client.status() != 0; });
        if (client.status() == 200)
            return true;
        turnFor(loop, 100ms);
    }
    return false;
}

} // namespace deployment
