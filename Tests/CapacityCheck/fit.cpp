#include "fit.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove::capacity {

double valueAt(const Fit &fit, double x)
{
    return fit.intercept_ + fit.slope_ * x;
}

Fit fitLine(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    for (const Point &point : points) {
        sumX += point.x_;
        sumY += point.y_;
    }
    double spread = 0;
    double common = 0;
    for (const Point &point : points) {
        const double fromMean = point.x_ - sumX / count;
        spread += fromMean * fromMean;
        common += fromMean * point.y_;
    }
    Fit fit;
    fit.slope_ = common / spread;
    fit.intercept_ = sumY / count - fit.slope_ * sumX / count;
    double largest = 0;
    double farthest = 0;
    for (const Point &point : points) {
        largest = std::max(largest, std::abs(point.y_));
        farthest = std::max(farthest, std::abs(point.y_ - valueAt(fit, point.x_)));
    }
    fit.error_ = largest > 0 ? farthest / largest : 0;
    return fit;
}

} // namespace eelgrasscove::capacity
