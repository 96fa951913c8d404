#pragma once

/// Test fixture that runs a target scheduler in virtual time, with rules, offers and accessors for
/// its actions.

#include "Target/scheduler.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasscove {

constexpr Incarnation schedulerIncarnation{1000};
constexpr FencingNumber schedulerFencing{1000};

inline TargetSettings engineSettings()
{
    TargetSettings target;
    target.group_ = {"runners"};
    target.adapterSlots_ = 2;
    target.batchSlots_ = 2;
    target.queue_ = 8;
    target.loadsPerSecond_ = 100;
    target.loadsAtOnce_ = 2;
    return target;
}

inline TargetSettings serviceSettings()
{
    TargetSettings target = engineSettings();
    target.engine_ = false;
    target.group_ = {"records"};
    return target;
}

inline AdapterKey makeAdapter(const std::string &name, const std::string &version = "1")
{
    return {.adapter_ = {name}, .version_ = {version}};
}

/// Returns rules with adapters a to f, each with a route of the same name, accounts 1 to 3 with
/// keys k1 to k3, an open route and a non-idempotent service.
inline Rules makeRules(std::uint64_t revision)
{
    Rules rules;
    rules.revision_ = {revision};
    for (const char *number : {"1", "2", "3"}) {
        const KeyId key{std::string("k") + number};
        rules.keys_[key] = {.id_ = key, .account_ = {std::string("account") + number}};
    }
    for (const char *name : {"a", "b", "c", "d", "e", "f"}) {
        rules.routes_[{name}] = {.route_ = {name},
                                 .accounts_ = {{"account1"}, {"account2"}, {"account3"}},
                                 .targets_ = {"runners"},
                                 .adapter_ = makeAdapter(name)};
    }
    rules.routes_[{"open"}] = {.route_ = {"open"},
                               .openToAll_ = true,
                               .targets_ = {"runners"},
                               .adapter_ = makeAdapter("a")};
    rules.routes_[{"book"}] = {.route_ = {"book"},
                               .kind_ = RouteKind::Service,
                               .accounts_ = {{"account1"}},
                               .idempotent_ = false,
                               .targets_ = {"records"},
                               .method_ = "POST",
                               .pathPrefix_ = "/records"};
    return rules;
}

inline Offer makeOffer(const std::string &attempt, const std::string &route = "a",
                       const std::string &account = "1")
{
    Offer offer;
    offer.attempt_ = {attempt};
    offer.request_ = {"request-" + attempt};
    offer.targetIncarnation_ = schedulerIncarnation;
    offer.account_ = {"account" + account};
    offer.keyId_ = {"k" + account};
    offer.route_ = {route};
    offer.rulesRevision_ = {1};
    offer.adapter_ = makeAdapter(route);
    offer.reservedTokens_ = 100;
    offer.promptTokens_ = 10;
    offer.timeLeftMicros_ = 60'000'000;
    offer.method_ = "POST";
    offer.path_ = "/v1/completions";
    offer.body_ = "{}";
    offer.fingerprint_ = {"print-" + attempt};
    return offer;
}

inline Offer makeBooking(const std::string &attempt)
{
    Offer offer = makeOffer(attempt, "book");
    offer.adapter_ = {};
    offer.idempotent_ = false;
    offer.path_ = "/records/1";
    return offer;
}

/// A target scheduler, its clock, and its actions since the last clear().
struct SchedulerFixture
{
    explicit SchedulerFixture(const TargetSettings &target = engineSettings())
        : scheduler_(makeScheduler(schedulerPolicy(target, {}), schedulerIncarnation,
                                   schedulerFencing, now_))
    {
        apply(RulesReceived{makeRules(1)});
    }

    void apply(SchedulerInput input)
    {
        for (SchedulerAction &action : step(scheduler_, std::move(input), now_))
            actions_.push_back(std::move(action));
    }

    void receive(Message message) { apply(MessageReceived{"entry", std::move(message)}); }
    void applyEvent(EngineEvent engineEvent) { apply(std::move(engineEvent)); }
    void advance(Duration duration)
    {
        now_ += duration;
        apply(TimePassed{});
    }
    void clear() { actions_.clear(); }

    /// Reports this state for the outstanding reading, and for any that is requested meanwhile.
    void reportEngineState(const EngineState &engineState)
    {
        do
            applyEvent(EngineStateReceived{scheduler_.engine_.lastRead_, engineState});
        while (scheduler_.engine_.isReadOutstanding_);
    }

    void reportUnreachable() { applyEvent(EngineUnreachable{scheduler_.engine_.lastRead_}); }

    /// Applies the first tick and a state of the engine with these resident adapters.
    void bringUp(const std::vector<AdapterKey> &adapters = {})
    {
        apply(TimePassed{});
        reportEngineState(makeEngineState(adapters));
    }

    static EngineState makeEngineState(const std::vector<AdapterKey> &adapters,
                                       std::uint64_t incarnation = 1)
    {
        EngineState engineState;
        engineState.incarnation_ = {incarnation};
        engineState.adapters_ = adapters;
        return engineState;
    }

    /// Returns the messages of one type, in order.
    template <class T>
    std::vector<T> sentMessages() const
    {
        std::vector<T> messages;
        for (const SchedulerAction &action : actions_) {
            const auto *send = std::get_if<MessageToSend>(&action);
            if (send && std::holds_alternative<T>(send->message_))
                messages.push_back(std::get<T>(send->message_));
        }
        return messages;
    }

    /// Returns the engine commands of one type, in order.
    template <class T>
    std::vector<T> commands() const
    {
        std::vector<T> orders;
        for (const SchedulerAction &action : actions_) {
            const auto *command = std::get_if<EngineCommand>(&action);
            if (command && std::holds_alternative<T>(*command))
                orders.push_back(std::get<T>(*command));
        }
        return orders;
    }

    std::vector<AdapterOrder> orders(OrderKind kind) const
    {
        std::vector<AdapterOrder> all = commands<AdapterOrder>();
        std::erase_if(all, [kind](const AdapterOrder &order) { return order.kind_ != kind; });
        return all;
    }

    bool hasStarted(const std::string &attempt) const
    {
        const auto starts = commands<StartRun>();
        return std::any_of(starts.begin(), starts.end(),
                           [&](const StartRun &start) { return start.attempt_.text_ == attempt; });
    }

    /// Returns why the attempt was refused; None if it was not.
    Reason refusalReason(const std::string &attempt) const
    {
        for (const OfferRefused &refusal : sentMessages<OfferRefused>()) {
            if (refusal.attempt_.text_ == attempt)
                return refusal.reason_;
        }
        return Reason::None;
    }

    /// Returns the failure of the attempt; its reason is None if it did not fail.
    AttemptFailed failureOf(const std::string &attempt) const
    {
        for (const AttemptFailed &failure : sentMessages<AttemptFailed>()) {
            if (failure.attempt_.text_ == attempt)
                return failure;
        }
        return {};
    }

    /// Reports this outcome for the last order.
    void endOrder(OrderOutcome outcome)
    {
        const AdapterOrder order = commands<AdapterOrder>().back();
        applyEvent(OrderEnded{order.orderNumber_, order.kind_, order.adapter_, outcome});
    }

    Time now_{Duration(1'000'000)};
    TargetScheduler scheduler_;
    std::vector<SchedulerAction> actions_;
};

inline std::ostream &operator<<(std::ostream &out, Reason reason)
{
    return out << nameOf(reasonNames, reason);
}

inline std::ostream &operator<<(std::ostream &out, RunState state)
{
    return out << nameOf(runStateNames, state);
}

} // namespace eelgrasscove
