#include "fleet.h"

#include <chrono>
#include <csignal>
#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace scenarios {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::chrono::seconds startTimeout(30);
constexpr std::chrono::milliseconds pollPeriod(2);
const std::string standInFolder = std::string(PROGRAM_FOLDER) + "/Tests/StandIns/";
const std::string daemonProgram = std::string(PROGRAM_FOLDER) + "/eelgrasscoved";

struct IniEntry
{
    std::string section_;
    std::string key_;
    std::string value_;
};

/// 0 where none is free, which then fails at the start.
unsigned short portOrNone()
{
    return takePort().value_or(0);
}

std::string url(unsigned short port)
{
    return fmt::format("http://127.0.0.1:{}", port);
}

std::string inboxAddress(unsigned short port)
{
    return fmt::format("tcp://127.0.0.1:{}", port);
}

/// The port to use on a way: the relay's where there is one.
unsigned short portOn(const Fleet &fleet, LinkKind kind, const std::string &vm, unsigned short port)
{
    const RelayPorts *relay = relayOn(fleet, kind, vm);
    return relay == nullptr ? port : relay->listen_;
}

std::string waitReady(ChildProcess &process, const std::string &name)
{
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (readWholeFile(process.standardOutput_).find("ready ") != std::string::npos)
            return {};
        if (!isRunning(process)) {
            return fmt::format("{} ended with {}: {}", name, *process.exit_,
                               readWholeFile(process.standardError_));
        }
        std::this_thread::sleep_for(pollPeriod);
    }
    return name + " didn't get ready";
}

std::string startStandIn(Fleet &fleet, const std::string &program, const std::string &name,
                         const std::vector<std::string> &arguments)
{
    auto process = startProcess({standInFolder + program, arguments, fleet.folder_, name});
    if (!process)
        return program + " can't be started";
    fleet.processes_[name] = *process;
    return waitReady(fleet.processes_[name], name);
}

std::string startPlatform(Fleet &fleet)
{
    fleet.platform_ = portOrNone();
    const std::string file = fleet.folder_ + "/vms.json";
    writeWholeFile(file, vmListText(fleet));
    return startStandIn(fleet, "standin-platform", platformName,
                        {fmt::format("--port={}", fleet.platform_), "--vms=" + file});
}

std::string millis(Micros time)
{
    return fmt::format("{}", static_cast<double>(time.count()) / 1000);
}

std::string startEngine(Fleet &fleet, const VmDeclaration &vm)
{
    std::vector<std::string> arguments = {
        fmt::format("--port={}", fleet.ports_[vm.name_].target_),
        fmt::format("--adapter-slots={}", vm.adapterSlots_),
        fmt::format("--batch-slots={}", vm.batchSlots_),
        "--token-ms=" + millis(vm.tokenTime_),
        "--load-ms=" + millis(vm.loadTime_),
        "--restart-ms=" + millis(vm.restartTime_),
    };
    if (!vm.crashMarker_.empty())
        arguments.push_back("--crash-marker=" + vm.crashMarker_);
    if (vm.checkFencing_)
        arguments.emplace_back("--check-fencing");
    return startStandIn(fleet, "standin-engine", vm.name_ + ".target", arguments);
}

std::string startService(Fleet &fleet, const VmDeclaration &vm)
{
    return startStandIn(fleet, "standin-service", vm.name_ + ".target",
                        {fmt::format("--port={}", fleet.ports_[vm.name_].target_),
                         "--name=" + vm.group_, "--delay-ms=" + millis(vm.delay_)});
}

unsigned short relayedPort(const Fleet &fleet, const RelayPorts &relay)
{
    const VmPorts &ports = fleet.ports_.at(relay.vm_);
    if (relay.kind_ == LinkKind::Platform)
        return fleet.platform_;
    return relay.kind_ == LinkKind::Link ? ports.inbox_ : ports.target_;
}

std::string startRelay(Fleet &fleet, const RelayPorts &relay)
{
    const std::string name =
        fmt::format("{}.{}-relay", relay.vm_, eelgrasscove::nameOf(linkKindNames, relay.kind_));
    return startStandIn(fleet, "standin-relay", name,
                        {fmt::format("--listen=127.0.0.1:{}", relay.listen_),
                         fmt::format("--to=127.0.0.1:{}", relayedPort(fleet, relay)),
                         fmt::format("--control={}", relay.control_)});
}

void planRelay(Fleet &fleet, LinkKind kind, const std::string &vm)
{
    if (relayOn(fleet, kind, vm) == nullptr)
        fleet.relays_.push_back({kind, vm, portOrNone(), portOrNone()});
}

void planPorts(Fleet &fleet)
{
    for (const VmDeclaration &vm : fleet.scenario_->vms_) {
        fleet.ports_[vm.name_] = {portOrNone(), portOrNone(), portOrNone(), portOrNone()};
        fleet.listStates_[vm.name_] = "live";
    }
    for (const Step &step : fleet.scenario_->steps_) {
        const auto *link = std::get_if<LinkStep>(&step.action_);
        if (link == nullptr)
            continue;
        for (const VmDeclaration &vm : fleet.scenario_->vms_) {
            if (link->name_ == vm.name_ || link->name_ == "all")
                planRelay(fleet, link->kind_, vm.name_);
        }
    }
}

std::vector<IniEntry> targetSettings(const Fleet &fleet, const VmDeclaration &vm)
{
    const unsigned short port =
        portOn(fleet, LinkKind::Target, vm.name_, fleet.ports_.at(vm.name_).target_);
    return {{"target", "group", vm.group_},
            {"target", "engine", vm.kind_ == VmKind::Engine ? "true" : "false"},
            {"target", "url", url(port)},
            {"target", "adapter_slots", std::to_string(vm.adapterSlots_)},
            {"target", "batch_slots", std::to_string(vm.batchSlots_)},
            {"target", "loads_per_second", "1000"},
            {"target", "loads_at_once", "4"}};
}

std::vector<IniEntry> baseSettings(const Fleet &fleet, const VmDeclaration &vm)
{
    const VmPorts &ports = fleet.ports_.at(vm.name_);
    const unsigned short platform = portOn(fleet, LinkKind::Platform, vm.name_, fleet.platform_);
    const unsigned short advertised = portOn(fleet, LinkKind::Link, vm.name_, ports.inbox_);
    std::vector<IniEntry> entries = {
        {"vm", "role", vm.kind_ == VmKind::Entry ? "entry" : "target"},
        {"vm", "vm", vm.name_},
        {"vm", "region", "west"},
        {"vm", "data_centre", vm.dataCentre_},
        {"link", "listen", inboxAddress(ports.inbox_)},
        {"link", "advertise", inboxAddress(advertised)},
        {"platform", "key_value_url", url(platform)},
        {"platform", "vm_list_url", url(platform) + "/vms"},
        {"platform", "vm_list_period", "200ms"},
        {"observe", "listen", fmt::format("127.0.0.1:{}", ports.observe_)},
    };
    if (vm.kind_ == VmKind::Entry) {
        entries.push_back({"callers", "listen", fmt::format("127.0.0.1:{}", ports.callers_)});
        entries.push_back({"keys", "digest_secret", digestSecret()});
        return entries;
    }
    const auto target = targetSettings(fleet, vm);
    entries.insert(entries.end(), target.begin(), target.end());
    return entries;
}

void overrideSetting(std::vector<IniEntry> &entries, const SettingDeclaration &setting)
{
    for (IniEntry &entry : entries) {
        if (entry.section_ != setting.section_ || entry.key_ != setting.key_)
            continue;
        entry.value_ = setting.value_;
        return;
    }
    entries.push_back({setting.section_, setting.key_, setting.value_});
}

std::string iniText(const std::vector<IniEntry> &entries)
{
    std::vector<std::string> sections;
    std::string text;
    for (const IniEntry &entry : entries) {
        if (std::find(sections.begin(), sections.end(), entry.section_) == sections.end())
            sections.push_back(entry.section_);
    }
    for (const std::string &section : sections) {
        text += fmt::format("[{}]\n", section);
        for (const IniEntry &entry : entries) {
            if (entry.section_ == section)
                text += fmt::format("{} = {}\n", entry.key_, entry.value_);
        }
    }
    return text;
}

} // namespace

std::string digestSecret()
{
    return "scenario-digest-secret-0123456789";
}

std::string startStandIns(Fleet &fleet)
{
    planPorts(fleet);
    std::string error = startPlatform(fleet);
    for (const VmDeclaration &vm : fleet.scenario_->vms_) {
        if (error.empty() && vm.kind_ == VmKind::Engine)
            error = startEngine(fleet, vm);
        if (error.empty() && vm.kind_ == VmKind::Service)
            error = startService(fleet, vm);
    }
    for (const RelayPorts &relay : fleet.relays_) {
        if (error.empty())
            error = startRelay(fleet, relay);
    }
    return error;
}

std::string startDaemon(Fleet &fleet, const std::string &vm)
{
    const VmDeclaration *declared = findVm(*fleet.scenario_, vm);
    ChildProcess *earlier = daemonOf(fleet, vm);
    if (earlier != nullptr && isRunning(*earlier))
        return vm + " runs already";
    const std::string file = fmt::format("{}/{}.ini", fleet.folder_, vm);
    writeWholeFile(file, settingsText(fleet, *declared));
    auto process = startProcess({daemonProgram, {"--settings", file}, fleet.folder_, vm});
    if (!process)
        return daemonProgram + " can't be started";
    fleet.processes_[vm] = *process;
    return {};
}

ChildProcess *daemonOf(Fleet &fleet, const std::string &vm)
{
    const auto found = fleet.processes_.find(vm);
    return found == fleet.processes_.end() ? nullptr : &found->second;
}

std::string settingsText(const Fleet &fleet, const VmDeclaration &vm)
{
    std::vector<IniEntry> entries = baseSettings(fleet, vm);
    for (const SettingDeclaration &setting : fleet.scenario_->settings_) {
        if (setting.process_ == vm.name_ || setting.process_ == "all")
            overrideSetting(entries, setting);
    }
    return iniText(entries);
}

std::string operatorSettingsText(Fleet &fleet)
{
    std::string urls;
    for (const VmDeclaration &vm : fleet.scenario_->vms_) {
        ChildProcess *process = daemonOf(fleet, vm.name_);
        if (process == nullptr || !isRunning(*process) || process->frozen_)
            continue;
        urls += (urls.empty() ? "" : ",") + url(fleet.ports_.at(vm.name_).observe_) + "/status";
    }
    return iniText({{"platform", "key_value_url", url(fleet.platform_)},
                    {"platform", "vm_list_url", url(fleet.platform_) + "/vms"},
                    {"keys", "digest_secret", digestSecret()},
                    {"operator", "status_urls", urls},
                    {"operator", "who", "scenario"}});
}

std::string vmListText(const Fleet &fleet)
{
    Json vms = Json::array();
    for (const VmDeclaration &vm : fleet.scenario_->vms_) {
        const auto state = fleet.listStates_.find(vm.name_);
        if (state == fleet.listStates_.end())
            continue;
        const unsigned short inbox =
            portOn(fleet, LinkKind::Link, vm.name_, fleet.ports_.at(vm.name_).inbox_);
        vms.push_back({{"name", vm.name_},
                       {"region", "west"},
                       {"data_centre", vm.dataCentre_},
                       {"role", vm.kind_ == VmKind::Entry ? "entry" : "target"},
                       {"address", inboxAddress(inbox)},
                       {"group", vm.group_},
                       {"state", state->second}});
    }
    return Json({{"vms", vms}}).dump();
}

const RelayPorts *relayOn(const Fleet &fleet, LinkKind kind, const std::string &vm)
{
    for (const RelayPorts &relay : fleet.relays_) {
        if (relay.kind_ == kind && relay.vm_ == vm)
            return &relay;
    }
    return nullptr;
}

standins::HostPort callersOf(const Fleet &fleet, const std::string &entry)
{
    return {.port_ = fleet.ports_.at(entry).callers_};
}

standins::HostPort observeOf(const Fleet &fleet, const std::string &vm)
{
    return {.port_ = fleet.ports_.at(vm).observe_};
}

void killAll(Fleet &fleet)
{
    for (auto &[name, process] : fleet.processes_)
        killProcess(process);
}

} // namespace scenarios
