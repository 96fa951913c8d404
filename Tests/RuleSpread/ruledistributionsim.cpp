#include "ruledistributionsim.h"

#include "DataCentre/rendezvous.h"
#include "DataCentre/rulesdelta.h"

#include <fmt/format.h>

#include <algorithm>

namespace eelgrasscove::sim {

namespace {

using std::chrono::microseconds;

constexpr std::size_t heartbeatPeersPerRemoteDataCentre = 2;
constexpr std::size_t localHeartbeatPeers = 8;
constexpr std::size_t envelopeBytes = 96;
constexpr std::int64_t microsPerSecond = 1000000;
constexpr std::size_t maximumRegions = 64;

std::string processName(std::size_t process)
{
    return fmt::format("vm{:05}", process);
}

std::string dataCentreName(std::size_t dataCentre)
{
    return fmt::format("dc{:02}", dataCentre);
}

std::size_t pairOf(std::size_t left, std::size_t right)
{
    return std::min(left, right) * maximumRegions + std::max(left, right);
}

Role roleOf(const SimOptions &options, std::size_t process)
{
    const std::size_t place = process / options.dataCentres_;
    return place % options.entryEvery_ == 0 ? Role::Entry : Role::Target;
}

} // namespace

std::size_t wireBytes(const Message &message)
{
    if (const auto *delta = std::get_if<RulesDelta>(&message))
        return envelopeBytes + rulesDeltaBytes(*delta);
    if (const auto *part = std::get_if<RulesPart>(&message))
        return envelopeBytes + 40 + part->bytes_.size();
    return envelopeBytes + 16;
}

std::string rulesText(std::size_t routes, std::uint64_t version)
{
    std::string text = "account shop rate 1000 burst 5000 # J. Smit\n";
    for (std::size_t route = 0; route < routes; ++route) {
        const std::uint64_t adapter =
            route == version % std::max<std::size_t>(routes, 1) ? version : 1;
        text += fmt::format("route leg-{0} account shop adapter leg-{0} version {1} targets advice "
                            "idempotent # J. Smit\n",
                            route, adapter);
    }
    return text;
}

RuleDistributionSim::RuleDistributionSim(const SimOptions &options)
    : options_(options), random_(options.seed_)
{
    options_.dataCentres_ = std::min(options_.dataCentres_, options_.processes_);
    processes_.resize(options_.processes_);
    for (std::size_t index = 0; index < processes_.size(); ++index)
        processes_[index].dataCentre_ = index % options_.dataCentres_;
    refreshView();
    for (std::size_t index = 0; index < processes_.size(); ++index) {
        if (options_.hasSparseHeartbeats_) {
            selectFewPeers(index);
        } else {
            selectFullMeshPeers(index);
        }
    }
}

void RuleDistributionSim::selectFullMeshPeers(std::size_t process)
{
    SimProcess &self = processes_[process];
    std::vector<std::vector<VmName>> others(options_.dataCentres_);
    for (std::size_t other = 0; other < processes_.size(); ++other) {
        const std::size_t dataCentre = processes_[other].dataCentre_;
        if (dataCentre == self.dataCentre_) {
            if (other != process)
                self.heartbeatsTo_.push_back(other);
        } else if (roleOf(options_, other) == Role::Entry) {
            others[dataCentre].push_back({processName(other)});
        }
    }
    for (const std::vector<VmName> &candidates : others) {
        for (const VmName &vm :
             rendezvousRank(processName(process), candidates, heartbeatPeersPerRemoteDataCentre))
            self.heartbeatsTo_.push_back(indexOf(vm));
    }
}

void RuleDistributionSim::selectFewPeers(std::size_t process)
{
    SimProcess &self = processes_[process];
    std::vector<VmName> localPeers;
    std::vector<VmName> localEntries;
    for (std::size_t other = 0; other < processes_.size(); ++other) {
        if (processes_[other].dataCentre_ != self.dataCentre_)
            continue;
        if (other != process)
            localPeers.push_back({processName(other)});
        if (roleOf(options_, other) == Role::Entry)
            localEntries.push_back({processName(other)});
    }
    for (const VmName &vm : rendezvousRank(processName(process), localPeers, localHeartbeatPeers))
        self.heartbeatsTo_.push_back(indexOf(vm));
    if (roleOf(options_, process) != Role::Entry) {
        // Load reports carry the revision to all entries of the data centre.
        for (const VmName &vm : localEntries)
            self.heartbeatsTo_.push_back(indexOf(vm));
        return;
    }
    for (std::size_t other = 0; other < processes_.size(); ++other) {
        const bool elsewhere = processes_[other].dataCentre_ != self.dataCentre_;
        if (!elsewhere || roleOf(options_, other) != Role::Entry)
            continue;
        if (rendezvousRank(processName(other), localEntries, 1).front().text_
            == processName(process))
            self.heartbeatsTo_.push_back(other);
    }
}

double RuleDistributionSim::nextFraction()
{
    random_ = rendezvousWeight(std::to_string(random_), {"chance"});
    return static_cast<double>(random_ >> 11U) / static_cast<double>(1ULL << 53U);
}

std::size_t RuleDistributionSim::indexOf(const VmName &vm) const
{
    return std::stoul(vm.text_.substr(2));
}

void RuleDistributionSim::refreshView()
{
    view_.members_.clear();
    for (std::size_t index = 0; index < processes_.size(); ++index) {
        if (processes_[index].up_) {
            view_.members_.push_back({{processName(index)},
                                      {dataCentreName(processes_[index].dataCentre_)},
                                      roleOf(options_, index)});
        }
    }
}

void RuleDistributionSim::push(SimEvent event)
{
    event.order_ = nextOrder_++;
    events_.push(std::move(event));
}

void RuleDistributionSim::start(std::size_t process, Duration after)
{
    SimProcess &started = processes_[process];
    started.up_ = true;
    ++started.run_;
    started.spread_ = RuleDistribution();
    started.spread_.self_ = {processName(process)};
    started.spread_.dataCentre_ = {dataCentreName(started.dataCentre_)};
    started.spread_.policy_ = options_.policy_;
    started.spread_.randomState_ = options_.seed_ * 1000003 + process * 31 + started.run_;
    started.newestRevisionAt_.reset();
    SimEvent event;
    event.at_ = now_ + after;
    event.kind_ = SimEvent::Kind::Start;
    event.process_ = process;
    event.run_ = started.run_;
    push(event);
}

void RuleDistributionSim::stop(std::size_t process)
{
    processes_[process].up_ = false;
    ++processes_[process].run_;
}

void RuleDistributionSim::preload(const std::string &text)
{
    texts_.push_back(text);
    for (SimProcess &process : processes_) {
        RuleDistribution &spread = process.spread_;
        spread.revision_ = newestRevision();
        spread.text_ = text;
        spread.digest_ = textDigest(text);
        spread.settled_ = true;
        spread.nextReadAt_.reset();
        process.newestRevisionAt_ = now_;
    }
}

void RuleDistributionSim::publishRevision(const std::string &text)
{
    texts_.push_back(text);
    for (SimProcess &process : processes_)
        process.newestRevisionAt_.reset();
    std::size_t notified = 0;
    for (std::size_t index = 0; index < processes_.size() && platformUp_; ++index) {
        const SimProcess &process = processes_[index];
        if (!process.up_ || !process.spread_.watching_
            || cutDataCentres_.contains(process.dataCentre_))
            continue;
        if (notified++ >= options_.notifiedWatchers_)
            continue;
        SimEvent event;
        event.at_ = now_ + microseconds(1000 + static_cast<int>(2000 * nextFraction()));
        event.kind_ = SimEvent::Kind::PlatformUpdate;
        event.process_ = index;
        event.run_ = process.run_;
        event.revision_ = newestRevision();
        push(event);
    }
    if (options_.notifiedWatchers_ != SIZE_MAX)
        platformUp_ = false;
}

void RuleDistributionSim::setPlatformUp(bool up)
{
    platformUp_ = up;
    for (std::size_t index = 0; index < processes_.size(); ++index) {
        if (up && processes_[index].up_ && processes_[index].spread_.watching_)
            readPlatform(index);
    }
}

void RuleDistributionSim::setDataCentrePartitioned(std::size_t dataCentre, bool isCut)
{
    if (isCut) {
        cutDataCentres_.insert(dataCentre);
    } else {
        cutDataCentres_.erase(dataCentre);
    }
}

void RuleDistributionSim::setRegionsPartitioned(std::size_t left, std::size_t right,
                                                bool isPartitioned)
{
    if (isPartitioned) {
        cutRegionPairs_.insert(pairOf(left, right));
    } else {
        cutRegionPairs_.erase(pairOf(left, right));
    }
}

bool RuleDistributionSim::isDelivered(std::size_t from, std::size_t to)
{
    const std::size_t fromCentre = processes_[from].dataCentre_;
    const std::size_t toCentre = processes_[to].dataCentre_;
    if (fromCentre != toCentre) {
        if (cutDataCentres_.contains(fromCentre) || cutDataCentres_.contains(toCentre))
            return false;
        if (cutRegionPairs_.contains(pairOf(regionOf(fromCentre), regionOf(toCentre))))
            return false;
    }
    return options_.lossFraction_ <= 0 || nextFraction() >= options_.lossFraction_;
}

Time RuleDistributionSim::arrivalTime(std::size_t from, std::size_t to)
{
    Time &last = lastArrivals_[from * processes_.size() + to];
    last = std::max(last, now_ + latency(from, to));
    return last;
}

Duration RuleDistributionSim::latency(std::size_t from, std::size_t to)
{
    const std::size_t fromCentre = processes_[from].dataCentre_;
    const std::size_t toCentre = processes_[to].dataCentre_;
    const bool near = fromCentre == toCentre;
    const bool sameRegion = regionOf(fromCentre) == regionOf(toCentre);
    const Duration base = near ? microseconds(250) : microseconds(sameRegion ? 500 : 20000);
    return base + microseconds(static_cast<int>(200 * nextFraction()));
}

void RuleDistributionSim::send(std::size_t from, std::size_t to,
                               std::shared_ptr<const Message> message)
{
    const std::size_t bytes = wireBytes(*message);
    ++counts_.messages_;
    counts_.bytes_ += bytes;
    counts_.crossDataCentreMessages_ +=
        processes_[from].dataCentre_ != processes_[to].dataCentre_ ? 1 : 0;
    processes_[from].bytesOut_ += bytes;
    if (!isDelivered(from, to))
        return;
    SimEvent event;
    event.at_ = arrivalTime(from, to);
    event.kind_ = SimEvent::Kind::Deliver;
    event.process_ = to;
    event.run_ = processes_[to].run_;
    event.from_ = from;
    event.message_ = std::move(message);
    push(std::move(event));
}

void RuleDistributionSim::sendHeartbeats(std::size_t process)
{
    for (const std::size_t to : processes_[process].heartbeatsTo_) {
        if (!processes_[to].up_ || !isDelivered(process, to))
            continue;
        // The receiver acts only on a higher revision, so other heartbeats need no event.
        if (processes_[process].spread_.revision_ <= processes_[to].spread_.revision_)
            continue;
        SimEvent event;
        event.at_ = arrivalTime(process, to);
        event.kind_ = SimEvent::Kind::Deliver;
        event.process_ = to;
        event.run_ = processes_[to].run_;
        event.from_ = process;
        event.revision_ = processes_[process].spread_.revision_;
        push(std::move(event));
    }
}

void RuleDistributionSim::readPlatform(std::size_t process)
{
    ++counts_.platformReads_;
    const std::int64_t second = now_.time_since_epoch().count() / microsPerSecond;
    readsInSecond_ = second == readSecond_ ? readsInSecond_ + 1 : 1;
    readSecond_ = second;
    counts_.maxPlatformReadsPerSecond_ =
        std::max(counts_.maxPlatformReadsPerSecond_, readsInSecond_);
    if (!platformUp_ || cutDataCentres_.contains(processes_[process].dataCentre_))
        return;
    SimEvent event;
    event.at_ = now_ + microseconds(2000);
    event.kind_ = SimEvent::Kind::PlatformReply;
    event.process_ = process;
    event.run_ = processes_[process].run_;
    event.revision_ = staleRead_.value_or(newestRevision());
    push(event);
}

void RuleDistributionSim::deliverPlatformReply(const SimEvent &event)
{
    if (event.revision_.value_ == 0)
        return;
    const StoredRules rules = {event.revision_, texts_[event.revision_.value_ - 1]};
    executeActions(event.process_,
                   handleStoredRules(processes_[event.process_].spread_, view_, rules, now_));
}

void RuleDistributionSim::checkAdoption(SimProcess &process, const StoredRules &rules)
{
    if (rules.revision_ > newestRevision() || rules.text_ != texts_[rules.revision_.value_ - 1])
        fault_.text_ = fmt::format("{} adopted a text that differs from the text of revision {}",
                                   process.spread_.self_.text_, rules.revision_.value_);
    if (rules.revision_ == newestRevision())
        process.newestRevisionAt_ = now_;
}

void RuleDistributionSim::executeActions(std::size_t process, DistributionActions actions)
{
    for (DistributionAction &action : actions) {
        if (auto *sent = std::get_if<SendToPeer>(&action)) {
            send(process, indexOf(sent->peer_),
                 std::make_shared<const Message>(std::move(sent->message_)));
        } else if (const auto *adopted = std::get_if<AdoptRules>(&action)) {
            checkAdoption(processes_[process], adopted->rules_);
        } else if (std::holds_alternative<ReadPlatformRules>(action)) {
            readPlatform(process);
        } else if (std::get<WatchPlatformRules>(action).on_) {
            // A watch is a long poll, counted in addition to the read that it starts from.
            ++counts_.platformReads_;
            readPlatform(process);
        }
    }
}

void RuleDistributionSim::deliver(const SimEvent &event)
{
    RuleDistribution &spread = processes_[event.process_].spread_;
    const VmName from = {processName(event.from_)};
    if (!event.message_) {
        executeActions(event.process_, handlePeerRevision(spread, from, event.revision_, now_));
        return;
    }
    processes_[event.process_].bytesIn_ += wireBytes(*event.message_);
    if (const auto *request = std::get_if<RulesRequest>(event.message_.get())) {
        executeActions(event.process_, handleRulesRequest(spread, from, *request, now_));
    } else if (const auto *partRequest = std::get_if<RulesPartRequest>(event.message_.get())) {
        executeActions(event.process_, handleRulesPartRequest(spread, from, *partRequest, now_));
    } else if (const auto *delta = std::get_if<RulesDelta>(event.message_.get())) {
        executeActions(event.process_, handleRulesDelta(spread, view_, from, *delta, now_));
    } else if (const auto *part = std::get_if<RulesPart>(event.message_.get())) {
        executeActions(event.process_, handleRulesPart(spread, view_, from, *part, now_));
    }
}

void RuleDistributionSim::handle(const SimEvent &event)
{
    SimProcess &process = processes_[event.process_];
    if (!process.up_ || process.run_ != event.run_)
        return;
    const Revision before = process.spread_.revision_;
    SimEvent next = event;
    switch (event.kind_) {
    case SimEvent::Kind::Start: {
        executeActions(event.process_, startRuleDistribution(process.spread_, view_, now_));
        next.at_ = now_
            + Duration(static_cast<int>(static_cast<double>(options_.tickPeriod_.count())
                                        * nextFraction()));
        next.kind_ = SimEvent::Kind::Tick;
        push(next);
        next.kind_ = SimEvent::Kind::Heartbeats;
        if (options_.hasHeartbeats_)
            push(next);
        break;
    }
    case SimEvent::Kind::Tick:
        executeActions(event.process_, tickRuleDistribution(process.spread_, view_, now_));
        next.at_ = now_ + options_.tickPeriod_;
        push(next);
        break;
    case SimEvent::Kind::Heartbeats:
        sendHeartbeats(event.process_);
        next.at_ = now_ + options_.heartbeatPeriod_;
        push(next);
        break;
    case SimEvent::Kind::PlatformUpdate:
    case SimEvent::Kind::PlatformReply:
        deliverPlatformReply(event);
        break;
    case SimEvent::Kind::Deliver:
        deliver(event);
        break;
    }
    if (processes_[event.process_].spread_.revision_ < before)
        fault_.text_ = fmt::format("{} adopted a revision lower than {}",
                                   processName(event.process_), before.value_);
}

void RuleDistributionSim::runFor(Duration span)
{
    const Time end = now_ + span;
    while (!events_.empty() && events_.top().at_ <= end) {
        const SimEvent event = events_.top();
        events_.pop();
        now_ = event.at_;
        handle(event);
    }
    now_ = end;
}

std::size_t RuleDistributionSim::countHolders(Revision revision) const
{
    return static_cast<std::size_t>(
        std::count_if(processes_.begin(), processes_.end(), [&](const SimProcess &process) {
            return process.up_ && process.spread_.revision_ >= revision;
        }));
}

bool RuleDistributionSim::runUntilAllHoldNewest(Duration span)
{
    const Time end = now_ + span;
    const auto up = static_cast<std::size_t>(
        std::count_if(processes_.begin(), processes_.end(),
                      [](const SimProcess &process) { return process.up_; }));
    while (now_ < end) {
        if (countHolders(newestRevision()) == up)
            return true;
        runFor(std::chrono::milliseconds(5));
    }
    return countHolders(newestRevision()) == up;
}

void RuleDistributionSim::resetCounts()
{
    counts_ = SimCounts();
    readsInSecond_ = 0;
    for (SimProcess &process : processes_) {
        process.bytesIn_ = 0;
        process.bytesOut_ = 0;
    }
}

} // namespace eelgrasscove::sim
