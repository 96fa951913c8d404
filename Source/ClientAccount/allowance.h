#pragma once

/// One process's part of a client account's allowance. At all times the free tokens and the
/// reserved but not yet run ones together stay within the part's burst, so that over all processes
/// no window of any length sees more tokens run than burst + rate * window.

#include <eelgrasscove/names.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace eelgrasscove {

/// A part of an account's contract.
struct AllowanceShare
{
    std::int64_t tokensPerSecond_ = 0;
    std::int64_t burstTokens_ = 0;
};

/// Tokens set aside for one attempt.
struct Reservation
{
    AccountName account_;
    std::int64_t tokens_ = 0;
    std::int64_t run_ = 0;
};

struct AccountAllowance
{
    AllowanceShare share_;
    /// Free tokens in millionths, exact under refill; negative after an overrun.
    std::int64_t freeMicroTokens_ = 0;
    /// Reserved and not yet run.
    std::int64_t outstandingTokens_ = 0;
    Time refilledAt_;
    std::map<AttemptId, Reservation> reservations_;
};

struct Allowance
{
    std::map<AccountName, AccountAllowance> accounts_;
};

struct Admitted
{
};

/// Not enough now; enough tokens will be free after the wait if nobody else takes them.
struct NotYet
{
    Duration wait_ = Duration(0);
};

/// More than the share's whole burst; no wait helps here.
struct NeverHere
{
};

using Admission = std::variant<Admitted, NotYet, NeverHere>;

/// Sets the account's share; a smaller burst clips the free tokens. A new account starts empty
/// unless startFull.
void setShare(Allowance &allowance, const AccountName &account, AllowanceShare share, Time now,
              bool startFull = false);

/// Reserves tokens for an attempt, or says how long to wait.
Admission reserve(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                  std::int64_t tokens, Time now);

/// Counts tokens as outstanding that were reserved by a process before this one; no refill takes
/// their place before they are settled.
void countOutstanding(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                      std::int64_t tokens, Time now);

/// Takes note that the attempt has run so many tokens in all.
void noteRun(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
             std::int64_t tokensRun, Time now);

/// Makes a reservation smaller, to so many tokens; what has been run of it stays.
void shrink(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
            std::int64_t tokens, Time now);

/// Whole free tokens now.
std::int64_t freeTokens(Allowance &allowance, const AccountName &account, Time now);

/// Ends the reservation: what was not run becomes free again.
void settle(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
            std::int64_t tokensRun, Time now);

} // namespace eelgrasscove
