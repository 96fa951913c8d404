#include "ClientAccount/ledger.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

const AccountName account = {"growers"};
const std::string key = "/eelgrasscove/shares/growers";
constexpr Time start = Time(1h);
constexpr AllowanceShare contract = {100, 1000};

/// Simulated key-value service with a single key.
struct Store
{
    KvPair pair_ = {key, "", 0};
};

struct Process
{
    Ledger ledger_;
    Allowance allowance_;
};

VmList listOf(const std::vector<std::string> &names)
{
    VmList list;
    for (const std::string &name : names) {
        ListedVm vm;
        vm.vm_ = {name};
        list.vms_.push_back(vm);
    }
    return list;
}

Process makeProcess(const std::string &name, const VmList &list, std::uint64_t incarnation = 1)
{
    Process process;
    process.ledger_.self_ = {name};
    process.ledger_.incarnation_ = {incarnation};
    applyEntryList(process.ledger_, list, start);
    applyContract(process.ledger_, account, contract, {1}, start);
    return process;
}

KvOutcome execute(Store &store, const KvOperation &operation)
{
    KvOutcome outcome;
    outcome.tag_ = operation.tag_;
    outcome.status_ = KvStatus::Succeeded;
    if (!operation.writes_.empty()) {
        if (operation.conditions_.front().modRevision_ == store.pair_.modRevision_) {
            store.pair_.value_ = *operation.writes_.front().value_;
            ++store.pair_.modRevision_;
        } else {
            outcome.status_ = KvStatus::ConditionFailed;
        }
    }
    if (store.pair_.modRevision_ > 0)
        outcome.reads_.push_back(store.pair_);
    return outcome;
}

/// Exchanges calls and outcomes until no call is due at this time.
void exchangeUntilIdle(Process &process, Store &store, Time now)
{
    auto operations = advanceLedger(process.ledger_, process.allowance_, now);
    applyShares(process.ledger_, process.allowance_, now);
    while (!operations.empty()) {
        const KvOutcome outcome = execute(store, operations.front());
        operations = handleKvOutcome(process.ledger_, outcome, process.allowance_, now);
        applyShares(process.ledger_, process.allowance_, now);
    }
}

std::int64_t burstOf(const Process &process)
{
    return usableShare(process.ledger_.accounts_.at(account)).burstTokens_;
}

} // namespace

BOOST_AUTO_TEST_CASE(entries_converge_to_equal_shares)
{
    Store store;
    Process north = makeProcess("north", listOf({"north"}));
    exchangeUntilIdle(north, store, start);
    BOOST_TEST(burstOf(north) == 1000);
    const VmList both = listOf({"north", "river"});
    Process river = makeProcess("river", both);
    exchangeUntilIdle(river, store, start);
    BOOST_TEST(burstOf(river) == 0);
    applyEntryList(north.ledger_, both, start + 1s);
    exchangeUntilIdle(north, store, start + 1s);
    exchangeUntilIdle(river, store, start + 2s);
    BOOST_TEST(burstOf(north) == 500);
    BOOST_TEST(burstOf(river) == 500);
}

BOOST_AUTO_TEST_CASE(unlisted_vm_acquires_no_share)
{
    Store store;
    Process north = makeProcess("north", listOf({"river"}));
    exchangeUntilIdle(north, store, start);
    BOOST_TEST(store.pair_.modRevision_ == 0);
    BOOST_TEST(burstOf(north) == 0);
}

BOOST_AUTO_TEST_CASE(draining_entry_returns_its_share_once_no_tokens_are_outstanding)
{
    Store store;
    Process north = makeProcess("north", listOf({"north"}));
    exchangeUntilIdle(north, store, start);
    const Time later = start + 1min;
    reserve(north.allowance_, account, {"a"}, 100, later);
    north.ledger_.isDraining_ = true;
    exchangeUntilIdle(north, store, later);
    BOOST_TEST(burstOf(north) == 1000);
    BOOST_TEST(!hasReturnedShares(north.ledger_));
    settle(north.allowance_, account, {"a"}, 100, later);
    exchangeUntilIdle(north, store, later);
    BOOST_TEST(burstOf(north) == 0);
    BOOST_TEST(hasReturnedShares(north.ledger_));
}

BOOST_AUTO_TEST_CASE(outstanding_tokens_stay_in_the_share)
{
    Store store;
    Process north = makeProcess("north", listOf({"north"}));
    exchangeUntilIdle(north, store, start);
    const Time later = start + 1min;
    reserve(north.allowance_, account, {"a"}, 800, later);
    applyEntryList(north.ledger_, listOf({"north", "river"}), later);
    exchangeUntilIdle(north, store, later);
    BOOST_TEST(burstOf(north) == 800);
}

BOOST_AUTO_TEST_CASE(write_with_unknown_outcome_limits_the_share_until_it_is_settled)
{
    Store store;
    Process north = makeProcess("north", listOf({"north"}));
    exchangeUntilIdle(north, store, start);
    applyEntryList(north.ledger_, listOf({"north", "river"}), start + 1s);
    const auto firstRead = advanceLedger(north.ledger_, north.allowance_, start + 1s);
    const auto firstWrite = handleKvOutcome(north.ledger_, execute(store, firstRead.front()),
                                            north.allowance_, start + 1s);
    BOOST_TEST(burstOf(north) == 500);
    KvOutcome unknown;
    unknown.tag_ = firstWrite.front().tag_;
    handleKvOutcome(north.ledger_, unknown, north.allowance_, start + 2s);
    applyEntryList(north.ledger_, listOf({"north"}), start + 3s);
    const auto secondRead = advanceLedger(north.ledger_, north.allowance_, start + 3s);
    const auto secondWrite = handleKvOutcome(north.ledger_, execute(store, secondRead.front()),
                                             north.allowance_, start + 3s);
    BOOST_TEST(burstOf(north) == 500);
    execute(store, firstWrite.front());
    handleKvOutcome(north.ledger_, execute(store, secondWrite.front()), north.allowance_,
                    start + 3s);
    BOOST_TEST(burstOf(north) == 500);
}

BOOST_AUTO_TEST_CASE(share_of_removed_vm_is_reclaimed_after_the_maximum_attempt_duration)
{
    Store store;
    const VmList both = listOf({"north", "river"});
    Process river = makeProcess("river", both);
    exchangeUntilIdle(river, store, start);
    Process north = makeProcess("north", both);
    exchangeUntilIdle(north, store, start);
    const Duration maxDuration = north.ledger_.policy_.maxAttemptDuration_;
    applyEntryList(north.ledger_, listOf({"north"}), start + 1s);
    exchangeUntilIdle(north, store, start + maxDuration);
    BOOST_TEST(burstOf(north) == 500);
    applyEntryList(north.ledger_, listOf({"north"}), start + 1s + maxDuration);
    exchangeUntilIdle(north, store, start + 10min);
    BOOST_TEST(burstOf(north) == 1000);
}

BOOST_AUTO_TEST_CASE(restarted_process_counts_its_inherited_burst_as_outstanding)
{
    Store store;
    const VmList list = listOf({"north"});
    Process before = makeProcess("north", list);
    exchangeUntilIdle(before, store, start);
    Process after = makeProcess("north", list, 2);
    exchangeUntilIdle(after, store, start);
    BOOST_TEST(burstOf(after) == 1000);
    const Duration maxDuration = after.ledger_.policy_.maxAttemptDuration_;
    BOOST_TEST(freeTokens(after.allowance_, account, start + maxDuration) == 0);
    applyShares(after.ledger_, after.allowance_, start + maxDuration);
    BOOST_TEST(freeTokens(after.allowance_, account, start + maxDuration + 1s) == 100);
}

BOOST_AUTO_TEST_CASE(record_round_trips_through_its_text_and_malformed_lines_are_rejected)
{
    ShareRecord record;
    record.rulesRevision_ = {7};
    record.contract_ = contract;
    record.shares_ = {{{"north"}, {3}, {50, 500}, {100, 1000}}};
    const auto parsed = parseShareRecord(shareRecordText(record));
    BOOST_REQUIRE(ok(parsed));
    BOOST_TEST(shareRecordText(valueOf(parsed)) == shareRecordText(record));
    const auto refused = parseShareRecord("contract 1 2 3\nshare north 1 -5 0 0 0\n");
    BOOST_REQUIRE(!ok(refused));
    BOOST_TEST(errorOf(refused).line_ == 2U);
}
