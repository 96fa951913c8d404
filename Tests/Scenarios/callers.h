#pragma once

/// The callers of a scenario: open requests on one loop, and what they got.

#include "record.h"

#include "StandIns/http.h"

#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace scenarios {

class Callers
{
public:
    Callers();
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Sends a request whose fields up to idempotencyKey_ are set.
    void send(const CallerRecord &request, const standins::HostPort &entry);
    /// Closes the caller's connection.
    void cancel(const std::string &name);
    /// Excuses what is open at an entry that is being killed.
    void excuseOpenAt(const std::string &entry);
    /// The request of this name, or all whose name is it, a dot and a number. Answers are read.
    std::vector<CallerRecord> named(const std::string &name) const;
    std::vector<CallerRecord> all() const;
    bool ended(const std::string &name) const;

private:
    struct Request
    {
        CallerRecord record_;
        std::shared_ptr<standins::HttpCall> call_;
    };

    void begin(Request &request, const standins::HostPort &entry);
    void end(Request &request, const standins::HttpResult &result);

    standins::EventLoop loop_;
    mutable std::mutex mutex_;
    std::list<Request> requests_;
    std::thread thread_;
};

} // namespace scenarios
