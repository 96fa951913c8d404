#include "Agent/residencyplan.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Entries repeat a wish four times a second while requests wait.
constexpr Duration wishLife = 700ms;

/// An adapter used this recently is likely to have a request on its way, so it keeps its place.
constexpr Duration keepAfterUse = 600ms;

/// An accepted unload waits for runs, which end within this time or have been given up.
constexpr Duration unloadLife = 4s;

/// Uses are remembered for as long as they may decide between two adapters.
constexpr Duration useLife = 120s;

bool holds(const std::vector<wire::HeldAdapter> &list, const std::string &adapter,
           std::uint64_t version)
{
    return std::any_of(list.begin(), list.end(), [&](const wire::HeldAdapter &held) {
        return held.adapter_ == adapter && held.version_ >= version;
    });
}

/// What more requests wait for goes first, and what was wished for first within that.
bool comesBefore(const WishedAdapter &left, const WishedAdapter &right)
{
    if (left.requests_ != right.requests_)
        return left.requests_ > right.requests_;
    return left.firstAt_ < right.firstAt_;
}

Time lastUseOf(const ResidencyPlan &plan, const std::string &adapter)
{
    const auto used = plan.lastUsed_.find(markOf(adapter));
    return used == plan.lastUsed_.end() ? Time{} : used->second;
}

wire::EngineOrder orderFor(wire::OrderKind kind, const std::string &adapter, std::uint64_t version,
                           std::uint64_t orders)
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

/// The adapter whose place can be taken; empty where all are in use.
std::optional<std::string> leastUsed(const ResidencyPlan &plan, const wire::EngineReport &report,
                                     Time now)
{
    const wire::HeldAdapter *least = nullptr;
    for (const wire::HeldAdapter &held : report.adapters_) {
        if (plan.wishes_.contains(held.adapter_) || plan.unloading_.contains(held.adapter_)
            || plan.replacing_.contains(held.adapter_)
            || now - lastUseOf(plan, held.adapter_) < keepAfterUse)
            continue;
        if (least == nullptr || lastUseOf(plan, held.adapter_) < lastUseOf(plan, least->adapter_))
            least = &held;
    }
    return least == nullptr ? std::nullopt : std::optional(least->adapter_);
}

} // namespace

std::uint32_t adapterPlaces(const EngineLimits &limits, const std::vector<std::string> &models)
{
    double free = limits.weightsMb_;
    double adapterMb = 0;
    for (const ServedModel &model : limits.models_) {
        if (std::find(models.begin(), models.end(), model.name_) == models.end())
            continue;
        free -= model.weightsMb_;
        adapterMb = std::max(adapterMb, model.adapterMb_);
    }
    if (adapterMb <= 0)
        return limits.adapterSlots_;
    const double fitting = std::max(free / adapterMb, 0.0);
    return std::min(limits.adapterSlots_, static_cast<std::uint32_t>(fitting));
}

void takeWish(ResidencyPlan &plan, const std::string &adapter, std::uint64_t version,
              std::uint32_t requests, Time now)
{
    WishedAdapter &wish = plan.wishes_[adapter];
    if (wish.firstAt_ == Time{})
        wish.firstAt_ = now;
    wish.version_ = std::max(wish.version_, version);
    wish.requests_ = std::max(wish.requests_, requests);
    wish.lastAt_ = now;
}

void noteUse(ResidencyPlan &plan, NameMark adapter, Time now)
{
    plan.lastUsed_[adapter] = now;
}

void noteAccepted(ResidencyPlan &plan, const wire::EngineOrder &order,
                  const wire::EngineReport &report, Time now)
{
    if (order.adapter_.empty())
        return;
    const std::string adapter = order.model_ + "/" + order.adapter_;
    if (order.kind_ == wire::OrderKind::Unload)
        plan.unloading_[adapter] = now;
    else if (holds(report.adapters_, adapter, 0))
        plan.replacing_[adapter] = now;
}

void expirePlan(ResidencyPlan &plan, const wire::EngineReport &report, Time now)
{
    std::erase_if(plan.wishes_, [&](const auto &wish) {
        const bool fulfilled =
            holds(report.adapters_, wish.first, std::max<std::uint64_t>(wish.second.version_, 1));
        if (fulfilled)
            plan.lastUsed_[markOf(wish.first)] = now;
        return fulfilled || now - wish.second.lastAt_ > wishLife;
    });
    std::erase_if(plan.unloading_, [&](const auto &unload) {
        return !holds(report.adapters_, unload.first, 0) || now - unload.second > unloadLife;
    });
    std::erase_if(plan.replacing_, [&](const auto &replacement) {
        const auto wish = plan.wishes_.find(replacement.first);
        const bool done = wish == plan.wishes_.end()
            ? !holds(report.adapters_, replacement.first, 0)
            : holds(report.adapters_, replacement.first, wish->second.version_);
        return done || now - replacement.second > unloadLife;
    });
    std::erase_if(plan.lastUsed_, [&](const auto &use) { return now - use.second > useLife; });
}

std::optional<wire::EngineOrder> nextOrder(const ResidencyPlan &plan,
                                           const wire::EngineReport &report,
                                           const EngineLimits &limits, Time now)
{
    if (report.models_.empty()) {
        if (report.busy_ || limits.models_.empty())
            return std::nullopt;
        return orderFor(wire::OrderKind::Load, limits.models_.front().name_, 0, report.orders_);
    }
    if (report.incoming_.size() >= adapterLoadsAtOnce)
        return std::nullopt;
    const std::pair<const std::string, WishedAdapter> *next = nullptr;
    for (const auto &wish : plan.wishes_) {
        if (holds(report.incoming_, wish.first, wish.second.version_))
            continue;
        // An adapter that goes, or is being replaced, is not touched until that is done: both
        // orders would be carried out when its runs end, and together they could need a place more
        // than there is.
        if (plan.unloading_.contains(wish.first) || plan.replacing_.contains(wish.first))
            continue;
        // A replacement waits for the runs of the older version, and until then the engine takes no
        // other order.
        if (holds(report.adapters_, wish.first, 0)
            && now - lastUseOf(plan, wish.first) < keepAfterUse)
            continue;
        if (next == nullptr || comesBefore(wish.second, next->second))
            next = &wish;
    }
    if (next == nullptr)
        return std::nullopt;
    const std::string model = next->first.substr(0, next->first.find('/'));
    if (std::find(report.models_.begin(), report.models_.end(), model) == report.models_.end())
        return std::nullopt;
    // A newer version takes the place of the older one.
    const bool replaces = holds(report.adapters_, next->first, 0);
    const std::size_t taken = report.adapters_.size() + report.incoming_.size();
    if (!replaces && taken >= adapterPlaces(limits, report.models_)) {
        // Each waiting unload makes place for one of the adapters wished for.
        if (plan.unloading_.size() >= plan.wishes_.size())
            return std::nullopt;
        const std::optional<std::string> drop = leastUsed(plan, report, now);
        if (!drop)
            return std::nullopt;
        return orderFor(wire::OrderKind::Unload, *drop, 0, report.orders_);
    }
    return orderFor(wire::OrderKind::Load, next->first, next->second.version_, report.orders_);
}

} // namespace eelgrasscove
