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

/// Ratio of the variance of the prompt tokens to the square of their mean below which the
/// slope of a line can't be estimated.
constexpr double minRelativeVariance = 0.02;

/// A report of unread requests is used for this time: two reports may be lost.
constexpr Duration unreadReportTimeout = 700ms;

/// A first event that comes later than this multiple of the prediction, by more than the margin, is
/// recorded as if it had come then: one that a frozen engine delays says little of its speed.
constexpr double maxLatenessFactor = 3;
constexpr double latenessMarginMillis = 300;

/// Returns milliseconds for each prompt token.
double slopeOf(const LineFit &fit)
{
    const double meanX = fit.x_ / fit.weight_;
    const double meanY = fit.y_ / fit.weight_;
    const double variance = fit.xx_ / fit.weight_ - meanX * meanX;
    if (meanX <= 0)
        return 0;
    // Time never falls with tokens, and is never negative with none.
    const double slope = meanY / meanX;
    if (variance <= minRelativeVariance * meanX * meanX)
        return slope;
    return std::clamp((fit.xy_ / fit.weight_ - meanX * meanY) / variance, 0.0, slope);
}

/// Returns milliseconds for the number of prompt tokens.
double evaluate(const LineFit &fit, double x)
{
    const double meanX = fit.x_ / fit.weight_;
    const double meanY = fit.y_ / fit.weight_;
    return std::max(meanY + slopeOf(fit) * (x - meanX), 0.0);
}

/// Returns the model to predict by, or null if too little has been learned.
const EngineModel *modelInUse(const EngineModel &model, const EngineModel &serviceModel)
{
    if (hasOwnSamples(model))
        return &model;
    return serviceModel.samples_ >= minServiceSamples ? &serviceModel : nullptr;
}

Duration durationOf(double millis)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
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
    double millis = std::chrono::duration<double, std::milli>(elapsed).count();
    if (hasOwnSamples(model)) {
        const double predicted = evaluate(model.firstEvent_, promptTokens);
        model.meanErrorMillis_ +=
            (std::abs(predicted - millis) - model.meanErrorMillis_) * averageWeight;
        millis = std::min(millis, predicted * maxLatenessFactor + latenessMarginMillis);
    }
    addPoint(model.firstEvent_, promptTokens, millis);
    ++model.samples_;
}

bool hasOwnSamples(const EngineModel &model)
{
    return model.samples_ >= minEngineSamples;
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
    const EngineModel *used = modelInUse(model, serviceModel);
    return used == nullptr ? Duration::zero()
                           : durationOf(evaluate(used->firstEvent_, promptTokens));
}

Duration predictReading(const EngineModel &model, const EngineModel &serviceModel,
                        double promptTokens)
{
    const EngineModel *used = modelInUse(model, serviceModel);
    return used == nullptr ? Duration::zero()
                           : durationOf(slopeOf(used->firstEvent_) * promptTokens);
}

} // namespace eelgrasscove
