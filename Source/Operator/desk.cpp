#include "Operator/desk.h"

#include "Platform/etcdjson.h"

#include <algorithm>
#include <fmt/core.h>
#include <set>

namespace eelgrasscove {

namespace {

constexpr std::uint32_t httpOk = 200;
constexpr Duration probePeriod = std::chrono::milliseconds(200);

/// "http://IP:PORT/status" for a process that receives at "tcp://IP:OTHER".
std::string statusUrlOf(const ListedVm &vm, std::uint32_t port)
{
    constexpr std::string_view scheme = "tcp://";
    const std::string address = vm.address_.substr(std::min(scheme.size(), vm.address_.size()));
    return fmt::format("http://{}:{}/status", address.substr(0, address.rfind(':')), port);
}

Result<ProcessStatus, StatusError> fetchStatus(const Desk &desk, const std::string &url)
{
    const FetchedPage page = desk.fetch_(url);
    if (page.status_ == 0)
        return StatusError{"no answer: " + page.error_};
    if (page.status_ != httpOk)
        return StatusError{fmt::format("status {}", page.status_)};
    return decodeStatus(page.body_);
}

bool holds(const ProbedProcess &process, Revision revision)
{
    return ok(process.status_) && valueOf(process.status_).rulesRevision_ >= revision;
}

ReportRow inForceRow(const ProbedProcess &process, Revision revision)
{
    const bool answered = ok(process.status_);
    const std::string vm = answered ? valueOf(process.status_).vm_.text_ : "";
    const std::int64_t held =
        answered ? static_cast<std::int64_t>(valueOf(process.status_).rulesRevision_.value_) : 0;
    const std::string fault = answered ? "" : errorOf(process.status_).message_;
    return {{{"vm", vm},
             {"url", process.url_},
             {"revision", held},
             {"in_force", holds(process, revision)},
             {"fault", fault}}};
}

} // namespace

Result<VmList, Report> readVms(const Desk &desk)
{
    const FetchedPage page = desk.fetch_(desk.settings_.platform_.vmListUrl_);
    if (page.status_ != httpOk) {
        return failedReport(ExitCode::Unreachable,
                            "the platform's list of VMs can't be read: " + page.error_);
    }
    Result<VmList, EtcdError> list = decodeVmList(page.body_);
    if (!ok(list))
        return failedReport(ExitCode::Damaged, errorOf(list).message_);
    KvOperation operation;
    operation.reads_ = {{drainPrefix, true}};
    const KvOutcome outcome = desk.keyValue_(operation);
    if (outcome.status_ != KvStatus::Succeeded)
        return failedReport(ExitCode::Unreachable, "the drained VMs can't be read");
    std::set<std::string> drained;
    for (const KvPair &pair : outcome.reads_)
        drained.insert(pair.key_.substr(std::string_view(drainPrefix).size()));
    for (ListedVm &vm : valueOf(list).vms_)
        vm.leaving_ = vm.leaving_ || drained.contains(vm.vm_.text_);
    return valueOf(std::move(list));
}

Result<std::vector<std::string>, Report> statusUrls(const Desk &desk)
{
    if (!desk.settings_.statusUrls_.empty())
        return desk.settings_.statusUrls_;
    if (desk.settings_.statusPort_ == 0) {
        return failedReport(ExitCode::Usage,
                            "the settings don't say where processes tell their state; add "
                            "status_urls or status_port under [operator]");
    }
    const Result<VmList, Report> list = readVms(desk);
    if (!ok(list))
        return errorOf(list);
    std::vector<std::string> urls;
    for (const ListedVm &vm : valueOf(list).vms_)
        urls.push_back(statusUrlOf(vm, desk.settings_.statusPort_));
    return urls;
}

std::vector<ProbedProcess> probe(const Desk &desk, const std::vector<std::string> &urls)
{
    std::vector<ProbedProcess> processes;
    processes.reserve(urls.size());
    for (const std::string &url : urls)
        processes.push_back({url, fetchStatus(desk, url)});
    return processes;
}

Report storeFailure(const RuleStoreError &error)
{
    switch (error.failure_) {
    case RuleStoreFailure::Unreachable:
        return failedReport(ExitCode::Unreachable, error.message_ + "; nothing was changed");
    case RuleStoreFailure::Unknown:
        return failedReport(ExitCode::Unknown,
                            error.message_
                                + "; see \"eelgrasscove rules history\" before trying again");
    case RuleStoreFailure::Conflict:
        return failedReport(ExitCode::Conflict, error.message_ + "; nothing was changed");
    case RuleStoreFailure::Damaged:
        return failedReport(ExitCode::Damaged, error.message_);
    case RuleStoreFailure::NoSuchRevision:
        return failedReport(ExitCode::NotFound, error.message_);
    }
    return failedReport(ExitCode::Damaged, error.message_);
}

Report awaitInForce(const Desk &desk, Revision revision, Duration most)
{
    const Result<std::vector<std::string>, Report> urls = statusUrls(desk);
    if (!ok(urls))
        return errorOf(urls);
    std::vector<ProbedProcess> processes;
    std::ptrdiff_t holding = 0;
    for (Duration waited = Duration(0);; waited += probePeriod) {
        processes = probe(desk, valueOf(urls));
        holding =
            std::count_if(processes.begin(), processes.end(),
                          [revision](const auto &process) { return holds(process, revision); });
        const bool everywhere = static_cast<std::size_t>(holding) == processes.size();
        if (everywhere || waited >= most)
            break;
        desk.wait_(probePeriod);
    }
    Report report;
    const bool everywhere = static_cast<std::size_t>(holding) == processes.size();
    report.code_ = everywhere ? ExitCode::Done : ExitCode::NotInForce;
    report.text_ = fmt::format("revision {} is in force on {} of {} processes\n", revision.value_,
                               holding, processes.size());
    for (const ProbedProcess &process : processes)
        report.rows_.push_back(inForceRow(process, revision));
    return report;
}

} // namespace eelgrasscove
