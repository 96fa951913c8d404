#pragma once

/// Ranks VM names by rendezvous hashing: all processes rank the same candidates identically, and
/// adding or removing a candidate leaves the relative order of the others unchanged.

#include <eelgrasscove/names.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// Returns the weight of a candidate for a subject; the highest weight wins.
std::uint64_t rendezvousWeight(const std::string &subject, const VmName &candidate);

/// Returns the count candidates with the highest weights for the subject, in descending order.
std::vector<VmName> rendezvousRank(const std::string &subject, std::vector<VmName> candidates,
                                   std::size_t count);

} // namespace eelgrasscove
