#pragma once

/// What a process says of itself at GET /status. Pure reading of its JSON.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/names.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

struct ProcessStatus
{
    VmName vm_;
    Role role_ = Role::Entry;
    DataCentreName dataCentre_;
    RegionName region_;
    Revision rulesRevision_;
    bool leaving_ = false;
    /// Only from target processes, below.
    TargetGroup group_;
    bool engineUp_ = true;
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t batchSlots_ = 1;
    std::uint32_t adapterSlots_ = 1;
    std::vector<ResidentAdapter> residents_;
};

struct StatusError
{
    std::string message_;
};

/// {"vm","role","data_centre","region","rules_revision","leaving","group","engine_up","queued",
/// "running","batch_slots","adapter_slots","residents":[{"adapter":"name@version","running":N}]};
/// all but the first three may be absent.
Result<ProcessStatus, StatusError> decodeStatus(const std::string &body);

} // namespace eelgrasscove
