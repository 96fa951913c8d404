#pragma once

/// Token bucket for one process's share of a client account's allowance. Invariant: free tokens
/// plus tokens reserved but not yet run never exceed the share's burst. Over all processes, no time
/// window therefore sees more tokens run than burst + rate * window.

#include <eelgrasscove/names.h>
#include <eelgrasscove/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace eelgrasscove {

/// The share of an account's contract that one process may use.
struct AllowanceShare
{
    std::int64_t tokensPerSecond_ = 0;
    std::int64_t burstTokens_ = 0;
};

/// Tokens reserved for one attempt.
struct Reservation
{
    AccountName account_;
    std::int64_t tokens_ = 0;
    std::int64_t tokensRun_ = 0;
};

struct AccountAllowance
{
    AllowanceShare share_;
    /// Free tokens in millionths of a token, so that refills are exact; negative after an overrun.
    std::int64_t freeMicroTokens_ = 0;
    /// Tokens reserved and not yet run.
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

/// Too few free tokens now; enough will be free after the wait unless other requests reserve them.
struct MustWait
{
    Duration wait_ = Duration(0);
};

/// The request exceeds the share's burst, so this process can never admit it.
struct ExceedsBurst
{
};

using Admission = std::variant<Admitted, MustWait, ExceedsBurst>;

/// Sets the account's share; a smaller burst reduces the free tokens. A new account starts without
/// free tokens unless startFull is set.
void setShare(Allowance &allowance, const AccountName &account, AllowanceShare share, Time now,
              bool startFull = false);

/// Reserves tokens for an attempt, or returns how long to wait.
Admission reserve(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                  std::int64_t tokens, Time now);

/// Counts tokens reserved by an earlier process as outstanding; they are not refilled until they
/// are settled.
void countOutstanding(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                      std::int64_t tokens, Time now);

/// Records the total number of tokens that the attempt has run. Lower totals than before are
/// ignored.
void recordTokensRun(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                     std::int64_t tokensRun, Time now);

/// Reduces a reservation to the given number of tokens, but not below the tokens already run.
void shrinkReservation(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                       std::int64_t tokens, Time now);

/// Returns the free tokens, rounded down and at least 0.
std::int64_t freeTokens(Allowance &allowance, const AccountName &account, Time now);

/// Ends the reservation and frees the tokens that were not run.
void settle(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
            std::int64_t tokensRun, Time now);

} // namespace eelgrasscove
