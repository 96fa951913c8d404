#include "Caller/entry.h"

#include "Caller/entryrequests.h"
#include "Observe/log.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove {

namespace {

/// Each account's contract split evenly over the entries that the platform lists.
void shareOut(Entry &entry, Time now)
{
    std::int64_t entries = 1;
    for (const auto &[vm, peer] : entry.fleet_.peers_) {
        if (peer.onList_ && peer.listed_.role_ == Role::Entry)
            ++entries;
    }
    for (const auto &[name, account] : entry.rules_.accounts_) {
        const AllowanceShare share{account.tokensPerSecond_ / entries,
                                   account.burstTokens_ / entries};
        setShare(entry.allowance_, name, share, now, true);
    }
}

void noteStrikes(Entry &entry, const Heartbeat &heartbeat, Time now)
{
    for (const Strike &strike : heartbeat.strikes_) {
        KnownStrike &known = entry.strikes_[strike.fingerprint_];
        if (strike.count_ <= known.count_)
            continue;
        known.count_ = strike.count_;
        known.heardAt_ = now;
    }
}

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
    const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message_);
    if (heartbeat == nullptr) {
        takeAttemptMessage(entry, envelope, now, actions);
        return;
    }
    takeHeartbeat(entry.fleet_, envelope, *heartbeat, now);
    entry.sentSinceReport_.erase(envelope.from_);
    noteStrikes(entry, *heartbeat, now);
}

void takeInput(Entry &entry, LinkChanged &&change, Time /*now*/, EntryActions &actions)
{
    takeLinkChange(entry.fleet_, change.address_, change.up_);
    if (change.up_)
        askAfterLinkUp(entry, change.address_, actions);
}

void takeInput(Entry &entry, SendFailed &&failed, Time now, EntryActions &actions)
{
    takeSendFailed(entry, failed, now, actions);
}

void takeInput(Entry &entry, VmList &&list, Time now, EntryActions & /*actions*/)
{
    takeVmList(entry.fleet_, list, now);
    shareOut(entry, now);
}

void takeInput(Entry &entry, NewRules &&adopt, Time now, EntryActions &actions)
{
    if (entry.haveRules_ && adopt.rules_.revision_ <= entry.rules_.revision_)
        return;
    entry.rules_ = std::move(adopt.rules_);
    entry.haveRules_ = true;
    shareOut(entry, now);
    recheckWaiting(entry, now, actions);
}

void takeInput(Entry & /*entry*/, KvOutcome && /*outcome*/, Time /*now*/,
               EntryActions & /*actions*/)
{ }

void takeInput(Entry & /*entry*/, PlatformReachable && /*reachable*/, Time /*now*/,
               EntryActions & /*actions*/)
{ }

void takeInput(Entry &entry, EntryTick && /*tick*/, Time now, EntryActions &actions)
{
    advanceWaiting(entry, now, actions);
    watchAttempts(entry, now, actions);
    forgetOldStrikes(entry, now);
}

void takeInput(Entry &entry, StopRequested && /*stop*/, Time /*now*/, EntryActions &actions)
{
    entry.leaving_ = true;
    sendHeartbeats(entry, actions);
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

void step(Entry &entry, EntryInput &&input, Time now, EntryActions &actions)
{
    std::visit([&](auto &body) { takeInput(entry, std::move(body), now, actions); }, input);
}

void sendHeartbeats(const Entry &entry, EntryActions &actions)
{
    Heartbeat heartbeat;
    heartbeat.role_ = Role::Entry;
    heartbeat.dataCentre_ = entry.fleet_.dataCentre_;
    heartbeat.leaving_ = entry.leaving_;
    heartbeat.rulesRevision_ = entry.rules_.revision_;
    for (const auto &[fingerprint, known] : entry.strikes_)
        heartbeat.strikes_.push_back({fingerprint, known.count_});
    for (const std::string &address : heartbeatAddresses(entry.fleet_))
        actions.emplace_back(SendMessage{address, heartbeat});
}

bool idle(const Entry &entry)
{
    return entry.requests_.empty() && entry.attempts_.empty();
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
