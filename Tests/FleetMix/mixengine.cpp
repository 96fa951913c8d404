#include "mixworld.h"

#include "Observe/trace.h"

#include <algorithm>
#include <fmt/core.h>

namespace eelgrasscove::mix {

using namespace std::chrono_literals;

namespace {

constexpr Duration engineHop = 1ms;
constexpr Duration longestToken = 25ms;
constexpr std::int64_t mostTokensTogether = 6;

std::size_t callOf(const StartRun &start)
{
    return std::stoull(parseTraceparent(start.traceparent_).traceId_, nullptr, 16) - 1;
}

} // namespace

std::string answerPart(const Job &job, const AdapterKey &adapter, std::int64_t token)
{
    return fmt::format("{}/{}/{};", job.id_, engineModelName(adapter), token);
}

std::string answerOf(const Job &job, const AdapterKey &adapter)
{
    std::string answer;
    for (std::int64_t token = 0; token < job.tokens_; ++token)
        answer += answerPart(job, adapter, token);
    return answer;
}

/// One connection keeps its order.
void World::toDoor(Node &node, Incarnation door, EngineEvent event)
{
    const bool ends = std::holds_alternative<RunEnded>(event);
    if (ends && sabotaged(Property::GracefulStop) && node.stopAt_)
        return;
    if (node.incarnation_ == door)
        at(node, engineHop, [this, &node, event = std::move(event)] { decide(node, event); });
}

/// What a start must hold to, by what the fakes handed out.
void World::checkStart(Node &node, const StartRun &start)
{
    const Call &call = calls_.at(callOf(start));
    const Job &job = jobs_[call.job_];
    const std::string what = fmt::format("{} at {}", start.attempt_.text_, node.vm_.text_);
    const std::size_t account = accountOfKey(job.key_);
    if (start.account_.text_ != fmt::format("a{}", account))
        violate(Property::KeysAccount, what);
    const RulesTruth &known = truths_[node.given_.value_];
    if (known.withdrawnKeys_.contains(fmt::format("k{}", job.key_)))
        violate(Property::WithdrawnKey, what);
    const RulesTruth &offered = truths_[offerRevisions_.at(start.attempt_).value_];
    const std::string version = start.adapter_.version_.text_;
    const bool named = job.service_ ? start.adapter_.empty()
                                    : start.adapter_.adapter_.text_ == "adapter-" + job.route_
            && (version == std::to_string(known.versions_.at(job.route_))
                || version == std::to_string(offered.versions_.at(job.route_)));
    if (!named)
        violate(Property::AdapterNamed, what + " ran " + engineModelName(start.adapter_));
    if (node.offeredAfterLeave_.contains(start.attempt_))
        violate(Property::LeavingTakesNone, what);
}

void World::engineHears(Node &node, Incarnation door, const EngineCommand &command)
{
    Engine &engine = node.engine_;
    if (const auto *read = std::get_if<ReadEngineState>(&command)) {
        if (!engine.up_) {
            toDoor(node, door, EngineUnreachable{read->readNumber_});
            return;
        }
        EngineState state;
        state.incarnation_ = {engine.incarnation_};
        state.fencingNumber_ = {engine.fencing_};
        state.adapters_.assign(engine.adapters_.begin(), engine.adapters_.end());
        for (const auto &[id, run] : engine.running_)
            state.running_.push_back({id, run.adapter_});
        toDoor(node, door, EngineStateReceived{read->readNumber_, std::move(state)});
    } else if (const auto *start = std::get_if<StartRun>(&command)) {
        engineStarts(node, door, *start);
    } else if (const auto *cancel = std::get_if<CancelRun>(&command)) {
        const auto found = engine.running_.find(cancel->attempt_);
        if (found == engine.running_.end())
            return;
        toDoor(node, found->second.door_, RunFailed{cancel->attempt_, true});
        engine.running_.erase(found);
    } else {
        const auto &order = std::get<AdapterOrder>(command);
        const Duration time = order.kind_ == OrderKind::Load ? upTo(60ms) : Duration(0);
        after(time, [this, &node, door, order] { engineOrders(node, door, order); });
    }
}

void World::engineStarts(Node &node, Incarnation door, const StartRun &start)
{
    Engine &engine = node.engine_;
    const AttemptId &id = start.attempt_;
    if (!engine.up_) {
        toDoor(node, door, RunFailed{id, false});
        return;
    }
    if (node.isEngine_ && !engine.adapters_.contains(start.adapter_)) {
        toDoor(node, door, RunResponseHead{id, 404, "application/json"});
        toDoor(node, door, RunEnded{id, 0});
        return;
    }
    const std::size_t number = callOf(start);
    Call &call = calls_.at(number);
    Job &job = jobs_[call.job_];
    note(fmt::format("{} starts {} of call {}", node.vm_.text_, id.text_, number));
    ++result_.counts_.starts_;
    ++call.starts_;
    ++job.starts_;
    job.ranWith_.insert(start.adapter_);
    if (call.toldNotRun_)
        violate(Property::NotRunIsNotRun, fmt::format("call {} starts after all", number));
    const std::uint32_t starts = job.idempotencyKey_.empty() ? call.starts_ : job.starts_;
    if (!job.idempotent_ && starts > 1)
        violate(Property::AtMostOnce, fmt::format("job {} by call {}", job.id_, number));
    if (node.isEngine_)
        tokens_.at(accountOfKey(job.key_)).push_back({now_, promptTokens});
    engine.running_[id] = {start.adapter_, job.id_, 0, door};
    if (job.killer_) {
        crashEngine(node);
        return;
    }
    toDoor(node, door,
           RunResponseHead{id, 200, job.stream_ ? "text/event-stream" : "application/json"});
    after(upTo(longestToken), [this, &node, id] { engineStep(node, id); });
}

void World::engineStep(Node &node, const AttemptId &attempt)
{
    const auto found = node.engine_.running_.find(attempt);
    if (found == node.engine_.running_.end())
        return;
    if (now_ < node.engine_.stalledUntil_) {
        after(node.engine_.stalledUntil_ - now_,
              [this, &node, attempt] { engineStep(node, attempt); });
        return;
    }
    Run &run = found->second;
    const Job &job = jobs_[run.job_];
    const std::int64_t tokens = std::min(job.tokens_ - run.sentTokens_,
                                         1 + static_cast<std::int64_t>(below(mostTokensTogether)));
    if (node.isEngine_)
        tokens_.at(accountOfKey(job.key_)).push_back({now_, tokens});
    std::string bytes;
    for (const std::int64_t last = run.sentTokens_ + tokens; run.sentTokens_ < last;)
        bytes += answerPart(job, run.adapter_, run.sentTokens_++);
    if (sabotaged(Property::OwnWholeAnswer) && chance(0.1))
        bytes.back() = '!';
    toDoor(node, run.door_, RunResponseBytes{attempt, std::move(bytes), run.sentTokens_});
    if (run.sentTokens_ < job.tokens_) {
        after(upTo(longestToken), [this, &node, attempt] { engineStep(node, attempt); });
        return;
    }
    toDoor(node, run.door_, RunEnded{attempt, run.sentTokens_});
    node.engine_.running_.erase(found);
}

void World::engineOrders(Node &node, Incarnation door, const AdapterOrder &order)
{
    Engine &engine = node.engine_;
    const auto end = [&](OrderOutcome outcome) {
        toDoor(node, door, OrderEnded{order.orderNumber_, order.kind_, order.adapter_, outcome});
    };
    if (!engine.up_ || chance(calm_ ? 0 : 0.01)) {
        end(OrderOutcome::Unknown);
        return;
    }
    if (order.fencingNumber_.value_ < engine.fencing_) {
        end(OrderOutcome::Fenced);
        return;
    }
    engine.fencing_ = order.fencingNumber_.value_;
    if (order.kind_ == OrderKind::Unload) {
        ++result_.counts_.unloads_;
        for (const auto &[id, run] : engine.running_) {
            if (run.adapter_ == order.adapter_)
                violate(Property::NoUnloadInUse, id.text_ + " at " + node.vm_.text_);
        }
        engine.adapters_.erase(order.adapter_);
    } else if (engine.adapters_.contains(order.adapter_)) {
        end(OrderOutcome::Done);
        return;
    } else if (engine.adapters_.size() >= node.door_.policy_.target_.adapterSlots_
               || chance(calm_ ? 0 : 0.05)) {
        end(OrderOutcome::Failed);
        return;
    } else {
        engine.adapters_.insert(order.adapter_);
    }
    end(chance(calm_ ? 0 : 0.02) ? OrderOutcome::Unknown : OrderOutcome::Done);
}

void World::crashEngine(Node &node)
{
    Engine &engine = node.engine_;
    note(node.vm_.text_ + ": its engine crashes");
    for (const auto &[id, run] : engine.running_)
        toDoor(node, run.door_, RunFailed{id, true});
    engine.running_.clear();
    engine.adapters_.clear();
    engine.fencing_ = 0;
    engine.up_ = false;
    ++engine.incarnation_;
    after(upTo(600ms), [&node] { node.engine_.up_ = true; });
}

} // namespace eelgrasscove::mix
