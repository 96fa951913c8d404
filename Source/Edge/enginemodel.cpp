#include "Edge/enginemodel.h"

#include <algorithm>
#include <cmath>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Weight of earlier points after each new one: about the last 40 count.
constexpr double pointRetention = 0.975;
/// Weight of a new value in moving averages.
constexpr double averageWeight = 0.05;

/// Minimum number of samples of an engine, and of a service, for predictions.
constexpr std::uint32_t minEngineSamples = 8;
constexpr std::uint32_t minServiceSamples = 12;

/// Ratio of the variance of the prompt tokens to the square of their mean below which a line can't
/// be told from a constant.
constexpr double minRelativeVariance = 0.02;

/// A report of unread requests is used for this time: two reports may be lost.
constexpr Duration unreadReportTimeout = 700ms;

/// Returns milliseconds for the number of prompt tokens.
double evaluate(const LineFit &fit, double x)
{
    const double meanX = fit.x_ / fit.weight_;
    const double meanY = fit.y_ / fit.weight_;
    const double variance = fit.xx_ / fit.weight_ - meanX * meanX;
    if (meanX <= 0)
        return meanY;
    // Time never falls with tokens, and is never negative with none.
    double slope = meanY / meanX;
    if (variance > minRelativeVariance * meanX * meanX)
        slope = std::clamp((fit.xy_ / fit.weight_ - meanX * meanY) / variance, 0.0, slope);
    return std::max(meanY + slope * (x - meanX), 0.0);
}

} // namespace

void addPoint(LineFit &fit, double x, double y)
{
    fit.weight_ = fit.weight_ * pointRetention + 1;
    fit.x_ = fit.x_ * pointRetention + x;
    fit.y_ = fit.y_ * pointRetention + y;
    fit.xx_ = fit.xx_ * pointRetention + x * x;
    fit.xy_ = fit.xy_ * pointRetention + x * y;
}

void recordFirstEvent(EngineModel &model, double promptTokens, Duration elapsed)
{
    const double millis = std::chrono::duration<double, std::milli>(elapsed).count();
    if (model.samples_ >= minEngineSamples) {
        const double error = std::abs(evaluate(model.firstEvent_, promptTokens) - millis);
        model.meanErrorMillis_ += (error - model.meanErrorMillis_) * averageWeight;
    }
    addPoint(model.firstEvent_, promptTokens, millis);
    ++model.samples_;
}

void recordPrompt(EngineModel &model, double promptTokens)
{
    model.meanPromptTokens_ = model.meanPromptTokens_ == 0
        ? promptTokens
        : model.meanPromptTokens_ + (promptTokens - model.meanPromptTokens_) * averageWeight;
}

void recordUnread(PromptBacklog &backlog, std::uint32_t requests, Time now)
{
    backlog.reportedRequests_ = requests;
    backlog.ownAtReport_ = backlog.ownRequests_;
    backlog.expiresAt_ = now + unreadReportTimeout;
}

double unreadTokens(const PromptBacklog &backlog, double meanPromptTokens, Time now)
{
    if (now >= backlog.expiresAt_)
        return backlog.ownTokens_;
    // A report contains this entry's requests of the time, as far as they had arrived.
    const double others = static_cast<double>(backlog.reportedRequests_)
        - static_cast<double>(std::min(backlog.ownAtReport_, backlog.reportedRequests_));
    return backlog.ownTokens_ + others * meanPromptTokens;
}

Duration predictFirstEvent(const EngineModel &model, const EngineModel &serviceModel,
                           double promptTokens)
{
    const EngineModel *used = &model;
    if (model.samples_ < minEngineSamples)
        used = &serviceModel;
    if (used == &serviceModel && serviceModel.samples_ < minServiceSamples)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(evaluate(used->firstEvent_, promptTokens)));
}

} // namespace eelgrasscove
