#define BOOST_TEST_MODULE FleetMix

#include "fleetmix.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace eelgrasscove::mix;

namespace {

constexpr std::uint64_t seeds = 10'000;
constexpr std::uint64_t sabotageSeeds = 300;
constexpr std::uint64_t mostFailures = 10;

/// FLEET_MIX_SEEDS sets the last seed, FLEET_MIX_PART and FLEET_MIX_PARTS a part of them;
/// FLEET_MIX_SEED runs one seed and tells what happens in it.
const char *chosenSeed()
{
    return std::getenv("FLEET_MIX_SEED"); // NOLINT(concurrency-mt-unsafe): one thread
}

std::uint64_t numberIn(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): one thread
    return text == nullptr ? otherwise : std::stoull(text);
}

void add(Counts &sum, const Counts &counts)
{
    sum.calls_ += counts.calls_;
    sum.wholeAnswers_ += counts.wholeAnswers_;
    sum.toldNotRun_ += counts.toldNotRun_;
    sum.toldUnknown_ += counts.toldUnknown_;
    sum.resends_ += counts.resends_;
    sum.starts_ += counts.starts_;
    sum.unloads_ += counts.unloads_;
    sum.failures_ += counts.failures_;
    sum.fullWindows_ += counts.fullWindows_;
}

/// Runs a seed, tells what didn't hold, and whether anything didn't.
bool broken(std::uint64_t seed, Counts &sum, bool log)
{
    const MixResult result = runMix(seed, nullptr, log);
    for (const Violation &violation : result.violations_)
        BOOST_ERROR("seed " << seed << ": " << nameOf(propertyNames, violation.property_) << ": "
                            << violation.what_);
    add(sum, result.counts_);
    return !result.violations_.empty();
}

bool breaks(Property property, std::uint64_t seed)
{
    for (const Violation &violation : runMix(seed, &property).violations_) {
        if (violation.property_ == property)
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(propertiesHoldOverManySeeds)
{
    Counts sum;
    if (chosenSeed() != nullptr) {
        broken(std::stoull(chosenSeed()), sum, true);
        return;
    }
    const std::uint64_t last = numberIn("FLEET_MIX_SEEDS", seeds);
    const std::uint64_t part = numberIn("FLEET_MIX_PART", 0);
    const std::uint64_t stride = numberIn("FLEET_MIX_PARTS", 1);
    std::uint64_t ran = 0;
    std::uint64_t failures = 0;
    for (std::uint64_t seed = 1 + part; seed <= last && failures < mostFailures; seed += stride) {
        ++ran;
        failures += broken(seed, sum, false) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("calls " << sum.calls_ << ", whole answers " << sum.wholeAnswers_
                                << ", told not run " << sum.toldNotRun_ << ", other errors "
                                << sum.toldUnknown_ << ", resends " << sum.resends_ << ", starts "
                                << sum.starts_ << ", unloads " << sum.unloads_ << ", failures "
                                << sum.failures_ << ", full windows " << sum.fullWindows_);
    // The mix reaches what it is meant for.
    BOOST_TEST(sum.wholeAnswers_ > sum.calls_ / 4);
    BOOST_TEST(sum.toldNotRun_ > ran);
    BOOST_TEST(sum.toldUnknown_ > ran / 4);
    BOOST_TEST(sum.resends_ > ran / 2);
    BOOST_TEST(sum.unloads_ > ran / 2);
    BOOST_TEST(sum.fullWindows_ > ran / 100);
}

BOOST_AUTO_TEST_CASE(everyPropertyCanFail)
{
    if (numberIn("FLEET_MIX_PART", 0) != 0)
        return;
    for (const auto &property : propertyNames) {
        std::uint64_t seed = 1;
        while (seed <= sabotageSeeds && !breaks(property.value_, seed))
            ++seed;
        BOOST_TEST_MESSAGE(property.name_ << ": fails under its sabotage at seed " << seed);
        BOOST_TEST(seed <= sabotageSeeds, property.name_ << " doesn't fail under its sabotage");
    }
}
