#include "mixworld.h"

#include <algorithm>
#include <fmt/core.h>
#include <utility>

namespace eelgrasscove::mix {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t keyCount = 3;
constexpr Duration listPeriod = 500ms;
constexpr std::uint32_t mostSends = 4;
/// Beyond its deadline a request may take so long until its caller is told.
constexpr Duration lateBy = 1s;

struct RouteChoice
{
    std::string_view name_;
    bool service_ = false;
    bool idempotent_ = true;
};

constexpr std::array<RouteChoice, 6> routeChoices = {{
    {"fir"},
    {"oak"},
    {"ash"},
    {"elm"},
    {"register", true, false},
    {"lookup", true, true},
}};

std::string keyDigestOf(std::size_t key)
{
    return fmt::format("{:064x}", key + 1);
}

std::string rulesText(const RulesTruth &truth)
{
    std::string text;
    for (std::size_t account = 0; account < 2; ++account)
        text += fmt::format("account a{} rate {} burst {} # desk\n", account, truth.rate_,
                            truth.burst_);
    for (std::size_t key = 0; key < keyCount; ++key) {
        if (!truth.withdrawnKeys_.contains(fmt::format("k{}", key)))
            text += fmt::format("key k{} account a{} digest {} # desk\n", key, accountOfKey(key),
                                keyDigestOf(key));
    }
    for (const auto &[route, version] : truth.versions_)
        text += fmt::format("route {0} account a0,a1 adapter adapter-{0} version {1} targets {2} "
                            "idempotent # desk\n",
                            route, version, route == "elm" ? "mill" : "runners");
    text += "route register account a0,a1 service POST /records targets records non-idempotent"
            " # desk\n";
    text += "route lookup account a0,a1 service GET /lookup targets records idempotent # desk\n";
    return text;
}

} // namespace

std::size_t accountOfKey(std::size_t key)
{
    return key < 2 ? 0 : 1;
}

// ---- Rules

void World::firstRules()
{
    RulesTruth truth;
    truth.rate_ = 20LL << below(3);
    truth.burst_ = chance(0.5) ? 60 : 90;
    for (const char *route : {"fir", "oak", "ash", "elm"})
        truth.versions_[route] = 1;
    truth.text_ = rulesText(truth);
    // Revision 0, which nobody holds, says the same.
    truths_.assign(2, truth);
}

void World::changeRules()
{
    RulesTruth truth = latest();
    const std::size_t kind = below(4);
    if (kind == 0)
        truth.rate_ = std::max<std::int64_t>(20, truth.rate_ / 2);
    else if (kind == 1)
        truth.withdrawnKeys_.insert(fmt::format("k{}", below(keyCount)));
    else
        ++truth.versions_[std::string(routeChoices.at(below(4)).name_)];
    truth.text_ = rulesText(truth);
    truths_.push_back(std::move(truth));
    note(fmt::format("rules of revision {}: kind {}", truths_.size() - 1, kind));
}

// ---- The platform

void World::givePlatform(Node &node, const PlatformEvent &event)
{
    if (node.isEntry_) {
        std::visit([&](const auto &body) { give(node, body); }, event);
    } else if (const auto *list = std::get_if<VmList>(&event)) {
        applyVmList(node.fleet_, *list, now_);
    } else if (const auto *rules = std::get_if<StoredRules>(&event)) {
        takeRulesAtTarget(node, rules->revision_, rules->text_);
    } else if (const auto *reachable = std::get_if<PlatformReachable>(&event)) {
        if (reachable->reachable_)
            decide(node, RulesConfirmed{});
    }
}

void World::callPlatform(Node &node, KvOperation operation)
{
    if (sabotaged(Property::AtMostOnce) && operation.conditions_.size() == 2)
        operation.conditions_.clear();
    after(upTo(5ms), [this, &node, run = node.incarnation_, operation = std::move(operation)] {
        KvOutcome outcome;
        outcome.tag_ = operation.tag_;
        outcome.status_ = chance(0.5) ? KvStatus::NotSent : KvStatus::Unknown;
        Duration delay = 150ms;
        if (reaches(node)) {
            outcome = callFake(store_, operation);
            delay = outcome.status_ == KvStatus::Unknown ? Duration(150ms) : upTo(5ms);
        }
        after(delay, [this, &node, run, outcome] {
            if (node.incarnation_ == run)
                at(node, Duration(0), [this, &node, outcome] { give(node, outcome); });
        });
    });
}

void World::readRules(Node &node)
{
    at(node, upTo(10ms), [this, &node] {
        if (node.reachable_ != reaches(node)) {
            node.reachable_ = reaches(node);
            givePlatform(node, PlatformReachable{*node.reachable_});
        }
        if (!reaches(node))
            return;
        const std::size_t newest = truths_.size() - 1;
        const std::size_t shown = staleReads_ ? 1 + below(newest) : newest;
        if (std::exchange(node.read_, Revision{shown}) == Revision{shown})
            return;
        givePlatform(node, StoredRules{{shown}, truths_[shown].text_});
    });
}

void World::pollPlatform(Node &node)
{
    if (node.watching_)
        readRules(node);
    if (!reaches(node) || now_ < node.listDueAt_)
        return;
    node.listDueAt_ = now_ + listPeriod;
    givePlatform(node, laggingList());
}

void World::snapshotList()
{
    VmList list;
    for (const Node &node : nodes_) {
        if (node.listed_)
            list.vms_.push_back({node.vm_,
                                 {"r"},
                                 node.dataCentre_,
                                 node.isEntry_ ? Role::Entry : Role::Target,
                                 node.address_,
                                 node.group_,
                                 node.listedLeaving_});
    }
    snapshots_.push_back({now_, std::move(list)});
    while (snapshots_.size() > 2 && snapshots_[1].at_ <= now_ - 2s)
        snapshots_.pop_front();
}

const VmList &World::laggingList() const
{
    const ListSnapshot *seen = &snapshots_.front();
    for (const ListSnapshot &snapshot : snapshots_) {
        if (snapshot.at_ <= now_ - listLag_)
            seen = &snapshot;
    }
    return seen->list_;
}

// ---- Callers

void World::newJob()
{
    Job job;
    job.id_ = jobs_.size();
    job.key_ = narrow_ || chance(0.5) ? 0 : below(keyCount);
    const std::size_t routes = chance(0.3) ? routeChoices.size() : 4;
    const RouteChoice &route = routeChoices.at(below(narrow_ ? 2 : routes));
    job.route_ = route.name_;
    job.service_ = route.service_;
    job.idempotent_ = route.idempotent_;
    job.stream_ = !job.service_ && chance(0.4);
    job.maxTokens_ = 3 + static_cast<std::int64_t>(below(16));
    job.tokens_ = narrow_ || chance(0.6) ? job.maxTokens_
                                         : 1 + static_cast<std::int64_t>(below(job.maxTokens_));
    job.killer_ = !job.service_ && chance(0.01);
    if (!job.idempotent_ && chance(0.7))
        job.idempotencyKey_ = fmt::format("key-{}", job.id_);
    jobs_.push_back(job);
    sendCall(job.id_);
    // The same, sent twice at once.
    if (!job.idempotencyKey_.empty() && chance(0.15))
        sendCall(job.id_);
}

CallerRequest World::callerRequest(const Job &job, std::size_t call) const
{
    CallerRequest request;
    request.handle_ = {call + 1};
    request.keyDigest_ = keyDigestOf(job.key_);
    request.method_ = job.route_ == "lookup" ? "GET" : "POST";
    request.path_ = job.route_ == "lookup" ? "/lookup" : "/records";
    request.body_ = fmt::format("job {}", job.id_);
    request.idempotencyKey_ = job.idempotencyKey_;
    request.trace_ = {fmt::format("{:032x}", call + 1), fmt::format("{:016x}", call + 1)};
    request.arrivedAt_ = now_;
    if (job.service_)
        return request;
    request.kind_ = CallKind::Completion;
    request.path_ = "/v1/completions";
    request.completion_ = {.route_ = {job.route_},
                           .stream_ = job.stream_,
                           .promptTokens_ = promptTokens,
                           .maxTokens_ = job.maxTokens_,
                           .bodyWithoutModel_ = R"({"prompt":"a"})"};
    return request;
}

void World::sendCall(std::size_t job)
{
    std::vector<Node *> entries;
    for (Node &node : nodes_) {
        if (node.isEntry_ && node.alive_ && (!node.stopAt_ || chance(0.2)))
            entries.push_back(&node);
    }
    if (entries.empty())
        return;
    Node &node = *entries[below(entries.size())];
    const std::size_t call = calls_.size();
    calls_.push_back({.job_ = job,
                      .node_ = indexOf(node),
                      .incarnation_ = node.incarnation_,
                      .deadline_ = now_ + requestTimeout});
    ++jobs_[job].sends_;
    ++result_.counts_.calls_;
    note(fmt::format("call {} of job {} to {}", call, job, node.vm_.text_));
    at(node, 1ms, [this, &node, call, request = callerRequest(jobs_[job], call)] {
        calls_[call].arrived_ = true;
        give(node, request);
    });
    if (!chance(0.08))
        return;
    after(upTo(600ms), [this, &node, call] {
        if (calls_[call].ended_)
            return;
        calls_[call].gone_ = true;
        calls_[call].ended_ = true;
        note(fmt::format("the caller of {} leaves", call));
        if (node.incarnation_ == calls_[call].incarnation_)
            at(node, 1ms, [this, &node, call] { give(node, CallerGone{{call + 1}}); });
    });
}

/// final: the caller knows what it asked for, or that it can't.
void World::endCall(std::size_t call, bool final)
{
    Call &ended = calls_[call];
    if (ended.ended_)
        return;
    ended.ended_ = true;
    const Job &job = jobs_[ended.job_];
    if (final || job.idempotencyKey_.empty() || job.sends_ >= mostSends)
        return;
    after(50ms + upTo(500ms), [this, id = job.id_] {
        ++result_.counts_.resends_;
        sendCall(id);
    });
}

void World::hear(const Node &node, const CallerReply &reply)
{
    const std::size_t number =
        std::visit([](const auto &body) { return body.handle_.value_; }, reply) - 1;
    Call &call = calls_.at(number);
    const bool loses = sabotaged(Property::ComesToRest) && chance(0.02);
    if (call.gone_ || loses)
        return;
    if (call.ended_ || call.node_ != indexOf(node) || call.incarnation_ != node.incarnation_) {
        violate(Property::OwnWholeAnswer, fmt::format("call {} is answered again", number));
        return;
    }
    if (const auto *whole = std::get_if<ReplyWhole>(&reply)) {
        call.body_ = whole->body_;
        call.status_ = whole->status_;
        whole->status_ == 200 ? hearWhole(number) : hearError(number);
    } else if (const auto *head = std::get_if<ReplyHead>(&reply)) {
        if (call.status_ != 0)
            violate(Property::OwnWholeAnswer, fmt::format("call {} has two heads", number));
        call.status_ = head->status_;
    } else if (const auto *part = std::get_if<ReplyPart>(&reply)) {
        call.body_ += part->bytes_;
    } else if (const auto *abort = std::get_if<ReplyAbort>(&reply)) {
        call.body_ = abort->lastBytes_;
        hearError(number);
    } else {
        hearWhole(number);
    }
}

void World::hearWhole(std::size_t number)
{
    const Call &call = calls_[number];
    const Job &job = jobs_[call.job_];
    const bool own =
        std::any_of(job.ranWith_.begin(), job.ranWith_.end(), [&](const AdapterKey &adapter) {
            return call.body_ == answerOf(job, adapter);
        });
    if (!own)
        violate(Property::OwnWholeAnswer, fmt::format("call {} got {}", number, call.body_));
    ++result_.counts_.wholeAnswers_;
    note(fmt::format("call {} has its answer", number));
    endCall(number, true);
}

void World::hearError(std::size_t number)
{
    Call &call = calls_[number];
    note(fmt::format("call {} is told {}", number, call.body_));
    if (call.body_.find(R"("run":"not_run")") != std::string::npos) {
        ++result_.counts_.toldNotRun_;
        call.toldNotRun_ = true;
        if (call.starts_ > 0)
            violate(Property::NotRunIsNotRun, fmt::format("call {} had started", number));
    } else {
        ++result_.counts_.toldUnknown_;
    }
    endCall(number, false);
}

void World::checkCallsInTime()
{
    for (std::size_t number = 0; number < calls_.size(); ++number) {
        Call &call = calls_[number];
        const Node &node = nodes_.at(call.node_);
        if (call.ended_ || node.frozen_)
            continue;
        if (now_ <= std::max(call.deadline_, node.thawedAt_) + lateBy)
            continue;
        violate(Property::ComesToRest, fmt::format("call {} has no end", number));
        call.ended_ = true;
    }
}

} // namespace eelgrasscove::mix
