#include "Link/linkservice.h"

#include "Link/messagecodec.h"
#include "Observe/log.h"
#include "Vm/boundedring.h"

#include <atomic>
#include <map>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <optional>
#include <string_view>
#include <thread>
#include <vector>

namespace eelgrasscove {

namespace {

/// Messages that may wait to be given back.
constexpr std::size_t failedRingMessages = 16384;
constexpr std::size_t largestMessageBytes = 64 * 1024 * 1024;
constexpr nng_duration shortestReconnectMillis = 50;
constexpr nng_duration longestReconnectMillis = 1000;
constexpr Duration watchPeriod = std::chrono::milliseconds(20);
constexpr Duration retryWait = std::chrono::milliseconds(1);
constexpr nng_duration retryWaitMillis = 1;
constexpr Duration forgetDownLinkAfter = std::chrono::minutes(10);
constexpr Duration flushTime = std::chrono::milliseconds(200);

/// The sending end of the link to one peer.
struct PeerLink
{
    std::string address_;
    nng_socket socket_ = NNG_SOCKET_INITIALIZER;
    std::atomic<bool> up_ = false;
    /// What the receiver was last told.
    bool reportedUp_ = false;
    Time downSince_;
};

LinkError linkError(std::string_view what, int code)
{
    return LinkError{std::string(what) + ": " + nng_strerror(code)};
}

void linkUp(nng_pipe /*pipe*/, nng_pipe_ev /*event*/, void *peer)
{
    static_cast<PeerLink *>(peer)->up_ = true;
}

void linkDown(nng_pipe /*pipe*/, nng_pipe_ev /*event*/, void *peer)
{
    static_cast<PeerLink *>(peer)->up_ = false;
}

} // namespace

struct LinkService::Impl
{
    LinkSettings settings_;
    LinkIdentity identity_;
    Deliver deliver_;
    nng_socket inbox_ = NNG_SOCKET_INITIALIZER;
    nng_aio *receiving_ = nullptr;
    /// Received, and not yet taken by the receiver. Only the inbox's callback touches it.
    std::optional<LinkEvent> held_;
    BoundedRing<SendFailed> failed_{failedRingMessages};
    std::atomic<bool> stopping_ = false;
    std::thread watcher_;
    std::mutex mutex_;
    /// Guarded by the mutex.
    std::map<std::string, std::unique_ptr<PeerLink>> peers_;

    Result<Done, LinkError> listen();
    /// Called by nng when a message has come, and after the pause before a refused one is offered
    /// again.
    static void inboxReady(void *service);
    void takeReceived();
    void holdMessage(nng_msg *message);
    bool deliverHeld();
    bool takeWaiting();
    void deliverSurely(LinkEvent event);
    void watch();
    bool send(const std::string &address, Message &&message);
    bool sendNow(const std::string &address, const Message &message, std::string bytes);
    PeerLink *peerAt(const std::string &address);
    bool open(PeerLink &peer);
    std::vector<LinkChanged> takeChanges();
    void forgetLongDown(Time now);
    void closePeers();
};

Result<Done, LinkError> LinkService::Impl::listen()
{
    int code = nng_pull0_open(&inbox_);
    if (code != 0)
        return linkError("can't open the inbox", code);
    nng_socket_set_size(inbox_, NNG_OPT_RECVMAXSZ, largestMessageBytes);
    code = nng_listen(inbox_, settings_.listen_.c_str(), nullptr, 0);
    if (code != 0)
        return linkError("can't listen on " + settings_.listen_, code);
    return Done{};
}

void LinkService::Impl::deliverSurely(LinkEvent event)
{
    // A refusal leaves the event untouched. NOLINTNEXTLINE(bugprone-use-after-move)
    while (!stopping_ && !deliver_(std::move(event)))
        std::this_thread::sleep_for(retryWait);
}

void LinkService::Impl::holdMessage(nng_msg *message)
{
    const std::string_view bytes(static_cast<const char *>(nng_msg_body(message)),
                                 nng_msg_len(message));
    Result<Envelope, CodecError> decoded = decodeEnvelope(bytes);
    nng_msg_free(message);
    if (ok(decoded))
        held_ = std::move(valueOf(decoded));
    else
        logEvent(LogLevel::Warning, "link_message_unreadable",
                 {{"error", errorOf(decoded).message_}});
}

void LinkService::Impl::inboxReady(void *service)
{
    static_cast<Impl *>(service)->takeReceived();
}

void LinkService::Impl::takeReceived()
{
    const int code = nng_aio_result(receiving_);
    if (code == NNG_ECLOSED || code == NNG_ECANCELED)
        return;
    if (code == 0 && !held_)
        holdMessage(nng_aio_get_msg(receiving_));
    if (!deliverHeld() || !takeWaiting()) {
        nng_sleep_aio(retryWaitMillis, receiving_);
        return;
    }
    if (!stopping_)
        nng_recv_aio(inbox_, receiving_);
}

/// What has come meanwhile costs no further call from nng. False where the receiver is full.
bool LinkService::Impl::takeWaiting()
{
    nng_msg *message = nullptr;
    while (!stopping_ && nng_recvmsg(inbox_, &message, NNG_FLAG_NONBLOCK) == 0) {
        holdMessage(message);
        if (!deliverHeld())
            return false;
    }
    return true;
}

/// False where the receiver is full, and still to be waited for.
bool LinkService::Impl::deliverHeld()
{
    // A refusal leaves the event untouched.
    if (held_ && !deliver_(std::move(*held_)) && !stopping_)
        return false;
    held_.reset();
    return true;
}

bool LinkService::Impl::open(PeerLink &peer)
{
    if (nng_push0_open(&peer.socket_) != 0)
        return false;
    nng_socket_set_int(peer.socket_, NNG_OPT_SENDBUF,
                       static_cast<int>(settings_.peerQueueMessages_));
    nng_socket_set_ms(peer.socket_, NNG_OPT_RECONNMINT, shortestReconnectMillis);
    nng_socket_set_ms(peer.socket_, NNG_OPT_RECONNMAXT, longestReconnectMillis);
    nng_pipe_notify(peer.socket_, NNG_PIPE_EV_ADD_POST, linkUp, &peer);
    nng_pipe_notify(peer.socket_, NNG_PIPE_EV_REM_POST, linkDown, &peer);
    return nng_dial(peer.socket_, peer.address_.c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0;
}

PeerLink *LinkService::Impl::peerAt(const std::string &address)
{
    const auto found = peers_.find(address);
    if (found != peers_.end())
        return found->second.get();
    auto peer = std::make_unique<PeerLink>();
    peer->address_ = address;
    peer->downSince_ = monotonicNow();
    if (!open(*peer)) {
        logEvent(LogLevel::Warning, "link_address_unusable", {{"address", address}});
        nng_close(peer->socket_);
        return nullptr;
    }
    return peers_.emplace(address, std::move(peer)).first->second.get();
}

bool LinkService::Impl::sendNow(const std::string &address, const Message &message,
                                std::string bytes)
{
    const std::lock_guard guard(mutex_);
    PeerLink *peer = stopping_ ? nullptr : peerAt(address);
    const bool needsLink = std::holds_alternative<Offer>(message);
    if (peer == nullptr || (needsLink && !peer->up_))
        return false;
    return nng_send(peer->socket_, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) == 0;
}

bool LinkService::Impl::send(const std::string &address, Message &&message)
{
    Envelope envelope{messageVersion, identity_.vm_, identity_.incarnation_, settings_.advertise_,
                      std::move(message)};
    const bool sent = sendNow(address, envelope.message_, encodeEnvelope(envelope));
    if (sent)
        return true;
    SendFailed failed{address, std::move(envelope.message_)};
    if (failed_.tryPush(std::move(failed)))
        return true;
    // Untouched by the refusal. NOLINTNEXTLINE(bugprone-use-after-move)
    message = std::move(failed.message_);
    return false;
}

std::vector<LinkChanged> LinkService::Impl::takeChanges()
{
    std::vector<LinkChanged> changes;
    const std::lock_guard guard(mutex_);
    for (auto &[address, peer] : peers_) {
        const bool up = peer->up_;
        if (up == peer->reportedUp_)
            continue;
        peer->reportedUp_ = up;
        peer->downSince_ = monotonicNow();
        changes.push_back({address, up});
    }
    return changes;
}

void LinkService::Impl::forgetLongDown(Time now)
{
    const std::lock_guard guard(mutex_);
    std::erase_if(peers_, [now](const auto &entry) {
        const PeerLink &peer = *entry.second;
        if (peer.up_ || peer.reportedUp_ || now - peer.downSince_ < forgetDownLinkAfter)
            return false;
        nng_close(peer.socket_);
        return true;
    });
}

/// Gives back what could not be sent, and tells of links that changed.
void LinkService::Impl::watch()
{
    Time lastForget = monotonicNow();
    while (true) {
        std::optional<SendFailed> failed = failed_.pop(watchPeriod);
        if (failed)
            deliverSurely(std::move(*failed));
        else if (failed_.closed())
            return;
        for (LinkChanged &change : takeChanges())
            deliverSurely(std::move(change));
        const Time now = monotonicNow();
        if (now - lastForget > std::chrono::seconds(1)) {
            forgetLongDown(now);
            lastForget = now;
        }
    }
}

void LinkService::Impl::closePeers()
{
    for (const auto &entry : peers_)
        nng_close(entry.second->socket_);
    peers_.clear();
}

LinkService::LinkService(LinkSettings settings, LinkIdentity identity, Deliver deliver)
    : impl_(std::make_unique<Impl>())
{
    impl_->settings_ = std::move(settings);
    impl_->identity_ = std::move(identity);
    impl_->deliver_ = std::move(deliver);
    if (impl_->settings_.advertise_.empty())
        impl_->settings_.advertise_ = impl_->settings_.listen_;
}

LinkService::~LinkService()
{
    stop();
}

Result<Done, LinkError> LinkService::start()
{
    Result<Done, LinkError> listening = impl_->listen();
    if (!ok(listening))
        return listening;
    const int code = nng_aio_alloc(&impl_->receiving_, Impl::inboxReady, impl_.get());
    if (code != 0)
        return linkError("can't receive", code);
    nng_recv_aio(impl_->inbox_, impl_->receiving_);
    impl_->watcher_ = std::thread([this] { impl_->watch(); });
    return Done{};
}

void LinkService::stop()
{
    if (!impl_->watcher_.joinable())
        return;
    // From here on nobody may take deliveries: neither the watcher nor the inbox may wait for it.
    impl_->stopping_ = true;
    impl_->failed_.close();
    impl_->watcher_.join();
    // nng closes a socket with what it still holds unsent; give it the time to write.
    std::this_thread::sleep_for(flushTime);
    nng_aio_stop(impl_->receiving_);
    nng_aio_free(impl_->receiving_);
    nng_close(impl_->inbox_);
    impl_->closePeers();
}

void LinkService::connect(const std::string &address)
{
    const std::lock_guard guard(impl_->mutex_);
    if (!impl_->stopping_)
        impl_->peerAt(address);
}

bool LinkService::send(const std::string &address, Message &&message)
{
    return impl_->send(address, std::move(message));
}

} // namespace eelgrasscove
