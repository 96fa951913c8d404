#pragma once

/// Straight lines through measured points.

#include <vector>

namespace eelgrasscove::capacity {

struct Point
{
    double x_ = 0;
    double y_ = 0;
};

/// y = intercept + slope * x by least squares; error is the largest distance of a point from the
/// line, as a share of the largest y.
struct Fit
{
    double intercept_ = 0;
    double slope_ = 0;
    double error_ = 0;
};

Fit fitLine(const std::vector<Point> &points);

double valueAt(const Fit &fit, double x);

} // namespace eelgrasscove::capacity
