#include "Link/messagecodec.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

template <class T>
T encodeAndDecode(const T &message)
{
    Envelope envelope;
    envelope.message_ = message;
    const auto decoded = decodeEnvelope(encodeEnvelope(envelope));
    BOOST_REQUIRE(ok(decoded));
    return std::get<T>(valueOf(decoded).message_);
}

} // namespace

BOOST_AUTO_TEST_CASE(load_report_keeps_fields_through_codec)
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
    const LoadReport decoded = encodeAndDecode(report);
    BOOST_TEST(decoded.number_ == 9U);
    BOOST_TEST(decoded.base_ == 4U);
    BOOST_TEST(decoded.leaving_);
    BOOST_TEST(!decoded.engineUp_);
    BOOST_TEST(decoded.rulesRevision_.value_ == 77U);
    BOOST_TEST(decoded.queued_ == 3U);
    BOOST_TEST(decoded.running_ == 2U);
    BOOST_REQUIRE(decoded.changes_.size() == 2U);
    BOOST_TEST(decoded.changes_[0].adapter_.text_ == "oak");
    BOOST_TEST(decoded.changes_[0].version_.text_ == "3");
    BOOST_TEST(decoded.changes_[0].running_ == 1U);
    BOOST_TEST(decoded.changes_[1].gone_);
    encodeAndDecode(FullReportRequest());
}

BOOST_AUTO_TEST_CASE(summary_keeps_fields_through_codec)
{
    DataCentreSummary summary;
    summary.dataCentre_ = {"delft"};
    summary.rulesRevision_ = {5};
    summary.groups_ = {{{"advice"}, 3, 48, 20, 7, {{{"vm-1"}, {8}, "tcp://127.0.0.1:1", 6}}}};
    const DataCentreSummary decoded = encodeAndDecode(summary);
    BOOST_TEST(decoded.dataCentre_.text_ == "delft");
    BOOST_TEST(decoded.rulesRevision_.value_ == 5U);
    BOOST_REQUIRE(decoded.groups_.size() == 1U);
    const GroupSummary &group = decoded.groups_[0];
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

BOOST_AUTO_TEST_CASE(vm_update_and_summary_crash_counts_and_tokens_keep_fields_through_codec)
{
    VmNews update;
    update.vms_ = {
        {{"vm-1"}, {"west"}, {"delft"}, Role::Target, "tcp://a:1", {"advice"}, true, true}};
    update.tellsDrained_ = true;
    update.drained_ = {{"vm-1"}, {"vm-2"}};
    const VmNews decoded = encodeAndDecode(update);
    BOOST_REQUIRE(decoded.vms_.size() == 1U);
    const ListedVm &vm = decoded.vms_[0];
    BOOST_TEST(vm.vm_.text_ + vm.region_.text_ + vm.dataCentre_.text_ == "vm-1westdelft");
    BOOST_TEST(vm.address_ + vm.group_.text_ == "tcp://a:1advice");
    BOOST_TEST((vm.role_ == Role::Target && vm.leaving_ && vm.drained_));
    BOOST_TEST(decoded.tellsDrained_);
    BOOST_TEST((decoded.drained_ == update.drained_));
    DataCentreSummary summary;
    summary.strikes_ = {{{"print"}, 2}};
    summary.freeTokens_ = {{{"shop"}, 70}};
    const DataCentreSummary decodedSummary = encodeAndDecode(summary);
    BOOST_REQUIRE(
        (decodedSummary.strikes_.size() == 1U && decodedSummary.freeTokens_.size() == 1U));
    BOOST_TEST(decodedSummary.strikes_[0].count_ == 2U);
    BOOST_TEST(decodedSummary.freeTokens_[0].tokens_ == 70);
}
