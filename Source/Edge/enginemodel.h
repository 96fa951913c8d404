#pragma once

/// Predicts when an engine writes the first event of a request. Pure functions: no clock, I/O or
/// threads.
///
/// An engine reads prompts one after another, between the tokens of the requests that it runs. With
/// long prompts this, and not the number of slots, is its capacity: an engine with many free slots
/// may take seconds to begin another request. The time that a prompt token takes is not known in
/// advance and differs between engines; it is learned from the first events of requests by a line
/// fit, time = intercept + slope * prompt tokens ahead, for each engine and for its whole service.

#include <eelgrasscove/time.h>

#include <cstdint>

namespace eelgrasscove {

/// Least-squares fit of a line with exponentially decreasing weights.
struct LineFit
{
    double weight_ = 0;
    double x_ = 0;
    double y_ = 0;
    double xx_ = 0;
    double xy_ = 0;
};

void addPoint(LineFit &fit, double x, double y);

/// What has been learned of one engine, or of all engines of a service together.
struct EngineModel
{
    /// Milliseconds to the first event by prompt tokens.
    LineFit firstEvent_;
    /// Moving average of the absolute error of the predictions, in milliseconds.
    double meanErrorMillis_ = 0;
    /// Moving average of the prompt tokens of a request.
    double meanPromptTokens_ = 0;
    std::uint32_t samples_ = 0;
};

/// Prompts at an engine that it has not finished reading.
struct PromptBacklog
{
    /// Requests of this entry without a first event, and their prompt tokens.
    std::uint32_t ownRequests_ = 0;
    double ownTokens_ = 0;
    /// The latest report of the engine's agent: requests of all entries without a first token, and
    /// the value of ownRequests_ at that time. Valid until expiresAt_.
    std::uint32_t reportedRequests_ = 0;
    std::uint32_t ownAtReport_ = 0;
    Time expiresAt_;
};

/// Records the first event of a request that was sent when promptTokens were unread at the engine,
/// its own included.
void recordFirstEvent(EngineModel &model, double promptTokens, Duration elapsed);

/// Records the prompt tokens of a request.
void recordPrompt(EngineModel &model, double promptTokens);

/// Records a report of the number of requests without a first token.
void recordUnread(PromptBacklog &backlog, std::uint32_t requests, Time now);

/// Estimates the unread prompt tokens at the engine, over all entries. meanPromptTokens is used for
/// the requests of other entries.
double unreadTokens(const PromptBacklog &backlog, double meanPromptTokens, Time now);

/// Whether the engine's own samples are enough for predictions.
bool hasOwnSamples(const EngineModel &model);

/// Predicts the time from sending a request to its first event, if promptTokens are unread at the
/// engine then. serviceModel is used for an engine that has few samples; zero if it has few, too.
Duration predictFirstEvent(const EngineModel &model, const EngineModel &serviceModel,
                           double promptTokens);

/// Predicts the time in which the engine reads promptTokens: the part of predictFirstEvent() that
/// grows with them.
Duration predictReading(const EngineModel &model, const EngineModel &serviceModel,
                        double promptTokens);

} // namespace eelgrasscove
