#include "Link/messagebatch.h"

#include "Link/linkservice.h"
#include "Link/messagecodec.h"
#include "Vm/boundedring.h"

#include <boost/test/unit_test.hpp>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

using namespace eelgrasscove;

namespace {

using Texts = std::vector<std::string>;

Texts split(std::string_view message)
{
    const std::vector<std::string_view> envelopes = splitEnvelopes(message);
    return {envelopes.begin(), envelopes.end()};
}

std::string join(const Texts &envelopes)
{
    std::string message;
    for (const std::string &envelope : envelopes)
        addEnvelope(message, envelope);
    return message;
}

/// A peer of the given version, spoken to by plain sockets.
struct PlainPeer
{
    nng_socket inbox_ = NNG_SOCKET_INITIALIZER;
    nng_socket outbox_ = NNG_SOCKET_INITIALIZER;

    PlainPeer(const std::string &address, const std::string &to)
    {
        constexpr nng_duration longestWaitMillis = 30000;
        BOOST_REQUIRE(nng_pull0_open(&inbox_) == 0);
        BOOST_REQUIRE(nng_push0_open(&outbox_) == 0);
        nng_socket_set_ms(inbox_, NNG_OPT_RECVTIMEO, longestWaitMillis);
        BOOST_REQUIRE(nng_listen(inbox_, address.c_str(), nullptr, 0) == 0);
        BOOST_REQUIRE(nng_dial(outbox_, to.c_str(), nullptr, 0) == 0);
    }

    ~PlainPeer()
    {
        nng_close(inbox_);
        nng_close(outbox_);
    }

    PlainPeer(const PlainPeer &) = delete;
    PlainPeer &operator=(const PlainPeer &) = delete;

    void send(std::string bytes) const
    {
        BOOST_REQUIRE(nng_send(outbox_, bytes.data(), bytes.size(), 0) == 0);
    }

    std::string receive() const
    {
        nng_msg *message = nullptr;
        BOOST_REQUIRE(nng_recvmsg(inbox_, &message, 0) == 0);
        std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
        nng_msg_free(message);
        return bytes;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(envelopesGoThroughABatch)
{
    const std::string large(70000, 'x');
    for (const Texts &envelopes : {Texts{"one"}, Texts{"one", "", "two"}, Texts{large, "b", large}})
        BOOST_TEST((split(join(envelopes)) == envelopes));
    BOOST_TEST(join({"one"}) == "one");
    BOOST_TEST((split("") == Texts{""}));
}

BOOST_AUTO_TEST_CASE(aCutBatchGivesItsWholeEnvelopes)
{
    const std::string batch = join({"one", "two"});
    for (std::size_t length = 1; length < batch.size(); ++length) {
        const Texts envelopes = split(std::string_view(batch).substr(0, length));
        const bool holdsFirst = length >= join({"one", ""}).size() - 4;
        BOOST_TEST((envelopes == (holdsFirst ? Texts{"one"} : Texts{})));
    }
}

// A process that hasn't shown that it reads batches gets none; one that has gets all, in order.
BOOST_AUTO_TEST_CASE(onlyReadersOfBatchesGetThem)
{
    constexpr std::uint64_t count = 200;
    const std::string serviceAddress = "tcp://127.0.0.1:20112";
    const std::string peerAddress = "tcp://127.0.0.1:20113";
    for (const std::uint32_t version : {1U, 2U}) {
        BOOST_TEST_CONTEXT("version " << version)
        {
            BoundedRing<LinkEvent> events(1000);
            LinkSettings settings;
            settings.listen_ = serviceAddress;
            LinkService link(settings, {VmName{"a"}, Incarnation{1}},
                             [&](LinkEvent &&event) { return events.tryPush(std::move(event)); });
            BOOST_REQUIRE(ok(link.start()));
            const PlainPeer peer(peerAddress, serviceAddress);
            peer.send(encodeEnvelope({version, VmName{"b"}, {}, peerAddress, AttemptCancel{}}));
            BOOST_REQUIRE(events.pop(std::chrono::seconds(30)).has_value());
            for (std::uint64_t number = 0; number < count; ++number)
                BOOST_TEST(link.send(peerAddress, RulesRequest{Revision{number}}));
            std::uint64_t next = 0;
            std::size_t messages = 0;
            for (; next < count; ++messages) {
                const std::string bytes = peer.receive();
                for (const std::string_view envelope : splitEnvelopes(bytes)) {
                    const auto decoded = decodeEnvelope(envelope);
                    BOOST_REQUIRE(ok(decoded));
                    const auto &request = std::get<RulesRequest>(valueOf(decoded).message_);
                    BOOST_TEST(request.have_.value_ == next++);
                }
            }
            BOOST_TEST((version == 1 ? messages == count : messages < count));
        }
    }
}
