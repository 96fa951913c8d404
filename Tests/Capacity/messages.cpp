#include "fit.h"
#include "measure.h"
#include "sections.h"

#include "DataCentre/rulesdelta.h"
#include "Link/messagecodec.h"
#include "ruledistributionsim.h"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace eelgrasscove::capacity {

namespace {

std::vector<ResidentAdapter> residents(std::size_t count)
{
    std::vector<ResidentAdapter> all;
    all.reserve(count);
    for (std::size_t number = 0; number < count; ++number)
        all.push_back({{{fmt::format("leg-profile-{:05}", number)}, {"3"}}, 1});
    return all;
}

Heartbeat heartbeatWith(std::size_t count)
{
    Heartbeat heartbeat;
    heartbeat.role_ = Role::Target;
    heartbeat.dataCentre_ = {"data-centre-07"};
    heartbeat.group_ = {"advice"};
    heartbeat.rulesRevision_ = {120000};
    heartbeat.queued_ = 12;
    heartbeat.running_ = 9;
    heartbeat.batchSlots_ = 16;
    heartbeat.adapterSlots_ = 8;
    heartbeat.number_ = 123456;
    heartbeat.residents_ = residents(count);
    return heartbeat;
}

LoadReport reportWith(std::size_t changes)
{
    LoadReport report;
    report.number_ = 123456;
    report.base_ = 123400;
    report.rulesRevision_ = {120000};
    report.queued_ = 12;
    report.running_ = 9;
    for (const ResidentAdapter &resident : residents(changes))
        report.changes_.push_back(
            {resident.adapter_.adapter_, resident.adapter_.version_, resident.running_, false});
    return report;
}

DataCentreSummary summaryWith(std::size_t groups)
{
    DataCentreSummary summary;
    summary.dataCentre_ = {"data-centre-07"};
    summary.rulesRevision_ = {120000};
    const SpareTarget spare = {{"runner-01234"}, {1733300000000000}, "tcp://10.20.30.40:7401", 9};
    for (std::size_t group = 0; group < groups; ++group)
        summary.groups_.push_back(
            {{fmt::format("advice-{}", group)}, 100, 1600, 900, 12, {spare, spare}});
    return summary;
}

VmNews newsWith(std::size_t count)
{
    VmNews news;
    for (std::size_t number = 0; number < count; ++number)
        news.vms_.push_back({{fmt::format("runner-{:05}", number)},
                             {"region-west"},
                             {"data-centre-07"},
                             Role::Target,
                             "tcp://10.20.30.40:7401",
                             {"advice"},
                             true});
    return news;
}

RulesDelta deltaWith(std::size_t lines)
{
    const std::string before = sim::rulesText(2000, 2000);
    std::string after = before;
    for (std::size_t line = 0; line < lines; ++line) {
        const std::string changed = fmt::format("adapter leg-{} version 1", line * 20 + 3);
        after.replace(after.find(changed) + changed.size() - 1, 1, "2");
    }
    return makeRulesDelta(before, after, {120000}, {120001});
}

struct MessageKind
{
    const char *name_;
    const char *unit_;
    Message (*make_)(std::size_t count);
    std::vector<std::size_t> counts_;
};

const std::vector<MessageKind> kinds = {
    {"heartbeat",
     "residents",
     [](std::size_t count) -> Message { return heartbeatWith(count); },
     {0, 8, 16, 32, 64}},
    {"load report",
     "changed residents",
     [](std::size_t count) -> Message { return reportWith(count); },
     {0, 1, 2, 4, 8}},
    {"data centre summary",
     "groups",
     [](std::size_t count) -> Message { return summaryWith(count); },
     {1, 2, 4, 8}},
    {"news of VMs",
     "VMs",
     [](std::size_t count) -> Message { return newsWith(count); },
     {1, 2, 4, 8, 16}},
    {"rules delta",
     "changed lines",
     [](std::size_t count) -> Message { return deltaWith(count); },
     {1, 2, 4, 8, 16}},
};

Envelope wrapped(Message message)
{
    Envelope envelope;
    envelope.from_ = {"runner-01234"};
    envelope.incarnation_ = {1733300000000000};
    envelope.replyAddress_ = "tcp://10.20.30.40:7401";
    envelope.message_ = std::move(message);
    return envelope;
}

} // namespace

void measureMessages(const SectionOptions & /*options*/)
{
    fmt::print("| message | what grows | points (count: bytes) | bytes, fit | error | encode, us | "
               "decode, us |\n|---|---|---|---|---|---|---|\n");
    for (const MessageKind &kind : kinds) {
        std::vector<Point> points;
        std::string shown;
        double encode = 0;
        double decode = 0;
        for (const std::size_t count : kind.counts_) {
            const Envelope envelope = wrapped(kind.make_(count));
            const std::string bytes = encodeEnvelope(envelope);
            points.push_back({static_cast<double>(count), static_cast<double>(bytes.size())});
            shown += fmt::format("{}{}: {}", shown.empty() ? "" : ", ", count, bytes.size());
            encode = microsPerCall(2000, [&] { encodeEnvelope(envelope); });
            decode = microsPerCall(2000, [&] { decodeEnvelope(bytes); });
        }
        const Fit fit = fitLine(points);
        fmt::print("| {} | {} | {} | {:.0f} + {:.1f} each | {:.1f}% | {:.1f} | {:.1f} |\n",
                   kind.name_, kind.unit_, shown, fit.intercept_, fit.slope_, fit.error_ * 100,
                   encode, decode);
    }
    fmt::print("\nTimes are those of the largest count in each row.\n");
}

} // namespace eelgrasscove::capacity
