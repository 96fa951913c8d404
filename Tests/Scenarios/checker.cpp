#include "checker.h"

#include "StandIns/completion.h"

#include <algorithm>
#include <fmt/core.h>
#include <map>
#include <set>

namespace scenarios {

namespace {

using Violations = std::vector<Violation>;

/// Shortest key that is searched for; a shorter one could be in a text by chance.
constexpr std::size_t leastKeyBytes = 8;

/// The revisions that a request may have met.
std::vector<const RulesRecord *> rulesMet(const ScenarioRecord &record, const CallerRecord &caller)
{
    std::vector<const RulesRecord *> met;
    for (const RulesRecord &rules : record.rules_) {
        if (caller.sentAt_ <= rules.replacedAt_ && caller.endedAt_ >= rules.appliedAt_)
            met.push_back(&rules);
    }
    return met;
}

/// The route that a request takes under some rules; null where there is none.
const RouteTerms *routeOf(const RulesRecord &rules, const CallerRecord &caller)
{
    const RouteTerms *best = nullptr;
    for (const RouteTerms &route : rules.routes_) {
        if (caller.method_.empty()) {
            if (route.route_ == caller.route_)
                return &route;
            continue;
        }
        const bool methodFits = route.method_ == "*" || route.method_ == caller.method_;
        const bool pathFits =
            !route.pathPrefix_.empty() && caller.path_.rfind(route.pathPrefix_, 0) == 0;
        if (methodFits && pathFits
            && (best == nullptr || route.pathPrefix_.size() > best->pathPrefix_.size()))
            best = &route;
    }
    return best;
}

std::string accountOf(const RulesRecord &rules, const std::string &key)
{
    for (const KeyTerms &terms : rules.keys_) {
        if (terms.key_ == key)
            return terms.account_;
    }
    return {};
}

bool mayUse(const RulesRecord &rules, const CallerRecord &caller)
{
    const RouteTerms *route = routeOf(rules, caller);
    if (route == nullptr)
        return false;
    if (route->openToAll_)
        return true;
    const std::string account = accountOf(rules, caller.key_);
    const auto &accounts = route->accounts_;
    return !account.empty()
        && std::find(accounts.begin(), accounts.end(), account) != accounts.end();
}

std::set<std::string> modelsOf(const ScenarioRecord &record, const CallerRecord &caller)
{
    std::set<std::string> models;
    for (const RulesRecord *rules : rulesMet(record, caller)) {
        if (const RouteTerms *route = routeOf(*rules, caller))
            models.insert(route->model_);
    }
    return models;
}

/// The request that a run or a booking belongs to; null where there is none.
const CallerRecord *callerOf(const ScenarioRecord &record, const std::string &trace,
                             const std::string &digest)
{
    for (const CallerRecord &caller : record.callers_) {
        if (!trace.empty() && caller.trace_ == trace)
            return &caller;
    }
    for (const CallerRecord &caller : record.callers_) {
        if (workDigest(caller) == digest)
            return &caller;
    }
    return nullptr;
}

bool answeredWell(const CallerRecord &caller)
{
    return caller.ended_ && caller.end_ == standins::CallEnd::Whole && caller.status_ == 200
        && caller.error_.run_.empty();
}

// ---- The invariants

void checkRightAdapter(const ScenarioRecord &record, Violations &violations)
{
    for (const RunRecord &run : record.runs_) {
        const CallerRecord *caller = callerOf(record, run.trace_, run.promptDigest_);
        if (caller == nullptr) {
            violations.push_back(
                {Invariant::RightAdapter,
                 fmt::format("{} ran attempt {} of no known request", run.target_, run.attempt_)});
            continue;
        }
        if (modelsOf(record, *caller).count(run.model_) == 0) {
            violations.push_back({Invariant::RightAdapter,
                                  fmt::format("{} ran {} on {}, which its route doesn't name",
                                              run.target_, caller->name_, run.model_)});
        }
    }
}

void checkNoEvictionInUse(const ScenarioRecord &record, Violations &violations)
{
    for (const UnloadRecord &unload : record.unloads_) {
        if (unload.inUse_) {
            violations.push_back({Invariant::NoEvictionInUse,
                                  fmt::format("{} was told to unload {} while it ran",
                                              unload.target_, unload.adapter_)});
        }
    }
}

void checkOnlyItsAccount(const ScenarioRecord &record, Violations &violations)
{
    std::set<const CallerRecord *> served;
    for (const RunRecord &run : record.runs_)
        served.insert(callerOf(record, run.trace_, run.promptDigest_));
    for (const BookingRecord &booking : record.bookings_)
        served.insert(callerOf(record, booking.trace_, booking.bodyDigest_));
    for (const CallerRecord &caller : record.callers_) {
        if (served.count(&caller) == 0 && !answeredWell(caller))
            continue;
        const auto met = rulesMet(record, caller);
        const auto allows = [&](const RulesRecord *rules) { return mayUse(*rules, caller); };
        if (std::none_of(met.begin(), met.end(), allows)) {
            violations.push_back({Invariant::OnlyItsAccount,
                                  fmt::format("{} ran, and its key \"{}\" didn't allow it",
                                              caller.name_, caller.key_)});
        }
    }
}

void checkNoKeySeen(const ScenarioRecord &record, Violations &violations)
{
    std::map<std::string, std::string> keys;
    for (const CallerRecord &caller : record.callers_) {
        if (caller.keyText_.size() >= leastKeyBytes)
            keys[caller.keyText_] = caller.key_;
    }
    for (const TextRecord &text : record.texts_) {
        for (const auto &[key, name] : keys) {
            if (text.text_.find(key) != std::string::npos) {
                violations.push_back(
                    {Invariant::NoKeySeen, fmt::format("key {} is in {}", name, text.name_)});
            }
        }
    }
}

/// Tokens run for one account at one time.
struct Spent
{
    std::int64_t at_ = 0;
    std::int64_t tokens_ = 0;
};

std::map<std::string, std::vector<Spent>> spentByAccount(const ScenarioRecord &record)
{
    std::map<std::string, std::vector<Spent>> spent;
    for (const RunRecord &run : record.runs_) {
        const CallerRecord *caller = callerOf(record, run.trace_, run.promptDigest_);
        if (caller == nullptr || caller->key_.empty())
            continue;
        std::string account;
        for (const RulesRecord *rules : rulesMet(record, *caller))
            account = account.empty() ? accountOf(*rules, caller->key_) : account;
        spent[account].push_back({run.startedAt_, run.promptTokens_});
        for (const std::int64_t at : run.tokenTimes_)
            spent[account].push_back({at, 1});
    }
    return spent;
}

/// The highest rate and burst that may be in force at a time.
AccountTerms termsAt(const ScenarioRecord &record, const std::string &account, std::int64_t at)
{
    AccountTerms highest;
    for (const RulesRecord &rules : record.rules_) {
        if (at < rules.appliedAt_ || at > rules.replacedAt_)
            continue;
        for (const AccountTerms &terms : rules.accounts_) {
            if (terms.account_ != account)
                continue;
            highest.tokensPerSecond_ = std::max(highest.tokensPerSecond_, terms.tokensPerSecond_);
            highest.burstTokens_ = std::max(highest.burstTokens_, terms.burstTokens_);
        }
    }
    return highest;
}

/// Tokens that the rate gives between two times, in millionths.
std::int64_t refill(const ScenarioRecord &record, const std::string &account, std::int64_t from,
                    std::int64_t to)
{
    std::set<std::int64_t> times = {from, to};
    for (const RulesRecord &rules : record.rules_) {
        for (const std::int64_t at : {rules.appliedAt_, rules.replacedAt_}) {
            if (at > from && at < to)
                times.insert(at);
        }
    }
    std::int64_t tokens = 0;
    for (auto at = times.begin(); std::next(at) != times.end(); ++at) {
        const std::int64_t middle = *at + (*std::next(at) - *at) / 2;
        tokens += termsAt(record, account, middle).tokensPerSecond_ * (*std::next(at) - *at);
    }
    return tokens;
}

/// Every window, by the lowest level reached before each of its ends.
void checkAccountWindows(const ScenarioRecord &record, const std::string &account,
                         std::vector<Spent> spent, Violations &violations)
{
    constexpr std::int64_t million = 1000000;
    std::sort(spent.begin(), spent.end(),
              [](const Spent &left, const Spent &right) { return left.at_ < right.at_; });
    // A bucket that starts full and may not be overdrawn admits exactly what every window admits.
    std::int64_t level = std::numeric_limits<std::int64_t>::max();
    std::int64_t last = spent.front().at_;
    std::int64_t worst = 0;
    std::int64_t worstAt = last;
    for (const Spent &piece : spent) {
        const std::int64_t full = termsAt(record, account, piece.at_).burstTokens_ * million;
        const std::int64_t gained = refill(record, account, last, piece.at_);
        level = level > full - gained ? full : level + gained;
        level -= piece.tokens_ * million;
        last = piece.at_;
        if (level < worst) {
            worst = level;
            worstAt = piece.at_;
        }
    }
    if (worst == 0)
        return;
    violations.push_back(
        {Invariant::WithinAllowance,
         fmt::format("{} ran {:.3f} tokens over its rate and burst, {} us after its first", account,
                     static_cast<double>(-worst) / million, worstAt - spent.front().at_)});
}

void checkWithinAllowance(const ScenarioRecord &record, Violations &violations)
{
    for (const auto &[account, spent] : spentByAccount(record))
        checkAccountWindows(record, account, spent, violations);
}

/// What is wrong with a completion's text for one model; empty where it fits.
std::string textFault(const CallerRecord &caller, const std::string &model, bool whole)
{
    const std::int64_t tokens = standins::generatedTokens(caller.prompt_, caller.maxTokens_);
    const std::string expected = standins::completionText(model, caller.prompt_, tokens);
    if (whole && caller.text_ != expected)
        return fmt::format("got \"{}\", not \"{}\"", caller.text_, expected);
    if (!whole && expected.rfind(caller.text_, 0) != 0)
        return fmt::format("got \"{}\", which isn't how \"{}\" begins", caller.text_, expected);
    if (whole && caller.stream_ && caller.parts_ != tokens)
        return fmt::format("got {} parts for {} tokens", caller.parts_, tokens);
    return {};
}

std::string completionFault(const ScenarioRecord &record, const CallerRecord &caller, bool whole)
{
    std::string fault = "no rules name its route";
    for (const std::string &model : modelsOf(record, caller)) {
        fault = textFault(caller, model, whole);
        if (fault.empty())
            break;
    }
    return fault;
}

std::string serviceFault(const CallerRecord &caller)
{
    const std::string digest = standins::digestHex(caller.body_);
    const bool fits = caller.raw_.find("\"body_digest\":\"" + digest + "\"") != std::string::npos;
    return fits ? std::string() : "got the answer to another call: " + caller.raw_;
}

std::string answerFault(const ScenarioRecord &record, const CallerRecord &caller)
{
    if (!caller.ended_)
        return "got no answer";
    if (caller.end_ == standins::CallEnd::Truncated && !caller.excused_
        && caller.error_.run_.empty())
        return "was cut off";
    if (caller.end_ == standins::CallEnd::NoAnswer && !caller.excused_)
        return "lost its connection without an answer";
    if (caller.end_ == standins::CallEnd::TimedOut)
        return "got no answer in time";
    if (caller.status_ != 200)
        return caller.status_ >= 400 && caller.error_.run_.empty()
            ? fmt::format("got {} without being told whether it ran", caller.status_)
            : std::string();
    const bool whole = answeredWell(caller);
    if (!caller.method_.empty())
        return whole ? serviceFault(caller) : std::string();
    if (whole && caller.stream_ && !caller.doneSeen_)
        return "got a stream without its end";
    return completionFault(record, caller, whole);
}

void checkWholeAnswer(const ScenarioRecord &record, Violations &violations)
{
    for (const CallerRecord &caller : record.callers_) {
        const std::string fault = answerFault(record, caller);
        if (!fault.empty())
            violations.push_back({Invariant::WholeAnswer, caller.name_ + " " + fault});
    }
}

/// Whether work was done for this request, and for no other with the same work.
template <class Work>
bool wasDoneFor(const ScenarioRecord &record, const CallerRecord &caller, const Work &work,
                const std::string &digest)
{
    if (!work.trace_.empty())
        return work.trace_ == caller.trace_;
    if (digest != workDigest(caller))
        return false;
    const auto others = std::count_if(
        record.callers_.begin(), record.callers_.end(), [&](const CallerRecord &other) {
            return workDigest(other) == digest && other.error_.run_ != "not_run";
        });
    return others == 0;
}

void checkNotRun(const ScenarioRecord &record, Violations &violations)
{
    for (const CallerRecord &caller : record.callers_) {
        if (caller.error_.run_ != "not_run")
            continue;
        for (const RunRecord &run : record.runs_) {
            if (wasDoneFor(record, caller, run, run.promptDigest_)) {
                violations.push_back({Invariant::NotRunMeansNotRun,
                                      fmt::format("{} was told not_run ({}) and ran on {}",
                                                  caller.name_, caller.error_.code_, run.target_)});
            }
        }
        for (const BookingRecord &booking : record.bookings_) {
            if (wasDoneFor(record, caller, booking, booking.bodyDigest_)) {
                violations.push_back(
                    {Invariant::NotRunMeansNotRun,
                     fmt::format("{} was told not_run ({}) and ran on {}", caller.name_,
                                 caller.error_.code_, booking.target_)});
            }
        }
    }
}

bool isNonIdempotent(const ScenarioRecord &record, const CallerRecord &caller)
{
    const auto met = rulesMet(record, caller);
    return std::any_of(met.begin(), met.end(), [&](const RulesRecord *rules) {
        const RouteTerms *route = routeOf(*rules, caller);
        return route != nullptr && !route->idempotent_;
    });
}

void checkBookedAtMostOnce(const ScenarioRecord &record, Violations &violations)
{
    std::map<std::string, std::int64_t> booked;
    for (const BookingRecord &booking : record.bookings_)
        booked[booking.bodyDigest_] += booking.tookEffect_ ? 1 : 0;
    std::set<std::string> seen;
    for (const CallerRecord &caller : record.callers_) {
        const std::string digest = workDigest(caller);
        if (caller.method_.empty() || !isNonIdempotent(record, caller)
            || !seen.insert(digest).second)
            continue;
        // Without an Idempotency-Key each sending is a call of its own.
        const auto sendings = std::count_if(
            record.callers_.begin(), record.callers_.end(), [&](const CallerRecord &other) {
                return workDigest(other) == digest && other.idempotencyKey_.empty();
            });
        if (booked[digest] > std::max<std::int64_t>(1, sendings)) {
            violations.push_back(
                {Invariant::BookedAtMostOnce,
                 fmt::format("{} was booked {} times", caller.name_, booked[digest])});
        }
    }
}

bool isStart(const ProcessEvent &event)
{
    return event.event_ == "started" || event.event_ == "target_started";
}

void checkLeaving(const ScenarioRecord &record, Violations &violations)
{
    std::set<std::string> leaving;
    for (const ProcessEvent &event : record.events_) {
        if (isStart(event))
            leaving.erase(event.process_);
        else if (event.event_ == "leaving")
            leaving.insert(event.process_);
        else if (event.event_ == "attempt_accepted" && leaving.count(event.process_) > 0)
            violations.push_back({Invariant::LeavingTakesNothing,
                                  event.process_ + " accepted an attempt after it was leaving"});
    }
}

void checkRevisions(const ScenarioRecord &record, Violations &violations)
{
    std::map<std::string, std::int64_t> revisions;
    for (const ProcessEvent &event : record.events_) {
        if (isStart(event))
            revisions.erase(event.process_);
        if (event.event_ != "rules_adopted")
            continue;
        std::int64_t &revision = revisions[event.process_];
        if (event.number_ < revision)
            violations.push_back({Invariant::RevisionNeverLower,
                                  fmt::format("{} went from revision {} to {}", event.process_,
                                              revision, event.number_)});
        revision = event.number_;
    }
}

} // namespace

std::vector<Violation> checkRecord(const ScenarioRecord &record)
{
    Violations violations;
    checkRightAdapter(record, violations);
    checkNoEvictionInUse(record, violations);
    checkOnlyItsAccount(record, violations);
    checkNoKeySeen(record, violations);
    checkWithinAllowance(record, violations);
    checkWholeAnswer(record, violations);
    checkNotRun(record, violations);
    checkBookedAtMostOnce(record, violations);
    checkLeaving(record, violations);
    checkRevisions(record, violations);
    return violations;
}

std::string describe(const std::vector<Violation> &violations)
{
    std::string text;
    for (const Violation &violation : violations) {
        text += fmt::format("{}: {}\n", eelgrasscove::nameOf(invariantNames, violation.invariant_),
                            violation.text_);
    }
    return text;
}

} // namespace scenarios
