#include "fit.h"
#include "measure.h"
#include "sections.h"

#include "Contract/compactrules.h"
#include "Contract/rulefile.h"
#include "DataCentre/rulesdelta.h"

#include <fmt/format.h>

#include <memory>
#include <string>

namespace eelgrasscove::capacity {

namespace {

constexpr std::size_t accounts = 50;
constexpr std::size_t keysPerAccount = 10;

std::string fileOf(std::size_t adapters)
{
    std::string text;
    for (std::size_t account = 0; account < accounts; ++account) {
        text += fmt::format("account member-{:03} rate 4000 burst 20000 # S. de Vries\n", account);
        for (std::size_t key = 0; key < keysPerAccount; ++key)
            text += fmt::format("key member-{0:03}-{1:02} account member-{0:03} digest {2:064x} "
                                "# S. de Vries\n",
                                account, key, account * 1000 + key);
    }
    for (std::size_t adapter = 0; adapter < adapters; ++adapter)
        text +=
            fmt::format("route leg-profile-{0:05} account member-{1:03} adapter "
                        "leg-profile-{0:05} version 3 targets advice idempotent # S. de Vries\n",
                        adapter, adapter % accounts);
    return text;
}

RouteName routeOf(std::size_t adapter)
{
    return {fmt::format("leg-profile-{:05}", adapter)};
}

struct RulesRow
{
    double text_ = 0;
    double parsed_ = 0;
    double compact_ = 0;
    double parseMillis_ = 0;
    double indexMillis_ = 0;
    double lookup_ = 0;
    double compactLookup_ = 0;
    double deltaMillis_ = 0;
    double deltaBytes_ = 0;
};

void measureDelta(RulesRow &row, const std::string &text, std::size_t adapters)
{
    std::string after = text;
    const std::string changed = routeOf(adapters / 2).text_ + " version 3";
    const std::size_t at = after.find(changed);
    after.replace(at, changed.size(), routeOf(adapters / 2).text_ + " version 4");
    const RulesDelta delta = makeRulesDelta(text, after, {1}, {2});
    row.deltaBytes_ = static_cast<double>(rulesDeltaBytes(delta));
    row.deltaMillis_ = microsPerCall(1, [&] { applyRulesDelta(text, delta); }) / 1000;
}

void measureParsed(RulesRow &row, const std::string &text, std::size_t adapters)
{
    const std::size_t before = allocatedBytes();
    auto parsed = parseRules(text, "rules", {1});
    row.parsed_ = static_cast<double>(allocatedBytes() - before);
    const Rules &rules = valueOf(parsed);
    std::size_t number = 0;
    row.lookup_ = microsPerCall(
        20000, [&] { number += rules.routes_.count(routeOf(++number * 7919 % adapters)); });
    row.parseMillis_ = microsPerCall(1, [&] { parseRules(text, "rules", {1}); }) / 1000;
}

void measureCompact(RulesRow &row, const std::string &text, std::size_t adapters)
{
    const auto shared = std::make_shared<const std::string>(text);
    const CompactRules rules = indexRules(shared, {1});
    row.compact_ = static_cast<double>(compactRulesBytes(rules));
    std::size_t number = 0;
    row.compactLookup_ = microsPerCall(
        5000, [&] { number += findRoute(rules, routeOf(++number * 7919 % adapters)) ? 1 : 0; });
    row.indexMillis_ = microsPerCall(1, [&] { indexRules(shared, {1}); }) / 1000;
}

void printFit(const char *name, const std::vector<Point> &points, double target)
{
    const Fit fit = fitLine(points);
    fmt::print(
        "| fit of {} | {:.3g} + {:.4g} a rule; at {:.0f}: {:.3g}; error {:.1f}% | | | | | | | "
        "| |\n",
        name, fit.intercept_, fit.slope_, target, valueAt(fit, target), fit.error_ * 100);
}

} // namespace

void measureRules(const SectionOptions &options)
{
    fmt::print("| adapters | text, MB | parsed whole, MB | as text with an index, MB | parse, ms | "
               "index, ms | lookup, us | lookup with the index, us | delta of one line, bytes | "
               "apply a delta, ms |\n|---|---|---|---|---|---|---|---|---|---|\n");
    std::vector<Point> parsed;
    std::vector<Point> compact;
    for (const std::size_t adapters : {1000U, 3000U, 6000U, 12000U, 24000U, 47000U, 94000U}) {
        if (adapters > 2 * options.mostAdapters_)
            continue;
        RulesRow row;
        const std::string text = fileOf(adapters);
        row.text_ = static_cast<double>(text.size());
        measureParsed(row, text, adapters);
        measureCompact(row, text, adapters);
        measureDelta(row, text, adapters);
        fmt::print("| {} | {:.2f} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {:.0f} | "
                   "{:.1f} |\n",
                   adapters, row.text_ / 1e6, row.parsed_ / 1e6, row.compact_ / 1e6,
                   row.parseMillis_, row.indexMillis_, row.lookup_, row.compactLookup_,
                   row.deltaBytes_, row.deltaMillis_);
        parsed.push_back({static_cast<double>(adapters), row.parsed_ / 1e6});
        compact.push_back({static_cast<double>(adapters), row.compact_ / 1e6});
    }
    const auto target = static_cast<double>(options.mostAdapters_);
    printFit("parsed whole, MB", parsed, target);
    printFit("text with an index, MB", compact, target);
}

} // namespace eelgrasscove::capacity
