#include "Contract/claims.h"

#include "../Platform/fakekeyvalue.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 3000;
constexpr int entries = 3;
constexpr int keys = 4;
constexpr int requestsPerKey = 6;

/// Virtual times: faults are injected until faultsUntil, and all pending work has ended by endAt.
constexpr Duration faultsUntil = 60s;
constexpr Duration endAt = 1h;
constexpr Duration callTimeout = 2s;

/// The recorded history of one request.
struct RequestHistory
{
    int key_ = 0;
    int entry_ = 0;
    bool hasRun_ = false;
    bool isReportedNotRun_ = false;
    int verdicts_ = 0;
};

/// Simulates entries, callers and the key-value service in virtual time; a seed determines the run.
struct Simulation
{
    std::mt19937_64 random_;
    FakeKeyValue store_;
    Time now_;
    std::multimap<Time, std::function<void()>> events_;
    std::vector<Claims> entries_;
    /// Number of restarts of each entry, to drop the pending actions of a crashed process.
    std::vector<int> restartCounts_;
    /// Time of the next tick of each entry.
    std::vector<Time> ticks_;
    std::map<RequestId, RequestHistory> histories_;
    std::map<int, std::string> answers_;
    std::vector<std::string> failures_;
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
    bool injectsFaults() const { return now_ < Time(faultsUntil); }

    void schedule(Duration wait, std::function<void()> action)
    {
        events_.emplace(now_ + wait, std::move(action));
    }

    /// Schedules an action that is dropped if the entry restarts before.
    void scheduleAtEntry(int entry, Duration wait, const std::function<void()> &action)
    {
        schedule(wait, [this, entry, restartCount = restartCounts_[entry], action] {
            if (restartCount == restartCounts_[entry])
                action();
        });
    }

    void carryOut(int entry, const ClaimActions &actions)
    {
        for (const ClaimAction &action : actions) {
            if (const auto *operation = std::get_if<KvOperation>(&action))
                submitOperation(entry, *operation);
            else if (const auto *decided = std::get_if<ClaimDecided>(&action))
                recordVerdict(entry, *decided);
        }
        if (const std::optional<Time> tick = nextClaimTick(entries_[entry])) {
            scheduleAtEntry(entry, std::max(Duration(0), *tick - now_),
                            [this, entry] { carryOut(entry, tickClaims(entries_[entry], now_)); });
        }
    }

    void deliverOutcome(int entry, Duration wait, const KvOutcome &outcome)
    {
        scheduleAtEntry(entry, wait, [this, entry, outcome] {
            carryOut(entry, handleClaimOutcome(entries_[entry], outcome, now_));
        });
    }

    /// Submits an operation, whose request or reply may be lost and whose effect may be delayed.
    void submitOperation(int entry, const KvOperation &operation)
    {
        KvOutcome failure;
        failure.tag_ = operation.tag_;
        if (injectsFaults() && percent(10)) {
            failure.status_ = KvStatus::NotSent;
            deliverOutcome(entry, upTo(5ms), failure);
            return;
        }
        failure.status_ = KvStatus::Unknown;
        const bool isLost = injectsFaults() && percent(25);
        if (!isLost) {
            schedule(upTo(5ms), [this, entry, operation] {
                deliverOutcome(entry, upTo(5ms), applyOperation(store_, operation));
            });
            return;
        }
        // The operation takes effect before the caller's time-out, long after it, or never.
        if (percent(80))
            schedule(upTo(percent(50) ? 2s : 200s),
                     [this, operation] { applyOperation(store_, operation); });
        deliverOutcome(entry, percent(50) ? upTo(10ms) : callTimeout, failure);
    }

    void recordVerdict(int entry, const ClaimDecided &decided)
    {
        RequestHistory &history = histories_.at(decided.request_);
        history.verdicts_ += 1;
        if (std::holds_alternative<ClaimGranted>(decided.verdict_)) {
            const RequestId request = decided.request_;
            scheduleAtEntry(entry, upTo(20ms), [this, entry, request] { run(entry, request); });
        } else if (const auto *replay = std::get_if<ClaimReplay>(&decided.verdict_)) {
            replays_ += 1;
            if (replay->response_.body_ != answers_[history.key_])
                failures_.push_back("the replayed answer differs from the stored answer");
        } else if (std::holds_alternative<ClaimRefused>(decided.verdict_)) {
            history.isReportedNotRun_ = true;
        } else if (std::holds_alternative<ClaimFingerprintMismatch>(decided.verdict_)) {
            failures_.push_back("an identical body was treated as different");
        }
    }

    /// Makes the call, or simulates that its target refuses it as not run.
    void run(int entry, const RequestId &request)
    {
        RequestHistory &history = histories_.at(request);
        if (percent(30)) {
            history.isReportedNotRun_ = true;
            carryOut(entry, releaseClaim(entries_[entry], request, now_));
            return;
        }
        history.hasRun_ = true;
        answers_[history.key_] = "answer to " + request.text_;
        scheduleAtEntry(entry, upTo(500ms), [this, entry, request] {
            const StoredResponse answer{201, "text/plain", "answer to " + request.text_, true};
            if (percent(10))
                carryOut(entry, abandonClaim(entries_[entry], request, now_));
            else
                carryOut(entry, finishClaim(entries_[entry], request, answer, now_));
        });
    }

    void crash(int entry)
    {
        for (const auto &[request, claim] : entries_[entry].claims_)
            keysHeldAtCrash_.insert(histories_.at(request).key_);
        // A request that had not yet run when its entry crashed never runs, and its claim may
        // remain.
        for (const auto &[request, history] : histories_) {
            if (history.entry_ == entry && !history.hasRun_)
                keysHeldAtCrash_.insert(history.key_);
        }
        restartCounts_[entry] += 1;
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
        histories_[request.request_] = {key, entry, false, false, 0};
        carryOut(entry, beginClaim(entries_[entry], request, now_));
        if (percent(5)) {
            scheduleAtEntry(entry, upTo(100ms), [this, entry, id = request.request_] {
                if (histories_.at(id).verdicts_ > 0)
                    return;
                histories_.at(id).isReportedNotRun_ = true;
                carryOut(entry, releaseClaim(entries_[entry], id, now_));
            });
        }
    }

    void start(std::uint64_t seed)
    {
        random_.seed(seed);
        entries_.resize(entries);
        restartCounts_.resize(entries);
        ticks_.assign(entries, Time::max());
        for (int entry = 0; entry < entries; ++entry)
            entries_[entry].vm_.text_ = "e" + std::to_string(entry);
        for (int key = 0; key < keys; ++key) {
            for (int request = 0; request < requestsPerKey; ++request)
                schedule(upTo(percent(50) ? 20ms : 50s), [this, key] { send(key); });
        }
        // Half of the seeds run without crashes; there, no claim may remain.
        for (int entry = 0; entry < entries && seed % 2 == 0; ++entry)
            schedule(upTo(50s), [this, entry] { crash(entry); });
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
    for (const auto &[request, history] : simulation.histories_) {
        runs[history.key_] += history.hasRun_ ? 1 : 0;
        BOOST_TEST(!(history.hasRun_ && history.isReportedNotRun_),
                   request.text_ << " ran but was reported as not run");
        BOOST_TEST(history.verdicts_ <= 1, request.text_ << " has two verdicts");
    }
    for (const auto &[key, count] : runs)
        BOOST_TEST(count <= 1, "key " << key << " ran " << count << " times");
}

/// Checks that, without a crash, each request has a verdict and no claim remains for a key whose
/// call never ran.
void checkNoClaimRemains(const Simulation &simulation)
{
    std::set<int> ran;
    for (const auto &[request, history] : simulation.histories_) {
        if (history.hasRun_)
            ran.insert(history.key_);
        const bool decided = history.verdicts_ == 1 || history.isReportedNotRun_;
        BOOST_TEST((decided || simulation.crashes_ > 0), request.text_ << " has no verdict");
    }
    for (const Claims &claims : simulation.entries_)
        BOOST_TEST(claims.claims_.empty());
    for (int key = 0; key < keys; ++key) {
        const std::string stored = claimKey({"a"}, "k" + std::to_string(key));
        const bool remains = simulation.store_.pairs_.contains(stored);
        const bool mayRemain = ran.contains(key) || simulation.keysHeldAtCrash_.contains(key);
        BOOST_TEST((!remains || mayRemain), "key " << key << " is still claimed but never ran");
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

/// Runs the entry against a service without faults and returns the last verdict.
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
        const ClaimActions nextActions =
            handleClaimOutcome(claims, applyOperation(store, *operation), Time(1s));
        actions.insert(actions.end(), nextActions.begin(), nextActions.end());
    }
    return verdict;
}

} // namespace

BOOST_AUTO_TEST_CASE(record_round_trip_keeps_arbitrary_bytes_and_omits_oversized_bodies)
{
    ClaimRecord record{{"r"}, {"f"}, ClaimState::Answered, {201, "text/plain", "", true}};
    record.response_.body_ = std::string("\0\xff\x80 x", 5);
    const auto read = decodeClaimRecord(encodeClaimRecord(record));
    BOOST_REQUIRE(ok(read));
    BOOST_TEST(valueOf(read).response_.body_ == record.response_.body_);
    record.response_.body_ = std::string(maxStoredBodyBytes + 1, 'x');
    const auto oversized = decodeClaimRecord(encodeClaimRecord(record));
    BOOST_TEST(!valueOf(oversized).response_.isBodyStored_);
    BOOST_TEST(valueOf(oversized).response_.body_.empty());
    for (const char *bytes : {"", "x", "\x80", "\xc1"})
        BOOST_TEST(!ok(decodeClaimRecord(bytes)));
}

// Guards against a status that wraps around to a sound one.
BOOST_AUTO_TEST_CASE(record_with_a_status_out_of_range_is_rejected)
{
    const ClaimRecord record{{"r"}, {"f"}, ClaimState::Answered, {201, "text/plain", "x", true}};
    nlohmann::json json = nlohmann::json::from_msgpack(encodeClaimRecord(record));
    for (const std::uint64_t status : {4294967496ULL, 18446744073709551615ULL}) {
        json["answer"]["status"] = status;
        std::string bytes;
        nlohmann::json::to_msgpack(json, bytes);
        BOOST_TEST(!ok(decodeClaimRecord(bytes)), status);
    }
}

BOOST_AUTO_TEST_CASE(second_call_with_the_same_key_replays_the_first_answer)
{
    FakeKeyValue store;
    Claims claims = oneEntry();
    Claims other = oneEntry();
    other.vm_.text_ = "other";
    const Time now(1s);
    BOOST_TEST(std::holds_alternative<ClaimGranted>(
        settle(claims, store, beginClaim(claims, requestOf("r1"), now))));
    BOOST_TEST(std::holds_alternative<ClaimInProgress>(
        settle(other, store, beginClaim(other, requestOf("r2"), now))));
    settle(claims, store, finishClaim(claims, {"r1"}, {201, "t", "booked", true}, now));
    const ClaimVerdict replay = settle(other, store, beginClaim(other, requestOf("r3"), now));
    BOOST_REQUIRE(std::holds_alternative<ClaimReplay>(replay));
    BOOST_TEST(std::get<ClaimReplay>(replay).response_.body_ == "booked");
    BOOST_TEST(std::holds_alternative<ClaimFingerprintMismatch>(
        settle(other, store, beginClaim(other, requestOf("r4", "g"), now))));
    BOOST_TEST(claims.claims_.empty());
    BOOST_TEST(other.claims_.empty());
}

BOOST_AUTO_TEST_CASE(released_claim_can_be_claimed_again)
{
    FakeKeyValue store;
    Claims claims = oneEntry();
    settle(claims, store, beginClaim(claims, requestOf("r1"), Time(1s)));
    settle(claims, store, releaseClaim(claims, {"r1"}, Time(1s)));
    BOOST_TEST(claims.claims_.empty());
    BOOST_TEST(std::holds_alternative<ClaimGranted>(
        settle(claims, store, beginClaim(claims, requestOf("r2"), Time(1s)))));
}

BOOST_AUTO_TEST_CASE(claims_are_refused_at_once_when_the_platform_is_unavailable)
{
    Claims claims = oneEntry();
    const ClaimActions first = beginClaim(claims, requestOf("r1"), Time(1s));
    BOOST_REQUIRE(first.size() == 1U);
    KvOutcome unavailable;
    unavailable.tag_ = std::get<KvOperation>(first[0]).tag_;
    unavailable.status_ = KvStatus::NotSent;
    const ClaimActions refused = handleClaimOutcome(claims, unavailable, Time(1s));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(std::holds_alternative<ClaimRefused>(std::get<ClaimDecided>(refused[0]).verdict_));
    BOOST_TEST(claims.claims_.empty());
}

BOOST_AUTO_TEST_CASE(calls_run_at_most_once_and_no_claim_remains_under_random_faults)
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
            checkNoClaimRemains(simulation);
            BOOST_TEST(simulation.failures_.empty());
            replays += simulation.replays_;
            for (const auto &[request, history] : simulation.histories_)
                runs += history.hasRun_ ? 1 : 0;
        }
    }
    BOOST_TEST_MESSAGE(runs << " runs and " << replays << " replays over " << seeds << " seeds");
    BOOST_TEST(runs > 0);
    BOOST_TEST(replays > 0);
}
