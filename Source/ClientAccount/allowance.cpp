#include "ClientAccount/allowance.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

constexpr std::int64_t microTokensPerToken = 1'000'000;
/// Told where no refill would ever do, because the share has no rate.
constexpr Duration longestWait = std::chrono::hours(1);

/// What may still become free before free and outstanding tokens fill the burst.
std::int64_t microTokenRoom(const AccountAllowance &account)
{
    const std::int64_t ceiling = account.share_.burstTokens_ - account.outstandingTokens_;
    return ceiling * microTokensPerToken - account.freeMicroTokens_;
}

/// Tokens a second are millionths of a token a microsecond, so refill needs no rounding.
void refill(AccountAllowance &account, Time now)
{
    if (now <= account.refilledAt_)
        return;
    const std::int64_t elapsedMicros = (now - account.refilledAt_).count();
    account.refilledAt_ = now;
    const std::int64_t rate = account.share_.tokensPerSecond_;
    const std::int64_t room = microTokenRoom(account);
    if (rate <= 0 || room <= 0)
        return;
    const std::int64_t microsToFill = room / rate + 1;
    const std::int64_t gained = rate * std::min(elapsedMicros, microsToFill);
    account.freeMicroTokens_ += std::min(gained, room);
}

Duration refillWait(const AccountAllowance &account, std::int64_t missingMicroTokens)
{
    const std::int64_t rate = account.share_.tokensPerSecond_;
    if (rate <= 0)
        return longestWait;
    const std::int64_t micros = (missingMicroTokens + rate - 1) / rate;
    return std::min(longestWait, Duration(micros));
}

/// What was run beyond the reservation is taken from the free tokens, below zero if need be.
void takeRun(AccountAllowance &account, Reservation &reservation, std::int64_t tokensRun)
{
    if (tokensRun <= reservation.run_)
        return;
    const std::int64_t before = std::min(reservation.run_, reservation.tokens_);
    const std::int64_t after = std::min(tokensRun, reservation.tokens_);
    account.outstandingTokens_ -= after - before;
    const std::int64_t overrunBefore = std::max<std::int64_t>(0, reservation.run_ - before);
    const std::int64_t overrunAfter = std::max<std::int64_t>(0, tokensRun - after);
    account.freeMicroTokens_ -= (overrunAfter - overrunBefore) * microTokensPerToken;
    reservation.run_ = tokensRun;
}

/// A reservation with its account; both null where there is none.
struct HeldReservation
{
    AccountAllowance *account_ = nullptr;
    Reservation *reservation_ = nullptr;
};

HeldReservation findReservation(Allowance &allowance, const AccountName &account,
                                const AttemptId &attempt)
{
    const auto held = allowance.accounts_.find(account);
    if (held == allowance.accounts_.end())
        return {};
    const auto reservation = held->second.reservations_.find(attempt);
    if (reservation == held->second.reservations_.end())
        return {};
    return {&held->second, &reservation->second};
}

} // namespace

void setShare(Allowance &allowance, const AccountName &account, AllowanceShare share, Time now,
              bool startFull)
{
    const auto [found, isNew] = allowance.accounts_.try_emplace(account);
    AccountAllowance &held = found->second;
    if (isNew) {
        held.refilledAt_ = now;
        held.freeMicroTokens_ = startFull ? share.burstTokens_ * microTokensPerToken : 0;
    }
    refill(held, now);
    held.share_ = share;
    held.freeMicroTokens_ += std::min<std::int64_t>(0, microTokenRoom(held));
}

Admission reserve(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                  std::int64_t tokens, Time now)
{
    const auto found = allowance.accounts_.find(account);
    if (found == allowance.accounts_.end())
        return NeverHere();
    AccountAllowance &held = found->second;
    refill(held, now);
    if (tokens < 0 || tokens > held.share_.burstTokens_)
        return NeverHere();
    if (held.reservations_.contains(attempt))
        return Admitted();
    const std::int64_t missing = tokens * microTokensPerToken - held.freeMicroTokens_;
    if (missing > 0)
        return NotYet{refillWait(held, missing)};
    held.freeMicroTokens_ -= tokens * microTokensPerToken;
    held.outstandingTokens_ += tokens;
    held.reservations_.emplace(attempt, Reservation{account, tokens, 0});
    return Admitted();
}

void countOutstanding(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                      std::int64_t tokens, Time now)
{
    const auto found = allowance.accounts_.find(account);
    if (found == allowance.accounts_.end())
        return;
    AccountAllowance &held = found->second;
    refill(held, now);
    held.outstandingTokens_ += tokens;
    held.reservations_.emplace(attempt, Reservation{account, tokens, 0});
    held.freeMicroTokens_ += std::min<std::int64_t>(0, microTokenRoom(held));
}

void noteRun(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
             std::int64_t tokensRun, Time now)
{
    const HeldReservation held = findReservation(allowance, account, attempt);
    if (held.reservation_ == nullptr)
        return;
    refill(*held.account_, now);
    takeRun(*held.account_, *held.reservation_, tokensRun);
}

void shrink(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
            std::int64_t tokens, Time now)
{
    const HeldReservation held = findReservation(allowance, account, attempt);
    if (held.reservation_ == nullptr)
        return;
    refill(*held.account_, now);
    const std::int64_t least = std::max(tokens, held.reservation_->run_);
    const std::int64_t returned = std::max<std::int64_t>(0, held.reservation_->tokens_ - least);
    held.reservation_->tokens_ -= returned;
    held.account_->outstandingTokens_ -= returned;
    held.account_->freeMicroTokens_ += returned * microTokensPerToken;
}

std::int64_t freeTokens(Allowance &allowance, const AccountName &account, Time now)
{
    const auto found = allowance.accounts_.find(account);
    if (found == allowance.accounts_.end())
        return 0;
    refill(found->second, now);
    return std::max<std::int64_t>(0, found->second.freeMicroTokens_ / microTokensPerToken);
}

void settle(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
            std::int64_t tokensRun, Time now)
{
    noteRun(allowance, account, attempt, tokensRun, now);
    const HeldReservation held = findReservation(allowance, account, attempt);
    if (held.reservation_ == nullptr)
        return;
    const Reservation &ended = *held.reservation_;
    const std::int64_t unused = std::max<std::int64_t>(0, ended.tokens_ - ended.run_);
    held.account_->outstandingTokens_ -= unused;
    held.account_->freeMicroTokens_ += unused * microTokensPerToken;
    held.account_->reservations_.erase(AttemptId(attempt));
}

} // namespace eelgrasscove
