#include "DataCentre/rulespread.h"

#include "DataCentre/rendezvous.h"
#include "DataCentre/rulesdelta.h"

#include <algorithm>
#include <set>

namespace eelgrasscove {

namespace {

/// Holders remembered for fetching parts.
constexpr std::size_t mostHolders = 8;
constexpr std::size_t microsPerSecond = 1000000;
/// Request timeouts without a new part after which a text is given up.
constexpr int partialPatience = 5;

/// The next number of the splitmix64 generator.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

/// A time from 0 up to, but without, the span.
Duration jitter(RuleSpread &spread, Duration span)
{
    const auto width = static_cast<std::uint64_t>(std::max<std::int64_t>(span.count(), 1));
    return Duration(static_cast<std::int64_t>(nextRandom(spread.seed_) % width));
}

void append(SpreadActions &actions, SpreadActions more)
{
    for (SpreadAction &action : more)
        actions.push_back(std::move(action));
}

void sendTo(SpreadActions &actions, const VmName &peer, Message message)
{
    actions.emplace_back(SendToPeer{peer, std::move(message)});
}

/// The position in the order, or the order's size.
std::size_t rankOf(const std::vector<VmName> &order, const VmName &vm)
{
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), vm) - order.begin());
}

/// The children of a place in a heap-shaped tree.
std::vector<std::size_t> childPlaces(std::size_t place, std::size_t fanout, std::size_t size)
{
    std::vector<std::size_t> children;
    for (std::size_t child = place * fanout + 1; child <= place * fanout + fanout; ++child) {
        if (child < size)
            children.push_back(child);
    }
    return children;
}

std::vector<DataCentreName> dataCentresOf(const SpreadView &view)
{
    std::set<DataCentreName> names;
    for (const SpreadMember &member : view.members_)
        names.insert(member.dataCentre_);
    return {names.begin(), names.end()};
}

void addTopOf(std::vector<VmName> &targets, const SpreadView &view,
              const DataCentreName &dataCentre)
{
    const std::vector<VmName> order = spreadOrder(view, dataCentre);
    if (!order.empty())
        targets.push_back(order.front());
}

/// The tree over data centres: its root starts it; who reads the platform tells the root too.
void addDataCentreTargets(std::vector<VmName> &targets, const RuleSpread &spread,
                          const SpreadView &view, NewsSource source)
{
    const std::vector<DataCentreName> centres = dataCentresOf(view);
    const auto found = std::find(centres.begin(), centres.end(), spread.dataCentre_);
    const auto place = static_cast<std::size_t>(found - centres.begin());
    if (source == NewsSource::Platform && place != 0)
        addTopOf(targets, view, centres.front());
    for (const std::size_t child : childPlaces(place, spread.policy_.fanout_, centres.size()))
        addTopOf(targets, view, centres[child]);
}

void remember(RuleSpread &spread, RulesDelta delta)
{
    spread.historyBytes_ += rulesDeltaBytes(delta);
    spread.history_.push_back(std::move(delta));
    while (spread.historyBytes_ > spread.policy_.historyBytes_) {
        spread.historyBytes_ -= rulesDeltaBytes(spread.history_.front());
        spread.history_.pop_front();
    }
}

std::uint32_t partCount(const RuleSpread &spread)
{
    const std::size_t size = spread.policy_.partBytes_;
    return static_cast<std::uint32_t>(
        std::max<std::size_t>((spread.text_.size() + size - 1) / size, 1));
}

/// A part of the rules held here; without parts where there are none.
RulesPart partHeld(const RuleSpread &spread, std::uint32_t number)
{
    RulesPart part;
    if (spread.revision_.value_ == 0)
        return part;
    part.revision_ = spread.revision_;
    part.part_ = number;
    part.parts_ = partCount(spread);
    part.digest_ = spread.digest_;
    part.bytes_ =
        spread.text_.substr(number * spread.policy_.partBytes_, spread.policy_.partBytes_);
    return part;
}

/// Takes the bytes from what may be served now; false where that is spent.
bool mayServe(RuleSpread &spread, std::size_t bytes, Time now)
{
    const RuleSpreadPolicy &policy = spread.policy_;
    const auto micros =
        static_cast<std::size_t>(std::max<std::int64_t>((now - spread.servedAt_).count(), 0));
    const std::size_t span = std::min(micros, 10 * microsPerSecond);
    const std::size_t gained = span * policy.servedBytesPerSecond_ / microsPerSecond;
    spread.servedAt_ = std::max(now, spread.servedAt_);
    spread.servedBudget_ = std::min(spread.servedBudget_ + gained, policy.servedBytesAtOnce_);
    if (spread.servedBudget_ < bytes)
        return false;
    spread.servedBudget_ -= bytes;
    return true;
}

/// What is pushed: the delta where it is the smaller, else the first part.
Message pushedNews(const RuleSpread &spread, const RulesDelta &delta)
{
    const bool small =
        rulesDeltaBytes(delta) <= std::max(spread.policy_.partBytes_, spread.text_.size() / 2);
    if (delta.from_.value_ != 0 && small)
        return delta;
    return partHeld(spread, 0);
}

void pushOn(SpreadActions &actions, const RuleSpread &spread, const SpreadView &view,
            NewsSource source, const RulesDelta &delta)
{
    const Message news = pushedNews(spread, delta);
    for (const VmName &peer : spread.policy_.pushChoice_(spread, view, source))
        sendTo(actions, peer, news);
}

/// Puts a higher revision in force and pushes it on.
SpreadActions adopt(RuleSpread &spread, const SpreadView &view, NewsSource source, std::string text,
                    RulesDelta delta)
{
    spread.revision_ = delta.to_;
    spread.text_ = std::move(text);
    spread.digest_ = delta.digest_;
    const bool caughtUp = spread.revision_ >= spread.highestHeard_;
    if (caughtUp)
        spread.asked_.reset();
    spread.nextRead_.reset();
    if (spread.partial_ && spread.partial_->revision_ <= spread.revision_)
        spread.partial_.reset();
    SpreadActions actions;
    actions.emplace_back(AdoptRules{{spread.revision_, spread.text_}});
    // Steps on the way to a higher revision known of are not worth pushing.
    if (caughtUp)
        pushOn(actions, spread, view, source, delta);
    if (delta.from_.value_ != 0)
        remember(spread, std::move(delta));
    return actions;
}

SpreadActions adoptText(RuleSpread &spread, const SpreadView &view, NewsSource source,
                        Revision revision, const std::string &text)
{
    if (revision <= spread.revision_)
        return {};
    RulesDelta delta;
    delta.to_ = revision;
    delta.digest_ = textDigest(text);
    if (spread.revision_.value_ != 0)
        delta = makeRulesDelta(spread.text_, text, spread.revision_, revision);
    return adopt(spread, view, source, text, std::move(delta));
}

void noteHolder(RuleSpread &spread, const VmName &peer, Revision revision)
{
    if (revision < spread.highestHeard_)
        return;
    if (revision > spread.highestHeard_)
        spread.holders_.clear();
    spread.highestHeard_ = revision;
    const bool known = rankOf(spread.holders_, peer) < spread.holders_.size();
    if (!known && spread.holders_.size() < mostHolders)
        spread.holders_.push_back(peer);
}

void noteSource(RuleSpread &spread, Time now)
{
    spread.lastSource_ = std::max(spread.lastSource_, now);
}

SpreadActions askForNews(RuleSpread &spread, const VmName &peer, Time now)
{
    if (spread.asked_ && now - spread.asked_->askedAt_ < spread.policy_.requestTimeout_)
        return {};
    spread.asked_ = RulesAsked{peer, now};
    SpreadActions actions;
    sendTo(actions, peer, RulesRequest{spread.revision_});
    return actions;
}

/// A request without an answer goes to another peer that holds what is missing.
SpreadActions askAgain(RuleSpread &spread, Time now)
{
    if (!spread.asked_ || now - spread.asked_->askedAt_ < spread.policy_.requestTimeout_)
        return {};
    spread.asked_.reset();
    if (spread.highestHeard_ <= spread.revision_ || spread.holders_.empty())
        return {};
    const std::size_t turn = nextRandom(spread.seed_) % spread.holders_.size();
    return askForNews(spread, spread.holders_[turn], now);
}

/// Asks for missing parts, from holders in turn, as many at a time as the policy allows.
SpreadActions askForParts(RuleSpread &spread, const VmName &fallback, Time now)
{
    SpreadActions actions;
    PartialRules &partial = *spread.partial_;
    std::erase_if(partial.asked_, [&](const PartAsked &asked) {
        const bool late = now - asked.askedAt_ >= spread.policy_.requestTimeout_;
        return late || partial.parts_[asked.part_].has_value();
    });
    for (std::uint32_t part = 0; part < partial.parts_.size(); ++part) {
        if (partial.asked_.size() >= spread.policy_.partsAtOnce_)
            break;
        const auto isPart = [part](const PartAsked &asked) { return asked.part_ == part; };
        if (partial.parts_[part]
            || std::any_of(partial.asked_.begin(), partial.asked_.end(), isPart))
            continue;
        partial.asked_.push_back({part, now});
        const bool anyHolder =
            spread.highestHeard_ == partial.revision_ && !spread.holders_.empty();
        const std::size_t turn = nextRandom(spread.seed_);
        const VmName peer = anyHolder ? spread.holders_[turn % spread.holders_.size()] : fallback;
        sendTo(actions, peer, RulesPartRequest{partial.revision_, part});
    }
    return actions;
}

/// The whole text, once every part is there.
std::optional<std::string> wholeText(const PartialRules &partial)
{
    std::string text;
    for (const std::optional<std::string> &part : partial.parts_) {
        if (!part)
            return std::nullopt;
        text += *part;
    }
    return text;
}

/// Parts that a text may have; a request for more is a damaged message.
constexpr std::uint32_t mostParts = 16384;

bool wellFormed(const RulesPart &part)
{
    return part.revision_.value_ != 0 && part.part_ < part.parts_ && part.parts_ <= mostParts;
}

PartialRules &partialFor(RuleSpread &spread, const RulesPart &part, Time now)
{
    if (spread.partial_ && spread.partial_->revision_ >= part.revision_)
        return *spread.partial_;
    PartialRules partial;
    partial.revision_ = part.revision_;
    partial.digest_ = part.digest_;
    partial.parts_.resize(part.parts_);
    partial.progressAt_ = now;
    return spread.partial_.emplace(std::move(partial));
}

void dropStuckPartial(RuleSpread &spread, Time now)
{
    const Duration patience = partialPatience * spread.policy_.requestTimeout_;
    if (spread.partial_ && now - spread.partial_->progressAt_ > patience)
        spread.partial_.reset();
}

/// Settled once enough peers answered or had the time to, and nothing higher is known of.
void settle(RuleSpread &spread, Time now)
{
    const bool answered = spread.startAnswers_ >= spread.policy_.peersAskedAtStart_;
    const bool waited = now - spread.startedAt_ >= spread.policy_.startWait_;
    const bool behind = spread.revision_ < spread.highestHeard_;
    if (spread.revision_.value_ != 0 && !behind && (answered || waited))
        spread.settled_ = true;
}

bool shouldWatch(const RuleSpread &spread, const SpreadView &view)
{
    if (view.members_.size() <= spread.policy_.everyoneWatchesUpTo_)
        return true;
    const std::vector<VmName> order = spreadOrder(view, spread.dataCentre_);
    return rankOf(order, spread.self_) < spread.policy_.watchersPerDataCentre_;
}

/// The window in which one reading of every process keeps to the whole system's rate.
Duration sharedWindow(const RuleSpread &spread, const SpreadView &view)
{
    const auto members = static_cast<std::int64_t>(view.members_.size());
    return Duration(std::chrono::seconds(1)) * members / spread.policy_.startReadsPerSecond_;
}

/// The wait before the next reading: full jitter over a window that doubles up to the cap.
Duration backoff(RuleSpread &spread, const SpreadView &view)
{
    const RuleSpreadPolicy &policy = spread.policy_;
    const std::uint32_t doublings = std::min(spread.readsMade_, 16U);
    const Duration window = std::min(policy.firstBackoff_ * (1U << doublings), policy.lastBackoff_);
    return policy.firstBackoff_ + jitter(spread, std::max(window, sharedWindow(spread, view)));
}

/// Spreads the first readings of processes that no peer could help over the whole system's rate.
Duration startDelay(RuleSpread &spread, const SpreadView &view)
{
    const RuleSpreadPolicy &policy = spread.policy_;
    if (spread.watching_)
        return jitter(spread, policy.watcherJitter_);
    return 2 * policy.startWait_ + jitter(spread, sharedWindow(spread, view));
}

void setWatching(RuleSpread &spread, SpreadActions &actions, bool on)
{
    if (spread.watching_ == on)
        return;
    spread.watching_ = on;
    actions.emplace_back(WatchPlatformRules{on});
}

std::vector<VmName> askedAtStart(const RuleSpread &spread, const SpreadView &view)
{
    std::vector<VmName> near;
    std::vector<VmName> far;
    for (const SpreadMember &member : view.members_) {
        if (member.vm_ == spread.self_)
            continue;
        (member.dataCentre_ == spread.dataCentre_ ? near : far).push_back(member.vm_);
    }
    const std::size_t wanted = spread.policy_.peersAskedAtStart_;
    std::vector<VmName> asked = rendezvousRank(spread.self_.text_, std::move(near), wanted);
    for (VmName &vm : rendezvousRank(spread.self_.text_, std::move(far), wanted - asked.size()))
        asked.push_back(std::move(vm));
    return asked;
}

/// The past deltas that lead from the peer's revision to the one held here.
std::vector<RulesDelta> deltasFrom(const RuleSpread &spread, Revision have)
{
    const auto first = std::find_if(spread.history_.begin(), spread.history_.end(),
                                    [&](const RulesDelta &delta) { return delta.from_ == have; });
    return {first, spread.history_.end()};
}

} // namespace

/// Whether the peer has stopped speaking. In a large fleet only target processes speak to entries
/// all the time; a target process, in turn, has links to all entries at home. Who else is gone is
/// what the list says.
static bool fellSilent(const Fleet &fleet, const Peer &peer, Time now)
{
    if (!peer.lastHeard_ || heardLately(fleet, peer, now))
        return false;
    if (!isLarge(fleet))
        return true;
    const bool target = peer.listed_.role_ == Role::Target;
    return fleet.selfRole_ == Role::Entry ? target : !target && !peer.linkUp_;
}

SpreadView spreadViewOf(const Fleet &fleet, Role selfRole, Time now)
{
    SpreadView view;
    view.members_.push_back({fleet.self_, fleet.dataCentre_, selfRole});
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool leaving = peer.listed_.leaving_ || peer.heartbeat_.leaving_;
        const bool home = peer.listed_.dataCentre_ == fleet.dataCentre_;
        const bool silent = home && fellSilent(fleet, peer, now);
        if (leaving || silent || (!peer.onList_ && !heardLately(fleet, peer, now)))
            continue;
        view.members_.push_back({vm, peer.listed_.dataCentre_, peer.listed_.role_});
    }
    return view;
}

std::vector<VmName> spreadOrder(const SpreadView &view, const DataCentreName &dataCentre)
{
    std::vector<VmName> entries;
    std::vector<VmName> targets;
    for (const SpreadMember &member : view.members_) {
        if (member.dataCentre_ == dataCentre)
            (member.role_ == Role::Entry ? entries : targets).push_back(member.vm_);
    }
    const std::size_t all = entries.size() + targets.size();
    std::vector<VmName> order = rendezvousRank(dataCentre.text_, std::move(entries), all);
    for (VmName &vm : rendezvousRank(dataCentre.text_, std::move(targets), all))
        order.push_back(std::move(vm));
    return order;
}

std::vector<VmName> treePushTargets(const RuleSpread &spread, const SpreadView &view,
                                    NewsSource source)
{
    std::vector<VmName> targets;
    const std::vector<VmName> order = spreadOrder(view, spread.dataCentre_);
    const std::size_t place = rankOf(order, spread.self_);
    const bool top = place == 0;
    if (!top && !order.empty() && source == NewsSource::Platform)
        targets.push_back(order.front());
    for (const std::size_t child : childPlaces(place, spread.policy_.fanout_, order.size()))
        targets.push_back(order[child]);
    if (top || source == NewsSource::Platform)
        addDataCentreTargets(targets, spread, view, source);
    std::erase(targets, spread.self_);
    return targets;
}

SpreadActions startSpread(RuleSpread &spread, const SpreadView &view, Time now)
{
    SpreadActions actions;
    spread.startedAt_ = now;
    spread.lastSource_ = now;
    spread.servedAt_ = now;
    spread.servedBudget_ = spread.policy_.servedBytesAtOnce_;
    for (const VmName &peer : askedAtStart(spread, view))
        sendTo(actions, peer, RulesRequest{spread.revision_});
    setWatching(spread, actions, shouldWatch(spread, view));
    spread.nextRead_ = now + startDelay(spread, view);
    return actions;
}

SpreadActions takeStoredRules(RuleSpread &spread, const SpreadView &view, const StoredRules &rules,
                              Time now)
{
    noteSource(spread, now);
    return adoptText(spread, view, NewsSource::Platform, rules.revision_, rules.text_);
}

void takePlatformReachable(RuleSpread &spread, bool reachable, Time now)
{
    if (spread.platformReachable_ || reachable)
        noteSource(spread, now);
    spread.platformReachable_ = reachable;
}

SpreadActions takePeerRevision(RuleSpread &spread, const VmName &peer, Revision revision, Time now)
{
    noteSource(spread, now);
    noteHolder(spread, peer, revision);
    if (revision <= spread.revision_)
        return {};
    const bool fetching = spread.partial_ && spread.partial_->revision_ >= revision;
    if (fetching)
        return {};
    return askForNews(spread, peer, now);
}

SpreadActions takeRulesRequest(RuleSpread &spread, const VmName &peer, const RulesRequest &request,
                               Time now)
{
    noteSource(spread, now);
    SpreadActions actions;
    if (request.have_ > spread.revision_)
        return askForNews(spread, peer, now);
    if (request.have_ == spread.revision_ && request.have_.value_ != 0) {
        RulesPart none = partHeld(spread, 0);
        none.bytes_.clear();
        sendTo(actions, peer, std::move(none));
        return actions;
    }
    const std::vector<RulesDelta> deltas = deltasFrom(spread, request.have_);
    for (const RulesDelta &delta : deltas)
        sendTo(actions, peer, delta);
    if (deltas.empty() && mayServe(spread, spread.policy_.partBytes_, now))
        sendTo(actions, peer, partHeld(spread, 0));
    return actions;
}

SpreadActions takeRulesPartRequest(RuleSpread &spread, const VmName &peer,
                                   const RulesPartRequest &request, Time now)
{
    noteSource(spread, now);
    if (request.revision_ > spread.revision_)
        return {};
    const bool sameText = request.revision_ == spread.revision_;
    const std::uint32_t part = sameText ? request.part_ : 0;
    if (part >= partCount(spread) || !mayServe(spread, spread.policy_.partBytes_, now))
        return {};
    SpreadActions actions;
    sendTo(actions, peer, partHeld(spread, part));
    return actions;
}

SpreadActions takeRulesText(RuleSpread &spread, const SpreadView &view, const VmName &peer,
                            const RulesText &rules, Time now)
{
    noteSource(spread, now);
    noteHolder(spread, peer, rules.revision_);
    return adoptText(spread, view, NewsSource::Peer, rules.revision_, rules.text_);
}

SpreadActions takeRulesDelta(RuleSpread &spread, const SpreadView &view, const VmName &peer,
                             const RulesDelta &delta, Time now)
{
    noteSource(spread, now);
    noteHolder(spread, peer, delta.to_);
    if (delta.to_ <= spread.revision_)
        return {};
    if (delta.from_ != spread.revision_)
        return askForNews(spread, peer, now);
    Result<std::string, DeltaError> text = applyRulesDelta(spread.text_, delta);
    if (ok(text))
        return adopt(spread, view, NewsSource::Peer, valueOf(std::move(text)), delta);
    SpreadActions actions;
    sendTo(actions, peer, RulesPartRequest{delta.to_, 0});
    return actions;
}

SpreadActions takeRulesPart(RuleSpread &spread, const SpreadView &view, const VmName &peer,
                            const RulesPart &part, Time now)
{
    noteSource(spread, now);
    ++spread.startAnswers_;
    noteHolder(spread, peer, part.revision_);
    if (part.revision_ <= spread.revision_ || !wellFormed(part))
        return {};
    PartialRules &partial = partialFor(spread, part, now);
    const bool sameText = partial.revision_ == part.revision_ && partial.digest_ == part.digest_;
    if (!sameText || part.part_ >= partial.parts_.size())
        return {};
    partial.parts_[part.part_] = part.bytes_;
    partial.progressAt_ = now;
    const std::optional<std::string> text = wholeText(partial);
    if (!text)
        return askForParts(spread, peer, now);
    const bool whole = textDigest(*text) == partial.digest_;
    spread.partial_.reset();
    if (!whole)
        return {};
    return adoptText(spread, view, NewsSource::Peer, part.revision_, *text);
}

std::optional<SpreadActions> takeSpreadMessage(RuleSpread &spread, const Fleet &fleet,
                                               const Envelope &envelope, Time now)
{
    const VmName &from = envelope.from_;
    const Message &message = envelope.message_;
    const auto view = [&] { return spreadViewOf(fleet, fleet.selfRole_, now); };
    if (const auto *request = std::get_if<RulesRequest>(&message))
        return takeRulesRequest(spread, from, *request, now);
    if (const auto *asked = std::get_if<RulesPartRequest>(&message))
        return takeRulesPartRequest(spread, from, *asked, now);
    if (const auto *text = std::get_if<RulesText>(&message))
        return takeRulesText(spread, view(), from, *text, now);
    if (const auto *delta = std::get_if<RulesDelta>(&message))
        return takeRulesDelta(spread, view(), from, *delta, now);
    if (const auto *part = std::get_if<RulesPart>(&message))
        return takeRulesPart(spread, view(), from, *part, now);
    return std::nullopt;
}

SpreadActions tickSpread(RuleSpread &spread, const SpreadView &view, Time now)
{
    SpreadActions actions;
    if (spread.platformReachable_)
        noteSource(spread, now);
    append(actions, askAgain(spread, now));
    dropStuckPartial(spread, now);
    if (spread.partial_ && !spread.holders_.empty())
        append(actions, askForParts(spread, spread.holders_.front(), now));
    setWatching(spread, actions, shouldWatch(spread, view));
    if (spread.revision_.value_ == 0 && spread.nextRead_ && now >= *spread.nextRead_) {
        actions.emplace_back(ReadPlatformRules{});
        spread.nextRead_ = now + backoff(spread, view);
        ++spread.readsMade_;
    }
    settle(spread, now);
    return actions;
}

Duration vmListPeriod(std::size_t listedVms, const RuleSpreadPolicy &policy, Duration shortest)
{
    const std::size_t bytes = listedVms * policy.listedVmBytes_;
    const std::size_t micros = bytes * microsPerSecond / policy.listBytesPerSecond_;
    return std::max(shortest, Duration(static_cast<std::int64_t>(micros)));
}

bool rulesSettled(const RuleSpread &spread)
{
    return spread.settled_;
}

bool servesKeyedRoutes(const RuleSpread &spread, Time now)
{
    if (spread.revision_.value_ == 0)
        return false;
    return spread.platformReachable_ || now - spread.lastSource_ <= spread.policy_.staleAfter_;
}

} // namespace eelgrasscove
