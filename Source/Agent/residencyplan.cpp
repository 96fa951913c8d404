#include "Agent/residencyplan.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Lifetime of a load request. Entries repeat it four times a second while requests wait.
constexpr Duration loadRequestLifetime = 700ms;

/// An adapter used within this time is likely to have another request on its way, so it isn't
/// unloaded or replaced.
constexpr Duration minIdleTime = 600ms;

/// An accepted unload waits for the adapter's running requests, which have ended or been given up
/// after this time.
constexpr Duration unloadTimeout = 4s;

/// Retention of the time of last use, which decides which of two adapters is unloaded.
constexpr Duration lastUseRetention = 120s;

bool containsVersionOrNewer(const std::vector<wire::VersionedAdapter> &adapters,
                            const std::string &adapter, std::uint64_t version)
{
    return std::any_of(adapters.begin(), adapters.end(), [&](const wire::VersionedAdapter &held) {
        return held.adapter_ == adapter && held.version_ >= version;
    });
}

/// Orders adapters by the number of waiting requests, descending, then by the time of the first
/// load request.
bool hasPrecedence(const RequestedAdapter &left, const RequestedAdapter &right)
{
    if (left.requests_ != right.requests_)
        return left.requests_ > right.requests_;
    return left.firstAt_ < right.firstAt_;
}

Time lastUseOf(const ResidencyPlan &plan, const std::string &adapter)
{
    const auto used = plan.lastUsed_.find(nameHash(adapter));
    return used == plan.lastUsed_.end() ? Time{} : used->second;
}

wire::EngineOrder makeOrder(wire::EngineOrderKind kind, const std::string &adapter,
                            std::uint64_t version, std::uint64_t orders)
{
    const std::size_t slash = adapter.find('/');
    wire::EngineOrder order;
    order.kind_ = kind;
    order.model_ = adapter.substr(0, slash);
    if (slash != std::string::npos)
        order.adapter_ = adapter.substr(slash + 1);
    order.version_ = version;
    order.expectedOrders_ = orders;
    return order;
}

/// Returns the least recently used adapter that may be unloaded; empty if all are in use.
std::optional<std::string> leastRecentlyUsed(const ResidencyPlan &plan,
                                             const wire::EngineReport &report, Time now)
{
    const wire::VersionedAdapter *oldest = nullptr;
    for (const wire::VersionedAdapter &held : report.adapters_) {
        if (plan.requestedAdapters_.contains(held.adapter_)
            || plan.unloading_.contains(held.adapter_) || plan.replacing_.contains(held.adapter_)
            || now - lastUseOf(plan, held.adapter_) < minIdleTime)
            continue;
        if (oldest == nullptr || lastUseOf(plan, held.adapter_) < lastUseOf(plan, oldest->adapter_))
            oldest = &held;
    }
    return oldest == nullptr ? std::nullopt : std::optional(oldest->adapter_);
}

} // namespace

std::uint32_t adapterCapacity(const EngineLimits &limits, const std::vector<std::string> &models)
{
    double freeMb = limits.weightsMb_;
    double adapterMb = 0;
    for (const ServedModel &model : limits.models_) {
        if (std::find(models.begin(), models.end(), model.name_) == models.end())
            continue;
        freeMb -= model.weightsMb_;
        adapterMb = std::max(adapterMb, model.adapterMb_);
    }
    if (adapterMb <= 0)
        return limits.adapterSlots_;
    const double fittingAdapters = std::max(freeMb / adapterMb, 0.0);
    return std::min(limits.adapterSlots_, static_cast<std::uint32_t>(fittingAdapters));
}

void addLoadRequest(ResidencyPlan &plan, const std::string &adapter, std::uint64_t version,
                    std::uint32_t requests, Time now)
{
    RequestedAdapter &request = plan.requestedAdapters_[adapter];
    if (request.firstAt_ == Time{})
        request.firstAt_ = now;
    request.version_ = std::max(request.version_, version);
    request.requests_ = std::max(request.requests_, requests);
    request.lastAt_ = now;
}

void recordUse(ResidencyPlan &plan, NameHash adapter, Time now)
{
    plan.lastUsed_[adapter] = now;
}

void recordAccepted(ResidencyPlan &plan, const wire::EngineOrder &order,
                    const wire::EngineReport &report, Time now)
{
    if (order.adapter_.empty())
        return;
    const std::string adapter = order.model_ + "/" + order.adapter_;
    if (order.kind_ == wire::EngineOrderKind::Unload)
        plan.unloading_[adapter] = now;
    else if (containsVersionOrNewer(report.adapters_, adapter, 0))
        plan.replacing_[adapter] = now;
}

void expirePlan(ResidencyPlan &plan, const wire::EngineReport &report, Time now)
{
    std::erase_if(plan.requestedAdapters_, [&](const auto &request) {
        const bool isFulfilled = containsVersionOrNewer(
            report.adapters_, request.first, std::max<std::uint64_t>(request.second.version_, 1));
        if (isFulfilled)
            plan.lastUsed_[nameHash(request.first)] = now;
        return isFulfilled || now - request.second.lastAt_ > loadRequestLifetime;
    });
    std::erase_if(plan.unloading_, [&](const auto &unload) {
        return !containsVersionOrNewer(report.adapters_, unload.first, 0)
            || now - unload.second > unloadTimeout;
    });
    std::erase_if(plan.replacing_, [&](const auto &replacement) {
        const auto request = plan.requestedAdapters_.find(replacement.first);
        const bool isDone = request == plan.requestedAdapters_.end()
            ? !containsVersionOrNewer(report.adapters_, replacement.first, 0)
            : containsVersionOrNewer(report.adapters_, replacement.first, request->second.version_);
        return isDone || now - replacement.second > unloadTimeout;
    });
    std::erase_if(plan.lastUsed_,
                  [&](const auto &use) { return now - use.second > lastUseRetention; });
}

std::optional<wire::EngineOrder> nextOrder(const ResidencyPlan &plan,
                                           const wire::EngineReport &report,
                                           const EngineLimits &limits, Time now)
{
    if (report.models_.empty()) {
        if (report.isBusy_ || limits.models_.empty())
            return std::nullopt;
        return makeOrder(wire::EngineOrderKind::Load, limits.models_.front().name_, 0,
                         report.orders_);
    }
    if (report.incoming_.size() >= adapterLoadsAtOnce)
        return std::nullopt;
    const std::pair<const std::string, RequestedAdapter> *next = nullptr;
    for (const auto &request : plan.requestedAdapters_) {
        if (containsVersionOrNewer(report.incoming_, request.first, request.second.version_))
            continue;
        // An adapter that is being unloaded or replaced gets no further order until that is done:
        // the engine would carry out both orders when the adapter's requests end, and together they
        // could need one slot more than there is.
        if (plan.unloading_.contains(request.first) || plan.replacing_.contains(request.first))
            continue;
        // A replacement waits for the running requests of the older version, and the engine accepts
        // no other order until then.
        if (containsVersionOrNewer(report.adapters_, request.first, 0)
            && now - lastUseOf(plan, request.first) < minIdleTime)
            continue;
        if (next == nullptr || hasPrecedence(request.second, next->second))
            next = &request;
    }
    if (next == nullptr)
        return std::nullopt;
    const std::string model = next->first.substr(0, next->first.find('/'));
    if (std::find(report.models_.begin(), report.models_.end(), model) == report.models_.end())
        return std::nullopt;
    // A newer version replaces the older one and needs no additional slot.
    const bool isReplacement = containsVersionOrNewer(report.adapters_, next->first, 0);
    const std::size_t usedSlots = report.adapters_.size() + report.incoming_.size();
    if (!isReplacement && usedSlots >= adapterCapacity(limits, report.models_)) {
        // Each pending unload frees a slot for one of the requested adapters.
        if (plan.unloading_.size() >= plan.requestedAdapters_.size())
            return std::nullopt;
        const std::optional<std::string> unloadable = leastRecentlyUsed(plan, report, now);
        if (!unloadable)
            return std::nullopt;
        return makeOrder(wire::EngineOrderKind::Unload, *unloadable, 0, report.orders_);
    }
    return makeOrder(wire::EngineOrderKind::Load, next->first, next->second.version_,
                     report.orders_);
}

} // namespace eelgrasscove
