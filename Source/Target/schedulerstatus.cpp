#include "Target/schedulerstatus.h"

#include <nlohmann/json.hpp>

namespace eelgrasscove {

namespace {

using Json = nlohmann::ordered_json;

Json residentsJson(const Heartbeat &report)
{
    Json residents = Json::array();
    for (const ResidentAdapter &resident : report.residents_) {
        residents.push_back(
            {{"adapter", engineModelName(resident.adapter_)}, {"running", resident.running_}});
    }
    return residents;
}

Json crashCountsJson(const Heartbeat &report)
{
    Json crashCounts = Json::array();
    for (const Strike &crashCount : report.strikes_)
        crashCounts.push_back(
            {{"fingerprint", crashCount.fingerprint_.text_}, {"count", crashCount.count_}});
    return crashCounts;
}

Json queuesJson(const TargetScheduler &scheduler)
{
    Json queues = Json::array();
    for (const auto &[account, queue] : scheduler.queue_.accounts_) {
        queues.push_back({{"account", account.text_},
                          {"interactive", queue.interactive_.size()},
                          {"batch", queue.batch_.size()}});
    }
    return queues;
}

} // namespace

std::string schedulerStatusJson(const TargetScheduler &scheduler, const VmSettings &vm, Time now)
{
    const Heartbeat report = loadReport(scheduler, now);
    const Json status = {{"role", "target"},
                         {"vm", vm.vm_.text_},
                         {"data_centre", vm.dataCentre_.text_},
                         {"incarnation", scheduler.incarnation_.value_},
                         {"fencing_number", scheduler.fencingNumber_.value_},
                         {"rules_revision", report.rulesRevision_.value_},
                         {"group", report.group_.text_},
                         {"leaving", report.leaving_},
                         {"engine_up", report.engineUp_},
                         {"queued", report.queued_},
                         {"running", report.running_},
                         {"foreign_runs", scheduler.engine_.foreign_.size()},
                         {"batch_slots", report.batchSlots_},
                         {"adapter_slots", report.adapterSlots_},
                         {"residents", residentsJson(report)},
                         {"queues", queuesJson(scheduler)},
                         {"strikes", crashCountsJson(report)},
                         {"tombstones", scheduler.attempts_.tombstoneExpiries_.size()}};
    return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace eelgrasscove
