#include "DataCentre/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace eelgrasscove {

namespace {

struct WeightedCandidate
{
    std::uint64_t weight_ = 0;
    VmName vm_;
};

bool hasHigherWeight(const WeightedCandidate &left, const WeightedCandidate &right)
{
    if (left.weight_ != right.weight_)
        return left.weight_ > right.weight_;
    return left.vm_ < right.vm_;
}

} // namespace

std::uint64_t rendezvousWeight(const std::string &subject, const VmName &candidate)
{
    const XXH64_hash_t seed = XXH64(subject.data(), subject.size(), 0);
    return XXH64(candidate.text_.data(), candidate.text_.size(), seed);
}

std::vector<VmName> rendezvousRank(const std::string &subject, std::vector<VmName> candidates,
                                   std::size_t count)
{
    std::vector<WeightedCandidate> weighted;
    weighted.reserve(candidates.size());
    for (VmName &candidate : candidates) {
        const std::uint64_t weight = rendezvousWeight(subject, candidate);
        weighted.push_back({weight, std::move(candidate)});
    }
    const std::size_t kept = std::min(count, weighted.size());
    const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(weighted.begin(), middle, weighted.end(), hasHigherWeight);
    std::vector<VmName> ranked;
    ranked.reserve(kept);
    for (std::size_t place = 0; place < kept; ++place)
        ranked.push_back(std::move(weighted[place].vm_));
    return ranked;
}

} // namespace eelgrasscove
