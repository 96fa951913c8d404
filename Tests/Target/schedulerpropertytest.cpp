#include "schedulersim.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;

namespace {

constexpr std::uint64_t seeds = 10'000;
constexpr std::uint64_t faultSeeds = 500;

struct FaultCase
{
    InjectedFault fault_;
    Property property_;
};

const std::vector<FaultCase> faultCases = {
    {InjectedFault::ClearPins, Property::NoEvictionInUse},
    {InjectedFault::RaiseBatchSlots, Property::BatchSlots},
    {InjectedFault::ClearClosedAttempts, Property::StartsAtMostOnce},
    {InjectedFault::ClearClosedAttempts, Property::RefusedNeverRuns},
    {InjectedFault::SwapAdapters, Property::RightAdapter},
    {InjectedFault::KeepOldRules, Property::WithdrawnKey},
    {InjectedFault::CorruptResponses, Property::CompleteResponse},
    {InjectedFault::DropRunEnds, Property::AcceptedEnds},
    {InjectedFault::DropRunEndsWhileDraining, Property::DrainsEmpty},
};

bool violatesProperty(const FaultCase &fault, std::uint64_t seed)
{
    for (const Violation &violation : SchedulerSim(seed, fault.fault_).run()) {
        if (violation.property_ == fault.property_)
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(properties_hold_for_all_seeds)
{
    SchedulerSim::Counts sum;
    std::uint64_t failures = 0;
    for (std::uint64_t seed = 1; seed <= seeds && failures < 10; ++seed) {
        SchedulerSim sim(seed);
        for (const Violation &violation : sim.run()) {
            ++failures;
            BOOST_ERROR("seed " << seed << ": " << nameOf(propertyNames, violation.property_)
                                << ": " << violation.details_);
        }
        sum.offers_ += sim.counts().offers_;
        sum.completeResponses_ += sim.counts().completeResponses_;
        sum.refusals_ += sim.counts().refusals_;
        sum.failures_ += sim.counts().failures_;
        sum.loads_ += sim.counts().loads_;
        sum.evictions_ += sim.counts().evictions_;
        sum.crashes_ += sim.counts().crashes_;
        sum.restarts_ += sim.counts().restarts_;
    }
    BOOST_TEST_MESSAGE("offers " << sum.offers_ << ", complete answers " << sum.completeResponses_
                                 << ", refusals " << sum.refusals_ << ", failures " << sum.failures_
                                 << ", loads " << sum.loads_ << ", evictions " << sum.evictions_
                                 << ", crashes " << sum.crashes_ << ", restarts " << sum.restarts_);
    // The scenario reaches the situations that the properties are about.
    BOOST_TEST(sum.completeResponses_ > seeds);
    BOOST_TEST(sum.evictions_ > seeds);
    BOOST_TEST(sum.crashes_ > seeds / 2);
    BOOST_TEST(sum.restarts_ > seeds / 4);
}

BOOST_AUTO_TEST_CASE(every_property_fails_under_its_injected_fault)
{
    for (const FaultCase &fault : faultCases) {
        std::uint64_t seed = 1;
        while (seed <= faultSeeds && !violatesProperty(fault, seed))
            ++seed;
        BOOST_TEST(seed <= faultSeeds,
                   nameOf(propertyNames, fault.property_)
                       << " does not fail under its injected fault");
    }
}
