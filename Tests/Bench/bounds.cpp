#include "bounds.h"

#include "benchengine.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace eelgrasscove {

namespace {

/// The goal for the time to first token.
constexpr Duration firstTokenGoal = std::chrono::milliseconds(330);

/// Per request, the value of keeping its adapter from then on; the least value is evicted.
using KeepValues = std::vector<double>;

struct Kept
{
    double value_ = 0;
    std::uint32_t adapter_ = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Kept &) const = default;
};

/// Whether each request misses. An adapter of less value than all others held stays until the next
/// miss, as on demand each is loaded.
std::vector<bool> missesOf(const std::vector<BenchRequest> &requests, const KeepValues &values,
                           std::size_t capacity)
{
    std::unordered_map<std::uint32_t, double> held;
    std::set<Kept> byValue;
    std::vector<bool> misses(requests.size(), false);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const std::uint32_t adapter = requests[index].adapter_;
        const auto found = held.find(adapter);
        misses[index] = found == held.end();
        if (found != held.end())
            byValue.erase({found->second, adapter});
        if (misses[index] && held.size() == capacity) {
            held.erase(byValue.begin()->adapter_);
            byValue.erase(byValue.begin());
        }
        held[adapter] = values[index];
        byValue.insert({values[index], adapter});
    }
    return misses;
}

/// An adapter that is used again sooner is worth more.
KeepValues clairvoyantValues(const std::vector<BenchRequest> &requests)
{
    const std::size_t never = requests.size();
    KeepValues values(requests.size());
    std::unordered_map<std::uint32_t, std::size_t> later;
    for (std::size_t index = requests.size(); index-- > 0;) {
        const auto found = later.find(requests[index].adapter_);
        values[index] = -static_cast<double>(found == later.end() ? never : found->second);
        later[requests[index].adapter_] = index;
    }
    return values;
}

/// By true popularity. All that were kept before a shift are worth less than any seen after it, but
/// for those that are popular again, which their next request shows.
std::vector<bool> informedMisses(const Workload &workload, std::uint64_t seed,
                                 const std::vector<BenchRequest> &requests)
{
    const Popularity popularity = popularityOf(workload, seed);
    const std::size_t capacity = std::size_t{workload.runners_} * workload.adapterSlots_;
    std::vector<bool> misses(requests.size(), false);
    std::unordered_set<std::uint32_t> held;
    std::set<Kept> byValue;
    bool shifted = false;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        if (!shifted && isAfterShift(workload, requests[index].at_)) {
            shifted = true;
            byValue.clear();
            for (const std::uint32_t adapter : held)
                byValue.insert({popularity.after_[adapter], adapter});
        }
        const std::uint32_t adapter = requests[index].adapter_;
        const auto &weights = shifted ? popularity.after_ : popularity.before_;
        misses[index] = !held.contains(adapter);
        if (!misses[index])
            continue;
        if (held.size() == capacity) {
            held.erase(byValue.begin()->adapter_);
            byValue.erase(byValue.begin());
        }
        held.insert(adapter);
        byValue.insert({weights[adapter], adapter});
    }
    return misses;
}

/// When the adapter that each request needs is there, its loads being served in turn.
std::vector<Duration> firstTokensOf(const Workload &workload,
                                    const std::vector<BenchRequest> &requests,
                                    const std::vector<bool> &misses)
{
    WeightStore store;
    store.loadsPerSecond_ = workload.loadsPerSecond_;
    std::unordered_map<std::uint32_t, Time> readyAt;
    std::vector<Duration> times;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const BenchRequest &request = requests[index];
        if (misses[index]) {
            store.inFlight_ = 0;
            readyAt[request.adapter_] = orderLoad(store, request.at_);
        }
        const Time start = std::max(request.at_, readyAt[request.adapter_]);
        if (request.priority_ == Priority::Interactive)
            times.push_back(start + promptTime(request.promptTokens_) + benchStep - request.at_);
    }
    return times;
}

/// The least number of interactive misses that come too late: a load that can't be in time takes
/// nothing of the rate, nor do loads for batch work, and no other request waits for it.
std::int64_t lateOf(const Workload &workload, const std::vector<BenchRequest> &requests,
                    const std::vector<bool> &misses)
{
    WeightStore store;
    store.loadsPerSecond_ = workload.loadsPerSecond_;
    std::int64_t late = 0;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const BenchRequest &request = requests[index];
        if (!misses[index] || request.priority_ != Priority::Interactive)
            continue;
        WeightStore with = store;
        with.inFlight_ = 0;
        const Time loaded = orderLoad(with, request.at_);
        const Time first = loaded + promptTime(request.promptTokens_) + benchStep;
        if (first - request.at_ > firstTokenGoal)
            ++late;
        else
            store = with;
    }
    return late;
}

FleetBound boundOf(const Workload &workload, const std::vector<BenchRequest> &requests,
                   const std::vector<bool> &misses)
{
    FleetBound bound;
    bound.requests_ = static_cast<std::int64_t>(requests.size());
    bound.misses_ = std::count(misses.begin(), misses.end(), true);
    bound.firstTokens_ = firstTokensOf(workload, requests, misses);
    bound.late_ = lateOf(workload, requests, misses);
    return bound;
}

std::int64_t countAdapters(const std::vector<BenchRequest> &requests)
{
    std::unordered_set<std::uint32_t> adapters;
    for (const BenchRequest &request : requests)
        adapters.insert(request.adapter_);
    return static_cast<std::int64_t>(adapters.size());
}

} // namespace

FleetBounds fleetBounds(const Workload &workload, std::uint64_t seed,
                        const std::vector<BenchRequest> &requests)
{
    const std::size_t capacity = std::size_t{workload.runners_} * workload.adapterSlots_;
    const std::vector<bool> best = missesOf(requests, clairvoyantValues(requests), capacity);
    FleetBounds bounds;
    bounds.clairvoyant_ = boundOf(workload, requests, best);
    bounds.informed_ = boundOf(workload, requests, informedMisses(workload, seed, requests));
    bounds.firstRequests_ = countAdapters(requests);
    return bounds;
}

} // namespace eelgrasscove
