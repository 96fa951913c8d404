#pragma once

/// A stand-in served on a thread of its own, for tests that speak HTTP with it.

#include "StandIns/http.h"

#include <string>
#include <thread>

/// Serves one handler until it goes out of scope. The handler's object lives on the loop's thread.
class StandInServer
{
public:
    explicit StandInServer(standins::HttpHandler handler) : server_(loop_, std::move(handler))
    {
        error_ = server_.listen(0);
        to_.port_ = server_.port();
    }

    ~StandInServer() { stop(); }
    StandInServer(const StandInServer &) = delete;
    StandInServer &operator=(const StandInServer &) = delete;

    void run()
    {
        thread_ = std::thread([this] { loop_.run(); });
    }

    void stop()
    {
        loop_.stop();
        if (thread_.joinable())
            thread_.join();
        server_.closeConnections(nullptr);
    }

    standins::HttpResult call(const std::string &method, const std::string &target,
                              const std::string &body = {},
                              std::vector<standins::HttpHeader> headers = {})
    {
        const standins::HttpRequest request = {
            .method_ = method, .target_ = target, .headers_ = std::move(headers), .body_ = body};
        return standins::callAndWait(to_, request, std::chrono::seconds(30));
    }

    standins::EventLoop loop_;
    standins::HttpServer server_;
    standins::HostPort to_;
    std::string error_;

private:
    std::thread thread_;
};
