/// What one decision costs, from the deployments of today to the size to design for: times by
/// Google Benchmark, or so many plain calls for counting instructions (Utilities/cost.sh).

#include "ClientAccount/loan.h"
#include "DataCentre/routing.h"
#include "Target/fairqueue.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace eelgrasscove;

namespace {

/// One size of the fleet.
struct CostSize
{
    std::uint32_t targets_ = 0;
    std::uint32_t adapters_ = 0;
    std::uint32_t entries_ = 0;
};

constexpr CostSize costSizes[] = {
    {12, 3000, 3}, {60, 8000, 20}, {300, 20000, 100}, {1300, 47000, 420}};

constexpr std::uint32_t accounts = 5;
constexpr std::uint32_t adapterSlots = 8;
constexpr std::uint32_t batchSlots = 16;
/// Requests prepared for the calls, used in turn.
constexpr std::size_t preparedRequests = 1024;
constexpr std::int64_t requestTokens = 200;
constexpr Time costStart = Time(std::chrono::hours(1));

AdapterKey adapterKey(std::uint32_t adapter)
{
    return {{"adapter-" + std::to_string(adapter)}, {"1"}};
}

AccountName accountName(std::size_t account)
{
    return {"account-" + std::to_string(account % accounts)};
}

std::vector<Heartbeat> makeReports(const CostSize &size, std::mt19937_64 &random)
{
    std::uniform_int_distribution<std::uint32_t> anyAdapter(0, size.adapters_ - 1);
    std::uniform_int_distribution<std::uint32_t> anyLoad(0, batchSlots + 4);
    std::vector<Heartbeat> reports(size.targets_);
    for (Heartbeat &report : reports) {
        report.running_ = anyLoad(random);
        for (std::uint32_t slot = 0; slot < adapterSlots; ++slot)
            report.residents_.push_back({adapterKey(anyAdapter(random)), 0});
    }
    return reports;
}

TargetView viewOf(std::size_t target, const Heartbeat &report)
{
    TargetView view;
    view.vm_ = {"runner-" + std::to_string(target)};
    view.sameDataCentre_ = target % 4 == 0;
    view.running_ = report.running_;
    view.batchSlots_ = batchSlots;
    view.adapterSlots_ = adapterSlots;
    view.residents_ = report.residents_;
    return view;
}

/// Calls one decision, over and over; the number tells the calls apart.
using CostCase = std::function<void(std::size_t)>;

/// Adapters that some target holds, or that none does.
std::vector<RouteRequirements> makeNeeds(const CostSize &size,
                                         const std::vector<Heartbeat> &reports, bool resident,
                                         std::mt19937_64 &random)
{
    std::vector<RouteRequirements> needs(preparedRequests);
    for (RouteRequirements &need : needs) {
        const Heartbeat &holder = reports[random() % reports.size()];
        need.adapter_ = resident ? holder.residents_[random() % adapterSlots].adapter_
                                 : adapterKey(size.adapters_ + random() % size.adapters_);
    }
    return needs;
}

CostCase routeCase(const CostSize &size, bool resident)
{
    std::mt19937_64 random(1);
    const std::vector<Heartbeat> reports = makeReports(size, random);
    const std::vector<RouteRequirements> needs = makeNeeds(size, reports, resident, random);
    RoutingTable table;
    for (std::size_t target = 0; target < reports.size(); ++target)
        addOrUpdateTarget(table, viewOf(target, reports[target]));
    return [table, needs](std::size_t call) {
        benchmark::DoNotOptimize(chooseTarget(table, needs[call % preparedRequests]));
    };
}

CostCase residentRoute(const CostSize &size)
{
    return routeCase(size, true);
}

CostCase coldRoute(const CostSize &size)
{
    return routeCase(size, false);
}

/// Admits and settles, with as many requests in hand as one entry has of the fleet's.
CostCase admitCase(const CostSize &size)
{
    constexpr std::int64_t plenty = 1'000'000'000'000;
    Allowance allowance;
    LoanBook book;
    book.self_ = {"entry-0"};
    for (std::size_t account = 0; account < accounts; ++account)
        setShare(allowance, accountName(account), {plenty, plenty}, costStart, true);
    const std::size_t inHand = std::size_t{size.targets_} * batchSlots / size.entries_;
    for (std::size_t request = 0; request < inHand; ++request) {
        admit(allowance, book, accountName(request), {"held-" + std::to_string(request)},
              requestTokens, plenty, costStart);
    }
    return [allowance, book](std::size_t call) mutable {
        const AttemptId attempt = {"call"};
        const AccountName account = accountName(call);
        benchmark::DoNotOptimize(
            admit(allowance, book, account, attempt, requestTokens, plenty, costStart));
        settleAttempt(allowance, book, account, attempt, requestTokens, costStart);
    };
}

/// Queues one item and takes the next, behind as many as a target has batch slots, each for another
/// adapter.
CostCase enqueueCase(const CostSize &size)
{
    FairQueue queue;
    for (std::uint32_t number = 0; number < batchSlots; ++number) {
        enqueue(queue,
                {.attempt_ = {"held-" + std::to_string(number)},
                 .account_ = accountName(number),
                 .adapter_ = adapterKey(number),
                 .cost_ = requestTokens,
                 .queuedAt_ = costStart});
    }
    return [queue, size](std::size_t call) mutable {
        const auto adapter = static_cast<std::uint32_t>(call % size.adapters_);
        enqueue(queue,
                {.attempt_ = {"call"},
                 .account_ = accountName(call),
                 .adapter_ = adapterKey(adapter),
                 .cost_ = requestTokens,
                 .queuedAt_ = costStart});
        const auto any = [](const QueueItem &) { return true; };
        benchmark::DoNotOptimize(dequeueNext(queue, any, costStart));
    };
}

/// A loan asked for by one entry, granted by another and given back.
CostCase transferCase(const CostSize &size)
{
    constexpr std::int64_t plenty = 1'000'000'000;
    Allowance lender;
    Allowance borrower;
    LoanBook lenderBook;
    LoanBook borrowerBook;
    lenderBook.self_ = {"entry-0"};
    borrowerBook.self_ = {"entry-1"};
    setShare(lender, accountName(0), {plenty, plenty}, costStart, true);
    setShare(borrower, accountName(0), {0, 0}, costStart);
    for (std::uint32_t entry = 0; entry < size.entries_; ++entry) {
        const VmName peer = {"entry-" + std::to_string(entry)};
        const std::int64_t tokens = entry == 0 ? plenty : 1;
        updatePeerFreeTokens(borrowerBook, peer, {accountName(0), tokens}, costStart);
    }
    return [=](std::size_t call) mutable {
        const Time now = costStart + Duration(static_cast<std::int64_t>(call));
        const Incarnation run = {1};
        const VmName from = {"entry-1"};
        const VmName to = {"entry-0"};
        updatePeerFreeTokens(borrowerBook, to, {accountName(0), plenty}, now);
        for (const LoanMessage &ask :
             requestLoans(borrower, borrowerBook, accountName(0), requestTokens, now)) {
            const auto *request = std::get_if<LoanRequest>(&ask.message_);
            if (request == nullptr)
                continue;
            for (const LoanMessage &grant :
                 handleLoanRequest(lender, lenderBook, from, run, *request, now)) {
                if (const auto *granted = std::get_if<LoanGrant>(&grant.message_))
                    handleLoanGrant(borrowerBook, to, *granted, now);
            }
        }
        const Time later = now + std::chrono::seconds(1);
        for (const LoanMessage &report : advanceLoans(borrower, borrowerBook, later)) {
            const auto *closing = std::get_if<LoanReport>(&report.message_);
            if (closing == nullptr)
                continue;
            for (const LoanMessage &answer :
                 handleLoanReport(lender, lenderBook, from, run, *closing, later)) {
                if (const auto *closed = std::get_if<LoanClosed>(&answer.message_))
                    handleLoanClosed(borrowerBook, to, *closed);
            }
        }
    };
}

struct NamedCase
{
    const char *name_;
    CostCase (*make_)(const CostSize &size);
};

constexpr NamedCase costCases[] = {
    {"admit", admitCase},     {"route-resident", residentRoute}, {"route-cold", coldRoute},
    {"enqueue", enqueueCase}, {"transfer", transferCase},
};

/// Its arguments: the case and the size.
void measureCase(benchmark::State &state)
{
    const NamedCase &named = costCases[state.range(0)];
    const CostSize &size = costSizes[state.range(1)];
    state.SetLabel(fmt::format("{} {}x{}", named.name_, size.targets_, size.adapters_));
    const CostCase run = named.make_(size);
    std::size_t call = 0;
    while (state.KeepRunning())
        run(call++);
}

BENCHMARK(measureCase)->ArgsProduct({{0, 1, 2, 3, 4}, {0, 1, 2, 3}});

/// "count CASE SIZE CALLS": so many calls and nothing else.
int count(const std::string &name, std::size_t size, std::size_t calls)
{
    for (const NamedCase &named : costCases) {
        if (name != named.name_ || size >= std::size(costSizes))
            continue;
        const CostCase run = named.make_(costSizes[size]);
        for (std::size_t call = 0; call < calls; ++call)
            run(call);
        return 0;
    }
    fmt::print(stderr, "no case or size of this name\n");
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() == 4 && arguments[0] == "count")
        return count(arguments[1], std::stoul(arguments[2]), std::stoul(arguments[3]));
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
