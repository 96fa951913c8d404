#pragma once

/// Other ways to choose whom a new revision is pushed to, as a measure for the one in use.

#include "DataCentre/ruledistribution.h"

namespace eelgrasscove::capacity {

/// Peers at random, wherever they are.
std::vector<VmName> randomPushTargets(const RuleDistribution &spread, const DistributionView &view,
                                      RevisionSource source);

/// One tree over all processes, without regard to data centres.
std::vector<VmName> flatTreePushTargets(const RuleDistribution &spread,
                                        const DistributionView &view, RevisionSource source);

/// A ring in the order of data centres and names: both neighbours, and long links whose length
/// is drawn with a probability that falls with the length, as in small-world overlays.
std::vector<VmName> smallWorldPushTargets(const RuleDistribution &spread,
                                          const DistributionView &view, RevisionSource source);

} // namespace eelgrasscove::capacity
