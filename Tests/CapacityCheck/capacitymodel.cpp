#include "capacitymodel.h"

#include "Contract/compactrules.h"
#include "DataCentre/loadreport.h"
#include "DataCentre/ruledistribution.h"
#include "DataCentre/rulesdelta.h"
#include "Link/messagecodec.h"

#include <fmt/format.h>

#include <cmath>
#include <memory>

namespace eelgrasscove::capacity {

namespace {

constexpr double secondsPerDay = 86400;
constexpr double secondsPerHour = 3600;
constexpr double microsPerSecond = 1e6;
constexpr double gossipPeriodSeconds = 2;
constexpr double ticksPerSecond = 4;
constexpr double chunkBytes = 1e6;
/// Changes in an average load report; one with more than five is sent as a full heartbeat.
constexpr double changesPerReport = 4;
/// Loads per second that today's weight store allows.
constexpr double storeLoadsPerSecond = 5;

double processes(const SystemSize &size)
{
    return static_cast<double>(size.entries_ + size.targets_);
}

double summarySeconds()
{
    return std::chrono::duration<double>(LoadReportPolicy().summaryPeriod_).count();
}

/// Processes of one role in a data centre, rounded up.
double perCentre(std::size_t count, const SystemSize &size)
{
    return std::ceil(static_cast<double>(count) / static_cast<double>(size.dataCentres_));
}

double changesPerSecond(const SystemSize &size)
{
    return size.changesPerDay_ / secondsPerDay;
}

double reportSeconds(const SystemSize &size)
{
    const auto senders = static_cast<std::size_t>(perCentre(size.targets_, size));
    return std::chrono::duration<double>(reportPeriod(senders, {})).count();
}

double reportBytes(const Slopes &slopes)
{
    return slopes.reportBytes_ + changesPerReport * slopes.reportBytesPerChange_
        + slopes.transportBytes_;
}

double summaryBytes(const SystemSize &size, const Slopes &slopes)
{
    return slopes.summaryBytes_ + static_cast<double>(size.groups_) * slopes.summaryBytesPerGroup_
        + slopes.transportBytes_;
}

/// Heartbeats to a few peers at home, and from as many on average.
TrafficRow heartbeatTraffic(const std::string &role, const Slopes &slopes)
{
    const double each =
        static_cast<double>(FleetPolicy().localHeartbeatPeers_) / gossipPeriodSeconds;
    return {role, "heartbeat", each, each, slopes.heartbeatBytes_ + slopes.transportBytes_};
}

/// A delta taken in, and pushed on to the tree's children and other data centres' first places.
TrafficRow rulesTraffic(const std::string &role, const SystemSize &size, const Slopes &slopes)
{
    const auto fanout = static_cast<double>(RuleDistributionPolicy().fanout_);
    const double changes = changesPerSecond(size);
    return {role, "rules delta, first place of a data centre", changes, 2 * fanout * changes,
            slopes.deltaBytes_ + slopes.transportBytes_};
}

double listSeconds(const SystemSize &size)
{
    const Duration period =
        vmListReadPeriod(size.entries_ + size.targets_, {}, std::chrono::seconds(1));
    return std::chrono::duration<double>(period).count();
}

double listBytes(const SystemSize &size)
{
    return processes(size) * static_cast<double>(RuleDistributionPolicy().vmListRowBytes_);
}

TrafficRow listTraffic(const std::string &role, const SystemSize &size)
{
    return {role, "VM list from the platform", 1 / listSeconds(size), 0, listBytes(size)};
}

/// Processes of a data centre.
double home(const SystemSize &size)
{
    return perCentre(size.entries_, size) + perCentre(size.targets_, size);
}

/// Processes of the largest fleet that works as a small one.
double smallFleet()
{
    return static_cast<double>(FleetPolicy().maxFullMeshPeers_) + 1;
}

/// A replaced VM is told twice, as leaving and as new; whoever reads it first tells all at home.
TrafficRow newsTraffic(const std::string &role, const SystemSize &size, const Slopes &slopes)
{
    const double told = 2 * size.replacedPerDay_ / secondsPerDay;
    return {role, "news of VMs", told, told, slopes.newsBytes_ + slopes.transportBytes_};
}

/// Time between readings of the list in a data centre, each process at a time of its own.
double secondsBetweenReadings(const SystemSize &size)
{
    return listSeconds(size) / home(size);
}

/// Time until one of them reads, 99 times in 100, where their times are spread at random.
double secondsUntilRead(const SystemSize &size)
{
    return std::log(100.0) * secondsBetweenReadings(size);
}

double sumOfBytes(const std::vector<TrafficRow> &rows)
{
    double bytes = 0;
    for (const TrafficRow &row : rows)
        bytes += (row.inPerSecond_ + row.outPerSecond_) * row.bytes_;
    return bytes;
}

double rules(const SystemSize &size)
{
    return static_cast<double>(size.adapters_);
}

/// Rules kept as text with an index, beside the text that rule spreading holds.
double compactState(const SystemSize &size, const Slopes &slopes)
{
    return rules(size) * (slopes.compactBytesPerRule_ + slopes.textBytesPerRule_);
}

double parsedState(const SystemSize &size, const Slopes &slopes)
{
    return rules(size) * (slopes.parsedBytesPerRule_ + slopes.textBytesPerRule_);
}

double peersState(const SystemSize &size, const Slopes &slopes)
{
    return processes(size) * slopes.peerBytes_;
}

double entryLinks(const SystemSize &size)
{
    const auto spares = static_cast<double>(size.groups_ * LoadReportPolicy().maxSparesPerGroup_);
    return 2 * (home(size) + spares * static_cast<double>(size.dataCentres_));
}

double targetLinks(const SystemSize &size)
{
    const auto gossip = static_cast<double>(FleetPolicy().localHeartbeatPeers_);
    return 2 * (perCentre(size.entries_, size) + 2 * gossip);
}

/// Processor time of what every process does: rules, list readings, view of members.
double commonCore(const SystemSize &size, const Slopes &slopes)
{
    const double perChange = rules(size) * (slopes.indexPerRule_ + slopes.applyPerRule_);
    const double view = processes(size) * slopes.viewPerProcess_ * ticksPerSecond;
    const double list = processes(size) * slopes.listPerProcess_ / listSeconds(size);
    const auto gossip = static_cast<double>(FleetPolicy().localHeartbeatPeers_);
    const double heartbeats =
        gossip / gossipPeriodSeconds * (slopes.encodeHeartbeat_ + slopes.decodeHeartbeat_);
    return (changesPerSecond(size) * perChange + view + list + heartbeats) / microsPerSecond;
}

double entryCore(const SystemSize &size, const Slopes &slopes)
{
    const double reports = perCentre(size.targets_, size) / reportSeconds(size);
    const double summaries = static_cast<double>(size.dataCentres_) / summarySeconds();
    return commonCore(size, slopes)
        + (reports * (slopes.decodeReport_ + slopes.takeReport_)
           + summaries * (slopes.encodeSummary_ + slopes.decodeSummary_))
        / microsPerSecond;
}

double targetCore(const SystemSize &size, const Slopes &slopes)
{
    const double reports = perCentre(size.entries_, size) / reportSeconds(size);
    return commonCore(size, slopes) + reports * slopes.encodeReport_ / microsPerSecond;
}

double watchers(const SystemSize &size)
{
    return static_cast<double>(size.dataCentres_ * RuleDistributionPolicy().watchersPerDataCentre_);
}

void addByteRows(std::vector<BudgetRow> &rows, const SystemSize &size, const Slopes &slopes,
                 const Budget &budget)
{
    const double mesh =
        2 * ticksPerSecond * (smallFleet() - 1) * (slopes.heartbeatBytes_ + slopes.transportBytes_);
    const double smallList =
        smallFleet() * static_cast<double>(RuleDistributionPolicy().vmListRowBytes_);
    const double text = rules(size) * slopes.textBytesPerRule_;
    rows.push_back({"entry", "control bytes a second, in and out",
                    entryBytesPerSecond(size, slopes), budget.bytesPerSecond_, "B/s",
                    "loadreport.cpp, fleet.cpp, ruledistribution.cpp", ""});
    rows.push_back({"target", "control bytes a second, in and out",
                    targetBytesPerSecond(size, slopes), budget.bytesPerSecond_, "B/s",
                    "loadreport.cpp, fleet.cpp, ruledistribution.cpp", ""});
    rows.push_back({"entry",
                    "heartbeats to all four times a second in the largest small fleet, in one "
                    "data centre",
                    mesh, budget.bytesPerSecond_, "B/s", "fleet.cpp up to fullMeshUpTo_ peers",
                    "load reports from 10 processes on: a lower fullMeshUpTo_"});
    rows.push_back({"any", "VM list read each second in the largest small fleet", smallList,
                    budget.bytesPerSecond_, "B/s", "platformservice.cpp", ""});
    rows.push_back({"any",
                    "time until a VM that is only listed as leaving is known at home, 99 times in "
                    "100, seconds",
                    secondsUntilRead(size), 5, "s", "vmnews.cpp", ""});
    rows.push_back({"any", "bytes in the minute after a start, a second", text / 60,
                    budget.bytesPerSecond_, "B/s", "ruledistribution.cpp, parts",
                    "send the text compressed, and only its own group's routes to a target"});
    rows.push_back({"any", "bytes of a day's starts, a second over the day",
                    2 * size.replacedPerDay_ * text / secondsPerDay / processes(size),
                    budget.bytesPerSecond_, "B/s", "ruledistribution.cpp, parts", ""});
    rows.push_back({"any", "bytes in the minute after an hour's cut, a second",
                    changesPerSecond(size) * secondsPerHour
                        * (slopes.deltaBytes_ + slopes.transportBytes_) / 60,
                    budget.bytesPerSecond_, "B/s", "ruledistribution.cpp, past deltas", ""});
}

void addMemoryRows(std::vector<BudgetRow> &rows, const SystemSize &size, const Slopes &slopes,
                   const ProcessFootprint &footprint, const Budget &budget)
{
    const double entry =
        footprint.entryBytes_ + peersState(size, slopes) + entryLinks(size) * footprint.linkBytes_;
    const double target = footprint.targetBytes_ + peersState(size, slopes)
        + targetLinks(size) * footprint.linkBytes_;
    const double text = rules(size) * slopes.textBytesPerRule_;
    const double compact = compactState(size, slopes);
    const double parsed = parsedState(size, slopes);
    const std::string remedy = "compactrules.cpp in place of Rules, and one text shared by both";
    rows.push_back({"entry", "memory, rules as text with an index", entry + compact,
                    budget.memoryBytes_, "B", "compactrules.cpp", ""});
    rows.push_back({"entry", "the same while a revision replaces another, one text shared",
                    entry + 2 * (compact - text), budget.memoryBytes_, "B", "compactrules.cpp",
                    "change the text in place, by blocks"});
    rows.push_back({"entry", "memory, rules parsed whole", entry + parsed, budget.memoryBytes_, "B",
                    "rulefile.cpp", remedy});
    rows.push_back({"target", "memory, rules as text with an index", target + compact,
                    budget.memoryBytes_, "B", "compactrules.cpp", ""});
    rows.push_back({"target", "memory, rules parsed whole", target + parsed, budget.memoryBytes_,
                    "B", "rulefile.cpp", remedy});
}

void addPlatformRows(std::vector<BudgetRow> &rows, const SystemSize &size, const Slopes &slopes,
                     const Budget &budget)
{
    const double chunks = std::ceil(rules(size) * slopes.textBytesPerRule_ / chunkBytes);
    const double starts = 2 * size.replacedPerDay_ / secondsPerDay;
    rows.push_back({"platform", "waiting watches", watchers(size), budget.platformReadsPerSecond_,
                    "calls", "ruledistribution.cpp, watchers", ""});
    rows.push_back({"platform", "reads a second, list readings stretched",
                    processes(size) / listSeconds(size)
                        + changesPerSecond(size) * watchers(size) * (chunks + 1) + starts,
                    budget.platformReadsPerSecond_, "1/s", "ruledistribution.cpp, vmListReadPeriod",
                    ""});
    rows.push_back({"platform",
                    "reads a second if each process read list and rules itself, as in a small "
                    "fleet",
                    processes(size) * (1 + changesPerSecond(size) * (chunks + 1)),
                    budget.platformReadsPerSecond_, "1/s", "platformservice.cpp",
                    "watchers and stretched list readings, in the row above"});
    rows.push_back({"platform", "writes a second: rules, and a number for each start",
                    changesPerSecond(size) * (chunks + 1) + starts, budget.platformWritesPerSecond_,
                    "1/s", "rulestore.cpp, startnumber.cpp", ""});
    rows.push_back({"weight store", "loads a second while 57% of the adapters wake in an hour",
                    rules(size) * size.wakingShare_ / secondsPerHour, storeLoadsPerSecond, "1/s",
                    "scheduler.cpp",
                    "a weight store that allows more loads; until then waking adapters wait"});
}

void addShareRows(std::vector<BudgetRow> &rows, const SystemSize &size, const Slopes &slopes,
                  const Budget &budget)
{
    const auto accounts = static_cast<double>(size.accounts_);
    const auto entries = static_cast<double>(size.entries_);
    const double joins = size.replacedPerDay_ * entries / processes(size) / secondsPerDay;
    const std::string remedy = "shares held by data centres, whose entries borrow of them";
    rows.push_back({"platform",
                    "calls a second over a minute in which all entries split all accounts",
                    accounts * slopes.splitCalls_ * entries * entries / 60,
                    budget.platformReadsPerSecond_, "1/s", "ledger.cpp", remedy});
    rows.push_back({"platform", "calls a second over the day for shares of replaced entries",
                    joins * accounts * slopes.joinCalls_ * entries * entries,
                    budget.platformReadsPerSecond_, "1/s", "ledger.cpp", remedy});
    rows.push_back({"platform", "writes a second over the day for shares of replaced entries",
                    joins * accounts * slopes.shareWrites_ * entries,
                    budget.platformWritesPerSecond_, "1/s", "ledger.cpp", ""});
    rows.push_back({"platform", "writes a second for claims, where 5% of the requests book",
                    size.bookingsPerSecond_ * slopes.bookingWrites_,
                    budget.platformWritesPerSecond_, "1/s", "claims.cpp", ""});
}

} // namespace

SystemSize doubled(const SystemSize &size)
{
    SystemSize twice = size;
    twice.entries_ *= 2;
    twice.targets_ *= 2;
    twice.adapters_ *= 2;
    twice.changesPerDay_ *= 2;
    twice.replacedPerDay_ *= 2;
    twice.bookingsPerSecond_ *= 2;
    return twice;
}

bool fits(const BudgetRow &row)
{
    return row.value_ <= row.limit_;
}

std::vector<TrafficRow> entryTraffic(const SystemSize &size, const Slopes &slopes)
{
    const double reports = perCentre(size.targets_, size) / reportSeconds(size);
    const double summaries = (static_cast<double>(size.dataCentres_) - 1) / summarySeconds();
    return {
        {"entry", "load report", reports, 0, reportBytes(slopes)},
        {"entry", "data centre summary", summaries, summaries, summaryBytes(size, slopes)},
        heartbeatTraffic("entry", slopes),
        rulesTraffic("entry", size, slopes),
        listTraffic("entry", size),
        newsTraffic("entry", size, slopes),
    };
}

std::vector<TrafficRow> targetTraffic(const SystemSize &size, const Slopes &slopes)
{
    const double reports = perCentre(size.entries_, size) / reportSeconds(size);
    return {
        {"target", "load report", 0, reports, reportBytes(slopes)},
        heartbeatTraffic("target", slopes),
        rulesTraffic("target", size, slopes),
        listTraffic("target", size),
        newsTraffic("target", size, slopes),
    };
}

double entryBytesPerSecond(const SystemSize &size, const Slopes &slopes)
{
    return sumOfBytes(entryTraffic(size, slopes));
}

double targetBytesPerSecond(const SystemSize &size, const Slopes &slopes)
{
    return sumOfBytes(targetTraffic(size, slopes));
}

std::vector<BudgetRow> budgetRows(const SystemSize &size, const Slopes &slopes,
                                  const ProcessFootprint &footprint, const Budget &budget)
{
    std::vector<BudgetRow> rows;
    addByteRows(rows, size, slopes, budget);
    rows.push_back({"entry", "share of a core", entryCore(size, slopes), budget.coreShare_, "",
                    "the sum of the above", ""});
    rows.push_back({"target", "share of a core", targetCore(size, slopes), budget.coreShare_, "",
                    "the sum of the above", ""});
    rows.push_back({"entry", "age of a load report, seconds", reportSeconds(size), 5, "s",
                    "loadreport.cpp, reportPeriod",
                    "fewer targets for each entry: split the data "
                    "centre's targets among its entries by group"});
    addMemoryRows(rows, size, slopes, footprint, budget);
    addPlatformRows(rows, size, slopes, budget);
    addShareRows(rows, size, slopes, budget);
    return rows;
}

namespace {

Envelope wrapped(Message message)
{
    Envelope envelope;
    envelope.from_ = {"runner-01234"};
    envelope.incarnation_ = {1733300000000000};
    envelope.replyAddress_ = "tcp://10.20.30.40:7401";
    envelope.message_ = std::move(message);
    return envelope;
}

double bytesOf(Message message)
{
    return static_cast<double>(encodeEnvelope(wrapped(std::move(message))).size());
}

Heartbeat plainHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.dataCentre_ = {"data-centre-07"};
    heartbeat.group_ = {"advice"};
    heartbeat.rulesRevision_ = {120000};
    heartbeat.number_ = 123456;
    return heartbeat;
}

LoadReport reportWith(std::size_t changes)
{
    LoadReport report;
    report.number_ = 123456;
    report.base_ = 123400;
    report.rulesRevision_ = {120000};
    for (std::size_t change = 0; change < changes; ++change)
        report.changes_.push_back({{"leg-profile-01234"}, {"3"}, 1, false});
    return report;
}

DataCentreSummary summaryWith(std::size_t groups)
{
    DataCentreSummary summary;
    summary.dataCentre_ = {"data-centre-07"};
    summary.rulesRevision_ = {120000};
    const SpareTarget spare = {{"runner-01234"}, {1733300000000000}, "tcp://10.20.30.40:7401", 9};
    for (std::size_t group = 0; group < groups; ++group)
        summary.groups_.push_back({{"advice-0"}, 100, 1600, 900, 12, {spare, spare}});
    // An entry names no more accounts and, rarely, strikes.
    summary.freeTokens_.resize(4, {{"member-0123"}, 1000000});
    return summary;
}

VmNews newsOfOne()
{
    VmNews news;
    news.vms_ = {{{"runner-01234"},
                  {"region-west"},
                  {"data-centre-07"},
                  Role::Target,
                  "tcp://10.20.30.40:7401",
                  {"advice"},
                  true}};
    return news;
}

std::string routesText(std::size_t routes, int version)
{
    std::string text = "account member-000 rate 4000 burst 20000 # S. de Vries\n";
    for (std::size_t route = 0; route < routes; ++route)
        text += fmt::format("route leg-profile-{0:05} account member-000 adapter "
                            "leg-profile-{0:05} version {1} targets advice idempotent "
                            "# S. de Vries\n",
                            route, route == routes / 2 ? version : 3);
    return text;
}

} // namespace

Slopes slopesWithCeilings()
{
    constexpr std::size_t routes = 4000;
    Slopes slopes;
    slopes.heartbeatBytes_ = bytesOf(plainHeartbeat());
    slopes.reportBytes_ = bytesOf(reportWith(0));
    slopes.reportBytesPerChange_ = bytesOf(reportWith(1)) - slopes.reportBytes_;
    slopes.summaryBytesPerGroup_ = bytesOf(summaryWith(2)) - bytesOf(summaryWith(1));
    slopes.summaryBytes_ = bytesOf(summaryWith(1)) - slopes.summaryBytesPerGroup_;
    slopes.newsBytes_ = bytesOf(newsOfOne());
    const std::string text = routesText(routes, 3);
    slopes.deltaBytes_ = bytesOf(makeRulesDelta(text, routesText(routes, 4), {1}, {2}));
    slopes.textBytesPerRule_ = static_cast<double>(text.size()) / routes;
    const CompactRules compact = indexRules(std::make_shared<const std::string>(text), {1});
    slopes.compactBytesPerRule_ = static_cast<double>(compactRulesBytes(compact)) / routes;
    slopes.parsedBytesPerRule_ = 460;
    slopes.peerBytes_ = 700;
    slopes.splitCalls_ = 0.6;
    slopes.joinCalls_ = 0.6;
    slopes.shareWrites_ = 1.1;
    slopes.bookingWrites_ = 2;
    slopes.decodeReport_ = 40;
    slopes.encodeReport_ = 30;
    slopes.takeReport_ = 6;
    slopes.encodeSummary_ = 40;
    slopes.decodeSummary_ = 60;
    slopes.decodeHeartbeat_ = 60;
    slopes.encodeHeartbeat_ = 40;
    slopes.viewPerProcess_ = 0.5;
    slopes.listPerProcess_ = 0.8;
    slopes.indexPerRule_ = 3;
    slopes.applyPerRule_ = 0.6;
    return slopes;
}

} // namespace eelgrasscove::capacity
