#include "Edge/fairshare.h"
#include "Edge/placement.h"
#include "Edge/scarcity.h"
#include "Edge/waitingorder.h"
#include "Edge/windowsum.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <list>
#include <numeric>
#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

/// Simulates several entries that share full targets, in virtual time, and compares the policies of
/// their queues by the requests of each kind that are on time.

namespace {

constexpr Duration tick = 5ms;
/// Intervals of the checks of an entry's queue, of its messages to the peers, and of the targets'
/// reports, as in Edge.
constexpr Duration checkPeriod = 50ms;
constexpr Duration statePeriod = 200ms;
/// With few entries, a target reports more often, as in Agent.
constexpr Duration reportPeriodOfFew = 100ms;
constexpr std::size_t fewEntries = 8;
constexpr Duration reportPeriod = 200ms;
constexpr Duration completionWindow = 2s;
constexpr std::uint32_t slots = 16;
constexpr NameHash service = 1;
/// Adapters, and the number of targets at which each is resident.
constexpr std::size_t adapters = 100;
constexpr std::ptrdiff_t replicas = 6;
/// Waiting requests that are tried when a response of a target ends, and in a pass, as in Edge.
constexpr std::size_t maxTriedAfterResponse = 4;
constexpr std::size_t maxTriedPerPass = 64;
/// Value of a late response relative to one on time.
constexpr double lateValue = 0.3;

struct Kind
{
    int priority_ = 0;
    Duration objective_{};
    Duration maxWait_{};
    double meanRunSeconds_ = 0;
    double value_ = 0;
};

/// Urgent, short labelling and patient requests.
constexpr std::array<Kind, 3> kinds = {
    {{0, 500ms, 1750ms, 0.8, 2.6}, {3, 1000ms, 2500ms, 0.3, 0.51}, {6, 2000ms, 7500ms, 1.6, 0.69}}};
constexpr std::array<const char *, 3> kindNames = {"urgent", "labelling", "patient"};

struct Policy
{
    bool hasThreshold_ = true;
    bool hasFairShare_ = true;
};

struct Load
{
    std::string name_;
    std::size_t entries_ = 4;
    std::size_t targets_ = 12;
    /// Offered load of each kind as a fraction of the capacity of all targets.
    std::array<double, 3> usual_ = {0.2, 0.1, 0.4};
    /// The same in bursts, which begin every burstInterval_.
    std::array<double, 3> burst_ = {1.0, 0.1, 0.4};
    Duration burstStart_ = 2s;
    Duration burstInterval_ = 4s;
    Duration burstLength_ = 1s;
    /// Time at which half of the targets are gone.
    std::optional<Duration> halfGoneAt_;
    /// Factor of the requests of the first of eight accounts.
    double firstAccountFactor_ = 1;
    Duration reportDelay_ = 20ms;
    double reportLoss_ = 0;
    /// Entries with odd and even numbers exchange no messages.
    bool isPartitioned_ = false;
    Duration span_ = 12s;
    unsigned seed_ = 1;
};

struct KindOutcome
{
    std::size_t requests_ = 0;
    std::size_t onTime_ = 0;
    std::size_t served_ = 0;
    std::size_t refused_ = 0;
    std::size_t refusedAfterLongWait_ = 0;
    /// Refused while targets had room for all that waited at any entry.
    std::size_t refusedWithRoom_ = 0;
};

struct Outcome
{
    std::array<KindOutcome, 3> kinds_;
    /// Of patient requests of the accounts but the first.
    KindOutcome otherAccounts_;
    std::size_t held_ = 0;

    double value() const
    {
        double sum = 0;
        double most = 0;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            const auto onTime = static_cast<double>(kinds_[kind].onTime_);
            const auto served = static_cast<double>(kinds_[kind].served_);
            sum += kinds[kind].value_ * (onTime + lateValue * (served - onTime));
            most += kinds[kind].value_ * static_cast<double>(kinds_[kind].requests_);
        }
        return sum / most;
    }
};

double shareOf(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

struct Request
{
    std::size_t kind_ = 0;
    std::string account_;
    std::size_t adapter_ = 0;
    Time arrivedAt_;
    Duration run_{};
    double draw_ = 0;
    bool awaitsRoom_ = false;
    bool isHeld_ = false;
    bool isNew_ = true;
};

struct Target
{
    struct Work
    {
        Request request_;
        std::size_t entry_ = 0;
        Time endsAt_;
    };
    std::vector<Work> running_;
    std::list<Work> queue_;
    bool isUp_ = true;
};

struct Entry
{
    std::vector<TargetState> states_;
    std::vector<TargetState *> targets_;
    std::list<Request> waiting_;
    WindowSum completions_{completionWindow};
    Scarcity scarcity_;
    AccountUses uses_;
};

struct Report
{
    Time arrivesAt_;
    std::size_t from_ = 0;
    std::vector<WaitingRow> rows_;
};

class Simulation
{
public:
    Simulation(const Load &load, const Policy &policy)
        : load_(load), policy_(policy), targets_(load.targets_), entries_(load.entries_),
          random_(load.seed_), policyRandom_(load.seed_ + 1000)
    {
        std::vector<std::size_t> all(load.targets_);
        std::iota(all.begin(), all.end(), 0);
        for (std::size_t adapter = 0; adapter < adapters; ++adapter) {
            std::shuffle(all.begin(), all.end(), random_);
            targetsOfAdapter_.emplace_back(all.begin(), all.begin() + replicas);
        }
        for (std::size_t at = 0; at < entries_.size(); ++at) {
            Entry &entry = entries_[at];
            entry.states_.resize(load.targets_);
            for (std::size_t target = 0; target < load.targets_; ++target) {
                TargetState &state = entry.states_[target];
                state.listed_.id_ = "i-" + std::to_string(target);
                state.listed_.slots_ = slots;
                state.listed_.dataCentre_ = std::to_string(target % 3);
                state.hasAgentReport_ = true;
                entry.targets_.push_back(&state);
            }
        }
    }

    Outcome run()
    {
        for (now_ = begin_; now_ < begin_ + load_.span_ + 9s; now_ += tick) {
            if (load_.halfGoneAt_ && now_ == begin_ + *load_.halfGoneAt_)
                loseHalf();
            reportTargets();
            endWork();
            arrive();
            exchangeReports();
            for (std::size_t at = 0; at < entries_.size(); ++at) {
                if (isDue(checkPeriod, at))
                    check(at);
            }
        }
        return outcome_;
    }

private:
    /// Whether a periodic action of the member is due; the members' periods are shifted.
    bool isDue(Duration period, std::size_t member) const
    {
        const auto ticks = period / tick;
        return (now_ - begin_) / tick % ticks == static_cast<std::int64_t>(member * 7) % ticks;
    }

    void loseHalf()
    {
        for (std::size_t at = 0; at < targets_.size(); at += 2) {
            Target &target = targets_[at];
            target.isUp_ = false;
            target.running_.clear();
            target.queue_.clear();
            for (Entry &entry : entries_) {
                entry.states_[at].isUp_ = false;
                entry.states_[at].outstanding_ = 0;
            }
        }
    }

    void reportTargets()
    {
        for (std::size_t at = 0; at < targets_.size(); ++at) {
            if (!isDue(entries_.size() <= fewEntries ? reportPeriodOfFew : reportPeriod, at)
                || !targets_[at].isUp_)
                continue;
            for (Entry &entry : entries_) {
                TargetState &state = entry.states_[at];
                state.agentReportedAt_ = state.lastContactAt_ = now_;
                recordLoad(state, static_cast<std::uint32_t>(targets_[at].running_.size()),
                           static_cast<std::uint32_t>(targets_[at].queue_.size()), now_);
            }
        }
    }

    void begin(Target &target, Target::Work work)
    {
        const Kind &kind = kinds[work.request_.kind_];
        KindOutcome &outcome = outcome_.kinds_[work.request_.kind_];
        const bool isOnTime = now_ + 100ms <= work.request_.arrivedAt_ + kind.objective_;
        ++outcome.served_;
        outcome.onTime_ += isOnTime ? 1 : 0;
        if (work.request_.kind_ == 2 && work.request_.account_ != "a0") {
            ++outcome_.otherAccounts_.served_;
            outcome_.otherAccounts_.onTime_ += isOnTime ? 1 : 0;
        }
        work.endsAt_ = now_ + work.request_.run_;
        target.running_.push_back(std::move(work));
    }

    void endWork()
    {
        for (std::size_t at = 0; at < targets_.size(); ++at) {
            Target &target = targets_[at];
            std::vector<std::size_t> ended;
            std::erase_if(target.running_, [&](const Target::Work &work) {
                if (work.endsAt_ > now_)
                    return false;
                ended.push_back(work.entry_);
                return true;
            });
            while (!target.queue_.empty() && target.running_.size() < slots) {
                begin(target, target.queue_.front());
                target.queue_.pop_front();
            }
            for (const std::size_t entry : ended) {
                --entries_[entry].states_[at].outstanding_;
                entries_[entry].completions_.add(1, now_);
                place(entry, maxTriedAfterResponse, at);
            }
        }
    }

    void arrive()
    {
        const Duration since = now_ - begin_;
        if (since >= load_.span_)
            return;
        const bool isBurst = since >= load_.burstStart_
            && (since - load_.burstStart_) % load_.burstInterval_ < load_.burstLength_;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            const double capacity =
                static_cast<double>(load_.targets_ * slots) / kinds[kind].meanRunSeconds_;
            const double perTick = capacity * (isBurst ? load_.burst_ : load_.usual_)[kind]
                * std::chrono::duration<double>(tick).count();
            const int arrivals = std::poisson_distribution<int>(perTick)(random_);
            for (int each = 0; each < arrivals; ++each)
                arriveOne(kind);
        }
    }

    void arriveOne(std::size_t kind)
    {
        Request request;
        request.kind_ = kind;
        std::discrete_distribution<int> accounts({load_.firstAccountFactor_, 1, 1, 1, 1, 1, 1, 1});
        request.account_ = "a" + std::to_string(accounts(random_));
        request.adapter_ = std::uniform_int_distribution<std::size_t>(0, adapters - 1)(random_);
        request.arrivedAt_ = now_;
        std::uniform_real_distribution<double> factor(0.4, 1.6);
        request.run_ = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(kinds[kind].meanRunSeconds_ * factor(random_)));
        const std::size_t entry =
            std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_);
        request.draw_ = std::uniform_real_distribution<double>(0, 1)(random_);
        ++outcome_.kinds_[kind].requests_;
        if (kind == 2 && request.account_ != "a0")
            ++outcome_.otherAccounts_.requests_;
        entries_[entry].waiting_.push_back(std::move(request));
        if (tryPlace(entry, std::prev(entries_[entry].waiting_.end())))
            entries_[entry].waiting_.pop_back();
    }

    WaitingRequest waitingOf(const Request &request, const std::set<std::string> &above) const
    {
        const Kind &kind = kinds[request.kind_];
        return {kind.priority_, request.arrivedAt_ + kind.objective_,
                request.arrivedAt_ + kind.maxWait_, above.contains(request.account_)};
    }

    void refuse(const Request &request)
    {
        KindOutcome &outcome = outcome_.kinds_[request.kind_];
        ++outcome.refused_;
        if (now_ - request.arrivedAt_ > kinds[request.kind_].maxWait_ / 2) {
            ++outcome.refusedAfterLongWait_;
            if (request.kind_ == 2 && request.account_ != "a0")
                ++outcome_.otherAccounts_.refusedAfterLongWait_;
        }
        const auto &targets = targetsOfAdapter_[request.adapter_];
        outcome.refusedWithRoom_ += std::any_of(targets.begin(), targets.end(), [&](auto target) {
            return targets_[target].isUp_ && targets_[target].running_.size() < slots;
        });
    }

    double completionsPerSecond(Entry &entry)
    {
        return entry.completions_.sum(now_)
            / std::chrono::duration<double>(completionWindow).count();
    }

    double completionsPerSecondOfAll(Entry &entry)
    {
        double ownRunning = 0;
        double allRunning = 0;
        for (const TargetState &state : entry.states_) {
            ownRunning += state.isUp_ ? state.outstanding_ : 0;
            allRunning += state.isUp_ ? state.running_ : 0;
        }
        return completionsOfAll(completionsPerSecond(entry), ownRunning, allRunning);
    }

    /// Sends the request, puts it into the queue, or refuses it. Returns whether it has left the
    /// queue.
    bool tryPlace(std::size_t at, std::list<Request>::iterator request)
    {
        Entry &entry = entries_[at];
        PlacementQuery query;
        query.dataCentre_ = std::to_string(at % 3);
        query.entries_ = entries_.size();
        std::vector<TargetState *> targets;
        for (const std::size_t target : targetsOfAdapter_[request->adapter_])
            targets.push_back(entry.targets_[target]);
        const Placement placement = choosePlacement(targets, query, now_);
        const Kind &kind = kinds[request->kind_];
        const bool hadHold = request->isHeld_;
        request->isHeld_ = false;
        if (placement.kind_ == PlacementKind::Send) {
            const double free = 1 - estimatedLoad(*placement.target_, query.entries_, now_) / slots;
            request->isHeld_ = policy_.hasThreshold_
                && isHeldForUrgent(entry.scarcity_,
                                   {service, kind.priority_, free, completionsPerSecondOfAll(entry),
                                    request->draw_, request->arrivedAt_,
                                    request->arrivedAt_ + kind.maxWait_},
                                   now_);
            if (!request->isHeld_) {
                send(at, *request, *placement.target_);
                return true;
            }
            outcome_.held_ += hadHold ? 0 : 1;
        }
        const bool isNew = std::exchange(request->isNew_, false);
        request->awaitsRoom_ = true;
        if (!isNew || request->isHeld_)
            return false;
        const WaitingRequest own = waitingOf(*request, {});
        std::size_t ahead = 0;
        for (const Request &other : entry.waiting_) {
            ahead += other.awaitsRoom_ && !other.isHeld_ && &other != &*request
                    && isOrderedBefore(waitingOf(other, {}), own, now_)
                ? 1
                : 0;
        }
        if (now_ + expectedWait(ahead, completionsPerSecond(entry)) <= own.waitUntil_)
            return false;
        refuse(*request);
        return true;
    }

    void send(std::size_t at, const Request &request, TargetState &state)
    {
        Entry &entry = entries_[at];
        if (policy_.hasFairShare_)
            recordAccountUse(entry.uses_, "s", kinds[request.kind_].priority_, request.account_,
                             std::chrono::duration<double>(request.run_).count() * 100, now_);
        ++state.outstanding_;
        const auto index = static_cast<std::size_t>(&state - entry.states_.data());
        Target &target = targets_[index];
        Target::Work work{request, at, {}};
        if (target.running_.size() < slots)
            begin(target, std::move(work));
        else
            target.queue_.insert(std::find_if(target.queue_.begin(), target.queue_.end(),
                                              [&](const Target::Work &other) {
                                                  return other.request_.kind_ > work.request_.kind_;
                                              }),
                                 std::move(work));
    }

    void sortQueue(Entry &entry)
    {
        std::map<int, std::map<std::string, double>> weights;
        if (policy_.hasFairShare_) {
            for (const Request &request : entry.waiting_)
                weights[kinds[request.kind_].priority_][request.account_] = 1;
        }
        std::map<int, std::set<std::string>> above;
        for (const auto &[priority, accounts] : weights)
            above[priority] = accountsAboveShare(entry.uses_, "s", priority, accounts, now_);
        entry.waiting_.sort([&](const Request &left, const Request &right) {
            return isOrderedBefore(waitingOf(left, above[kinds[left.kind_].priority_]),
                                   waitingOf(right, above[kinds[right.kind_].priority_]), now_);
        });
        // Held requests don't take the place of others among those that are tried.
        std::list<Request> held;
        for (auto each = entry.waiting_.begin(); each != entry.waiting_.end();) {
            const auto next = std::next(each);
            if (each->isHeld_)
                held.splice(held.end(), entry.waiting_, each);
            each = next;
        }
        entry.waiting_.splice(entry.waiting_.end(), held);
    }

    /// Tries the waiting requests in order; those whose adapter the target has, if one is given.
    void place(std::size_t at, std::size_t maxRequests,
               std::optional<std::size_t> target = std::nullopt)
    {
        Entry &entry = entries_[at];
        if (entry.waiting_.empty())
            return;
        sortQueue(entry);
        std::size_t tried = 0;
        for (auto each = entry.waiting_.begin();
             each != entry.waiting_.end() && tried < maxRequests;) {
            const auto &targets = targetsOfAdapter_[each->adapter_];
            if (target && std::find(targets.begin(), targets.end(), *target) == targets.end()) {
                ++each;
                continue;
            }
            ++tried;
            each = tryPlace(at, each) ? entry.waiting_.erase(each) : std::next(each);
        }
    }

    void recordOwnRows(Entry &entry)
    {
        std::map<int, WaitingRow> rows;
        for (const Request &request : entry.waiting_) {
            const int priority = kinds[request.kind_].priority_;
            const auto row = rows.try_emplace(priority, makeWaitingRow(service, priority)).first;
            addWaiting(row->second, now_ - request.arrivedAt_, entry.scarcity_.settings_);
        }
        entry.scarcity_.ownRows_.clear();
        for (const auto &[priority, row] : rows)
            entry.scarcity_.ownRows_.push_back(row);
    }

    void check(std::size_t at)
    {
        Entry &entry = entries_[at];
        recordOwnRows(entry);
        updateThresholds(entry.scarcity_, now_);
        place(at, maxTriedPerPass);
        refuseUnservable(entry);
    }

    void refuseUnservable(Entry &entry)
    {
        std::vector<WaitingRequest> inOrder;
        for (const Request &request : entry.waiting_) {
            if (!request.isHeld_)
                inOrder.push_back(waitingOf(request, {}));
        }
        const std::vector<bool> unservable =
            findUnservable(inOrder, completionsPerSecond(entry), now_);
        std::size_t index = 0;
        entry.waiting_.remove_if([&](const Request &request) {
            const bool isLate = now_ - request.arrivedAt_ > kinds[request.kind_].maxWait_;
            const bool isRefused = isLate || (!request.isHeld_ && unservable[index]);
            index += request.isHeld_ ? 0 : 1;
            if (isRefused)
                refuse(request);
            return isRefused;
        });
    }

    void exchangeReports()
    {
        std::uniform_real_distribution<double> draw(0, 1);
        for (std::size_t at = 0; at < entries_.size(); ++at) {
            if (isDue(statePeriod, at))
                reports_.push_back(
                    {now_ + load_.reportDelay_, at, rowsToReport(entries_[at].scarcity_)});
        }
        while (!reports_.empty() && reports_.front().arrivesAt_ <= now_) {
            const Report report = std::move(reports_.front());
            reports_.pop_front();
            for (std::size_t to = 0; to < entries_.size(); ++to) {
                const bool isCut = load_.isPartitioned_ && to % 2 != report.from_ % 2;
                const bool isLost =
                    load_.reportLoss_ > 0 && draw(policyRandom_) < load_.reportLoss_;
                if (to != report.from_ && !isCut && !isLost)
                    applyPeerRows(entries_[to].scarcity_, static_cast<NameHash>(report.from_),
                                  report.rows_, now_);
            }
        }
    }

    const Time begin_ = Time(100s);
    /// The targets at which each adapter is resident.
    std::vector<std::vector<std::size_t>> targetsOfAdapter_;
    Load load_;
    Policy policy_;
    std::vector<Target> targets_;
    std::vector<Entry> entries_;
    std::list<Report> reports_;
    Outcome outcome_;
    std::minstd_rand random_;
    std::minstd_rand policyRandom_;
    Time now_;
};

std::string describe(const KindOutcome &outcome, const char *name)
{
    return fmt::format("; {} {:.3f} on time, {:.3f} served of {}, {} refused late, {} with room",
                       name, shareOf(outcome.onTime_, outcome.requests_),
                       shareOf(outcome.served_, outcome.requests_), outcome.requests_,
                       outcome.refusedAfterLongWait_, outcome.refusedWithRoom_);
}

Outcome play(const Load &load, const std::string &policyName, const Policy &policy)
{
    const Outcome outcome = Simulation(load, policy).run();
    std::string text = fmt::format("{}, {} entries, seed {}, {}: value {:.3f}", load.name_,
                                   load.entries_, load.seed_, policyName, outcome.value());
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        text += describe(outcome.kinds_[kind], kindNames[kind]);
    text += describe(outcome.otherAccounts_, "patient of other accounts")
        + fmt::format("; {} held", outcome.held_);
    BOOST_TEST_MESSAGE(text);
    return outcome;
}

/// Outcomes of one load by several seeds.
struct Comparison
{
    Outcome previous_;
    Outcome product_;
    /// All requests arrive at one entry, which knows all queues: as good as is feasible.
    Outcome oneEntry_;
};

void add(Outcome &sum, const Outcome &outcome)
{
    const auto addKind = [](KindOutcome &to, const KindOutcome &from) {
        to.requests_ += from.requests_;
        to.onTime_ += from.onTime_;
        to.served_ += from.served_;
        to.refused_ += from.refused_;
        to.refusedAfterLongWait_ += from.refusedAfterLongWait_;
        to.refusedWithRoom_ += from.refusedWithRoom_;
    };
    for (std::size_t kind = 0; kind < kinds.size(); ++kind)
        addKind(sum.kinds_[kind], outcome.kinds_[kind]);
    addKind(sum.otherAccounts_, outcome.otherAccounts_);
    sum.held_ += outcome.held_;
}

constexpr Policy previousPolicy{false, false};

Comparison compare(Load load, unsigned seeds)
{
    Comparison comparison;
    for (load.seed_ = 1; load.seed_ <= seeds; ++load.seed_) {
        add(comparison.previous_, play(load, "previous", previousPolicy));
        add(comparison.product_, play(load, "product", {}));
        Load oneEntry = load;
        oneEntry.entries_ = 1;
        oneEntry.isPartitioned_ = false;
        add(comparison.oneEntry_, play(oneEntry, "one entry", previousPolicy));
    }
    return comparison;
}

double urgentShare(const Outcome &outcome)
{
    return shareOf(outcome.kinds_[0].onTime_, outcome.kinds_[0].requests_);
}

/// By chance, single requests more or less are on time or refused.
constexpr double chance = 0.01;

/// Checks what holds under every load.
void checkCommon(const Comparison &comparison, const std::string &name)
{
    const Outcome &product = comparison.product_;
    BOOST_TEST(urgentShare(product) >= urgentShare(comparison.previous_) - chance, name);
    BOOST_TEST(urgentShare(product) <= urgentShare(comparison.oneEntry_) + chance, name);
    std::size_t requests = 0;
    std::size_t withRoom = 0;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        const KindOutcome &each = product.kinds_[kind];
        // No kind starves.
        BOOST_TEST(shareOf(each.served_, each.requests_) > 0.5, name << ", " << kindNames[kind]);
        requests += each.requests_;
        withRoom += each.refusedWithRoom_;
    }
    BOOST_TEST(shareOf(withRoom, requests) < 0.01, name);
}

/// Returns the share of the requests that are refused late.
double lateRefusals(const Outcome &outcome)
{
    std::size_t requests = 0;
    std::size_t late = 0;
    for (const KindOutcome &each : outcome.kinds_) {
        requests += each.requests_;
        late += each.refusedAfterLongWait_;
    }
    return shareOf(late, requests);
}

/// Checks the same, and that refusals come as early as before.
void check(const Comparison &comparison, const std::string &name)
{
    checkCommon(comparison, name);
    BOOST_TEST(lateRefusals(comparison.product_) <= lateRefusals(comparison.previous_) + chance,
               name);
}

Load loadOf(const std::string &name, std::size_t entries)
{
    Load load;
    load.name_ = name;
    load.entries_ = entries;
    load.targets_ = entries == 4 ? 12 : entries == 22 ? 40 : 90;
    load.span_ = entries > 100 ? 5s : 12s;
    return load;
}

Load burstsOfUrgent(std::size_t entries)
{
    return loadOf("bursts of urgent requests", entries);
}

Load halfOfTargetsGone(std::size_t entries)
{
    Load load = loadOf("half of the targets gone", entries);
    load.usual_ = {0.2, 0.1, 0.25};
    load.burstLength_ = 0ms;
    load.halfGoneAt_ = entries > 100 ? 2s : 4s;
    return load;
}

Load patientFirst(std::size_t entries)
{
    Load load = loadOf("patient requests first", entries);
    load.usual_ = {0.3, 0.1, 0.3};
    load.burst_ = {0.3, 0.1, 3};
    load.burstStart_ = 0ms;
    return load;
}

Load oneLargeAccount(std::size_t entries)
{
    Load load = loadOf("one account at seven times its use", entries);
    load.usual_ = {0.3, 0.1, 0.9};
    load.burstLength_ = 0ms;
    load.firstAccountFactor_ = 7;
    return load;
}

} // namespace

BOOST_AUTO_TEST_CASE(bursts_of_urgent_requests_are_served_at_least_as_well_as_before)
{
    check(compare(burstsOfUrgent(4), 3), "4 entries");
    check(compare(burstsOfUrgent(22), 2), "22 entries");
}

BOOST_AUTO_TEST_CASE(urgent_requests_are_on_time_more_often_after_half_of_the_targets_are_gone)
{
    check(compare(halfOfTargetsGone(4), 3), "4 entries");
    const Comparison comparison = compare(halfOfTargetsGone(22), 2);
    check(comparison, "22 entries");
    BOOST_TEST(urgentShare(comparison.product_) > urgentShare(comparison.previous_) + 0.02);
}

BOOST_AUTO_TEST_CASE(urgent_requests_are_on_time_more_often_while_patient_ones_fill_everything)
{
    check(compare(patientFirst(4), 3), "4 entries");
    const Comparison comparison = compare(patientFirst(22), 2);
    check(comparison, "22 entries");
    BOOST_TEST(urgentShare(comparison.product_) > urgentShare(comparison.previous_) + 0.1);
}

BOOST_AUTO_TEST_CASE(many_entries_serve_urgent_requests_at_least_as_well_as_before)
{
    check(compare(halfOfTargetsGone(420), 1), "420 entries");
}

BOOST_AUTO_TEST_CASE(one_large_account_does_not_make_the_others_late)
{
    const Comparison comparison = compare(oneLargeAccount(4), 3);
    checkCommon(comparison, "4 entries");
    const auto otherShare = [](const Outcome &outcome) {
        return shareOf(outcome.otherAccounts_.onTime_, outcome.otherAccounts_.requests_);
    };
    BOOST_TEST(otherShare(comparison.product_) > otherShare(comparison.previous_) + 0.1);
    // What exceeds the capacity is refused, and it is the large account's.
    const KindOutcome &previous = comparison.previous_.otherAccounts_;
    const KindOutcome &product = comparison.product_.otherAccounts_;
    BOOST_TEST(product.refusedAfterLongWait_ < previous.refusedAfterLongWait_);
}

BOOST_AUTO_TEST_CASE(late_lost_and_cut_reports_leave_urgent_requests_at_least_as_well_as_before)
{
    Load late = halfOfTargetsGone(22);
    late.reportDelay_ = 300ms;
    check(compare(late, 1), "reports late by 300 ms");
    Load lost = halfOfTargetsGone(22);
    lost.reportLoss_ = 0.3;
    check(compare(lost, 1), "three in ten reports lost");
    Load cut = halfOfTargetsGone(22);
    cut.isPartitioned_ = true;
    check(compare(cut, 1), "halves of the entries out of contact");
}

BOOST_AUTO_TEST_CASE(requests_are_not_held_or_refused_without_a_shortage)
{
    // Guards against an effect where all requests find room at once.
    for (const std::size_t entries : {4U, 22U}) {
        Load load = loadOf("no shortage", entries);
        load.usual_ = {0.15, 0.05, 0.2};
        load.burstLength_ = 0ms;
        const Outcome product = play(load, "product", {});
        const Outcome previous = play(load, "previous", previousPolicy);
        BOOST_TEST(product.held_ == 0U);
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            BOOST_TEST(product.kinds_[kind].refused_ == 0U);
            BOOST_TEST(product.kinds_[kind].onTime_ == previous.kinds_[kind].onTime_);
        }
    }
}
