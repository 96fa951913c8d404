#include "ClientAccount/allowance.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

constexpr std::int64_t microTokensPerToken = 1'000'000;
/// Upper limit of the wait returned to callers; also returned for a share without a rate, which is
/// never refilled.
constexpr Duration maxRefillWait = std::chrono::hours(1);

/// Micro-tokens that can be added before free and outstanding tokens together reach the burst.
std::int64_t microTokenRoom(const AccountAllowance &account)
{
    const std::int64_t ceiling = account.share_.burstTokens_ - account.outstandingTokens_;
    return ceiling * microTokensPerToken - account.freeMicroTokens_;
}

/// Tokens per second equal micro-tokens per microsecond, so the refill is exact in integers.
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
        return maxRefillWait;
    const std::int64_t micros = (missingMicroTokens + rate - 1) / rate;
    return std::min(maxRefillWait, Duration(micros));
}

/// Deducts tokens run beyond the reservation from the free tokens, which may become negative.
void deductTokensRun(AccountAllowance &account, Reservation &reservation, std::int64_t tokensRun)
{
    if (tokensRun <= reservation.tokensRun_)
        return;
    const std::int64_t before = std::min(reservation.tokensRun_, reservation.tokens_);
    const std::int64_t after = std::min(tokensRun, reservation.tokens_);
    account.outstandingTokens_ -= after - before;
    const std::int64_t overrunBefore = std::max<std::int64_t>(0, reservation.tokensRun_ - before);
    const std::int64_t overrunAfter = std::max<std::int64_t>(0, tokensRun - after);
    account.freeMicroTokens_ -= (overrunAfter - overrunBefore) * microTokensPerToken;
    reservation.tokensRun_ = tokensRun;
}

/// A reservation and its account; both pointers are null if there is no such reservation.
struct ReservationRef
{
    AccountAllowance *account_ = nullptr;
    Reservation *reservation_ = nullptr;
};

ReservationRef findReservation(Allowance &allowance, const AccountName &account,
                               const AttemptId &attempt)
{
    const auto accountEntry = allowance.accounts_.find(account);
    if (accountEntry == allowance.accounts_.end())
        return {};
    const auto reservation = accountEntry->second.reservations_.find(attempt);
    if (reservation == accountEntry->second.reservations_.end())
        return {};
    return {&accountEntry->second, &reservation->second};
}

} // namespace

void setShare(Allowance &allowance, const AccountName &account, AllowanceShare share, Time now,
              bool startFull)
{
    const auto [found, isNew] = allowance.accounts_.try_emplace(account);
    AccountAllowance &state = found->second;
    if (isNew) {
        state.refilledAt_ = now;
        state.freeMicroTokens_ = startFull ? share.burstTokens_ * microTokensPerToken : 0;
    }
    refill(state, now);
    state.share_ = share;
    state.freeMicroTokens_ += std::min<std::int64_t>(0, microTokenRoom(state));
}

Admission reserve(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                  std::int64_t tokens, Time now)
{
    const auto found = allowance.accounts_.find(account);
    if (found == allowance.accounts_.end())
        return ExceedsBurst();
    AccountAllowance &state = found->second;
    refill(state, now);
    if (tokens < 0 || tokens > state.share_.burstTokens_)
        return ExceedsBurst();
    if (state.reservations_.contains(attempt))
        return Admitted();
    const std::int64_t missing = tokens * microTokensPerToken - state.freeMicroTokens_;
    if (missing > 0)
        return MustWait{refillWait(state, missing)};
    state.freeMicroTokens_ -= tokens * microTokensPerToken;
    state.outstandingTokens_ += tokens;
    state.reservations_.emplace(attempt, Reservation{account, tokens, 0});
    return Admitted();
}

void countOutstanding(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                      std::int64_t tokens, Time now)
{
    const auto found = allowance.accounts_.find(account);
    if (found == allowance.accounts_.end())
        return;
    AccountAllowance &state = found->second;
    refill(state, now);
    state.outstandingTokens_ += tokens;
    state.reservations_.emplace(attempt, Reservation{account, tokens, 0});
    state.freeMicroTokens_ += std::min<std::int64_t>(0, microTokenRoom(state));
}

void recordTokensRun(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                     std::int64_t tokensRun, Time now)
{
    const ReservationRef found = findReservation(allowance, account, attempt);
    if (found.reservation_ == nullptr)
        return;
    refill(*found.account_, now);
    deductTokensRun(*found.account_, *found.reservation_, tokensRun);
}

void shrinkReservation(Allowance &allowance, const AccountName &account, const AttemptId &attempt,
                       std::int64_t tokens, Time now)
{
    const ReservationRef found = findReservation(allowance, account, attempt);
    if (found.reservation_ == nullptr)
        return;
    refill(*found.account_, now);
    const std::int64_t least = std::max(tokens, found.reservation_->tokensRun_);
    const std::int64_t returned = std::max<std::int64_t>(0, found.reservation_->tokens_ - least);
    found.reservation_->tokens_ -= returned;
    found.account_->outstandingTokens_ -= returned;
    found.account_->freeMicroTokens_ += returned * microTokensPerToken;
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
    recordTokensRun(allowance, account, attempt, tokensRun, now);
    const ReservationRef found = findReservation(allowance, account, attempt);
    if (found.reservation_ == nullptr)
        return;
    const Reservation &ended = *found.reservation_;
    const std::int64_t unused = std::max<std::int64_t>(0, ended.tokens_ - ended.tokensRun_);
    found.account_->outstandingTokens_ -= unused;
    found.account_->freeMicroTokens_ += unused * microTokensPerToken;
    found.account_->reservations_.erase(AttemptId(attempt));
}

} // namespace eelgrasscove
