#include "fit.h"
#include "measure.h"
#include "sections.h"

#include "DataCentre/loadreport.h"
#include "DataCentre/ruledistribution.h"

#include <fmt/format.h>

#include <memory>
#include <vector>

namespace eelgrasscove::capacity {

namespace {

const Time start = Time(std::chrono::hours(1));
constexpr std::size_t dataCentres = 13;
constexpr std::size_t entryEvery = 4;

ListedVm vmAt(std::size_t number)
{
    ListedVm vm;
    vm.vm_ = {fmt::format("runner-{:05}", number)};
    vm.region_ = {fmt::format("region-{}", number % 5)};
    vm.dataCentre_ = {fmt::format("data-centre-{:02}", number % dataCentres)};
    vm.role_ = number / dataCentres % entryEvery == 0 ? Role::Entry : Role::Target;
    vm.address_ = fmt::format("tcp://10.20.{}.{}:7401", number / 250, number % 250);
    vm.group_ = {vm.role_ == Role::Target ? "advice" : ""};
    return vm;
}

VmList listOf(std::size_t size)
{
    VmList list;
    list.vms_.reserve(size);
    for (std::size_t number = 0; number < size; ++number)
        list.vms_.push_back(vmAt(number));
    return list;
}

Heartbeat heartbeatOf(const ListedVm &vm, std::size_t residents)
{
    Heartbeat heartbeat;
    heartbeat.role_ = vm.role_;
    heartbeat.dataCentre_ = vm.dataCentre_;
    heartbeat.group_ = vm.group_;
    heartbeat.number_ = 1;
    if (vm.role_ == Role::Entry)
        return heartbeat;
    heartbeat.batchSlots_ = 16;
    for (std::size_t resident = 0; resident < residents; ++resident)
        heartbeat.residents_.push_back({{{fmt::format("leg-profile-{:05}", resident)}, {"3"}}, 1});
    return heartbeat;
}

Envelope envelopeOf(const ListedVm &vm)
{
    Envelope envelope;
    envelope.from_ = vm.vm_;
    envelope.incarnation_ = {1733300000000000};
    envelope.replyAddress_ = vm.address_;
    return envelope;
}

constexpr std::size_t residentsPerTarget = 8;

std::unique_ptr<Fleet> fleetOf(const VmList &list)
{
    auto fleet = std::make_unique<Fleet>();
    fleet->self_ = list.vms_.front().vm_;
    fleet->region_ = list.vms_.front().region_;
    fleet->dataCentre_ = list.vms_.front().dataCentre_;
    applyVmList(*fleet, list, start);
    for (const ListedVm &vm : list.vms_) {
        if (vm.dataCentre_ == fleet->dataCentre_)
            applyHeartbeat(*fleet, envelopeOf(vm), heartbeatOf(vm, residentsPerTarget), start);
    }
    return fleet;
}

struct FleetRow
{
    double bytes_ = 0;
    double list_ = 0;
    double heartbeat_ = 0;
    double report_ = 0;
    double view_ = 0;
    double order_ = 0;
    double addresses_ = 0;
    double summary_ = 0;
};

FleetRow rowOf(std::size_t size)
{
    const VmList list = listOf(size);
    FleetRow row;
    const std::size_t before = allocatedBytes();
    const std::unique_ptr<Fleet> fleet = fleetOf(list);
    row.bytes_ = static_cast<double>(allocatedBytes() - before);
    const ListedVm &peer = list.vms_[dataCentres * 2];
    const Envelope envelope = envelopeOf(peer);
    const Heartbeat heartbeat = heartbeatOf(peer, residentsPerTarget);
    LoadReport report;
    report.base_ = 1;
    report.number_ = 1;
    report.changes_.push_back({{"leg-profile-00001"}, {"3"}, 2, false});
    const DistributionView view = makeDistributionView(*fleet, Role::Entry, start);
    row.list_ = microsPerCall(5, [&] { applyVmList(*fleet, list, start); });
    row.heartbeat_ =
        microsPerCall(500, [&] { applyHeartbeat(*fleet, envelope, heartbeat, start); });
    row.report_ = microsPerCall(500, [&] {
        ++report.number_;
        applyLoadReport(*fleet, envelope, report, start);
    });
    row.view_ = microsPerCall(5, [&] { makeDistributionView(*fleet, Role::Entry, start); });
    row.order_ = microsPerCall(5, [&] { distributionOrder(view, fleet->dataCentre_); });
    row.addresses_ = microsPerCall(5, [&] { heartbeatAddresses(*fleet); });
    row.summary_ = microsPerCall(5, [&] { makeSummary(*fleet, {1}, {}, start); });
    return row;
}

} // namespace

void measureFleet(const SectionOptions &options)
{
    fmt::print(
        "| processes | peers' state, KB | take the VM list, us | take a heartbeat, us | take "
        "a load report, us | view of members, us | order of a data centre, us | heartbeat "
        "addresses, us | summary, us |\n|---|---|---|---|---|---|---|---|---|\n");
    std::vector<Point> bytes;
    std::vector<Point> listMicros;
    for (const std::size_t size : {52U, 104U, 208U, 416U, 860U, 1720U, 3440U}) {
        const FleetRow row = rowOf(size);
        fmt::print(
            "| {} | {:.0f} | {:.0f} | {:.2f} | {:.2f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n",
            size, row.bytes_ / 1000, row.list_, row.heartbeat_, row.report_, row.view_, row.order_,
            row.addresses_, row.summary_);
        bytes.push_back({static_cast<double>(size), row.bytes_ / 1000});
        listMicros.push_back({static_cast<double>(size), row.list_});
    }
    const auto target = static_cast<double>(options.mostProcesses_);
    const Fit memory = fitLine(bytes);
    const Fit time = fitLine(listMicros);
    fmt::print(
        "| fit | {:.0f} + {:.3f} a process; error {:.1f}% | {:.0f} + {:.3f} a process; error "
        "{:.1f}% | | | | | | |\n",
        memory.intercept_, memory.slope_, memory.error_ * 100, time.intercept_, time.slope_,
        time.error_ * 100);
    fmt::print("| at {:.0f} | {:.0f} | {:.0f} | | | | | | |\n", target, valueAt(memory, target),
               valueAt(time, target));
}

} // namespace eelgrasscove::capacity
