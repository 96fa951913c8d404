#include "Operator/commands.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

constexpr int mostRetries = 5;
constexpr Duration retryStep = std::chrono::milliseconds(250);

bool isListed(const VmList &list, const VmName &vm)
{
    return std::any_of(list.vms_.begin(), list.vms_.end(),
                       [&vm](const ListedVm &listed) { return listed.vm_ == vm; });
}

/// Writing a mark twice does no harm, so a lost reply is answered by another call.
KvOutcome writeMark(const Desk &desk, const KvWrite &mark)
{
    KvOperation operation;
    operation.writes_ = {mark};
    KvOutcome outcome = desk.keyValue_(operation);
    for (int retry = 1; retry <= mostRetries && outcome.status_ != KvStatus::Succeeded; ++retry) {
        desk.wait_(retryStep * retry);
        outcome = desk.keyValue_(operation);
    }
    return outcome;
}

} // namespace

Report vmListing(const Desk &desk)
{
    const Result<VmList, Report> list = readVms(desk);
    if (!ok(list))
        return errorOf(list);
    Report report;
    for (const ListedVm &vm : valueOf(list).vms_) {
        report.rows_.push_back({{{"vm", vm.vm_.text_},
                                 {"role", std::string(nameOf(roleNames, vm.role_))},
                                 {"region", vm.region_.text_},
                                 {"data_centre", vm.dataCentre_.text_},
                                 {"group", vm.group_.text_},
                                 {"address", vm.address_},
                                 {"state", std::string(vm.leaving_ ? "leaving" : "live")}}});
    }
    return report;
}

Report vmDrain(const Desk &desk, const VmName &vm, bool undo)
{
    const Result<VmList, Report> list = readVms(desk);
    if (!ok(list))
        return errorOf(list);
    if (!undo && !isListed(valueOf(list), vm)) {
        return failedReport(ExitCode::NotFound,
                            fmt::format("the platform lists no VM \"{}\"; see \"eelgrasscove vm "
                                        "list\"",
                                        vm.text_));
    }
    const KvWrite mark{drainPrefix + vm.text_,
                       undo ? std::nullopt : std::optional<std::string>(desk.who_)};
    const KvOutcome outcome = writeMark(desk, mark);
    if (outcome.status_ == KvStatus::NotSent)
        return failedReport(ExitCode::Unreachable, "the platform doesn't answer");
    if (outcome.status_ != KvStatus::Succeeded) {
        return failedReport(ExitCode::Unknown,
                            "the platform's reply was lost; the command can be given again");
    }
    Report report;
    report.text_ = undo
        ? fmt::format("VM {} may take new work again\n", vm.text_)
        : fmt::format("VM {} takes no new work; its running requests finish\n", vm.text_);
    return report;
}

} // namespace eelgrasscove
