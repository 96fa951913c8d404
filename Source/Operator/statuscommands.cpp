#include "Operator/commands.h"

#include "Contract/rulefile.h"
#include "Contract/rulequery.h"
#include "DataCentre/routing.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

ReportRow statusRow(const ProbedProcess &process)
{
    const ProcessStatus status = ok(process.status_) ? valueOf(process.status_) : ProcessStatus{};
    const std::string fault = ok(process.status_) ? "" : errorOf(process.status_).message_;
    const std::string role =
        ok(process.status_) ? std::string(nameOf(roleNames, status.role_)) : "";
    return {{{"vm", status.vm_.text_},
             {"role", role},
             {"data_centre", status.dataCentre_.text_},
             {"revision", static_cast<std::int64_t>(status.rulesRevision_.value_)},
             {"leaving", status.leaving_},
             {"requests", static_cast<std::int64_t>(status.requests_)},
             {"group", status.group_.text_},
             {"queued", static_cast<std::int64_t>(status.queued_)},
             {"running", static_cast<std::int64_t>(status.running_)},
             {"adapters", static_cast<std::int64_t>(status.residents_.size())},
             {"url", process.url_},
             {"fault", fault}}};
}

bool isWanted(const AccountName &asked, const AccountName &account)
{
    return asked.empty() || asked == account;
}

void addShares(const ProcessStatus &status, const AccountName &asked, ReportTable &table)
{
    for (const ShareStatus &share : status.shares_) {
        if (isWanted(asked, share.account_)) {
            table.rows_.push_back({{{"vm", status.vm_.text_},
                                    {"account", share.account_.text_},
                                    {"rate", share.rate_},
                                    {"burst", share.burst_},
                                    {"free", share.free_},
                                    {"outstanding", share.outstanding_}}});
        }
    }
}

void addResidents(const ProcessStatus &status, ReportTable &table)
{
    for (const ResidentAdapter &resident : status.residents_) {
        table.rows_.push_back({{{"vm", status.vm_.text_},
                                {"adapter", engineModelName(resident.adapter_)},
                                {"running", static_cast<std::int64_t>(resident.running_)}}});
    }
}

void addQueues(const ProcessStatus &status, const AccountName &asked, ReportTable &table)
{
    for (const QueueStatus &queue : status.queues_) {
        if (isWanted(asked, queue.account_)) {
            table.rows_.push_back({{{"vm", status.vm_.text_},
                                    {"account", queue.account_.text_},
                                    {"interactive", static_cast<std::int64_t>(queue.interactive_)},
                                    {"batch", static_cast<std::int64_t>(queue.batch_)}}});
        }
    }
}

Result<Rules, Report> rulesInForce(const Desk &desk)
{
    const Result<StoredHead, RuleStoreError> stored = readRuleHead(desk.keyValue_);
    if (!ok(stored))
        return storeFailure(errorOf(stored));
    const RuleRecord *newest = newestRecord(valueOf(stored).head_);
    if (newest == nullptr)
        return failedReport(ExitCode::NotFound, "there is no revision yet; apply a first one");
    const Result<std::string, RuleStoreError> text = readRuleText(desk.keyValue_, *newest);
    if (!ok(text))
        return storeFailure(errorOf(text));
    auto rules = parseRules(valueOf(text), "rules in force", newest->revision_);
    if (!ok(rules))
        return failedReport(ExitCode::Damaged, describeRuleErrors(errorOf(rules)));
    return valueOf(std::move(rules));
}

const RouteRule *routeOf(const Rules &rules, const DecideQuestion &question)
{
    if (!question.route_.empty())
        return findAdapterRoute(rules, question.route_);
    return findServiceRoute(rules, question.method_, question.path_, question.account_);
}

TargetView viewOf(const ProcessStatus &status, const DecideQuestion &question)
{
    TargetView view;
    view.vm_ = status.vm_;
    view.sameDataCentre_ =
        question.dataCentre_.empty() || status.dataCentre_ == question.dataCentre_;
    view.queued_ = status.queued_;
    view.running_ = status.running_;
    view.batchSlots_ = status.batchSlots_;
    view.adapterSlots_ = status.adapterSlots_;
    view.residents_ = status.residents_;
    return view;
}

/// Null where the platform doesn't list the VM.
const ListedVm *listedVm(const VmList &vms, const VmName &vm)
{
    const auto found = std::find_if(vms.vms_.begin(), vms.vms_.end(),
                                    [&vm](const ListedVm &listed) { return listed.vm_ == vm; });
    return found == vms.vms_.end() ? nullptr : &*found;
}

/// Why a process can't be the target; empty where it can.
std::string reasonAgainst(const ProcessStatus &status, const VmList &vms, const RouteRule &route)
{
    if (status.role_ != Role::Target)
        return "an entry";
    if (status.group_ != route.targets_)
        return "group " + status.group_.text_;
    const ListedVm *listed = listedVm(vms, status.vm_);
    if (listed == nullptr)
        return "not on the platform's list";
    if (status.leaving_ || listed->leaving_)
        return "leaving";
    return status.engineUp_ ? "" : "engine down";
}

bool hasAdapter(const ProcessStatus &status, const AdapterKey &adapter)
{
    return std::any_of(status.residents_.begin(), status.residents_.end(),
                       [&adapter](const auto &resident) { return resident.adapter_ == adapter; });
}

ReportRow candidateRow(const ProcessStatus &status, const RouteRule &route,
                       const std::string &against)
{
    return {{{"vm", status.vm_.text_},
             {"data_centre", status.dataCentre_.text_},
             {"candidate", against.empty()},
             {"reason", against},
             {"adapter_there", hasAdapter(status, route.adapter_)},
             {"queued", static_cast<std::int64_t>(status.queued_)},
             {"running", static_cast<std::int64_t>(status.running_)},
             {"batch_slots", static_cast<std::int64_t>(status.batchSlots_)}}};
}

ReportRow unheardRow(const ProbedProcess &process)
{
    ReportRow row = candidateRow(ProcessStatus{}, RouteRule{}, errorOf(process.status_).message_);
    row.fields_.front().value_ = process.url_;
    return row;
}

std::string describeRoute(const RouteRule &route)
{
    const std::string leads = route.kind_ == RouteKind::Adapter
        ? "adapter " + engineModelName(route.adapter_)
        : fmt::format("service {} {}", route.method_, route.pathPrefix_);
    return fmt::format("route {}: {}, targets {}, {}\n", route.route_.text_, leads,
                       route.targets_.text_, route.idempotent_ ? "idempotent" : "non-idempotent");
}

std::string describeChoice(const RoutingDecision &decision, const RouteRule &route)
{
    const auto waitMillis =
        std::chrono::duration_cast<std::chrono::milliseconds>(decision.expectedWait_).count();
    std::string how = "no adapter is needed";
    if (route.kind_ == RouteKind::Adapter) {
        how = decision.choice_ == RoutingChoice::Resident ? "the adapter is there"
                                                          : "the adapter is loaded there";
    }
    return fmt::format("goes to {}: {}, expected wait {} ms\n", decision.vm_.text_, how,
                       waitMillis);
}

} // namespace

Report statusOfAll(const Desk &desk, const AccountName &account)
{
    const Result<std::vector<std::string>, Report> urls = statusUrls(desk);
    if (!ok(urls))
        return errorOf(urls);
    Report report;
    ReportTable shares{"shares", {}};
    ReportTable residents{"residents", {}};
    ReportTable queues{"queues", {}};
    for (const ProbedProcess &process : probe(desk, valueOf(urls))) {
        report.rows_.push_back(statusRow(process));
        if (!ok(process.status_)) {
            report.code_ = ExitCode::Unreachable;
            continue;
        }
        addShares(valueOf(process.status_), account, shares);
        addResidents(valueOf(process.status_), residents);
        addQueues(valueOf(process.status_), account, queues);
    }
    report.more_ = {std::move(shares), std::move(residents), std::move(queues)};
    return report;
}

Report decide(const Desk &desk, const DecideQuestion &question)
{
    const Result<Rules, Report> rules = rulesInForce(desk);
    if (!ok(rules))
        return errorOf(rules);
    const RouteRule *route = routeOf(valueOf(rules), question);
    if (route == nullptr)
        return failedReport(ExitCode::NotFound,
                            "no route takes this request; see \"eelgrasscove rules show\"");
    Report report;
    report.text_ =
        fmt::format("revision {}\n", valueOf(rules).revision_.value_) + describeRoute(*route);
    if (!canUse(*route, question.account_)) {
        report.code_ = ExitCode::Refused;
        report.error_ =
            fmt::format("{} may not use route {}; name one of its accounts\n",
                        question.account_.empty() ? "a caller without a key"
                                                  : "account \"" + question.account_.text_ + "\"",
                        route->route_.text_);
        return report;
    }
    const Result<std::vector<std::string>, Report> urls = statusUrls(desk);
    if (!ok(urls))
        return errorOf(urls);
    const Result<VmList, Report> vms = readVms(desk);
    if (!ok(vms))
        return errorOf(vms);
    std::vector<TargetView> candidates;
    for (const ProbedProcess &process : probe(desk, valueOf(urls))) {
        if (!ok(process.status_)) {
            report.rows_.push_back(unheardRow(process));
            continue;
        }
        const ProcessStatus &status = valueOf(process.status_);
        const std::string against = reasonAgainst(status, valueOf(vms), *route);
        report.rows_.push_back(candidateRow(status, *route, against));
        if (against.empty())
            candidates.push_back(viewOf(status, question));
    }
    RouteRequirements needs;
    needs.adapter_ = route->adapter_;
    const std::optional<RoutingDecision> decision =
        chooseTarget(candidates, needs, RoutingPolicy{});
    if (!decision) {
        report.code_ = ExitCode::NotFound;
        report.error_ = "no target of the group takes new work\n";
        return report;
    }
    report.text_ += describeChoice(*decision, *route);
    return report;
}

} // namespace eelgrasscove
