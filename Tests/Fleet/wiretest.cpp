#include "Link/messagecodec.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

template <class T>
T overTheWire(const T &message)
{
    Envelope envelope;
    envelope.message_ = message;
    const auto decoded = decodeEnvelope(encodeEnvelope(envelope));
    BOOST_REQUIRE(ok(decoded));
    return std::get<T>(valueOf(decoded).message_);
}

} // namespace

BOOST_AUTO_TEST_CASE(loadReportKeepsItsFieldsOverTheWire)
{
    LoadReport report;
    report.number_ = 9;
    report.base_ = 4;
    report.leaving_ = true;
    report.engineUp_ = false;
    report.rulesRevision_ = {77};
    report.queued_ = 3;
    report.running_ = 2;
    report.changes_ = {{{"oak"}, {"3"}, 1, false}, {{"elm"}, {"1"}, 0, true}};
    const LoadReport arrived = overTheWire(report);
    BOOST_TEST(arrived.number_ == 9U);
    BOOST_TEST(arrived.base_ == 4U);
    BOOST_TEST(arrived.leaving_);
    BOOST_TEST(!arrived.engineUp_);
    BOOST_TEST(arrived.rulesRevision_.value_ == 77U);
    BOOST_TEST(arrived.queued_ == 3U);
    BOOST_TEST(arrived.running_ == 2U);
    BOOST_REQUIRE(arrived.changes_.size() == 2U);
    BOOST_TEST(arrived.changes_[0].adapter_.text_ == "oak");
    BOOST_TEST(arrived.changes_[0].version_.text_ == "3");
    BOOST_TEST(arrived.changes_[0].running_ == 1U);
    BOOST_TEST(arrived.changes_[1].gone_);
    overTheWire(FullReportRequest());
}

BOOST_AUTO_TEST_CASE(summaryKeepsItsFieldsOverTheWire)
{
    DataCentreSummary summary;
    summary.dataCentre_ = {"delft"};
    summary.rulesRevision_ = {5};
    summary.groups_ = {{{"advice"}, 3, 48, 20, 7, {{{"vm-1"}, {8}, "tcp://127.0.0.1:1", 6}}}};
    const DataCentreSummary arrived = overTheWire(summary);
    BOOST_TEST(arrived.dataCentre_.text_ == "delft");
    BOOST_TEST(arrived.rulesRevision_.value_ == 5U);
    BOOST_REQUIRE(arrived.groups_.size() == 1U);
    const GroupSummary &group = arrived.groups_[0];
    BOOST_TEST(group.group_.text_ == "advice");
    BOOST_TEST(group.targets_ == 3U);
    BOOST_TEST(group.batchSlots_ == 48U);
    BOOST_TEST(group.running_ == 20U);
    BOOST_TEST(group.queued_ == 7U);
    BOOST_REQUIRE(group.spares_.size() == 1U);
    BOOST_TEST(group.spares_[0].vm_.text_ == "vm-1");
    BOOST_TEST(group.spares_[0].incarnation_.value_ == 8U);
    BOOST_TEST(group.spares_[0].freeSlots_ == 6U);
    BOOST_TEST(group.spares_[0].address_ == "tcp://127.0.0.1:1");
}

BOOST_AUTO_TEST_CASE(newsOfVmsAndWhatSummariesAddKeepTheirFieldsOverTheWire)
{
    VmNews news;
    news.vms_ = {
        {{"vm-1"}, {"west"}, {"delft"}, Role::Target, "tcp://a:1", {"advice"}, true, true}};
    news.tellsDrained_ = true;
    news.drained_ = {{"vm-1"}, {"vm-2"}};
    const VmNews arrived = overTheWire(news);
    BOOST_REQUIRE(arrived.vms_.size() == 1U);
    const ListedVm &vm = arrived.vms_[0];
    BOOST_TEST(vm.vm_.text_ + vm.region_.text_ + vm.dataCentre_.text_ == "vm-1westdelft");
    BOOST_TEST(vm.address_ + vm.group_.text_ == "tcp://a:1advice");
    BOOST_TEST((vm.role_ == Role::Target && vm.leaving_ && vm.drained_));
    BOOST_TEST(arrived.tellsDrained_);
    BOOST_TEST((arrived.drained_ == news.drained_));
    DataCentreSummary summary;
    summary.strikes_ = {{{"print"}, 2}};
    summary.freeTokens_ = {{{"shop"}, 70}};
    const DataCentreSummary told = overTheWire(summary);
    BOOST_REQUIRE((told.strikes_.size() == 1U && told.freeTokens_.size() == 1U));
    BOOST_TEST(told.strikes_[0].count_ == 2U);
    BOOST_TEST(told.freeTokens_[0].tokens_ == 70);
}
