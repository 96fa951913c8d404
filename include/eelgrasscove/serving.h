#pragma once

/// What the serving path knows: the operators' rules, the targets and the adapters' versions. The
/// platform's adapter fills these from its wire formats.

#include <eelgrasscove/nametable.h>
#include <eelgrasscove/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrasscove {

/// Names of the regions in which requests may run.
using AllowedRegions = std::set<std::string>;

/// What may be repeated of a route's requests.
enum class RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once for each attempt of the client.
    NonIdempotent,
    /// Answers with a series of events; may run once unless it can be resumed.
    Stream,
};

constexpr NameTable<RequestKind, 3> requestKindNames = {{
    {RequestKind::Idempotent, "idempotent"},
    {RequestKind::NonIdempotent, "non_idempotent"},
    {RequestKind::Stream, "stream"},
}};

/// A service that takes part of a route's requests, by its weight among the route's shares.
struct ServiceShare
{
    std::string service_;
    double weight_ = 1;
};

struct ServingRoute
{
    std::string name_;
    /// Lower case, without a port.
    std::string host_;
    /// Begins and ends with a slash.
    std::string pathPrefix_;
    RequestKind kind_ = RequestKind::NonIdempotent;
    std::vector<ServiceShare> services_;
    /// Longest time in which a client is to have its answer.
    Duration timeout_ = std::chrono::seconds(30);
    /// Time to the answer, or to the first event of a stream, that the operator aims at.
    Duration objective_ = std::chrono::seconds(1);
    /// Longest pause between two events of a stream that the operator aims at.
    Duration pauseObjective_ = std::chrono::milliseconds(300);
    /// 0 is the most urgent.
    int priority_ = 0;
    /// Targets that may run one attempt of a client.
    int mostTargets_ = 1;
    /// Needs no key.
    bool open_ = false;
    /// A stream may go on at another target after its last event.
    bool resumable_ = false;
    /// Requests may run in these regions only; everywhere where it is not set.
    std::optional<AllowedRegions> allowedRegions_;
};

/// A base model that the engines of a service may hold.
struct ServedModel
{
    std::string name_;
    double weightsMb_ = 0;
    double adapterMb_ = 0;
    std::uint32_t adapters_ = 0;
};

/// Adapters that may be on their way to one engine at a time, by the users' pages.
constexpr std::size_t adapterLoadsAtOnce = 4;

/// What the targets of a model service are made of.
struct EngineLimits
{
    std::uint32_t slots_ = 1;
    /// Tokens that running requests and cached prompt parts share.
    std::uint64_t memoryTokens_ = 0;
    /// Memory for weights of models and adapters together.
    double weightsMb_ = 0;
    std::uint32_t adapterSlots_ = 0;
    std::vector<ServedModel> models_;
};

/// Longest cold time of a target that is taken from the rules or from a target.
constexpr Duration maxColdTime = std::chrono::hours(1);

/// What the targets of a service can handle for some time after their start.
struct ColdLimits
{
    Duration time_{};
    /// Requests per second from all entries together; 0 if the service has no cold targets.
    double perSecond_ = 0;
    /// False if the rules state values that can't be used.
    bool isValid_ = true;

    bool operator==(const ColdLimits &) const = default;
};

struct ServedService
{
    std::string name_;
    /// Connections that one target takes from all callers together.
    std::uint32_t connections_ = 100;
    /// Model services only.
    std::optional<EngineLimits> engine_;
    ColdLimits cold_;
};

struct ServingAccount
{
    std::string name_;
    std::vector<std::string> keys_;
    /// Overrides the route's where it is set.
    std::optional<int> priority_;
    /// Tokens a second, and tokens on top of them; 0 means no limit.
    double tokensPerSecond_ = 0;
    double burstTokens_ = 0;
    /// What a request counts that doesn't tell its tokens.
    double plainTokens_ = 0;
    /// Requests may run in these regions only; everywhere where it is not set.
    std::optional<AllowedRegions> allowedRegions_;
};

/// What a client may send and how long it may take.
struct ClientLimits
{
    std::size_t headBytes_ = 16 * 1024;
    std::size_t bodyBytes_ = 4 * 1024 * 1024;
    Duration headTime_ = std::chrono::seconds(3);
    Duration idleTime_ = std::chrono::seconds(15);
};

/// What one version of the rules has as its list of accounts.
enum class AccountList {
    /// The rules have no such member.
    Missing,
    Null,
    /// A value that is not a list.
    WrongType,
    Empty,
    Present,
};

constexpr NameTable<AccountList, 5> accountListNames = {{
    {AccountList::Missing, "missing"},
    {AccountList::Null, "null"},
    {AccountList::WrongType, "wrong_type"},
    {AccountList::Empty, "empty"},
    {AccountList::Present, "present"},
}};

/// One version of the operators' rules, in full.
struct ServingRules
{
    std::uint64_t version_ = 0;
    std::vector<ServingRoute> routes_;
    std::vector<ServedService> services_;
    std::vector<ServingAccount> accounts_;
    /// Form in which the accounts were listed. A list that is empty or can't be read has no
    /// accounts, with which no key is known.
    AccountList accountList_ = AccountList::Missing;
    ClientLimits limits_;
    /// Values that could not be read and were replaced by the safe choice, as messages; no more
    /// than a few of them.
    std::vector<std::string> faults_;
    /// Number of these values.
    std::size_t faultCount_ = 0;
};

/// Whether requests on routes that are not open need the key of an account.
inline bool needsKeys(const ServingRules &rules)
{
    return rules.accountList_ != AccountList::Missing;
}

enum class ColdForm {
    Absent,
    /// A remaining time from 0 to maxColdTime.
    Stated,
    /// Any other value.
    Invalid,
};

/// What a target states about its remaining cold time.
struct ColdStatement
{
    ColdForm form_ = ColdForm::Absent;
    /// Zero unless the form is Stated.
    Duration left_{};

    bool operator==(const ColdStatement &) const = default;
};

/// A target as the list of targets has it.
struct ListedTarget
{
    std::string id_;
    std::string service_;
    std::string address_;
    std::string dataCentre_;
    /// Version of the target's software; empty if the list doesn't state it.
    std::string softwareVersion_;
    std::uint32_t slots_ = 1;
    bool draining_ = false;
    /// Unix milliseconds of its start; 0 where it isn't told.
    std::uint64_t startedAt_ = 0;
    /// The adapters held when the entry was written, "MODEL/NAME@VERSION".
    std::vector<std::string> adapters_;
    /// The base models held.
    std::vector<std::string> models_;
    /// At the time when the entry was written.
    ColdStatement cold_;

    bool operator==(const ListedTarget &) const = default;
};

} // namespace eelgrasscove
