#include "Caller/entryload.h"

#include "Caller/entryparts.h"
#include "Caller/entryrouting.h"
#include "DataCentre/loadreport.h"
#include "DataCentre/vmnews.h"

#include <algorithm>
#include <optional>

namespace eelgrasscove {

namespace {

/// Accounts whose free tokens a heartbeat and a summary name.
constexpr std::size_t freeTokenAccounts = 8;
constexpr std::size_t freeTokenAccountsInSummary = 4;
/// Strikes that a summary tells.
constexpr std::size_t strikesInSummary = 4;

void noteStrikes(Entry &entry, const std::vector<Strike> &strikes, Time now)
{
    for (const Strike &strike : strikes) {
        KnownStrike &known = entry.strikes_[strike.fingerprint_];
        if (strike.count_ <= known.count_)
            continue;
        known.count_ = strike.count_;
        known.heardAt_ = now;
    }
}

Heartbeat ownHeartbeat(Entry &entry, Time now)
{
    Heartbeat heartbeat;
    heartbeat.role_ = Role::Entry;
    heartbeat.dataCentre_ = entry.fleet_.dataCentre_;
    heartbeat.leaving_ = entry.leaving_;
    heartbeat.rulesRevision_ = entry.rules_.revision_;
    heartbeat.freeTokens_ = freeTokenHints(entry.allowance_, freeTokenAccounts, now);
    for (const auto &[fingerprint, known] : entry.strikes_)
        heartbeat.strikes_.push_back({fingerprint, known.count_});
    return heartbeat;
}

/// The latest strikes, as those are the ones that others may not know.
std::vector<Strike> latestStrikes(const Entry &entry)
{
    std::vector<std::pair<Time, Strike>> strikes;
    for (const auto &[fingerprint, known] : entry.strikes_)
        strikes.push_back({known.heardAt_, {fingerprint, known.count_}});
    std::sort(strikes.begin(), strikes.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<Strike> latest;
    for (const auto &[heardAt, strike] : strikes) {
        if (latest.size() < strikesInSummary)
            latest.push_back(strike);
    }
    return latest;
}

void sendSummaries(Entry &entry, Time now, EntryActions &actions)
{
    DataCentreSummary summary =
        makeSummary(entry.fleet_, entry.rules_.revision_, entry.policy_.load_, now);
    summary.strikes_ = latestStrikes(entry);
    summary.freeTokens_ = freeTokenHints(entry.allowance_, freeTokenAccountsInSummary, now);
    for (const std::string &address : summaryAddresses(entry.fleet_, now))
        actions.emplace_back(SendMessage{address, summary});
}

void takeLoad(Entry &entry, const Envelope &envelope, const LoadReport &report, Time now,
              EntryActions &actions)
{
    const LoadReportResult taken = applyLoadReport(entry.fleet_, envelope, report, now);
    if (taken == LoadReportResult::NeedsFull)
        actions.emplace_back(SendMessage{envelope.replyAddress_, FullReportRequest()});
    if (taken == LoadReportResult::Applied)
        updateRouting(entry, envelope.from_, now);
    performSpread(entry,
                  handlePeerRevision(entry.spread_, envelope.from_, report.rulesRevision_, now),
                  now, actions);
}

/// The spares of the summary before may have ceased to be some.
void takeSpares(Entry &entry, const DataCentreSummary &summary, Time now)
{
    for (const GroupSummary &group : summary.groups_) {
        for (const SpareTarget &spare : group.spares_)
            updateRouting(entry, spare.vm_, now);
    }
    syncRouting(entry, now);
}

void takeSummaryOf(Entry &entry, const Envelope &envelope, const DataCentreSummary &summary,
                   Time now, EntryActions &actions)
{
    const auto known = entry.fleet_.peers_.find(envelope.from_);
    const Incarnation before =
        known == entry.fleet_.peers_.end() ? Incarnation() : known->second.incarnation_;
    applySummary(entry.fleet_, envelope, summary, entry.policy_.load_, now);
    takeSpares(entry, summary, now);
    noteStrikes(entry, summary.strikes_, now);
    Heartbeat heartbeat;
    heartbeat.freeTokens_ = summary.freeTokens_;
    takePeerAllowance(entry, envelope, heartbeat, before, now);
    performSpread(entry,
                  handlePeerRevision(entry.spread_, envelope.from_, summary.rulesRevision_, now),
                  now, actions);
}

/// Who follows the drain marks itself needn't be told of them.
void takeNews(Entry &entry, const Envelope &envelope, VmNews news, Time now)
{
    news.tellsDrained_ = news.tellsDrained_ && !entry.spread_.watching_;
    applyVmUpdate(entry.fleet_, envelope, news, now);
    syncRouting(entry, now);
}

void tell(const Entry &entry, const std::optional<VmNews> &news, EntryActions &actions)
{
    if (!news)
        return;
    for (const std::string &address : vmUpdateAddresses(entry.fleet_))
        actions.emplace_back(SendMessage{address, *news});
}

} // namespace

void takeEntryHeartbeat(Entry &entry, const Envelope &envelope, const Heartbeat &heartbeat,
                        Time now, EntryActions &actions)
{
    const auto known = entry.fleet_.peers_.find(envelope.from_);
    const Incarnation before =
        known == entry.fleet_.peers_.end() ? Incarnation() : known->second.incarnation_;
    applyHeartbeat(entry.fleet_, envelope, heartbeat, now);
    updateRouting(entry, envelope.from_, now);
    noteStrikes(entry, heartbeat.strikes_, now);
    takePeerAllowance(entry, envelope, heartbeat, before, now);
    performSpread(entry,
                  handlePeerRevision(entry.spread_, envelope.from_, heartbeat.rulesRevision_, now),
                  now, actions);
    // A target process that doesn't know yet that load reports are taken here.
    const bool shouldReport = heartbeat.role_ == Role::Target && heartbeat.number_ == 0
        && envelope.version_ >= loadReportVersion;
    if (shouldReport && isLarge(entry.fleet_))
        actions.emplace_back(SendMessage{envelope.replyAddress_, ownHeartbeat(entry, now)});
}

bool takeLoadMessage(Entry &entry, const Envelope &envelope, Time now, EntryActions &actions)
{
    if (const auto *report = std::get_if<LoadReport>(&envelope.message_))
        takeLoad(entry, envelope, *report, now, actions);
    else if (const auto *summary = std::get_if<DataCentreSummary>(&envelope.message_))
        takeSummaryOf(entry, envelope, *summary, now, actions);
    else if (const auto *news = std::get_if<VmNews>(&envelope.message_))
        takeNews(entry, envelope, *news, now);
    else
        return false;
    return true;
}

void takeEntryVmList(Entry &entry, const VmList &list, Time now, EntryActions &actions)
{
    tell(entry, makeVmUpdate(entry.fleet_, list), actions);
    applyVmList(entry.fleet_, list, now);
    if (entry.spread_.watching_)
        tell(entry, updateOwnDrains(entry.fleet_, list, now), actions);
    updateSilenceTimeout(entry.fleet_, entry.policy_.load_);
    const Duration period = listPeriodFor(entry.fleet_, list, entry.spread_.policy_);
    if (period != entry.load_.listPeriod_)
        actions.emplace_back(SetVmListPeriod{period});
    entry.load_.listPeriod_ = period;
}

void tellDrainsAgain(Entry &entry, Time now, EntryActions &actions)
{
    if (entry.spread_.watching_)
        tell(entry, repeatDrainUpdate(entry.fleet_, now), actions);
    else
        clearOwnDrains(entry.fleet_);
}

void linkToSpares(const Entry &entry, const TargetGroup &group, Time now, EntryActions &actions)
{
    for (std::string &address : unlinkedSpares(entry.fleet_, group, now))
        actions.emplace_back(OpenLink{std::move(address)});
}

void sendHeartbeats(Entry &entry, Time now, EntryActions &actions)
{
    const bool large = isLarge(entry.fleet_);
    EntryLoad &load = entry.load_;
    if (!large || now >= load.nextHeartbeats_ || load.toldLeaving_ != entry.leaving_) {
        load.nextHeartbeats_ = now + entry.fleet_.policy_.localHeartbeatPeriod_;
        load.toldLeaving_ = entry.leaving_;
        const Heartbeat heartbeat = ownHeartbeat(entry, now);
        for (const std::string &address : heartbeatAddresses(entry.fleet_))
            actions.emplace_back(SendMessage{address, heartbeat});
    }
    if (!large || now < load.nextSummary_)
        return;
    load.nextSummary_ = now + entry.policy_.load_.summaryPeriod_;
    sendSummaries(entry, now, actions);
}

} // namespace eelgrasscove
