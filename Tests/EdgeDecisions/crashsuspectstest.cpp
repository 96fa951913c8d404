#include "Edge/crashsuspects.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrasscove;
using namespace std::chrono_literals;

namespace {

/// parts are the prompt parts that other requests may share.
RequestSuspects requestWith(SuspectId request, std::vector<SuspectId> parts)
{
    return {request, std::move(parts)};
}

void exchange(const CrashSuspects &from, CrashSuspects &to, Time now)
{
    for (const ReportedCrashRecord &record : crashReport(from, now))
        mergeCrashRecord(to, record, 0s, now);
}

CrashVerdict verdictAt(const CrashSuspects &suspects, const RequestSuspects &request, Time now)
{
    return judgeRequest(suspects, request, now);
}

/// Held suspects after one crash each at two entries, 100 ms apart.
CrashSuspects suspectsOfTwoCrashes(const RequestSuspects &request)
{
    CrashSuspects suspects;
    recordCrash(suspects, request, 1, Time(10s), 0s, Time(10s));
    recordCrash(suspects, request, 2, Time(10100ms), 0s, Time(10100ms));
    return suspects;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashsuspects)

BOOST_AUTO_TEST_CASE(the_request_hash_depends_on_path_caller_and_body)
{
    const std::uint64_t first = requestHash("/ask/1", "key", "body");
    BOOST_TEST(first == requestHash("/ask/1", "key", "body"));
    BOOST_TEST(first != requestHash("/ask/2", "key", "body"));
    BOOST_TEST(first != requestHash("/ask/1", "other", "body"));
    BOOST_TEST(first != requestHash("/ask/1", "key", "other"));
}

BOOST_AUTO_TEST_CASE(all_prompt_parts_but_the_last_are_suspects)
{
    BOOST_TEST(sharedPartHashes("").empty());
    BOOST_TEST(sharedPartHashes("5c1e:800").empty());
    BOOST_TEST(sharedPartHashes("5c1e:800,91bd:410,e440:250").size() == 2U);
    BOOST_TEST(sharedPartHashes("5c1e:800, 5c1e:10,e440:250").size() == 1U);
    BOOST_TEST((sharedPartHashes("5C1E:1,a:1") == sharedPartHashes("005c1e:800,b:1")));
    BOOST_TEST(sharedPartHashes(",,:,x").empty());
    BOOST_TEST(sharedPartHashes("not hexadecimal,x:1").size() == 1U);
    std::string many;
    for (int part = 1; part < 10000; ++part)
        many += std::to_string(part) + ":1,";
    BOOST_TEST(sharedPartHashes(many).size() <= 32U);
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_at_two_crashes_over_all_entries_until_they_expire)
{
    CrashSuspects first;
    CrashSuspects second;
    const RequestSuspects request = requestWith(7, {});
    recordCrash(first, request, 1, Time(1s), 0s, Time(1s));
    BOOST_TEST((verdictAt(first, request, Time(1s)) == CrashVerdict::Allowed));
    recordCrash(second, request, 2, Time(2s), 0s, Time(2s));
    exchange(second, first, Time(2s));
    BOOST_TEST((verdictAt(first, request, Time(2s)) == CrashVerdict::Held));
    BOOST_TEST((verdictAt(first, requestWith(8, {}), Time(2s)) == CrashVerdict::Allowed));
    removeExpiredCrashSuspects(first, Time(601s));
    BOOST_TEST((verdictAt(first, request, Time(601s)) == CrashVerdict::Held
                || verdictAt(first, request, Time(601s)) == CrashVerdict::Trial));
    removeExpiredCrashSuspects(first, Time(700s));
    BOOST_TEST((verdictAt(first, request, Time(700s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(crashes_seen_by_different_entries_add_up)
{
    constexpr int entries = 29;
    const RequestSuspects request = requestWith(7, {3});
    std::vector<CrashSuspects> fleet(entries);
    CrashSuspects restarted;
    for (int entry = 0; entry < 2; ++entry)
        recordCrash(fleet[entry], request, 100 + entry, Time(1s), 0s, Time(1s));
    for (const CrashSuspects &each : fleet)
        exchange(each, restarted, Time(2s));
    BOOST_TEST((verdictAt(restarted, requestWith(8, {3}), Time(2s)) == CrashVerdict::Held));
}

BOOST_AUTO_TEST_CASE(one_crash_seen_by_several_entries_counts_once)
{
    CrashSuspects first;
    CrashSuspects second;
    recordCrash(first, requestWith(7, {3}), 1, Time(1s), 0s, Time(1s));
    recordCrash(second, requestWith(8, {3}), 1, Time(1s), 0s, Time(1s));
    exchange(second, first, Time(2s));
    BOOST_TEST((verdictAt(first, requestWith(9, {3}), Time(2s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(part_that_crashes_targets_is_held_in_requests_of_any_other_content)
{
    CrashSuspects suspects;
    recordCrash(suspects, requestWith(1, {50, 60, 3}), 1, Time(10s), 0s, Time(10s));
    recordCrash(suspects, requestWith(2, {51, 61, 3}), 2, Time(11s), 0s, Time(11s));
    BOOST_TEST((verdictAt(suspects, requestWith(4, {52, 3}), Time(11s)) == CrashVerdict::Held));
    BOOST_TEST((verdictAt(suspects, requestWith(5, {50, 61}), Time(11s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(part_shared_with_sound_requests_is_not_held_with_the_deadly_one)
{
    CrashSuspects suspects;
    recordSound(suspects, requestWith(1, {50}), Time(9s));
    for (CrashId crash = 1; crash <= 2; ++crash) {
        const Time at(10s + crash * 100ms);
        recordCrash(suspects, requestWith(100 + crash, {50, 3}), crash, at, 0s, at);
    }
    BOOST_TEST((verdictAt(suspects, requestWith(4, {3}), Time(11s)) == CrashVerdict::Held));
    BOOST_TEST((verdictAt(suspects, requestWith(5, {50}), Time(11s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(a_sound_response_at_any_entry_clears_a_part_at_all)
{
    const RequestSuspects request = requestWith(7, {3});
    CrashSuspects first = suspectsOfTwoCrashes(request);
    CrashSuspects second;
    exchange(first, second, Time(11s));
    BOOST_TEST(recordSound(second, requestWith(8, {3}), Time(12s)).size() == 1U);
    exchange(second, first, Time(12s));
    BOOST_TEST((verdictAt(first, requestWith(9, {3}), Time(12s)) == CrashVerdict::Allowed));
    exchange(first, second, Time(13s));
    BOOST_TEST((verdictAt(second, requestWith(9, {3}), Time(13s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(a_crash_before_a_sound_response_is_not_counted_when_it_is_confirmed_later)
{
    CrashSuspects suspects;
    recordSound(suspects, requestWith(1, {3}), Time(10500ms));
    for (CrashId crash = 1; crash <= 8; ++crash)
        recordCrash(suspects, requestWith(100 + crash, {3}), crash, Time(10s), 0s, Time(11s));
    BOOST_TEST((verdictAt(suspects, requestWith(2, {3}), Time(11s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(part_held_by_chance_is_cleared_by_a_single_trial)
{
    CrashSuspects suspects = suspectsOfTwoCrashes(requestWith(7, {3}));
    const RequestSuspects sound = requestWith(8, {3});
    BOOST_TEST((verdictAt(suspects, sound, Time(15s)) == CrashVerdict::Held));
    BOOST_TEST((verdictAt(suspects, sound, Time(16s)) == CrashVerdict::Trial));
    recordTrial(suspects, sound, 0s, Time(16s));
    BOOST_TEST((verdictAt(suspects, sound, Time(16s)) == CrashVerdict::Held));
    recordSound(suspects, sound, Time(17s));
    BOOST_TEST((verdictAt(suspects, sound, Time(17s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(trials_of_a_deadly_part_stay_below_the_operators_limit)
{
    const RequestSuspects request = requestWith(7, {3});
    CrashSuspects suspects = suspectsOfTwoCrashes(request);
    int trials = 0;
    for (Time now(11s); now < Time(3600s); now += 100ms) {
        const RequestSuspects next = requestWith(1000 + now.time_since_epoch().count(), {3});
        recordHeld(suspects, next, now);
        removeExpiredCrashSuspects(suspects, now);
        if (verdictAt(suspects, next, now) != CrashVerdict::Trial)
            continue;
        ++trials;
        recordTrial(suspects, next, 0s, now);
        recordCrash(suspects, next, 1000 + trials, now + 50ms, 0s, now + 50ms);
    }
    BOOST_TEST(trials <= 2);
}

BOOST_AUTO_TEST_CASE(trials_that_end_without_a_verdict_are_followed_by_others)
{
    CrashSuspects suspects = suspectsOfTwoCrashes(requestWith(7, {3}));
    const RequestSuspects sound = requestWith(8, {3});
    int trials = 0;
    for (Time now(11s); now < Time(120s); now += 1s) {
        recordHeld(suspects, sound, now);
        if (verdictAt(suspects, sound, now) != CrashVerdict::Trial)
            continue;
        ++trials;
        recordTrial(suspects, sound, 0s, now);
    }
    BOOST_TEST(trials >= 4);
    BOOST_TEST(trials <= 5);
}

BOOST_AUTO_TEST_CASE(request_with_another_part_that_was_at_a_crash_is_not_a_trial)
{
    CrashSuspects suspects = suspectsOfTwoCrashes(requestWith(7, {3}));
    recordCrash(suspects, requestWith(9, {4}), 3, Time(12s), 0s, Time(12s));
    BOOST_TEST((verdictAt(suspects, requestWith(8, {3, 4}), Time(60s)) == CrashVerdict::Held));
    BOOST_TEST((verdictAt(suspects, requestWith(8, {3, 5}), Time(60s)) == CrashVerdict::Trial));
}

BOOST_AUTO_TEST_CASE(part_known_here_to_be_sound_is_not_held_by_reports_of_entries_that_do_not_know)
{
    CrashSuspects informed;
    recordSound(informed, requestWith(1, {3}), Time(9s));
    const CrashSuspects restarted = suspectsOfTwoCrashes(requestWith(7, {3}));
    exchange(restarted, informed, Time(11s));
    BOOST_TEST((verdictAt(informed, requestWith(8, {3}), Time(11s)) == CrashVerdict::Allowed));
    CrashSuspects third;
    exchange(restarted, third, Time(11s));
    exchange(informed, third, Time(11s));
    BOOST_TEST((verdictAt(third, requestWith(8, {3}), Time(11s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(request_with_two_held_parts_is_not_a_trial)
{
    CrashSuspects suspects = suspectsOfTwoCrashes(requestWith(7, {3, 4}));
    BOOST_TEST((verdictAt(suspects, requestWith(8, {3, 4}), Time(60s)) == CrashVerdict::Held));
    BOOST_TEST((verdictAt(suspects, requestWith(8, {4}), Time(60s)) == CrashVerdict::Trial));
}

BOOST_AUTO_TEST_CASE(client_that_adds_anothers_part_to_deadly_requests_does_not_have_it_refused)
{
    CrashSuspects suspects;
    constexpr SuspectId anothers = 50;
    recordSound(suspects, requestWith(1, {anothers}), Time(9s));
    for (CrashId crash = 1; crash <= 20; ++crash) {
        const Time at(10s + crash * 1s);
        const RequestSuspects deadly = requestWith(100 + crash, {anothers, 3});
        if (verdictAt(suspects, deadly, at) != CrashVerdict::Held)
            recordCrash(suspects, deadly, crash, at, 0s, at);
    }
    BOOST_TEST(
        (verdictAt(suspects, requestWith(2, {anothers}), Time(40s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(a_held_part_explains_the_crashes_of_requests_sent_before_it_was_held)
{
    CrashSuspects suspects = suspectsOfTwoCrashes(requestWith(7, {3}));
    for (CrashId crash = 3; crash <= 8; ++crash) {
        recordCrash(suspects, requestWith(100 + crash, {60, 3}), crash, Time(11s), 0s, Time(11s));
    }
    BOOST_TEST((verdictAt(suspects, requestWith(9, {60}), Time(11s)) == CrashVerdict::Allowed));
}

BOOST_AUTO_TEST_CASE(sound_requests_beside_deadly_ones_do_not_have_their_part_held)
{
    constexpr SuspectId shared = 50;
    CrashSuspects suspects;
    recordSound(suspects, requestWith(1, {shared}), Time(9s));
    for (CrashId crash = 1; crash <= 8; ++crash) {
        const Time at(10s + crash * 50ms);
        recordCrash(suspects, requestWith(100 + crash, {shared, 3}), crash, at, 0s, at);
        recordCrash(suspects, requestWith(200 + crash, {shared}), crash, at, 0s, at);
    }
    BOOST_TEST((verdictAt(suspects, requestWith(2, {shared}), Time(11s)) == CrashVerdict::Allowed));
    BOOST_TEST((verdictAt(suspects, requestWith(4, {3}), Time(11s)) == CrashVerdict::Held));
}

BOOST_AUTO_TEST_CASE(records_sound_parts_and_reports_are_bounded)
{
    CrashSuspects suspects;
    for (SuspectId id = 1; id <= 50000; ++id) {
        const Time now(10s + id * 1ms);
        recordSound(suspects, requestWith(id, {id + 1000000}), now);
        recordCrash(suspects, requestWith(id, {id + 2000000}), static_cast<CrashId>(id), now, 0s,
                    now);
        if (id % 1000 == 0)
            removeExpiredCrashSuspects(suspects, now);
    }
    BOOST_TEST(suspects.records_.size() <= 1024U);
    BOOST_TEST(suspects.sound_.current_.size() + suspects.sound_.previous_.size() <= 4096U);
    BOOST_TEST(crashReport(suspects, Time(60s)).size() <= 32U);
}

BOOST_AUTO_TEST_SUITE_END()
