#pragma once

/// Simulates several entries that serve one client account, in virtual time, with the failures that
/// shares and loans must tolerate: kills, VM replacements, freezes, network partitions, lost,
/// duplicated and reordered messages, outages of the key-value service, lost replies and late
/// writes.

#include "../Shared/tokenwindow.h"
#include "ClientAccount/ledger.h"
#include "ClientAccount/loan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// A defect injected on purpose, to verify that the checks detect it.
enum class Defect {
    None,
    RefillIgnoresOutstanding,
    LoanCreditedTwice,
    ReclaimedImmediately,
    UnknownTreatedAsNotSent,
    InheritedTokensIgnored,
    LoanSettledEarly,
};

constexpr NameTable<Defect, 7> defectNames = {{
    {Defect::None, "none"},
    {Defect::RefillIgnoresOutstanding, "refill_despite_outstanding"},
    {Defect::LoanCreditedTwice, "loan_credited_twice"},
    {Defect::ReclaimedImmediately, "reclaimed_at_once"},
    {Defect::UnknownTreatedAsNotSent, "unknown_taken_as_not_sent"},
    {Defect::InheritedTokensIgnored, "inherited_forgotten"},
    {Defect::LoanSettledEarly, "loan_forgotten_at_its_end"},
}};

struct SimulationResult
{
    AllowanceShare contract_;
    /// The contract that applies from loweredFrom_ on, if the contract was lowered.
    AllowanceShare loweredContract_;
    Time loweredFrom_ = Time::max();
    std::vector<TokenRun> runs_;
    std::int64_t requests_ = 0;
    std::int64_t admitted_ = 0;
    std::int64_t withLoans_ = 0;
    std::int64_t kills_ = 0;
    std::int64_t reclaimed_ = 0;
    std::int64_t unknownOutcomes_ = 0;
    /// Number of checks at which the shares in use added up to more than the contract.
    std::int64_t overAllotted_ = 0;
};

SimulationResult simulateFleet(std::uint64_t seed, Defect defect);

/// Returns a description of the first violated invariant; empty if all hold.
std::string violatedInvariant(const SimulationResult &result);

} // namespace eelgrasscove
