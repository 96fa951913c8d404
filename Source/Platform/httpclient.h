#pragma once

/// HTTP calls on one thread of their own: a few kept-alive connections per address, and streams for
/// answers without an end. Says exactly whether a call without an answer can have had an effect.

#include <eelgrasscove/nametable.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrasscove {

/// How a call ended.
enum class HttpEnd {
    Replied,
    /// No byte of the request was sent, so nobody can have acted on it.
    NotSent,
    /// All or a part was sent, but no whole answer came.
    NoReply,
};

constexpr NameTable<HttpEnd, 3> httpEndNames = {{
    {HttpEnd::Replied, "replied"},
    {HttpEnd::NotSent, "not_sent"},
    {HttpEnd::NoReply, "no_reply"},
}};

struct HttpReply
{
    HttpEnd end_ = HttpEnd::NotSent;
    std::uint32_t status_ = 0;
    std::string body_;
    /// What went wrong, for logs.
    std::string error_;
};

struct HttpCall
{
    std::string method_ = "POST";
    /// "http://127.0.0.1:2379/v3/kv/txn"
    std::string url_;
    /// JSON, or empty.
    std::string body_;
    /// Time for the whole call, waiting for a free connection included.
    Duration timeout_ = std::chrono::seconds(2);
    /// A second try on a new connection does no harm.
    bool repeatable_ = false;
};

/// Callbacks run on the client's thread. After stop() none is called any more.
class HttpClient
{
public:
    using OnReply = std::function<void(HttpReply)>;
    using OnPart = std::function<void(std::string_view part)>;
    using OnEnd = std::function<void(std::string error)>;
    using Action = std::function<void()>;

    HttpClient();
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void start();
    void stop();

    /// Safe from any thread.
    void call(HttpCall call, OnReply onReply);

    /// Opens an answer without an end. The call's timeout holds until the answer's head.
    /// onEnd is called once, also after closeStream(). Safe from any thread.
    std::uint64_t openStream(HttpCall call, OnPart onPart, OnEnd onEnd);

    /// Safe from any thread.
    void closeStream(std::uint64_t stream);

    /// Runs the action on the client's thread after the wait. Safe from any thread.
    void after(Duration wait, Action action);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
