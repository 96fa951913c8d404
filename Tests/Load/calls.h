#pragma once

/// The calls of the load tool: what each sends, and whether its answer is its own.

#include <cstdint>
#include <memory>
#include <string>

namespace load {

/// Kinds of calls in the mix.
enum class CallKind {
    Streamed,
    Whole,
    Chat,
    Lookup,
    Booking,
};

/// One call of the mix.
struct Call
{
    CallKind kind_ = CallKind::Whole;
    /// Unique in a run, and part of what is sent.
    std::uint64_t number_ = 0;
    /// The name the target knows the adapter by, for example "oak-legs@3".
    std::string model_;
    /// The name sent as "model": a route at an entry, the model itself at an engine.
    std::string route_;
    std::int64_t tokens_ = 1;
};

/// What came back.
struct Answer
{
    /// 0 where the connection failed.
    unsigned status_ = 0;
    std::string body_;
};

/// The call with this number in the mix of an entry.
Call mixedCall(std::uint64_t number);

/// Whether the answer is whole and this call's own, by its content.
bool matches(const Call &call, const Answer &answer);

/// One kept-alive connection to an entry or an engine.
class Connection
{
public:
    /// address is "IP:PORT"; key may be empty.
    Connection(std::string address, std::string key);
    ~Connection();

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Sends the call and waits for the whole answer.
    Answer perform(const Call &call);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace load
