#include "capacitymodel.h"
#include "sections.h"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace eelgrasscove::capacity {

namespace {

std::string shown(double value, const std::string &unit)
{
    if (unit == "B")
        return fmt::format("{:.1f} MB", value / 1e6);
    if (unit == "B/s")
        return fmt::format("{:.2f} KB/s", value / 1e3);
    if (unit.empty())
        return fmt::format("{:.2f}%", value * 100);
    return fmt::format("{:.1f} {}", value, unit);
}

/// The value, marked where it exceeds the limit.
std::string marked(const BudgetRow &row)
{
    const std::string value = shown(row.value_, row.unit_);
    return fits(row) ? value : "**" + value + "**";
}

void printTraffic(const std::vector<TrafficRow> &rows)
{
    for (const TrafficRow &row : rows) {
        const double bytes = (row.inPerSecond_ + row.outPerSecond_) * row.bytes_;
        fmt::print("| {} | {} | {:.2f} | {:.2f} | {:.0f} | {:.2f} KB/s |\n", row.role_,
                   row.message_, row.inPerSecond_, row.outPerSecond_, row.bytes_, bytes / 1e3);
    }
}

} // namespace

void printBudget(const SectionOptions & /*options*/)
{
    const SystemSize size;
    const Slopes slopes = slopesWithCeilings();
    const std::vector<BudgetRow> rows = budgetRows(size, slopes, {}, {});
    const std::vector<BudgetRow> twice = budgetRows(doubled(size), slopes, {}, {});
    fmt::print("| role | cost | at the size | limit | fits | doubled | mechanism | what would make "
               "it fit |\n|---|---|---|---|---|---|---|---|\n");
    for (std::size_t place = 0; place < rows.size(); ++place) {
        const BudgetRow &row = rows[place];
        fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} |\n", row.role_, row.what_, marked(row),
                   shown(row.limit_, row.unit_), fits(row) ? "yes" : "**no**", marked(twice[place]),
                   row.mechanism_, row.remedy_);
    }
    fmt::print("\n| role | message | in a second | out a second | bytes each | together |\n"
               "|---|---|---|---|---|---|\n");
    printTraffic(entryTraffic(size, slopes));
    printTraffic(targetTraffic(size, slopes));
}

} // namespace eelgrasscove::capacity
