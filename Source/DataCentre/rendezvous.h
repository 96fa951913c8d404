#pragma once

/// Rendezvous hashing over VM names: every process that sees the same candidates ranks them alike,
/// and a candidate that comes or goes moves only its own places.

#include <eelgrasscove/names.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrasscove {

/// The weight of a candidate for a subject; the highest weight wins.
std::uint64_t rendezvousWeight(const std::string &subject, const VmName &candidate);

/// The count candidates with the highest weights for the subject, best first.
std::vector<VmName> rendezvousRank(const std::string &subject, std::vector<VmName> candidates,
                                   std::size_t count);

} // namespace eelgrasscove
