#define BOOST_TEST_MODULE LoadPlay
#include "Agent/residencyplan.h"
#include "Edge/adapterdemand.h"
#include "Edge/enginemodel.h"
#include "Edge/placement.h"
#include "Edge/waitingorder.h"
#include "Edge/windowsum.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

/// Simulates the load of both deployments in virtual time and compares the product's placement with
/// simple policies by the requests served and the objectives met.

namespace {

constexpr Duration tick = 5ms;
/// Engine parameters of the deployments, as the requirements state them.
constexpr std::uint32_t slots = 64;
constexpr Duration storeLoadTime = 250ms;
constexpr Duration cachedLoadTime = 25ms;
constexpr Duration runTime = 1600ms;
constexpr Duration maximumWait = 2400ms;
/// Window over which an entry counts ended requests.
constexpr Duration endedWindow = 2s;
/// Period and maximum delay of an agent's reports to the entries.
constexpr Duration reportPeriod = 25ms;

enum class Policy {
    Product,
    /// The product's placement without predictions of the time to the first event: by slots.
    BySlots,
    /// The product's placement, but waiting requests are tried in the order of their arrival.
    FirstComeFirstServed,
    RoundRobin,
    LeastLoaded,
    PlainHashing,
};

struct Load
{
    std::size_t engines_ = 12;
    double perSecond_ = 125;
    std::size_t adapters_ = 3000;
    double zipf_ = 1.2;
    /// Number of ranks by which the adapters' popularity shifts after half of the span.
    std::size_t rankShift_ = 0;
    /// Engines start without their model, which takes this long to load.
    Duration modelLoadTime_{};
    /// Number of concurrent loads above which each load from the store takes proportionally longer.
    std::size_t concurrentLoadLimit_ = 16;
    std::uint32_t adapterSlots_ = 26;
    Duration objective_ = 500ms;
    Duration pauseObjective_ = 300ms;
    /// Prompts are read one after another. Their tokens have a lognormal distribution with this
    /// mean and this standard deviation of the logarithm.
    double meanPromptTokens_ = 800;
    double promptSpread_ = 0;
    double promptTokensPerMilli_ = 38;
    /// Time factor of every third engine.
    double slowness_ = 1;
    Duration span_ = 20s;
};

struct Outcome
{
    std::size_t requests_ = 0;
    /// Requests whose first event met the objective.
    std::size_t objectivesMet_ = 0;
    std::size_t served_ = 0;
    /// Adapter loads from the store.
    std::size_t storeLoads_ = 0;
    /// Requests refused after more than half of the maximum wait.
    std::size_t refusedAfterLongWait_ = 0;
};

struct Request
{
    std::string adapter_;
    Time arrivedAt_;
    double promptTokens_ = 0;
    std::size_t engine_ = 0;
    bool placed_ = false;
    /// The request waits for a free slot, not for its adapter.
    bool awaitsRoom_ = false;
};

struct Engine
{
    TargetState state_;
    wire::EngineReport report_;
    ResidencyPlan plan_;
    std::map<std::string, Time> pendingLoads_;
    std::set<std::string> cached_;
    std::deque<Time> runEnds_;
    Time prefillUntil_;
    Time reportedAt_;
    /// A request whose prompt is being read or waits to be.
    struct Reading
    {
        Time sentAt_;
        Time firstEventAt_;
        double promptTokens_ = 0;
        double tokensAhead_ = 0;
    };
    std::deque<Reading> readings_;
};

class Simulation
{
public:
    Simulation(const Load &load, Policy policy)
        : load_(load), policy_(policy), engines_(load.engines_)
    {
        limits_.weightsMb_ = 75900;
        limits_.adapterSlots_ = load.adapterSlots_;
        limits_.models_ = {{"base", 72700, 66, 3000}};
        for (std::size_t at = 0; at < engines_.size(); ++at) {
            TargetState &state = engines_[at].state_;
            state.listed_.id_ = "i-" + std::to_string(at);
            state.listed_.address_ = "10.0.0." + std::to_string(at) + ":80";
            state.listed_.slots_ = slots;
            state.hasAgentReport_ = true;
        }
        for (std::size_t rank = 1; rank <= load.adapters_; ++rank)
            weights_.push_back(std::pow(static_cast<double>(rank), -load.zipf_));
    }

    Outcome run()
    {
        std::discrete_distribution<std::size_t> ranks(weights_.begin(), weights_.end());
        double pendingRequests = 0;
        const Time begin = Time(100s);
        for (now_ = begin; now_ < begin + load_.span_ + 5s; now_ += tick) {
            if (load_.modelLoadTime_ == Duration::zero() || now_ >= begin + load_.modelLoadTime_) {
                for (Engine &engine : engines_)
                    engine.report_.models_ = {"base"};
            }
            pendingRequests += now_ < begin + load_.span_
                ? load_.perSecond_ * std::chrono::duration<double>(tick).count()
                : 0;
            while (pendingRequests >= 1) {
                pendingRequests -= 1;
                const std::size_t shift = now_ > begin + load_.span_ / 2 ? load_.rankShift_ : 0;
                waiting_.push_back(
                    {"base/a" + std::to_string((ranks(random_) + shift) % load_.adapters_), now_,
                     drawPromptTokens(), 0, false, false});
                recordPrompt(serviceModel_, waiting_.back().promptTokens_);
                recordAdapterRequest(demand_, nameHash(waiting_.back().adapter_), now_);
                ++outcome_.requests_;
            }
            for (Engine &engine : engines_)
                advance(engine);
            placeAll();
        }
        return outcome_;
    }

private:
    double drawPromptTokens()
    {
        if (load_.promptSpread_ <= 0)
            return load_.meanPromptTokens_;
        const double spread = load_.promptSpread_;
        std::lognormal_distribution<double> tokens(
            std::log(load_.meanPromptTokens_) - spread * spread / 2, spread);
        return std::min(tokens(promptRandom_), 4 * load_.meanPromptTokens_);
    }

    void advance(Engine &engine)
    {
        PromptBacklog &backlog = engine.state_.promptBacklog_;
        while (!engine.readings_.empty() && engine.readings_.front().firstEventAt_ <= now_) {
            const Engine::Reading &begun = engine.readings_.front();
            const Duration elapsed = begun.firstEventAt_ - begun.sentAt_;
            recordFirstEvent(engine.state_.engineModel_, begun.tokensAhead_, elapsed);
            recordFirstEvent(serviceModel_, begun.tokensAhead_, elapsed);
            --backlog.ownRequests_;
            backlog.ownTokens_ -= begun.promptTokens_;
            engine.readings_.pop_front();
        }
        while (!engine.runEnds_.empty() && engine.runEnds_.front() <= now_) {
            engine.runEnds_.pop_front();
            ended_.add(1, now_);
            --engine.state_.outstanding_;
        }
        for (auto load = engine.pendingLoads_.begin(); load != engine.pendingLoads_.end();) {
            if (load->second > now_) {
                ++load;
                continue;
            }
            engine.report_.adapters_.push_back({load->first, 1});
            std::erase_if(engine.report_.incoming_,
                          [&](const auto &held) { return held.adapter_ == load->first; });
            load = engine.pendingLoads_.erase(load);
        }
        expirePlan(engine.plan_, engine.report_, now_);
        for (int orders = 0; orders < 2; ++orders) {
            const auto order = nextOrder(engine.plan_, engine.report_, limits_, now_);
            if (!order || order->adapter_.empty())
                break;
            applyOrder(engine, *order);
        }
        if (now_ - engine.reportedAt_ >= reportPeriod) {
            engine.reportedAt_ = now_;
            report(engine);
        }
    }

    void applyOrder(Engine &engine, const wire::EngineOrder &order)
    {
        const std::string adapter = order.model_ + "/" + order.adapter_;
        if (order.kind_ == wire::EngineOrderKind::Unload) {
            std::erase_if(engine.report_.adapters_,
                          [&](const auto &held) { return held.adapter_ == adapter; });
            return;
        }
        std::size_t concurrentLoads = 1;
        for (const Engine &each : engines_)
            concurrentLoads += each.pendingLoads_.size();
        const bool isCached = engine.cached_.contains(adapter);
        const double slowdown = std::max(1.0,
                                         static_cast<double>(concurrentLoads)
                                             / static_cast<double>(load_.concurrentLoadLimit_));
        engine.pendingLoads_[adapter] = now_
            + (isCached ? cachedLoadTime
                        : std::chrono::duration_cast<Duration>(storeLoadTime * slowdown));
        engine.report_.incoming_.push_back({adapter, 1});
        engine.cached_.insert(adapter);
        outcome_.storeLoads_ += isCached ? 0 : 1;
    }

    void report(Engine &engine)
    {
        TargetState &state = engine.state_;
        state.agentReportedAt_ = state.lastContactAt_ = now_;
        recordLoad(state, static_cast<std::uint32_t>(engine.runEnds_.size()), 0, now_);
        recordUnread(state.promptBacklog_, static_cast<std::uint32_t>(engine.readings_.size()),
                     now_);
        state.models_.clear();
        for (const std::string &model : engine.report_.models_)
            state.models_.insert(nameHash(model));
        state.adapters_.clear();
        state.incoming_.clear();
        state.pendingLoads_ = 0;
        for (const auto &held : engine.report_.adapters_)
            state.adapters_[nameHash(held.adapter_)] = held.version_;
        for (const auto &held : engine.report_.incoming_)
            state.incoming_[nameHash(held.adapter_)] = 1;
        for (const auto &[adapter, request] : engine.plan_.requestedAdapters_) {
            state.pendingLoads_ += state.incoming_.contains(nameHash(adapter)) ? 0 : 1;
            state.incoming_[nameHash(adapter)] = 0;
        }
    }

    WaitingRequest waitingOf(const Request &request) const
    {
        return {0, request.arrivedAt_ + load_.objective_, request.arrivedAt_ + maximumWait};
    }

    void placeAll()
    {
        if (policy_ == Policy::Product || policy_ == Policy::BySlots) {
            waiting_.sort([&](const Request &left, const Request &right) {
                return isOrderedBefore(waitingOf(left), waitingOf(right), now_);
            });
            refuseUnservable();
        }
        waiting_.remove_if([&](Request &request) {
            if (now_ - request.arrivedAt_ > maximumWait) {
                ++outcome_.refusedAfterLongWait_;
                return true;
            }
            const std::optional<std::size_t> at = choose(request);
            return at && send(request, *at);
        });
    }

    void refuseUnservable()
    {
        std::vector<WaitingRequest> inOrder;
        for (const Request &request : waiting_) {
            if (request.awaitsRoom_)
                inOrder.push_back(waitingOf(request));
        }
        const double perSecond =
            ended_.sum(now_) / std::chrono::duration<double>(endedWindow).count();
        const std::vector<bool> unservable = findUnservable(inOrder, perSecond, now_);
        std::size_t at = 0;
        waiting_.remove_if([&](const Request &request) {
            if (!request.awaitsRoom_)
                return false;
            const bool refused = unservable[at++];
            const bool late = now_ - request.arrivedAt_ > maximumWait / 2;
            outcome_.refusedAfterLongWait_ += refused && late ? 1 : 0;
            return refused;
        });
    }

    /// Returns the engine to send the request to now, if any. Requests a load of the adapter where
    /// it has to be loaded.
    std::optional<std::size_t> choose(Request &request)
    {
        if (policy_ == Policy::Product || policy_ == Policy::BySlots
            || policy_ == Policy::FirstComeFirstServed) {
            PlacementQuery query;
            query.model_ = "base";
            query.adapter_ = request.adapter_;
            query.promptTokens_ = request.promptTokens_;
            query.objective_ = load_.objective_;
            query.pauseObjective_ = load_.pauseObjective_;
            query.objectiveLeft_ = request.arrivedAt_ + load_.objective_ - now_;
            if (policy_ != Policy::BySlots)
                query.serviceModel_ = &serviceModel_;
            query.requestsPerSecond_ = requestRateOf(demand_, nameHash(request.adapter_), now_);
            std::vector<TargetState *> targets;
            for (Engine &engine : engines_)
                targets.push_back(&engine.state_);
            const Placement place = choosePlacement(targets, query, now_);
            const auto indexOf = [&](const TargetState *state) {
                return static_cast<std::size_t>(std::find(targets.begin(), targets.end(), state)
                                                - targets.begin());
            };
            if (place.replicaTarget_ != nullptr)
                requestLoad(indexOf(place.replicaTarget_), request.adapter_);
            request.awaitsRoom_ = place.kind_ == PlacementKind::AwaitRoom;
            if (place.kind_ == PlacementKind::Send)
                return indexOf(place.target_);
            if (place.kind_ == PlacementKind::AwaitAdapter)
                requestLoad(indexOf(place.target_), request.adapter_);
            return std::nullopt;
        }
        if (!request.placed_) {
            request.placed_ = true;
            request.engine_ = chooseBySimplePolicy(request.adapter_);
        }
        const Engine &engine = engines_[request.engine_];
        if (engine.report_.models_.empty())
            return std::nullopt;
        if (engine.state_.adapters_.contains(nameHash(request.adapter_)))
            return request.engine_;
        requestLoad(request.engine_, request.adapter_);
        return std::nullopt;
    }

    std::size_t chooseBySimplePolicy(const std::string &adapter)
    {
        if (policy_ == Policy::RoundRobin)
            return nextEngine_++ % engines_.size();
        if (policy_ == Policy::PlainHashing)
            return nameHash(adapter) % engines_.size();
        const auto least = std::min_element(engines_.begin(), engines_.end(),
                                            [&](const Engine &left, const Engine &right) {
                                                return left.runEnds_.size() < right.runEnds_.size();
                                            });
        return static_cast<std::size_t>(least - engines_.begin());
    }

    void requestLoad(std::size_t at, const std::string &adapter)
    {
        addLoadRequest(engines_[at].plan_, adapter, 0, 1, now_);
        engines_[at].state_.incoming_.try_emplace(nameHash(adapter), 0);
    }

    bool send(const Request &request, std::size_t at)
    {
        Engine &engine = engines_[at];
        const bool resident =
            std::any_of(engine.report_.adapters_.begin(), engine.report_.adapters_.end(),
                        [&](const auto &held) { return held.adapter_ == request.adapter_; });
        if (!resident || engine.runEnds_.size() >= slots)
            return false;
        recordUse(engine.plan_, nameHash(request.adapter_), now_);
        const auto index = &engine - engines_.data();
        const double millis = request.promptTokens_ / load_.promptTokensPerMilli_
            * (index % 3 == 2 ? load_.slowness_ : 1);
        engine.prefillUntil_ = std::max(engine.prefillUntil_, now_)
            + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double, std::milli>(millis));
        PromptBacklog &backlog = engine.state_.promptBacklog_;
        const double unread = unreadTokens(backlog, serviceModel_.meanPromptTokens_, now_);
        engine.readings_.push_back(
            {now_, engine.prefillUntil_, request.promptTokens_, unread + request.promptTokens_});
        ++backlog.ownRequests_;
        backlog.ownTokens_ += request.promptTokens_;
        const double slowdown = 1 + 0.3 * static_cast<double>(engine.runEnds_.size()) / slots;
        engine.runEnds_.push_back(engine.prefillUntil_
                                  + std::chrono::duration_cast<Duration>(runTime * slowdown));
        ++engine.state_.outstanding_;
        ++outcome_.served_;
        outcome_.objectivesMet_ +=
            engine.prefillUntil_ - request.arrivedAt_ <= load_.objective_ ? 1 : 0;
        return true;
    }

    Load load_;
    Policy policy_;
    std::vector<Engine> engines_;
    std::vector<double> weights_;
    EngineLimits limits_;
    std::list<Request> waiting_;
    Outcome outcome_;
    AdapterDemand demand_;
    EngineModel serviceModel_;
    WindowSum ended_{endedWindow};
    std::minstd_rand random_{11};
    std::minstd_rand promptRandom_{12};
    std::size_t nextEngine_ = 0;
    Time now_;
};

void compare(const std::string &name, const Load &load)
{
    const Outcome product = Simulation(load, Policy::Product).run();
    BOOST_TEST_MESSAGE(name << ": product " << product.objectivesMet_ << " met the objective, "
                            << product.served_ << " served of " << product.requests_ << ", "
                            << product.storeLoads_ << " fetched");
    for (const Policy policy : {Policy::RoundRobin, Policy::LeastLoaded, Policy::PlainHashing}) {
        const Outcome simple = Simulation(load, policy).run();
        BOOST_TEST_MESSAGE("  policy " << static_cast<int>(policy) << ": " << simple.objectivesMet_
                                       << " met the objective, " << simple.served_ << " served, "
                                       << simple.storeLoads_ << " fetched");
        BOOST_TEST(product.objectivesMet_ >= simple.objectivesMet_,
                   name << ", policy " << static_cast<int>(policy));
        BOOST_TEST(product.served_ >= simple.served_,
                   name << ", policy " << static_cast<int>(policy));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(placement_serves_the_usual_load_at_least_as_well_as_simple_policies)
{
    compare("usual", Load{});
}

BOOST_AUTO_TEST_CASE(
    placement_serves_a_heavy_load_with_shifting_demand_at_least_as_well_as_simple_policies)
{
    Load load;
    load.perSecond_ = 220;
    load.rankShift_ = 40;
    compare("heavy", load);
}

BOOST_AUTO_TEST_CASE(
    placement_serves_a_simultaneous_start_of_all_engines_at_least_as_well_as_simple_policies)
{
    Load load;
    load.modelLoadTime_ = 1250ms;
    load.span_ = 8s;
    compare("start of all", load);
}

BOOST_AUTO_TEST_CASE(placement_serves_a_larger_deployment_at_least_as_well_as_simple_policies)
{
    Load load;
    load.engines_ = 44;
    load.perSecond_ = 420;
    load.adapters_ = 10000;
    load.concurrentLoadLimit_ = 40;
    load.span_ = 10s;
    compare("grown", load);
}

BOOST_AUTO_TEST_CASE(under_overload_more_requests_meet_the_objective_than_first_come_first_served)
{
    Load load;
    load.perSecond_ = 420;
    load.adapters_ = 100;
    load.span_ = 12s;
    const Outcome product = Simulation(load, Policy::Product).run();
    const Outcome firstComeFirstServed = Simulation(load, Policy::FirstComeFirstServed).run();
    for (const auto &[name, outcome] :
         {std::pair("product", product), {"first come first served", firstComeFirstServed}}) {
        BOOST_TEST_MESSAGE("overload, " << name << ": " << outcome.objectivesMet_
                                        << " met the objective, " << outcome.served_
                                        << " served of " << outcome.requests_ << ", "
                                        << outcome.refusedAfterLongWait_ << " refused late");
    }
    // The engines do the same work in both cases; only the order differs. To users, a late response
    // is worth 0.3 of one that meets the objective.
    const auto value = [](const Outcome &outcome) {
        return static_cast<double>(outcome.objectivesMet_)
            + 0.3 * static_cast<double>(outcome.served_ - outcome.objectivesMet_);
    };
    BOOST_TEST(product.objectivesMet_ > firstComeFirstServed.objectivesMet_);
    BOOST_TEST(value(product) > 1.25 * value(firstComeFirstServed));
    // At most the requests in excess of the engines' capacity are refused after a long wait.
    const double seconds = std::chrono::duration<double>(load.span_).count();
    const double fullRun = 1.3 * std::chrono::duration<double>(runTime).count();
    const double capacity = static_cast<double>(load.engines_) * slots / fullRun * seconds;
    BOOST_TEST(static_cast<double>(product.refusedAfterLongWait_)
               <= load.perSecond_ * seconds - capacity);
}

BOOST_AUTO_TEST_CASE(long_prompts_begin_in_time_more_often_than_when_placed_by_slots)
{
    // Three quarters of the time of all engines goes into reading prompts.
    Load load;
    load.engines_ = 18;
    load.perSecond_ = 100;
    load.adapterSlots_ = 6;
    load.objective_ = 1s;
    load.pauseObjective_ = 400ms;
    load.meanPromptTokens_ = 2300;
    load.promptSpread_ = 0.9;
    load.promptTokensPerMilli_ = 19.2;
    load.slowness_ = 1.3;
    compare("long prompts", load);
    const Outcome product = Simulation(load, Policy::Product).run();
    const Outcome bySlots = Simulation(load, Policy::BySlots).run();
    for (const auto &[name, outcome] : {std::pair("product", product), {"by slots", bySlots}}) {
        BOOST_TEST_MESSAGE("long prompts, "
                           << name << ": " << outcome.objectivesMet_ << " met the objective, "
                           << outcome.served_ << " served of " << outcome.requests_ << ", "
                           << outcome.storeLoads_ << " fetched, " << outcome.refusedAfterLongWait_
                           << " refused late");
    }
    BOOST_TEST(product.objectivesMet_ > bySlots.objectivesMet_);
    BOOST_TEST(product.served_ >= bySlots.served_);
}
