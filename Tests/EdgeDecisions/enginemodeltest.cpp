#include "Edge/enginemodel.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// First events of an engine that reads a prompt token in the given time, after a fixed time, with
/// noise of a fifth.
void observe(EngineModel &model, double micros, Duration fixed, int samples, unsigned seed)
{
    std::minstd_rand random(seed);
    std::lognormal_distribution<double> tokens(std::log(1800.0), 0.7);
    std::uniform_real_distribution<double> noise(0.8, 1.2);
    for (int sample = 0; sample < samples; ++sample) {
        const double ahead = tokens(random) * 2;
        const double elapsed = static_cast<double>(fixed.count()) + ahead * micros * noise(random);
        recordFirstEvent(model, ahead, Duration(static_cast<std::int64_t>(elapsed)));
    }
}

double millisOf(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

BOOST_AUTO_TEST_CASE(time_to_the_first_event_is_learned_for_each_engine)
{
    for (const unsigned seed : {1U, 2U, 3U}) {
        EngineModel fast;
        EngineModel slow;
        observe(fast, 26, 20ms, 60, seed);
        observe(slow, 68, 20ms, 60, seed);
        for (const double tokens : {2000.0, 6000.0}) {
            BOOST_TEST(millisOf(predictFirstEvent(fast, fast, tokens)) == 20 + 0.026 * tokens,
                       boost::test_tools::tolerance(0.15));
            BOOST_TEST(millisOf(predictFirstEvent(slow, fast, tokens)) == 20 + 0.068 * tokens,
                       boost::test_tools::tolerance(0.15));
        }
        BOOST_TEST(slow.meanErrorMillis_ < 60);
    }
}

BOOST_AUTO_TEST_CASE(engine_without_samples_is_predicted_as_its_service)
{
    EngineModel service;
    BOOST_TEST(predictFirstEvent({}, service, 5000).count() == 0);
    observe(service, 50, 0ms, 60, 4);
    BOOST_TEST(millisOf(predictFirstEvent({}, service, 4000)) == 200,
               boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_CASE(engine_that_becomes_slower_is_learned_anew)
{
    EngineModel model;
    observe(model, 26, 0ms, 200, 5);
    observe(model, 78, 0ms, 120, 6);
    BOOST_TEST(millisOf(predictFirstEvent(model, model, 4000)) == 312,
               boost::test_tools::tolerance(0.2));
}

BOOST_AUTO_TEST_CASE(prompts_of_equal_size_give_a_time_in_proportion)
{
    EngineModel model;
    for (int sample = 0; sample < 30; ++sample)
        recordFirstEvent(model, 1000, 100ms);
    BOOST_TEST(millisOf(predictFirstEvent(model, model, 3000)) == 300,
               boost::test_tools::tolerance(0.01));
    // Times that fall with the tokens are no reason to prefer a longer queue.
    EngineModel falling;
    for (int sample = 0; sample < 30; ++sample)
        recordFirstEvent(falling, sample % 2 == 0 ? 1000 : 2000, sample % 2 == 0 ? 200ms : 100ms);
    BOOST_TEST(
        (predictFirstEvent(falling, falling, 9000) >= predictFirstEvent(falling, falling, 1000)));
}

BOOST_AUTO_TEST_CASE(unread_prompts_of_other_entries_are_estimated_from_the_agents_report)
{
    const Time now = Time(100s);
    PromptBacklog backlog;
    backlog.ownRequests_ = 2;
    backlog.ownTokens_ = 5000;
    BOOST_TEST(unreadTokens(backlog, 1000, now) == 5000);
    recordUnread(backlog, 6, now);
    BOOST_TEST(unreadTokens(backlog, 1000, now) == 9000);
    // Own requests since the report are counted beside it, and ended ones no longer.
    ++backlog.ownRequests_;
    backlog.ownTokens_ += 500;
    BOOST_TEST(unreadTokens(backlog, 1000, now + 200ms) == 9500);
    backlog.ownRequests_ = 0;
    backlog.ownTokens_ = 0;
    BOOST_TEST(unreadTokens(backlog, 1000, now + 300ms) == 4000);
    // An old report says nothing.
    BOOST_TEST(unreadTokens(backlog, 1000, now + 800ms) == 0);
    // A report that was made before the requests arrived.
    backlog.ownRequests_ = 3;
    backlog.ownTokens_ = 3000;
    recordUnread(backlog, 1, now + 1s);
    BOOST_TEST(unreadTokens(backlog, 1000, now + 1s) == 3000);
}
