#define BOOST_TEST_MODULE CapacityCheck
#include "capacitymodel.h"
#include "fit.h"

#include "DataCentre/loadreport.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <string>

using namespace eelgrasscove;
using namespace eelgrasscove::capacity;

namespace {

std::string keyOf(const BudgetRow &row)
{
    return row.role_ + ": " + row.what_;
}

std::set<std::string> linesOf(const std::string &file)
{
    std::ifstream stream(std::string(FEATURE_FOLDER) + "/" + file);
    std::set<std::string> lines;
    for (std::string line; std::getline(stream, line);)
        lines.insert(line);
    return lines;
}

std::set<std::string> rowsThatDontFit(const SystemSize &size)
{
    std::set<std::string> keys;
    for (const BudgetRow &row : budgetRows(size, slopesWithCeilings(), {}, {})) {
        if (!fits(row))
            keys.insert(keyOf(row));
    }
    return keys;
}

} // namespace

// Rows that don't fit are named on the page; a row that stops fitting, or starts to, must be
// entered in the list beside this test and on the page.
BOOST_AUTO_TEST_CASE(exactlyTheNamedRowsExceedTheirBudgetAtTheSizeToDesignFor)
{
    const std::set<std::string> expected = linesOf("doesnotfit.txt");
    const std::set<std::string> found = rowsThatDontFit({});
    BOOST_TEST(found == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(everyRowThatDoesNotFitNamesWhatWouldMakeItFit)
{
    for (const BudgetRow &row : budgetRows({}, slopesWithCeilings(), {}, {}))
        BOOST_TEST((fits(row) || !row.remedy_.empty()), keyOf(row));
}

BOOST_AUTO_TEST_CASE(budgetsAreTheLetters)
{
    const Budget budget;
    BOOST_TEST(budget.coreShare_ == 0.042);
    BOOST_TEST(budget.memoryBytes_ == 32e6);
    BOOST_TEST(budget.bytesPerSecond_ == 23e3);
    BOOST_TEST(budget.secondsToAll_ == 18);
    const SystemSize size;
    BOOST_TEST(size.entries_ == 420U);
    BOOST_TEST(size.targets_ == 1300U);
    BOOST_TEST(size.adapters_ == 47000U);
    BOOST_TEST(size.dataCentres_ == 13U);
}

BOOST_AUTO_TEST_CASE(aFullLoadReportStaysWithinTheBytesThatThePeriodReckonsWith)
{
    const Slopes slopes = slopesWithCeilings();
    // Beyond five changes among eight residents the sender sends a full heartbeat.
    const double most =
        slopes.reportBytes_ + 5 * slopes.reportBytesPerChange_ + slopes.transportBytes_;
    BOOST_TEST(most <= static_cast<double>(LoadReportPolicy().maxReportBytes_));
}

BOOST_AUTO_TEST_CASE(entryBytesStayBoundedAsTargetsGrow)
{
    const Slopes slopes = slopesWithCeilings();
    SystemSize size;
    for (int doubling = 0; doubling < 4; ++doubling) {
        BOOST_TEST(entryBytesPerSecond(size, slopes) <= Budget().bytesPerSecond_);
        size.targets_ *= 2;
    }
}

BOOST_AUTO_TEST_CASE(theCheckFailsForASmallerBudget)
{
    Budget tight;
    tight.bytesPerSecond_ = 5e3;
    std::size_t broken = 0;
    for (const BudgetRow &row : budgetRows({}, slopesWithCeilings(), {}, tight))
        broken += fits(row) ? 0 : 1;
    BOOST_TEST(broken > rowsThatDontFit({}).size());
}

BOOST_AUTO_TEST_CASE(fitFindsALineAndItsError)
{
    const Fit line = fitLine({{1, 5}, {2, 7}, {3, 9}, {4, 11}});
    BOOST_TEST(line.slope_ == 2, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.intercept_ == 3, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(line.error_ < 1e-9);
    BOOST_TEST(fitLine({{1, 5}, {2, 7}, {3, 9}, {4, 20}}).error_ > 0.1);
}
