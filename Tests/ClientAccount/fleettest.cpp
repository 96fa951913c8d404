#include "fleetsimulation.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 10'000;
/// Number of seeds within which an injected defect must be detected.
constexpr std::uint64_t defectSeeds = 2'000;

std::uint64_t firstDetectingSeed(Defect defect)
{
    for (std::uint64_t seed = 1; seed <= defectSeeds; ++seed) {
        if (!violatedInvariant(simulateFleet(seed, defect)).empty())
            return seed;
    }
    return 0;
}

/// Reference implementation of worstBurstMicroTokens: checks all pairs of first and last run.
std::int64_t worstBurstByDefinition(const std::vector<TokenRun> &runs, std::int64_t rate)
{
    std::int64_t worst = 0;
    for (std::size_t first = 0; first < runs.size(); ++first) {
        std::int64_t tokens = 0;
        for (std::size_t last = first; last < runs.size(); ++last) {
            tokens += runs[last].tokens_;
            const Duration window = runs[last].at_ - runs[first].at_;
            worst = std::max(worst, tokens * 1'000'000 - rate * window.count());
        }
    }
    return worst;
}

} // namespace

BOOST_AUTO_TEST_CASE(running_maximum_equals_maximum_over_all_windows)
{
    std::vector<TokenRun> runs;
    std::uint64_t state = 1;
    Time time = Time(1s);
    for (int number = 0; number < 200; ++number) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        time += Duration(static_cast<std::int64_t>((state >> 33) % 50'000));
        runs.push_back({time, static_cast<std::int64_t>((state >> 50) % 30)});
        BOOST_TEST(worstBurstMicroTokens(runs, 400) == worstBurstByDefinition(runs, 400));
    }
}

BOOST_AUTO_TEST_CASE(no_window_exceeds_the_contract_under_any_failure)
{
    SimulationResult sums;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const SimulationResult result = simulateFleet(seed, Defect::None);
        const std::string violation = violatedInvariant(result);
        BOOST_REQUIRE_MESSAGE(violation.empty(), "seed " << seed << ": " << violation);
        sums.requests_ += result.requests_;
        sums.admitted_ += result.admitted_;
        sums.withLoans_ += result.withLoans_;
        sums.kills_ += result.kills_;
        sums.unknownOutcomes_ += result.unknownOutcomes_;
        sums.overAllotted_ += result.loweredFrom_ != Time::max() ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("requests " << sums.requests_ << ", admitted " << sums.admitted_
                                   << ", with loans " << sums.withLoans_ << ", kills "
                                   << sums.kills_ << ", unknown outcomes " << sums.unknownOutcomes_
                                   << ", lowered contracts checked " << sums.overAllotted_);
    BOOST_TEST(sums.admitted_ > sums.requests_ / 4);
    BOOST_TEST(sums.withLoans_ > 10'000);
    BOOST_TEST(sums.kills_ > 1'000);
    BOOST_TEST(sums.unknownOutcomes_ > 1'000);
    BOOST_TEST(sums.overAllotted_ > 1'000);
}

BOOST_AUTO_TEST_CASE(each_injected_defect_is_detected)
{
    for (const auto &variant : defectNames) {
        if (variant.value_ == Defect::None)
            continue;
        const std::uint64_t seed = firstDetectingSeed(variant.value_);
        BOOST_TEST_MESSAGE(variant.name_ << " detected at seed " << seed);
        BOOST_CHECK_MESSAGE(seed != 0, variant.name_ << " was not detected");
    }
}
