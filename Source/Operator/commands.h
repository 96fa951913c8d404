#pragma once

/// The commands of the operators' tool.

#include "Operator/desk.h"

#include <eelgrasscove/names.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace eelgrasscove {

/// A rule file as it was read from disk.
struct RuleInput
{
    std::string file_;
    std::string text_;
};

/// What "rules apply" is to be checked against.
struct ApplyOptions
{
    /// The revision that the file was made from, where its first line doesn't say so.
    std::optional<std::uint64_t> base_;
    /// Replaces whatever is in force.
    bool onLatest_ = false;
    /// Time to wait until the revision is in force; 0 doesn't wait.
    Duration wait_ = std::chrono::seconds(30);
};

Report rulesCheck(const RuleInput &input);
Report rulesApply(const Desk &desk, const RuleInput &input, const ApplyOptions &options);
Report rulesDiff(const Desk &desk, const RuleInput &input);
/// The newest revision where none is given.
Report rulesShow(const Desk &desk, std::optional<std::uint64_t> revision);
Report rulesHistory(const Desk &desk);

Report keyIssue(const Desk &desk, const AccountName &account, Duration wait);
Report keyWithdraw(const Desk &desk, const KeyId &key, Duration wait);

Report vmListing(const Desk &desk);
/// undo takes the mark away again.
Report vmDrain(const Desk &desk, const VmName &vm, bool undo);

/// Shares and queues of all client accounts where none is given.
Report statusOfAll(const Desk &desk, const AccountName &account = {});

/// A request as "decide" is asked about it.
struct DecideQuestion
{
    /// Empty asks as a caller without a key.
    AccountName account_;
    /// An adapter's route, or empty for a service.
    RouteName route_;
    std::string method_;
    std::string path_;
    /// The data centre of the entry asked.
    DataCentreName dataCentre_;
};

/// Where an entry would send the request now, and why.
Report decide(const Desk &desk, const DecideQuestion &question);

} // namespace eelgrasscove
