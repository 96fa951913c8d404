#pragma once

/// What must always hold, as far as it can be seen from outside, checked over a scenario's record.

#include "record.h"

#include <eelgrasscove/nametable.h>

#include <string>
#include <vector>

namespace scenarios {

enum class Invariant {
    RightAdapter,
    NoEvictionInUse,
    OnlyItsAccount,
    NoKeySeen,
    WithinAllowance,
    WholeAnswer,
    NotRunMeansNotRun,
    BookedAtMostOnce,
    LeavingTakesNothing,
    RevisionNeverLower,
};

constexpr eelgrasscove::NameTable<Invariant, 10> invariantNames = {{
    {Invariant::RightAdapter, "right adapter and version"},
    {Invariant::NoEvictionInUse, "no eviction in use"},
    {Invariant::OnlyItsAccount, "only the key's client account"},
    {Invariant::NoKeySeen, "no key seen beyond the entry"},
    {Invariant::WithinAllowance, "within rate and burst"},
    {Invariant::WholeAnswer, "whole answer to its own request"},
    {Invariant::NotRunMeansNotRun, "not run means not run"},
    {Invariant::BookedAtMostOnce, "booked at most once"},
    {Invariant::LeavingTakesNothing, "no new work once leaving"},
    {Invariant::RevisionNeverLower, "the rules' revision never goes down"},
}};

struct Violation
{
    Invariant invariant_ = Invariant::RightAdapter;
    std::string text_;
};

/// All violations, in the order of the invariants.
std::vector<Violation> checkRecord(const ScenarioRecord &record);

/// A line for each violation.
std::string describe(const std::vector<Violation> &violations);

} // namespace scenarios
