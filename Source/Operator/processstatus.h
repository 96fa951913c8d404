#pragma once

/// What a process says of itself at GET /status. Pure reading of its JSON.

#include <eelgrasscove/messages.h>
#include <eelgrasscove/names.h>
#include <eelgrasscove/result.h>

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// An entry's part of a client account's allowance, in tokens.
struct ShareStatus
{
    AccountName account_;
    std::int64_t rate_ = 0;
    std::int64_t burst_ = 0;
    std::int64_t free_ = 0;
    /// Reserved for requests in hand.
    std::int64_t outstanding_ = 0;
};

/// A client account's requests that wait at a target process.
struct QueueStatus
{
    AccountName account_;
    std::uint32_t interactive_ = 0;
    std::uint32_t batch_ = 0;
};

struct ProcessStatus
{
    VmName vm_;
    Role role_ = Role::Entry;
    DataCentreName dataCentre_;
    RegionName region_;
    Revision rulesRevision_;
    bool leaving_ = false;
    /// Only from entries: requests in hand, and shares.
    std::uint32_t requests_ = 0;
    std::vector<ShareStatus> shares_;
    /// Only from target processes, below.
    TargetGroup group_;
    bool engineUp_ = true;
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
    std::uint32_t batchSlots_ = 1;
    std::uint32_t adapterSlots_ = 1;
    std::vector<ResidentAdapter> residents_;
    std::vector<QueueStatus> queues_;
};

struct StatusError
{
    std::string message_;
};

/// {"vm","role","data_centre","region","rules_revision","leaving","group","engine_up","queued",
/// "running","batch_slots","adapter_slots","residents":[{"adapter":"name@version","running":N}],
/// "queues":[{"account","interactive","batch"}],"requests","accounts":[{"account","rate","burst",
/// "free","outstanding"}]}; all but the first three may be absent.
Result<ProcessStatus, StatusError> decodeStatus(const std::string &body);

} // namespace eelgrasscove
