#include "fleetmix.h"

#include "mixworld.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove::mix {

using namespace std::chrono_literals;

namespace {

constexpr Time start = Time(1000s);
constexpr Duration warmUp = 3200ms;
constexpr Duration busy = 3500ms;
constexpr Duration healing = 1500ms;
constexpr Duration longestFailure = 1200ms;
constexpr Duration busyTick = 50ms;
constexpr Duration quietTick = 125ms;
constexpr Duration calmTick = 500ms;
/// All shares are settled again, and all answers forgotten.
constexpr std::size_t stallKind = 16;
constexpr std::size_t failureKinds = 18;
constexpr Duration resting = 13s;
constexpr Duration draining = 7s;

} // namespace

World::World(std::uint64_t seed, const Property *sabotage, bool log)
    : random_(seed), sabotage_(sabotage), log_(log), now_(start), tickPeriod_(quietTick)
{
    store_.random_.seed(seed);
    const auto place = [&](std::size_t index, const char *vm, const char *dataCentre,
                           const char *group) {
        Node &node = nodes_.at(index);
        node.vm_ = {vm};
        node.address_ = std::string("mem://") + std::to_string(index) + vm;
        node.dataCentre_ = {dataCentre};
        node.group_ = {group};
        node.isEntry_ = node.group_.empty();
        node.isEngine_ = !node.isEntry_ && node.group_.text_ != "records";
    };
    place(0, "e0", "north", "");
    place(1, "e1", "north", "");
    place(2, "e2", "south", "");
    place(3, "t0", "north", "runners");
    place(4, "t1", "south", "runners");
    place(5, "t2", "north", "mill");
    place(6, "t3", "south", "records");
    place(successorNode, "e0", "north", "");
    nodes_.at(successorNode).listed_ = false;
    firstRules();
    snapshotList();
}

bool World::chance(double probability)
{
    return probability > 0 && static_cast<double>(random_() % 100'000) < probability * 100'000;
}

std::size_t World::below(std::size_t bound)
{
    return random_() % bound;
}

Duration World::upTo(Duration longest)
{
    return Duration(1 + static_cast<std::int64_t>(below(longest.count())));
}

void World::after(Duration delay, Happen happen)
{
    if (freeHappens_.empty()) {
        freeHappens_.push_back(happens_.size());
        happens_.emplace_back();
    }
    const std::size_t place = freeHappens_.back();
    freeHappens_.pop_back();
    happens_[place] = std::move(happen);
    events_.push({now_ + delay, eventOrder_++, place});
}

void World::runUntil(Time end)
{
    while (!events_.empty() && events_.top().at_ <= end) {
        const Event event = events_.top();
        events_.pop();
        const Happen happen = std::move(happens_[event.happen_]);
        freeHappens_.push_back(event.happen_);
        now_ = event.at_;
        happen();
    }
    now_ = end;
}

void World::violate(Property property, const std::string &what)
{
    note("VIOLATED: " + std::string(nameOf(propertyNames, property)) + ": " + what);
    result_.violations_.push_back({property, what});
}

void World::note(const std::string &what) const
{
    if (log_)
        fmt::print("{:9.4f} {}\n", static_cast<double>((now_ - start).count()) / 1e6, what);
}

// ---- The scenario

void World::replaceFrozen()
{
    Node &old = nodes_.at(below(entryNodes));
    Node &successor = nodes_.at(successorNode);
    if (!old.alive_ || old.frozen_ || old.stopAt_ || successor.alive_)
        return;
    const Duration frozen = 400ms + upTo(800ms);
    freeze(old, frozen);
    after(upTo(400ms), [this, &old, &successor] {
        successor.vm_ = old.vm_;
        successor.dataCentre_ = old.dataCentre_;
        old.listed_ = false;
        successor.listed_ = true;
        snapshotList();
        startNode(successor);
    });
    after(frozen + upTo(500ms), [this, &old] { kill(old); });
}

void World::restartLater(Node &node, Duration time)
{
    after(time, [this, &node] {
        if (node.listed_)
            startNode(node);
    });
}

/// The process goes, or its target with it.
void World::killFor(Node &node, Duration time, bool targetToo)
{
    kill(node);
    if (targetToo && !node.isEntry_)
        crashEngine(node);
    restartLater(node, time);
}

void World::loseDataCentre(const DataCentreName &dataCentre, Duration time)
{
    for (Node &node : nodes_) {
        if (node.alive_ && node.dataCentre_ == dataCentre)
            killFor(node, time, true);
    }
}

void World::leaveAndReturn(Node &node, Duration time)
{
    node.listedLeaving_ = !node.isEntry_ && chance(0.5);
    snapshotList();
    stopGracefully(node);
    after(time, [this, &node] {
        node.listedLeaving_ = false;
        snapshotList();
    });
    restartLater(node, time);
}

void World::cutOff(const Node &node, Duration time)
{
    cutBetween([&](const Node &left, const Node &) { return &left == &node; }, time);
}

void World::failLinks(LinkFailure kind, Node &node, Duration time)
{
    const Node &other = nodes_.at(below(successorNode));
    const auto between = [&](const Node &left, const Node &right) {
        return &left == &node && &right == &other;
    };
    const auto across = [](const Node &left, const Node &right) {
        return left.dataCentre_ != right.dataCentre_;
    };
    switch (kind) {
    case LinkFailure::OneCut:
        cutBetween(between, time);
        break;
    case LinkFailure::OneStuck:
        stickBetween(indexOf(node), indexOf(other), time);
        break;
    case LinkFailure::DataCentresCut:
        cutBetween(across, time);
        break;
    case LinkFailure::AllCut:
        cutOff(node, time);
        node.platformCut_ = true;
        after(time, [&node] { node.platformCut_ = false; });
        break;
    }
}

void World::failPlatform(bool down, Duration time)
{
    platformDown_ = down;
    staleReads_ = !down;
    store_.faults_ = {10, 10, 20, 10};
    after(time, [this] {
        platformDown_ = false;
        staleReads_ = false;
    });
}

/// The engine's runs stand still, and may go on while nobody can reach it.
void World::stall(Node &node, Duration time)
{
    node.engine_.stalledUntil_ = now_ + time;
    if (chance(0.7))
        cutOff(node, time + longestFailure / 2);
}

void World::failOnce()
{
    ++result_.counts_.failures_;
    Node &node = nodes_.at(narrow_ ? entryNodes + below(2) : below(successorNode));
    const Duration time = upTo(longestFailure);
    const std::size_t kind = narrow_ ? stallKind : below(failureKinds);
    note(fmt::format("failure {} of {} for {} ms", kind, node.vm_.text_, time / 1ms));
    if (kind < 3)
        killFor(node, time, kind == 0);
    else if (kind == 3)
        freeze(node, time);
    else if (kind < 8)
        failLinks(static_cast<LinkFailure>(kind - 4), node, time);
    else if (kind < 10)
        failPlatform(kind == 8, time);
    else if (kind == 10 && !node.isEntry_)
        crashEngine(node);
    else if (kind < 13)
        changeRules();
    else if (kind == 13)
        leaveAndReturn(node, time);
    else if (kind == 14)
        loseDataCentre(node.dataCentre_, time);
    else if (kind <= stallKind)
        stall(node, time);
    else
        replaceFrozen();
}

void World::heal()
{
    note(fmt::format("all heals after {} events", eventOrder_));
    calm_ = true;
    platformDown_ = false;
    staleReads_ = false;
    listLag_ = Duration(0);
    store_.faults_ = {};
    applyLate(store_, 100);
    for (std::size_t from = 0; from < nodeCount; ++from) {
        for (std::size_t to = 0; to < nodeCount; ++to) {
            links_.at(from).at(to).cut_ = false;
            unstick(from, to);
        }
    }
    for (Node &node : nodes_) {
        node.platformCut_ = false;
        node.listedLeaving_ = false;
        thaw(node);
        if (!node.listed_)
            kill(node);
        else if (!node.stopAt_)
            startNode(node);
    }
    snapshotList();
}

void World::checkRest()
{
    const std::uint64_t newest = truths_.size() - 1;
    for (const Node &node : nodes_) {
        if (!node.alive_)
            continue;
        const std::string name = node.vm_.text_;
        if (node.shown_.value_ != newest)
            violate(Property::ComesToRest,
                    fmt::format("{} holds revision {} of {}", name, node.shown_.value_, newest));
        if (node.isEntry_ && !(idle(node.entry_) && node.entry_.attempts_.empty()))
            violate(Property::ComesToRest,
                    fmt::format("{} has {} requests, {} attempts, {} claims in hand", name,
                                node.entry_.requests_.size(), node.entry_.attempts_.size(),
                                node.entry_.claims_.claims_.size()));
        if (!node.isEntry_ && !node.door_.attempts_.open_.empty())
            violate(Property::ComesToRest, name + " has attempts in hand");
        if (!node.engine_.running_.empty())
            violate(Property::ComesToRest, name + " still runs something");
    }
}

void World::checkWindows()
{
    // The greater of the contracts; a rate is only ever lowered here, and bursts stay.
    const RulesTruth &contract = truths_.front();
    for (std::size_t account = 0; account < tokens_.size(); ++account) {
        const std::int64_t worst = worstBurstMicroTokens(tokens_.at(account), contract.rate_);
        if (worst > contract.burst_ * 900'000)
            ++result_.counts_.fullWindows_;
        if (worst > contract.burst_ * 1'000'000)
            violate(
                Property::TokenWindow,
                fmt::format("a{} ran {} millionths of a token beyond its rate", account, worst));
    }
}

void World::startListed()
{
    for (Node &node : nodes_) {
        if (node.listed_)
            startNode(node);
    }
}

/// Callers may come together after quiet times, and failures may strike them then.
void World::schedule()
{
    listLag_ = chance(0.5) ? upTo(2s) : Duration(0);
    narrow_ = chance(0.15);
    const Duration gap = 300ms + upTo(900ms);
    const bool clumps = narrow_ || chance(0.5);
    const auto sometime = [&](Duration spread) {
        return clumps ? gap * static_cast<int>(below(4)) + upTo(spread) : upTo(busy);
    };
    const std::size_t jobs = 50 + below(70);
    for (std::size_t job = 0; job < jobs; ++job)
        after(sometime(60ms), [this] { newJob(); });
    const std::size_t failures = 1 + below(6);
    for (std::size_t failure = 0; failure < failures; ++failure) {
        const Duration when = sometime(200ms);
        const int together = chance(0.2) ? 2 : 1;
        for (int times = 0; times < together; ++times)
            after(when, [this] { failOnce(); });
    }
}

/// Nothing fails any more, and those that had been told to stop come back.
void World::rest()
{
    checkCallsInTime();
    heal();
    runUntil(now_ + 1s);
    startListed();
    runUntil(now_ + 2s);
    tickPeriod_ = calmTick;
    runUntil(now_ + 2s);
    checkCallsInTime();
    runUntil(now_ + resting);
    startListed();
    runUntil(now_ + 3s);
    checkCallsInTime();
    checkRest();
}

void World::drain()
{
    for (Node &node : nodes_)
        stopGracefully(node);
    runUntil(now_ + draining);
    for (const Node &node : nodes_) {
        if (node.alive_)
            violate(Property::GracefulStop, node.vm_.text_ + " doesn't come to its end");
    }
}

MixResult World::run()
{
    startListed();
    runUntil(start + warmUp);
    tickPeriod_ = busyTick;
    schedule();
    runUntil(now_ + busy + healing);
    rest();
    drain();
    checkWindows();
    return std::move(result_);
}

MixResult runMix(std::uint64_t seed, const Property *sabotage, bool log)
{
    return World(seed, sabotage, log).run();
}

} // namespace eelgrasscove::mix
