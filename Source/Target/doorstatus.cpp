#include "Target/doorstatus.h"

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

Json strikesJson(const Heartbeat &report)
{
    Json strikes = Json::array();
    for (const Strike &one : report.strikes_)
        strikes.push_back({{"fingerprint", one.fingerprint_.text_}, {"count", one.count_}});
    return strikes;
}

Json queuesJson(const Door &door)
{
    Json queues = Json::array();
    for (const auto &[account, queue] : door.queue_.accounts_) {
        queues.push_back({{"account", account.text_},
                          {"interactive", queue.interactive_.size()},
                          {"batch", queue.batch_.size()}});
    }
    return queues;
}

} // namespace

std::string doorStatusJson(const Door &door, const VmName &vm, Time now)
{
    const Heartbeat report = loadReport(door, now);
    const Json status = {{"role", "target"},
                         {"vm", vm.text_},
                         {"incarnation", door.incarnation_.value_},
                         {"fencing_number", door.fencingNumber_.value_},
                         {"rules_revision", report.rulesRevision_.value_},
                         {"group", report.group_.text_},
                         {"leaving", report.leaving_},
                         {"engine_up", report.engineUp_},
                         {"queued", report.queued_},
                         {"running", report.running_},
                         {"foreign_runs", door.engine_.foreign_.size()},
                         {"batch_slots", report.batchSlots_},
                         {"adapter_slots", report.adapterSlots_},
                         {"residents", residentsJson(report)},
                         {"queues", queuesJson(door)},
                         {"strikes", strikesJson(report)},
                         {"tombstones", door.attempts_.tombstoneExpiries_.size()}};
    return status.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace eelgrasscove
