#include "Link/linkservice.h"

#include "Vm/boundedring.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace eelgrasscove;

namespace {

constexpr Duration generous = std::chrono::seconds(30);

struct Node
{
    BoundedRing<LinkEvent> events_;
    std::unique_ptr<LinkService> link_;

    Node(const std::string &name, const std::string &address, std::size_t ringEvents = 1000)
        : events_(ringEvents)
    {
        LinkSettings settings;
        settings.listen_ = address;
        link_ = std::make_unique<LinkService>(
            settings, LinkIdentity{VmName{name}, Incarnation{1}},
            [this](LinkEvent &&event) { return events_.tryPush(std::move(event)); });
    }

    template <class T>
    T await()
    {
        while (auto event = events_.pop(generous)) {
            if (T *wanted = std::get_if<T>(&*event))
                return std::move(*wanted);
        }
        BOOST_FAIL("the event did not come");
        return {};
    }
};

} // namespace

/// Also where the receiver's ring refuses most of them at first.
BOOST_AUTO_TEST_CASE(messagesArriveInOrderWithTheirSender)
{
    Node a("a", "tcp://127.0.0.1:20101");
    Node b("b", "tcp://127.0.0.1:20102", 4);
    BOOST_REQUIRE(ok(a.link_->start()));
    BOOST_REQUIRE(ok(b.link_->start()));
    constexpr std::uint64_t count = 500;
    for (std::uint64_t number = 0; number < count; ++number)
        BOOST_TEST(a.link_->send("tcp://127.0.0.1:20102", RulesRequest{Revision{number}}));
    for (std::uint64_t number = 0; number < count; ++number) {
        const Envelope envelope = b.await<Envelope>();
        BOOST_TEST(envelope.from_.text_ == "a");
        BOOST_TEST(envelope.replyAddress_ == "tcp://127.0.0.1:20101");
        BOOST_TEST(std::get<RulesRequest>(envelope.message_).have_.value_ == number);
    }
}

BOOST_AUTO_TEST_CASE(offerToAbsentPeerIsGivenBack)
{
    Node a("a", "tcp://127.0.0.1:20103");
    BOOST_REQUIRE(ok(a.link_->start()));
    Offer offer;
    offer.attempt_ = {"one"};
    BOOST_TEST(a.link_->send("tcp://127.0.0.1:20104", offer));
    const SendFailed failed = a.await<SendFailed>();
    BOOST_TEST(std::get<Offer>(failed.message_).attempt_.text_ == "one");
}

BOOST_AUTO_TEST_CASE(inboxHasOneHolder)
{
    Node a("a", "tcp://127.0.0.1:20105");
    Node second("a", "tcp://127.0.0.1:20105");
    BOOST_REQUIRE(ok(a.link_->start()));
    BOOST_TEST(!ok(second.link_->start()));
}

BOOST_AUTO_TEST_CASE(lostPeerIsReported)
{
    Node a("a", "tcp://127.0.0.1:20106");
    auto b = std::make_unique<Node>("b", "tcp://127.0.0.1:20107");
    BOOST_REQUIRE(ok(a.link_->start()));
    BOOST_REQUIRE(ok(b->link_->start()));
    a.link_->connect("tcp://127.0.0.1:20107");
    BOOST_TEST(a.await<LinkChanged>().up_);
    b.reset();
    BOOST_TEST(!a.await<LinkChanged>().up_);
}

BOOST_AUTO_TEST_CASE(stopEndsThoughNobodyTakesDeliveries)
{
    Node a("a", "tcp://127.0.0.1:20108");
    BOOST_REQUIRE(ok(a.link_->start()));
    a.events_.close();
    BOOST_TEST(a.link_->send("tcp://127.0.0.1:20109", Offer{}));
    a.link_->stop();
    BOOST_TEST(!a.link_->send("tcp://127.0.0.1:20109", Offer{}));
}
