#include "measures.h"

#include <algorithm>

namespace eelgrasscove {

namespace {

double millis(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * part)];
}

double percent(double part, double whole)
{
    return whole > 0 ? 100 * part / whole : 0;
}

std::vector<double> stallTimes(const BenchRun &run)
{
    std::vector<double> times;
    for (const RequestOutcome &outcome : run.outcomes_) {
        if (outcome.finished_ && outcome.stalled_)
            times.push_back(millis(outcome.loadedAt_ - outcome.queuedAt_));
    }
    return times;
}

std::vector<double> firstTokenTimes(const BenchRun &run, std::uint32_t account)
{
    std::vector<double> times;
    for (std::size_t index = 0; index < run.requests_.size(); ++index) {
        const bool counts = account == benchAccounts || run.requests_[index].account_ == account;
        const bool interactive = run.requests_[index].priority_ == Priority::Interactive;
        if (counts && interactive && run.outcomes_[index].finished_)
            times.push_back(millis(run.outcomes_[index].firstTokenAt_ - run.requests_[index].at_));
    }
    return times;
}

double worstServed(const BenchRun &run)
{
    double worst = 100;
    for (std::uint32_t account = 0; account < benchAccounts; ++account) {
        std::int64_t entitled = 0;
        std::int64_t served = 0;
        for (std::size_t index = 0; index < run.requests_.size(); ++index) {
            const BenchRequest &request = run.requests_[index];
            if (request.account_ != account)
                continue;
            const std::int64_t tokens = request.promptTokens_ + request.outputTokens_;
            entitled += run.outcomes_[index].entitled_ ? tokens : 0;
            served += run.outcomes_[index].finished_ ? tokens : 0;
        }
        worst =
            std::min(worst, percent(static_cast<double>(served), static_cast<double>(entitled)));
    }
    return worst;
}

double worstFirstTokenRatio(const BenchRun &run)
{
    std::vector<double> tails;
    for (std::uint32_t account = 0; account < benchAccounts; ++account)
        tails.push_back(quantile(firstTokenTimes(run, account), 0.95));
    std::sort(tails.begin(), tails.end());
    return tails[benchAccounts / 2] > 0 ? tails.back() / tails[benchAccounts / 2] : 0;
}

void measureRefusals(const BenchRun &run, Measures &measures)
{
    double entitled = 0;
    double wrongful = 0;
    double entitledWithin = 0;
    double wrongfulWithin = 0;
    for (std::size_t index = 0; index < run.requests_.size(); ++index) {
        const RequestOutcome &outcome = run.outcomes_[index];
        if (!outcome.entitled_)
            continue;
        const double refused = outcome.admitted_ ? 0 : 1;
        const double within = run.requests_[index].excess_ ? 0 : 1;
        entitled += 1;
        wrongful += refused;
        entitledWithin += within;
        wrongfulWithin += refused * within;
    }
    measures.wrongfulPercent_ = percent(wrongful, entitled);
    measures.wrongfulWithinPercent_ = percent(wrongfulWithin, entitledWithin);
}

BoundMeasures measureBound(const FleetBound &bound)
{
    std::vector<double> times;
    times.reserve(bound.firstTokens_.size());
    for (const Duration time : bound.firstTokens_)
        times.push_back(millis(time));
    const auto requests = static_cast<double>(bound.requests_);
    BoundMeasures measures;
    measures.stalledPercent_ = percent(static_cast<double>(bound.misses_), requests);
    measures.firstTokenP95Millis_ = quantile(times, 0.95);
    const auto interactive = static_cast<double>(times.size());
    measures.latePercent_ = percent(static_cast<double>(bound.late_), interactive);
    return measures;
}

} // namespace

Measures measure(const BenchRun &run)
{
    Measures measures;
    const auto requests = static_cast<double>(run.requests_.size());
    const auto finished = static_cast<double>(
        std::count_if(run.outcomes_.begin(), run.outcomes_.end(),
                      [](const RequestOutcome &outcome) { return outcome.finished_; }));
    const std::vector<double> stalls = stallTimes(run);
    measures.stalledPercent_ = percent(static_cast<double>(stalls.size()), finished);
    measures.stallP50Millis_ = quantile(stalls, 0.5);
    measures.stallP95Millis_ = quantile(stalls, 0.95);
    measures.stallP99Millis_ = quantile(stalls, 0.99);
    const auto busy = static_cast<double>(run.busyTime_);
    measures.tokensPerStep_ = busy > 0 ? static_cast<double>(run.runningTime_) / busy : 0;
    measures.batchPercent_ = percent(measures.tokensPerStep_, run.batchSlots_);
    measures.worstServedPercent_ = worstServed(run);
    measures.worstFirstTokenRatio_ = worstFirstTokenRatio(run);
    measureRefusals(run, measures);
    measures.firstTokenP95Millis_ = quantile(firstTokenTimes(run, benchAccounts), 0.95);
    measures.loadsPerRequest_ = finished > 0 ? static_cast<double>(run.loads_) / finished : 0;
    measures.clairvoyant_ = measureBound(run.bounds_.clairvoyant_);
    measures.informed_ = measureBound(run.bounds_.informed_);
    measures.clairvoyantEntitled_ = measureBound(run.entitledBounds_.clairvoyant_);
    measures.informedEntitled_ = measureBound(run.entitledBounds_.informed_);
    const auto firstRequests = static_cast<double>(run.bounds_.firstRequests_);
    measures.firstRequestsPercent_ = percent(firstRequests, requests);
    return measures;
}

} // namespace eelgrasscove
