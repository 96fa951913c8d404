#pragma once

/// The measures of one run; docs/MEASURES.md gives the formulas.

#include "benchsimulation.h"

namespace eelgrasscove {

/// A perfect fleet's figures.
struct BoundMeasures
{
    /// Part of the requests that need a load, in percent.
    double stalledPercent_ = 0;
    double firstTokenP95Millis_ = 0;
    /// Part of the interactive requests that can't have their first token in time, in percent.
    double latePercent_ = 0;
};

struct Measures
{
    /// Part of the served requests that waited for a load, in percent.
    double stalledPercent_ = 0;
    /// Time that those waited, in milliseconds.
    double stallP50Millis_ = 0;
    double stallP95Millis_ = 0;
    double stallP99Millis_ = 0;
    /// Filled part of the batch slots while an engine runs, in percent.
    double batchPercent_ = 0;
    double tokensPerStep_ = 0;
    /// Least part of its entitled tokens that an account was served, in percent.
    double worstServedPercent_ = 0;
    /// The worst account's p95 time to first token over the median account's.
    double worstFirstTokenRatio_ = 0;
    /// Part of the entitled requests that were refused, in percent.
    double wrongfulPercent_ = 0;
    /// The same without the time in which an account sends above its rate, for that account.
    double wrongfulWithinPercent_ = 0;
    double firstTokenP95Millis_ = 0;
    double loadsPerRequest_ = 0;
    BoundMeasures clairvoyant_;
    BoundMeasures informed_;
    BoundMeasures clairvoyantEntitled_;
    BoundMeasures informedEntitled_;
    /// Part of the requests that are the first for their adapter, in percent.
    double firstRequestsPercent_ = 0;
};

Measures measure(const BenchRun &run);

} // namespace eelgrasscove
