#include "doorsim.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

constexpr std::uint64_t seeds = 10'000;
constexpr std::uint64_t sabotageSeeds = 500;

struct SabotageCase
{
    Sabotage sabotage_;
    Property property_;
};

const std::vector<SabotageCase> sabotageCases = {
    {Sabotage::ForgetPins, Property::NeverEvictInUse},
    {Sabotage::ForgetRunning, Property::BatchSlots},
    {Sabotage::ForgetClosed, Property::StartsAtMostOnce},
    {Sabotage::ForgetClosed, Property::NotRunIsNotRun},
    {Sabotage::SwapAdapters, Property::RightAdapter},
    {Sabotage::KeepOldRules, Property::WithdrawnKey},
    {Sabotage::CorruptAnswers, Property::WholeAnswer},
    {Sabotage::LoseEnds, Property::AcceptedEnds},
    {Sabotage::LoseEndsWhileLeaving, Property::DrainsEmpty},
};

bool breaks(const SabotageCase &sabotage, std::uint64_t seed)
{
    for (const Violation &violation : DoorSim(seed, sabotage.sabotage_).run()) {
        if (violation.property_ == sabotage.property_)
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(propertiesHoldOverManySeeds)
{
    DoorSim::Counts sum;
    std::uint64_t failures = 0;
    for (std::uint64_t seed = 1; seed <= seeds && failures < 10; ++seed) {
        DoorSim sim(seed);
        for (const Violation &violation : sim.run()) {
            ++failures;
            BOOST_ERROR("seed " << seed << ": " << nameOf(propertyNames, violation.property_)
                                << ": " << violation.what_);
        }
        sum.offers_ += sim.counts().offers_;
        sum.wholeAnswers_ += sim.counts().wholeAnswers_;
        sum.refusals_ += sim.counts().refusals_;
        sum.failures_ += sim.counts().failures_;
        sum.loads_ += sim.counts().loads_;
        sum.evictions_ += sim.counts().evictions_;
        sum.crashes_ += sim.counts().crashes_;
        sum.restarts_ += sim.counts().restarts_;
    }
    BOOST_TEST_MESSAGE("offers " << sum.offers_ << ", whole answers " << sum.wholeAnswers_
                                 << ", refusals " << sum.refusals_ << ", failures " << sum.failures_
                                 << ", loads " << sum.loads_ << ", evictions " << sum.evictions_
                                 << ", crashes " << sum.crashes_ << ", restarts " << sum.restarts_);
    // The scenario reaches what it is meant for.
    BOOST_TEST(sum.wholeAnswers_ > seeds);
    BOOST_TEST(sum.evictions_ > seeds);
    BOOST_TEST(sum.crashes_ > seeds / 2);
    BOOST_TEST(sum.restarts_ > seeds / 4);
}

BOOST_AUTO_TEST_CASE(everyPropertyCanFail)
{
    for (const SabotageCase &sabotage : sabotageCases) {
        std::uint64_t seed = 1;
        while (seed <= sabotageSeeds && !breaks(sabotage, seed))
            ++seed;
        BOOST_TEST(seed <= sabotageSeeds,
                   nameOf(propertyNames, sabotage.property_) << " doesn't fail under its sabotage");
    }
}
