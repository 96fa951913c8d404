#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>

namespace eelgrasscove {

namespace {

using namespace std::chrono_literals;

/// Part of the traffic that each account sends; a few are large.
constexpr std::array<double, benchAccounts> accountParts = {0.45, 0.30, 0.15, 0.07, 0.03};
/// An account's callers reach its own entry so often, any entry otherwise.
constexpr double ownEntryPart = 0.7;
/// The account that exceeds its rate, by how much, and when (parts of the length).
constexpr std::uint32_t excessAccount = 1;
constexpr double excessFactor = 4;
constexpr double excessFrom = 0.3;
constexpr double excessUntil = 0.45;
constexpr std::int64_t maxTokensInteractive = 128;
constexpr std::int64_t maxTokensBatch = 400;

/// By popularity rank.
std::vector<double> zipfWeights(const Workload &workload)
{
    std::vector<double> weights;
    weights.reserve(workload.adapters_);
    for (std::uint32_t rank = 1; rank <= workload.adapters_; ++rank)
        weights.push_back(std::pow(rank, -workload.zipfExponent_));
    return weights;
}

/// Adapters by popularity rank.
std::vector<std::uint32_t> shuffledAdapters(const Workload &workload, std::mt19937_64 &random)
{
    std::vector<std::uint32_t> adapters(workload.adapters_);
    std::iota(adapters.begin(), adapters.end(), 0U);
    std::shuffle(adapters.begin(), adapters.end(), random);
    return adapters;
}

std::vector<double> byAdapter(const Workload &workload, const std::vector<std::uint32_t> &ranks)
{
    const std::vector<double> weights = zipfWeights(workload);
    std::vector<double> popularity(ranks.size());
    for (std::size_t rank = 0; rank < ranks.size(); ++rank)
        popularity[ranks[rank]] = weights[rank];
    return popularity;
}

BenchRequest makeRequest(const Workload &workload, std::uint32_t account, std::mt19937_64 &random)
{
    BenchRequest request;
    request.account_ = account;
    const bool own = std::bernoulli_distribution(ownEntryPart)(random);
    std::uniform_int_distribution<std::uint32_t> anyEntry(0, workload.entries_ - 1);
    request.entry_ = own ? account % workload.entries_ : anyEntry(random);
    const bool batch = std::bernoulli_distribution(workload.batchPart_)(random);
    request.priority_ = batch ? Priority::Batch : Priority::Interactive;
    request.maxTokens_ = batch ? maxTokensBatch : maxTokensInteractive;
    request.promptTokens_ = std::uniform_int_distribution<std::int64_t>(50, 250)(random);
    const std::int64_t least = request.maxTokens_ / 8;
    request.outputTokens_ =
        std::uniform_int_distribution<std::int64_t>(least, request.maxTokens_)(random);
    return request;
}

std::int64_t tokensOf(const BenchRequest &request)
{
    return request.promptTokens_ + request.outputTokens_;
}

} // namespace

Workload associationWorkload()
{
    Workload workload;
    workload.name_ = "Association";
    workload.dataCentres_ = 4;
    workload.runners_ = 12;
    workload.loadsPerSecond_ = 3.5;
    workload.requestsPerSecond_ = 7;
    return workload;
}

Workload cooperativeWorkload()
{
    Workload workload;
    workload.name_ = "Cooperative";
    workload.dataCentres_ = 3;
    workload.runners_ = 18;
    workload.loadsPerSecond_ = 5;
    workload.requestsPerSecond_ = 11;
    workload.batchPart_ = 0.2;
    return workload;
}

std::vector<BenchRequest> makeRequests(const Workload &workload, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<BenchRequest> requests;
    const double seconds = std::chrono::duration<double>(workload.length_).count();
    const std::vector<double> weights = zipfWeights(workload);
    std::discrete_distribution<std::uint32_t> rank(weights.begin(), weights.end());
    const std::vector<std::uint32_t> before = shuffledAdapters(workload, random);
    const std::vector<std::uint32_t> after = shuffledAdapters(workload, random);
    for (std::uint32_t account = 0; account < benchAccounts; ++account) {
        const double rate = workload.requestsPerSecond_ * accountParts[account];
        double time = 0;
        while (true) {
            const bool excess = account == excessAccount && time > seconds * excessFrom
                && time < seconds * excessUntil;
            time +=
                std::exponential_distribution<double>(rate * (excess ? excessFactor : 1))(random);
            if (time >= seconds)
                break;
            BenchRequest request = makeRequest(workload, account, random);
            request.at_ = benchStart + Duration(static_cast<std::int64_t>(time * 1e6));
            const bool shifted = isAfterShift(workload, request.at_);
            request.adapter_ = (shifted ? after : before)[rank(random)];
            request.excess_ = excess;
            requests.push_back(request);
        }
    }
    std::stable_sort(
        requests.begin(), requests.end(),
        [](const BenchRequest &left, const BenchRequest &right) { return left.at_ < right.at_; });
    return requests;
}

std::vector<std::int64_t> contractRates(const Workload &workload,
                                        const std::vector<BenchRequest> &requests)
{
    std::vector<std::int64_t> tokens(benchAccounts, 0);
    for (const BenchRequest &request : requests)
        tokens[request.account_] += request.excess_ ? 0 : tokensOf(request);
    const double seconds = std::chrono::duration<double>(workload.length_).count();
    for (std::uint32_t account = 0; account < benchAccounts; ++account) {
        const double usual =
            account == excessAccount ? seconds * (1 - excessUntil + excessFrom) : seconds;
        const double rate = static_cast<double>(tokens[account]) / usual;
        tokens[account] = static_cast<std::int64_t>(rate * workload.contractFactor_);
    }
    return tokens;
}

Popularity popularityOf(const Workload &workload, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Popularity popularity;
    popularity.before_ = byAdapter(workload, shuffledAdapters(workload, random));
    popularity.after_ = byAdapter(workload, shuffledAdapters(workload, random));
    return popularity;
}

bool isAfterShift(const Workload &workload, Time time)
{
    return time - benchStart >= workload.length_ / 2;
}

} // namespace eelgrasscove
