#include "topologies.h"

#include "DataCentre/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace eelgrasscove::capacity {

namespace {

constexpr std::size_t randomPeers = 4;
constexpr std::size_t longLinks = 4;

std::vector<VmName> allNames(const DistributionView &view)
{
    std::vector<VmName> names;
    names.reserve(view.members_.size());
    for (const DistributionMember &member : view.members_)
        names.push_back(member.vm_);
    return names;
}

/// A number in [0, 1) that is the same for the same words.
double fraction(const std::string &subject, const std::string &word)
{
    return static_cast<double>(rendezvousWeight(subject, {word}) >> 11U)
        / static_cast<double>(1ULL << 53U);
}

} // namespace

std::vector<VmName> randomPushTargets(const RuleDistribution &spread, const DistributionView &view,
                                      RevisionSource /*source*/)
{
    const std::string subject =
        spread.self_.text_ + std::to_string(spread.revision_.value_ + spread.randomState_);
    std::vector<VmName> names = allNames(view);
    std::erase(names, spread.self_);
    return rendezvousRank(subject, std::move(names), randomPeers);
}

std::vector<VmName> flatTreePushTargets(const RuleDistribution &spread,
                                        const DistributionView &view, RevisionSource source)
{
    const std::vector<VmName> order = rendezvousRank("flat", allNames(view), view.members_.size());
    const auto found = std::find(order.begin(), order.end(), spread.self_);
    const auto place = static_cast<std::size_t>(found - order.begin());
    const std::size_t fanout = spread.policy_.fanout_;
    std::vector<VmName> targets;
    if (source == RevisionSource::Platform && place != 0)
        targets.push_back(order.front());
    for (std::size_t child = place * fanout + 1; child <= place * fanout + fanout; ++child) {
        if (child < order.size())
            targets.push_back(order[child]);
    }
    return targets;
}

std::vector<VmName> smallWorldPushTargets(const RuleDistribution &spread,
                                          const DistributionView &view, RevisionSource /*source*/)
{
    std::vector<const DistributionMember *> ring;
    ring.reserve(view.members_.size());
    for (const DistributionMember &member : view.members_)
        ring.push_back(&member);
    std::sort(ring.begin(), ring.end(),
              [](const DistributionMember *left, const DistributionMember *right) {
                  return std::tie(left->dataCentre_, left->vm_)
                      < std::tie(right->dataCentre_, right->vm_);
              });
    const auto found =
        std::find_if(ring.begin(), ring.end(),
                     [&](const DistributionMember *member) { return member->vm_ == spread.self_; });
    const auto place = static_cast<std::size_t>(found - ring.begin());
    const std::size_t size = ring.size();
    std::set<VmName> targets;
    if (size > 1) {
        targets.insert(ring[(place + 1) % size]->vm_);
        targets.insert(ring[(place + size - 1) % size]->vm_);
    }
    for (std::size_t link = 0; link < longLinks && size > 3; ++link) {
        const double drawn = fraction(spread.self_.text_, "link" + std::to_string(link));
        // The inverse of the harmonic distribution over 1 .. size/2.
        const auto length =
            static_cast<std::size_t>(std::pow(static_cast<double>(size) / 2, drawn));
        const bool forward = fraction(spread.self_.text_, "side" + std::to_string(link)) < 0.5;
        targets.insert(ring[(place + (forward ? length : size - length)) % size]->vm_);
    }
    targets.erase(spread.self_);
    return {targets.begin(), targets.end()};
}

} // namespace eelgrasscove::capacity
