#include "Link/linkservice.h"

#include "Link/messagebatch.h"
#include "Link/messagecodec.h"
#include "Observe/log.h"
#include "Vm/boundedring.h"

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <optional>
#include <set>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace eelgrasscove {

namespace {

constexpr std::size_t sendRingMessages = 16384;
/// What the sender takes from its ring at a time, and so joins at most.
constexpr std::size_t batchMessages = 32;
/// A batch of this length takes no further message.
constexpr std::size_t batchBytes = std::size_t(64) * 1024;
/// Processes from this message version on read batches.
constexpr std::uint32_t firstBatchVersion = 2;
constexpr std::size_t largestMessageBytes = 64 * 1024 * 1024;
constexpr nng_duration receiveWaitMillis = 50;
constexpr nng_duration shortestReconnectMillis = 50;
constexpr nng_duration longestReconnectMillis = 1000;
constexpr Duration sendWait = std::chrono::milliseconds(20);
constexpr Duration retryWait = std::chrono::milliseconds(1);
constexpr Duration forgetDownLinkAfter = std::chrono::minutes(10);
constexpr Duration flushTime = std::chrono::milliseconds(200);
/// nng 1.5.2 has been seen not to return from closing a socket; a process ends nevertheless.
constexpr Duration closeTime = std::chrono::seconds(2);

/// An empty message only opens the link.
struct Outgoing
{
    std::string address_;
    std::optional<Message> message_;
};

/// Messages to one peer that go as one message of the link.
struct Batch
{
    std::string bytes_;
    /// Kept to be given back where the link doesn't take them.
    std::vector<Message> messages_;
};

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

/// What is being closed; it outlives the service where nng doesn't come back.
struct ClosingSockets
{
    nng_socket inbox_ = NNG_SOCKET_INITIALIZER;
    std::map<std::string, std::unique_ptr<PeerLink>> peers_;
    std::promise<void> closed_;
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
    std::mutex mutex_;
    /// Addresses of processes that have shown that they read batches. Guarded by the mutex.
    std::set<std::string> batchReaders_;
    BoundedRing<Outgoing> outgoing_{sendRingMessages};
    std::atomic<bool> stopping_ = false;
    std::thread receiver_;
    std::thread sender_;
    /// Only the sender's thread touches it.
    std::map<std::string, std::unique_ptr<PeerLink>> peers_;

    Result<Done, LinkError> listen();
    void receiveAll();
    void receiveOne(std::string_view bytes);
    void noteVersion(const Envelope &envelope);
    bool readsBatches(const std::string &address);
    void forgetReader(const std::string &address);
    void deliverSurely(LinkEvent event);
    void sendAll();
    std::vector<Outgoing> takeOutgoing();
    void sendTaken(std::vector<Outgoing> taken);
    void sendTo(const std::string &address, std::vector<Message> messages);
    void add(Message message, Batch &batch) const;
    void sendBatch(PeerLink &peer, Batch batch);
    PeerLink *peerAt(const std::string &address);
    bool open(PeerLink &peer);
    void reportChanges();
    void forgetLongDown(Time now);
    void closeSockets();
};

Result<Done, LinkError> LinkService::Impl::listen()
{
    int code = nng_pull0_open(&inbox_);
    if (code != 0)
        return linkError("can't open the inbox", code);
    nng_socket_set_ms(inbox_, NNG_OPT_RECVTIMEO, receiveWaitMillis);
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

void LinkService::Impl::receiveOne(std::string_view bytes)
{
    Result<Envelope, CodecError> decoded = decodeEnvelope(bytes);
    if (!ok(decoded)) {
        logEvent(LogLevel::Warning, "link_message_unreadable",
                 {{"error", errorOf(decoded).message_}});
        return;
    }
    noteVersion(valueOf(decoded));
    deliverSurely(std::move(valueOf(decoded)));
}

void LinkService::Impl::receiveAll()
{
    while (!stopping_) {
        nng_msg *message = nullptr;
        const int code = nng_recvmsg(inbox_, &message, 0);
        if (code == NNG_ECLOSED)
            return;
        if (code != 0)
            continue;
        const std::string_view bytes(static_cast<const char *>(nng_msg_body(message)),
                                     nng_msg_len(message));
        for (const std::string_view envelope : splitEnvelopes(bytes))
            receiveOne(envelope);
        nng_msg_free(message);
    }
}

void LinkService::Impl::noteVersion(const Envelope &envelope)
{
    const std::lock_guard guard(mutex_);
    if (envelope.version_ >= firstBatchVersion)
        batchReaders_.insert(envelope.replyAddress_);
    else
        batchReaders_.erase(envelope.replyAddress_);
}

bool LinkService::Impl::readsBatches(const std::string &address)
{
    const std::lock_guard guard(mutex_);
    return batchReaders_.contains(address);
}

/// Whoever comes next at this address may be older.
void LinkService::Impl::forgetReader(const std::string &address)
{
    const std::lock_guard guard(mutex_);
    batchReaders_.erase(address);
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

void LinkService::Impl::add(Message message, Batch &batch) const
{
    Envelope envelope{messageVersion, identity_.vm_, identity_.incarnation_, settings_.advertise_,
                      std::move(message)};
    addEnvelope(batch.bytes_, encodeEnvelope(envelope));
    batch.messages_.push_back(std::move(envelope.message_));
}

void LinkService::Impl::sendBatch(PeerLink &peer, Batch batch)
{
    if (batch.messages_.empty())
        return;
    const int code =
        nng_send(peer.socket_, batch.bytes_.data(), batch.bytes_.size(), NNG_FLAG_NONBLOCK);
    if (code == 0)
        return;
    for (Message &message : batch.messages_)
        deliverSurely(SendFailed{peer.address_, std::move(message)});
}

void LinkService::Impl::sendTo(const std::string &address, std::vector<Message> messages)
{
    PeerLink *peer = peerAt(address);
    const std::size_t bound = readsBatches(address) ? batchBytes : 0;
    Batch batch;
    for (Message &message : messages) {
        const bool needsLink = std::holds_alternative<Offer>(message);
        if (peer == nullptr || (needsLink && !peer->up_)) {
            deliverSurely(SendFailed{address, std::move(message)});
            continue;
        }
        add(std::move(message), batch);
        if (batch.bytes_.size() >= bound)
            sendBatch(*peer, std::exchange(batch, {}));
    }
    if (peer != nullptr)
        sendBatch(*peer, std::move(batch));
}

void LinkService::Impl::sendTaken(std::vector<Outgoing> taken)
{
    std::map<std::string, std::vector<Message>> byPeer;
    for (Outgoing &outgoing : taken) {
        std::vector<Message> &messages = byPeer[outgoing.address_];
        if (outgoing.message_)
            messages.push_back(std::move(*outgoing.message_));
    }
    for (auto &[address, messages] : byPeer)
        sendTo(address, std::move(messages));
}

/// What waits to be sent, in order; empty after the wait.
std::vector<Outgoing> LinkService::Impl::takeOutgoing()
{
    std::vector<Outgoing> taken;
    std::optional<Outgoing> next = outgoing_.pop(sendWait);
    while (next) {
        taken.push_back(std::move(*next));
        next = taken.size() < batchMessages ? outgoing_.pop(Duration(0)) : std::nullopt;
    }
    return taken;
}

void LinkService::Impl::reportChanges()
{
    for (auto &[address, peer] : peers_) {
        const bool up = peer->up_;
        if (up == peer->reportedUp_)
            continue;
        peer->reportedUp_ = up;
        peer->downSince_ = monotonicNow();
        if (!up)
            forgetReader(address);
        deliverSurely(LinkChanged{address, up});
    }
}

void LinkService::Impl::forgetLongDown(Time now)
{
    std::erase_if(peers_, [now](const auto &entry) {
        const PeerLink &peer = *entry.second;
        if (peer.up_ || peer.reportedUp_ || now - peer.downSince_ < forgetDownLinkAfter)
            return false;
        nng_close(peer.socket_);
        return true;
    });
}

void LinkService::Impl::sendAll()
{
    Time lastForget = monotonicNow();
    while (true) {
        std::vector<Outgoing> taken = takeOutgoing();
        if (taken.empty() && outgoing_.closed())
            return;
        sendTaken(std::move(taken));
        reportChanges();
        const Time now = monotonicNow();
        if (now - lastForget > std::chrono::seconds(1)) {
            forgetLongDown(now);
            lastForget = now;
        }
    }
}

void LinkService::Impl::closeSockets()
{
    auto closing = std::make_shared<ClosingSockets>(ClosingSockets{inbox_, std::move(peers_), {}});
    peers_.clear();
    std::future<void> closed = closing->closed_.get_future();
    std::thread([closing] {
        nng_close(closing->inbox_);
        for (const auto &entry : closing->peers_)
            nng_close(entry.second->socket_);
        closing->closed_.set_value();
    }).detach();
    if (closed.wait_for(closeTime) != std::future_status::ready)
        logEvent(LogLevel::Warning, "link_close_unfinished");
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
    impl_->receiver_ = std::thread([this] { impl_->receiveAll(); });
    impl_->sender_ = std::thread([this] { impl_->sendAll(); });
    return Done{};
}

void LinkService::stop()
{
    if (!impl_->sender_.joinable())
        return;
    // From here on nobody may take deliveries: neither thread may wait for it.
    impl_->stopping_ = true;
    impl_->outgoing_.close();
    impl_->sender_.join();
    // nng closes a socket with what it still holds unsent; give it the time to write.
    std::this_thread::sleep_for(flushTime);
    impl_->receiver_.join();
    impl_->closeSockets();
}

void LinkService::connect(const std::string &address)
{
    impl_->outgoing_.tryPush({address, std::nullopt});
}

bool LinkService::send(const std::string &address, Message message)
{
    return impl_->outgoing_.tryPush({address, std::move(message)});
}

} // namespace eelgrasscove
