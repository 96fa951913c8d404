#pragma once

/// What the commands of the operators' tool work with. All I/O goes through its functions, so that
/// tests run the commands against fakes.

#include "Operator/operatorsettings.h"
#include "Operator/processstatus.h"
#include "Operator/report.h"
#include "Platform/rulestore.h"

#include <eelgrasscove/platform.h>

#include <functional>
#include <string>
#include <vector>

namespace eelgrasscove {

/// An answer to GET.
struct FetchedPage
{
    /// 0 where no answer came.
    std::uint32_t status_ = 0;
    std::string body_;
    std::string error_;
};

struct Desk
{
    OperatorSettings settings_;
    std::string who_;
    /// Seconds since 1970.
    std::int64_t nowSeconds_ = 0;
    KvCall keyValue_;
    std::function<FetchedPage(const std::string &url)> fetch_;
    std::function<void(Duration)> wait_;
};

/// One place where a process tells its state, and what it said.
struct ProbedProcess
{
    std::string url_;
    Result<ProcessStatus, StatusError> status_ = StatusError{"not asked"};
};

/// The platform's list, with the VMs that operators have drained as leaving.
Result<VmList, Report> readVms(const Desk &desk);

/// Where the processes tell their state: the settings' list, or one place on each listed VM.
Result<std::vector<std::string>, Report> statusUrls(const Desk &desk);

std::vector<ProbedProcess> probe(const Desk &desk, const std::vector<std::string> &urls);

/// The report for an error of the rule store.
Report storeFailure(const RuleStoreError &error);

/// Waits until every process holds the revision, at most for the time given, and says on how many
/// it is in force.
Report awaitInForce(const Desk &desk, Revision revision, Duration most);

} // namespace eelgrasscove
