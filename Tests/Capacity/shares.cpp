#include "fit.h"
#include "sections.h"

#include "ClientAccount/ledger.h"
#include "Contract/claims.h"
#include "Link/messagecodec.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace eelgrasscove::capacity {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time start = Time(std::chrono::hours(1));
const AccountName shop = {"member-0123"};
constexpr Duration callTime = milliseconds(4);

/// The key-value service, with what it was asked for.
struct CountingStore
{
    std::map<std::string, KvPair> pairs_;
    std::int64_t revision_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t lostRaces_ = 0;
    std::uint64_t bytes_ = 0;
};

std::int64_t revisionOf(const CountingStore &store, const std::string &key)
{
    const auto found = store.pairs_.find(key);
    return found == store.pairs_.end() ? 0 : found->second.modRevision_;
}

void write(CountingStore &store, const KvWrite &write)
{
    store.bytes_ += write.key_.size() + write.value_.value_or("").size();
    if (write.value_)
        store.pairs_[write.key_] = {write.key_, *write.value_, store.revision_};
    else
        store.pairs_.erase(write.key_);
}

KvOutcome call(CountingStore &store, const KvOperation &operation)
{
    ++store.calls_;
    KvOutcome outcome;
    outcome.tag_ = operation.tag_;
    outcome.leaseId_ = operation.grantLeaseSeconds_ > 0 ? 1 : 0;
    const bool holds =
        std::all_of(operation.conditions_.begin(), operation.conditions_.end(),
                    [&](const KvCondition &condition) {
                        return revisionOf(store, condition.key_) == condition.modRevision_;
                    });
    outcome.status_ = holds ? KvStatus::Succeeded : KvStatus::ConditionFailed;
    store.lostRaces_ += holds ? 0 : 1;
    if (holds && !operation.writes_.empty()) {
        ++store.writes_;
        ++store.revision_;
        for (const KvWrite &each : operation.writes_)
            write(store, each);
    }
    for (const KvRead &read : operation.reads_) {
        const auto found = store.pairs_.find(read.key_);
        if (found == store.pairs_.end())
            continue;
        store.bytes_ += found->second.key_.size() + found->second.value_.size();
        outcome.reads_.push_back(found->second);
    }
    outcome.revision_ = store.revision_;
    return outcome;
}

struct UnderWay
{
    Time at_;
    std::size_t entry_ = 0;
    KvOperation operation_;

    bool operator>(const UnderWay &other) const { return at_ > other.at_; }
};

/// Entries that share one account's contract, none of them using it.
class SharingEntries
{
public:
    explicit SharingEntries(std::size_t count)
    {
        for (std::size_t entry = 0; entry < count; ++entry)
            add();
        tellList();
    }

    void join()
    {
        add();
        tellList();
    }

    void runFor(Duration span)
    {
        for (const Time end = now_ + span; now_ < end; now_ += milliseconds(20)) {
            answerCalls();
            for (std::size_t entry = 0; entry < ledgers_.size(); ++entry)
                submit(entry, advanceLedger(ledgers_[entry], allowances_[entry], now_));
        }
    }

    bool allHold() const
    {
        return std::all_of(ledgers_.begin(), ledgers_.end(), [](const Ledger &ledger) {
            return usableShare(ledger.accounts_.at(shop)).tokensPerSecond_ > 0;
        });
    }

    Duration elapsed() const { return now_ - start; }

    CountingStore store_;

private:
    void add()
    {
        const VmName name = {fmt::format("entry-{:04}", ledgers_.size())};
        list_.vms_.push_back({name, {"region-west"}, {"data-centre-07"}, Role::Entry});
        Ledger &ledger = ledgers_.emplace_back();
        allowances_.emplace_back();
        ledger.self_ = name;
        ledger.incarnation_ = {1733300000000};
        ledger.policy_.keyPrefix_ = "shares/";
        applyContract(ledger, shop, {100000, 1000000}, {1}, now_);
    }

    void tellList()
    {
        for (Ledger &ledger : ledgers_)
            applyEntryList(ledger, list_, now_);
    }

    void submit(std::size_t entry, std::vector<KvOperation> operations)
    {
        applyShares(ledgers_[entry], allowances_[entry], now_);
        for (KvOperation &operation : operations) {
            const Duration jitter = std::chrono::microseconds(random_() % 4000);
            calls_.push({now_ + callTime + jitter, entry, std::move(operation)});
        }
    }

    void answerCalls()
    {
        while (!calls_.empty() && calls_.top().at_ <= now_) {
            const UnderWay made = calls_.top();
            calls_.pop();
            const KvOutcome outcome = call(store_, made.operation_);
            submit(made.entry_,
                   handleKvOutcome(ledgers_[made.entry_], outcome, allowances_[made.entry_], now_));
        }
    }

    VmList list_;
    std::vector<Ledger> ledgers_;
    std::vector<Allowance> allowances_;
    std::priority_queue<UnderWay, std::vector<UnderWay>, std::greater<>> calls_;
    std::mt19937_64 random_{1};
    Time now_ = start;
};

void measureAccounts()
{
    fmt::print("| entries | calls to split one account | writes | lost races | all hold a share "
               "after, s | record, bytes | calls a minute, idle | calls when one more joins | "
               "writes of them |\n"
               "|---|---|---|---|---|---|---|---|\n");
    std::vector<Point> writes;
    std::vector<Point> record;
    std::vector<Point> pairs;
    for (const std::size_t count : {4U, 8U, 16U, 32U, 64U, 128U}) {
        SharingEntries entries(count);
        while (!entries.allHold() && entries.elapsed() < std::chrono::minutes(10))
            entries.runFor(milliseconds(100));
        const double held = std::chrono::duration<double>(entries.elapsed()).count();
        entries.runFor(std::chrono::minutes(5));
        const CountingStore split = entries.store_;
        entries.runFor(std::chrono::minutes(10));
        const CountingStore idle = entries.store_;
        entries.join();
        entries.runFor(std::chrono::minutes(10));
        const double bytes = static_cast<double>(
            split.pairs_.empty() ? 0 : split.pairs_.begin()->second.value_.size());
        fmt::print("| {} | {} | {} | {} | {:.1f} | {:.0f} | {:.1f} | {} | {} |\n", count,
                   split.calls_, split.writes_, split.lostRaces_, held, bytes,
                   static_cast<double>(idle.calls_ - split.calls_) / 10,
                   entries.store_.calls_ - idle.calls_, entries.store_.writes_ - idle.writes_);
        writes.push_back({static_cast<double>(count), static_cast<double>(split.writes_)});
        pairs.push_back({static_cast<double>(count * count), static_cast<double>(split.calls_)});
        record.push_back({static_cast<double>(count), bytes});
    }
    const Fit written = fitLine(writes);
    const Fit sized = fitLine(record);
    const Fit called = fitLine(pairs);
    fmt::print("\nCalls: {:.1f} + {:.3f} for each entry squared, error {:.1f}%. ",
               called.intercept_, called.slope_, called.error_ * 100);
    fmt::print("Writes: {:.1f} + {:.2f} an entry, error {:.1f}%; record: {:.0f} + {:.1f} bytes an "
               "entry, error {:.1f}%.\n\n",
               written.intercept_, written.slope_, written.error_ * 100, sized.intercept_,
               sized.slope_, sized.error_ * 100);
}

ClaimRequest booking(std::size_t number)
{
    ClaimRequest request;
    request.request_ = {fmt::format("entry-0001.1733300000000.{}", number)};
    request.account_ = shop;
    request.idempotencyKey_ = fmt::format("b2f0c1d4-{:08}", number);
    request.fingerprint_ = {"0123456789abcdef"};
    request.deadline_ = start + seconds(60);
    return request;
}

StoredResponse shortAnswer()
{
    StoredResponse answer;
    answer.status_ = 201;
    answer.contentType_ = "application/json";
    answer.isBodyStored_ = true;
    answer.body_ = std::string(200, 'a');
    return answer;
}

/// Carries out what the claims ask for until nothing is under way; each claimed call runs at once.
void settle(Claims &claims, CountingStore &store, ClaimActions actions)
{
    while (!actions.empty()) {
        ClaimActions next;
        for (const ClaimAction &action : actions) {
            ClaimActions more;
            if (const auto *operation = std::get_if<KvOperation>(&action))
                more = handleClaimOutcome(claims, call(store, *operation), start);
            else if (const auto *decided = std::get_if<ClaimDecided>(&action))
                more = finishClaim(claims, decided->request_, shortAnswer(), start);
            next.insert(next.end(), more.begin(), more.end());
        }
        actions = std::move(next);
    }
}

void measureBookings()
{
    fmt::print("| bookings of one entry | calls | writes | KB of keys and values |\n"
               "|---|---|---|---|\n");
    std::vector<Point> writes;
    for (const std::size_t count : {1U, 4U, 16U, 64U, 256U}) {
        Claims claims;
        claims.vm_ = {"entry-0001"};
        CountingStore store;
        for (std::size_t number = 0; number < count; ++number)
            settle(claims, store, beginClaim(claims, booking(number), start));
        fmt::print("| {} | {} | {} | {:.1f} |\n", count, store.calls_, store.writes_,
                   static_cast<double>(store.bytes_) / 1e3);
        writes.push_back({static_cast<double>(count), static_cast<double>(store.writes_)});
    }
    const Fit fit = fitLine(writes);
    fmt::print("\nWrites: {:.1f} + {:.2f} a booking, error {:.1f}%.\n\n", fit.intercept_,
               fit.slope_, fit.error_ * 100);
}

void measureLoans()
{
    const std::vector<std::pair<const char *, Message>> messages = {
        {"loan request", LoanRequest{shop, 123456, 4000}},
        {"loan grant", LoanGrant{shop, 123456, 4000, 90000}},
        {"loan report", LoanReport{shop, 123456, 3000, 1000, true}},
        {"loan closed", LoanClosed{shop, 123456}},
    };
    fmt::print("| message of a loan | bytes |\n|---|---|\n");
    for (const auto &[name, message] : messages) {
        Envelope envelope;
        envelope.from_ = {"entry-0001"};
        envelope.incarnation_ = {1733300000000};
        envelope.replyAddress_ = "tcp://10.20.30.40:7401";
        envelope.message_ = message;
        fmt::print("| {} | {} |\n", name, encodeEnvelope(envelope).size());
    }
}

} // namespace

void measureShares(const SectionOptions & /*options*/)
{
    measureAccounts();
    measureBookings();
    measureLoans();
}

} // namespace eelgrasscove::capacity
