#pragma once

/// A door in virtual time, with rules, offers and shortcuts to what it did.

#include "Target/door.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace eelgrasscove {

constexpr Incarnation doorIncarnation{1000};
constexpr FencingNumber doorFencing{1000};

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

inline AdapterKey adapterNamed(const std::string &name, const std::string &version = "1")
{
    return {.adapter_ = {name}, .version_ = {version}};
}

/// Adapters a to f, each with a route of its name; accounts 1 to 3 with keys k1 to k3; an open
/// route and a non-idempotent service.
inline Rules rulesAt(std::uint64_t revision)
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
                                 .adapter_ = adapterNamed(name)};
    }
    rules.routes_[{"open"}] = {.route_ = {"open"},
                               .openToAll_ = true,
                               .targets_ = {"runners"},
                               .adapter_ = adapterNamed("a")};
    rules.routes_[{"book"}] = {.route_ = {"book"},
                               .kind_ = RouteKind::Service,
                               .accounts_ = {{"account1"}},
                               .idempotent_ = false,
                               .targets_ = {"records"},
                               .method_ = "POST",
                               .pathPrefix_ = "/records"};
    return rules;
}

inline Offer offerOf(const std::string &attempt, const std::string &route = "a",
                     const std::string &account = "1")
{
    Offer offer;
    offer.attempt_ = {attempt};
    offer.request_ = {"request-" + attempt};
    offer.targetIncarnation_ = doorIncarnation;
    offer.account_ = {"account" + account};
    offer.keyId_ = {"k" + account};
    offer.route_ = {route};
    offer.rulesRevision_ = {1};
    offer.adapter_ = adapterNamed(route);
    offer.reservedTokens_ = 100;
    offer.promptTokens_ = 10;
    offer.timeLeftMicros_ = 60'000'000;
    offer.method_ = "POST";
    offer.path_ = "/v1/completions";
    offer.body_ = "{}";
    offer.fingerprint_ = {"print-" + attempt};
    return offer;
}

inline Offer bookingOf(const std::string &attempt)
{
    Offer offer = offerOf(attempt, "book");
    offer.adapter_ = {};
    offer.idempotent_ = false;
    offer.path_ = "/records/1";
    return offer;
}

/// One door, its clock, and all that it did since the last clear().
struct DoorFixture
{
    explicit DoorFixture(const TargetSettings &target = engineSettings())
        : door_(makeDoor(doorPolicy(target, {}), doorIncarnation, doorFencing, now_))
    {
        give(RulesReceived{rulesAt(1)});
    }

    void give(DoorInput input)
    {
        for (DoorAction &action : step(door_, std::move(input), now_))
            done_.push_back(std::move(action));
    }

    void say(Message message) { give(MessageReceived{"entry", std::move(message)}); }
    void event(EngineEvent engineEvent) { give(std::move(engineEvent)); }
    void advance(Duration duration)
    {
        now_ += duration;
        give(TimePassed{});
    }
    void clear() { done_.clear(); }

    /// Answers the reading under way, and one that was asked for meanwhile.
    void state(const EngineState &engineState)
    {
        do
            event(EngineStateRead{door_.engine_.lastRead_, engineState});
        while (door_.engine_.reading_);
    }

    void unreachable() { event(EngineUnreachable{door_.engine_.lastRead_}); }

    /// The first tick and an engine that holds these adapters.
    void up(const std::vector<AdapterKey> &adapters = {})
    {
        give(TimePassed{});
        state(stateWith(adapters));
    }

    static EngineState stateWith(const std::vector<AdapterKey> &adapters,
                                 std::uint64_t incarnation = 1)
    {
        EngineState engineState;
        engineState.incarnation_ = {incarnation};
        engineState.adapters_ = adapters;
        return engineState;
    }

    /// All messages of one type, in order.
    template <class T>
    std::vector<T> sent() const
    {
        std::vector<T> messages;
        for (const DoorAction &action : done_) {
            const auto *send = std::get_if<MessageToSend>(&action);
            if (send && std::holds_alternative<T>(send->message_))
                messages.push_back(std::get<T>(send->message_));
        }
        return messages;
    }

    /// All engine commands of one type, in order.
    template <class T>
    std::vector<T> commands() const
    {
        std::vector<T> orders;
        for (const DoorAction &action : done_) {
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

    bool started(const std::string &attempt) const
    {
        const auto starts = commands<StartRun>();
        return std::any_of(starts.begin(), starts.end(),
                           [&](const StartRun &start) { return start.attempt_.text_ == attempt; });
    }

    /// Why the attempt was refused; None where it wasn't.
    Reason refused(const std::string &attempt) const
    {
        for (const OfferRefused &refusal : sent<OfferRefused>()) {
            if (refusal.attempt_.text_ == attempt)
                return refusal.reason_;
        }
        return Reason::None;
    }

    /// How the attempt failed; reason None where it didn't.
    AttemptFailed failed(const std::string &attempt) const
    {
        for (const AttemptFailed &failure : sent<AttemptFailed>()) {
            if (failure.attempt_.text_ == attempt)
                return failure;
        }
        return {};
    }

    /// Ends the last order with this outcome.
    void endOrder(OrderOutcome outcome)
    {
        const AdapterOrder order = commands<AdapterOrder>().back();
        event(OrderEnded{order.order_, order.kind_, order.adapter_, outcome});
    }

    Time now_{Duration(1'000'000)};
    Door door_;
    std::vector<DoorAction> done_;
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
