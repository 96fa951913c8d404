#define BOOST_TEST_MODULE LoadPlay
#include "Agent/residencyplan.h"
#include "Edge/adapterdemand.h"
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

/// Plays the load of the two deployments in virtual time against the placing of the product and
/// simple policies, and compares what callers get.

namespace {

constexpr Duration tick = 5ms;
/// Engines as the users' pages give them.
constexpr std::uint32_t slots = 64;
constexpr std::uint32_t places = 26;
constexpr Duration freshLoad = 250ms;
constexpr Duration warmLoad = 25ms;
constexpr Duration runTime = 1600ms;
constexpr Duration objective = 500ms;
constexpr Duration patience = 2400ms;
/// Span in which an entry counts answers.
constexpr Duration endedSpan = 2s;
/// What an agent tells reaches the entries so late.
constexpr Duration news = 25ms;

enum class Policy {
    Product,
    /// The product's placing, but those that wait are tried in the order in which they came.
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
    /// All ranks move on by this after half of the time.
    std::size_t shift_ = 0;
    /// Engines begin without their model, which takes this long.
    Duration modelLoad_{};
    /// Fresh loads beyond which each takes longer in proportion.
    std::size_t loadsOfAll_ = 16;
    Duration span_ = 20s;
};

struct Outcome
{
    std::size_t asked_ = 0;
    std::size_t inTime_ = 0;
    std::size_t served_ = 0;
    std::size_t fetched_ = 0;
    /// Refused after a wait of more than half of the patience.
    std::size_t refusedLate_ = 0;
};

struct Request
{
    std::string adapter_;
    Time arrivedAt_;
    std::size_t engine_ = 0;
    bool placed_ = false;
    /// It waits for room, not for its adapter.
    bool awaitsRoom_ = false;
};

struct Engine
{
    TargetBelief belief_;
    wire::EngineReport report_;
    ResidencyPlan plan_;
    std::map<std::string, Time> arriving_;
    std::set<std::string> held_;
    std::deque<Time> runEnds_;
    Time prefillUntil_;
    Time toldAt_;
};

class Play
{
public:
    Play(const Load &load, Policy policy) : load_(load), policy_(policy), engines_(load.engines_)
    {
        limits_.weightsMb_ = 75900;
        limits_.adapterSlots_ = places;
        limits_.models_ = {{"base", 72700, 66, 3000}};
        for (std::size_t at = 0; at < engines_.size(); ++at) {
            TargetBelief &belief = engines_[at].belief_;
            belief.listed_.id_ = "i-" + std::to_string(at);
            belief.listed_.address_ = "10.0.0." + std::to_string(at) + ":80";
            belief.listed_.slots_ = slots;
            belief.agentHeard_ = true;
        }
        for (std::size_t rank = 1; rank <= load.adapters_; ++rank)
            weights_.push_back(std::pow(static_cast<double>(rank), -load.zipf_));
    }

    Outcome play()
    {
        std::discrete_distribution<std::size_t> ranks(weights_.begin(), weights_.end());
        double owed = 0;
        const Time begin = Time(100s);
        for (now_ = begin; now_ < begin + load_.span_ + 5s; now_ += tick) {
            if (load_.modelLoad_ == Duration::zero() || now_ >= begin + load_.modelLoad_) {
                for (Engine &engine : engines_)
                    engine.report_.models_ = {"base"};
            }
            owed += now_ < begin + load_.span_
                ? load_.perSecond_ * std::chrono::duration<double>(tick).count()
                : 0;
            while (owed >= 1) {
                owed -= 1;
                const std::size_t moved = now_ > begin + load_.span_ / 2 ? load_.shift_ : 0;
                waiting_.push_back(
                    {"base/a" + std::to_string((ranks(random_) + moved) % load_.adapters_), now_, 0,
                     false, false});
                noteAsked(demand_, markOf(waiting_.back().adapter_), now_);
                ++outcome_.asked_;
            }
            for (Engine &engine : engines_)
                turn(engine);
            placeAll();
        }
        return outcome_;
    }

private:
    void turn(Engine &engine)
    {
        while (!engine.runEnds_.empty() && engine.runEnds_.front() <= now_) {
            engine.runEnds_.pop_front();
            ended_.add(1, now_);
            --engine.belief_.outstanding_;
        }
        for (auto load = engine.arriving_.begin(); load != engine.arriving_.end();) {
            if (load->second > now_) {
                ++load;
                continue;
            }
            engine.report_.adapters_.push_back({load->first, 1});
            std::erase_if(engine.report_.incoming_,
                          [&](const auto &held) { return held.adapter_ == load->first; });
            load = engine.arriving_.erase(load);
        }
        expirePlan(engine.plan_, engine.report_, now_);
        for (int orders = 0; orders < 2; ++orders) {
            const auto order = nextOrder(engine.plan_, engine.report_, limits_, now_);
            if (!order || order->adapter_.empty())
                break;
            carryOut(engine, *order);
        }
        if (now_ - engine.toldAt_ >= news) {
            engine.toldAt_ = now_;
            tell(engine);
        }
    }

    void carryOut(Engine &engine, const wire::EngineOrder &order)
    {
        const std::string adapter = order.model_ + "/" + order.adapter_;
        if (order.kind_ == wire::OrderKind::Unload) {
            std::erase_if(engine.report_.adapters_,
                          [&](const auto &held) { return held.adapter_ == adapter; });
            return;
        }
        std::size_t onTheirWay = 1;
        for (const Engine &each : engines_)
            onTheirWay += each.arriving_.size();
        const bool warm = engine.held_.contains(adapter);
        const double crowd =
            std::max(1.0, static_cast<double>(onTheirWay) / static_cast<double>(load_.loadsOfAll_));
        engine.arriving_[adapter] =
            now_ + (warm ? warmLoad : std::chrono::duration_cast<Duration>(freshLoad * crowd));
        engine.report_.incoming_.push_back({adapter, 1});
        engine.held_.insert(adapter);
        outcome_.fetched_ += warm ? 0 : 1;
    }

    void tell(Engine &engine)
    {
        TargetBelief &belief = engine.belief_;
        belief.heardAt_ = belief.aliveAt_ = now_;
        noteLoad(belief, static_cast<std::uint32_t>(engine.runEnds_.size()), 0, now_);
        belief.models_.clear();
        for (const std::string &model : engine.report_.models_)
            belief.models_.insert(markOf(model));
        belief.adapters_.clear();
        belief.incoming_.clear();
        belief.loadsWaiting_ = 0;
        for (const auto &held : engine.report_.adapters_)
            belief.adapters_[markOf(held.adapter_)] = held.version_;
        for (const auto &held : engine.report_.incoming_)
            belief.incoming_[markOf(held.adapter_)] = 1;
        for (const auto &[adapter, wish] : engine.plan_.wishes_) {
            belief.loadsWaiting_ += belief.incoming_.contains(markOf(adapter)) ? 0 : 1;
            belief.incoming_[markOf(adapter)] = 0;
        }
    }

    static WaitingRequest waitingOf(const Request &request)
    {
        return {0, request.arrivedAt_ + objective, request.arrivedAt_ + patience};
    }

    void placeAll()
    {
        if (policy_ == Policy::Product) {
            waiting_.sort([&](const Request &left, const Request &right) {
                return isTriedBefore(waitingOf(left), waitingOf(right), now_);
            });
            refuseVain();
        }
        waiting_.remove_if([&](Request &request) {
            if (now_ - request.arrivedAt_ > patience) {
                ++outcome_.refusedLate_;
                return true;
            }
            const std::optional<std::size_t> at = choose(request);
            return at && send(request, *at);
        });
    }

    void refuseVain()
    {
        std::vector<WaitingRequest> inOrder;
        for (const Request &request : waiting_) {
            if (request.awaitsRoom_)
                inOrder.push_back(waitingOf(request));
        }
        const double perSecond =
            ended_.sum(now_) / std::chrono::duration<double>(endedSpan).count();
        const std::vector<bool> vain = waitInVain(inOrder, perSecond, now_);
        std::size_t at = 0;
        waiting_.remove_if([&](const Request &request) {
            if (!request.awaitsRoom_)
                return false;
            const bool refused = vain[at++];
            const bool late = now_ - request.arrivedAt_ > patience / 2;
            outcome_.refusedLate_ += refused && late ? 1 : 0;
            return refused;
        });
    }

    /// The engine to send to now; wishes for the adapter where it has to be loaded.
    std::optional<std::size_t> choose(Request &request)
    {
        if (policy_ == Policy::Product || policy_ == Policy::FirstComeFirstServed) {
            PlaceQuery query;
            query.model_ = "base";
            query.adapter_ = request.adapter_;
            query.askedPerSecond_ = askedPerSecond(demand_, markOf(request.adapter_), now_);
            std::vector<TargetBelief *> targets;
            for (Engine &engine : engines_)
                targets.push_back(&engine.belief_);
            const Place place = choosePlace(targets, query, now_);
            const auto indexOf = [&](const TargetBelief *belief) {
                return static_cast<std::size_t>(std::find(targets.begin(), targets.end(), belief)
                                                - targets.begin());
            };
            if (place.copyAt_ != nullptr)
                wish(indexOf(place.copyAt_), request.adapter_);
            request.awaitsRoom_ = place.kind_ != PlaceKind::AwaitAdapter;
            if (place.kind_ == PlaceKind::Send)
                return indexOf(place.target_);
            if (place.kind_ == PlaceKind::AwaitAdapter)
                wish(indexOf(place.target_), request.adapter_);
            return std::nullopt;
        }
        if (!request.placed_) {
            request.placed_ = true;
            request.engine_ = simpleChoice(request.adapter_);
        }
        const Engine &engine = engines_[request.engine_];
        if (engine.report_.models_.empty())
            return std::nullopt;
        if (engine.belief_.adapters_.contains(markOf(request.adapter_)))
            return request.engine_;
        wish(request.engine_, request.adapter_);
        return std::nullopt;
    }

    std::size_t simpleChoice(const std::string &adapter)
    {
        if (policy_ == Policy::RoundRobin)
            return next_++ % engines_.size();
        if (policy_ == Policy::PlainHashing)
            return markOf(adapter) % engines_.size();
        const auto least = std::min_element(engines_.begin(), engines_.end(),
                                            [&](const Engine &left, const Engine &right) {
                                                return left.runEnds_.size() < right.runEnds_.size();
                                            });
        return static_cast<std::size_t>(least - engines_.begin());
    }

    void wish(std::size_t at, const std::string &adapter)
    {
        takeWish(engines_[at].plan_, adapter, 0, 1, now_);
        engines_[at].belief_.incoming_.try_emplace(markOf(adapter), 0);
    }

    bool send(const Request &request, std::size_t at)
    {
        Engine &engine = engines_[at];
        const bool resident =
            std::any_of(engine.report_.adapters_.begin(), engine.report_.adapters_.end(),
                        [&](const auto &held) { return held.adapter_ == request.adapter_; });
        if (!resident || engine.runEnds_.size() >= slots)
            return false;
        noteUse(engine.plan_, markOf(request.adapter_), now_);
        // 800 prompt tokens at 38 a millisecond, one request after the other.
        engine.prefillUntil_ = std::max(engine.prefillUntil_, now_) + 21ms;
        const double crowd = 1 + 0.3 * static_cast<double>(engine.runEnds_.size()) / slots;
        engine.runEnds_.push_back(engine.prefillUntil_
                                  + std::chrono::duration_cast<Duration>(runTime * crowd));
        ++engine.belief_.outstanding_;
        ++outcome_.served_;
        outcome_.inTime_ += engine.prefillUntil_ - request.arrivedAt_ <= objective ? 1 : 0;
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
    WindowSum ended_{endedSpan};
    std::minstd_rand random_{11};
    std::size_t next_ = 0;
    Time now_;
};

void compare(const std::string &name, const Load &load)
{
    const Outcome product = Play(load, Policy::Product).play();
    BOOST_TEST_MESSAGE(name << ": product " << product.inTime_ << " in time, " << product.served_
                            << " served of " << product.asked_ << ", " << product.fetched_
                            << " fetched");
    for (const Policy policy : {Policy::RoundRobin, Policy::LeastLoaded, Policy::PlainHashing}) {
        const Outcome simple = Play(load, policy).play();
        BOOST_TEST_MESSAGE("  policy " << static_cast<int>(policy) << ": " << simple.inTime_
                                       << " in time, " << simple.served_ << " served, "
                                       << simple.fetched_ << " fetched");
        BOOST_TEST(product.inTime_ >= simple.inTime_,
                   name << ", policy " << static_cast<int>(policy));
        BOOST_TEST(product.served_ >= simple.served_,
                   name << ", policy " << static_cast<int>(policy));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(the_usual_load_is_served_better_than_by_simple_policies)
{
    compare("usual", Load{});
}

BOOST_AUTO_TEST_CASE(a_heavy_load_with_moving_demand_is_too)
{
    Load load;
    load.perSecond_ = 220;
    load.shift_ = 40;
    compare("heavy", load);
}

BOOST_AUTO_TEST_CASE(so_is_a_start_of_all_engines)
{
    Load load;
    load.modelLoad_ = 1250ms;
    load.span_ = 8s;
    compare("start of all", load);
}

BOOST_AUTO_TEST_CASE(and_the_load_of_a_grown_deployment)
{
    Load load;
    load.engines_ = 44;
    load.perSecond_ = 420;
    load.adapters_ = 10000;
    load.loadsOfAll_ = 40;
    load.span_ = 10s;
    compare("grown", load);
}

BOOST_AUTO_TEST_CASE(more_is_in_time_than_first_come_first_served_where_too_much_is_asked)
{
    Load load;
    load.perSecond_ = 420;
    load.adapters_ = 100;
    load.span_ = 12s;
    const Outcome product = Play(load, Policy::Product).play();
    const Outcome inTurn = Play(load, Policy::FirstComeFirstServed).play();
    for (const auto &[name, outcome] : {std::pair("product", product), {"in turn", inTurn}}) {
        BOOST_TEST_MESSAGE("too much, " << name << ": " << outcome.inTime_ << " in time, "
                                        << outcome.served_ << " served of " << outcome.asked_
                                        << ", " << outcome.refusedLate_ << " refused late");
    }
    // The engines do the same work in both; it is a matter of whose turn it is. A late answer is
    // worth 0.3 of one in time to the users.
    const auto worth = [](const Outcome &outcome) {
        return static_cast<double>(outcome.inTime_)
            + 0.3 * static_cast<double>(outcome.served_ - outcome.inTime_);
    };
    BOOST_TEST(product.inTime_ > inTurn.inTime_);
    BOOST_TEST(worth(product) > 1.25 * worth(inTurn));
    // Who is refused after a long wait is one of those above what the engines can do.
    const double seconds = std::chrono::duration<double>(load.span_).count();
    const double fullRun = 1.3 * std::chrono::duration<double>(runTime).count();
    const double able = static_cast<double>(load.engines_) * slots / fullRun * seconds;
    BOOST_TEST(static_cast<double>(product.refusedLate_) <= load.perSecond_ * seconds - able);
}
