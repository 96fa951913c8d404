#pragma once

/// Carries messages between the system's processes over nng: one inbox per process (PULL), and one
/// PUSH socket per peer. Order is kept per peer; what a broken link lost is lost.

#include "Vm/settings.h"

#include <eelgrasscove/messages.h>
#include <eelgrasscove/result.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace eelgrasscove {

/// The link to this address came up or went down.
struct LinkChanged
{
    std::string address_;
    bool up_ = false;
};

/// The message was not sent to this address and never will be.
struct SendFailed
{
    std::string address_;
    Message message_;
};

using LinkEvent = std::variant<Envelope, LinkChanged, SendFailed>;

/// The link layer's own errors.
struct LinkError
{
    std::string message_;
};

/// Who the process is towards its peers.
struct LinkIdentity
{
    VmName vm_;
    Incarnation incarnation_;
};

class LinkService
{
public:
    /// deliver is called from the link threads and must not block; false means that the receiver's
    /// ring is full, and the message is then held back and offered again.
    using Deliver = std::function<bool(LinkEvent &&)>;

    LinkService(LinkSettings settings, LinkIdentity identity, Deliver deliver);
    ~LinkService();

    LinkService(const LinkService &) = delete;
    LinkService &operator=(const LinkService &) = delete;

    /// Binds the inbox. Fails where another process holds the address.
    Result<Done, LinkError> start();

    /// Sends what is queued, for a bounded time, then closes.
    void stop();

    /// Opens the link to a peer ahead of its first message. Safe from any thread.
    void connect(const std::string &address);

    /// Queues a message. An Offer is refused (SendFailed) unless the link is up; other messages
    /// wait for the link. False where the queue is full; the message is then not sent and never
    /// will be. Safe from any thread.
    bool send(const std::string &address, Message message);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace eelgrasscove
