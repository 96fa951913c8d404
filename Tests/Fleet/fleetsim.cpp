#include "fleetsim.h"

#include "Link/messagecodec.h"

#include <fmt/format.h>

#include <algorithm>

namespace eelgrasscove::sim {

namespace {

constexpr std::string_view addressPrefix = "tcp://";
constexpr std::size_t transportBytes = 60;
constexpr Incarnation firstIncarnation = {1};

VmSettings settingsOf(const ListedVm &vm)
{
    VmSettings settings;
    settings.vm_ = vm.vm_;
    settings.region_ = vm.region_;
    settings.dataCentre_ = vm.dataCentre_;
    return settings;
}

} // namespace

FleetSim::FleetSim(const FleetSimOptions &options) : options_(options), random_(options.seed_)
{
    for (std::size_t centre = 0; centre < options.dataCentres_; ++centre) {
        const std::string name = fmt::format("d{}", centre);
        const std::size_t targets =
            centre == 0 ? options.firstCentreTargets_ : options.otherCentreTargets_;
        for (std::size_t entry = 0; entry < options.entriesPerCentre_; ++entry)
            add(name, Role::Entry, entry);
        for (std::size_t target = 0; target < targets; ++target)
            add(name, Role::Target, target);
    }
    // All links are up at the start.
    for (auto &[name, node] : nodes_) {
        for (const ListedVm &vm : list_.vms_)
            applyLinkChange(fleetOf(node), vm.address_, true);
    }
}

void FleetSim::add(const std::string &dataCentre, Role role, std::size_t number)
{
    FleetNode node;
    const bool entry = role == Role::Entry;
    const std::string name = fmt::format("{}-{}{}", dataCentre, entry ? "e" : "t", number);
    node.vm_ = {{name}, {"r"}, {dataCentre}, role, std::string(addressPrefix) + name, {}, false};
    node.vm_.group_ = {entry ? "" : "advice"};
    Settings settings;
    settings.vm_ = settingsOf(node.vm_);
    settings.target_.group_ = node.vm_.group_;
    if (entry)
        node.entry_ = makeEntry(settings.vm_, firstIncarnation, {}, now_);
    else
        node.target_ = makeTargetFleet(settings, firstIncarnation, now_);
    node.load_.role_ = Role::Target;
    node.load_.dataCentre_ = {dataCentre};
    node.load_.group_ = node.vm_.group_;
    node.load_.batchSlots_ = 1000000;
    node.load_.residents_ = {{{{"oak"}, {"1"}}, 1}};
    list_.vms_.push_back(node.vm_);
    nodes_.emplace(name, std::move(node));
}

Fleet &FleetSim::fleetOf(FleetNode &node)
{
    return node.vm_.role_ == Role::Entry ? node.entry_.fleet_ : node.target_.fleet_;
}

RuleDistribution &FleetSim::spreadOf(FleetNode &node)
{
    return node.vm_.role_ == Role::Entry ? node.entry_.spread_ : node.target_.ruleDistribution_;
}

void FleetSim::setListedLeaving(const std::string &name, bool leaving)
{
    for (ListedVm &vm : list_.vms_) {
        if (vm.vm_.text_ == name)
            vm.leaving_ = leaving;
    }
}

void FleetSim::setDrained(const std::string &name, bool drained)
{
    for (ListedVm &vm : list_.vms_) {
        if (vm.vm_.text_ == name)
            vm.drained_ = drained;
    }
    // Processes that watch the drain marks see a change at once.
    for (auto &[other, node] : nodes_) {
        if (node.isWatching_ && node.isUp_)
            readList(node);
    }
    deliverAll();
}

void FleetSim::deliverRules(const std::string &name, const StoredRules &rules)
{
    FleetNode &to = nodes_.at(name);
    if (to.vm_.role_ == Role::Entry) {
        EntryActions actions;
        eelgrasscove::step(to.entry_, StoredRules(rules), now_, actions);
        perform(to, actions);
    } else {
        TargetFleetActions actions;
        applyFleetRules(to.target_, rules, now_, actions);
        perform(to, actions);
    }
    deliverAll();
}

void FleetSim::readList(FleetNode &node)
{
    const double jitter = 0.9 + 0.2 * static_cast<double>(random_() % 1000) / 1000;
    const Duration period = std::max(node.listPeriod_, listPeriod);
    node.nextListReadAt_ =
        now_ + Duration(static_cast<std::int64_t>(jitter * static_cast<double>(period.count())));
    VmList visibleList = list_;
    for (ListedVm &vm : visibleList.vms_) {
        vm.drained_ = vm.drained_ && node.isWatching_;
        vm.leaving_ = vm.leaving_ || vm.drained_;
    }
    if (node.vm_.role_ == Role::Entry) {
        EntryActions actions;
        eelgrasscove::step(node.entry_, std::move(visibleList), now_, actions);
        perform(node, actions);
    } else {
        TargetFleetActions actions;
        applyFleetVmList(node.target_, visibleList, now_, actions);
        perform(node, actions);
    }
}

void FleetSim::step(FleetNode &node)
{
    if (now_ >= node.nextListReadAt_)
        readList(node);
    if (node.vm_.role_ == Role::Entry) {
        EntryActions actions;
        eelgrasscove::step(node.entry_, EntryTick(), now_, actions);
        if (node.vm_.vm_.text_ != options_.oldEntry_)
            sendHeartbeats(node.entry_, now_, actions);
        perform(node, actions);
        return;
    }
    TargetFleetActions actions;
    node.load_.rulesRevision_ = node.target_.ruleDistribution_.revision_;
    tickTargetFleet(node.target_, now_, actions);
    sendLoad(node.target_, node.load_, now_, actions);
    perform(node, actions);
}

void FleetSim::runFor(Duration span)
{
    for (const Time end = now_ + span; now_ < end; now_ += stepTime) {
        for (auto &[name, node] : nodes_) {
            if (node.isUp_)
                step(node);
        }
        deliverAll();
    }
}

void FleetSim::perform(FleetNode &node, EntryActions &actions)
{
    for (EntryAction &action : actions) {
        if (const auto *message = std::get_if<SendMessage>(&action))
            send(node, message->address_, message->message_);
        else if (const auto *watch = std::get_if<WatchPlatformRules>(&action))
            node.isWatching_ = watch->on_;
        else if (const auto *stretch = std::get_if<SetVmListPeriod>(&action))
            node.listPeriod_ = stretch->period_;
    }
}

void FleetSim::perform(FleetNode &node, TargetFleetActions &actions)
{
    for (TargetFleetAction &action : actions) {
        if (const auto *message = std::get_if<AddressedMessage>(&action))
            send(node, message->address_, message->message_);
        else if (const auto *watch = std::get_if<WatchPlatformRules>(&action))
            node.isWatching_ = watch->on_;
        else if (const auto *stretch = std::get_if<SetVmListPeriod>(&action))
            node.listPeriod_ = stretch->period_;
    }
}

bool FleetSim::drawLoss()
{
    return options_.lossProbability_ > 0
        && static_cast<double>(random_() % 10000) < options_.lossProbability_ * 10000;
}

void FleetSim::send(const FleetNode &from, const std::string &address, const Message &message)
{
    Envelope envelope;
    const bool isOldBuild = from.vm_.vm_.text_ == options_.oldEntry_;
    envelope.version_ = isOldBuild ? loadReportVersion - 1 : messageVersion;
    envelope.from_ = from.vm_.vm_;
    envelope.incarnation_ = firstIncarnation;
    envelope.replyAddress_ = from.vm_.address_;
    envelope.message_ = message;
    const std::string to = address.substr(addressPrefix.size());
    const std::size_t bytes =
        options_.countsBytes_ ? encodeEnvelope(envelope).size() + transportBytes : 0;
    for (const std::string &end : {from.vm_.vm_.text_, to}) {
        traffic_[end].bytes_ += bytes;
        traffic_[end].messages_ += 1;
    }
    if (!drawLoss())
        inFlight_.push_back({to, std::move(envelope)});
}

void FleetSim::deliverAll()
{
    while (!inFlight_.empty()) {
        Sent sent = std::move(inFlight_.front());
        inFlight_.pop_front();
        FleetNode &to = nodes_.at(sent.to_);
        if (to.isUp_)
            deliver(to, std::move(sent.envelope_));
    }
}

void FleetSim::deliver(FleetNode &node, Envelope envelope)
{
    if (node.vm_.role_ == Role::Entry) {
        const bool isHeartbeat = std::holds_alternative<Heartbeat>(envelope.message_);
        if (node.vm_.vm_.text_ == options_.oldEntry_) {
            if (isHeartbeat)
                applyHeartbeat(node.entry_.fleet_, envelope, std::get<Heartbeat>(envelope.message_),
                               now_);
            return;
        }
        EntryActions actions;
        eelgrasscove::step(node.entry_, std::move(envelope), now_, actions);
        perform(node, actions);
        return;
    }
    TargetFleetActions actions;
    if (std::holds_alternative<FullReportRequest>(envelope.message_))
        sendRequestedFullReport(node.target_, envelope, node.load_, actions);
    else
        handleFleetMessage(node.target_, envelope, now_, actions);
    perform(node, actions);
}

} // namespace eelgrasscove::sim
