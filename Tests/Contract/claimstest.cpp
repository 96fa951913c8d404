#include "Contract/claims.h"

#include "../Platform/fakekeyvalue.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 3000;
constexpr int entries = 3;
constexpr int keys = 4;
constexpr int requestsPerKey = 6;

/// Virtual time, in which faults stop and all that is under way comes to an end.
constexpr Duration faultsUntil = 60s;
constexpr Duration endAt = 1h;
constexpr Duration callTimeout = 2s;

/// What became of one request.
struct Trace
{
    int key_ = 0;
    int entry_ = 0;
    bool ran_ = false;
    bool toldNotRun_ = false;
    int verdicts_ = 0;
};

/// Entries, callers and the key-value service in virtual time. One seed gives one run.
struct Simulation
{
    std::mt19937_64 random_;
    FakeKeyValue store_;
    Time now_;
    std::multimap<Time, std::function<void()>> events_;
    std::vector<Claims> entries_;
    /// Counts restarts, so that what was under way for a dead process is dropped.
    std::vector<int> lives_;
    /// When each entry is ticked next.
    std::vector<Time> ticks_;
    std::map<RequestId, Trace> traces_;
    std::map<int, std::string> answers_;
    std::vector<std::string> faults_;
    int requests_ = 0;
    int crashes_ = 0;
    std::set<int> keysHeldAtCrash_;
    int replays_ = 0;

    int pick(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }

    bool percent(int chanceInPercent) { return pick(1, 100) <= chanceInPercent; }
    Duration upTo(Duration most) { return Duration(pick(0, static_cast<int>(most.count()))); }
    bool faulty() const { return now_ < Time(faultsUntil); }

    void at(Duration wait, std::function<void()> action)
    {
        events_.emplace(now_ + wait, std::move(action));
    }

    /// An action of one life of an entry.
    void atEntry(int entry, Duration wait, const std::function<void()> &action)
    {
        at(wait, [this, entry, life = lives_[entry], action] {
            if (life == lives_[entry])
                action();
        });
    }

    void act(int entry, const ClaimActions &actions)
    {
        for (const ClaimAction &action : actions) {
            if (const auto *operation = std::get_if<KvOperation>(&action))
                call(entry, *operation);
            else if (const auto *decided = std::get_if<ClaimDecided>(&action))
                decide(entry, *decided);
        }
        if (const std::optional<Time> tick = nextClaimTick(entries_[entry])) {
            atEntry(entry, std::max(Duration(0), *tick - now_),
                    [this, entry] { act(entry, tickClaims(entries_[entry], now_)); });
        }
    }

    void answer(int entry, Duration wait, const KvOutcome &outcome)
    {
        atEntry(entry, wait, [this, entry, outcome] {
            act(entry, takeClaimOutcome(entries_[entry], outcome, now_));
        });
    }

    /// The call takes effect at some time, and its reply comes in time or not at all.
    void call(int entry, const KvOperation &operation)
    {
        KvOutcome lost;
        lost.tag_ = operation.tag_;
        if (faulty() && percent(10)) {
            lost.status_ = KvStatus::NotSent;
            answer(entry, upTo(5ms), lost);
            return;
        }
        lost.status_ = KvStatus::Unknown;
        const bool isLost = faulty() && percent(25);
        if (!isLost) {
            at(upTo(5ms), [this, entry, operation] {
                answer(entry, upTo(5ms), applyOperation(store_, operation));
            });
            return;
        }
        // The effect comes before or long after the caller has given up, or never.
        if (percent(80))
            at(upTo(percent(50) ? 2s : 200s),
               [this, operation] { applyOperation(store_, operation); });
        answer(entry, percent(50) ? upTo(10ms) : callTimeout, lost);
    }

    void decide(int entry, const ClaimDecided &decided)
    {
        Trace &trace = traces_.at(decided.request_);
        trace.verdicts_ += 1;
        if (std::holds_alternative<ClaimMine>(decided.verdict_)) {
            const RequestId request = decided.request_;
            atEntry(entry, upTo(20ms), [this, entry, request] { run(entry, request); });
        } else if (const auto *replay = std::get_if<ClaimReplay>(&decided.verdict_)) {
            replays_ += 1;
            if (replay->answer_.body_ != answers_[trace.key_])
                faults_.push_back("a wrong answer was replayed");
        } else if (std::holds_alternative<ClaimRefused>(decided.verdict_)) {
            trace.toldNotRun_ = true;
        } else if (std::holds_alternative<ClaimBodyDiffers>(decided.verdict_)) {
            faults_.push_back("a body counted as different");
        }
    }

    /// The entry makes the call, or its target refuses it as not run.
    void run(int entry, const RequestId &request)
    {
        Trace &trace = traces_.at(request);
        if (percent(30)) {
            trace.toldNotRun_ = true;
            act(entry, releaseClaim(entries_[entry], request, now_));
            return;
        }
        trace.ran_ = true;
        answers_[trace.key_] = "answer to " + request.text_;
        atEntry(entry, upTo(500ms), [this, entry, request] {
            const StoredAnswer answer{201, "text/plain", "answer to " + request.text_, true};
            if (percent(10))
                act(entry, abandonClaim(entries_[entry], request, now_));
            else
                act(entry, finishClaim(entries_[entry], request, answer, now_));
        });
    }

    void crash(int entry)
    {
        for (const auto &[request, claim] : entries_[entry].claims_)
            keysHeldAtCrash_.insert(traces_.at(request).key_);
        // A call made just before the crash may be made by a dead process no more.
        for (const auto &[request, trace] : traces_) {
            if (trace.entry_ == entry && !trace.ran_)
                keysHeldAtCrash_.insert(trace.key_);
        }
        lives_[entry] += 1;
        ticks_[entry] = Time::max();
        crashes_ += 1;
        entries_[entry] = Claims{};
        entries_[entry].vm_.text_ = "e" + std::to_string(entry);
    }

    void send(int key)
    {
        const int entry = pick(0, entries - 1);
        ClaimRequest request;
        request.request_.text_ = "r" + std::to_string(++requests_);
        request.account_.text_ = "a";
        request.idempotencyKey_ = "k" + std::to_string(key);
        request.fingerprint_.text_ = "f";
        request.deadline_ = now_ + 50ms + upTo(8s);
        traces_[request.request_] = {key, entry, false, false, 0};
        act(entry, beginClaim(entries_[entry], request, now_));
        if (percent(5)) {
            atEntry(entry, upTo(100ms), [this, entry, id = request.request_] {
                if (traces_.at(id).verdicts_ > 0)
                    return;
                traces_.at(id).toldNotRun_ = true;
                act(entry, releaseClaim(entries_[entry], id, now_));
            });
        }
    }

    void start(std::uint64_t seed)
    {
        random_.seed(seed);
        entries_.resize(entries);
        lives_.resize(entries);
        ticks_.assign(entries, Time::max());
        for (int entry = 0; entry < entries; ++entry)
            entries_[entry].vm_.text_ = "e" + std::to_string(entry);
        for (int key = 0; key < keys; ++key) {
            for (int request = 0; request < requestsPerKey; ++request)
                at(upTo(percent(50) ? 20ms : 50s), [this, key] { send(key); });
        }
        // Half of the seeds run without crashes, so that nothing may be left behind there.
        for (int entry = 0; entry < entries && seed % 2 == 0; ++entry)
            at(upTo(50s), [this, entry] { crash(entry); });
    }

    void runAll()
    {
        while (!events_.empty() && events_.begin()->first <= Time(endAt)) {
            auto first = events_.extract(events_.begin());
            now_ = first.key();
            first.mapped()();
        }
    }
};

void checkRuns(const Simulation &simulation)
{
    std::map<int, int> runs;
    for (const auto &[request, trace] : simulation.traces_) {
        runs[trace.key_] += trace.ran_ ? 1 : 0;
        BOOST_TEST(!(trace.ran_ && trace.toldNotRun_), request.text_ << " ran, told not run");
        BOOST_TEST(trace.verdicts_ <= 1, request.text_ << " has two verdicts");
    }
    for (const auto &[key, count] : runs)
        BOOST_TEST(count <= 1, "key " << key << " ran " << count << " times");
}

/// Without a crash, a key that never ran is free in the end, and each request has its verdict.
void checkNothingLeft(const Simulation &simulation)
{
    std::set<int> ran;
    for (const auto &[request, trace] : simulation.traces_) {
        if (trace.ran_)
            ran.insert(trace.key_);
        const bool decided = trace.verdicts_ == 1 || trace.toldNotRun_;
        BOOST_TEST((decided || simulation.crashes_ > 0), request.text_ << " has no verdict");
    }
    for (const Claims &claims : simulation.entries_)
        BOOST_TEST(claims.claims_.empty());
    for (int key = 0; key < keys; ++key) {
        const std::string stored = claimKey({"a"}, "k" + std::to_string(key));
        const bool left = simulation.store_.pairs_.contains(stored);
        const bool mayBeLeft = ran.contains(key) || simulation.keysHeldAtCrash_.contains(key);
        BOOST_TEST((!left || mayBeLeft), "key " << key << " is left claimed but never ran");
    }
}

Claims oneEntry()
{
    Claims claims;
    claims.vm_.text_ = "e";
    return claims;
}

ClaimRequest requestOf(const std::string &id, const std::string &fingerprint = "f")
{
    return {{id}, {"a"}, "key", {fingerprint}, Time(10s)};
}

/// Runs the entry against a service without faults; the last verdict given.
ClaimVerdict settle(Claims &claims, FakeKeyValue &store, ClaimActions actions)
{
    ClaimVerdict verdict = ClaimRefused{};
    while (!actions.empty()) {
        const ClaimAction action = actions.front();
        actions.erase(actions.begin());
        if (const auto *decided = std::get_if<ClaimDecided>(&action))
            verdict = decided->verdict_;
        const auto *operation = std::get_if<KvOperation>(&action);
        if (operation == nullptr)
            continue;
        const ClaimActions more =
            takeClaimOutcome(claims, applyOperation(store, *operation), Time(1s));
        actions.insert(actions.end(), more.begin(), more.end());
    }
    return verdict;
}

} // namespace

BOOST_AUTO_TEST_CASE(recordsKeepAnyBytes)
{
    ClaimRecord record{{"r"}, {"f"}, ClaimState::Answered, {201, "text/plain", "", true}};
    record.answer_.body_ = std::string("\0\xff\x80 x", 5);
    const auto read = decodeClaimRecord(encodeClaimRecord(record));
    BOOST_REQUIRE(ok(read));
    BOOST_TEST(valueOf(read).answer_.body_ == record.answer_.body_);
    record.answer_.body_ = std::string(mostKeptBody + 1, 'x');
    const auto large = decodeClaimRecord(encodeClaimRecord(record));
    BOOST_TEST(!valueOf(large).answer_.bodyKept_);
    BOOST_TEST(valueOf(large).answer_.body_.empty());
    for (const char *bytes : {"", "x", "\x80", "\xc1"})
        BOOST_TEST(!ok(decodeClaimRecord(bytes)));
}

BOOST_AUTO_TEST_CASE(secondCallGetsTheFirstOnesAnswer)
{
    FakeKeyValue store;
    Claims claims = oneEntry();
    Claims other = oneEntry();
    other.vm_.text_ = "other";
    const Time now(1s);
    BOOST_TEST(std::holds_alternative<ClaimMine>(
        settle(claims, store, beginClaim(claims, requestOf("r1"), now))));
    BOOST_TEST(std::holds_alternative<ClaimInProgress>(
        settle(other, store, beginClaim(other, requestOf("r2"), now))));
    settle(claims, store, finishClaim(claims, {"r1"}, {201, "t", "booked", true}, now));
    const ClaimVerdict replay = settle(other, store, beginClaim(other, requestOf("r3"), now));
    BOOST_REQUIRE(std::holds_alternative<ClaimReplay>(replay));
    BOOST_TEST(std::get<ClaimReplay>(replay).answer_.body_ == "booked");
    BOOST_TEST(std::holds_alternative<ClaimBodyDiffers>(
        settle(other, store, beginClaim(other, requestOf("r4", "g"), now))));
    BOOST_TEST(claims.claims_.empty());
    BOOST_TEST(other.claims_.empty());
}

BOOST_AUTO_TEST_CASE(aReleasedClaimMayBeClaimedAnew)
{
    FakeKeyValue store;
    Claims claims = oneEntry();
    settle(claims, store, beginClaim(claims, requestOf("r1"), Time(1s)));
    settle(claims, store, releaseClaim(claims, {"r1"}, Time(1s)));
    BOOST_TEST(claims.claims_.empty());
    BOOST_TEST(std::holds_alternative<ClaimMine>(
        settle(claims, store, beginClaim(claims, requestOf("r2"), Time(1s)))));
}

BOOST_AUTO_TEST_CASE(withThePlatformAwayClaimsAreRefusedAtOnce)
{
    Claims claims = oneEntry();
    const ClaimActions first = beginClaim(claims, requestOf("r1"), Time(1s));
    BOOST_REQUIRE(first.size() == 1U);
    KvOutcome away;
    away.tag_ = std::get<KvOperation>(first[0]).tag_;
    away.status_ = KvStatus::NotSent;
    const ClaimActions refused = takeClaimOutcome(claims, away, Time(1s));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(std::holds_alternative<ClaimRefused>(std::get<ClaimDecided>(refused[0]).verdict_));
    BOOST_TEST(claims.claims_.empty());
}

BOOST_AUTO_TEST_CASE(atMostOneRunAndNoClaimLeftBehindUnderEveryFault)
{
    int replays = 0;
    int runs = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Simulation simulation;
            simulation.start(seed);
            simulation.runAll();
            checkRuns(simulation);
            checkNothingLeft(simulation);
            BOOST_TEST(simulation.faults_.empty());
            replays += simulation.replays_;
            for (const auto &[request, trace] : simulation.traces_)
                runs += trace.ran_ ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE(runs << " runs and " << replays << " replays over " << seeds << " seeds");
    BOOST_TEST(runs > 0);
    BOOST_TEST(replays > 0);
}
