#include "servingpath.h"

using namespace standins;

namespace {

constexpr const char *secondKey = "Authorization: Bearer k2\r\n";

/// The bound of the operators on the adoption of new rules.
constexpr Duration adoptionBound = 2s;
constexpr Duration requestPause = 20ms;
constexpr const char *firstKey = "Authorization: Bearer k1\r\n";

/// A serving path whose store comes back from an older copy of itself.
struct RestoredPath : ServingPath
{
    explicit RestoredPath(int number, const ServingBounds &bounds = {.revoke_ = 5s})
        : ServingPath(number, {}, bounds)
    {
        store_.era_ = 1;
        waitUntilServing();
        copy_ = store_.copy();
    }

    /// Publishes rules that the entry adopts.
    void adoptRules(int version, const std::string &keys, const char *knownKey)
    {
        publishRules(version, keys, 0);
        BOOST_REQUIRE(turnUntil(loop_, 2s, [&] {
            return sendAndAwaitHead("GET", "/look/a", knownKey)->status() == 200;
        }));
    }

    /// Lets the entry know a revision that is higher than the copy's.
    void raiseRevision()
    {
        for (int change = 0; change < 10; ++change)
            store_.put("op/version/m.a1", "none");
        turnFor(loop_, 500ms);
    }

    /// The store is away for a moment and restored. The operator writes below the known revision;
    /// before the entry's next call, changes of other keys take the store past it.
    void restore(const std::function<void()> &writeAgain)
    {
        const std::uint64_t before = store_.revision_;
        store_.fault_ = StoreFault::Silent;
        store_.cutWatches();
        turnFor(loop_, 600ms);
        store_.restore(copy_);
        writeAgain();
        BOOST_REQUIRE(store_.revision_ < before);
        while (store_.revision_ <= before + 5)
            store_.put("other/x", "beat");
        store_.fault_ = StoreFault::None;
    }

    bool awaitStatus(const char *key, unsigned status, Duration most)
    {
        return turnUntil(loop_, most, [&] {
            return sendAndAwaitHead("GET", "/look/a", key)->status() == status;
        });
    }

    /// Sends requests for some time and returns the statuses of the responses.
    std::set<unsigned> statusesFor(Duration span, const char *key)
    {
        std::set<unsigned> statuses;
        const Time end = bootNow() + span;
        while (bootNow() < end) {
            statuses.insert(sendAndAwaitHead("GET", "/look/a", key)->status());
            turnFor(loop_, requestPause);
        }
        return statuses;
    }

    Store::Copy copy_;
};

} // namespace

BOOST_AUTO_TEST_CASE(rules_written_below_the_known_revision_of_a_restored_store_are_in_force)
{
    RestoredPath path(103);
    path.raiseRevision();
    path.restore([&] { path.publishRules(2, "\"k2\"", 0); });
    BOOST_TEST(path.awaitStatus(secondKey, 200, adoptionBound));
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 401);
}

BOOST_AUTO_TEST_CASE(target_list_of_a_restored_store_is_read_anew)
{
    RestoredPath path(104);
    path.raiseRevision();
    for (int beat = 0; beat < 3; ++beat)
        path.registerTarget(1, "i-1", "ready", 1);
    turnFor(path.loop_, 1500ms);
    path.restore([&] {
        path.store_.remove("servers/i-0");
        path.registerTarget(0, "i-2", "ready", 5);
    });
    turnFor(path.loop_, 4s);
    BOOST_TEST(path.isFirstTargetUsed());
    for (const SeenRequest &request : path.targets_[0]->seen_)
        BOOST_TEST(request.head_.header("X-Eelgrasscove-Expect-Instance") == "i-2");
}

BOOST_AUTO_TEST_CASE(older_rules_in_a_restored_store_bring_no_withdrawn_key_back)
{
    RestoredPath path(105, {.revoke_ = 3s});
    path.adoptRules(2, "\"k2\"", secondKey);
    path.restore([] {});
    BOOST_TEST(!path.statusesFor(3500ms, firstKey).contains(200));
    // A version that was lost as well may have withdrawn any key.
    BOOST_TEST(path.awaitStatus(secondKey, 503, 1s));
    turnFor(path.loop_, 1s);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a", secondKey)->status() == 503);
    path.publishRules(2, "\"k2\"", 0);
    BOOST_TEST(path.awaitStatus(secondKey, 200, adoptionBound));
}

BOOST_AUTO_TEST_CASE(known_rules_stay_in_force_while_a_restored_store_is_written_again)
{
    RestoredPath path(106);
    path.adoptRules(2, "\"k2\"", secondKey);
    path.restore([] {});
    BOOST_TEST(path.statusesFor(1500ms, secondKey) == std::set<unsigned>{200},
               boost::test_tools::per_element());
    path.publishRules(2, "\"k2\"", 0);
    BOOST_TEST(path.statusesFor(6s, secondKey) == std::set<unsigned>{200},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_that_starts_with_older_rules_than_its_peers_accepts_no_key)
{
    ServingPath path(107, {}, {.revoke_ = 5s});
    path.store_.era_ = 2;
    PeerEntry peer(path);
    peer.state_.storeEra_ = 2;
    peer.state_.rulesVersion_ = 2;
    path.waitUntilServing();
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    turnFor(path.loop_, 100ms);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/look/a")->status() == 503);
    BOOST_TEST(path.sendAndAwaitHead("GET", "/open/a")->status() == 200);
    path.publishRules(2, "\"k2\"", 0);
    peer.state_.operatorRevision_ = path.store_.revision_;
    BOOST_TEST(turnUntil(path.loop_, adoptionBound, [&] {
        return path.sendAndAwaitHead("GET", "/look/a", secondKey)->status() == 200;
    }));
}

BOOST_AUTO_TEST_CASE(revisions_of_a_peer_in_another_era_are_not_compared)
{
    RestoredPath path(108);
    PeerEntry peer(path);
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    path.raiseRevision();
    path.restore([&] { path.publishRules(2, "\"k2\"", 0); });
    BOOST_TEST(path.awaitStatus(secondKey, 200, adoptionBound));
    peer.state_.storeEra_ = 1;
    peer.state_.targetsAgeMicros_ = 0;
    const auto confirmationsIn = [&](Duration span) {
        const std::string name = "eelgrasscove_store_calls_total{call=\"confirm\"}";
        const std::uint64_t before = ServingPath::metric(name);
        turnFor(path.loop_, span);
        return ServingPath::metric(name) - before;
    };
    turnFor(path.loop_, 3s);
    const std::uint64_t calm = confirmationsIn(4s);
    // Changes of the era before, which the entry can't learn of by a query.
    peer.state_.operatorRevision_ = path.store_.revision_ + 100;
    peer.state_.targetsRevision_ = path.store_.revision_ + 100;
    BOOST_TEST(confirmationsIn(4s) <= calm + 1);
    // Its confirmation of rules of this version proves nothing either.
    peer.state_.rulesVersion_ = 2;
    path.store_.fault_ = StoreFault::Busy;
    path.store_.cutWatches();
    BOOST_TEST(path.awaitStatus(secondKey, 503, 6s));
}

BOOST_AUTO_TEST_CASE(peer_that_knows_a_later_era_makes_the_entry_query_the_store)
{
    RestoredPath path(109, {.revoke_ = 60s});
    PeerEntry peer(path);
    BOOST_REQUIRE(turnUntil(path.loop_, 3s, [&] { return peer.received_ > 0; }));
    path.raiseRevision();
    // The watch goes on while the store is restored and ends after 27 s.
    path.store_.restore(path.copy_);
    path.publishRules(2, "\"k2\"", 0);
    while (path.store_.revision_ < path.copy_.revision_ + 50)
        path.store_.put("other/x", "beat");
    peer.state_.storeEra_ = 2;
    BOOST_TEST(path.awaitStatus(secondKey, 200, 1500ms));
}

BOOST_AUTO_TEST_CASE(target_removed_before_the_store_was_restored_gets_no_requests)
{
    RestoredPath path(157);
    path.store_.remove("servers/i-0");
    BOOST_REQUIRE(turnUntil(path.loop_, 6s, [&] { return !path.isFirstTargetUsed(); }));
    path.handlers_[1] = [](const auto &from, SeenRequest &&request) {
        from->answer(200, ServingPath::requestIdHeader(request) + signatureHeader, "done");
    };
    turnFor(path.loop_, 3s);
    for (Server *target : path.targets_)
        target->seen_.clear();
    path.store_.restore(path.copy_);
    turnFor(path.loop_, 200ms);
    path.store_.put("servers/i-1", path.targetItem(path.address(2), "ready", 1));
    BOOST_TEST(path.statusesFor(3500ms, firstKey) == std::set<unsigned>{200},
               boost::test_tools::per_element());
    BOOST_TEST(path.targets_[0]->seen_.empty());
    BOOST_TEST(!path.targets_[1]->seen_.empty());
    // Written anew, so the target lives.
    path.registerTarget(0, "i-0");
    turnFor(path.loop_, 3s);
    BOOST_TEST(path.isFirstTargetUsed());
}
