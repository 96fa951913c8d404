#include "DataCentre/ruledistribution.h"

#include "DataCentre/rendezvous.h"
#include "DataCentre/rulesdelta.h"

#include <algorithm>
#include <set>

namespace eelgrasscove {

namespace {

/// Maximum number of holders kept for fetching parts.
constexpr std::size_t maximumHolders = 8;
constexpr std::size_t microsPerSecond = 1000000;
/// Number of request timeouts without a new part after which a fetch is abandoned.
constexpr int partialTimeoutFactor = 5;

/// Returns the next number of the SplitMix64 generator.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

/// Returns a random duration from 0 up to, but excluding, the span.
Duration jitter(RuleDistribution &spread, Duration span)
{
    const auto width = static_cast<std::uint64_t>(std::max<std::int64_t>(span.count(), 1));
    return Duration(static_cast<std::int64_t>(nextRandom(spread.randomState_) % width));
}

void append(DistributionActions &actions, DistributionActions more)
{
    for (DistributionAction &action : more)
        actions.push_back(std::move(action));
}

void sendTo(DistributionActions &actions, const VmName &peer, Message message)
{
    actions.emplace_back(SendToPeer{peer, std::move(message)});
}

/// Returns the VM's position in the order, or the size of the order if it is absent.
std::size_t rankOf(const std::vector<VmName> &order, const VmName &vm)
{
    return static_cast<std::size_t>(std::find(order.begin(), order.end(), vm) - order.begin());
}

/// Returns the positions of the children of a node in a heap-shaped tree.
std::vector<std::size_t> childPositions(std::size_t place, std::size_t fanout, std::size_t size)
{
    std::vector<std::size_t> children;
    for (std::size_t child = place * fanout + 1; child <= place * fanout + fanout; ++child) {
        if (child < size)
            children.push_back(child);
    }
    return children;
}

std::vector<DataCentreName> dataCentresOf(const DistributionView &view)
{
    std::set<DataCentreName> names;
    for (const DistributionMember &member : view.members_)
        names.insert(member.dataCentre_);
    return {names.begin(), names.end()};
}

void addRootOf(std::vector<VmName> &targets, const DistributionView &view,
               const DataCentreName &dataCentre)
{
    const std::vector<VmName> order = distributionOrder(view, dataCentre);
    if (!order.empty())
        targets.push_back(order.front());
}

/// Adds the next targets in the tree over data centres. A process that received the revision from
/// the platform also pushes to the root, where the push through this tree starts.
void addDataCentreTreeTargets(std::vector<VmName> &targets, const RuleDistribution &spread,
                              const DistributionView &view, RevisionSource source)
{
    const std::vector<DataCentreName> centres = dataCentresOf(view);
    const auto found = std::find(centres.begin(), centres.end(), spread.dataCentre_);
    const auto place = static_cast<std::size_t>(found - centres.begin());
    if (source == RevisionSource::Platform && place != 0)
        addRootOf(targets, view, centres.front());
    for (const std::size_t child : childPositions(place, spread.policy_.fanout_, centres.size()))
        addRootOf(targets, view, centres[child]);
}

void addToHistory(RuleDistribution &spread, RulesDelta delta)
{
    spread.historyBytes_ += rulesDeltaBytes(delta);
    spread.history_.push_back(std::move(delta));
    while (spread.historyBytes_ > spread.policy_.historyBytes_) {
        spread.historyBytes_ -= rulesDeltaBytes(spread.history_.front());
        spread.history_.pop_front();
    }
}

std::uint32_t partCount(const RuleDistribution &spread)
{
    const std::size_t size = spread.policy_.partBytes_;
    return static_cast<std::uint32_t>(
        std::max<std::size_t>((spread.text_.size() + size - 1) / size, 1));
}

/// Returns a part of the held rules; a part count of 0 if no rules are held.
RulesPart makePart(const RuleDistribution &spread, std::uint32_t number)
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

/// Deducts the bytes from the budget for serving parts; returns false if the budget is too small.
bool consumeServedBudget(RuleDistribution &spread, std::size_t bytes, Time now)
{
    const RuleDistributionPolicy &policy = spread.policy_;
    const auto micros = static_cast<std::size_t>(
        std::max<std::int64_t>((now - spread.servedBudgetUpdatedAt_).count(), 0));
    const std::size_t span = std::min(micros, 10 * microsPerSecond);
    const std::size_t gained = span * policy.servedBytesPerSecond_ / microsPerSecond;
    spread.servedBudgetUpdatedAt_ = std::max(now, spread.servedBudgetUpdatedAt_);
    spread.servedBudget_ = std::min(spread.servedBudget_ + gained, policy.servedBurstBytes_);
    if (spread.servedBudget_ < bytes)
        return false;
    spread.servedBudget_ -= bytes;
    return true;
}

/// Returns the message to push: the delta if it is small enough, else the first part of the text.
Message updateMessage(const RuleDistribution &spread, const RulesDelta &delta)
{
    const bool small =
        rulesDeltaBytes(delta) <= std::max(spread.policy_.partBytes_, spread.text_.size() / 2);
    if (delta.from_.value_ != 0 && small)
        return delta;
    return makePart(spread, 0);
}

void pushUpdate(DistributionActions &actions, const RuleDistribution &spread,
                const DistributionView &view, RevisionSource source, const RulesDelta &delta)
{
    const Message update = updateMessage(spread, delta);
    for (const VmName &peer : spread.policy_.pushChoice_(spread, view, source))
        sendTo(actions, peer, update);
}

/// Adopts a higher revision and pushes it to further peers.
DistributionActions adoptRevision(RuleDistribution &spread, const DistributionView &view,
                                  RevisionSource source, std::string text, RulesDelta delta)
{
    spread.revision_ = delta.to_;
    spread.text_ = std::move(text);
    spread.digest_ = delta.digest_;
    const bool caughtUp = spread.revision_ >= spread.highestKnownRevision_;
    if (caughtUp)
        spread.pendingRequest_.reset();
    spread.nextReadAt_.reset();
    if (spread.partial_ && spread.partial_->revision_ <= spread.revision_)
        spread.partial_.reset();
    DistributionActions actions;
    actions.emplace_back(AdoptRules{{spread.revision_, spread.text_}});
    // Intermediate revisions are not pushed while a higher one is known and still to be fetched.
    if (caughtUp)
        pushUpdate(actions, spread, view, source, delta);
    if (delta.from_.value_ != 0)
        addToHistory(spread, std::move(delta));
    return actions;
}

DistributionActions adoptText(RuleDistribution &spread, const DistributionView &view,
                              RevisionSource source, Revision revision, const std::string &text)
{
    if (revision <= spread.revision_)
        return {};
    RulesDelta delta;
    delta.to_ = revision;
    delta.digest_ = textDigest(text);
    if (spread.revision_.value_ != 0)
        delta = makeRulesDelta(spread.text_, text, spread.revision_, revision);
    return adoptRevision(spread, view, source, text, std::move(delta));
}

void recordHolder(RuleDistribution &spread, const VmName &peer, Revision revision)
{
    if (revision < spread.highestKnownRevision_)
        return;
    if (revision > spread.highestKnownRevision_)
        spread.holders_.clear();
    spread.highestKnownRevision_ = revision;
    const bool known = rankOf(spread.holders_, peer) < spread.holders_.size();
    if (!known && spread.holders_.size() < maximumHolders)
        spread.holders_.push_back(peer);
}

void recordSourceContact(RuleDistribution &spread, Time now)
{
    spread.lastSourceContactAt_ = std::max(spread.lastSourceContactAt_, now);
}

DistributionActions requestRules(RuleDistribution &spread, const VmName &peer, Time now)
{
    if (spread.pendingRequest_
        && now - spread.pendingRequest_->requestedAt_ < spread.policy_.requestTimeout_)
        return {};
    spread.pendingRequest_ = PendingRulesRequest{peer, now};
    DistributionActions actions;
    sendTo(actions, peer, RulesRequest{spread.revision_});
    return actions;
}

/// Sends a request that timed out to a random holder of the highest known revision.
DistributionActions retryRequest(RuleDistribution &spread, Time now)
{
    if (!spread.pendingRequest_
        || now - spread.pendingRequest_->requestedAt_ < spread.policy_.requestTimeout_)
        return {};
    spread.pendingRequest_.reset();
    if (spread.highestKnownRevision_ <= spread.revision_ || spread.holders_.empty())
        return {};
    const std::size_t index = nextRandom(spread.randomState_) % spread.holders_.size();
    return requestRules(spread, spread.holders_[index], now);
}

/// Requests missing parts from random holders, up to the limit of concurrent requests.
DistributionActions requestParts(RuleDistribution &spread, const VmName &fallback, Time now)
{
    DistributionActions actions;
    PartialRules &partial = *spread.partial_;
    std::erase_if(partial.pendingParts_, [&](const PendingPartRequest &request) {
        const bool late = now - request.requestedAt_ >= spread.policy_.requestTimeout_;
        return late || partial.parts_[request.part_].has_value();
    });
    for (std::uint32_t part = 0; part < partial.parts_.size(); ++part) {
        if (partial.pendingParts_.size() >= spread.policy_.maximumPendingParts_)
            break;
        const auto isPart = [part](const PendingPartRequest &request) {
            return request.part_ == part;
        };
        if (partial.parts_[part]
            || std::any_of(partial.pendingParts_.begin(), partial.pendingParts_.end(), isPart))
            continue;
        partial.pendingParts_.push_back({part, now});
        const bool anyHolder =
            spread.highestKnownRevision_ == partial.revision_ && !spread.holders_.empty();
        const std::size_t randomNumber = nextRandom(spread.randomState_);
        const VmName peer =
            anyHolder ? spread.holders_[randomNumber % spread.holders_.size()] : fallback;
        sendTo(actions, peer, RulesPartRequest{partial.revision_, part});
    }
    return actions;
}

/// Returns the whole text, or nothing while a part is missing.
std::optional<std::string> joinParts(const PartialRules &partial)
{
    std::string text;
    for (const std::optional<std::string> &part : partial.parts_) {
        if (!part)
            return std::nullopt;
        text += *part;
    }
    return text;
}

/// Maximum number of parts of a text; a message that states more is damaged.
constexpr std::uint32_t maximumParts = 16384;

bool isWellFormed(const RulesPart &part)
{
    return part.revision_.value_ != 0 && part.part_ < part.parts_ && part.parts_ <= maximumParts;
}

PartialRules &findOrStartPartial(RuleDistribution &spread, const RulesPart &part, Time now)
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

void discardStalledPartial(RuleDistribution &spread, Time now)
{
    const Duration timeout = partialTimeoutFactor * spread.policy_.requestTimeout_;
    if (spread.partial_ && now - spread.partial_->progressAt_ > timeout)
        spread.partial_.reset();
}

/// Marks the rules as settled once enough peers have replied or the maximum wait has passed, and no
/// higher revision is known.
void updateSettled(RuleDistribution &spread, Time now)
{
    const bool hasEnoughReplies = spread.startReplies_ >= spread.policy_.peersQueriedAtStart_;
    const bool hasWaited = now - spread.startedAt_ >= spread.policy_.startMaximumWait_;
    const bool behind = spread.revision_ < spread.highestKnownRevision_;
    if (spread.revision_.value_ != 0 && !behind && (hasEnoughReplies || hasWaited))
        spread.settled_ = true;
}

bool shouldWatch(const RuleDistribution &spread, const DistributionView &view)
{
    if (view.members_.size() <= spread.policy_.maxMembersForWatchByAll_)
        return true;
    const std::vector<VmName> order = distributionOrder(view, spread.dataCentre_);
    return rankOf(order, spread.self_) < spread.policy_.watchersPerDataCentre_;
}

/// Returns the window in which one read by every process stays within the rate for the whole
/// system.
Duration sharedWindow(const RuleDistribution &spread, const DistributionView &view)
{
    const auto members = static_cast<std::int64_t>(view.members_.size());
    return Duration(std::chrono::seconds(1)) * members / spread.policy_.startReadsPerSecond_;
}

/// Returns the wait before the next read: full jitter over a window that doubles up to the cap.
Duration backoff(RuleDistribution &spread, const DistributionView &view)
{
    const RuleDistributionPolicy &policy = spread.policy_;
    const std::uint32_t doublings = std::min(spread.readsMade_, 16U);
    const Duration window =
        std::min(policy.initialBackoff_ * (1U << doublings), policy.maximumBackoff_);
    return policy.initialBackoff_ + jitter(spread, std::max(window, sharedWindow(spread, view)));
}

/// Returns the delay before the first read. For processes other than watchers it leaves peers time
/// to reply and keeps the reads within the rate for the whole system.
Duration startDelay(RuleDistribution &spread, const DistributionView &view)
{
    const RuleDistributionPolicy &policy = spread.policy_;
    if (spread.watching_)
        return jitter(spread, policy.watcherJitter_);
    return 2 * policy.startMaximumWait_ + jitter(spread, sharedWindow(spread, view));
}

void setWatching(RuleDistribution &spread, DistributionActions &actions, bool on)
{
    if (spread.watching_ == on)
        return;
    spread.watching_ = on;
    actions.emplace_back(WatchPlatformRules{on});
}

std::vector<VmName> peersToQueryAtStart(const RuleDistribution &spread,
                                        const DistributionView &view)
{
    std::vector<VmName> near;
    std::vector<VmName> far;
    for (const DistributionMember &member : view.members_) {
        if (member.vm_ == spread.self_)
            continue;
        (member.dataCentre_ == spread.dataCentre_ ? near : far).push_back(member.vm_);
    }
    const std::size_t wanted = spread.policy_.peersQueriedAtStart_;
    std::vector<VmName> chosen = rendezvousRank(spread.self_.text_, std::move(near), wanted);
    for (VmName &vm : rendezvousRank(spread.self_.text_, std::move(far), wanted - chosen.size()))
        chosen.push_back(std::move(vm));
    return chosen;
}

/// Returns the past deltas that lead from the peer's revision to the held one.
std::vector<RulesDelta> deltasFrom(const RuleDistribution &spread, Revision have)
{
    const auto first = std::find_if(spread.history_.begin(), spread.history_.end(),
                                    [&](const RulesDelta &delta) { return delta.from_ == have; });
    return {first, spread.history_.end()};
}

} // namespace

/// Whether contact with the peer has ceased. In a large fleet only target processes send to entries
/// continuously, and a target process has links to all entries of its data centre. The removal of
/// other peers is known only from the VM list.
static bool isSilent(const Fleet &fleet, const Peer &peer, Time now)
{
    if (!peer.lastContactAt_ || hasRecentContact(fleet, peer, now))
        return false;
    if (!isLarge(fleet))
        return true;
    const bool target = peer.listed_.role_ == Role::Target;
    return fleet.selfRole_ == Role::Entry ? target : !target && !peer.linkUp_;
}

DistributionView makeDistributionView(const Fleet &fleet, Role selfRole, Time now)
{
    DistributionView view;
    view.members_.push_back({fleet.self_, fleet.dataCentre_, selfRole});
    for (const auto &[vm, peer] : fleet.peers_) {
        const bool draining = peer.listed_.leaving_ || peer.heartbeat_.leaving_;
        const bool sameDataCentre = peer.listed_.dataCentre_ == fleet.dataCentre_;
        const bool silent = sameDataCentre && isSilent(fleet, peer, now);
        if (draining || silent || (!peer.isListed_ && !hasRecentContact(fleet, peer, now)))
            continue;
        view.members_.push_back({vm, peer.listed_.dataCentre_, peer.listed_.role_});
    }
    return view;
}

std::vector<VmName> distributionOrder(const DistributionView &view,
                                      const DataCentreName &dataCentre)
{
    std::vector<VmName> entries;
    std::vector<VmName> targets;
    for (const DistributionMember &member : view.members_) {
        if (member.dataCentre_ == dataCentre)
            (member.role_ == Role::Entry ? entries : targets).push_back(member.vm_);
    }
    const std::size_t all = entries.size() + targets.size();
    std::vector<VmName> order = rendezvousRank(dataCentre.text_, std::move(entries), all);
    for (VmName &vm : rendezvousRank(dataCentre.text_, std::move(targets), all))
        order.push_back(std::move(vm));
    return order;
}

std::vector<VmName> treePushPeers(const RuleDistribution &spread, const DistributionView &view,
                                  RevisionSource source)
{
    std::vector<VmName> targets;
    const std::vector<VmName> order = distributionOrder(view, spread.dataCentre_);
    const std::size_t place = rankOf(order, spread.self_);
    const bool top = place == 0;
    if (!top && !order.empty() && source == RevisionSource::Platform)
        targets.push_back(order.front());
    for (const std::size_t child : childPositions(place, spread.policy_.fanout_, order.size()))
        targets.push_back(order[child]);
    if (top || source == RevisionSource::Platform)
        addDataCentreTreeTargets(targets, spread, view, source);
    std::erase(targets, spread.self_);
    return targets;
}

DistributionActions startRuleDistribution(RuleDistribution &spread, const DistributionView &view,
                                          Time now)
{
    DistributionActions actions;
    spread.startedAt_ = now;
    spread.lastSourceContactAt_ = now;
    spread.servedBudgetUpdatedAt_ = now;
    spread.servedBudget_ = spread.policy_.servedBurstBytes_;
    for (const VmName &peer : peersToQueryAtStart(spread, view))
        sendTo(actions, peer, RulesRequest{spread.revision_});
    setWatching(spread, actions, shouldWatch(spread, view));
    spread.nextReadAt_ = now + startDelay(spread, view);
    return actions;
}

DistributionActions handleStoredRules(RuleDistribution &spread, const DistributionView &view,
                                      const StoredRules &rules, Time now)
{
    recordSourceContact(spread, now);
    return adoptText(spread, view, RevisionSource::Platform, rules.revision_, rules.text_);
}

void recordPlatformReachable(RuleDistribution &spread, bool reachable, Time now)
{
    if (spread.platformReachable_ || reachable)
        recordSourceContact(spread, now);
    spread.platformReachable_ = reachable;
}

DistributionActions handlePeerRevision(RuleDistribution &spread, const VmName &peer,
                                       Revision revision, Time now)
{
    recordSourceContact(spread, now);
    recordHolder(spread, peer, revision);
    if (revision <= spread.revision_)
        return {};
    const bool fetching = spread.partial_ && spread.partial_->revision_ >= revision;
    if (fetching)
        return {};
    return requestRules(spread, peer, now);
}

DistributionActions handleRulesRequest(RuleDistribution &spread, const VmName &peer,
                                       const RulesRequest &request, Time now)
{
    recordSourceContact(spread, now);
    DistributionActions actions;
    if (request.have_ > spread.revision_)
        return requestRules(spread, peer, now);
    if (request.have_ == spread.revision_ && request.have_.value_ != 0) {
        RulesPart none = makePart(spread, 0);
        none.bytes_.clear();
        sendTo(actions, peer, std::move(none));
        return actions;
    }
    const std::vector<RulesDelta> deltas = deltasFrom(spread, request.have_);
    for (const RulesDelta &delta : deltas)
        sendTo(actions, peer, delta);
    if (deltas.empty() && consumeServedBudget(spread, spread.policy_.partBytes_, now))
        sendTo(actions, peer, makePart(spread, 0));
    return actions;
}

DistributionActions handleRulesPartRequest(RuleDistribution &spread, const VmName &peer,
                                           const RulesPartRequest &request, Time now)
{
    recordSourceContact(spread, now);
    if (request.revision_ > spread.revision_)
        return {};
    const bool sameText = request.revision_ == spread.revision_;
    const std::uint32_t part = sameText ? request.part_ : 0;
    if (part >= partCount(spread) || !consumeServedBudget(spread, spread.policy_.partBytes_, now))
        return {};
    DistributionActions actions;
    sendTo(actions, peer, makePart(spread, part));
    return actions;
}

DistributionActions handleRulesText(RuleDistribution &spread, const DistributionView &view,
                                    const VmName &peer, const RulesText &rules, Time now)
{
    recordSourceContact(spread, now);
    recordHolder(spread, peer, rules.revision_);
    return adoptText(spread, view, RevisionSource::Peer, rules.revision_, rules.text_);
}

DistributionActions handleRulesDelta(RuleDistribution &spread, const DistributionView &view,
                                     const VmName &peer, const RulesDelta &delta, Time now)
{
    recordSourceContact(spread, now);
    recordHolder(spread, peer, delta.to_);
    if (delta.to_ <= spread.revision_)
        return {};
    if (delta.from_ != spread.revision_)
        return requestRules(spread, peer, now);
    Result<std::string, DeltaError> text = applyRulesDelta(spread.text_, delta);
    if (ok(text))
        return adoptRevision(spread, view, RevisionSource::Peer, valueOf(std::move(text)), delta);
    DistributionActions actions;
    sendTo(actions, peer, RulesPartRequest{delta.to_, 0});
    return actions;
}

DistributionActions handleRulesPart(RuleDistribution &spread, const DistributionView &view,
                                    const VmName &peer, const RulesPart &part, Time now)
{
    recordSourceContact(spread, now);
    ++spread.startReplies_;
    recordHolder(spread, peer, part.revision_);
    if (part.revision_ <= spread.revision_ || !isWellFormed(part))
        return {};
    PartialRules &partial = findOrStartPartial(spread, part, now);
    const bool sameText = partial.revision_ == part.revision_ && partial.digest_ == part.digest_;
    if (!sameText || part.part_ >= partial.parts_.size())
        return {};
    partial.parts_[part.part_] = part.bytes_;
    partial.progressAt_ = now;
    const std::optional<std::string> text = joinParts(partial);
    if (!text)
        return requestParts(spread, peer, now);
    const bool digestMatches = textDigest(*text) == partial.digest_;
    spread.partial_.reset();
    if (!digestMatches)
        return {};
    return adoptText(spread, view, RevisionSource::Peer, part.revision_, *text);
}

std::optional<DistributionActions> handleDistributionMessage(RuleDistribution &spread,
                                                             const Fleet &fleet,
                                                             const Envelope &envelope, Time now)
{
    const VmName &from = envelope.from_;
    const Message &message = envelope.message_;
    const auto view = [&] { return makeDistributionView(fleet, fleet.selfRole_, now); };
    if (const auto *request = std::get_if<RulesRequest>(&message))
        return handleRulesRequest(spread, from, *request, now);
    if (const auto *partRequest = std::get_if<RulesPartRequest>(&message))
        return handleRulesPartRequest(spread, from, *partRequest, now);
    if (const auto *text = std::get_if<RulesText>(&message))
        return handleRulesText(spread, view(), from, *text, now);
    if (const auto *delta = std::get_if<RulesDelta>(&message))
        return handleRulesDelta(spread, view(), from, *delta, now);
    if (const auto *part = std::get_if<RulesPart>(&message))
        return handleRulesPart(spread, view(), from, *part, now);
    return std::nullopt;
}

DistributionActions tickRuleDistribution(RuleDistribution &spread, const DistributionView &view,
                                         Time now)
{
    DistributionActions actions;
    if (spread.platformReachable_)
        recordSourceContact(spread, now);
    append(actions, retryRequest(spread, now));
    discardStalledPartial(spread, now);
    if (spread.partial_ && !spread.holders_.empty())
        append(actions, requestParts(spread, spread.holders_.front(), now));
    setWatching(spread, actions, shouldWatch(spread, view));
    if (spread.revision_.value_ == 0 && spread.nextReadAt_ && now >= *spread.nextReadAt_) {
        actions.emplace_back(ReadPlatformRules{});
        spread.nextReadAt_ = now + backoff(spread, view);
        ++spread.readsMade_;
    }
    updateSettled(spread, now);
    return actions;
}

Duration vmListReadPeriod(std::size_t listedVms, const RuleDistributionPolicy &policy,
                          Duration shortest)
{
    const std::size_t bytes = listedVms * policy.vmListRowBytes_;
    const std::size_t micros = bytes * microsPerSecond / policy.listBytesPerSecond_;
    return std::max(shortest, Duration(static_cast<std::int64_t>(micros)));
}

bool areRulesSettled(const RuleDistribution &spread)
{
    return spread.settled_;
}

bool canServeKeyedRoutes(const RuleDistribution &spread, Time now)
{
    if (spread.revision_.value_ == 0)
        return false;
    return spread.platformReachable_
        || now - spread.lastSourceContactAt_ <= spread.policy_.staleAfter_;
}

} // namespace eelgrasscove
