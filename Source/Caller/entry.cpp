#include "Caller/entry.h"

#include "Caller/entryload.h"
#include "Caller/entryparts.h"
#include "Caller/entryrequests.h"
#include "Caller/entryrouting.h"
#include "Observe/log.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

/// Time between the spreading's ticks in a large fleet, where a view of the members costs more.
constexpr Duration largeSpreadTick = std::chrono::milliseconds(250);

void forgetOldStrikes(Entry &entry, Time now)
{
    std::erase_if(entry.strikes_, [&](const auto &known) {
        return now - known.second.heardAt_ >= entry.policy_.strikeMemory_;
    });
}

void takeInput(Entry &entry, CallerRequest &&call, Time now, EntryActions &actions)
{
    takeCallerRequest(entry, std::move(call), now, actions);
}

void takeInput(Entry &entry, CallerGone &&gone, Time now, EntryActions &actions)
{
    takeCallerGone(entry, gone, now, actions);
}

void takeInput(Entry &entry, Envelope &&envelope, Time now, EntryActions &actions)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message_)) {
        takeEntryHeartbeat(entry, envelope, *heartbeat, now, actions);
        return;
    }
    if (takeLoadMessage(entry, envelope, now, actions))
        return;
    if (takeRulesMessage(entry, envelope, now, actions))
        return;
    if (!takeLoanMessage(entry, envelope, now, actions))
        takeAttemptMessage(entry, envelope, now, actions);
}

void takeInput(Entry &entry, LinkChanged &&change, Time now, EntryActions &actions)
{
    applyLinkChange(entry.fleet_, change.address_, change.up_);
    syncRouting(entry, now);
    if (change.up_)
        askAfterLinkUp(entry, change.address_, actions);
}

void takeInput(Entry &entry, SendFailed &&failed, Time now, EntryActions &actions)
{
    takeSendFailed(entry, failed, now, actions);
}

void takeInput(Entry &entry, VmList &&list, Time now, EntryActions &actions)
{
    takeEntryVmList(entry, list, now, actions);
    syncRouting(entry, now);
    takeShareList(entry, list, now, actions);
}

void takeInput(Entry &entry, StoredRules &&stored, Time now, EntryActions &actions)
{
    performSpread(entry, handleStoredRules(entry.spread_, spreadView(entry, now), stored, now), now,
                  actions);
}

void takeInput(Entry &entry, KvOutcome &&outcome, Time now, EntryActions &actions)
{
    takePartOutcome(entry, outcome, now, actions);
}

void takeInput(Entry &entry, PlatformReachable &&reachable, Time now, EntryActions & /*actions*/)
{
    recordPlatformReachable(entry.spread_, reachable.reachable_, now);
}

/// Spreads rules, from the moment on at which the peers are known.
void advanceSpread(Entry &entry, Time now, EntryActions &actions)
{
    EntryLoad &load = entry.load_;
    if (!load.spreadStarted_) {
        load.spreadStarted_ = mayStartRuleDistribution(entry.fleet_, load.createdAt_, now);
        if (load.spreadStarted_)
            performSpread(entry, startRuleDistribution(entry.spread_, spreadView(entry, now), now),
                          now, actions);
        return;
    }
    if (isLarge(entry.fleet_) && now < load.nextSpreadTick_)
        return;
    load.nextSpreadTick_ = now + largeSpreadTick;
    tellDrainsAgain(entry, now, actions);
    performSpread(entry, tickRuleDistribution(entry.spread_, spreadView(entry, now), now), now,
                  actions);
}

void takeInput(Entry &entry, EntryTick && /*tick*/, Time now, EntryActions &actions)
{
    advanceWaiting(entry, now, actions);
    watchAttempts(entry, now, actions);
    forgetOldStrikes(entry, now);
    advanceShares(entry, now, actions);
    performClaims(entry, tickClaims(entry.claims_, now), now, actions);
    advanceSpread(entry, now, actions);
}

void takeInput(Entry &entry, StopRequested && /*stop*/, Time now, EntryActions &actions)
{
    entry.leaving_ = true;
    entry.ledger_.isDraining_ = true;
    sendHeartbeats(entry, now, actions);
    advanceShares(entry, now, actions);
}

std::string accountsJson(const Entry &entry)
{
    std::string rows;
    for (const auto &[name, account] : entry.allowance_.accounts_) {
        rows +=
            fmt::format(R"({}{{"account":"{}","rate":{},"burst":{},"free":{},"outstanding":{}}})",
                        rows.empty() ? "" : ",", escapeJson(name.text_),
                        account.share_.tokensPerSecond_, account.share_.burstTokens_,
                        account.freeMicroTokens_ / 1'000'000, account.outstandingTokens_);
    }
    return rows;
}

std::string peersJson(const Entry &entry)
{
    std::string rows;
    for (const auto &[vm, peer] : entry.fleet_.peers_) {
        rows +=
            fmt::format(R"({}{{"vm":"{}","role":"{}","link_up":{},"leaving":{},"queued":{},)"
                        R"("running":{},"residents":{},"rules_revision":{}}})",
                        rows.empty() ? "" : ",", escapeJson(vm.text_),
                        nameOf(roleNames, peer.listed_.role_), peer.linkUp_,
                        peer.heartbeat_.leaving_, peer.heartbeat_.queued_, peer.heartbeat_.running_,
                        peer.heartbeat_.residents_.size(), peer.heartbeat_.rulesRevision_.value_);
    }
    return rows;
}

} // namespace

Entry makeEntry(const VmSettings &vm, Incarnation incarnation, const EntryPolicy &policy, Time now)
{
    Entry entry;
    entry.identity_ = {vm.vm_, incarnation};
    entry.policy_ = policy;
    entry.fleet_.self_ = vm.vm_;
    entry.fleet_.region_ = vm.region_;
    entry.fleet_.dataCentre_ = vm.dataCentre_;
    entry.ledger_.self_ = vm.vm_;
    entry.ledger_.incarnation_ = incarnation;
    entry.ledger_.policy_.keyPrefix_ = "shares/";
    entry.ledger_.policy_.maxAttemptDuration_ = policy.requestTimeout_ + policy.attemptMargin_;
    entry.loans_.self_ = vm.vm_;
    entry.loans_.policy_.maxAttemptDuration_ = policy.requestTimeout_ + policy.attemptMargin_;
    entry.claims_.vm_ = vm.vm_;
    entry.spread_.self_ = vm.vm_;
    entry.spread_.dataCentre_ = vm.dataCentre_;
    entry.spread_.policy_.staleAfter_ = policy.rulesStaleAfter_;
    entry.spread_.randomState_ = incarnation.value_;
    entry.spread_.startedAt_ = now;
    entry.load_.createdAt_ = now;
    return entry;
}

void step(Entry &entry, EntryInput &&input, Time now, EntryActions &actions)
{
    std::visit([&](auto &body) { takeInput(entry, std::move(body), now, actions); }, input);
}

bool idle(const Entry &entry)
{
    // A lost attempt has nobody who waits for it, only its tokens.
    const bool attemptsOver = std::all_of(entry.attempts_.begin(), entry.attempts_.end(),
                                          [](const auto &known) { return known.second.lost_; });
    return entry.requests_.empty() && attemptsOver && entry.claims_.claims_.empty();
}

std::string entryStatusJson(const Entry &entry)
{
    return fmt::format(
        R"({{"vm":"{}","role":"entry","data_centre":"{}","leaving":{},)"
        R"("rules_revision":{},"requests":{},"attempts":{},"unmatched_messages":{},)"
        R"("accounts":[{}],"peers":[{}]}})",
        escapeJson(entry.identity_.vm_.text_), escapeJson(entry.fleet_.dataCentre_.text_),
        entry.leaving_, entry.rules_.revision_.value_, entry.requests_.size(),
        entry.attempts_.size(), entry.unmatchedMessages_, accountsJson(entry), peersJson(entry));
}

} // namespace eelgrasscove
