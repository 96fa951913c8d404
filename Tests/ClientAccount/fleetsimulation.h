#pragma once

/// Several entries of one client account in virtual time, with every failure that their shares and
/// loans have to stand: kills, replacements, freezes, cuts, lost, doubled and overtaken messages,
/// outages of the key-value service, lost replies and late writes.

#include "../Shared/tokenwindow.h"
#include "ClientAccount/ledger.h"
#include "ClientAccount/loan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// What is broken on purpose, to see that the check can fail.
enum class Sabotage {
    None,
    RefillDespiteOutstanding,
    LoanCreditedTwice,
    ReclaimedAtOnce,
    UnknownTakenAsNotSent,
    InheritedForgotten,
    LoanForgottenAtItsEnd,
};

constexpr NameTable<Sabotage, 7> sabotageNames = {{
    {Sabotage::None, "none"},
    {Sabotage::RefillDespiteOutstanding, "refill_despite_outstanding"},
    {Sabotage::LoanCreditedTwice, "loan_credited_twice"},
    {Sabotage::ReclaimedAtOnce, "reclaimed_at_once"},
    {Sabotage::UnknownTakenAsNotSent, "unknown_taken_as_not_sent"},
    {Sabotage::InheritedForgotten, "inherited_forgotten"},
    {Sabotage::LoanForgottenAtItsEnd, "loan_forgotten_at_its_end"},
}};

struct SimulationResult
{
    AllowanceShare contract_;
    /// Where it was lowered: the contract that binds from loweredFrom_ on.
    AllowanceShare loweredContract_;
    Time loweredFrom_ = Time::max();
    std::vector<TokenRun> runs_;
    std::int64_t requests_ = 0;
    std::int64_t admitted_ = 0;
    std::int64_t withLoans_ = 0;
    std::int64_t kills_ = 0;
    std::int64_t reclaimed_ = 0;
    std::int64_t unknownOutcomes_ = 0;
    /// Where the shares in use added up to more than the contract.
    std::int64_t overAllotted_ = 0;
};

SimulationResult simulateFleet(std::uint64_t seed, Sabotage sabotage);

/// The first rule that the result breaks, in words; empty where all hold.
std::string brokenRule(const SimulationResult &result);

} // namespace eelgrasscove
