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
             {"group", status.group_.text_},
             {"queued", static_cast<std::int64_t>(status.queued_)},
             {"running", static_cast<std::int64_t>(status.running_)},
             {"adapters", static_cast<std::int64_t>(status.residents_.size())},
             {"url", process.url_},
             {"fault", fault}}};
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
        return adapterRoute(rules, question.route_);
    return serviceRoute(rules, question.method_, question.path_, question.account_);
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

/// Why a process can't be the target; empty where it can.
std::string reasonAgainst(const ProcessStatus &status, const RouteRule &route)
{
    if (status.role_ != Role::Target)
        return "an entry";
    if (status.group_ != route.targets_)
        return "group " + status.group_.text_;
    if (status.leaving_)
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

Report statusOfAll(const Desk &desk)
{
    const Result<std::vector<std::string>, Report> urls = statusUrls(desk);
    if (!ok(urls))
        return errorOf(urls);
    Report report;
    for (const ProbedProcess &process : probe(desk, valueOf(urls))) {
        report.rows_.push_back(statusRow(process));
        if (!ok(process.status_))
            report.code_ = ExitCode::Unreachable;
    }
    return report;
}

Report decide(const Desk &desk, const DecideQuestion &question)
{
    const Result<Rules, Report> rules = rulesInForce(desk);
    if (!ok(rules))
        return errorOf(rules);
    const RouteRule *route = routeOf(valueOf(rules), question);
    if (route == nullptr)
        return failedReport(ExitCode::NotFound, "no route takes this request");
    Report report;
    report.text_ =
        fmt::format("revision {}\n", valueOf(rules).revision_.value_) + describeRoute(*route);
    if (!mayUse(*route, question.account_)) {
        report.code_ = ExitCode::Refused;
        report.error_ = fmt::format("account \"{}\" may not use route {}\n",
                                    question.account_.text_, route->route_.text_);
        return report;
    }
    const Result<std::vector<std::string>, Report> urls = statusUrls(desk);
    if (!ok(urls))
        return errorOf(urls);
    std::vector<TargetView> candidates;
    for (const ProbedProcess &process : probe(desk, valueOf(urls))) {
        if (!ok(process.status_))
            continue;
        const ProcessStatus &status = valueOf(process.status_);
        const std::string against = reasonAgainst(status, *route);
        report.rows_.push_back(candidateRow(status, *route, against));
        if (against.empty())
            candidates.push_back(viewOf(status, question));
    }
    RouteNeeds needs;
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
